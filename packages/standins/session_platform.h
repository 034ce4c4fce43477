#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_server.h"

/// @file
/// A stand-in for the operators' platform on one event loop: the metadata store with
/// kinds, versions and watches, and the call that promotes a target. Follows the
/// platform's page and is independent of the product's own client.

namespace bulrushlift {

/// Faults to inject into the calls of the platform.
struct platform_faults {
  bool is_refusing = false;    ///< Answers all calls with 503.
  bool is_silent = false;      ///< Accepts calls but neither runs nor answers them.
  std::string unknown_kind;    ///< Answers calls about this kind with 404; empty for none.
  int lost_writes = 0;         ///< Number of next writes that take effect without an answer.
  int refused_promotions = 0;  ///< Number of next promotions to answer with 503, without effect.
  int late_promotions = 0;     ///< Number of next promotions that get no answer and are carried out later.
  duration lateness{};         ///< How much later; their tokens are compared at that time.
};

/// A promotion that a proxy requested.
struct ordered_promotion {
  std::string service;
  std::string target;
  std::string holder;
  std::uint64_t token = 0;
  bool is_accepted = false;
};

class session_platform {
 public:
  using promote_callback = std::function<void(const ordered_promotion&)>;

  /// Listens on loopback. Throws `std::runtime_error` if that fails.
  /// @param on_promotion called for each accepted promotion before it is answered.
  session_platform(event_loop& loop, promote_callback on_promotion);
  session_platform(const session_platform&) = delete;
  session_platform& operator=(const session_platform&) = delete;
  ~session_platform();

  [[nodiscard]] std::string address() const { return address_; }
  [[nodiscard]] platform_faults& faults() noexcept { return faults_; }

  /// Writes an object unconditionally, as an operator or a target does.
  void put(const std::string& kind, const std::string& name, const nlohmann::json& content);
  /// As above, with content that need be no JSON text.
  /// @param meta further members of the object's "meta", each with a comma before it; may be empty.
  void put_text(const std::string& kind, const std::string& name, const std::string& content,
                const std::string& meta = "");
  void remove(const std::string& kind, const std::string& name);
  /// Discards the event history. Open watches, and later ones from an older revision, get 410.
  void compact();
  /// Keeps a copy of all objects with their revisions.
  void save_copy();
  /// Continues from the saved copy: changes since then are lost, their revisions are given out again, and
  /// the era in the answers rises by one. Open watches from a lost revision get 410, the others are cut.
  void restore_copy();

  /// @return the content of an object, or JSON null if the object doesn't exist.
  [[nodiscard]] nlohmann::json content_of(const std::string& kind, const std::string& name) const;
  [[nodiscard]] const std::vector<ordered_promotion>& promotions() const noexcept { return promotions_; }

 private:
  struct event {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
    bool is_removed = false;
  };
  /// All that a copy of the store keeps.
  struct stored_state {
    std::uint64_t revision = 1;
    std::uint64_t history_start = 0;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    std::vector<event> events;
  };
  struct waiting_watch {
    std::string kind;
    std::uint64_t after = 0;
    http_responder respond;
  };

  void on_request(const http_request& request, const http_responder& respond);
  void on_store_request(const http_request& request, const http_responder& respond);
  [[nodiscard]] http_response store_response(int status, std::string body) const;
  void on_promotion(const http_request& request, const http_responder& respond);
  /// Compares the token with those seen, and tells the callback of an accepted promotion.
  bool carry_out(ordered_promotion promotion);
  [[nodiscard]] http_response on_write(const http_request& request, const std::string& kind,
                                       const std::string& name);
  void on_watch(const std::string& kind, const std::map<std::string, std::string>& query,
                const http_responder& respond);
  [[nodiscard]] std::optional<http_response> events_after(const std::string& kind, std::uint64_t after) const;
  void answer_watches();

  event_loop& loop_;
  promote_callback on_promotion_;
  http_server server_;
  std::string address_;
  platform_faults faults_;
  stored_state store_;
  stored_state copy_;
  std::map<std::string, std::string> texts_;  ///< What responses hold in place of these marks.
  std::uint64_t era_ = 1;
  std::list<waiting_watch> watches_;
  std::vector<http_responder> unanswered_;
  std::map<std::string, std::uint64_t> newest_tokens_;
  std::vector<ordered_promotion> promotions_;
};

}  // namespace bulrushlift

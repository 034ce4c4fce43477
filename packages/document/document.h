#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/digest.h"
#include "base/error.h"
#include "base/ids.h"
#include "document/address.h"
#include "document/finding.h"

/// @file
/// The environment document: what one environment serves, and to whom. A
/// document never changes; a new generation is a new object.
///
///     auto document = parse_document(text, generation_id{7});
///     if (!document) return document.error();
///     const customer* who = document->find_customer(customer_id{"baobab"});

namespace bulrushlift {

/// Data centres between which a deployment is spread.
struct region {
  std::string name;
  std::vector<data_centre_id> data_centres;

  friend bool operator==(const region&, const region&) = default;
};

/// A VM that runs a daemon. Budgets of customers are placed on these VMs.
struct vm {
  vm_id name;
  data_centre_id data_centre;
  network_address peer_address;

  friend bool operator==(const vm&, const vm&) = default;
};

/// One member of a database group.
struct target {
  target_id name;  ///< Unique in the document.
  network_address address;
  data_centre_id data_centre;
  std::size_t slots = 0;        ///< Statements that run at the same time.
  std::size_t connections = 0;  ///< Connections that the target accepts.
  bool leaving = false;         ///< A leaving target gets no new work.

  friend bool operator==(const target&, const target&) = default;
};

/// One database group.
struct service {
  service_id name;
  std::chrono::milliseconds connect_cost{0};  ///< Time to open a connection.
  std::vector<target> targets;

  friend bool operator==(const service&, const service&) = default;
};

enum class key_state { active, revoked };

/// What the document holds of a customer's key; the secret is not in it.
struct customer_key {
  key_id id;           ///< Unique in the document.
  digest256 digest{};  ///< SHA-256 of the whole key.
  key_state state = key_state::active;

  friend bool operator==(const customer_key&, const customer_key&) = default;
};

/// A customer's agreed share.
struct customer {
  customer_id name;
  double rate_per_second = 0;  ///< Requests per second over all VMs together.
  double burst = 0;            ///< Requests at once over all VMs together; at least 1.
  double weight = 1;           ///< Share of a busy service, relative to other customers.
  std::vector<customer_key> keys;

  friend bool operator==(const customer&, const customer&) = default;
};

/// A name under which callers reach a service.
struct route {
  route_id name;
  service_id service;
  bool open = false;                   ///< Usable without a key.
  std::vector<customer_id> customers;  ///< Who may use it; empty on open routes.
  bool read_replicas = true;           ///< Whether replicas serve reads.
  /// Greatest age of read data unless the request states its own; not limited if empty.
  std::optional<std::chrono::milliseconds> max_age;

  friend bool operator==(const route&, const route&) = default;
};

/// Content of a document, for construction.
struct document_content {
  std::string environment;
  std::vector<region> regions;
  std::vector<vm> vms;
  std::vector<service> services;
  std::vector<customer> customers;
  std::vector<route> routes;

  friend bool operator==(const document_content&, const document_content&) = default;
};

/// An immutable document with lookup by name. Copies share the content.
class document {
 public:
  /// An empty document of generation 0: no configuration yet.
  document();
  /// @param content consistent, as `parse_document` or tests provide it. Of items with equal names the
  ///   first is found.
  document(generation_id generation, document_content content);

  [[nodiscard]] generation_id generation() const noexcept { return generation_; }
  [[nodiscard]] const std::string& environment() const noexcept { return content().environment; }
  [[nodiscard]] const std::vector<region>& regions() const noexcept { return content().regions; }
  [[nodiscard]] const std::vector<vm>& vms() const noexcept { return content().vms; }
  [[nodiscard]] const std::vector<service>& services() const noexcept { return content().services; }
  [[nodiscard]] const std::vector<customer>& customers() const noexcept { return content().customers; }
  [[nodiscard]] const std::vector<route>& routes() const noexcept { return content().routes; }
  [[nodiscard]] const document_content& content() const noexcept { return *content_; }

  /// Each lookup takes constant time and returns null if there is no such item. The pointers stay valid
  /// as long as any copy of this document.
  [[nodiscard]] const vm* find_vm(const vm_id& name) const;
  [[nodiscard]] const service* find_service(const service_id& name) const;
  [[nodiscard]] const target* find_target(const target_id& name) const;
  [[nodiscard]] const service* find_service_of(const target_id& name) const;
  [[nodiscard]] const customer* find_customer(const customer_id& name) const;
  [[nodiscard]] const route* find_route(const route_id& name) const;
  [[nodiscard]] const region* find_region_of(const data_centre_id& name) const;

  /// A key with its owner; both null if the key is unknown.
  struct key_entry {
    const customer_key* key = nullptr;
    const customer* owner = nullptr;
  };
  [[nodiscard]] key_entry find_key(const key_id& id) const;

  /// @return whether the route is open to all or names the customer.
  [[nodiscard]] bool is_allowed(const route& where, const customer_id& who) const;

  friend bool operator==(const document& left, const document& right) {
    return left.generation_ == right.generation_ && left.content() == right.content();
  }

 private:
  struct index;

  generation_id generation_;
  std::shared_ptr<const document_content> content_;
  std::shared_ptr<const index> index_;
};

/// Builds documents in tests and tools.
///
///     auto document = document_builder{"production"}
///                         .add_region("sn-ouest", {"thies"})
///                         .add_service("orders", 12ms)
///                         .add_target("orders-1", "10.0.1.1:7000", "thies", 2, 16)
///                         .build(generation_id{1});
class document_builder {
 public:
  explicit document_builder(std::string environment);

  document_builder& add_region(std::string name, const std::vector<std::string>& data_centres);
  document_builder& add_vm(std::string name, std::string data_centre, std::string peer_address);
  document_builder& add_service(std::string name, std::chrono::milliseconds connect_cost);
  /// Adds to the service added last.
  document_builder& add_target(std::string name, std::string address, std::string data_centre,
                               std::size_t slots, std::size_t connections, bool leaving = false);
  document_builder& add_customer(std::string name, double rate_per_second, double burst, double weight = 1);
  /// Adds to the customer added last.
  document_builder& add_key(std::string id, const digest256& digest, key_state state = key_state::active);
  document_builder& add_route(std::string name, std::string service,
                              const std::vector<std::string>& customers,
                              std::optional<std::chrono::milliseconds> max_age = std::nullopt,
                              bool read_replicas = true);
  document_builder& add_open_route(std::string name, std::string service,
                                   std::optional<std::chrono::milliseconds> max_age = std::nullopt,
                                   bool read_replicas = true);

  /// @return the document, unchecked.
  [[nodiscard]] document build(generation_id generation = generation_id{1}) const;

 private:
  document_content content_;
};

/// Checks the whole text.
/// @return all errors, in the order of their lines; empty if the text is valid.
[[nodiscard]] findings check_document(std::string_view text);

/// @param text JSON with comments, at most `max_document_bytes` long.
/// @param generation the generation under which the store or a peer delivered the text.
/// @return the document, or `invalid_document` with all errors, one a line.
[[nodiscard]] result<document> parse_document(std::string_view text, generation_id generation);

/// Longest valid text; the store holds values of up to 1 MB, with some room for the record around it.
inline constexpr std::size_t max_document_bytes = 900U << 10U;

}  // namespace bulrushlift

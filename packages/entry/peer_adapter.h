#pragma once

#include <peer_types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "entry/entry_context.h"
#include "net/peer_link.h"

/// @file
/// Manages the links to the other VMs, and the server that accepts their links.

namespace bulrushlift::entry {

class peer_adapter {
 public:
  using handler = std::function<void(const peer::envelope_t&, const peer_responder&)>;

  explicit peer_adapter(entry_context& context);

  /// Set the handlers of loan requests, of statements and transaction ends, of requests for the
  /// configuration, and of questions of followers of the store. Set all of them before `listen`.
  void on_loan_request(handler callback) { on_loan_request_ = std::move(callback); }
  void on_statement(handler callback) { on_statement_ = std::move(callback); }
  void on_document_request(handler callback) { on_document_request_ = std::move(callback); }

  void on_watch_request(handler callback) { on_watch_request_ = std::move(callback); }

  [[nodiscard]] result<net_address> listen();

  /// Sends a message that has a reply.
  /// @param done receives the reply or an error; `peer_unavailable` with the outcome `not_run` if
  ///   the VM has no known address.
  void request(const vm_id& to, peer::envelope_t message, duration timeout, peer_link::reply_callback done);
  /// Sends a question to a VM that watches the store, over a link of its own: while an answer is awaited a
  /// link probes its peer, which is needed far less often here than for statements.
  void request_watch(const vm_id& to, peer::envelope_t message, duration timeout,
                     peer_link::reply_callback done);
  /// Sends a message that has no reply; dropped if the VM has no known address.
  void send(const vm_id& to, peer::envelope_t message);

 private:
  struct known_peer {
    std::string address;
    std::unique_ptr<peer_link> link;
  };

  void on_message(const peer::envelope_t& message, const peer_responder& respond);
  using link_table = std::map<vm_id, known_peer>;
  [[nodiscard]] peer_link* link_to(link_table& links, const vm_id& vm, peer_link_options options);
  void request_over(peer_link* link, const vm_id& to, peer::envelope_t message, duration timeout,
                    peer_link::reply_callback done);

  entry_context& context_;
  handler on_loan_request_;
  handler on_statement_;
  handler on_document_request_;
  handler on_watch_request_;
  link_table peers_;
  link_table watch_links_;
  peer_server server_;
};

}  // namespace bulrushlift::entry

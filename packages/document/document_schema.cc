#include "document/document_schema.h"

#include "document/values.h"

namespace bulrushlift::internal {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t most_connections = 10'000;
constexpr double most_rate = 1e9;

object_schema<region> region_table() {
  object_schema<region> table{"region", "Data centres between which a deployment is spread."};
  table.required("name", &region::name, name_value(), "Name of the region.")
      .required("data_centres", &region::data_centres, list_value(id_value<data_centre_id>(), 1),
                "Names of its data centres, each in one region only.");
  return table;
}

object_schema<vm> vm_table() {
  object_schema<vm> table{"vm", "A VM that runs a daemon; with several cores, one entry for each process."};
  table.required("name", &vm::name, id_value<vm_id>(), "The name in the settings of the daemon.")
      .required("data_centre", &vm::data_centre, id_value<data_centre_id>(), "A data centre of a region.")
      .required("peer_address", &vm::peer_address, address_value(false),
                "Where other VMs reach it, TCP and UDP.");
  return table;
}

object_schema<target> target_table() {
  object_schema<target> table{"target", "One member of a database group."};
  table.required("name", &target::name, id_value<target_id>(), "Unique among all targets.")
      .required("address", &target::address, address_value(false), "Where the database listens.")
      .required("data_centre", &target::data_centre, id_value<data_centre_id>(), "A data centre of a region.")
      .required("slots", &target::slots, count_value<std::size_t>(1, most_connections),
                "Statements that run at the same time; at most `connections`.")
      .required("connections", &target::connections, count_value<std::size_t>(2, most_connections),
                "Connections that the target accepts. One owner opens at most half of them.")
      .optional("leaving", &target::leaving, flag_value(), "A leaving target gets no new work.");
  return table;
}

object_schema<service> service_table() {
  object_schema<service> table{"service", "One database group: a primary and its replicas."};
  table.required("name", &service::name, id_value<service_id>(), "Unique among the services.")
      .optional("connect_cost_ms", &service::connect_cost,
                milliseconds_value(milliseconds{0}, milliseconds{60'000}), "Time to open a connection.")
      .required("targets", &service::targets, list_value(object_value(target_table()), 2),
                "The members. A write needs two of them, so three survive the loss of one.");
  return table;
}

object_schema<customer_key> key_table() {
  object_schema<customer_key> table{"key",
                                    "What is kept of a customer's key. The secret is not in the document."};
  table
      .required("id", &customer_key::id, id_value<key_id>(key_name_rule, is_key_name),
                "Second part of the key; unique among all keys.")
      .required("digest", &customer_key::digest, digest_value(), "Recognises the key.")
      .optional("state", &customer_key::state,
                choice_value<key_state>({{"active", key_state::active}, {"revoked", key_state::revoked}}),
                "A revoked key is refused, also on open connections.");
  return table;
}

object_schema<customer> customer_table() {
  object_schema<customer> table{"customer", "A customer and its agreed share."};
  table.required("name", &customer::name, id_value<customer_id>(), "Unique among the customers.")
      .required("rate_per_second", &customer::rate_per_second, number_value(0.001, most_rate),
                "Requests per second over all VMs together.")
      .required("burst", &customer::burst, number_value(1, most_rate),
                "Requests at once over all VMs together.")
      .optional("weight", &customer::weight, number_value(0.001, 1'000'000),
                "Share of a busy service, relative to other customers.")
      .optional("keys", &customer::keys, list_value(object_value(key_table())), "Its keys.");
  return table;
}

object_schema<route> route_table() {
  object_schema<route> table{"route", "A name under which callers reach a service."};
  table.required("name", &route::name, id_value<route_id>(), "Unique among the routes.")
      .required("service", &route::service, id_value<service_id>(), "The service that answers.")
      .optional("open", &route::open, flag_value(), "Usable without a key.")
      .optional("customers", &route::customers, list_value(id_value<customer_id>()),
                "Who may use it. Required unless the route is open, and empty if it is.")
      .optional("read_replicas", &route::read_replicas, flag_value(), "Whether replicas serve reads.")
      .optional("max_age_ms", &route::max_age,
                optional_milliseconds_value(milliseconds{1}, milliseconds{86'400'000}),
                "Greatest age of read data unless a request states its own.");
  return table;
}

object_schema<document_content> document_table() {
  object_schema<document_content> table{"document", "One environment: what it serves, and to whom."};
  table
      .required("environment", &document_content::environment, name_value(),
                "Name of the environment; the same as in the settings of its daemons.")
      .required("regions", &document_content::regions, list_value(object_value(region_table()), 1),
                "Where VMs and targets stand.")
      .required("vms", &document_content::vms, list_value(object_value(vm_table()), 1),
                "The VMs of the fleet. Budgets of customers are placed on them.")
      .required("services", &document_content::services, list_value(object_value(service_table()), 1),
                "The database groups.")
      .required("customers", &document_content::customers, list_value(object_value(customer_table())),
                "The customers.")
      .required("routes", &document_content::routes, list_value(object_value(route_table())), "The routes.");
  return table;
}

}  // namespace

const object_schema<document_content>& document_schema() {
  static const auto table = document_table();
  return table;
}

}  // namespace bulrushlift::internal

namespace bulrushlift {
namespace {

findings read_document(std::string_view text, document_content& content) {
  findings found;
  if (text.size() > max_document_bytes) {
    found.push_back({1, "",
                     "the text has " + std::to_string(text.size()) + " bytes, at most " +
                         std::to_string(max_document_bytes) + " are valid"});
    return found;
  }
  const auto tree = internal::parse_json(text, found);
  if (!tree) return found;
  internal::check_context context;
  for (auto& it : found) context.add(it.line, std::move(it.path), std::move(it.message));
  internal::document_schema().read(content, *tree, "", context);
  internal::check_content(content, context);
  return context.take();
}

}  // namespace

findings check_document(std::string_view text) {
  document_content content;
  return read_document(text, content);
}

result<document> parse_document(std::string_view text, generation_id generation) {
  document_content content;
  const auto found = read_document(text, content);
  if (!found.empty()) return make_error(error_kind::invalid_document, format_findings(found));
  return document{generation, std::move(content)};
}

}  // namespace bulrushlift

#include "document/document.h"

#include <algorithm>
#include <utility>

namespace bulrushlift {

struct document::index {
  std::unordered_map<vm_id, const vm*> vms;
  std::unordered_map<service_id, const service*> services;
  std::unordered_map<target_id, std::pair<const service*, const target*>> targets;
  std::unordered_map<customer_id, const customer*> customers;
  std::unordered_map<key_id, key_entry> keys;
  std::unordered_map<route_id, const route*> routes;
  std::unordered_map<data_centre_id, const region*> data_centres;

  explicit index(const document_content& content) {
    for (const auto& it : content.vms) vms.emplace(it.name, &it);
    for (const auto& it : content.services) {
      services.emplace(it.name, &it);
      for (const auto& member : it.targets) targets.emplace(member.name, std::pair{&it, &member});
    }
    for (const auto& it : content.customers) {
      customers.emplace(it.name, &it);
      for (const auto& key : it.keys) keys.emplace(key.id, key_entry{&key, &it});
    }
    for (const auto& it : content.routes) routes.emplace(it.name, &it);
    for (const auto& it : content.regions) {
      for (const auto& name : it.data_centres) data_centres.emplace(name, &it);
    }
  }
};

namespace {

template <class Map, class Id>
typename Map::mapped_type find_or_default(const Map& map, const Id& id) {
  const auto it = map.find(id);
  return it == map.end() ? typename Map::mapped_type{} : it->second;
}

std::vector<customer_id> to_customers(const std::vector<std::string>& names) {
  std::vector<customer_id> ids;
  ids.reserve(names.size());
  for (const auto& name : names) ids.emplace_back(name);
  return ids;
}

}  // namespace

document::document() : document(generation_id{}, document_content{}) {}

document::document(generation_id generation, document_content content)
    : generation_(generation),
      content_(std::make_shared<const document_content>(std::move(content))),
      index_(std::make_shared<const index>(*content_)) {}

const vm* document::find_vm(const vm_id& name) const { return find_or_default(index_->vms, name); }

const service* document::find_service(const service_id& name) const {
  return find_or_default(index_->services, name);
}

const target* document::find_target(const target_id& name) const {
  return find_or_default(index_->targets, name).second;
}

const service* document::find_service_of(const target_id& name) const {
  return find_or_default(index_->targets, name).first;
}

const customer* document::find_customer(const customer_id& name) const {
  return find_or_default(index_->customers, name);
}

const route* document::find_route(const route_id& name) const {
  return find_or_default(index_->routes, name);
}

const region* document::find_region_of(const data_centre_id& name) const {
  return find_or_default(index_->data_centres, name);
}

document::key_entry document::find_key(const key_id& id) const { return find_or_default(index_->keys, id); }

bool document::is_allowed(const route& where, const customer_id& who) const {
  return where.open ||
         std::find(where.customers.begin(), where.customers.end(), who) != where.customers.end();
}

document_builder::document_builder(std::string environment) { content_.environment = std::move(environment); }

document_builder& document_builder::add_region(std::string name,
                                               const std::vector<std::string>& data_centres) {
  region added{std::move(name), {}};
  for (const auto& it : data_centres) added.data_centres.emplace_back(it);
  content_.regions.push_back(std::move(added));
  return *this;
}

document_builder& document_builder::add_vm(std::string name, std::string data_centre,
                                           std::string peer_address) {
  content_.vms.push_back({vm_id{std::move(name)}, data_centre_id{std::move(data_centre)},
                          network_address{std::move(peer_address)}});
  return *this;
}

document_builder& document_builder::add_service(std::string name, std::chrono::milliseconds connect_cost) {
  content_.services.push_back({service_id{std::move(name)}, connect_cost, {}});
  return *this;
}

document_builder& document_builder::add_target(std::string name, std::string address, std::string data_centre,
                                               std::size_t slots, std::size_t connections, bool leaving) {
  content_.services.back().targets.push_back({target_id{std::move(name)}, network_address{std::move(address)},
                                              data_centre_id{std::move(data_centre)}, slots, connections,
                                              leaving});
  return *this;
}

document_builder& document_builder::add_customer(std::string name, double rate_per_second, double burst,
                                                 double weight) {
  content_.customers.push_back({customer_id{std::move(name)}, rate_per_second, burst, weight, {}});
  return *this;
}

document_builder& document_builder::add_key(std::string id, const digest256& digest, key_state state) {
  content_.customers.back().keys.push_back({key_id{std::move(id)}, digest, state});
  return *this;
}

document_builder& document_builder::add_route(std::string name, std::string service,
                                              const std::vector<std::string>& customers,
                                              std::optional<std::chrono::milliseconds> max_age,
                                              bool read_replicas) {
  content_.routes.push_back({route_id{std::move(name)}, service_id{std::move(service)}, false,
                             to_customers(customers), read_replicas, max_age});
  return *this;
}

document_builder& document_builder::add_open_route(std::string name, std::string service,
                                                   std::optional<std::chrono::milliseconds> max_age,
                                                   bool read_replicas) {
  content_.routes.push_back(
      {route_id{std::move(name)}, service_id{std::move(service)}, true, {}, read_replicas, max_age});
  return *this;
}

document document_builder::build(generation_id generation) const { return {generation, content_}; }

}  // namespace bulrushlift

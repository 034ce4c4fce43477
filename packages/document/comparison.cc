#include "document/comparison.h"

#include <fmt/format.h>

#include <map>

#include "document/values.h"

namespace bulrushlift {
namespace {

/// The fields of one item as texts, by name.
using field_map = std::map<std::string, std::string>;
/// All items of a document: kind and name, then fields.
using item_map = std::map<std::string, field_map>;

const char* flag_text(bool value) { return value ? "true" : "false"; }

template <class Names>
std::string joined(const Names& names) {
  std::string text;
  for (const auto& it : names) text += (text.empty() ? "" : ", ") + it.str();
  return "[" + text + "]";
}

item_map vm_items(const document& value) {
  item_map items;
  for (const auto& it : value.vms()) {
    items["VM " + it.name.str()] = {{"data_centre", it.data_centre.str()},
                                    {"peer_address", it.peer_address.str()}};
  }
  return items;
}

item_map service_items(const document& value) {
  item_map items;
  for (const auto& it : value.services()) {
    items["service " + it.name.str()] = {{"connect_cost_ms", fmt::format("{}", it.connect_cost.count())}};
  }
  return items;
}

item_map target_items(const document& value) {
  item_map items;
  for (const auto& service : value.services()) {
    for (const auto& it : service.targets) {
      items["target " + it.name.str()] = {{"service", service.name.str()},
                                          {"address", it.address.str()},
                                          {"data_centre", it.data_centre.str()},
                                          {"slots", fmt::format("{}", it.slots)},
                                          {"connections", fmt::format("{}", it.connections)},
                                          {"leaving", flag_text(it.leaving)}};
    }
  }
  return items;
}

item_map customer_items(const document& value) {
  item_map items;
  for (const auto& it : value.customers()) {
    items["customer " + it.name.str()] = {{"rate_per_second", internal::show_number(it.rate_per_second)},
                                          {"burst", internal::show_number(it.burst)},
                                          {"weight", internal::show_number(it.weight)}};
  }
  return items;
}

item_map key_items(const document& value) {
  item_map items;
  for (const auto& owner : value.customers()) {
    for (const auto& it : owner.keys) {
      items["key " + it.id.str()] = {{"customer", owner.name.str()},
                                     {"digest", to_hex(as_bytes(it.digest))},
                                     {"state", it.state == key_state::active ? "active" : "revoked"}};
    }
  }
  return items;
}

item_map route_items(const document& value) {
  item_map items;
  for (const auto& it : value.routes()) {
    items["route " + it.name.str()] = {
        {"service", it.service.str()},
        {"open", flag_text(it.open)},
        {"customers", joined(it.customers)},
        {"read_replicas", flag_text(it.read_replicas)},
        {"max_age_ms", it.max_age ? fmt::format("{}", it.max_age->count()) : "no limit"}};
  }
  return items;
}

item_map region_items(const document& value) {
  item_map items;
  if (!value.environment().empty()) items["environment"] = {{"name", value.environment()}};
  for (const auto& it : value.regions())
    items["region " + it.name] = {{"data_centres", joined(it.data_centres)}};
  return items;
}

std::string all_fields(const field_map& fields) {
  std::string text;
  for (const auto& [name, value] : fields)
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name, value);
  return text;
}

std::string changed_fields(const field_map& before, const field_map& after) {
  std::string text;
  for (const auto& [name, value] : after) {
    const auto& old = before.at(name);
    if (old != value) text += fmt::format("{}{} {} -> {}", text.empty() ? "" : ", ", name, old, value);
  }
  return text;
}

void compare_items(const item_map& before, const item_map& after, std::vector<document_change>& changes) {
  for (const auto& [what, fields] : before) {
    const auto it = after.find(what);
    if (it == after.end()) {
      changes.push_back({'-', what, all_fields(fields)});
    } else if (it->second != fields) {
      changes.push_back({'~', what, changed_fields(fields, it->second)});
    }
  }
  for (const auto& [what, fields] : after) {
    if (!before.contains(what)) changes.push_back({'+', what, all_fields(fields)});
  }
}

bool is_active(const document& value, const key_id& id) {
  const auto* key = value.find_key(id).key;
  return key != nullptr && key->state == key_state::active;
}

}  // namespace

std::vector<document_change> compare_documents(const document& before, const document& after) {
  std::vector<document_change> changes;
  for (auto* items :
       {region_items, vm_items, service_items, target_items, customer_items, key_items, route_items}) {
    compare_items(items(before), items(after), changes);
  }
  return changes;
}

std::vector<std::string> impact_of(const document& before, const document& after) {
  std::vector<std::string> warnings;
  for (const auto& it : before.customers()) {
    const auto* now = after.find_customer(it.name);
    if (now == nullptr) {
      warnings.push_back(fmt::format("customer {} is removed: its requests are refused", it.name.str()));
    } else if (now->rate_per_second < it.rate_per_second || now->burst < it.burst) {
      warnings.push_back(fmt::format("customer {} gets a lower rate or burst at once", it.name.str()));
    }
    for (const auto& key : it.keys) {
      if (is_active(before, key.id) && !is_active(after, key.id)) {
        warnings.push_back(
            fmt::format("key {} of customer {} stops working within seconds", key.id.str(), it.name.str()));
      }
    }
  }
  for (const auto& it : before.routes()) {
    const auto* now = after.find_route(it.name);
    if (now == nullptr) {
      warnings.push_back(fmt::format("route {} is removed: its requests are refused", it.name.str()));
    } else if (it.open && !now->open) {
      warnings.push_back(fmt::format("route {} needs a key from now on", it.name.str()));
    } else if (!it.open && now->open) {
      warnings.push_back(fmt::format("route {} is open to all from now on", it.name.str()));
    } else if (now->service != it.service) {
      warnings.push_back(
          fmt::format("route {} leads to another service: {}", it.name.str(), now->service.str()));
    }
  }
  for (const auto& it : before.services()) {
    if (after.find_service(it.name) == nullptr) {
      warnings.push_back(fmt::format("service {} is removed", it.name.str()));
    }
  }
  if (!before.vms().empty() && before.vms().size() != after.vms().size()) {
    warnings.push_back("the set of VMs changes: higher rates apply 7 s later");
  }
  return warnings;
}

}  // namespace bulrushlift

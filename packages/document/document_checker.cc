#include <fmt/format.h>

#include <unordered_map>
#include <unordered_set>

#include "document/document_schema.h"

namespace bulrushlift::internal {
namespace {

/// Names that have been seen, with the path of the first item of each.
class name_registry {
 public:
  name_registry(std::string what, check_context& context) : what_(std::move(what)), context_(&context) {}

  /// Adds a finding if the name was seen before. An empty name was invalid and has a finding already.
  void add(const std::string& name, const std::string& path) {
    if (name.empty()) return;
    const auto [it, inserted] = first_.emplace(name, path);
    if (!inserted) context_->add_at(path, fmt::format("{} \"{}\" is also at {}", what_, name, it->second));
  }

  /// Adds a finding if the name was not seen.
  void require(const std::string& name, const std::string& path) const {
    if (name.empty() || first_.contains(name)) return;
    context_->add_at(path, fmt::format("there is no {} \"{}\"", what_, name));
  }

 private:
  std::string what_;
  check_context* context_;
  std::unordered_map<std::string, std::string> first_;
};

/// Calls `visit(item, path)` for each item of a list.
template <class Items, class Visit>
void for_each_item(const Items& items, const std::string& path, Visit visit) {
  std::size_t index = 0;
  for (const auto& it : items) visit(it, item_path(path, index++));
}

class content_checker {
 public:
  content_checker(const document_content& content, check_context& context)
      : content_(content),
        context_(context),
        data_centres_("data centre", context),
        services_("service", context),
        customers_("customer", context) {}

  void run() {
    check_regions();
    check_vms();
    check_services();
    check_customers();
    check_routes();
  }

 private:
  void check_regions() {
    name_registry names{"region", context_};
    for_each_item(content_.regions, "regions", [&](const region& it, const std::string& path) {
      names.add(it.name, member_path(path, "name"));
      for_each_item(
          it.data_centres, member_path(path, "data_centres"),
          [&](const data_centre_id& name, const std::string& at) { data_centres_.add(name.str(), at); });
    });
  }

  void check_vms() {
    name_registry names{"VM", context_};
    name_registry addresses{"peer address", context_};
    for_each_item(content_.vms, "vms", [&](const vm& it, const std::string& path) {
      names.add(it.name.str(), member_path(path, "name"));
      addresses.add(it.peer_address.str(), member_path(path, "peer_address"));
      data_centres_.require(it.data_centre.str(), member_path(path, "data_centre"));
    });
  }

  void check_services() {
    name_registry targets{"target", context_};
    name_registry addresses{"address", context_};
    for_each_item(content_.services, "services", [&](const service& it, const std::string& path) {
      services_.add(it.name.str(), member_path(path, "name"));
      for_each_item(it.targets, member_path(path, "targets"), [&](const target& item, const std::string& at) {
        targets.add(item.name.str(), member_path(at, "name"));
        addresses.add(item.address.str(), member_path(at, "address"));
        check_target(item, at);
      });
    });
  }

  void check_target(const target& it, const std::string& path) {
    data_centres_.require(it.data_centre.str(), member_path(path, "data_centre"));
    // Zero stands for a value that was invalid and has a finding already.
    if (it.connections > 0 && it.slots > it.connections) {
      context_.add_at(member_path(path, "slots"),
                      fmt::format("must be at most the {} connections, is {}", it.connections, it.slots));
    }
  }

  void check_customers() {
    name_registry keys{"key", context_};
    for_each_item(content_.customers, "customers", [&](const customer& it, const std::string& path) {
      customers_.add(it.name.str(), member_path(path, "name"));
      if (it.name.str() == "anonymous") {
        context_.add_at(member_path(path, "name"),
                        "\"anonymous\" is the built-in customer of requests without a key");
      }
      for_each_item(it.keys, member_path(path, "keys"), [&](const customer_key& key, const std::string& at) {
        keys.add(key.id.str(), member_path(at, "id"));
      });
    });
  }

  void check_routes() {
    name_registry names{"route", context_};
    for_each_item(content_.routes, "routes", [&](const route& it, const std::string& path) {
      names.add(it.name.str(), member_path(path, "name"));
      services_.require(it.service.str(), member_path(path, "service"));
      check_route_customers(it, member_path(path, "customers"));
    });
  }

  void check_route_customers(const route& it, const std::string& path) {
    if (it.open && !it.customers.empty()) context_.add_at(path, "must be empty on an open route");
    if (!it.open && it.customers.empty()) {
      context_.add_at(path, "must name a customer unless the route is open");
    }
    name_registry names{"customer", context_};
    for_each_item(it.customers, path, [&](const customer_id& name, const std::string& at) {
      names.add(name.str(), at);
      customers_.require(name.str(), at);
    });
  }

  const document_content& content_;
  check_context& context_;
  name_registry data_centres_;
  name_registry services_;
  name_registry customers_;
};

}  // namespace

void check_content(const document_content& content, check_context& context) {
  content_checker{content, context}.run();
}

}  // namespace bulrushlift::internal

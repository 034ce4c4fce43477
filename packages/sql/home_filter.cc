#include "sql/home_filter.h"

#include <algorithm>
#include <iterator>

namespace bulrushlift::sql {

home_filter::home_filter(const region_set& route, const region_set& customer)
    : is_bound_(!route.empty() || !customer.empty()) {
  if (route.empty() || customer.empty()) {
    homes_ = route.empty() ? customer : route;
    return;
  }
  std::set_intersection(route.begin(), route.end(), customer.begin(), customer.end(),
                        std::inserter(homes_, homes_.end()));
}

bool home_filter::allows_target(const region_id& region) const {
  return !is_bound_ || homes_.contains(region);
}

bool home_filter::allows_vm(const region_id& vm_region, const region_id& caller_region, bool is_entry) const {
  return is_entry || vm_region == caller_region || allows_target(vm_region);
}

}  // namespace bulrushlift::sql

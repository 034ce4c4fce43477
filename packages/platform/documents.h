#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/error.h"
#include "platform/object_store.h"
#include "sql/environment.h"
#include "sql/target_directory.h"

/// @file
/// Decodes what the operator and the targets write into the store, and encodes what
/// this product keeps there.

namespace bulrushlift::platform {

/// @return the configuration, or `invalid_document` with the part that is wrong.
[[nodiscard]] result<sql::environment> decode_environment(const nlohmann::json& content);

/// @return the announcement, or `invalid_document`: entries may come from other writers.
[[nodiscard]] result<sql::target_announcement> decode_target(const stored_object& object);

/// One process of this product, as it announces itself.
struct vm_record {
  vm_id vm;
  std::string peer_address;
  data_centre_id data_centre;
  incarnation_id incarnation;

  friend bool operator==(const vm_record&, const vm_record&) = default;
};

[[nodiscard]] nlohmann::json encode_vm(const vm_record& record);
[[nodiscard]] result<vm_record> decode_vm(const stored_object& object);

/// The claim of one promotion.
struct promotion_record {
  service_id service;
  target_id target;
  vm_id claimed_by;

  friend bool operator==(const promotion_record&, const promotion_record&) = default;
};

[[nodiscard]] nlohmann::json encode_promotion(const promotion_record& record);
[[nodiscard]] result<promotion_record> decode_promotion(const stored_object& object);

}  // namespace bulrushlift::platform

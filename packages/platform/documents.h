#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/error.h"
#include "platform/object_store.h"
#include "sql/environment.h"
#include "sql/promotion_claim.h"
#include "sql/target_directory.h"

/// @file
/// Decodes the JSON documents that the operator and the targets write to the object store,
/// and encodes and decodes those of the proxy.

namespace bulrushlift::platform {

/// Decodes the operator's configuration.
/// @return the configuration, or `invalid_document` with the name of the invalid field.
[[nodiscard]] result<sql::environment> decode_environment(const nlohmann::json& content);

/// Decodes the announcement of a target.
/// @return the announcement, or `invalid_document`, because other programs may write
///   objects of this kind too.
[[nodiscard]] result<sql::target_announcement> decode_target(const stored_object& object);

/// The announcement of one process of the proxy.
struct vm_record {
  vm_id vm;
  std::string peer_address;  ///< Where the process listens for its peers.
  data_centre_id data_centre;
  incarnation_id incarnation;
  double cores = 0;      ///< Cores that the process may keep busy; 0 if it is not known.
  double link_mbps = 0;  ///< Bandwidth of the VM's link in Mbit/s; 0 if it is not known.

  friend bool operator==(const vm_record&, const vm_record&) = default;
};

[[nodiscard]] nlohmann::json encode_vm(const vm_record& record);
/// @return the record, or `invalid_document` with the name of the invalid field.
[[nodiscard]] result<vm_record> decode_vm(const stored_object& object);

/// The claim of a VM to promote a target of a service.
struct promotion_record {
  service_id service;
  vm_id claimed_by;
  sql::promotion_claim claim;

  friend bool operator==(const promotion_record&, const promotion_record&) = default;
};

[[nodiscard]] nlohmann::json encode_promotion(const promotion_record& record);
/// @return the record, or `invalid_document` with the name of the invalid field.
[[nodiscard]] result<promotion_record> decode_promotion(const stored_object& object);

}  // namespace bulrushlift::platform

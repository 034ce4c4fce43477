#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "base/ids.h"

/// @file
/// Values of the objects `environments/<env>/production`, `history/<generation>` and `trial`, and the paths
/// of objects that proxies and the operator's program share.

namespace bulrushlift {

/// A document in force, now or earlier.
struct production_record {
  generation_id generation;
  std::string promotion_id;  ///< Chosen by the promotion; recognises its own write after a lost answer.
  std::string digest;        ///< SHA-256 of `text` in hexadecimal digits.
  std::string text;          ///< The document, byte for byte as it was tried.

  friend bool operator==(const production_record&, const production_record&) = default;
};

/// A candidate that passed its trial.
struct trial_record {
  generation_id tried_against;  ///< Generation in force at the trial; 0 if none was.
  std::string digest;
  std::string text;

  friend bool operator==(const trial_record&, const trial_record&) = default;
};

[[nodiscard]] std::string format_record(const production_record& record);
[[nodiscard]] std::string format_record(const trial_record& record);

/// @return the record, or `protocol_error` if a field is missing or the digest is not that of the text.
[[nodiscard]] result<production_record> parse_production_record(std::string_view value);
[[nodiscard]] result<trial_record> parse_trial_record(std::string_view value);

/// @return the SHA-256 digest of `text` in hexadecimal digits.
[[nodiscard]] std::string document_digest(std::string_view text);

/// Path prefix of the status objects of the VMs of all environments; the name of the VM follows.
inline constexpr std::string_view vm_status_prefix = "status/vms/";

/// Paths of the objects of one environment.
[[nodiscard]] std::string production_path(std::string_view environment);
[[nodiscard]] std::string trial_path(std::string_view environment);
[[nodiscard]] std::string history_path(std::string_view environment, generation_id generation);

}  // namespace bulrushlift

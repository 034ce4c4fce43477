#pragma once

#include <string>
#include <vector>

#include "document/document.h"

/// @file
/// What changes when one document replaces another.

namespace bulrushlift {

/// One change, for operators.
struct document_change {
  char sign = '~';   ///< '+' added, '-' removed, '~' changed.
  std::string what;  ///< For example "customer baobab".
  std::string text;  ///< For example "rate_per_second 900 -> 1000".

  friend bool operator==(const document_change&, const document_change&) = default;
};

/// @return the changes, in the order environment, regions, VMs, services, targets, customers, keys, routes.
[[nodiscard]] std::vector<document_change> compare_documents(const document& before, const document& after);

/// @return warnings about changes that end the work of callers, or that lower what they get.
[[nodiscard]] std::vector<std::string> impact_of(const document& before, const document& after);

}  // namespace bulrushlift

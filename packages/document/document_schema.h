#pragma once

#include "document/document.h"
#include "document/schema.h"
#include "document/settings.h"

/// @file
/// The tables of all objects in documents and settings.

namespace bulrushlift::internal {

[[nodiscard]] const object_schema<document_content>& document_schema();
[[nodiscard]] const object_schema<settings>& settings_schema();

/// Adds a finding for each rule between several items that `content` breaks:
/// duplicate or unknown names, and sizes that contradict each other.
void check_content(const document_content& content, check_context& context);

}  // namespace bulrushlift::internal

#pragma once

#include <string>

/// @file
/// The configuration reference, written from the tables that drive the parsers.

namespace bulrushlift {

/// @return the page docs/operators/configuration.md in Markdown.
[[nodiscard]] std::string configuration_reference();

}  // namespace bulrushlift

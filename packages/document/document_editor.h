#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "document/document.h"

/// @file
/// Changes a document's text in place, so that its comments and layout stay.
///
///     document_editor editor{text};
///     if (auto changed = editor.revoke_key(key_id{"k1"}); !changed) return changed.error();
///     write(editor.text());

namespace bulrushlift {

/// Each function returns `not_found` if the named item is missing, `conflict` if a new name is taken, and
/// changes nothing then. The text must be a valid document.
class document_editor {
 public:
  explicit document_editor(std::string text) : text_(std::move(text)) {}

  [[nodiscard]] const std::string& text() const noexcept { return text_; }

  /// Adds the customer without keys, and its name to each of the routes.
  [[nodiscard]] result<void> add_customer(const customer& added, const std::vector<route_id>& routes);
  /// @param burst,weight stay if empty.
  [[nodiscard]] result<void> set_rate(const customer_id& name, double rate_per_second,
                                      std::optional<double> burst, std::optional<double> weight);
  [[nodiscard]] result<void> add_key(const customer_id& owner, const customer_key& key);
  /// Revoking a revoked key changes nothing.
  [[nodiscard]] result<void> revoke_key(const key_id& id);

 private:
  std::string text_;
};

}  // namespace bulrushlift

#include "platform/json_slices.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

namespace bulrushlift::platform {
namespace {

constexpr std::string_view white_space = " \t\r\n";

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(white_space);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

/// @param at index of the opening quote.
/// @return the index behind the closing quote; `npos` if there is none.
std::size_t string_end(std::string_view text, std::size_t at) {
  for (auto i = text.find_first_of("\"\\", at + 1); i != std::string_view::npos;
       i = text.find_first_of("\"\\", i)) {
    if (text[i] == '"') return i + 1;
    i += 2;
  }
  return std::string_view::npos;
}

/// Goes over the brackets, commas and colons of a JSON text, without those in strings.
class token_scanner {
 public:
  explicit token_scanner(std::string_view text) : text_(text) {}

  /// Advances to the next of these characters.
  /// @return whether there is one.
  bool next() {
    at_ = text_.find_first_of("\"[]{},:", at_ + 1);
    while (at_ != std::string_view::npos && text_[at_] == '"') {
      const auto end = string_end(text_, at_);
      at_ = end == std::string_view::npos ? end : text_.find_first_of("\"[]{},:", end);
    }
    if (at_ == std::string_view::npos) return false;
    if (is_opening()) max_depth_ = std::max(max_depth_, ++depth_);
    if (is_closing()) --depth_;
    return true;
  }

  [[nodiscard]] std::size_t position() const noexcept { return at_; }
  [[nodiscard]] char token() const noexcept { return text_[at_]; }
  [[nodiscard]] std::ptrdiff_t depth() const noexcept { return depth_; }
  [[nodiscard]] std::ptrdiff_t max_depth() const noexcept { return max_depth_; }

 private:
  [[nodiscard]] bool is_opening() const noexcept { return token() == '[' || token() == '{'; }
  [[nodiscard]] bool is_closing() const noexcept { return token() == ']' || token() == '}'; }

  std::string_view text_;
  // The first search starts at index 0.
  std::size_t at_ = std::string_view::npos;
  std::ptrdiff_t depth_ = 0;
  std::ptrdiff_t max_depth_ = 0;
};

/// @param open the opening bracket.
/// @param close the closing bracket.
/// @return the texts between the outermost brackets that commas separate.
std::optional<json_slices> split(std::string_view text, char open, char close) {
  text = trim(text);
  if (text.size() < 2 || text.front() != open || text.back() != close) return std::nullopt;
  json_slices parts;
  std::size_t start = 1;
  token_scanner scanner{text};
  while (scanner.next()) {
    const bool is_end = scanner.depth() == 0;
    const bool is_separator = scanner.depth() == 1 && scanner.token() == ',';
    if (!is_end && !is_separator) continue;
    parts.push_back(trim(text.substr(start, scanner.position() - start)));
    start = scanner.position() + 1;
    if (!is_end) continue;
    if (start != text.size()) return std::nullopt;
    const bool is_empty = parts.size() == 1 && parts.front().empty();
    return is_empty ? json_slices{} : std::move(parts);
  }
  return std::nullopt;
}

bool is_too_deep(std::string_view text) {
  token_scanner scanner{text};
  while (scanner.next()) {
    if (scanner.max_depth() > static_cast<std::ptrdiff_t>(max_json_depth)) return true;
  }
  return false;
}

}  // namespace

std::optional<json_slices> split_array(std::string_view text) { return split(text, '[', ']'); }

std::optional<json_members> split_object(std::string_view text) {
  const auto parts = split(text, '{', '}');
  if (!parts) return std::nullopt;
  json_members members;
  for (const auto part : *parts) {
    if (part.empty() || part.front() != '"') return std::nullopt;
    const auto end = string_end(part, 0);
    if (end == std::string_view::npos) return std::nullopt;
    const auto rest = trim(part.substr(end));
    if (rest.empty() || rest.front() != ':') return std::nullopt;
    members.push_back({part.substr(1, end - 2), trim(rest.substr(1))});
  }
  return members;
}

std::string_view find_member(const json_members& members, std::string_view key) {
  const auto it =
      std::find_if(members.begin(), members.end(), [&](const json_member& each) { return each.key == key; });
  return it == members.end() ? std::string_view{} : it->value;
}

std::optional<nlohmann::json> parse_slice(std::string_view text) {
  if (is_too_deep(text)) return std::nullopt;
  auto value = nlohmann::json::parse(text, nullptr, false);
  if (value.is_discarded()) return std::nullopt;
  return value;
}

std::optional<std::string> parse_string(std::string_view text) {
  if (text.empty() || text.front() != '"') return std::nullopt;
  const auto value = parse_slice(text);
  if (!value || !value->is_string()) return std::nullopt;
  return value->get<std::string>();
}

std::optional<std::uint64_t> parse_unsigned(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc{} || text.empty() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace bulrushlift::platform

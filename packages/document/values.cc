#include "document/values.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace bulrushlift::internal {
namespace {

using std::chrono::milliseconds;

/// Longest part of a wrong value that a message repeats.
constexpr std::size_t quoted_length = 60;

bool is_name_start(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }

bool is_name_of(std::string_view text, std::string_view punctuation) {
  if (text.empty() || text.size() > 63 || !is_name_start(text.front())) return false;
  return std::all_of(text.begin(), text.end(), [punctuation](char c) {
    return is_name_start(c) || punctuation.find(c) != std::string_view::npos;
  });
}

std::string quote(std::string_view text) {
  if (text.size() <= quoted_length) return fmt::format("\"{}\"", text);
  auto end = quoted_length;
  // A multi-byte character is not cut in two.
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0U) == 0x80U) --end;
  return fmt::format("\"{}...\"", text.substr(0, end));
}

std::string count_text(milliseconds value) { return fmt::format("{}", value.count()); }

}  // namespace

bool is_plain_name(std::string_view text) noexcept { return is_name_of(text, "._-"); }
bool is_key_name(std::string_view text) noexcept { return is_name_of(text, "-"); }

std::string show_number(double value) { return fmt::format("{:.15g}", value); }

std::string show_range(double least, double most) {
  return fmt::format("{} to {}", show_number(least), show_number(most));
}

bool read_text(std::string& out, const json_node& node, const text_check& is_valid, const std::string& rule,
               const std::string& path, check_context& context) {
  if (!require_type(node, json_type::text, "a text", path, context)) return false;
  if (!is_valid(node.text)) {
    context.add(node.line, path, fmt::format("must be {}, is {}", rule, quote(node.text)));
    return false;
  }
  out = node.text;
  return true;
}

bool read_number(double& out, const json_node& node, double least, double most, bool whole,
                 const std::string& path, check_context& context) {
  const auto expected = whole ? "a whole number" : "a number";
  if (!require_type(node, json_type::number, expected, path, context)) return false;
  if (!std::isfinite(node.number) || (whole && std::floor(node.number) != node.number)) {
    context.add(node.line, path, fmt::format("must be {}, is {}", expected, node.text));
    return false;
  }
  if (node.number < least || node.number > most) {
    context.add(node.line, path, fmt::format("must be {}, is {}", show_range(least, most), node.text));
    return false;
  }
  out = node.number;
  return true;
}

value_reader<std::string> name_value() {
  auto read = [](std::string& out, const json_node& node, const std::string& path, check_context& context) {
    read_text(out, node, is_plain_name, plain_name_rule, path, context);
  };
  return {"name", plain_name_rule, std::move(read), [](const std::string& value) { return value; }};
}

value_reader<bool> flag_value() {
  auto read = [](bool& out, const json_node& node, const std::string& path, check_context& context) {
    if (require_type(node, json_type::boolean, "true or false", path, context)) out = node.flag;
  };
  return {"true or false", "", std::move(read),
          [](const bool& value) { return std::string{value ? "true" : "false"}; }};
}

value_reader<double> number_value(double least, double most) {
  auto read = [least, most](double& out, const json_node& node, const std::string& path,
                            check_context& context) {
    read_number(out, node, least, most, false, path, context);
  };
  return {"number", show_range(least, most), std::move(read),
          [](const double& value) { return show_number(value); }};
}

value_reader<milliseconds> milliseconds_value(milliseconds least, milliseconds most) {
  const auto low = static_cast<double>(least.count());
  const auto high = static_cast<double>(most.count());
  auto read = [low, high](milliseconds& out, const json_node& node, const std::string& path,
                          check_context& context) {
    double number = 0;
    if (!require_type(node, json_type::number, "a whole number of milliseconds", path, context)) return;
    if (read_number(number, node, low, high, true, path, context)) {
      out = milliseconds{static_cast<milliseconds::rep>(number)};
    }
  };
  return {"milliseconds", show_range(low, high), std::move(read), count_text};
}

value_reader<std::optional<milliseconds>> optional_milliseconds_value(milliseconds least, milliseconds most) {
  auto inner = milliseconds_value(least, most);
  auto read = [inner_read = inner.read](std::optional<milliseconds>& out, const json_node& node,
                                        const std::string& path, check_context& context) {
    inner_read(out.emplace(), node, path, context);
  };
  auto show = [](const std::optional<milliseconds>& value) {
    return value ? count_text(*value) : "no limit";
  };
  return {inner.type, inner.rule, std::move(read), std::move(show)};
}

value_reader<network_address> address_value(bool allow_port_zero) {
  const std::string rule = allow_port_zero ? "an IP number and a port, where port 0 is chosen by the kernel"
                                           : "an IP number and a port from 1 to 65535";
  auto read = [rule, allow_port_zero](network_address& out, const json_node& node, const std::string& path,
                                      check_context& context) {
    std::string text;
    const auto is_valid = [allow_port_zero](std::string_view it) {
      return is_network_address(it, allow_port_zero);
    };
    if (read_text(text, node, is_valid, rule, path, context)) out = network_address{std::move(text)};
  };
  return {"address", rule, std::move(read), [](const network_address& value) { return value.str(); }};
}

value_reader<digest256> digest_value() {
  auto read = [](digest256& out, const json_node& node, const std::string& path, check_context& context) {
    if (!require_type(node, json_type::text, "a text", path, context)) return;
    const auto bytes = from_hex(node.text);
    if (!bytes || bytes->size() != out.size()) {
      context.add(node.line, path,
                  fmt::format("must be 64 hexadecimal digits, is a text of {} characters", node.text.size()));
      return;
    }
    std::copy(bytes->begin(), bytes->end(), out.begin());
  };
  return {"digest", "64 hexadecimal digits, the SHA-256 digest of the whole key", std::move(read),
          [](const digest256& value) { return to_hex(as_bytes(value)); }};
}

value_reader<std::string> secret_value(std::size_t least_bytes, std::size_t most_bytes) {
  const auto rule = fmt::format("{} to {} hexadecimal digits", least_bytes * 2, most_bytes * 2);
  auto read = [rule, least_bytes, most_bytes](std::string& out, const json_node& node,
                                              const std::string& path, check_context& context) {
    if (!require_type(node, json_type::text, "a text", path, context)) return;
    auto bytes = from_hex(node.text);
    if (!bytes || bytes->size() < least_bytes || bytes->size() > most_bytes) {
      // A wrong secret may be a real one with a typing error, so it is not repeated.
      context.add(node.line, path, fmt::format("must be {}", rule));
      return;
    }
    out = *std::move(bytes);
  };
  return {"secret", rule, std::move(read), [](const std::string&) { return std::string{}; }};
}

}  // namespace bulrushlift::internal

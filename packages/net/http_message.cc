#include "net/http_message.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace bulrushlift {
namespace {

bool is_same_name(std::string_view left, std::string_view right) noexcept {
  return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

}  // namespace

std::optional<std::string_view> http_headers::find(std::string_view name) const noexcept {
  const auto found = std::find_if(fields_.begin(), fields_.end(),
                                  [name](const auto& field) { return is_same_name(field.first, name); });
  if (found == fields_.end()) return std::nullopt;
  return found->second;
}

std::size_t http_headers::count(std::string_view name) const noexcept {
  return static_cast<std::size_t>(std::count_if(
      fields_.begin(), fields_.end(), [name](const auto& field) { return is_same_name(field.first, name); }));
}

http_response json_response(int status, std::string body) {
  http_response response;
  response.status = status;
  response.headers.add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

}  // namespace bulrushlift

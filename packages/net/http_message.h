#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"

/// @file
/// HTTP/1.1 requests and responses as values.

namespace bulrushlift {

/// Names a connection of one server for the life of the process.
using http_connection_id = number_id<struct http_connection_tag>;

/// Header fields in the order of arrival.
class http_headers {
 public:
  void add(std::string name, std::string value) { fields_.emplace_back(std::move(name), std::move(value)); }

  /// @return the first value of the field; names are compared without case.
  [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const noexcept;

  /// @return how many fields have that name.
  [[nodiscard]] std::size_t count(std::string_view name) const noexcept;

  [[nodiscard]] auto begin() const noexcept { return fields_.begin(); }
  [[nodiscard]] auto end() const noexcept { return fields_.end(); }
  [[nodiscard]] std::size_t size() const noexcept { return fields_.size(); }

  friend bool operator==(const http_headers&, const http_headers&) = default;

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

struct http_request {
  http_connection_id connection = {};  ///< Set by the server; unused in a client.
  std::string method = "GET";
  std::string target = "/";
  http_headers headers = {};
  std::string body = {};
  /// Whether the sender keeps the connection open after the answer.
  bool keep_alive = true;
};

struct http_response {
  int status = 200;
  http_headers headers = {};
  std::string body = {};
  /// Closes the connection after this response.
  bool close = false;
};

/// @return a response with a body of type application/json.
[[nodiscard]] http_response json_response(int status, std::string body);

}  // namespace bulrushlift

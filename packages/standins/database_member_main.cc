#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string_view>

#include "net/event_loop.h"
#include "standins/database_member_server.h"

/// @file
/// Test program: serves one member of a database group over HTTP.
///
///     database_member --service orders --target t1 --role primary --listen 127.0.0.1:0
///     # prints {"target":"t1","address":"127.0.0.1:40123"}

namespace bulrushlift::standin {
namespace {

constexpr std::string_view usage =
    "usage: database_member --service NAME --target NAME [--role primary|replica] [--listen IP:PORT]\n"
    "  [--peers NAME=IP:PORT,...] [--slots N] [--connections N] [--connection-cost-ms N]\n"
    "  [--statement-cost-us N] [--replication-lag-ms N]\n";

std::optional<std::uint32_t> read_number(std::string_view text) {
  std::uint32_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Parses "name=address,name=address" and adds the pairs to `peers`.
/// @return whether the text is valid.
bool read_peers(std::string_view text, std::map<target_id, std::string>& peers) {
  while (!text.empty()) {
    const auto item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(item.size() + 1, text.size()));
    const auto equals = item.find('=');
    if (equals == std::string_view::npos || !parse_address(item.substr(equals + 1))) return false;
    peers.emplace(target_id{item.substr(0, equals)}, item.substr(equals + 1));
  }
  return true;
}

bool read_option(int name, std::string_view text, member_server_options& options) {
  auto& member = options.member;
  const auto number = read_number(text);
  switch (name) {
    case 's':
      member.service = service_id{text};
      return !text.empty();
    case 't':
      member.target = target_id{text};
      return !text.empty();
    case 'r':
      member.role = text == "primary" ? member_role::primary : member_role::replica;
      return text == "primary" || text == "replica";
    case 'l':
      if (const auto address = parse_address(text)) options.listen = *address;
      return parse_address(text).has_value();
    case 'p':
      return read_peers(text, options.peers);
    case 'n':
      member.slots = number.value_or(0);
      return member.slots > 0;
    case 'c':
      member.connections = number.value_or(0);
      return member.connections > 0;
    case 'C':
      options.connection_cost = std::chrono::milliseconds{number.value_or(0)};
      return number.has_value();
    case 'S':
      options.statement_cost = std::chrono::microseconds{number.value_or(0)};
      return number.has_value();
    case 'L':
      member.replication_lag = std::chrono::milliseconds{number.value_or(0)};
      return number.has_value();
    default:
      return false;
  }
}

std::optional<member_server_options> read_options(int argc, char** argv) {
  const option known[] = {{"service", required_argument, nullptr, 's'},
                          {"target", required_argument, nullptr, 't'},
                          {"role", required_argument, nullptr, 'r'},
                          {"listen", required_argument, nullptr, 'l'},
                          {"peers", required_argument, nullptr, 'p'},
                          {"slots", required_argument, nullptr, 'n'},
                          {"connections", required_argument, nullptr, 'c'},
                          {"connection-cost-ms", required_argument, nullptr, 'C'},
                          {"statement-cost-us", required_argument, nullptr, 'S'},
                          {"replication-lag-ms", required_argument, nullptr, 'L'},
                          {nullptr, 0, nullptr, 0}};
  member_server_options options;
  for (int found = 0; (found = getopt_long(argc, argv, "", known, nullptr)) != -1;) {
    if (found == '?' || !read_option(found, optarg, options)) return std::nullopt;
  }
  const bool is_complete =
      !options.member.service.empty() && !options.member.target.empty() && optind == argc;
  return is_complete ? std::optional{options} : std::nullopt;
}

int run(const member_server_options& options) {
  event_loop loop;
  database_member_server server{loop, options};
  const auto bound = server.listen();
  if (!bound) {
    fmt::print(stderr, "database_member: {}\n", bound.error().message);
    return EXIT_FAILURE;
  }
  for (const int number : {SIGTERM, SIGINT}) {
    if (!loop.on_signal(number, [&loop] { loop.stop(); })) return EXIT_FAILURE;
  }
  const json line{{"target", options.member.target.str()}, {"address", bound->str()}};
  fmt::print("{}\n", line.dump());
  std::fflush(stdout);
  loop.run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace bulrushlift::standin

int main(int argc, char** argv) {
  const auto options = bulrushlift::standin::read_options(argc, argv);
  if (options) return bulrushlift::standin::run(*options);
  fmt::print(stderr, "{}", bulrushlift::standin::usage);
  return EXIT_FAILURE;
}

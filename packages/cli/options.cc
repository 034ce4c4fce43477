#include "cli/options.h"

#include <fmt/format.h>
#include <getopt.h>

#include <charconv>
#include <cstdlib>

namespace bulrushlift {
namespace {

const option long_options[] = {{"platform", required_argument, nullptr, 'p'},
                               {"environment", required_argument, nullptr, 'e'},
                               {"json", no_argument, nullptr, 'j'},
                               {"help", no_argument, nullptr, 'h'},
                               {"version", no_argument, nullptr, 'v'},
                               {"digest", required_argument, nullptr, 'd'},
                               {"id", required_argument, nullptr, 'i'},
                               {"rate", required_argument, nullptr, 'r'},
                               {"burst", required_argument, nullptr, 'b'},
                               {"weight", required_argument, nullptr, 'w'},
                               {"route", required_argument, nullptr, 'o'},
                               {"admin", required_argument, nullptr, 'a'},
                               {"sessions", no_argument, nullptr, 's'},
                               {"against", required_argument, nullptr, 'g'},
                               {nullptr, 0, nullptr, 0}};

std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe): one thread
  return value == nullptr ? "" : value;
}

bool parse_number(const std::string& text, std::optional<double>& out) {
  double value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc{} || end != text.data() + text.size()) return false;
  out = value;
  return true;
}

/// Stores the value of one option.
/// @param name the option's character in `long_options`.
/// @return false if the option takes a number and the value is not a number.
bool apply_option(cli_options& options, int name, const std::string& value) {
  switch (name) {
    case 'p':
      options.platform = value;
      return true;
    case 'e':
      options.environment = value;
      return true;
    case 'j':
      options.json = true;
      return true;
    case 'h':
      options.help = true;
      return true;
    case 'v':
      options.version = true;
      return true;
    case 'd':
      options.digest = value;
      return true;
    case 'i':
      options.id = value;
      return true;
    case 'o':
      options.routes.push_back(value);
      return true;
    case 'a':
      options.admin_addresses.push_back(value);
      return true;
    case 's':
      options.sessions = true;
      return true;
    case 'g':
      options.against = value;
      return true;
    case 'r':
      return parse_number(value, options.rate);
    case 'b':
      return parse_number(value, options.burst);
    default:
      return parse_number(value, options.weight);
  }
}

}  // namespace

result<cli_options> parse_options(const std::vector<std::string>& arguments) {
  cli_options options;
  options.platform = environment_variable("BULRUSHLIFT_PLATFORM");
  options.environment = environment_variable("BULRUSHLIFT_ENVIRONMENT");
  auto copies = arguments;
  std::string program = "bulrushlift";
  std::vector<char*> pointers{program.data()};
  for (auto& it : copies) pointers.push_back(it.data());
  pointers.push_back(nullptr);
  const int count = static_cast<int>(pointers.size()) - 1;
  optind = 0;  // resets getopt, which keeps its position between calls
  int option_code = 0;
  while ((option_code = getopt_long(count, pointers.data(), ":", long_options, nullptr)) != -1) {
    const std::string value = optarg == nullptr ? "" : optarg;
    if (option_code == '?' || option_code == ':') {
      const auto* what = option_code == '?' ? "unknown option" : "missing value of option";
      return make_error(error_kind::bad_request, fmt::format("{} {}", what, pointers[optind - 1]));
    }
    if (!apply_option(options, option_code, value)) {
      return make_error(error_kind::bad_request, fmt::format("\"{}\" is not a number", value));
    }
  }
  for (int i = optind; i < count; ++i) options.positional.emplace_back(pointers[i]);
  return options;
}

int exit_code_of(const error& failure) noexcept {
  switch (failure.kind) {
    case error_kind::bad_request:
      return 2;
    case error_kind::invalid_document:
    case error_kind::invalid_settings:
      return 3;
    case error_kind::conflict:
      return 4;
    case error_kind::not_found:
      return 5;
    case error_kind::outcome_unknown:
      return 7;
    case error_kind::platform_unavailable:
    case error_kind::target_unavailable:
    case error_kind::peer_unavailable:
    case error_kind::deadline_exceeded:
    case error_kind::io_error:
      return failure.request_outcome() == outcome::unknown ? 7 : 6;
    default:
      return 1;
  }
}

}  // namespace bulrushlift

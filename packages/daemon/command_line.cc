#include "daemon/command_line.h"

#include <fmt/format.h>
#include <getopt.h>

#include <array>

namespace bulrushlift {

result<command_line> parse_command_line(const std::vector<std::string>& arguments) {
  static constexpr std::array<option, 5> options{{{"settings", required_argument, nullptr, 's'},
                                                  {"entry", no_argument, nullptr, 'e'},
                                                  {"help", no_argument, nullptr, 'h'},
                                                  {"version", no_argument, nullptr, 'v'},
                                                  {nullptr, 0, nullptr, 0}}};
  std::vector<std::string> copies = arguments;
  std::vector<char*> pointers;
  pointers.reserve(copies.size() + 1);
  for (auto& each : copies) pointers.push_back(each.data());
  pointers.push_back(nullptr);
  const int count = static_cast<int>(copies.size());

  command_line parsed;
  // optind = 0 makes glibc reset its scan, so that the function can be called more than once.
  optind = 0;
  opterr = 0;
  for (int c = 0; (c = getopt_long(count, pointers.data(), ":s:ehv", options.data(), nullptr)) != -1;) {
    switch (c) {
      case 's':
        parsed.settings_path = optarg;
        break;
      case 'e':
        parsed.is_entry = true;
        break;
      case 'h':
        parsed.is_help_wanted = true;
        break;
      case 'v':
        parsed.is_version_wanted = true;
        break;
      case ':':
        return make_error(error_kind::bad_request, "option --settings needs a file name");
      default:
        return make_error(error_kind::bad_request, fmt::format("unknown option \"{}\"", copies[optind - 1]));
    }
  }
  if (optind < count) {
    return make_error(error_kind::bad_request, fmt::format("unexpected argument \"{}\"", pointers[optind]));
  }
  const bool is_only_text_wanted = parsed.is_help_wanted || parsed.is_version_wanted;
  if (parsed.settings_path.empty() && !is_only_text_wanted) {
    return make_error(error_kind::bad_request, "option --settings FILE is required");
  }
  return parsed;
}

std::string usage_text() {
  return R"(usage: bulrushliftd [--entry] --settings FILE

Runs one proxy until SIGTERM, which drains it. Logs are JSON lines on standard
error. The bound addresses are printed as one JSON line on standard output.

With --entry the proxy serves sessions on the operators' platform: its settings
have the form of deploy/settings.jsonc, and its logs go to standard output.

  -s, --settings FILE   settings of this VM, JSON with comments
  -e, --entry           serve sessions on the operators' platform
  -h, --help            print this text and exit
  -v, --version         print the version and exit

Example:

  bulrushliftd --settings /etc/bulrushlift/entry-1.json

with a file such as

  {
    "vm": "entry-1",
    "data_centre": "thies",
    "environment": "production",
    "caller_listen": "10.0.0.1:8080",
    "peer_listen": "10.0.0.1:8081",
    "admin_listen": "127.0.0.1:8082",
    "platform": "10.0.0.250:7000",
    "seeds": ["10.0.0.2:8081"],
    "token_secrets": ["4f7b..."]
  }
)";
}

}  // namespace bulrushlift

#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "net/event_loop.h"
#include "standins/platform_server.h"

/// @file
/// Test program: serves the platform's object API from memory; objects are lost at exit.
///
///     platform_standin --listen 127.0.0.1:0     # prints {"address":"127.0.0.1:40123"}

namespace bulrushlift {
namespace {

int run(const std::string& listen) {
  const auto wanted = parse_address(listen);
  if (!wanted) {
    fmt::print(stderr, "platform_standin: {}\n", wanted.error().message);
    return EXIT_FAILURE;
  }
  event_loop loop;
  platform_server server{loop};
  const auto bound = server.listen(*wanted);
  if (!bound) {
    fmt::print(stderr, "platform_standin: {}\n", bound.error().message);
    return EXIT_FAILURE;
  }
  for (const int number : {SIGTERM, SIGINT}) {
    if (!loop.on_signal(number, [&loop] { loop.stop(); })) return EXIT_FAILURE;
  }
  fmt::print("{{\"address\":\"{}\"}}\n", bound->str());
  std::fflush(stdout);
  loop.run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace bulrushlift

int main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  const option options[] = {{"listen", required_argument, nullptr, 'l'}, {nullptr, 0, nullptr, 0}};
  for (int found = 0; (found = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
    if (found != 'l') {
      fmt::print(stderr, "usage: platform_standin [--listen ADDRESS]\n");
      return EXIT_FAILURE;
    }
    listen = optarg;
  }
  return bulrushlift::run(listen);
}

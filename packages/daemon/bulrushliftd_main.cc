#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/log.h"
#include "daemon/command_line.h"
#include "daemon/daemon.h"
#include "entry/entry_daemon.h"
#include "entry/entry_settings.h"

namespace {

using namespace bulrushlift;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

result<std::string> read_file(const std::string& path) {
  std::ifstream file{path, std::ios::binary};
  if (!file)
    return make_error(error_kind::invalid_settings,
                      fmt::format("cannot read the settings file \"{}\"", path));
  return std::string{std::istreambuf_iterator<char>{file}, {}};
}

std::uint64_t random_seed() {
  std::uint64_t seed = 0;
  for (const char byte : random_bytes(sizeof seed)) seed = (seed << 8U) | static_cast<unsigned char>(byte);
  return seed;
}

incarnation_id start_incarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return incarnation_id{
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count())};
}

// Large buffers that are given back stay in the heap otherwise, between smaller ones.
void return_large_buffers_at_once() {
  constexpr int mmap_threshold_bytes = 64 << 10;
  constexpr int trim_threshold_bytes = 256 << 10;
  mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
  mallopt(M_TRIM_THRESHOLD, trim_threshold_bytes);
}

int print_error(const error& reason) {
  fmt::print(stderr, "bulrushliftd: {}\n", reason.message);
  return exit_failed;
}

int run_entry(const std::string& text) {
  const auto options = entry::parse_entry_settings(text);
  if (!options) return print_error(options.error());
  log_options logs;
  logs.level = options->level;
  logs.vm = options->vm.str();
  logs.output = log_output::standard_output;
  logs.lines_per_second = options->log_lines_per_second;
  configure_logs(logs);

  if (options->capacity.memory_bytes > 0) return_large_buffers_at_once();
  entry::entry_context context{*options, start_incarnation(), random_seed()};
  entry::entry_daemon proxy{context};
  if (const auto started = proxy.start(); !started) {
    log_error("start_failed", {{"reason", started.error().message}});
    return exit_failed;
  }
  log_info("started", {{"callers", options->caller_listen.str()},
                       {"peers", options->peer_listen.str()},
                       {"incarnation", context.incarnation.value()}});
  context.loop.run();
  log_info("stopped", {});
  return exit_ok;
}

int run(const settings& options) {
  auto signer = token_signer::create(options.token_secrets);
  if (!signer) {
    fmt::print(stderr, "bulrushliftd: {}\n", signer.error().message);
    return exit_failed;
  }
  log_options logs;
  logs.level = options.log.level;
  logs.vm = options.vm.str();
  logs.decision_sampling = options.log.decision_sampling;
  configure_logs(logs);

  daemon_context context{options, std::move(*signer), start_incarnation(), random_seed()};
  proxy_daemon proxy{context};
  const auto bound = proxy.start();
  if (!bound) {
    log_error("start_failed", {{"reason", bound.error().message}});
    return exit_failed;
  }
  log_info("started", {{"callers", bound->callers.str()},
                       {"peers", bound->peers.str()},
                       {"admin", bound->admin.str()},
                       {"incarnation", context.incarnation.value()}});
  fmt::print("{{\"callers\":\"{}\",\"peers\":\"{}\",\"admin\":\"{}\"}}\n", bound->callers.str(),
             bound->peers.str(), bound->admin.str());
  std::fflush(stdout);
  context.loop.run();
  log_info("stopped", {});
  return exit_ok;
}

}  // namespace

int main(int argc, char** argv) {
  const auto parsed = parse_command_line({argv, argv + argc});
  if (!parsed) {
    fmt::print(stderr, "bulrushliftd: {}\nTry 'bulrushliftd --help'.\n", parsed.error().message);
    return exit_usage;
  }
  if (parsed->is_help_wanted) {
    fmt::print("{}", usage_text());
    return exit_ok;
  }
  if (parsed->is_version_wanted) {
    fmt::print("bulrushliftd {}\n", BULRUSHLIFT_VERSION);
    return exit_ok;
  }
  const auto text = read_file(parsed->settings_path);
  if (!text) return print_error(text.error());
  if (parsed->is_entry) return run_entry(*text);
  const auto options = parse_settings(*text);
  if (!options) return print_error(options.error());
  return run(*options);
}

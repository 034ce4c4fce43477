#include "base/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <ctime>
#include <iterator>

#include "base/clock.h"
#include "base/log_limiter.h"

namespace bulrushlift {
namespace {

log_options& options() {
  static log_options instance;
  return instance;
}

std::string_view level_name(log_level level) {
  switch (level) {
    case log_level::debug:
      return "debug";
    case log_level::info:
      return "info";
    case log_level::warning:
      return "warning";
    case log_level::error:
      break;
  }
  return "error";
}

void append_quoted(std::string& out, std::string_view text) {
  out.push_back('"');
  for (const char raw : text) {
    const auto c = static_cast<unsigned char>(raw);
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(raw);
    } else if (c < 0x20 || c >= 0x7f) {
      fmt::format_to(std::back_inserter(out), "\\u{:04x}", c);
    } else {
      out.push_back(raw);
    }
  }
  out.push_back('"');
}

struct value_writer {
  std::string& out;
  void operator()(std::string_view text) const { append_quoted(out, text); }
  void operator()(bool flag) const { out += flag ? "true" : "false"; }
  void operator()(double number) const { fmt::format_to(std::back_inserter(out), "{:.3f}", number); }
  void operator()(std::int64_t number) const { fmt::format_to(std::back_inserter(out), "{}", number); }
  void operator()(std::uint64_t number) const { fmt::format_to(std::back_inserter(out), "{}", number); }
};

std::string wall_time() {
  const auto now = std::chrono::system_clock::now();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1'000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                     millis);
}

log_limiter& limiter() {
  static log_limiter instance{0};
  return instance;
}

void set_nonblocking(int descriptor) {
  const int flags = ::fcntl(descriptor, F_GETFL);
  if (flags >= 0) ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

/// Writes to standard output as far as it takes bytes. What a partly written line lacks
/// is written before the next line.
class nonblocking_output {
 public:
  void write(std::string_view line) {
    if (!flush()) {
      ++omitted_;
      return;
    }
    if (omitted_ > 0) pending_ = fmt::format("{{\"event\":\"log_lines_omitted\",\"count\":{}}}\n", omitted_);
    omitted_ = 0;
    pending_ += line;
    static_cast<void>(flush());
  }

 private:
  /// @return whether nothing is pending.
  [[nodiscard]] bool flush() {
    while (!pending_.empty()) {
      const auto n = ::write(STDOUT_FILENO, pending_.data(), pending_.size());
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      pending_.erase(0, static_cast<std::size_t>(n));
    }
    return true;
  }

  std::string pending_;
  std::uint64_t omitted_ = 0;
};

nonblocking_output& standard_output() {
  static nonblocking_output instance;
  return instance;
}

/// Writes a line that the limits allow.
void write_line(log_level level, std::string_view event, log_fields fields) {
  auto line = internal::format_line(level, wall_time(), options().vm, event, fields);
  line.push_back('\n');
  if (options().output == log_output::standard_output) {
    standard_output().write(line);
    return;
  }
  // One call for each line keeps lines of several processes on one pipe whole.
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace

void configure_logs(log_options value) {
  if (value.output == log_output::standard_output) set_nonblocking(STDOUT_FILENO);
  limiter() = log_limiter{value.lines_per_second};
  options() = std::move(value);
}

bool is_logged(log_level level) noexcept { return level >= options().level; }

bool is_next_decision_logged() noexcept {
  if (!is_logged(log_level::info)) return false;
  static std::uint32_t count = 0;
  const auto sampling = options().decision_sampling;
  return sampling > 0 && count++ % sampling == 0;
}

void log_line(log_level level, std::string_view event, log_fields fields) {
  if (!is_logged(level) || !limiter().admit(event, system_clock{}.now())) return;
  write_line(level, event, fields);
}

void report_omitted_lines() {
  for (const auto& each : limiter().take_omitted()) {
    write_line(log_level::warning, "log_lines_limited", {{"of_event", each.event}, {"count", each.count}});
  }
}

void log_debug(std::string_view event, log_fields fields) { log_line(log_level::debug, event, fields); }
void log_info(std::string_view event, log_fields fields) { log_line(log_level::info, event, fields); }
void log_warning(std::string_view event, log_fields fields) { log_line(log_level::warning, event, fields); }
void log_error(std::string_view event, log_fields fields) { log_line(log_level::error, event, fields); }

bool parse_log_level(std::string_view name, log_level& level) noexcept {
  for (const auto candidate : {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
    if (level_name(candidate) != name) continue;
    level = candidate;
    return true;
  }
  return false;
}

namespace internal {

std::string format_line(log_level level, std::string_view time, std::string_view vm, std::string_view event,
                        log_fields fields) {
  std::string line;
  line.reserve(256);
  line += "{\"time\":";
  append_quoted(line, time);
  line += ",\"level\":";
  append_quoted(line, level_name(level));
  if (!vm.empty()) {
    line += ",\"vm\":";
    append_quoted(line, vm);
  }
  line += ",\"event\":";
  append_quoted(line, event);
  for (const auto& field : fields) {
    line.push_back(',');
    append_quoted(line, field.name);
    line.push_back(':');
    std::visit(value_writer{line}, field.value);
  }
  line.push_back('}');
  return line;
}

}  // namespace internal
}  // namespace bulrushlift

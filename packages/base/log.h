#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

/// @file
/// Structured logs: one JSON object a line.
///
///     log_info("route", {{"request_id", id.str()}, {"target", "t1"}, {"reason", "fresh replica"}});
///
/// Callers never pass a key of a customer to these functions.

namespace bulrushlift {

enum class log_level { debug, info, warning, error };

/// One field of a log line.
struct log_field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool> value;

  log_field(std::string_view field, std::string_view text) : name(field), value(text) {}
  log_field(std::string_view field, const std::string& text) : name(field), value(std::string_view{text}) {}
  log_field(std::string_view field, const char* text) : name(field), value(std::string_view{text}) {}
  log_field(std::string_view field, bool flag) : name(field), value(flag) {}
  log_field(std::string_view field, double number) : name(field), value(number) {}
  log_field(std::string_view field, int number) : name(field), value(std::int64_t{number}) {}
  log_field(std::string_view field, std::int64_t number) : name(field), value(number) {}
  log_field(std::string_view field, std::uint64_t number) : name(field), value(number) {}
  /// Durations are written as milliseconds with fractions.
  log_field(std::string_view field, std::chrono::nanoseconds span)
      : name(field), value(std::chrono::duration<double, std::milli>(span).count()) {}
};

using log_fields = std::initializer_list<log_field>;

/// Where lines go. A full pipe on standard output never blocks: lines are left out
/// and counted in the next line that is written.
enum class log_output { standard_error, standard_output };

/// Process-wide log configuration.
struct log_options {
  log_level level = log_level::info;
  log_output output = log_output::standard_error;
  std::string vm;  ///< Written into each line when not empty.
  /// One of this many routing decisions is written; warnings and errors always are.
  std::uint32_t decision_sampling = 1;
  /// Of each event; 0 sets no bound. Lines beyond it are counted by `report_omitted_lines`.
  std::uint32_t lines_per_second = 0;
};

/// Replaces the process-wide configuration. Call before the first log line.
void configure_logs(log_options options);

/// @return whether lines of `level` are written; guards costly field values.
[[nodiscard]] bool is_logged(log_level level) noexcept;

/// @return whether the next decision line is to be written, by level and sampling.
[[nodiscard]] bool is_next_decision_logged() noexcept;

/// Writes one line. `event` names what happened, in snake case.
void log_line(log_level level, std::string_view event, log_fields fields);

/// Writes a line `log_lines_limited` for each event of which lines were left out since the
/// last call. Call about once a second.
void report_omitted_lines();

void log_debug(std::string_view event, log_fields fields = {});
void log_info(std::string_view event, log_fields fields = {});
void log_warning(std::string_view event, log_fields fields = {});
void log_error(std::string_view event, log_fields fields = {});

/// @return the log level with that name: debug, info, warning or error.
[[nodiscard]] bool parse_log_level(std::string_view name, log_level& level) noexcept;

namespace internal {
/// Formats a line without writing it. Invalid UTF-8 is replaced.
[[nodiscard]] std::string format_line(log_level level, std::string_view time, std::string_view vm,
                                      std::string_view event, log_fields fields);
}  // namespace internal

}  // namespace bulrushlift

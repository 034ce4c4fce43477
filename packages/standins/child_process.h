#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"

/// @file
/// Child processes and free ports for path tests, the demonstration and the benchmark
/// driver. The shipped programs start no processes.
///
///     auto member = child_process::start({bin + "/database_member", "--target", "t1"}, log_path);
///     auto line = member->read_line(std::chrono::seconds{10});  // announces its address

namespace bulrushlift {

/// A child process. The destructor kills and reaps it.
class child_process {
 public:
  /// Starts a program.
  /// @param arguments path of the program, followed by its arguments.
  /// @return the process, or `io_error`. A program that can't be executed exits with code 127.
  /// @param error_log file to which standard error is appended.
  /// @param output_log file to which standard output is appended; if empty, `read_line` reads standard
  /// output.
  [[nodiscard]] static result<child_process> start(const std::vector<std::string>& arguments,
                                                   const std::string& error_log,
                                                   const std::string& output_log = "");

  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  ~child_process();

  /// @return the next line of standard output without the line feed, `deadline_exceeded` if there is none
  ///     within `timeout`, or `io_error` if the process closed its output.
  [[nodiscard]] result<std::string> read_line(std::chrono::milliseconds timeout);

  /// Sends signal `number`. Has no effect after the process was reaped.
  void signal(int number) const noexcept;

  /// Waits until the process ends and reaps it.
  /// @return its exit code, 128 plus the number of the signal that ended it, `deadline_exceeded` if it still
  ///     runs after `timeout`, or `not_found` if it was already reaped.
  [[nodiscard]] result<int> wait(std::chrono::milliseconds timeout);

  /// Sends SIGKILL and reaps the process.
  void kill() noexcept;

  [[nodiscard]] pid_t pid() const noexcept { return pid_; }
  [[nodiscard]] bool is_running() const noexcept { return pid_ > 0; }

 private:
  child_process(pid_t pid, int output) noexcept : pid_(pid), output_(output) {}

  pid_t pid_ = -1;
  int output_ = -1;
  std::string pending_;
};

/// Finds ports on 127.0.0.1 that are free for TCP and UDP. They lie below the kernel's
/// ephemeral port range, so that the kernel assigns them to no other socket between
/// this call and their use.
/// @return `count` different ports, or `io_error`.
[[nodiscard]] result<std::vector<std::uint16_t>> free_ports(std::size_t count);

}  // namespace bulrushlift

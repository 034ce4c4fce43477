#include "standins/child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <thread>
#include <utility>

namespace bulrushlift {
namespace {

using steady = std::chrono::steady_clock;

constexpr std::uint16_t first_port = 15'000;
constexpr std::uint16_t port_range = 15'000;

tl::unexpected<error> system_error(std::string_view call) {
  return make_error(error_kind::io_error, fmt::format("{}: {}", call, std::strerror(errno)));
}

int open_log(const std::string& path) {
  return ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

[[noreturn]] void run_program(std::vector<char*>& argv, int output, const std::string& error_log,
                              const std::string& output_log) {
  const int log = open_log(error_log);
  if (!output_log.empty()) output = open_log(output_log);
  ::dup2(output, STDOUT_FILENO);
  if (log >= 0) ::dup2(log, STDERR_FILENO);
  // A socket that the child shares stays open when this process closes it.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execv(argv.front(), argv.data());
  ::_exit(127);
}

int exit_code(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status); }

bool is_bindable(std::uint16_t port, int type) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  ::close(fd);
  return is_free;
}

}  // namespace

result<child_process> child_process::start(const std::vector<std::string>& arguments,
                                           const std::string& error_log, const std::string& output_log) {
  std::array<int, 2> pipe_fds{};
  if (::pipe2(pipe_fds.data(), O_CLOEXEC) != 0) return system_error("pipe");
  std::vector<std::string> copies = arguments;
  std::vector<char*> argv;
  argv.reserve(copies.size() + 1);
  for (auto& argument : copies) argv.push_back(argument.data());
  argv.push_back(nullptr);
  const pid_t pid = ::fork();
  if (pid < 0) {
    ::close(pipe_fds[0]);
    ::close(pipe_fds[1]);
    return system_error("fork");
  }
  if (pid == 0) run_program(argv, pipe_fds[1], error_log, output_log);
  ::close(pipe_fds[1]);
  return child_process{pid, pipe_fds[0]};
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      output_(std::exchange(other.output_, -1)),
      pending_(std::move(other.pending_)) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  if (this == &other) return *this;
  kill();
  if (output_ >= 0) ::close(output_);
  pid_ = std::exchange(other.pid_, -1);
  output_ = std::exchange(other.output_, -1);
  pending_ = std::move(other.pending_);
  return *this;
}

child_process::~child_process() {
  kill();
  if (output_ >= 0) ::close(output_);
}

result<std::string> child_process::read_line(std::chrono::milliseconds timeout) {
  const auto deadline = steady::now() + timeout;
  while (true) {
    const auto end = pending_.find('\n');
    if (end != std::string::npos) {
      auto line = pending_.substr(0, end);
      pending_.erase(0, end + 1);
      return line;
    }
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - steady::now());
    pollfd poll_entry{output_, POLLIN, 0};
    if (remaining.count() <= 0 || ::poll(&poll_entry, 1, static_cast<int>(remaining.count())) == 0) {
      return make_error(error_kind::deadline_exceeded, fmt::format("no line from process {}", pid_));
    }
    std::array<char, 4096> buf{};
    const auto n = ::read(output_, buf.data(), buf.size());
    if (n == 0) return make_error(error_kind::io_error, fmt::format("process {} closed its output", pid_));
    if (n > 0) pending_.append(buf.data(), static_cast<std::size_t>(n));
  }
}

void child_process::signal(int number) const noexcept {
  if (pid_ > 0) ::kill(pid_, number);
}

result<int> child_process::wait(std::chrono::milliseconds timeout) {
  const auto deadline = steady::now() + timeout;
  while (pid_ > 0) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return exit_code(status);
    }
    if (steady::now() >= deadline) {
      return make_error(error_kind::deadline_exceeded, fmt::format("process {} still runs", pid_));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  }
  return make_error(error_kind::not_found, "the process was already reaped");
}

void child_process::kill() noexcept {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  pid_ = -1;
}

result<std::vector<std::uint16_t>> free_ports(std::size_t count) {
  // The search starts at a port that depends on the process id, so that processes which run at the same
  // time rarely try the same ports.
  static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * 64U;
  std::vector<std::uint16_t> ports;
  for (std::uint32_t tried = 0; tried < port_range && ports.size() < count; ++tried) {
    const auto port = static_cast<std::uint16_t>(first_port + next++ % port_range);
    if (is_bindable(port, SOCK_STREAM) && is_bindable(port, SOCK_DGRAM)) ports.push_back(port);
  }
  if (ports.size() < count) return make_error(error_kind::io_error, "too few free ports on 127.0.0.1");
  return ports;
}

}  // namespace bulrushlift

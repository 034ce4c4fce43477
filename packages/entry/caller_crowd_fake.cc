#include "entry/caller_crowd_fake.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <utility>

namespace bulrushlift::entry {
namespace {

// The address sanitizer adds shadow memory and keeps what is freed, so the resident memory of a process built
// with it says nothing about the product. The build without it checks the bound.
#ifdef __SANITIZE_ADDRESS__
constexpr bool is_memory_measured = false;
#else
constexpr bool is_memory_measured = true;
#endif

using namespace std::chrono_literals;

constexpr std::size_t bytes_per_mb = std::size_t{1} << 20U;
// A crowd has come to rest when nothing moved in this many rounds.
constexpr int quiet_rounds = 200;
constexpr auto round_time = 2ms;
// Limit of a crowd that never comes to rest because it is closed and paused in turns.
constexpr int max_rounds = 5'000;
constexpr int rounds_per_record = 5;
constexpr int unread_bytes = 16'384;

}  // namespace

nlohmann::json crowd_settings() {
  return {{"capacity",
           {{"core_share", 1},
            {"cores", 1},
            {"memory_mb", crowd_memory_mb},
            {"descriptors", crowd_descriptors},
            {"link_mbps", 0}}}};
}

std::size_t peak_memory_bytes(pid_t pid) {
  std::ifstream status{"/proc/" + std::to_string(pid) + "/status"};
  for (std::string line; std::getline(status, line);) {
    constexpr std::string_view label = "VmHWM:";
    if (line.starts_with(label)) return std::stoul(line.substr(label.size())) * 1024;
  }
  return 0;
}

std::size_t open_descriptors(pid_t pid) {
  std::error_code ec;
  std::filesystem::directory_iterator folder{"/proc/" + std::to_string(pid) + "/fd", ec};
  if (ec) return 0;
  return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

struct caller_crowd::client {
  int socket = -1;
  std::size_t sent = 0;
  bool is_half_closed = false;
};

caller_crowd::caller_crowd(session_deployment& deployment, net_address address, crowd_behaviour behaviour)
    : deployment_(deployment), address_(std::move(address)), behaviour_(std::move(behaviour)) {}

caller_crowd::~caller_crowd() {
  for (const auto& each : clients_) {
    if (each->socket >= 0) ::close(each->socket);
  }
}

void caller_crowd::connect() {
  auto added = std::make_unique<client>();
  added->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (added->socket < 0) FAIL("the test has no free descriptor");
  if (!behaviour_.reads) {
    // The kernel would take several answers for a client that does not read.
    ::setsockopt(added->socket, SOL_SOCKET, SO_RCVBUF, &unread_bytes, sizeof unread_bytes);
  }
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address_.port);
  ::inet_pton(AF_INET, address_.ip.c_str(), &to.sin_addr);
  // The outcome shows at the first send.
  static_cast<void>(::connect(added->socket, reinterpret_cast<const sockaddr*>(&to), sizeof to));
  clients_.push_back(std::move(added));
}

bool caller_crowd::act(client& each) const {
  if (each.socket < 0) return false;
  bool has_moved = false;
  const auto close = [&] {
    ::close(each.socket);
    each.socket = -1;
    return true;
  };
  const auto& [text, repeats, greeting, piece_bytes, reads, closes_half] = behaviour_;
  const auto total = greeting.size() + repeats * text.size();
  for (std::size_t room = piece_bytes; room > 0 && each.sent < total;) {
    const bool is_greeting = each.sent < greeting.size();
    const auto& source = is_greeting ? greeting : text;
    const auto at = is_greeting ? each.sent : (each.sent - greeting.size()) % text.size();
    const auto n = ::send(each.socket, source.data() + at, std::min(room, source.size() - at), MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == ENOTCONN)) break;
    if (n < 0) return close();
    each.sent += static_cast<std::size_t>(n);
    room -= static_cast<std::size_t>(n);
    has_moved = true;
  }
  if (closes_half && each.sent == total && !std::exchange(each.is_half_closed, true)) {
    ::shutdown(each.socket, SHUT_WR);
  }
  if (reads) {
    std::array<char, 65'536> buffer{};
    const auto n = ::recv(each.socket, buffer.data(), buffer.size(), 0);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN)) return close();
    if (n > 0) has_moved = true;
  }
  return has_moved;
}

bool caller_crowd::record() {
  auto work = deployment_.database->runs().size();
  for (std::size_t vm = 0; vm < deployment_.vm_count(); ++vm) {
    const auto pid = deployment_.process(vm).pid();
    most_descriptors_ = std::max(most_descriptors_, open_descriptors(pid));
    work += peak_memory_bytes(pid);
  }
  return std::exchange(last_work_, work) != work;
}

void caller_crowd::run(std::size_t clients) {
  // Fewer than a listener lets wait, so that each connection is accepted.
  constexpr std::size_t connects_per_round = 50;
  int quiet = 0;
  for (int round = 0; round < max_rounds && quiet < quiet_rounds; ++round) {
    for (std::size_t i = 0; i < connects_per_round && clients_.size() < clients; ++i) connect();
    bool has_moved = clients_.size() < clients;
    for (const auto& each : clients_) has_moved = act(*each) || has_moved;
    quiet = has_moved ? 0 : quiet + 1;
    deployment_.loop.run_for(round_time);
    if (round % rounds_per_record == 0 && record()) quiet = 0;
  }
  static_cast<void>(record());
}

std::size_t caller_crowd::open_clients() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(clients_.begin(), clients_.end(), [](const auto& each) { return each->socket >= 0; }));
}

void check_processes(session_deployment& deployment, const caller_crowd& crowd) {
  for (std::size_t vm = 0; vm < deployment.vm_count(); ++vm) {
    auto& process = deployment.process(vm);
    const auto has_ended = process.wait(0ms).has_value();
    INFO("VM " << vm);
    REQUIRE_FALSE(has_ended);
    const auto caller = deployment.session(vm, "orders");
    CHECK(caller->ask_joined("QUERY after READ after").starts_with("ROW |COMPLETE signed|READY I"));
    const auto peak = peak_memory_bytes(process.pid());
    WARN("VM " << vm << ": peak " << peak / bytes_per_mb << " MB, descriptors " << crowd.most_descriptors()
               << ", clients left " << crowd.open_clients());
    if (is_memory_measured) CHECK(peak <= crowd_memory_mb * bytes_per_mb);
  }
  CHECK(crowd.most_descriptors() <= crowd_descriptors);
}

}  // namespace bulrushlift::entry

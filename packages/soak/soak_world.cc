#include "soak/soak_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "standins/session_documents.h"

namespace bulrushlift::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string service{"ledger"};
const std::vector<std::string> targets{"i-a", "i-b", "i-c"};
const std::vector<customer_description> customers{{"shop", {"key-shop"}}, {"other", {"key-other"}}};

constexpr duration reap_interval = milliseconds{20};
constexpr duration loop_step = milliseconds{5};

// Bound of waits for events; no verdict depends on how long an event takes below it.
constexpr duration event_bound = seconds{60};

std::string loopback(std::uint16_t port) { return fmt::format("127.0.0.1:{}", port); }

}  // namespace

soak_world::soak_world(soak_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      callers_context_{loop_, oracle_, sent_, [this] { return pick_vm(); }},
      reap_timer_(loop_) {
  std::filesystem::remove_all(options_.folder);
  std::filesystem::create_directories(options_.folder);
  platform_ = std::make_unique<session_platform>(
      loop_, [this](const ordered_promotion& order) { on_promotion(order.target); });
  database_ = std::make_unique<session_database>(loop_, service, targets);
  database_->on_commit([this](const database_commit& commit) {
    for (const auto& [item, value] : commit.writes) {
      oracle_.on_commit(item, std::stoull(value), commit.id);
    }
  });
  for (const auto& target : targets) {
    target_ways_[target] =
        std::make_unique<fault_proxy>(loop_, *parse_address(database_->address_of(target)));
    announce(target, "ready");
  }
  publish();
  make_vms();
}

soak_world::~soak_world() = default;

void soak_world::make_vms() {
  if (options_.ports.empty()) {
    const auto ports = free_ports(options_.vms * ports_per_vm);
    if (!ports) throw std::runtime_error{ports.error().message};
    options_.ports = *ports;
  }
  vms_.resize(options_.vms);
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    auto& each = vms_[i];
    each.name = fmt::format("entry-{}", i);
    const auto first = options_.ports.begin() + static_cast<std::ptrdiff_t>(i * ports_per_vm);
    each.ports.assign(first, first + ports_per_vm);
    each.callers_way = std::make_unique<fault_proxy>(loop_, net_address{"127.0.0.1", each.ports[0]});
    each.store_way = std::make_unique<fault_proxy>(loop_, *parse_address(platform_->address()));
    start_vm(each);
  }
}

void soak_world::start_vm(vm& each) {
  const auto settings = fmt::format("{}/{}.jsonc", options_.folder, each.name);
  const auto log = fmt::format("{}/{}.log", options_.folder, each.name);
  const auto way = each.store_way->address().str();
  std::ofstream{settings} << proxy_settings_document({each.name, each.name == "entry-0" ? "north" : "south",
                                                      loopback(each.ports[0]), loopback(each.ports[1]),
                                                      loopback(each.ports[2]), loopback(each.ports[3]), way,
                                                      way})
                                 .dump();
  auto started = child_process::start({options_.daemon, "--entry", "--settings", settings}, log, log);
  if (!started) throw std::runtime_error{started.error().message};
  each.process = std::make_unique<child_process>(std::move(*started));
  each.is_ending = false;
}

void soak_world::publish() {
  platform_->put("config", "main", configuration_document(++version_, service, customers));
}

void soak_world::announce(const std::string& target, const std::string& state) {
  platform_->put(
      "servers", target,
      target_document({service, target_ways_.at(target)->address().str(), target == "i-b" ? "north" : "south",
                       state, target == database_->primary()}));
}

void soak_world::on_promotion(const std::string& target) {
  if (target == database_->primary()) return;
  database_->promote(target);
  oracle_.on_promotion([this](const std::string& item) {
    const auto value = database_->value_of(item);
    return value.empty() ? std::uint64_t{0} : std::stoull(value);
  });
  for (const auto& each : targets) announce(each, "ready");
}

net_address soak_world::pick_vm() { return vms_[random_() % vms_.size()].callers_way->address(); }

void soak_world::after(milliseconds delay, std::function<void()> callback) {
  loop_.schedule(delay, std::move(callback));
}

void soak_world::reap() {
  reap_timer_.set(reap_interval, [this] { reap(); });
  for (auto& each : vms_) {
    if (!each.process || !each.process->is_running()) continue;
    const auto code = each.process->wait(milliseconds{0});
    if (!code) continue;
    if (!each.is_ending) {
      oracle_.report("EXIT", fmt::format("{} ended by itself with {}", each.name, *code));
    }
    start_vm(each);
  }
}

bool soak_world::await(const std::function<bool()>& condition) {
  const auto end = loop_.now() + event_bound;
  while (!condition()) {
    if (loop_.now() > end) return false;
    loop_.run_for(loop_step);
  }
  return true;
}

soak_outcome soak_world::run() {
  reap();
  for (std::size_t i = 0; i < options_.callers; ++i) {
    const auto& customer = customers[i % customers.size()];
    callers_.push_back(std::make_unique<soak_caller>(
        callers_context_, caller_identity{i, customer.name, customer.keys.front()}, random_()));
    callers_.back()->start();
  }
  const auto has_served = [this] {
    return std::all_of(callers_.begin(), callers_.end(),
                       [](const auto& each) { return each->done_operations() > 0; });
  };
  if (!await(has_served)) oracle_.report("RECOVER", "not every caller was served at the start");
  const auto plan = make_plan({options_.seed, options_.span, options_.vms, targets.size()});
  for (const auto& each : plan) after(each.at, [this, each] { apply(each); });
  loop_.run_for(options_.span);
  end_faults();
  check_recovery();
  soak_outcome outcome;
  for (const auto& each : callers_) {
    outcome.done += each->done_operations();
    outcome.refused += each->refused_operations();
    outcome.unknown += each->unknown_operations();
  }
  check_runs();
  check_transactions();
  outcome.violations = oracle_.violations();
  outcome.faults = plan.size();
  outcome.promotions = platform_->promotions().size();
  return outcome;
}

void soak_world::check_recovery() {
  std::vector<std::size_t> before;
  for (const auto& each : callers_) before.push_back(each->done_operations());
  const auto is_served = [&] {
    for (std::size_t i = 0; i < callers_.size(); ++i) {
      if (callers_[i]->done_operations() <= before[i]) return false;
    }
    return true;
  };
  if (!await(is_served)) oracle_.report("RECOVER", "not every caller was served after the faults");
  for (const auto& each : callers_) each->stop();
  const auto is_stopped = [this] {
    return std::all_of(callers_.begin(), callers_.end(), [](const auto& each) { return each->is_stopped(); });
  };
  if (!await(is_stopped)) oracle_.report("RECOVER", "an operation did not end after the faults");
}

void soak_world::check_runs() {
  for (const auto& run : database_->runs()) {
    if (run.id == "-") continue;
    const auto it = sent_.find(run.id);
    if (it == sent_.end()) {
      oracle_.report("UNASKED", fmt::format("{} ran {}, which no caller sent", run.target, run.id));
      continue;
    }
    const auto& sent = it->second;
    const bool is_prepared = sent.text.starts_with("EXECUTE");
    // Prepared statements may have other names at the target.
    const auto tail = [](const std::string& text) { return text.substr(text.rfind(' ') + 1); };
    const bool is_same = is_prepared ? tail(run.text) == tail(sent.text) : run.text == sent.text;
    if (!is_same || run.customer != sent.customer) {
      oracle_.report("UNASKED", fmt::format("{} ran as \"{}\" for {}", run.id, run.text, run.customer));
    }
    if (run.text != "COMMIT" && run.values != sent.values) {
      oracle_.report("PINNED", fmt::format("{} ran with values of another session", run.id));
    }
  }
}

void soak_world::check_transactions() {
  std::map<std::string, std::uint64_t> committed;  // The connection, by transaction.
  for (const auto& run : database_->runs()) {
    const auto it = sent_.find(run.id);
    if (it != sent_.end() && run.text == "COMMIT") committed[it->second.transaction] = run.connection;
  }
  std::map<std::string, const database_run*> last;  // The first statement may run more than once.
  for (const auto& run : database_->runs()) last[run.id] = &run;
  for (const auto& [id, run] : last) {
    const auto it = sent_.find(id);
    if (it == sent_.end() || it->second.transaction.empty()) continue;
    const auto place = committed.find(it->second.transaction);
    if (place == committed.end()) continue;
    if (run->connection != place->second || !run->is_in_transaction) {
      oracle_.report("PINNED",
                     fmt::format("{} ran on connection {} of {}, its transaction {} on {}", id,
                                 run->connection, run->target, it->second.transaction, place->second));
    }
  }
}

}  // namespace bulrushlift::soak

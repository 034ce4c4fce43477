#include "soak/soak_deployment.h"

#include <fmt/chrono.h>
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

constexpr duration exit_check_interval = milliseconds{20};
constexpr duration loop_step = milliseconds{5};

// Limit of a wait for an event. How long an event takes below it affects no verdict.
constexpr duration event_timeout = seconds{60};

// A caller notices a reset of its connection within this time.
constexpr duration reset_allowance = milliseconds{200};

std::string loopback(std::uint16_t port) { return fmt::format("127.0.0.1:{}", port); }

}  // namespace

soak_deployment::soak_deployment(soak_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      caller_context_{loop_, oracle_, sent_, [this] { return pick_vm(); },
                      [this](const net_address& address, const std::string& statement) {
                        on_unanswered(address, statement);
                      }},
      restart_timer_(loop_) {
  std::filesystem::remove_all(options_.folder);
  std::filesystem::create_directories(options_.folder);
  journal_.open(options_.folder + "/journal.log");
  platform_ = std::make_unique<session_platform>(
      loop_, [this](const ordered_promotion& order) { on_promotion(order.target); });
  database_ = std::make_unique<session_database>(loop_, service, targets);
  database_->on_commit([this](const database_commit& commit) {
    for (const auto& [item, value] : commit.writes) {
      oracle_.on_commit(item, std::stoull(value), commit.id);
    }
  });
  for (const auto& target : targets) {
    target_proxies_[target] =
        std::make_unique<fault_proxy>(loop_, *parse_address(database_->address_of(target)));
    publish_target(target, "ready");
  }
  publish_configuration();
  make_vms();
}

soak_deployment::~soak_deployment() = default;

void soak_deployment::make_vms() {
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
    each.caller_proxy = std::make_unique<fault_proxy>(loop_, net_address{"127.0.0.1", each.ports[0]});
    each.store_proxy = std::make_unique<fault_proxy>(loop_, *parse_address(platform_->address()));
    start_vm(each);
  }
}

void soak_deployment::start_vm(vm& each) {
  const auto settings = fmt::format("{}/{}.jsonc", options_.folder, each.name);
  const auto log = fmt::format("{}/{}.log", options_.folder, each.name);
  const auto store_address = each.store_proxy->address().str();
  std::ofstream{settings} << proxy_settings_document({each.name, each.name == "entry-0" ? "north" : "south",
                                                      loopback(each.ports[0]), loopback(each.ports[1]),
                                                      loopback(each.ports[2]), loopback(each.ports[3]),
                                                      store_address, store_address})
                                 .dump();
  auto started = child_process::start({options_.daemon, "--entry", "--settings", settings}, log, log);
  if (!started) throw std::runtime_error{started.error().message};
  each.process = std::make_unique<child_process>(std::move(*started));
  each.is_terminating = false;
}

void soak_deployment::publish_configuration() {
  platform_->put("config", "main", configuration_document(++version_, service, customers));
}

void soak_deployment::publish_target(const std::string& target, const std::string& state) {
  target_states_[target] = state;
  platform_->put("servers", target,
                 target_document({service, target_proxies_.at(target)->address().str(),
                                  target == "i-b" ? "north" : "south", state, target == database_->primary(),
                                  ++last_report_}));
}

void soak_deployment::on_promotion(const std::string& target) {
  if (target == database_->primary()) return;
  database_->promote(target);
  oracle_.on_promotion([this](const std::string& item) {
    const auto value = database_->value_of(item);
    return value.empty() ? std::uint64_t{0} : std::stoull(value);
  });
  for (const auto& each : targets) publish_target(each, "ready");
}

net_address soak_deployment::pick_vm() { return vms_[random_() % vms_.size()].caller_proxy->address(); }

void soak_deployment::on_unanswered(const net_address& address, const std::string& statement) {
  const auto it = std::find_if(vms_.begin(), vms_.end(),
                               [&](const vm& each) { return each.caller_proxy->address() == address; });
  if (it == vms_.end() || !it->is_terminating) return;
  // After a kill of the process or a reset of its connections no answer is owed.
  if (!it->process->is_running() || loop_.now() - it->callers_reset < reset_allowance) return;
  note(fmt::format("{} closed a connection without an answer to {}", it->name, statement));
  unanswered_.emplace(statement, it->name);
}

void soak_deployment::note(const std::string& text) {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<milliseconds>(since_epoch).count();
  // As the times in the logs of the VMs, without the date.
  journal_ << fmt::format("{:%H:%M:%S}.{:03} {}", fmt::gmtime(static_cast<std::time_t>(ms / 1'000)),
                          ms % 1'000, text)
           << std::endl;
}

void soak_deployment::schedule_after(milliseconds delay, std::function<void()> callback) {
  loop_.schedule(delay, std::move(callback));
}

void soak_deployment::restart_exited_vms() {
  restart_timer_.set(exit_check_interval, [this] { restart_exited_vms(); });
  for (auto& each : vms_) {
    if (!each.process || !each.process->is_running()) continue;
    const auto code = each.process->wait(milliseconds{0});
    if (!code) continue;
    if (!each.is_terminating) {
      oracle_.report("EXIT", fmt::format("{} exited unexpectedly with status {}", each.name, *code));
    }
    start_vm(each);
  }
}

bool soak_deployment::await(const std::function<bool()>& condition) {
  const auto end = loop_.now() + event_timeout;
  while (!condition()) {
    if (loop_.now() > end) return false;
    loop_.run_for(loop_step);
  }
  return true;
}

soak_outcome soak_deployment::run() {
  restart_exited_vms();
  for (std::size_t i = 0; i < options_.callers; ++i) {
    const auto& customer = customers[i % customers.size()];
    callers_.push_back(std::make_unique<soak_caller>(
        caller_context_, caller_identity{i, customer.name, customer.keys.front()}, random_()));
    callers_.back()->start();
  }
  const auto has_served = [this] {
    return std::all_of(callers_.begin(), callers_.end(),
                       [](const auto& each) { return each->done_operations() > 0; });
  };
  if (!await(has_served))
    oracle_.report("RECOVER", "not every caller completed an operation before the faults");
  plan_options faults{options_.seed, options_.span, options_.vms, targets.size()};
  faults.only = options_.only;
  faults.spacing = options_.spacing;
  const auto plan = make_plan(faults);
  for (const auto& each : plan) schedule_after(each.at, [this, each] { apply(each); });
  loop_.run_for(options_.span);
  end_faults();
  check_recovery();
  soak_outcome outcome;
  for (const auto& each : callers_) {
    outcome.done += each->done_operations();
    outcome.refused += each->refused_operations();
    outcome.unknown += each->unknown_operations();
  }
  check_statements();
  check_transactions();
  check_isolation();
  check_promotions();
  outcome.violations = oracle_.violations();
  outcome.faults = plan.size();
  outcome.promotions = platform_->promotions().size();
  return outcome;
}

void soak_deployment::check_recovery() {
  std::vector<std::size_t> before;
  for (const auto& each : callers_) before.push_back(each->done_operations());
  const auto is_served = [&] {
    for (std::size_t i = 0; i < callers_.size(); ++i) {
      if (callers_[i]->done_operations() <= before[i]) return false;
    }
    return true;
  };
  if (!await(is_served))
    oracle_.report("RECOVER", "not every caller completed an operation after the faults");
  for (const auto& each : callers_) each->stop();
  const auto is_stopped = [this] {
    return std::all_of(callers_.begin(), callers_.end(), [](const auto& each) { return each->is_stopped(); });
  };
  if (!await(is_stopped)) oracle_.report("RECOVER", "an operation was still unanswered after the faults");
}

void soak_deployment::check_statements() {
  for (const auto& run : database_->runs()) {
    if (run.id == "-") continue;
    const auto lost = unanswered_.extract(run.id);
    if (!lost.empty()) {
      oracle_.report("LOST", fmt::format("{} shut down while {} ran", lost.mapped(), run.id));
    }
    const auto it = sent_.find(run.id);
    if (it == sent_.end()) {
      oracle_.report("UNASKED", fmt::format("target {} ran {}, which no caller sent", run.target, run.id));
      continue;
    }
    const auto& sent = it->second;
    const bool is_prepared = sent.text.starts_with("EXECUTE");
    // The proxy may give prepared statements other names at the target, so only the argument counts.
    const auto tail = [](const std::string& text) { return text.substr(text.rfind(' ') + 1); };
    const bool is_same = is_prepared ? tail(run.text) == tail(sent.text) : run.text == sent.text;
    if (!is_same || run.customer != sent.customer) {
      oracle_.report("UNASKED", fmt::format("{} ran with the wrong text or customer: \"{}\" for {}", run.id,
                                            run.text, run.customer));
    }
    if (run.text != "COMMIT" && run.values != sent.values) {
      oracle_.report("PINNED",
                     fmt::format("{} ran with other session values than its session had set", run.id));
    }
  }
}

void soak_deployment::check_transactions() {
  std::map<std::string, std::uint64_t> committed;  // Connection of the COMMIT, by transaction id.
  for (const auto& run : database_->runs()) {
    const auto it = sent_.find(run.id);
    if (it != sent_.end() && run.text == "COMMIT") committed[it->second.transaction] = run.connection;
  }
  std::map<std::string, const database_run*>
      last;  // The first statement of a transaction may run more than once; the last run counts.
  for (const auto& run : database_->runs()) last[run.id] = &run;
  for (const auto& [id, run] : last) {
    const auto it = sent_.find(id);
    if (it == sent_.end() || it->second.transaction.empty()) continue;
    const auto place = committed.find(it->second.transaction);
    if (place == committed.end()) continue;
    if (run->connection != place->second || !run->is_in_transaction) {
      oracle_.report(
          "PINNED",
          fmt::format("{} ran on connection {} of {}, but its transaction {} committed on connection {}", id,
                      run->connection, run->target, it->second.transaction, place->second));
    }
  }
}

void soak_deployment::check_isolation() {
  std::map<std::uint64_t, std::string> owners;  // Transaction of the caller, by transaction of the target.
  for (const auto& run : database_->runs()) {
    const auto it = sent_.find(run.id);
    if (it == sent_.end() || run.transaction == 0) continue;
    // A read outside of a caller's transaction may run in one of the proxy.
    const auto& own = it->second.transaction.empty() ? run.id : it->second.transaction;
    const auto [owner, is_new] = owners.try_emplace(run.transaction, own);
    if (is_new || owner->second == own) continue;
    oracle_.report(
        "PINNED", fmt::format("{} \"{}\" ran inside the transaction of {}", run.id, run.text, owner->second));
  }
}

void soak_deployment::check_promotions() {
  std::map<std::uint64_t, std::string> holders;  // By fencing token.
  for (const auto& each : platform_->promotions()) {
    const auto [it, is_new] = holders.try_emplace(each.token, each.holder);
    if (is_new || it->second == each.holder) continue;
    oracle_.report("ONE", fmt::format("{} and {} ordered promotions with the same token {}", it->second,
                                      each.holder, each.token));
  }
}

}  // namespace bulrushlift::soak

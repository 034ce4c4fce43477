#include "limits/budget_fleet_fake.h"

#include <algorithm>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point clock_origin{seconds{1'000}};
constexpr duration message_delay = milliseconds{1};

}  // namespace

void global_bucket_oracle::refill_to(duration now) {
  const auto limit = largest_limit();
  const double refilled = std::chrono::duration<double>(now - refilled_to_).count() *
                          static_cast<double>(limit.rate_per_second.value());
  level_ = std::min(level_ + refilled, static_cast<double>(limit.capacity.value()));
  refilled_to_ = now;
}

budget_share global_bucket_oracle::largest_limit() const {
  budget_share limit;
  for (const auto& [generation, share] : documents_) {
    limit.rate_per_second = std::max(limit.rate_per_second, share.rate_per_second);
    limit.capacity = std::max(limit.capacity, share.capacity);
  }
  return limit;
}

void global_bucket_oracle::add(std::uint64_t generation, const budget_share& share, duration now) {
  refill_to(now);
  const auto before = largest_limit().capacity;
  documents_[generation] = share;
  // The bucket starts full, and an increase of its capacity is filled at once.
  level_ += static_cast<double>((largest_limit().capacity - before).value());
}

void global_bucket_oracle::remove(std::uint64_t generation, duration now) {
  refill_to(now);
  documents_.erase(generation);
  refill_to(now);
}

bool global_bucket_oracle::spend(millitokens cost, duration now) {
  refill_to(now);
  level_ -= static_cast<double>(cost.value());
  return level_ >= -0.001;  // rounding of the sum
}

budget_fleet::budget_fleet(const std::vector<unsigned>& clocks, budget_document document, std::uint64_t seed,
                           budget_options options, budget_test_faults faults)
    : options_(options), faults_(faults), random_(seed) {
  document.vms.clear();
  for (std::size_t i = 0; i < clocks.size(); ++i) document.vms.emplace_back("entry-" + std::to_string(i + 1));
  for (std::size_t i = 0; i < clocks.size(); ++i) start(document.vms[i], clocks[i]);
  publish(std::move(document));
}

time_point budget_fleet::local_time(const instance& each) const {
  return clock_origin + now_ * static_cast<std::int64_t>(each.clock_speed) / 1'000;
}

duration budget_fleet::true_time(const instance& each, time_point local) const {
  return (local - clock_origin) * 1'000 / static_cast<std::int64_t>(each.clock_speed) + duration{1};
}

void budget_fleet::start(vm_id vm, unsigned clock_speed) {
  auto each = std::make_unique<instance>();
  each->vm = std::move(vm);
  each->incarnation = static_cast<std::uint64_t>(now_ / milliseconds{1}) + 1'000 + ++starts_;
  each->clock_speed = clock_speed;
  each->budgets =
      std::make_unique<budget_controller>(each->vm, incarnation_id{each->incarnation}, options_, faults_);
  const auto previous = last_starts_.find(each->vm);
  const bool has_allowance = previous == last_starts_.end() || now_ - previous->second >= 2 * options_.window;
  last_starts_[each->vm] = now_;
  if (options_.start_delay) each->budgets->set_start(*options_.start_delay, has_allowance);
  if (generation_ > 0) each->documents[generation_] = now_;
  instances_.push_back(std::move(each));
}

std::size_t budget_fleet::receiver(const message& each) const {
  std::size_t best = instances_.size();
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const bool is_addressee = each.to_incarnation == 0 || each.to_incarnation == instances_[i]->incarnation;
    if (instances_[i]->vm == each.to && is_addressee) best = i;
  }
  return best;
}

bool budget_fleet::is_partitioned(const vm_id& a, const vm_id& b) const {
  return partitions_.contains(std::minmax(a, b));
}

void budget_fleet::set_partition(std::size_t a, std::size_t b, bool is_partitioned) {
  const auto pair = std::minmax(instances_[a]->vm, instances_[b]->vm);
  if (is_partitioned) {
    partitions_.insert(pair);
  } else {
    partitions_.erase(pair);
  }
}

void budget_fleet::heal() {
  partitions_.clear();
  conditions_ = {};
}

void budget_fleet::pause(std::size_t index, duration span) {
  auto& until = instances_[index]->paused_until;
  until = std::max(until, now_ + span);
}

void budget_fleet::note_restart() {
  for (auto& [customer, oracle] : window_oracles_) oracle.on_restart(now_);
}

void budget_fleet::crash(std::size_t index) {
  note_restart();
  const auto vm = instances_[index]->vm;
  const auto clock_speed = instances_[index]->clock_speed;
  const bool is_superseded = instances_[index]->stops_at.has_value();
  instances_.erase(instances_.begin() + static_cast<std::ptrdiff_t>(index));
  if (!is_superseded) start(vm, clock_speed);
}

void budget_fleet::replace(std::size_t index) {
  auto& old = *instances_[index];
  if (old.stops_at) return;
  // A paused process stops too: when it resumes, its configuration is too old to serve.
  const auto longest = options_.start_delay.value_or(milliseconds{6'900});
  old.stops_at =
      now_ + duration{static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(longest.count()))};
  note_restart();
  start(old.vm, old.clock_speed);
}

bool budget_fleet::can_change_vms() const { return now_ >= vms_changed_ + 2 * options_.dissemination_bound; }

void budget_fleet::add_vm() {
  if (!can_change_vms()) return;
  auto document = document_;
  const vm_id vm{"entry-" + std::to_string(document.vms.size() + 1)};
  document.vms.push_back(vm);
  publish(std::move(document));
  note_restart();
  start(vm, 990 + static_cast<unsigned>(random_() % 21));
}

void budget_fleet::publish(budget_document document) {
  if (document.vms != document_.vms) vms_changed_ = now_;
  const auto superseded = generation_++;
  document_ = std::move(document);
  documents_[generation_] = document_;
  for (const auto& [customer, share] : document_.customers) {
    oracles_[customer].add(generation_, share, now_);
    window_oracles_.try_emplace(customer, options_.window).first->second.add(generation_, share);
  }
  if (superseded > 0)
    end_times_[superseded] = now_ + options_.dissemination_bound + 2 * options_.outstanding_time();
  for (auto& each : instances_) {
    const auto bound = static_cast<std::uint64_t>(options_.dissemination_bound / milliseconds{1});
    each->documents[generation_] = superseded == 0 ? now_ : now_ + milliseconds{random_() % bound};
  }
}

void budget_fleet::retire_documents() {
  while (!end_times_.empty() && end_times_.begin()->second <= now_) {
    const auto generation = end_times_.begin()->first;
    for (auto& [customer, oracle] : oracles_) oracle.remove(generation, now_);
    for (auto& [customer, oracle] : window_oracles_) oracle.remove(generation, now_);
    end_times_.erase(end_times_.begin());
  }
}

duration budget_fleet::next_event(duration until) const {
  auto next = until;
  const auto consider = [&](duration when) { next = std::min(next, std::max(when, now_)); };
  for (const auto& each : messages_) consider(each.due);
  for (const auto& each : instances_) {
    if (each->stops_at) consider(*each->stops_at);
    for (const auto when : each->expiries) consider(std::max(when, each->paused_until));
    for (const auto& [generation, due] : each->documents) consider(std::max(due, each->paused_until));
    if (const auto timer = each->budgets->next_timer()) {
      consider(std::max(true_time(*each, *timer), each->paused_until));
    }
  }
  if (!end_times_.empty()) consider(end_times_.begin()->second);
  return next;
}

void budget_fleet::advance(duration span) {
  const auto until = now_ + span;
  while (true) {
    now_ = next_event(until);
    retire_documents();
    run_due();
    if (now_ >= until) break;
  }
  check_total_tokens();
}

void budget_fleet::run_due() {
  const auto stopped = std::erase_if(
      instances_, [this](const auto& each) { return each->stops_at && *each->stops_at <= now_; });
  // Until then two processes of one VM had a share.
  if (stopped > 0) note_restart();
  for (std::size_t i = 0; i < instances_.size(); ++i) run_instance(i);
  std::vector<message> due;
  std::erase_if(messages_, [&](message& each) {
    if (each.due > now_) return false;
    due.push_back(std::move(each));
    return true;
  });
  for (auto& each : due) deliver(std::move(each));
}

void budget_fleet::run_instance(std::size_t index) {
  // A fault injected at a step may remove processes, so the index is checked after each step.
  const auto is_running = [&] {
    return index < instances_.size() && instances_[index]->paused_until <= now_;
  };
  if (!is_running()) return;
  const auto expired_lots =
      std::erase_if(instances_[index]->expiries, [this](duration due) { return due <= now_; });
  if (expired_lots > 0) step(loan_step::expire, index);
  if (!is_running()) return;
  std::uint64_t newest_due = 0;
  for (const auto& [generation, due] : instances_[index]->documents) {
    if (due <= now_) newest_due = generation;
  }
  if (newest_due > 0) {
    step(loan_step::apply_document, index);
    if (!is_running()) return;
    auto& each = *instances_[index];
    // A VM that has a newer generation ignores older ones.
    std::erase_if(each.documents, [&](const auto& entry) { return entry.first <= newest_due; });
    run_actions(index, each.budgets->apply_document(documents_.at(newest_due), local_time(each)));
  }
  if (!is_running()) return;
  auto& each = *instances_[index];
  const auto timer = each.budgets->next_timer();
  if (timer && *timer <= local_time(each)) {
    run_actions(index, each.budgets->on_timer(local_time(each), random_()));
  }
}

void budget_fleet::deliver(message each) {
  const auto index = receiver(each);
  if (index == instances_.size() || is_partitioned(each.from, each.to)) return;
  if (instances_[index]->paused_until > now_) {
    each.due = instances_[index]->paused_until;
    messages_.push_back(std::move(each));
    return;
  }
  step(std::holds_alternative<loan_request>(each.body) ? loan_step::grant : loan_step::receive, index);
  if (index >= instances_.size() || instances_[index]->paused_until > now_) return;
  auto& to = *instances_[index];
  if (const auto* request = std::get_if<loan_request>(&each.body)) {
    if (!request->used.empty()) step(loan_step::report_use, index);
    if (index >= instances_.size() || &to != instances_[index].get()) return;
    auto actions = to.budgets->on_loan_request(*request, local_time(to));
    const auto& reply = std::get<send_loan_reply>(actions.front()).reply;
    send({to.vm, request->sender, request->incarnation.value(), {}, reply});
  } else {
    const auto& reply = std::get<loan_reply>(each.body);
    if (reply.amount > millitokens{})
      to.expiries.push_back(now_ + options_.loan_lifetime - 2 * message_delay);
    run_actions(index, to.budgets->on_loan_reply(each.from, reply, local_time(to)));
  }
}

void budget_fleet::send(message each) {
  if (percent() < conditions_.loss_percent) return;
  const bool is_duplicated = percent() < conditions_.duplicate_percent;
  for (int copy = 0; copy < (is_duplicated ? 2 : 1); ++copy) {
    each.due = now_ + message_delay;
    if (percent() < conditions_.delay_percent) {
      each.due += duration{static_cast<std::int64_t>(
          random_() % static_cast<std::uint64_t>(conditions_.delay_max.count() + 1))};
    }
    messages_.push_back(each);
  }
}

void budget_fleet::run_actions(std::size_t index, const budget_actions& actions) {
  for (const auto& action : actions) {
    if (index >= instances_.size()) return;
    auto& each = *instances_[index];
    if (const auto* ask = std::get_if<send_loan_request>(&action)) {
      send({each.vm, ask->home, 0, {}, ask->request});
      step(loan_step::ask, index);
    } else if (const auto* resume = std::get_if<resume_request>(&action)) {
      const auto node = each.waiting.extract(resume->ticket);
      spend(node.mapped().first, node.mapped().second);
      step(loan_step::use, index);
    } else if (const auto* refuse = std::get_if<refuse_request>(&action)) {
      each.waiting.erase(refuse->ticket);
      ++refused_;
    }
  }
}

void budget_fleet::admit(std::size_t index, const customer_id& customer, millitokens cost, int priority) {
  auto& each = *instances_[index];
  if (each.paused_until > now_) return;
  run_instance(index);
  budget_actions actions;
  const auto decision = each.budgets->admit(customer, cost, local_time(each), random_(), actions, priority);
  if (std::holds_alternative<admitted>(decision)) {
    spend(customer, cost);
  } else if (const auto* waits = std::get_if<waits_for_loan>(&decision)) {
    each.waiting[waits->ticket] = {customer, cost};
  } else {
    ++refused_;
  }
  run_actions(index, actions);
  check_total_tokens();
}

void budget_fleet::step(loan_step what, std::size_t index) {
  if (on_step) on_step(what, index);
}

void budget_fleet::spend(const customer_id& customer, millitokens cost) {
  ++admitted_;
  const bool is_windowed = options_.window > duration::zero();
  const bool is_within_limit =
      is_windowed ? window_oracles_.at(customer).spend(cost, now_) : oracles_[customer].spend(cost, now_);
  if (is_within_limit || violation_) return;
  violation_ = customer.str() + " spent more than its rate and burst at " +
               std::to_string(now_ / milliseconds{1}) + " ms";
}

void budget_fleet::check_total_tokens() {
  // A window bounds what is spent, not what is held at one time.
  if (options_.window > duration::zero()) return;
  for (const auto& [customer, share] : document_.customers) {
    millitokens total;
    for (const auto& each : instances_) {
      // The snapshot is taken at the time of the process's own clock, also while it is paused.
      const auto entry = each->budgets->snapshot(customer, local_time(*each));
      if (entry) total += entry->level + entry->borrowed;
    }
    const auto limit = oracles_[customer].largest_limit().capacity;
    if (total <= limit || violation_) continue;
    violation_ = customer.str() + " holds more tokens on all VMs than its burst at " +
                 std::to_string(now_ / milliseconds{1}) + " ms";
  }
}

}  // namespace bulrushlift

#include "sql/promotion_world_fake.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sql/fencing_token.h"

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t vm_count = 3;
constexpr duration tick_interval = milliseconds{20};
constexpr duration round_time = milliseconds{350};
constexpr duration order_timeout = milliseconds{1'200};
constexpr duration write_timeout = seconds{1};
constexpr duration longest_delay = seconds{12};  // Of a message.
constexpr char survey_command = 'S';
constexpr char pause_command = 'P';
constexpr char resume_command = 'R';

}  // namespace

/// One VM: a controller with its view of the targets, and the commands that it sends.
struct promotion_world::vm {
  struct command_round {
    char command = survey_command;
    term_id term;
    std::vector<target_id> pending;
    std::vector<target_id> running;
    std::vector<survey_answer> answers;
    std::uint64_t number = 0;
    time_point started{};
  };

  std::size_t number = 0;
  std::uint64_t process = 0;  ///< Differs between its processes.
  target_directory directory;
  failover_controller failover{{}};
  std::uint64_t seen_change = 0;  ///< Number of the newest change of the store that it has seen.
  std::uint64_t known_token = 0;  ///< Of the claim in the store as it has seen it; 0 if there is none.
  std::uint64_t own_token = 0;    ///< Of its newest claim; 0 after one that failed.
  std::uint64_t known_epoch = 0;  ///< Of the store; 0 until the first answer.
  std::optional<command_round> round;
  std::uint64_t rounds = 0;
  bool is_cut_off = false;  ///< It cannot reach the primary.
  time_point frozen_until{};
  time_point store_cut_until{};  ///< Until when it does not reach the store.
};

promotion_world::promotion_world(std::uint64_t seed, const promotion_faults& faults)
    : random_(seed), faults_(faults) {
  for (const auto* id : {"t1", "t2", "t3"}) members_.push_back({target_id{id}, {}});
  members_.front().is_primary = true;
  for (std::size_t i = 0; i < vm_count; ++i) {
    vms_.push_back(std::make_unique<vm>());
    vms_.back()->number = i;
    start_vm(i, true);
  }
  after(duration::zero(), [this] { commit(); });
}

promotion_world::~promotion_world() = default;

void promotion_world::after(duration delay, std::function<void()> event) {
  events_.emplace(now_ + delay, std::move(event));
}

void promotion_world::after(duration delay, std::size_t number, std::function<void(vm&)> event) {
  after(delay, [this, number, process = vms_[number]->process, event = std::move(event)] {
    auto& each = *vms_[number];
    if (each.process != process) return;
    if (each.frozen_until > now_) return after(each.frozen_until - now_, number, event);
    event(each);
  });
}

bool promotion_world::chance(int percent) { return !is_calm_ && static_cast<int>(random_() % 100) < percent; }

duration promotion_world::between(int low_ms, int high_ms) {
  return milliseconds{low_ms +
                      static_cast<int>(random_() % static_cast<std::uint64_t>(high_ms - low_ms + 1))};
}

void promotion_world::exchange(std::size_t number, std::function<std::function<void(vm&)>()> run) {
  if (chance(faults_.late)) {
    after(lateness(), [run = std::move(run)] { static_cast<void>(run()); });
    return;
  }
  const bool is_lost = chance(faults_.lost_answer);
  after(between(1, 8), [this, number, is_lost, run = std::move(run)] {
    auto answer = run();
    if (!is_lost) after(between(1, 8), number, std::move(answer));
  });
}

void promotion_world::note(const std::string& text) {
  history_ += fmt::format("{:>8} {}\n", (now_.time_since_epoch() - seconds{100}) / milliseconds{1}, text);
}

promotion_world::member& promotion_world::find(const target_id& target) {
  return *std::find_if(members_.begin(), members_.end(),
                       [&](const member& each) { return each.id == target; });
}

promotion_world::member* promotion_world::primary() {
  const auto it =
      std::find_if(members_.begin(), members_.end(), [](const member& each) { return each.is_primary; });
  return it == members_.end() ? nullptr : &*it;
}

void promotion_world::start_vm(std::size_t number, bool is_first) {
  auto& each = *vms_[number];
  const auto process = each.process + 1;
  each = vm{};
  each.number = number;
  each.process = process;
  failover_options options;
  options.is_first_start = is_first;
  each.failover = failover_controller{options};
  after(between(1, 40), number, [this](vm& self) {
    for (const auto& target : members_) announce(target);
    see_claim(self, stored_, store_changes_);
    tick(self);
  });
}

void promotion_world::announce(const member& each) {
  target_announcement info;
  info.target = each.id;
  info.service = service_id{"orders"};
  info.address = "10.0.0.1:1";
  info.is_primary = each.is_primary;
  info.is_leaving = each.is_leaving;
  info.number.start = each.start;
  for (std::size_t i = 0; i < vm_count; ++i) {
    after(between(2, 300), i, [this, info](vm& self) { self.directory.announce(info, now_); });
  }
}

void promotion_world::tick(vm& each) {
  if (const auto* leader = each.directory.primary()) {
    const auto id = leader->info.target;
    if (each.is_cut_off && find(id).is_primary) {
      each.directory.on_failure(id, now_);
    } else if (find(id).is_primary) {
      each.directory.on_answer(id, std::nullopt, now_);
    } else {
      each.directory.on_read_only(id, now_);
    }
  }
  if (each.round) {
    const auto pending = each.round->pending;
    for (const auto& target : pending) ask(each, target);
    if (now_ - each.round->started >= round_time) finish_round(each);
  }
  perform(each, each.failover.on_timer(each.directory, {each.number, true, 1, each.known_epoch}, now_));
  after(tick_interval, each.number, [this](vm& self) { tick(self); });
}

void promotion_world::perform(vm& each, const std::optional<failover_action>& action) {
  if (!action) return;
  if (const auto* a = std::get_if<survey_targets>(&*action))
    start_round(each, survey_command, a->targets, {});
  if (const auto* a = std::get_if<fence_targets>(&*action))
    start_round(each, pause_command, a->targets, a->term);
  if (const auto* a = std::get_if<resume_targets>(&*action))
    start_round(each, resume_command, a->targets, {});
  if (const auto* a = std::get_if<claim_promotion>(&*action)) write_claim(each, a->claim);
  if (const auto* a = std::get_if<order_promotion>(&*action)) order(each, *a);
}

void promotion_world::start_round(vm& each, char command, const std::vector<target_id>& targets,
                                  term_id term) {
  each.round = vm::command_round{command, term, targets, {}, {}, ++each.rounds, now_};
  const auto pending = targets;
  for (const auto& target : pending) ask(each, target);
  if (targets.empty()) finish_round(each);
}

void promotion_world::ask(vm& each, const target_id& target) {
  const auto& round = *each.round;
  if (chance(faults_.busy)) return;
  std::erase(each.round->pending, target);
  each.round->running.push_back(target);
  exchange(each.number, [this, target, command = round.command, term = round.term, number = round.number] {
    const auto answer = carry_out(target, command, term);
    return [this, target, answer, number](vm& self) {
      if (!self.round || self.round->number != number) return;
      std::erase(self.round->running, target);
      if (answer->is_primary) {
        self.directory.on_primary_answer(target, *answer->received, now_, now_);
      }
      self.round->answers.push_back(*answer);
      if (self.round->pending.empty() && self.round->running.empty()) finish_round(self);
    };
  });
}

std::optional<survey_answer> promotion_world::carry_out(const target_id& target, char command, term_id term) {
  auto& each = find(target);
  std::uint64_t newest = 0;
  for (const auto& other : members_) newest = std::max(newest, other.term);
  if (command == pause_command && term.value() > newest) {
    each.fence_term = std::max(each.fence_term, term.value());
    each.is_paused = !each.is_primary;
  }
  if (command == resume_command) each.is_paused = false;
  if (command != survey_command) note(fmt::format("{} runs {} {}", target.str(), command, term.value()));
  const log_point received{term_id{each.term}, log_position{each.log.size()}};
  return survey_answer{target, received, each.is_primary, term_id{each.fence_term}, term_id{each.term}};
}

void promotion_world::finish_round(vm& each) {
  auto round = *std::exchange(each.round, std::nullopt);
  for (const auto& target : round.running) round.answers.push_back({target, std::nullopt});
  if (round.command == survey_command) {
    perform(each, each.failover.on_survey(round.answers, each.directory, now_));
  } else if (round.command == pause_command) {
    perform(each, each.failover.on_fence(round.answers, each.directory, now_));
  } else {
    auto missing = round.pending;
    missing.insert(missing.end(), round.running.begin(), round.running.end());
    perform(each, each.failover.on_resume(missing, round.running, now_));
  }
}

void promotion_world::write_claim(vm& each, const promotion_claim& claim) {
  const auto expected = std::max(each.known_token, each.own_token);
  const auto attempt = claim.attempt;
  after(write_timeout, each.number,
        [this, attempt](vm& self) { perform(self, self.failover.on_claim(attempt, std::nullopt, now_)); });
  if (now_ < each.store_cut_until) return;
  exchange(each.number, [this, number = each.number, claim, expected]() -> std::function<void(vm&)> {
    std::optional<std::uint64_t> token;
    if (stored_.token == expected) {
      token = next_token();
      stored_ = {*token, number, claim, store_epoch_};
      std::string resumed;
      for (const auto& effect : claim.resumed) resumed += " " + effect.target.str();
      note(fmt::format("vm {} claims {} {} of {}, resumed:{}", number, claim.attempt, name_of(claim.phase),
                       claim.target.str(), resumed));
      publish();
    }
    return [this, token, attempt = claim.attempt](vm& self) {
      self.own_token = token.value_or(0);
      perform(self, self.failover.on_claim(attempt, token, now_));
    };
  });
}

std::uint64_t promotion_world::next_token() {
  return fencing_token({store_epoch{store_epoch_}, object_version{++store_version_}});
}

void promotion_world::publish() {
  ++store_changes_;
  for (std::size_t i = 0; i < vm_count; ++i) {
    const auto cut = std::max(vms_[i]->store_cut_until - now_, duration::zero());
    after(cut + between(1, chance(10) ? 3'000 : 30), i,
          [this, claim = stored_, change = store_changes_](vm& self) { see_claim(self, claim, change); });
  }
}

void promotion_world::see_claim(vm& each, const stored_claim& claim, std::uint64_t change) {
  if (change < each.seen_change) return;
  each.seen_change = change;
  each.known_token = claim.token;
  if (each.known_epoch != 0 && claim.epoch > each.known_epoch) each.failover.on_store_restored(now_);
  each.known_epoch = claim.epoch;
  if (claim.token == 0) return;
  each.failover.on_claim_seen(claim.claim, claim.token, claim.vm == each.number, now_);
  if (each.failover.is_idle()) each.round.reset();
}

void promotion_world::order(vm& each, const order_promotion& action) {
  note(fmt::format("vm {} orders {} with {}", each.number, action.target.str(), action.token));
  after(order_timeout, each.number, [this, token = action.token](vm& self) {
    perform(self, self.failover.on_order(token, order_outcome::unknown, now_));
  });
  exchange(each.number, [this, action] {
    const auto outcome = accept(action) ? order_outcome::accepted : order_outcome::refused;
    return [this, outcome, token = action.token](vm& self) {
      perform(self, self.failover.on_order(token, outcome, now_));
    };
  });
}

bool promotion_world::accept(const order_promotion& action) {
  if (action.token < newest_token_) return false;
  newest_token_ = action.token;
  if (chance(3)) return false;
  last_effect_ = std::max(last_effect_, now_ + between(100, chance(20) ? 4'000 : 1'000));
  after(last_effect_ - now_, [this, target = action.target] { promote(target); });
  return true;
}

void promotion_world::restore_store() {
  note("the store comes back older");
  restored_ = now_;
  stored_ = copy_;
  store_version_ = copy_version_;
  stored_.epoch = ++store_epoch_;
  if (stored_.token > 0) stored_.token = next_token();
  publish();
}

void promotion_world::cause_fault() {
  after(between(500, 4'000), [this] { cause_fault(); });
  if (is_calm_) return;
  const auto number = random_() % vm_count;
  auto& each = *vms_[number];
  switch (random_() % 9) {
    case 0:
      if (!faults_.has_starts_after_restore && now_ - restored_ < longest_delay) return;
      note(fmt::format("vm {} restarts", number));
      return start_vm(number, false);
    case 1:
      each.frozen_until = now_ + between(500, 6'000);
      return;
    case 2:
      each.is_cut_off = true;
      return after(between(500, 5'000), number, [](vm& self) { self.is_cut_off = false; });
    case 3:
      copy_ = stored_;
      copy_version_ = store_version_;
      return;
    case 4:
      if (random_() % 4 == 0) restore_store();
      return;
    case 5:
      each.store_cut_until = now_ + between(1'000, 30'000);
      return note(fmt::format("vm {} does not reach the store", number));
    default:
      return replace_primary();
  }
}

void promotion_world::run(duration faulty_time, duration calm_time) {
  cause_fault();
  const auto calm_at = now_ + faulty_time;
  const auto end = calm_at + calm_time;
  while (!violation_ && !events_.empty() && events_.begin()->first < end) {
    now_ = std::max(now_, events_.begin()->first);
    if (now_ >= calm_at) is_calm_ = true;
    const auto event = std::move(events_.extract(events_.begin()).mapped());
    event();
  }
  now_ = std::max(now_, end);
}

}  // namespace bulrushlift::sql

#include "soak/soak_caller.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "standins/session_documents.h"
#include "standins/session_lines.h"

namespace bulrushlift::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than the route's time limit of one statement: an answer may be late, and a caller
// whose VM is paused gives up.
constexpr duration patience = seconds{8};
constexpr duration reconnect_pause = milliseconds{50};
constexpr duration operation_pause = milliseconds{5};

// A session in so many ends after an operation, so that sessions move between VMs.
constexpr std::uint64_t operations_per_session = 12;
constexpr std::uint64_t most_statements = 5;
constexpr std::size_t callers_with_items = 8;

constexpr std::array<const char*, 3> databases{"orders", "stock", "book"};

std::uint64_t number_of(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

}  // namespace

soak_caller::soak_caller(caller_context& context, caller_identity identity, std::uint64_t seed)
    : context_(context),
      identity_(std::move(identity)),
      random_(seed),
      silence_timer_(context.loop),
      pause_timer_(context.loop) {}

soak_caller::~soak_caller() = default;

std::string soak_caller::own_item() const { return fmt::format("c{}.{}", identity_.number, generation_); }

std::string soak_caller::some_item() {
  if (draw(2) == 0) return own_item();
  const auto known = context_.oracle.items();
  return known.empty() ? own_item() : known[draw(known.size())];
}

void soak_caller::connect() {
  if (is_stopping_) return;
  input_.clear();
  lines_.clear();
  values_.clear();
  own_.clear();
  is_prepared_ = false;
  is_in_transaction_ = false;
  level_ = static_cast<read_level>(draw(databases.size()));
  tcp_stream_observer& observer = *this;
  stream_ = std::make_unique<tcp_stream>(context_.loop, observer);
  stream_->connect(context_.pick_vm());
  step_ = step::session;
  waits_for_answer_ = true;
  silence_timer_.set(patience, [this] { on_silence(); });
  stream_->write(session_line(databases[static_cast<std::size_t>(level_)], identity_.key));
}

void soak_caller::reconnect() {
  silence_timer_.cancel();
  waits_for_answer_ = false;
  // The stream may be inside its own callback.
  context_.loop.post([last = std::shared_ptr<tcp_stream>{std::move(stream_)}] {
    if (last) last->close();
  });
  pause_timer_.set(reconnect_pause, [this] { connect(); });
}

fate soak_caller::fate_without_answer() const noexcept {
  const bool is_final = step_ == step::commit || (step_ == step::write && !is_in_transaction_);
  // Without a commit on its way nothing of a transaction is kept.
  return waits_for_answer_ && is_final ? fate::unknown : fate::refused;
}

void soak_caller::on_silence() {
  end_writes(fate_without_answer());
  reconnect();
}

void soak_caller::on_closed(const error& /*reason*/) {
  if (waits_for_answer_ || is_in_transaction_) end_writes(fate_without_answer());
  reconnect();
}

void soak_caller::end_writes(fate outcome) {
  const auto now = context_.loop.now();
  const auto writes = std::exchange(writes_, {});
  for (const auto& each : writes) {
    // Only the last write of a transaction to an item is kept by its commit.
    const bool is_last = each.number == writes.back().number;
    context_.oracle.on_write_ended(each.item, each.number, is_last ? outcome : fate::refused, now);
  }
  if (!writes.empty() && outcome == fate::acknowledged) own_[writes.back().item] = writes.back().number;
  // A write with an unknown outcome may take effect after later ones.
  if (!writes.empty() && outcome == fate::unknown) ++generation_;
  is_in_transaction_ = false;
  if (outcome == fate::unknown) ++unknown_;
  if (outcome == fate::refused) ++refused_;
}

void soak_caller::ask(step what, const std::string& text) {
  step_ = what;
  waits_for_answer_ = true;
  id_ = fmt::format("q{}-{}", identity_.number, ++last_id_);
  if (what == step::begin) transaction_ = id_;
  context_.sent.emplace(id_, sent_statement{text, identity_.customer, values_,
                                            is_in_transaction_ ? transaction_ : std::string{}});
  silence_timer_.set(patience, [this] { on_silence(); });
  stream_->write(statement_line(id_, text));
}

void soak_caller::next_operation() {
  if (is_stopping_) return;
  if (draw(operations_per_session) == 0) {
    reconnect();
    return;
  }
  began_ = context_.loop.now();
  switch (draw(8)) {
    case 0:
      pending_value_ = fmt::format("{}", draw(1'000));
      ask(step::value, "SET tag " + pending_value_);
      return;
    case 1:
      ask(step::prepare, "PREPARE p READ q1");
      return;
    case 2:
    case 3:
      left_in_transaction_ = 1 + draw(most_statements);
      is_in_transaction_ = true;
      ask(step::begin, "BEGIN");
      return;
    case 4:
    case 5:
      ask_write();
      return;
    default:
      ask_read(some_item());
      return;
  }
}

void soak_caller::continue_transaction() {
  if (left_in_transaction_ == 0) {
    if (draw(4) == 0) {
      ask(step::rollback, "ROLLBACK");
    } else {
      ask(step::commit, "COMMIT");
    }
    return;
  }
  --left_in_transaction_;
  if (draw(2) == 0) {
    ask_write();
  } else {
    ask_read(some_item());
  }
}

void soak_caller::ask_write() {
  const planned_write next{own_item(), ++last_number_};
  writes_.push_back(next);
  context_.oracle.on_write_sent(next.item, next.number);
  ask(step::write, fmt::format("WRITE {} {}", next.item, next.number));
}

void soak_caller::ask_read(const std::string& item) {
  read_item_ = item;
  ask(step::read, is_prepared_ && draw(2) == 0 ? "EXECUTE p " + item : "READ " + item);
}

std::uint64_t soak_caller::least_number(const std::string& item) const {
  if (level_ == read_level::primary) return context_.oracle.floor(item, began_);
  const auto least = context_.oracle.floor(item, began_ - milliseconds{route_staleness_ms});
  const auto own = own_.find(item);
  if (level_ == read_level::bounded || own == own_.end()) return least;
  return std::max(least, own->second);
}

void soak_caller::on_bytes(std::string_view bytes) {
  input_ += bytes;
  for (auto end = input_.find("\r\n"); end != std::string::npos; end = input_.find("\r\n")) {
    lines_.push_back(input_.substr(0, end));
    input_.erase(0, end + 2);
    if (!lines_.back().starts_with("READY")) continue;
    const auto answer = std::exchange(lines_, {});
    if (!waits_for_answer_) {
      context_.oracle.report("UNASKED", fmt::format("caller {} got an answer to nothing", identity_.number));
    }
    on_answer(answer);
    if (!stream_) return;
  }
}

void soak_caller::on_answer(const std::vector<std::string>& lines) {
  silence_timer_.cancel();
  waits_for_answer_ = false;
  const auto& first = lines.front();
  if (first.starts_with("ERROR ")) {
    const auto code = first.substr(6, first.find(' ', 6) - 6);
    on_error(code);
    return;
  }
  on_success(lines);
  if (!stream_) return;
  if (is_in_transaction_) {
    continue_transaction();
  } else {
    pause_timer_.set(operation_pause, [this] { next_operation(); });
  }
}

void soak_caller::on_success(const std::vector<std::string>& lines) {
  switch (step_) {
    case step::value:
      values_["tag"] = pending_value_;
      break;
    case step::prepare:
      is_prepared_ = true;
      break;
    case step::read: {
      const auto row = lines.front().starts_with("ROW ") ? lines.front().substr(4) : std::string{};
      const bool is_own_write = std::any_of(
          writes_.begin(), writes_.end(), [&](const planned_write& each) { return each.item == read_item_; });
      if (!is_own_write) context_.oracle.on_read(read_item_, number_of(row), least_number(read_item_), id_);
      break;
    }
    case step::write:
      if (is_in_transaction_) return;
      end_writes(fate::acknowledged);
      break;
    case step::commit:
      end_writes(fate::acknowledged);
      break;
    case step::rollback:
      end_writes(fate::refused);
      break;
    case step::session:
    case step::begin:
      return;
  }
  if (!is_in_transaction_) ++done_;
}

void soak_caller::on_error(const std::string& code) {
  const bool is_final = step_ == step::commit || (step_ == step::write && !is_in_transaction_);
  end_writes(is_final && !guarantees_no_effect(code) ? fate::unknown : fate::refused);
  reconnect();
}

}  // namespace bulrushlift::soak

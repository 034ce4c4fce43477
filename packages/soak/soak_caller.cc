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

// Longer than the route's timeout of one statement, because answers may be late. Bounds the
// wait of a caller whose VM is paused.
constexpr duration answer_timeout = seconds{8};
constexpr duration reconnect_pause = milliseconds{50};
constexpr duration operation_pause = milliseconds{5};

// Average number of operations after which a caller reconnects, so that sessions move between VMs.
constexpr std::uint64_t operations_per_session = 12;
constexpr std::uint64_t max_transaction_statements = 5;

// Callers pause inside transactions, so that processes end between the statements of a transaction too.
constexpr std::uint64_t statements_per_rest = 4;
constexpr milliseconds max_rest{2'500};
constexpr std::size_t callers_with_items = 8;

constexpr std::array<const char*, 3> databases{"orders", "stock", "book"};

std::uint64_t number_of(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

}  // namespace

soak_caller::soak_caller(caller_context& context, caller_identity identity, std::uint64_t seed)
    : context_(context),
      identity_(std::move(identity)),
      random_(seed),
      rest_random_(~seed),
      answer_timer_(context.loop),
      pause_timer_(context.loop) {}

soak_caller::~soak_caller() = default;

std::string soak_caller::own_item() const {
  return fmt::format("c{}.{}", identity_.number, item_generation_);
}

std::string soak_caller::random_item() {
  if (draw(2) == 0) return own_item();
  const auto known = context_.oracle.items();
  return known.empty() ? own_item() : known[draw(known.size())];
}

void soak_caller::connect() {
  if (is_stopping_) return;
  input_.clear();
  lines_.clear();
  values_.clear();
  own_writes_.clear();
  is_prepared_ = false;
  is_in_transaction_ = false;
  level_ = static_cast<read_level>(draw(databases.size()));
  tcp_stream_observer& observer = *this;
  stream_ = std::make_unique<tcp_stream>(context_.loop, observer);
  vm_ = context_.pick_vm();
  stream_->connect(vm_);
  step_ = step::session;
  is_awaiting_answer_ = true;
  answer_timer_.set(answer_timeout, [this] { on_answer_timeout(); });
  stream_->write(session_line(databases[static_cast<std::size_t>(level_)], identity_.key));
}

void soak_caller::reconnect() {
  answer_timer_.cancel();
  is_awaiting_answer_ = false;
  // The stream may be running a callback, so it is destroyed later.
  context_.loop.post([last = std::shared_ptr<tcp_stream>{std::move(stream_)}] {
    if (last) last->close();
  });
  pause_timer_.set(reconnect_pause, [this] { connect(); });
}

write_outcome soak_caller::outcome_without_answer() const noexcept {
  const bool is_final = step_ == step::commit || (step_ == step::write && !is_in_transaction_);
  // Nothing of a transaction is committed unless its COMMIT was sent.
  return is_awaiting_answer_ && is_final ? write_outcome::unknown : write_outcome::refused;
}

void soak_caller::on_answer_timeout() {
  finish_writes(outcome_without_answer());
  reconnect();
}

void soak_caller::on_closed(const error& /*reason*/) {
  if (is_awaiting_answer_ && step_ != step::session) context_.on_unanswered(vm_, statement_id_);
  if (is_awaiting_answer_ || is_in_transaction_) finish_writes(outcome_without_answer());
  reconnect();
}

void soak_caller::finish_writes(write_outcome outcome) {
  const auto now = context_.loop.now();
  const auto writes = std::exchange(writes_, {});
  for (const auto& each : writes) {
    // A transaction writes one item; its COMMIT makes only the last of these writes visible.
    const bool is_last = each.number == writes.back().number;
    context_.oracle.on_write_ended(each.item, each.number, is_last ? outcome : write_outcome::refused, now);
  }
  if (!writes.empty() && outcome == write_outcome::acknowledged)
    own_writes_[writes.back().item] = writes.back().number;
  // A write with an unknown outcome may take effect after later writes, so a new item is used.
  if (!writes.empty() && outcome == write_outcome::unknown) ++item_generation_;
  is_in_transaction_ = false;
  if (outcome == write_outcome::unknown) ++unknown_count_;
  if (outcome == write_outcome::refused) ++refused_count_;
}

void soak_caller::send_statement(step what, const std::string& text) {
  step_ = what;
  is_awaiting_answer_ = true;
  statement_id_ = fmt::format("q{}-{}", identity_.number, ++last_statement_id_);
  if (what == step::begin) transaction_id_ = statement_id_;
  context_.sent.emplace(statement_id_, sent_statement{text, identity_.customer, values_,
                                                      is_in_transaction_ ? transaction_id_ : std::string{}});
  answer_timer_.set(answer_timeout, [this] { on_answer_timeout(); });
  stream_->write(statement_line(statement_id_, text));
}

void soak_caller::next_operation() {
  if (is_stopping_) return;
  if (draw(operations_per_session) == 0) {
    reconnect();
    return;
  }
  operation_started_at_ = context_.loop.now();
  switch (draw(8)) {
    case 0:
      pending_value_ = fmt::format("{}", draw(1'000));
      send_statement(step::value, "SET tag " + pending_value_);
      return;
    case 1:
      send_statement(step::prepare, "PREPARE p READ q1");
      return;
    case 2:
    case 3:
      statements_left_ = 1 + draw(max_transaction_statements);
      is_in_transaction_ = true;
      send_statement(step::begin, "BEGIN");
      return;
    case 4:
    case 5:
      send_write();
      return;
    default:
      send_read(random_item());
      return;
  }
}

void soak_caller::continue_transaction() {
  if (statements_left_ == 0) {
    if (draw(4) == 0) {
      send_statement(step::rollback, "ROLLBACK");
    } else {
      send_statement(step::commit, "COMMIT");
    }
    return;
  }
  --statements_left_;
  if (draw(2) == 0) {
    send_write();
  } else {
    send_read(random_item());
  }
}

void soak_caller::rest_in_transaction() {
  if (rest_random_() % statements_per_rest != 0) {
    continue_transaction();
    return;
  }
  const auto length = rest_random_() % static_cast<std::uint64_t>(max_rest.count());
  pause_timer_.set(milliseconds{length}, [this] { continue_transaction(); });
}

void soak_caller::send_write() {
  const planned_write next{own_item(), ++last_number_};
  writes_.push_back(next);
  context_.oracle.on_write_sent(next.item, next.number);
  send_statement(step::write, fmt::format("WRITE {} {}", next.item, next.number));
}

void soak_caller::send_read(const std::string& item) {
  read_item_ = item;
  send_statement(step::read, is_prepared_ && draw(2) == 0 ? "EXECUTE p " + item : "READ " + item);
}

std::uint64_t soak_caller::minimum_number(const std::string& item) const {
  if (level_ == read_level::primary) return context_.oracle.newest_acknowledged(item, operation_started_at_);
  const auto minimum =
      context_.oracle.newest_acknowledged(item, operation_started_at_ - milliseconds{route_staleness_ms});
  const auto own = own_writes_.find(item);
  if (level_ == read_level::bounded || own == own_writes_.end()) return minimum;
  return std::max(minimum, own->second);
}

void soak_caller::on_bytes(std::string_view bytes) {
  input_ += bytes;
  for (auto end = input_.find("\r\n"); end != std::string::npos; end = input_.find("\r\n")) {
    lines_.push_back(input_.substr(0, end));
    input_.erase(0, end + 2);
    if (!lines_.back().starts_with("READY")) continue;
    const auto answer = std::exchange(lines_, {});
    if (!is_awaiting_answer_) {
      context_.oracle.report(
          "UNASKED",
          fmt::format("caller {} received an answer without an outstanding request", identity_.number));
    }
    on_answer(answer);
    if (!stream_) return;
  }
}

void soak_caller::on_answer(const std::vector<std::string>& lines) {
  answer_timer_.cancel();
  is_awaiting_answer_ = false;
  const auto& first = lines.front();
  if (first.starts_with("ERROR ")) {
    const auto code = first.substr(6, first.find(' ', 6) - 6);
    on_error(code);
    return;
  }
  on_success(lines);
  if (!stream_) return;
  if (is_in_transaction_) {
    rest_in_transaction();
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
      if (!is_own_write)
        context_.oracle.on_read(read_item_, number_of(row), minimum_number(read_item_), statement_id_);
      break;
    }
    case step::write:
      if (is_in_transaction_) return;
      finish_writes(write_outcome::acknowledged);
      break;
    case step::commit:
      finish_writes(write_outcome::acknowledged);
      break;
    case step::rollback:
      finish_writes(write_outcome::refused);
      break;
    case step::session:
    case step::begin:
      return;
  }
  if (!is_in_transaction_) ++done_count_;
}

void soak_caller::on_error(const std::string& code) {
  const bool is_final = step_ == step::commit || (step_ == step::write && !is_in_transaction_);
  finish_writes(is_final && !guarantees_no_effect(code) ? write_outcome::unknown : write_outcome::refused);
  reconnect();
}

}  // namespace bulrushlift::soak

#include "platform/target_connection.h"

#include <utility>

namespace bulrushlift::platform {
namespace {

template <class... Ts>
struct overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

// A row is held twice: as received bytes or as a row, and as bytes for the caller or the peer.
constexpr std::size_t copies_of_row = 2;
// Memory of a row besides its data.
constexpr std::size_t row_overhead_bytes = 64;

}  // namespace

target_connection::target_connection(event_loop& loop, resource_budget* budget, customer_id customer)
    : loop_(loop), budget_(budget), customer_(std::move(customer)), stream_(loop, *this) {}

void target_connection::open(const target_endpoint& endpoint, open_callback done) {
  start_line_ = encode_target_start(endpoint.service, endpoint.customer, endpoint.target);
  on_open_ = std::move(done);
  stream_.connect(endpoint.address);
}

void target_connection::run(const std::vector<sql::target_command>& commands, batch_callback done) {
  if (!is_open()) {
    loop_.post([alive = is_alive_, done = std::move(done)] {
      if (*alive) done({{}, false, false, false, nullptr});
    });
    return;
  }
  on_batch_ = std::move(done);
  expected_replies_ = commands.size();
  replies_.clear();
  current_reply_ = {};
  row_bytes_ = 0;
  is_over_memory_ = false;
  reservation_.reset();
  sent_bytes_before_batch_ = stream_.sent_bytes();
  std::string lines;
  for (const auto& command : commands) append_command(lines, command);
  stream_.write(lines);
}

void target_connection::abort() {
  stream_.close();
  report_loss();
}

void target_connection::close_silently() {
  on_open_ = nullptr;
  on_batch_ = nullptr;
  on_idle_close_ = nullptr;
  is_ready_ = false;
  stream_.close();
}

void target_connection::on_connected() { stream_.write(start_line_); }

void target_connection::on_bytes(std::string_view bytes) {
  const auto alive = is_alive_;
  if (on_batch_) reserve_for(bytes.size());
  const bool is_within_limit = reader_.feed(bytes, max_line_bytes, [&](std::string_view line) {
    const bool is_valid = on_line(line);
    if (*alive && !is_valid) abort();
    return *alive && stream_.is_open();
  });
  if (!*alive) return;
  if (!is_within_limit) {
    abort();
  } else if (is_over_memory_) {
    reader_.discard_rest_of_line();
  }
}

void target_connection::reserve_for(std::size_t received) {
  if (budget_ == nullptr || is_over_memory_) return;
  const auto bytes = (row_bytes_ + reader_.buffered_bytes() + received) * copies_of_row;
  if (bytes <= budget_->shares().small_bytes * copies_of_row) return;
  if (!reservation_) reservation_ = std::make_shared<memory_reservation>(budget_, customer_);
  if (reservation_->grow_to(bytes, loop_.now())) return;
  is_over_memory_ = true;
  for (auto& each : replies_) each.rows = {};
  current_reply_.rows = {};
  reader_.discard_rest_of_line();
  reservation_.reset();
}

batch_result target_connection::take_result(bool is_complete, bool may_have_been_sent) {
  batch_result result;
  result.replies = std::move(replies_);
  replies_ = {};
  result.is_complete = is_complete;
  result.may_have_been_sent = may_have_been_sent;
  result.is_over_memory = std::exchange(is_over_memory_, false);
  result.reservation = std::exchange(reservation_, nullptr);
  return result;
}

bool target_connection::on_line(std::string_view line) {
  if (!on_open_ && !on_batch_) return false;
  auto message = decode_target_line(line);
  return std::visit(overloaded{[&](target_row& row) {
                                 row_bytes_ += row.data.size() + row_overhead_bytes;
                                 if (!is_over_memory_) current_reply_.rows.push_back(std::move(row.data));
                                 return true;
                               },
                               [&](target_complete& complete) {
                                 current_reply_.signature = std::move(complete.signature);
                                 return true;
                               },
                               [&](target_failure& failure) {
                                 current_reply_.error = failure.kind;
                                 current_reply_.error_text = std::move(failure.text);
                                 if (on_open_) finish_open(failure.kind);
                                 return true;
                               },
                               [&](const target_ready& ready) {
                                 on_ready(ready);
                                 return true;
                               },
                               [](const malformed_target_message&) { return false; }},
                    message);
}

void target_connection::on_ready(const target_ready& message) {
  if (on_open_) {
    is_ready_ = true;
    finish_open(std::nullopt);
    return;
  }
  current_reply_.state = message.state;
  current_reply_.point = message.point;
  replies_.push_back(std::exchange(current_reply_, {}));
  if (replies_.size() < expected_replies_) return;
  const auto done = std::exchange(on_batch_, nullptr);
  done(take_result(true, true));
}

void target_connection::finish_open(std::optional<sql::target_error> failure) {
  const auto done = std::exchange(on_open_, nullptr);
  if (failure) stream_.close();
  done(failure);
}

void target_connection::on_closed(const error& /*reason*/) { report_loss(); }

void target_connection::report_loss() {
  is_ready_ = false;
  if (on_open_) {
    finish_open(sql::target_error::connection_lost);
    return;
  }
  if (on_batch_) {
    const bool was_sent = stream_.sent_bytes() > sent_bytes_before_batch_;
    const auto done = std::exchange(on_batch_, nullptr);
    done(take_result(false, was_sent));
    return;
  }
  if (auto callback = std::exchange(on_idle_close_, nullptr)) callback();
}

}  // namespace bulrushlift::platform

#include "net/peer_link.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "net/tcp_stream.h"
#include "peer_protocol/frame.h"

namespace bulrushlift {
namespace {

// Offset of requests that never reach a connection.
constexpr auto never_sent = std::numeric_limits<std::uint64_t>::max();

}  // namespace

class peer_link::state : public tcp_stream_observer, public std::enable_shared_from_this<state> {
 public:
  state(event_loop& loop, net_address address, peer_link_options options)
      : loop_(loop),
        address_(std::move(address)),
        options_(options),
        connect_timer_(loop),
        probe_timer_(loop),
        backoff_(options.first_backoff),
        random_(options.seed) {}

  void request(peer::envelope_t message, duration timeout, reply_callback done) {
    message.id = ++last_id_;
    const auto id = message.id;
    auto& entry = pending_[id];
    entry.done = std::move(done);
    if (const auto refusal = reason_to_refuse()) {
      refuse(id, *refusal);
      return;
    }
    entry.timer = loop_.schedule(timeout, [this, id] {
      const auto self = shared_from_this();
      fail(id, {error_kind::deadline_exceeded, fmt::format("no reply from {} in time", address_.str())});
    });
    transmit(message);
    if (!probe_timer_.is_set()) schedule_probe();
  }

  void send(peer::envelope_t message) {
    message.id = 0;
    if (!reason_to_refuse()) transmit(message);
  }

  void on_connected() override {
    connect_timer_.cancel();
    last_received_ = loop_.now();
    backoff_ = options_.first_backoff;
    write_queued();
  }

  void on_progress() override { write_queued(); }

  void on_bytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    last_received_ = loop_.now();
    probe_sent_.reset();
    auto messages = reader_.feed(bytes);
    if (!messages) {
      disconnect(messages.error().message);
      return;
    }
    for (auto& message : *messages) {
      if (is_abandoned_) return;
      complete(std::move(message));
    }
  }

  void on_closed(const error& reason) override {
    const auto self = shared_from_this();
    disconnect(reason.message);
  }

  void abandon() {
    is_abandoned_ = true;
    for (const auto& [id, entry] : pending_) loop_.cancel(entry.timer);
    pending_.clear();
    clear_queue();
    connect_timer_.cancel();
    probe_timer_.cancel();
    stream_.reset();
  }

  [[nodiscard]] bool is_connected() const noexcept { return stream_ && stream_->is_connected(); }
  [[nodiscard]] std::size_t pending_requests() const noexcept { return pending_.size(); }

 private:
  struct pending_request {
    reply_callback done;
    timer_id timer;
    /// Offset of the first byte in the stream of the current connection; `never_sent` while the frame waits.
    std::uint64_t start = never_sent;
  };
  /// A frame that was not given to the stream yet. It can be withdrawn, unlike the bytes of a stream.
  struct queued_frame {
    std::int64_t id = 0;
    std::string bytes;
  };

  [[nodiscard]] std::optional<error> reason_to_refuse() const {
    if (!stream_ && loop_.now() < next_attempt_) {
      return error{error_kind::peer_unavailable, fmt::format("{} is not reachable", address_.str())};
    }
    const auto queued = queued_bytes_ + (stream_ ? stream_->queued_bytes() : 0);
    if (queued > options_.queued_bytes) {
      return error{error_kind::peer_unavailable, fmt::format("the link to {} is congested", address_.str())};
    }
    return std::nullopt;
  }

  void refuse(std::int64_t id, error reason) {
    reason.stated_outcome = outcome::not_run;
    loop_.post([weak = weak_from_this(), id, reason = std::move(reason)] {
      if (const auto self = weak.lock()) self->finish(id, tl::unexpected<error>(reason));
    });
  }

  void transmit(const peer::envelope_t& message) {
    if (!stream_) connect();
    queue_.push_back({message.id, encode_frame(message)});
    queued_bytes_ += queue_.back().bytes.size();
    write_queued();
  }

  /// Gives frames to the stream as long as the kernel takes them.
  void write_queued() {
    while (is_connected() && stream_->queued_bytes() == 0 && !queue_.empty()) {
      const auto frame = std::move(queue_.front());
      queue_.pop_front();
      queued_bytes_ -= frame.bytes.size();
      if (const auto it = pending_.find(frame.id); it != pending_.end()) it->second.start = written_;
      written_ += frame.bytes.size();
      stream_->write(frame.bytes);
    }
  }

  void clear_queue() {
    queue_.clear();
    queued_bytes_ = 0;
  }

  /// @return whether the frame had not been given to the stream.
  bool withdraw(std::int64_t id) {
    const auto it =
        std::find_if(queue_.begin(), queue_.end(), [id](const queued_frame& each) { return each.id == id; });
    if (it == queue_.end()) return false;
    queued_bytes_ -= it->bytes.size();
    queue_.erase(it);
    return true;
  }

  void connect() {
    written_ = 0;
    clear_queue();
    reader_ = frame_reader{};
    stream_ = std::make_unique<tcp_stream>(loop_, *this);
    connect_timer_.set(options_.connect_timeout, [this] {
      const auto self = shared_from_this();
      disconnect("connection timed out");
    });
    stream_->connect(address_);
  }

  void schedule_probe() {
    probe_timer_.set(options_.probe_after, [this] { probe(); });
  }

  /// Finds connections that stay open but have stopped responding.
  void probe() {
    const auto self = shared_from_this();
    if (pending_.empty() || !stream_) return;
    const auto now = loop_.now();
    if (is_connected() && probe_sent_ && now - *probe_sent_ >= options_.probe_timeout) {
      disconnect("no response to a probe");
      return;
    }
    if (is_connected() && !probe_sent_ && now - last_received_ >= options_.probe_after) {
      probe_sent_ = now;
      send({});
    }
    schedule_probe();
  }

  void complete(peer::envelope_t reply) {
    const auto id = reply.id;
    if (!reply.__isset.error) {
      finish(id, std::move(reply));
      return;
    }
    finish(id, tl::unexpected<error>(from_wire(reply.error)));
  }

  void finish(std::int64_t id, result<peer::envelope_t> reply) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) return;
    const auto entry = std::move(found->second);
    pending_.erase(found);
    loop_.cancel(entry.timer);
    entry.done(std::move(reply));
  }

  void fail(std::int64_t id, error reason) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) return;
    // What the stream has will be sent, even if the kernel has not taken a byte of it yet.
    reason.stated_outcome = withdraw(id) ? outcome::not_run : outcome::unknown;
    finish(id, tl::unexpected<error>(std::move(reason)));
  }

  void disconnect(const std::string& reason) {
    if (!stream_) return;
    connect_timer_.cancel();
    probe_timer_.cancel();
    probe_sent_.reset();
    const auto stream = std::move(stream_);
    const auto sent = stream->sent_bytes();
    stream->close();
    clear_queue();
    next_attempt_ = loop_.now() + random_backoff();
    // Requests of later connections have later ids; those refused here are answered by their post.
    auto failed = std::exchange(pending_, {});
    for (auto& [id, entry] : failed) {
      loop_.cancel(entry.timer);
      if (is_abandoned_) return;
      entry.done(tl::unexpected<error>(
          error{error_kind::peer_unavailable, fmt::format("link to {}: {}", address_.str(), reason),
                std::nullopt, sent > entry.start ? outcome::unknown : outcome::not_run}));
    }
  }

  duration random_backoff() {
    std::uniform_int_distribution<duration::rep> spread{backoff_.count() / 2, backoff_.count()};
    backoff_ = std::min(backoff_ * 2, options_.max_backoff);
    return duration{spread(random_)};
  }

  event_loop& loop_;
  net_address address_;
  peer_link_options options_;
  std::unique_ptr<tcp_stream> stream_;
  scoped_timer connect_timer_;
  scoped_timer probe_timer_;
  frame_reader reader_;
  std::map<std::int64_t, pending_request> pending_;
  std::int64_t last_id_ = 0;
  std::uint64_t written_ = 0;
  std::deque<queued_frame> queue_;
  std::size_t queued_bytes_ = 0;
  duration backoff_;
  time_point next_attempt_{};
  time_point last_received_{};
  std::optional<time_point> probe_sent_;
  std::mt19937_64 random_;
  bool is_abandoned_ = false;
};

peer_link::peer_link(event_loop& loop, net_address address, peer_link_options options)
    : state_(std::make_shared<state>(loop, std::move(address), options)) {}

peer_link::~peer_link() { state_->abandon(); }

void peer_link::request(peer::envelope_t message, duration timeout, reply_callback done) {
  state_->request(std::move(message), timeout, std::move(done));
}

void peer_link::send(peer::envelope_t message) { state_->send(std::move(message)); }
bool peer_link::is_connected() const noexcept { return state_->is_connected(); }
std::size_t peer_link::pending_requests() const noexcept { return state_->pending_requests(); }

bool is_probe(const peer::envelope_t& message) noexcept {
  const auto& set = message.__isset;
  return !(set.ping || set.ack || set.leave || set.relay_request || set.relay_reply || set.loan_request ||
           set.loan_reply || set.document_request || set.document_reply || set.error ||
           set.statement_request || set.statement_reply || set.transaction_end || set.watch_request ||
           set.watch_reply);
}

peer::error_t to_wire(const error& failure) {
  peer::error_t wire;
  wire.kind = std::string{name_of(failure.kind)};
  wire.message = failure.message;
  if (failure.retry_after) wire.__set_retry_after_ms(failure.retry_after->count());
  wire.__set_outcome(std::string{name_of(failure.request_outcome())});
  return wire;
}

error from_wire(const peer::error_t& wire) {
  error failure;
  failure.kind = error_kind_from_name(wire.kind).value_or(error_kind::internal_error);
  failure.message = wire.message;
  if (wire.__isset.retry_after_ms) failure.retry_after = std::chrono::milliseconds{wire.retry_after_ms};
  // A reply without a known outcome proves nothing about the request.
  failure.stated_outcome = outcome_from_name(wire.outcome).value_or(outcome::unknown);
  return failure;
}

}  // namespace bulrushlift

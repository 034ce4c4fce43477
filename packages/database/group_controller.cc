#include "database/group_controller.h"

#include <algorithm>
#include <utility>

#include "database/group_health.h"
#include "database/group_observation.h"
#include "database/group_promotion.h"
#include "database/write_acknowledgement.h"

namespace bulrushlift {

using internal::exchange_kind;
using internal::group_context;

class group_controller::state {
 public:
  state(service_id service, vm_id vm, incarnation_id incarnation, const group_options& options)
      : options_(options), promotion_(std::move(vm), incarnation) {
    view_.service = std::move(service);
  }

  group_actions handle(const group_event& event, time_point now, std::uint64_t random_bits) {
    group_actions actions;
    std::minstd_rand random{static_cast<std::minstd_rand::result_type>(random_bits ^ (random_bits >> 32U))};
    const group_context context{view_, options_, exchanges_, actions, random, now};
    const bool was_promoting = promotion_.is_running();
    std::visit([&](const auto& item) { on_event(context, item); }, event);
    apply_view(context);
    if (was_promoting && !promotion_.is_running()) health_.restart_primary_timer(now);
    return actions;
  }

  [[nodiscard]] const group_view& view() const noexcept { return view_; }
  [[nodiscard]] std::size_t waiting_writes() const noexcept { return writes_.waiting(); }

 private:
  void on_event(const group_context& context, const group_configured& event);
  void on_event(const group_context& context, const ownership_changed& event);
  void on_event(const group_context& context, const timer_ticked& event);
  void on_event(const group_context& context, const status_replied& event);
  void on_event(const group_context& context, const fence_replied& event);
  void on_event(const group_context& context, const promote_replied& event);
  void on_event(const group_context& context, const follow_replied& event);
  void on_event(const group_context& context, const request_failed& event);
  void on_event(const group_context& context, const connection_refused& event);
  void on_event(const group_context& context, const write_sent& event);
  void on_event(const group_context& context, const write_answered& event);
  void on_event(const group_context& context, const write_ended& event);
  void on_event(const group_context& context, const point_observed& event);

  void fail(const group_context& context, const internal::exchange& request, request_failure reason);
  void start_promotion(const group_context& context);
  void apply_view(const group_context& context);
  [[nodiscard]] bool is_hand_over_possible() const;

  group_options options_;
  group_view view_;
  internal::exchange_table exchanges_;
  internal::group_health health_;
  internal::group_promotion promotion_;
  internal::write_acknowledgement writes_;
};

// ---------------------------------------------------------------------------
// Configuration and time
// ---------------------------------------------------------------------------

void group_controller::state::on_event(const group_context& context, const group_configured& event) {
  std::vector<target_view> targets;
  for (const auto& item : event.targets) {
    const auto* known = find_target(view_, item.target);
    target_view target = known != nullptr ? *known : target_view{};
    target.target = item.target;
    target.address = item.address;
    target.data_centre = item.data_centre;
    target.is_leaving =
        std::find(event.leaving.begin(), event.leaving.end(), item.target) != event.leaving.end();
    targets.push_back(std::move(target));
  }
  view_.targets = std::move(targets);
  if (find_target(view_, view_.primary) == nullptr) view_.primary = {};
  health_.configure(view_);
  if (view_.primary.empty()) health_.restart_primary_timer(context.now);
}

void group_controller::state::on_event(const group_context& context, const ownership_changed& event) {
  if (view_.is_owner == event.is_owner) return;
  view_.is_owner = event.is_owner;
  context.log(event.is_owner ? "ownership_gained" : "ownership_lost", {}, "membership");
  promotion_.cancel(context);
  if (event.is_owner) health_.restart(context.now);
  for (auto& target : view_.targets) target.is_reachable = target.is_reachable && !event.is_owner;
}

void group_controller::state::on_event(const group_context& context, const timer_ticked& /*event*/) {
  for (const auto& [id, request] : exchanges_.expire(context.now))
    fail(context, request, request_failure::timed_out);
  writes_.end_expired(context);
  if (!view_.is_owner && writes_.is_idle()) return;
  health_.tick(context, view_.is_owner);
  if (!view_.is_owner) return;
  promotion_.tick(context, writes_.is_idle());
  if (!promotion_.is_running()) start_promotion(context);
}

bool group_controller::state::is_hand_over_possible() const {
  return std::any_of(view_.targets.begin(), view_.targets.end(), [&](const target_view& target) {
    return target.target != view_.primary && !target.is_leaving && target.is_reachable &&
           is_consistent(view_, target);
  });
}

void group_controller::state::start_promotion(const group_context& context) {
  if (!promotion_.is_due(context.now)) return;
  if (const auto reason = health_.find_failover_reason(context)) {
    promotion_.start(context, view_.primary, false, *reason);
    return;
  }
  const auto* primary = find_target(view_, view_.primary);
  if (primary == nullptr || !primary->is_leaving || !is_hand_over_possible()) return;
  promotion_.start(context, primary->target, true, "the primary is leaving");
}

// ---------------------------------------------------------------------------
// Replies
// ---------------------------------------------------------------------------

void group_controller::state::on_event(const group_context& context, const status_replied& event) {
  const auto request = exchanges_.close(event.exchange);
  health_.on_status(context, event.exchange, request, event.status);
  if (view_.is_owner || !writes_.is_idle()) health_.send_long_polls(context);
}

void group_controller::state::on_event(const group_context& context, const fence_replied& event) {
  if (exchanges_.close(event.exchange)) health_.on_contact(context, event.target);
  promotion_.on_fence(context, event);
}

void group_controller::state::on_event(const group_context& context, const promote_replied& event) {
  if (exchanges_.close(event.exchange)) health_.on_contact(context, event.status.target);
  internal::observe_status(view_, event.status, std::nullopt);
}

void group_controller::state::on_event(const group_context& context, const follow_replied& event) {
  if (exchanges_.close(event.exchange)) health_.on_contact(context, event.status.target);
  internal::observe_status(view_, event.status, std::nullopt);
}

void group_controller::state::on_event(const group_context& context, const request_failed& event) {
  internal::observe_point(view_, event.target, event.term, {});
  const auto request = exchanges_.close(event.exchange);
  if (request) fail(context, *request, event.reason);
}

void group_controller::state::fail(const group_context& context, const internal::exchange& request,
                                   request_failure reason) {
  const bool is_promotion_request = request.kind == exchange_kind::fence ||
                                    request.kind == exchange_kind::promote ||
                                    request.kind == exchange_kind::follow;
  if (is_promotion_request) {
    promotion_.on_failure(context, request, reason);
    if (reason == request_failure::refused) health_.on_refused(context, request.target);
    return;
  }
  health_.on_failure(context, request, reason);
}

void group_controller::state::on_event(const group_context& context, const connection_refused& event) {
  if (view_.is_owner) health_.on_refused(context, event.target);
}

void group_controller::state::on_event(const group_context& /*context*/, const write_sent& event) {
  writes_.on_sent(event.request);
}

void group_controller::state::on_event(const group_context& context, const write_answered& event) {
  internal::observe_point(view_, event.target, event.point.term, event.point);
  writes_.on_answered(context, event);
}

void group_controller::state::on_event(const group_context& /*context*/, const write_ended& event) {
  writes_.on_ended(event.request);
}

void group_controller::state::on_event(const group_context& /*context*/, const point_observed& event) {
  internal::observe_point(view_, event.target, event.term, event.point);
}

/// Applies the state of the group after each event: completes or ends a promotion, acknowledges
/// writes and sends `follow` requests.
void group_controller::state::apply_view(const group_context& context) {
  promotion_.update(context);
  writes_.update(context);
  if (view_.is_owner) promotion_.send_follows(context);
}

// ---------------------------------------------------------------------------

group_controller::group_controller(service_id service, vm_id vm, incarnation_id incarnation,
                                   group_options options)
    : state_(std::make_unique<state>(std::move(service), std::move(vm), incarnation, options)) {}
group_controller::~group_controller() = default;
group_controller::group_controller(group_controller&&) noexcept = default;
group_controller& group_controller::operator=(group_controller&&) noexcept = default;

group_actions group_controller::handle(const group_event& event, time_point now, std::uint64_t random_bits) {
  return state_->handle(event, now, random_bits);
}

const group_view& group_controller::view() const noexcept { return state_->view(); }

std::size_t group_controller::waiting_writes() const noexcept { return state_->waiting_writes(); }

}  // namespace bulrushlift

#include "fleet/configuration_fetch.h"

#include <algorithm>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;

// A store that works begins its response to a listing within this time.
constexpr duration list_patience = milliseconds{500};

// Between two requests to peers. It doubles while no configuration arrives.
constexpr duration min_peer_pause = milliseconds{500};
constexpr duration max_peer_pause = milliseconds{4'000};

}  // namespace

fetch_source configuration_fetch::choose(generation_id newer, const store_access& store, time_point now) {
  if (store.is_receiving) return fetch_source::none;
  // A listing that did not bring a generation that a peer has is of a store that came back older.
  if (store.is_reachable && !store.is_listing && newer > listed_for_) {
    listed_for_ = newer;
    listed_at_ = now;
    return fetch_source::store;
  }
  if (store.is_listing && now - listed_at_ < list_patience) return fetch_source::none;
  if (peer_pause_ > duration::zero() && now - requested_at_ < peer_pause_) return fetch_source::none;
  requested_at_ = now;
  peer_pause_ = std::clamp(peer_pause_ * 2, min_peer_pause, max_peer_pause);
  return fetch_source::peer;
}

void configuration_fetch::on_applied() { peer_pause_ = duration::zero(); }

void configuration_fetch::on_peer_failed() { peer_pause_ = std::min(peer_pause_, min_peer_pause); }

}  // namespace bulrushlift

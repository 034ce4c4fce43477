#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>

#include "limits/key_ring.h"

namespace bulrushlift {
namespace {

struct model_key {
  std::string text;
  customer_id customer;
  key_entry entry;
};

std::string random_key(std::mt19937_64& random, const std::string& id) {
  std::string secret(32, '\0');
  for (auto& byte : secret) byte = static_cast<char>(random() % 256);
  return "blk_" + id + "_" + to_base64url(secret);
}

/// Changes or inserts a character, truncates the text or changes the id, so that the result
/// is not an issued key.
std::string corrupt(std::mt19937_64& random, std::string text) {
  const auto at = random() % text.size();
  switch (random() % 4) {
    case 0:
      text[at] = text[at] == 'A' ? 'B' : 'A';
      break;
    case 1:
      text.erase(at);
      break;
    case 2:
      text.insert(at, 1, 'x');
      break;
    default:
      text.replace(0, 5, "blk_z");
  }
  return text;
}

/// The oracle: a list of the issued keys and the expected result of each. It holds the key
/// texts, of which the ring has only digests.
class key_model {
 public:
  explicit key_model(std::uint64_t seed) : random_(seed) {}

  void issue() {
    const auto number = std::to_string(keys_.size());
    const auto text = random_key(random_, random_() % 2 == 0 ? "k" + number : "a_b." + number);
    const customer_id customer{"customer-" + std::to_string(random_() % 3)};
    keys_.push_back({text, customer, {key_id{parse_key(text)->id}, digest_of_key(text), key_state::active}});
  }

  void revoke() {
    if (!keys_.empty()) keys_[random_() % keys_.size()].entry.state = key_state::revoked;
  }

  [[nodiscard]] key_ring ring(key_ring_test_faults faults) const {
    std::map<customer_id, customer_keys> customers;
    for (const auto& each : keys_) {
      customers[each.customer].customer = each.customer;
      customers[each.customer].keys.push_back(each.entry);
    }
    std::vector<customer_keys> list;
    for (const auto& [name, each] : customers) list.push_back(each);
    return key_ring{list, faults};
  }

  /// Authenticates each issued key and a corrupted copy of it.
  /// @return the number of keys for which a result differs from the oracle's.
  int count_wrong(key_ring_test_faults faults) {
    const auto ring = this->ring(faults);
    int wrong = 0;
    for (const auto& each : keys_) {
      const auto answer = ring.authenticate(each.text);
      const bool is_right = each.entry.state == key_state::active
                                ? answer && *answer == each.customer
                                : !answer && answer.error().kind == error_kind::key_revoked;
      const auto corrupted = corrupt(random_, each.text);
      const auto refusal = ring.authenticate(corrupted);
      const bool is_refused =
          corrupted == each.text || (!refusal && refusal.error().kind == error_kind::unauthenticated);
      if (!is_right || !is_refused) ++wrong;
    }
    return wrong;
  }

 private:
  std::mt19937_64 random_;
  std::vector<model_key> keys_;
};

int wrong_answers(std::uint64_t seed, const std::vector<std::uint8_t>& commands,
                  key_ring_test_faults faults = {}) {
  key_model model{seed};
  int wrong = 0;
  for (const auto command : commands) {
    if (command % 4 == 0) {
      model.revoke();
    } else if (command % 4 == 1) {
      wrong += model.count_wrong(faults);
    } else {
      model.issue();
    }
  }
  return wrong;
}

std::vector<std::uint8_t> any_commands() {
  return *rc::gen::container<std::vector<std::uint8_t>>(
      60, rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint8_t>()));
}

// Guards against a key that works for another customer, still works after it was revoked,
// stops working during a rotation, or is accepted with a wrong secret or id.
TEST_CASE("a key works exactly for its customer until it is revoked") {
  CHECK(
      rc::check([] { RC_ASSERT(wrong_answers(*rc::gen::arbitrary<std::uint64_t>(), any_commands()) == 0); }));
}

// Guards against an oracle that does not detect accepted revoked keys.
TEST_CASE("the oracle notices revoked keys that count as active") {
  const std::vector<std::uint8_t> commands{2, 2, 3, 0, 1};
  CHECK(wrong_answers(1, commands) == 0);
  CHECK(wrong_answers(1, commands, {.accepts_revoked_keys = true}) > 0);
}

}  // namespace
}  // namespace bulrushlift

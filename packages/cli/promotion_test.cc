#include "cli/promotion.h"

#include <catch2/catch.hpp>

#include "cli/object_store_fake.h"

namespace bulrushlift {
namespace {

static_assert(object_store<object_store_fake>);

class promotion_fixture {
 public:
  promotion_fixture() { REQUIRE(write("first", "p1", 0)); }

  result<production_record> write(const std::string& text, const std::string& id, std::uint64_t against) {
    return promote(store, {"env", text, id, generation_id{against}});
  }
  void report(const std::string& vm, const std::string& environment, std::uint64_t generation) {
    const nlohmann::json status{{"vm", vm}, {"environment", environment}, {"generation", generation}};
    REQUIRE(store.put(std::string{vm_status_prefix} + vm, status.dump(), std::nullopt));
  }
  [[nodiscard]] production_record in_force() {
    object_store_fake reader{model};
    return read_in_force(reader, "env").value().record;
  }

  [[nodiscard]] production_record in_force_after_faults_end() {
    model.set_faults({});
    return in_force();
  }

  object_store_model model;
  object_store_fake store{model};
};

const std::string production = production_path("env");

// Guards against a promotion that changes the bytes of the tried document or loses the previous document.
TEST_CASE("a promotion writes exactly the tried bytes and keeps the previous document") {
  promotion_fixture it;
  const std::string text = "{ // bytes \t\\ \"quoted\" \xc3\xa9\r\n}\n";
  REQUIRE(it.write(text, "p2", 1));
  CHECK(it.in_force() == production_record{generation_id{2}, "p2", document_digest(text), text});
  const auto kept = parse_production_record(it.store.get(history_path("env", generation_id{1}))->value);
  CHECK(kept.value().text == "first");
}

// Guards against promoting a document that was tried against a generation no longer in force.
TEST_CASE("a document that was tried against an older generation is a conflict") {
  promotion_fixture it;
  REQUIRE(it.write("second", "p2", 1));
  const auto late = it.write("late", "p3", 1);
  CHECK(late.error().kind == error_kind::conflict);
  CHECK(late.error().message.find("generation 2 is in force (promotion p2)") == 0);
  CHECK(it.in_force().text == "second");
}

// Guards against two operators who read the same version and are both told that their promotion succeeded.
TEST_CASE("of two operators who write at the same time one gets a conflict that names the winner") {
  promotion_fixture it;
  bool raced = false;
  it.store.before_put = [&](std::string_view path) {
    if (path != production || raced) return;
    raced = true;
    object_store_fake other{it.model};
    REQUIRE(promote(other, {"env", "winner", "p2", generation_id{1}}));
  };
  const auto loser = it.write("loser", "p3", 1);
  REQUIRE_FALSE(loser);
  CHECK(loser.error().kind == error_kind::conflict);
  CHECK(loser.error().message.find("generation 2 is in force (promotion p2)") == 0);
  CHECK(it.in_force().text == "winner");
}

// Guards against a change that no VM accepts because the store came back from an older copy, in which its
// generation is not above the one in force.
TEST_CASE("a promotion is above the generations that VMs report") {
  promotion_fixture it;
  it.report("vm-1", "env", 6);
  it.report("vm-2", "env", 7);
  it.report("vm-3", "other", 90);
  CHECK(it.write("second", "p2", 1).value().generation == generation_id{8});
  CHECK(it.in_force().generation == generation_id{8});
  CHECK(it.write("third", "p3", 8).value().generation == generation_id{9});
}

// Guards against an unknown outcome if another operator wins with a generation below the one that was lost.
TEST_CASE("a promotion that loses to a lower generation is a conflict") {
  promotion_fixture it;
  it.report("vm-1", "env", 7);
  bool raced = false;
  it.store.before_put = [&](std::string_view path) {
    if (path != production || raced) return;
    raced = true;
    const production_record winner{generation_id{2}, "p2", document_digest("winner"), "winner"};
    object_store_fake other{it.model};
    REQUIRE(other.put(production, format_record(winner), std::nullopt));
  };
  const auto loser = it.write("loser", "p3", 1);
  REQUIRE_FALSE(loser);
  CHECK(loser.error().kind == error_kind::conflict);
}

// Guards against reporting a failure to the operator although the document is in force.
TEST_CASE("a promotion whose answer is lost is found by reading back") {
  promotion_fixture it;
  it.store.before_put = [&](std::string_view path) {
    if (path == production) it.model.set_faults({.lose_answers = 1});
  };
  CHECK(it.write("second", "p2", 1).value().generation == generation_id{2});
  CHECK(it.in_force().promotion_id == "p2");
}

// Guards against reporting a conflict for a promotion that took effect before a later one replaced it.
TEST_CASE("a promotion whose answer is lost succeeds even if a later promotion replaces it") {
  promotion_fixture it;
  it.store.before_put = [&](std::string_view path) {
    if (path == production) it.model.set_faults({.lose_answers = 1});
  };
  it.store.after_put = [&](std::string_view path) {
    if (path != production) return;
    object_store_fake other{it.model};
    REQUIRE(promote(other, {"env", "third", "p3", generation_id{2}}));
  };
  CHECK(it.write("second", "p2", 1).value().promotion_id == "p2");
  CHECK(it.in_force().text == "third");
}

// Guards against reporting a failure while the store does not answer: the write may have taken effect.
TEST_CASE("a store that never answers the write gives an unknown outcome") {
  promotion_fixture it;
  it.store.before_put = [&](std::string_view path) {
    if (path == production) it.model.set_faults({.down = true});
  };
  const auto silent = it.write("second", "p2", 1);
  CHECK(silent.error().kind == error_kind::outcome_unknown);
  CHECK(it.in_force_after_faults_end().text == "first");
}

// Guards against reporting a failure because a stale read shows the previous document.
TEST_CASE("a stale read after the write gives an unknown outcome") {
  promotion_fixture it;
  it.store.before_put = [&](std::string_view path) {
    if (path == production) it.model.set_faults({.lose_answers = 1, .serve_old = true});
  };
  const auto promoted = it.write("second", "p2", 1);
  CHECK(promoted.error().kind == error_kind::outcome_unknown);
  CHECK(it.in_force_after_faults_end().text == "second");
}

}  // namespace
}  // namespace bulrushlift

#include "limits/home_bucket.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{100}};
const budget_share share{whole_tokens(10), whole_tokens(10)};
constexpr home_position sole_home{0, 1};

millitokens level_after(const budget_options& options, duration span) {
  home_bucket bucket{options, {}};
  bucket.set_share(share, sole_home, start);
  bucket.advance_to(start + span);
  return bucket.level();
}

// Guards against a restarted VM that spends while the loans and shares of its earlier process count.
TEST_CASE("The first share of a process waits as long as any rise") {
  const budget_options options;

  CHECK(level_after(options, seconds{7}) == millitokens{});
  CHECK(level_after(options, seconds{9}) > millitokens{});
}

// Guards against refusing requests for several seconds after all VMs were restarted.
TEST_CASE("With a start delay the first share counts as soon as older loans are over") {
  budget_options options;
  options.start_delay = options.outstanding_time();

  CHECK(level_after(options, milliseconds{250}) == millitokens{});
  CHECK(level_after(options, seconds{1}) > whole_tokens(6));
}

// Guards against refusing every customer for about a second after all VMs were restarted.
TEST_CASE("A restarted home VM may spend its part of the allowance at once") {
  budget_options options;
  options.window = seconds{5};
  options.start_delay = options.outstanding_time();
  options.restart_limit_fraction = 0.05;
  options.restart_tokens = whole_tokens(10);
  home_bucket bucket{options, {}};
  bucket.set_share({whole_tokens(30), whole_tokens(30)}, {0, 3}, start);
  bucket.advance_to(start + *options.start_delay);

  // A twentieth of the limit of 60 at this VM, and a third of the tokens.
  CHECK(bucket.level() >= whole_tokens(3) + millitokens{3'333});
  CHECK(bucket.level() <= whole_tokens(7));
}

// Guards against parts of tokens that expire at borrowers, which lowers the limit of a customer in use.
TEST_CASE("With a window a home VM lends whole tokens or the whole amount") {
  budget_options options;
  options.window = seconds{5};
  options.start_delay = duration::zero();
  home_bucket bucket{options, {}};
  bucket.set_share({whole_tokens(2), whole_tokens(2)}, sole_home, start);
  bucket.advance_to(start + milliseconds{750});
  const auto level = bucket.level();
  REQUIRE(level > whole_tokens(1));
  REQUIRE(level < whole_tokens(2));

  const vm_id borrower{"entry-2"};
  const auto now = start + milliseconds{750};
  CHECK(bucket.lend(loan_id{1}, borrower, incarnation_id{1}, whole_tokens(3), now) == whole_tokens(1));
  CHECK(bucket.lend(loan_id{2}, borrower, incarnation_id{1}, whole_tokens(1), now) == millitokens{});
  CHECK(bucket.lend(loan_id{3}, borrower, incarnation_id{1}, millitokens{10}, now) == millitokens{10});
}

// Guards against a start delay that also shortens the delay of a share that moves between VMs.
TEST_CASE("A larger part of the rate still waits after a start delay") {
  budget_options options;
  options.start_delay = options.outstanding_time();
  home_bucket bucket{options, {}};
  bucket.set_share(share, {0, 10}, start);
  bucket.advance_to(start + seconds{3});
  bucket.set_share(share, sole_home, start + seconds{3});
  bucket.advance_to(start + seconds{6});

  CHECK(bucket.level() <= whole_tokens(1));
}

// Guards against refusing a customer at its old rate for seconds after the operators raised it.
TEST_CASE("A raised rate of the customer takes effect at once") {
  budget_options options;
  options.start_delay = options.outstanding_time();
  home_bucket bucket{options, {}};
  bucket.set_share({whole_tokens(1), whole_tokens(1)}, sole_home, start);
  bucket.advance_to(start + seconds{3});
  bucket.set_share(share, sole_home, start + seconds{3});
  bucket.advance_to(start + seconds{4});

  CHECK(bucket.level() >= whole_tokens(9));
}

}  // namespace
}  // namespace bulrushlift

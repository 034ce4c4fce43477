#include "limits/budget_commands_fake.h"

#include <algorithm>
#include <random>

namespace bulrushlift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Decodes small numbers from the bits of a command.
class command_bits {
 public:
  explicit command_bits(fleet_command bits) : bits_(bits) {}

  std::uint64_t below(std::uint64_t bound) {
    const auto value = bits_ % bound;
    bits_ /= bound;
    return value;
  }

 private:
  std::uint64_t bits_;
};

void admit_requests(budget_fleet& fleet, command_bits& bits) {
  const auto index = bits.below(fleet.instances());
  const customer_id customer{bits.below(2) == 0 ? "large" : "small"};
  const auto count = bits.below(4) == 0 ? 40 : 1 + bits.below(6);
  const auto cost = bits.below(8) == 0 ? whole_tokens(3) : whole_tokens(1);
  // Every first, second or third request is urgent.
  const auto urgent_interval = 1 + bits.below(3);
  for (std::uint64_t i = 0; i < count; ++i) {
    fleet.admit(index, customer, cost, i % urgent_interval == 0 ? 0 : 1);
  }
}

void change_rates(budget_fleet& fleet, command_bits& bits) {
  auto document = fleet.document();
  auto& share = document.customers[customer_id{bits.below(2) == 0 ? "large" : "small"}];
  const auto percent = static_cast<std::int64_t>(20 + bits.below(180));
  const auto scaled = [percent](millitokens amount, millitokens maximum) {
    return std::clamp(millitokens{amount.value() * percent / 100}, whole_tokens(3), maximum);
  };
  share = {scaled(share.rate_per_second, whole_tokens(500)), scaled(share.capacity, whole_tokens(400))};
  fleet.publish(std::move(document));
}

void inject_fault(budget_fleet& fleet, command_bits& bits) {
  const auto fault = bits.below(12);
  const auto a = bits.below(fleet.instances());
  const auto b = bits.below(fleet.instances());
  if (fault < 2) {
    fleet.set_conditions({static_cast<unsigned>(bits.below(30)), static_cast<unsigned>(bits.below(30)),
                          static_cast<unsigned>(bits.below(101)), milliseconds{bits.below(600)}});
  } else if (fault < 4) {
    if (a != b) fleet.set_partition(a, b, true);
  } else if (fault < 6) {
    fleet.heal();
  } else if (fault == 6) {
    fleet.pause(a, milliseconds{bits.below(600)});
  } else if (fault == 7) {
    fleet.crash(a);
  } else if (fault == 8) {
    fleet.replace(a);
  } else if (fault == 9) {
    fleet.lose_messages();
  } else if (fault == 10) {
    if (fleet.document().vms.size() < 8) fleet.add_vm();
  } else {
    change_rates(fleet, bits);
  }
}

}  // namespace

budget_document two_customer_document() {
  budget_document document;
  document.customers[customer_id{"large"}] = {whole_tokens(200), whole_tokens(100)};
  document.customers[customer_id{"small"}] = {whole_tokens(10), whole_tokens(4)};
  return document;
}

void run_command(budget_fleet& fleet, fleet_command command) {
  command_bits bits{command};
  const auto kind = bits.below(100);
  if (kind < 60) {
    admit_requests(fleet, bits);
    fleet.advance(microseconds{bits.below(8'000)});
  } else if (kind < 80) {
    fleet.advance(milliseconds{1 + bits.below(60)});
  } else if (kind < 84) {
    fleet.advance(milliseconds{bits.below(4'000)});
  } else {
    inject_fault(fleet, bits);
  }
}

budget_fleet run_fleet(std::uint64_t seed, const std::vector<fleet_command>& commands,
                       budget_test_faults faults, budget_options options) {
  std::mt19937_64 random{seed};
  std::vector<unsigned> clocks(3 + random() % 5);
  for (auto& clock : clocks) clock = 990 + static_cast<unsigned>(random() % 21);
  budget_fleet fleet{clocks, two_customer_document(), seed, options, faults};
  fleet.advance(seconds{9} + 2 * options.window);
  for (const auto command : commands) {
    run_command(fleet, command);
    if (fleet.violation()) break;
  }
  return fleet;
}

std::vector<fleet_command> commands_of(std::uint64_t seed, std::size_t count) {
  std::mt19937_64 random{seed};
  std::vector<fleet_command> commands(count);
  for (auto& each : commands) each = random();
  return commands;
}

}  // namespace bulrushlift

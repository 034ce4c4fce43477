#pragma once

#include <cstdint>
#include <vector>

#include "limits/budget_fleet_fake.h"

/// @file
/// Random commands for a fleet of budget controllers.

namespace bulrushlift {

/// A command is chosen by the bits of a number, so that any number is valid.
using fleet_command = std::uint64_t;

/// @return a document with two customers; one of them has a burst of less than
///   a token for each home VM.
[[nodiscard]] budget_document two_customer_document();

/// Runs one command.
void run_command(budget_fleet& fleet, fleet_command command);

/// Starts a fleet of 3 to 7 VMs, waits until its buckets are full and runs the commands.
[[nodiscard]] budget_fleet run_fleet(std::uint64_t seed, const std::vector<fleet_command>& commands,
                                     budget_test_faults faults = {});

/// @return commands that follow from the seed alone.
[[nodiscard]] std::vector<fleet_command> commands_of(std::uint64_t seed, std::size_t count);

}  // namespace bulrushlift

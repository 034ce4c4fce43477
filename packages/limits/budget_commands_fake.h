#pragma once

#include <cstdint>
#include <vector>

#include "limits/budget_fleet_fake.h"

/// @file
/// Runs random commands on a simulated fleet of budget controllers.

namespace bulrushlift {

/// A command encoded in the bits of a number; every number is a valid command.
using fleet_command = std::uint64_t;

/// @return a document with two customers; the burst of one of them is less than one token
///   for each home VM.
[[nodiscard]] budget_document two_customer_document();

/// Admits requests, lets time pass or injects a fault, as the command says.
void run_command(budget_fleet& fleet, fleet_command command);

/// Starts a fleet of 3 to 7 VMs, waits until its buckets are full and runs the commands until
/// the first violation.
/// @return the fleet after the last command.
[[nodiscard]] budget_fleet run_fleet(std::uint64_t seed, const std::vector<fleet_command>& commands,
                                     budget_test_faults faults = {}, budget_options options = {});

/// @return `count` random commands, determined by the seed.
[[nodiscard]] std::vector<fleet_command> commands_of(std::uint64_t seed, std::size_t count);

}  // namespace bulrushlift

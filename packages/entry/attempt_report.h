#pragma once

#include "base/clock.h"
#include "entry/batch_plan.h"
#include "entry/connection_pool.h"
#include "entry/entry_context.h"
#include "entry/work_item.h"

/// @file
/// Tells `sql::target_health` how attempts ended, and writes what it decides into log and metrics.

namespace bulrushlift::entry {

/// Reports that an attempt starts.
void report_start(entry_context& context, const work_item& item, const pooled_connection& connection);
/// Reports an attempt that the target answered, at least in part.
/// @param latency from the first byte sent to the last answer.
/// @param pool tells how many connections this VM is opening to the target.
void report_attempt(entry_context& context, const connection_pool& pool, const work_item& item,
                    const pooled_connection& connection, const attempt_result& result, duration latency);

/// Logs and counts the changes since the last call, for all services.
void report_target_health(entry_context& context);

}  // namespace bulrushlift::entry

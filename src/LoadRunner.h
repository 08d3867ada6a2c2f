// Sends a scenario's requests at their intended times, whatever became of the
// earlier ones, and counts what came back.
#pragma once

#include "LoadStats.h"

#include <iosfwd>

struct event_base;

namespace sycamore {

/// Runs the loop until every request has its outcome. History, when not null,
/// receives one JSON line for each request.
Result<LoadResult> runLoad(event_base *Base, const LoadScenario &Scenario,
                           std::ostream *History = nullptr);

} // namespace sycamore

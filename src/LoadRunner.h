// Sends a scenario's requests at their intended times, independent of the
// outcomes of earlier ones, and records outcomes and latencies.
#pragma once

#include "LoadStats.h"

#include <iosfwd>

struct event_base;

namespace sycamore {

/// Runs the loop until every request has an outcome. History, when not null,
/// receives one JSON line for each request. Errors: InvalidArgument when the
/// scenario has no addresses, and those of HttpClient::create().
Result<LoadResult> runLoad(event_base *Base, const LoadScenario &Scenario,
                           std::ostream *History = nullptr);

} // namespace sycamore

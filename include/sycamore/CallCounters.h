// Counters of the call modules by name, for the metrics endpoint.
#pragma once

#include "sycamore/EntryCalls.h"
#include "sycamore/KeyBuckets.h"
#include "sycamore/TargetCalls.h"

namespace sycamore {

struct CounterValue {
  const char *Name_; ///< Snake case, unique within its module.
  std::uint64_t Value_ = 0;
};

std::vector<CounterValue> counterValues(const EntryCallsCounters &Counters);
std::vector<CounterValue> counterValues(const TargetCallsCounters &Counters);
std::vector<CounterValue> counterValues(const KeyedCallsCounters &Counters);

} // namespace sycamore

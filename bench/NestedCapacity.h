// Capacity of two services that call each other.
#pragma once

#include "DecisionRun.h"

namespace sycamore::bench {

/// Customer requests per second to the second and third service of a site that
/// exactly saturate their slots.
struct NestedCapacity {
  double FirstRate_ = 0;
  double SecondRate_ = 0;
};

/// The rates with the largest sum when calls nest to depth MaxDepth and wait
/// only for their nested calls, never for a slot.
NestedCapacity nestedCapacity(const Site &TestSite, std::uint32_t MaxDepth);

/// Customer requests to both services at these rates.
std::vector<Workload> nestedWorkloads(const NestedCapacity &Capacity,
                                      std::uint32_t MaxDepth);

} // namespace sycamore::bench

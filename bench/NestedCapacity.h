// Capacity of two services whose calls nest in each other.
#pragma once

#include "DecisionRun.h"

namespace sycamore::bench {

/// Rates per second of customer requests to the second and third service of a
/// site at which their slots are just busy.
struct NestedCapacity {
  double FirstRate_ = 0;
  double SecondRate_ = 0;
};

/// Largest sum of both rates when calls nest down to depth Deepest and wait
/// for nothing but the nested calls.
NestedCapacity nestedCapacity(const Site &Where, std::uint32_t Deepest);

/// Customer requests to both services at these rates.
std::vector<Workload> nestedWorkloads(const NestedCapacity &Capacity,
                                      std::uint32_t Deepest);

} // namespace sycamore::bench

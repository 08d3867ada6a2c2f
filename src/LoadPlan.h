// When each request of a scenario is due, whatever the answers before it.
#pragma once

#include "LoadScenario.h"
#include "sycamore/Random.h"

namespace sycamore {

struct LoadArrival {
  Duration At_{0}; ///< From the start of the run.
  std::size_t Phase_ = 0;
  std::size_t Request_ = 0;
};

/// Yields arrivals in order. The scenario must outlive it.
class LoadPlan {
public:
  explicit LoadPlan(const LoadScenario &Scenario);

  /// Nothing after the last one.
  std::optional<LoadArrival> next();

private:
  std::size_t pickRequest();

  const LoadScenario &Scenario_;
  Random Rng_;
  std::size_t Phase_ = 0;
  Duration PhaseStart_{0};
  /// Expected arrivals in the phase up to the latest one.
  double Position_ = 0;
  std::uint64_t Count_ = 0;
};

/// Version 7 UUID (RFC 9562) with the time in milliseconds.
std::string uuidV7(WallTime Now, Random &Rng);

} // namespace sycamore

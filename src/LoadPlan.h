// Open-loop schedule: the intended send time of each request of a scenario,
// independent of earlier responses.
#pragma once

#include "LoadScenario.h"
#include "sycamore/Random.h"

namespace sycamore {

struct LoadArrival {
  Duration At_{0}; ///< From the start of the run.
  std::size_t Phase_ = 0;
  std::size_t Request_ = 0;
};

/// Generates arrivals in order of time. The scenario must outlive the plan.
class LoadPlan {
public:
  explicit LoadPlan(const LoadScenario &Scenario);

  /// No value after the last arrival.
  std::optional<LoadArrival> next();

private:
  std::size_t pickRequest();

  const LoadScenario &Scenario_;
  Random Rng_;
  std::size_t Phase_ = 0;
  Duration PhaseStart_{0};
  /// Expected number of arrivals in the phase up to the time of the latest one.
  double ExpectedArrivals_ = 0;
  std::uint64_t ArrivalCount_ = 0;
};

/// Version 7 UUID (RFC 9562) with the time in milliseconds.
std::string uuidV7(WallTime Now, Random &Rng);

} // namespace sycamore

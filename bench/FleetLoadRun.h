// Simulation of a large fleet: many entry daemons, targets of uneven speed and
// requests of uneven work. The decision code of the product (EntryCalls,
// Placement, Admission, RouteCost) runs over a simulated clock.
#pragma once

#include "sycamore/Admission.h"
#include "sycamore/EntryCalls.h"
#include "sycamore/Placement.h"
#include "sycamore/WaitLimits.h"

#include <string>
#include <vector>

namespace sycamore::bench {

/// How a target is chosen.
enum class FleetChoice {
  Requests, ///< By requests per slot, as reported in answers.
  Work,     ///< By remaining work, as reported in answers.
  Limited,  ///< The same, with a limit of the wait for the first attempts.
  /// Knows the state of every target and the work of every request exactly.
  Oracle,
};

struct FleetRoute {
  std::string Name_;
  std::size_t Service_ = 0;
  double Rate_ = 0; ///< Requests per second at load 1.
  Duration Work_{0};
  Duration LatencyTarget_{0};
  Duration Deadline_{0};
  std::uint32_t Priority_ = 0;
  bool Idempotent_ = true;
  /// Share of requests that make a nested call to the other service half-way.
  double NestedShare_ = 0;
};

struct FleetLoadConfig {
  FleetChoice Choice_ = FleetChoice::Requests;
  PlacementOptions Placement_;
  WaitLimitOptions WaitLimits_;
  EntryCallLimits Limits_;
  AdmissionOptions Admission_;
  std::uint64_t Seed_ = 1;
  std::size_t Entries_ = 75;
  std::vector<std::size_t> Targets_ = {36, 46}; ///< By service.
  std::uint32_t Slots_ = 9;
  std::vector<FleetRoute> Routes_;
  Duration NestedWork_ = milliseconds(55);
  Duration NestedDeadline_ = milliseconds(600);
  double Load_ = 0.6;         ///< Share of the capacity of both services.
  double Fluctuation_ = 0.15; ///< Of the demand, over FluctuationPeriod_.
  Duration FluctuationPeriod_ = seconds(7);
  Duration NearDelay_ = microseconds(100); ///< One way.
  Duration FarDelay_ = microseconds(1400);
  Duration WarmUp_ = seconds(15);
  Duration CoolDown_ = seconds(10); ///< At least the longest deadline.
  Duration Length_ = seconds(55);   ///< With warm-up and cool-down.
};

/// Customer requests of one route between warm-up and cool-down.
struct FleetRouteResult {
  std::string Name_;
  std::uint64_t Sent_ = 0;
  std::uint64_t InTime_ = 0; ///< Answered within the latency target.
  std::uint64_t Answered_ = 0;
  std::uint64_t Refused_ = 0;
  double WaitMs_ = 0; ///< Sum over answered requests of the time before a slot.
};

struct FleetLoadResult {
  std::vector<FleetRouteResult> Routes_;
  std::uint64_t Calls_ = 0; ///< With nested calls.
  std::uint64_t Attempts_ = 0;
  std::uint64_t WaitLimited_ = 0;
  std::uint64_t NestedFailed_ = 0;
};

/// Routes of the first deployment in docs/tenants-load-and-rollouts.md, with
/// rates that use the whole capacity of both services.
FleetLoadConfig largeFleet(FleetChoice Choice, double Load);

FleetLoadResult run(const FleetLoadConfig &Config);

/// Shares over all routes.
double inTimeShare(const FleetLoadResult &Result);
double answeredShare(const FleetLoadResult &Result);
double meanWaitMs(const FleetLoadResult &Result);

} // namespace sycamore::bench

// Retry budget, hedging and backoff.
#pragma once

#include "sycamore/Random.h"
#include "sycamore/Time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamore {

struct RetryBudgetOptions {
  double Share_ = 0.1;          ///< Retries per success in the window.
  std::uint64_t Constant_ = 10; ///< Retries in the window without successes.
  /// The same for all daemons together. Each daemon uses an equal part of it,
  /// at least 1, instead of Constant_. 0 for no fleet-wide bound.
  double FleetConstant_ = 0;
};

struct RetryBudgetCounters {
  std::uint64_t Successes_ = 0;
  std::uint64_t Granted_ = 0;
  std::uint64_t Denied_ = 0;
};

/// Counts of one second.
struct RetryWindowSlot {
  std::int64_t Second_ = -1;
  std::uint64_t Successes_ = 0;
  std::uint64_t Retries_ = 0;
};

/// Retries of the last 10 s stay within Share_ of the successes of that time
/// plus Constant_.
struct RetryBudget {
  RetryBudgetOptions Options_;
  RetryBudgetCounters Counters_;
  std::array<RetryWindowSlot, 10> Window_{};
};

/// Takes one retry from the budget, or returns false.
bool tryAcquireRetry(RetryBudget &Budget, TimePoint Now);

/// Records a call that its target answered.
void recordSuccess(RetryBudget &Budget, TimePoint Now);

/// A budget for each service, so that successes of other services do not pay
/// for retries at one that fails.
struct RetryBudgets {
  RetryBudgetOptions Options_;
  RetryBudgetCounters Counters_; ///< Over all services.
  std::unordered_map<std::string, RetryBudget> Services_;
};

/// Takes one retry from the budget of a service, or returns false. Daemons is
/// the number of daemons in the fleet; see FleetConstant_.
bool tryAcquireRetry(RetryBudgets &Budgets, const std::string &Service,
                     std::size_t Daemons, TimePoint Now);
void recordSuccess(RetryBudgets &Budgets, const std::string &Service,
                   TimePoint Now);

struct BackoffOptions {
  Duration Base_ = milliseconds(10);
  Duration Limit_ = seconds(1);
};

/// Delay before retry number Attempt (from 0): uniform in the upper half of
/// [0, min(Limit_, Base_ * 2^Attempt)], and at least RetryAfter.
Duration backoffDelay(const BackoffOptions &Options, std::uint32_t Attempt,
                      Duration RetryAfter, Random &Rng);

struct HedgeOptions {
  /// Largest ratio of hedges to calls, and of the time of hedges to the time of
  /// calls. Both bounds are needed: the slowest 5% of calls include those whose
  /// requests are long themselves, and hedging the 2% of requests that ran 50
  /// times longer doubled half of the work.
  double Share_ = 0.05;
  double MaxCredit_ = 20; ///< Largest credit, in hedges.
  double Percentile_ = 0.95;
  /// Time-out of a hedge as a share of its delay. With 1, long requests used up
  /// the time budget of hedges (p99 of short requests up to 1.72 times that
  /// without long ones); with 0.5, the tail latency with a slow target that
  /// changes over time rose from 1.15 to 1.47 times.
  double TimeoutShare_ = 0.66;
  std::uint64_t MinSamples_ = 50;       ///< Samples needed before hedging.
  Duration MinDelay_ = milliseconds(1); ///< Lower bound of the delay.
  std::uint64_t SamplesPerHalving_ =
      500; ///< Samples after which older ones count half.
  std::size_t MaxRoutes_ = 1024;
};

/// Histogram buckets: eight for each doubling of the latency, from 16 us to
/// about 17 min.
inline constexpr std::size_t LatencyBuckets = 208;

struct RouteLatency {
  std::array<float, LatencyBuckets> Buckets_{};
  double Total_ = 0;               ///< Sum of Buckets_.
  std::uint64_t SinceHalving_ = 0; ///< Samples since the last halving.
  std::uint64_t LastUse_ = 0;      ///< HedgePolicy::Clock_ at the last sample.
};

struct HedgeCounters {
  std::uint64_t Calls_ = 0;
  std::uint64_t Granted_ = 0;
  std::uint64_t Denied_ = 0;
  std::uint64_t RoutesEvicted_ = 0; ///< Evicted by MaxRoutes_.
};

struct HedgePolicy {
  HedgeOptions Options_;
  HedgeCounters Counters_;
  double HedgeCredit_ = 0;  ///< Number of hedges that may be sent now.
  double TimeCreditUs_ = 0; ///< Time left for hedges; may be negative.
  std::uint64_t Clock_ = 0;
  std::unordered_map<std::string, RouteLatency> Routes_;
};

/// Time after dispatch at which a call on this route may be hedged: its latency
/// at Percentile_ (95th). Nothing before MinSamples_ samples. The caller checks
/// that the route is idempotent and its service allows hedging.
std::optional<Duration> hedgeDelay(const HedgePolicy &Policy,
                                   const std::string &Route);

/// Takes one hedge from the budget, or returns false.
bool tryAcquireHedge(HedgePolicy &Policy);

/// Time after which a hedge without an answer is to be cancelled: by then it is
/// the request that is slow, not its first target. Delay is the time after
/// which the hedge was sent.
Duration hedgeTimeout(const HedgePolicy &Policy, Duration Delay);

/// Subtracts the time of a hedge that was answered or cancelled from the time
/// left for hedges.
void recordHedgeEnd(HedgePolicy &Policy, Duration Elapsed);

/// Records the latency of one answered call, hedged or not, from its first
/// dispatch to its answer. Adds Share_ of a hedge to the credit, and Share_ of
/// the latency to the time left for hedges.
void recordLatency(HedgePolicy &Policy, const std::string &Route,
                   Duration Latency);

} // namespace sycamore

// Retry budget, hedging and backoff.
#include "sycamore/RetryPolicy.h"

#include <algorithm>
#include <cmath>

namespace sycamore {
namespace {

std::int64_t secondOf(TimePoint Now) {
  return std::chrono::floor<seconds>(Now.time_since_epoch()).count();
}

RetryWindowSlot &slotOf(RetryBudget &Budget, std::int64_t Second) {
  auto Size = static_cast<std::int64_t>(Budget.Window_.size());
  auto Index = static_cast<std::size_t>(((Second % Size) + Size) % Size);
  RetryWindowSlot &Slot = Budget.Window_[Index];
  if (Slot.Second_ != Second)
    Slot = RetryWindowSlot{Second, 0, 0};
  return Slot;
}

} // namespace

bool tryAcquireRetry(RetryBudget &Budget, TimePoint Now) {
  std::int64_t Second = secondOf(Now);
  RetryWindowSlot &Current = slotOf(Budget, Second);
  std::uint64_t Successes = 0;
  std::uint64_t Retries = 0;
  for (const RetryWindowSlot &Slot : Budget.Window_) {
    if (Second - Slot.Second_ >=
        static_cast<std::int64_t>(Budget.Window_.size()))
      continue;
    Successes += Slot.Successes_;
    Retries += Slot.Retries_;
  }
  double Allowed = Budget.Options_.Share_ * static_cast<double>(Successes) +
                   static_cast<double>(Budget.Options_.Constant_);
  if (static_cast<double>(Retries) + 1 > Allowed) {
    ++Budget.Counters_.Denied_;
    return false;
  }
  ++Current.Retries_;
  ++Budget.Counters_.Granted_;
  return true;
}

void recordSuccess(RetryBudget &Budget, TimePoint Now) {
  ++slotOf(Budget, secondOf(Now)).Successes_;
  ++Budget.Counters_.Successes_;
}

bool tryAcquireRetry(RetryBudgets &Budgets, const std::string &Service,
                     std::size_t Daemons, TimePoint Now) {
  RetryBudget &Budget = Budgets.Services_[Service];
  Budget.Options_ = Budgets.Options_;
  if (Budgets.Options_.FleetConstant_ > 0)
    Budget.Options_.Constant_ = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(
               Budgets.Options_.FleetConstant_ /
               static_cast<double>(std::max<std::size_t>(Daemons, 1))));
  bool Granted = tryAcquireRetry(Budget, Now);
  ++(Granted ? Budgets.Counters_.Granted_ : Budgets.Counters_.Denied_);
  return Granted;
}

void recordSuccess(RetryBudgets &Budgets, const std::string &Service,
                   TimePoint Now) {
  recordSuccess(Budgets.Services_[Service], Now);
  ++Budgets.Counters_.Successes_;
}

Duration backoffDelay(const BackoffOptions &Options, std::uint32_t Attempt,
                      Duration RetryAfter, Random &Rng) {
  // 2^20 times the base exceeds any practical limit and cannot overflow.
  Duration Ceiling =
      std::min(Options.Limit_,
               Options.Base_ * (1U << std::min<std::uint32_t>(Attempt, 20)));
  double Share = 0.5 + 0.5 * randomUnit(Rng);
  auto Span =
      Duration(std::llround(static_cast<double>(Ceiling.count()) * Share));
  return std::max(Span, RetryAfter);
}

namespace {

constexpr double FirstBoundUs = 16;
constexpr double BucketsPerDoubling = 8;

std::size_t bucketOf(Duration Latency) {
  double Ratio =
      std::max(static_cast<double>(Latency.count()), 1.0) / FirstBoundUs;
  double Index = std::ceil(std::log2(Ratio) * BucketsPerDoubling);
  return static_cast<std::size_t>(
      std::clamp(Index, 0.0, static_cast<double>(LatencyBuckets - 1)));
}

/// Upper bound of a bucket.
Duration upperBoundOf(std::size_t Bucket) {
  return Duration(
      std::llround(FirstBoundUs * std::exp2(static_cast<double>(Bucket) /
                                            BucketsPerDoubling)));
}

RouteLatency &latenciesOf(HedgePolicy &Policy, const std::string &Route) {
  auto Found = Policy.Routes_.find(Route);
  if (Found != Policy.Routes_.end())
    return Found->second;
  if (Policy.Routes_.size() >= Policy.Options_.MaxRoutes_) {
    auto Oldest =
        std::min_element(Policy.Routes_.begin(), Policy.Routes_.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.LastUse_ < Right.second.LastUse_;
                         });
    Policy.Routes_.erase(Oldest);
    ++Policy.Counters_.RoutesEvicted_;
  }
  return Policy.Routes_[Route];
}

void halve(RouteLatency &Latencies) {
  Latencies.Total_ = 0;
  for (float &Bucket : Latencies.Buckets_) {
    Bucket /= 2;
    Latencies.Total_ += Bucket;
  }
  Latencies.SinceHalving_ = 0;
}

} // namespace

std::optional<Duration> hedgeDelay(const HedgePolicy &Policy,
                                   const std::string &Route) {
  auto Found = Policy.Routes_.find(Route);
  if (Found == Policy.Routes_.end())
    return std::nullopt;
  const RouteLatency &Latencies = Found->second;
  if (Latencies.Total_ < static_cast<double>(Policy.Options_.MinSamples_))
    return std::nullopt;
  double Threshold = Latencies.Total_ * Policy.Options_.Percentile_;
  double Sum = 0;
  std::size_t Bucket = 0;
  while (Bucket + 1 < LatencyBuckets) {
    Sum += Latencies.Buckets_[Bucket];
    if (Sum >= Threshold)
      break;
    ++Bucket;
  }
  return std::max(upperBoundOf(Bucket), Policy.Options_.MinDelay_);
}

bool tryAcquireHedge(HedgePolicy &Policy) {
  if (Policy.HedgeCredit_ < 1 || Policy.TimeCreditUs_ <= 0) {
    ++Policy.Counters_.Denied_;
    return false;
  }
  Policy.HedgeCredit_ -= 1;
  ++Policy.Counters_.Granted_;
  return true;
}

Duration hedgeTimeout(const HedgePolicy &Policy, Duration Delay) {
  return Duration(std::llround(static_cast<double>(Delay.count()) *
                               Policy.Options_.TimeoutShare_));
}

void recordHedgeEnd(HedgePolicy &Policy, Duration Elapsed) {
  Policy.TimeCreditUs_ -= static_cast<double>(Elapsed.count());
}

void recordLatency(HedgePolicy &Policy, const std::string &Route,
                   Duration Latency) {
  RouteLatency &Latencies = latenciesOf(Policy, Route);
  Latencies.Buckets_[bucketOf(Latency)] += 1;
  Latencies.Total_ += 1;
  Latencies.LastUse_ = ++Policy.Clock_;
  if (++Latencies.SinceHalving_ >= Policy.Options_.SamplesPerHalving_)
    halve(Latencies);
  ++Policy.Counters_.Calls_;
  Policy.HedgeCredit_ = std::min(Policy.HedgeCredit_ + Policy.Options_.Share_,
                                 Policy.Options_.MaxCredit_);
  auto LatencyUs = static_cast<double>(Latency.count());
  Policy.TimeCreditUs_ =
      std::min(Policy.TimeCreditUs_ + LatencyUs * Policy.Options_.Share_,
               LatencyUs * Policy.Options_.MaxCredit_);
}

} // namespace sycamore

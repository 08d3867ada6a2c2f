// Counters of answers by version and route at one entry daemon.
#include "sycamore/Rollout.h"

#include <algorithm>

namespace sycamore {
namespace {

/// An answer that takes longer than this multiple of the old version's median
/// on the same route is slow.
constexpr double SlowFactor = 3;

/// A hedge's winner ends the slower attempt before that is overdue.
constexpr double CancelledSlowFactor = 1.5;

/// Answers of the old version on a route before its median is used.
constexpr std::uint64_t MinMedianAnswers = 12;

/// Largest move of the median's logarithm for one answer; see RunningQuantile.
constexpr double MedianStep = 0.15;

constexpr Duration ReportInterval = milliseconds(250);
/// Least time between reports, also when the new version fails.
constexpr Duration MinReportInterval = milliseconds(50);

/// Time beyond which an answer on the route is slow; unset while unknown.
std::optional<Duration> medianOf(const Rollout &Entry,
                                 const std::string &Route) {
  auto Found = Entry.Medians_.find(Route);
  if (Found == Entry.Medians_.end() || Found->second.Count_ < MinMedianAnswers)
    return std::nullopt;
  return Duration(static_cast<std::int64_t>(estimateOf(Found->second)));
}

bool exceeds(Duration Time, const std::optional<Duration> &Median,
             double Factor) {
  return Median && static_cast<double>(Time.count()) >
                       static_cast<double>(Median->count()) * Factor;
}

void addToMedian(Rollout &Entry, const std::string &Route, Duration Time) {
  RunningQuantile &Median = Entry.Medians_[Route];
  Median.Step_ = MedianStep;
  addValue(Median, static_cast<double>(Time.count()));
}

/// Counts an attempt that ended with an answer or was cancelled.
void countTime(Rollout &Entry, const RolloutAttempt &Attempt, bool Cancelled,
               RolloutCounts &Counts, Duration Time) {
  auto Median = medianOf(Entry, Attempt.Route_);
  bool Slow =
      exceeds(Time, Median, Cancelled ? CancelledSlowFactor : SlowFactor);
  if (Attempt.WarmingUp_ && (Slow || !Median))
    return;
  ++Counts.Answers_;
  Counts.Slow_ += Slow ? 1 : 0;
  Counts.Times_ += Time;
  if (Slow && Attempt.New_)
    Entry.ReportSoon_ = true;
}

void setCounts(wire::RolloutCounts &Out, const std::string &Route,
               const RolloutCounts &Counts) {
  Out.set_route(Route);
  Out.set_requests(Counts.Answers_);
  Out.set_failures(Counts.Failures_);
  Out.set_slow(Counts.Slow_);
  Out.set_time_sum_us(static_cast<std::uint64_t>(Counts.Times_.count()));
}

} // namespace

void recordRolloutEnd(RolloutTable &Table, std::uint64_t Ordinal,
                      RolloutOutcome Outcome, TimePoint Time) {
  if (Table.Attempts_.empty())
    return;
  auto Found = Table.Attempts_.find(Ordinal);
  if (Found == Table.Attempts_.end())
    return;
  RolloutAttempt Attempt = std::move(Found->second);
  Table.Attempts_.erase(Found);
  auto Service = Table.Rollouts_.find(Attempt.Service_);
  if (Service == Table.Rollouts_.end() ||
      Service->second.State_.order_revision() != Attempt.OrderRevision_)
    return;
  Rollout &Entry = Service->second;
  RolloutTally &Tally = Attempt.New_ ? Entry.New_ : Entry.Old_;
  if (Tally.InFlight_ > 0)
    --Tally.InFlight_;
  RolloutCounts &Counts = Tally.Routes_[Attempt.Route_];
  Duration Taken = Time - Attempt.SentAt_;
  if (Outcome == RolloutOutcome::NotRun) {
    if (Tally.Sent_ > 0)
      --Tally.Sent_;
    return;
  }
  if (Outcome == RolloutOutcome::Answered && !Attempt.New_)
    addToMedian(Entry, Attempt.Route_, Taken);
  if (Outcome == RolloutOutcome::Failed) {
    Counts.Answers_ += Attempt.CountedSlow_ ? 0 : 1;
    ++Counts.Failures_;
    Entry.ReportSoon_ |= Attempt.New_;
  } else if (Outcome != RolloutOutcome::Unjudged && !Attempt.CountedSlow_) {
    countTime(Entry, Attempt, Outcome == RolloutOutcome::Cancelled, Counts,
              Taken);
  }
}

void countOverdue(RolloutTable &Table, TimePoint Time) {
  for (auto &[Ordinal, Attempt] : Table.Attempts_) {
    auto Service = Table.Rollouts_.find(Attempt.Service_);
    if (Attempt.CountedSlow_ || Attempt.WarmingUp_ ||
        Service == Table.Rollouts_.end() ||
        Service->second.State_.order_revision() != Attempt.OrderRevision_)
      continue;
    Rollout &Entry = Service->second;
    Duration Age = Time - Attempt.SentAt_;
    if (!exceeds(Age, medianOf(Entry, Attempt.Route_), SlowFactor))
      continue;
    Attempt.CountedSlow_ = true;
    RolloutTally &Tally = Attempt.New_ ? Entry.New_ : Entry.Old_;
    RolloutCounts &Counts = Tally.Routes_[Attempt.Route_];
    ++Counts.Answers_;
    ++Counts.Slow_;
    Counts.Times_ += Age;
    Entry.ReportSoon_ |= Attempt.New_;
  }
}

bool isReportDue(const Rollout &Entry, TimePoint Time) {
  Duration Since = Time - Entry.ReportedAt_;
  return Since >= ReportInterval ||
         (Entry.ReportSoon_ && Since >= MinReportInterval);
}

wire::RolloutReport makeRolloutReport(Rollout &Entry, TimePoint Time) {
  Entry.ReportedAt_ = Time;
  Entry.ReportSoon_ = false;
  wire::RolloutReport Out;
  Out.set_service(Entry.State_.service());
  Out.set_order_revision(Entry.State_.order_revision());
  Out.set_step(Entry.State_.step());
  Out.set_new_in_flight(Entry.New_.InFlight_);
  Out.set_old_in_flight(Entry.Old_.InFlight_);
  Out.add_new_version()->set_requests(Entry.New_.Sent_);
  Out.add_old_version()->set_requests(Entry.Old_.Sent_);
  for (const auto &[Route, Counts] : Entry.New_.Routes_)
    setCounts(*Out.add_new_version(), Route, Counts);
  for (const auto &[Route, Counts] : Entry.Old_.Routes_)
    setCounts(*Out.add_old_version(), Route, Counts);
  return Out;
}

} // namespace sycamore

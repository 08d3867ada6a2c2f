// Limits of the wait in a target's queue for the first attempts of a call.
#include "sycamore/WaitLimits.h"

#include <algorithm>
#include <cmath>

namespace sycamore {
namespace {

WaitLimitStats &statsOf(WaitLimits &Table, const std::string &Service) {
  auto Found = Table.Services_.find(Service);
  if (Found != Table.Services_.end())
    return Found->second;
  // Services come from the configuration; old names are of no use.
  if (Table.Services_.size() >= Table.Options_.MaxServices_)
    Table.Services_.clear();
  return Table.Services_[Service];
}

Duration shareOf(Duration Span, double Share) {
  return Duration(std::llround(static_cast<double>(Span.count()) * Share));
}

} // namespace

std::optional<Duration> waitLimit(WaitLimits &Table, const std::string &Service,
                                  std::uint32_t Earlier, Duration Cost,
                                  std::optional<Duration> Slack) {
  const WaitLimitOptions &Options = Table.Options_;
  if (Earlier >= Options.MaxAttempts_)
    return std::nullopt;
  WaitLimitStats &Stats = statsOf(Table, Service);
  if (Stats.RefusedShare_ > Options.BusyShare_) {
    // A test call makes one attempt with a limit.
    if (Earlier > 0)
      return std::nullopt;
    if (++Stats.Skipped_ < Options.TestInterval_) {
      ++Table.Counters_.SkippedBusy_;
      return std::nullopt;
    }
    Stats.Skipped_ = 0;
  }
  Duration Out = shareOf(Cost, Options.CostShare_);
  if (Slack)
    Out = std::min(Out, shareOf(*Slack - Cost, Options.SlackShare_));
  return std::max(Out, Options.Least_);
}

void recordWaitLimited(WaitLimits &Table, const std::string &Service,
                       bool Refused) {
  ++(Refused ? Table.Counters_.Refused_ : Table.Counters_.Accepted_);
  WaitLimitStats &Stats = statsOf(Table, Service);
  Stats.RefusedShare_ +=
      ((Refused ? 1.0 : 0.0) - Stats.RefusedShare_) * Table.Options_.Gain_;
}

} // namespace sycamore

// Estimates of a target's remaining work at an entry daemon.
#include "WorkPlacement.h"

#include <algorithm>
#include <cmath>

namespace sycamore {
namespace {

double toMicroseconds(Duration Span) {
  return static_cast<double>(Span.count());
}

/// Work that a request of Rank would wait for or share the slots with.
double workBefore(const TargetStats &Stats, std::size_t Rank) {
  double Out = Stats.WorkUs_;
  for (std::size_t I = Rank + 1; I < WorkRanks; ++I)
    Out -= Stats.QueuedUs_[I];
  return std::max(Out, 0.0);
}

/// Weight of the last report or dispatch compared with the mean.
double knowledgeWeight(const PlacementOptions &Options,
                       const TargetStats &Stats, TimePoint Now) {
  if (Stats.WorkAt_ == TimePoint{})
    return 0;
  double Age = std::max(0.0, toMicroseconds(Now - Stats.WorkAt_));
  return std::exp2(-Age / toMicroseconds(Options.WorkHalfLife_));
}

} // namespace

bool isPlacedByWork(const PlacementOptions &Options, std::size_t Candidates) {
  return Options.WorkTargets_ > 0 && Candidates >= Options.WorkTargets_;
}

double updateMeanWork(std::span<TargetStats *const> Targets, std::size_t Rank) {
  double Sum = 0;
  double SumBefore = 0;
  double Known = 0;
  for (const TargetStats *Each : Targets) {
    if (Each->WorkReportedAt_ == TimePoint{})
      continue;
    Sum += Each->WorkUs_;
    SumBefore += workBefore(*Each, Rank);
    Known += 1;
  }
  for (TargetStats *Each : Targets)
    Each->MeanWorkUs_ = Known > 0 ? Sum / Known : 0;
  return Known > 0 ? SumBefore / Known : 0;
}

double completionTime(const PlacementOptions &Options, const Candidate &Target,
                      const TargetStats &Stats, double MeanWorkUs, bool Far,
                      const RequestCost &Request, TimePoint Now) {
  double Slots = std::max<std::uint32_t>(Target.Slots_, 1);
  double Transit =
      Far ? toMicroseconds(Options.FarTransit_) +
                toMicroseconds(Request.Expected_) * Options.FarCostShare_
          : 0;
  double Work = MeanWorkUs + (workBefore(Stats, Request.Rank_) - MeanWorkUs) *
                                 knowledgeWeight(Options, Stats, Now);
  return Work / Slots + toMicroseconds(Request.Expected_) * Stats.CostRatio_ +
         Transit;
}

double costWithSlack(const PlacementOptions &Options, const TargetStats &Stats,
                     double CompletionUs, Duration Slack) {
  double SoonEnough = toMicroseconds(Slack) * Options.SlackShare_;
  if (CompletionUs >= SoonEnough)
    return CompletionUs;
  return SoonEnough * Options.MinCostRatio_ /
         std::max(Stats.CostRatio_, Options.MinCostRatio_);
}

bool hasFreshReport(const PlacementOptions &Options, const TargetStats &Stats,
                    TimePoint Now) {
  return Stats.WorkReportedAt_ != TimePoint{} &&
         Now - Stats.WorkReportedAt_ <= Options.FreshReport_;
}

void addOwnWork(const PlacementOptions &Options, TargetStats &Stats,
                Duration Cost, TimePoint Now) {
  double CostUs = toMicroseconds(Cost) * Stats.CostRatio_;
  Stats.LongestCostUs_ =
      Stats.InFlight_ <= 1 ? CostUs : std::max(Stats.LongestCostUs_, CostUs);
  double Weight = knowledgeWeight(Options, Stats, Now);
  Stats.WorkUs_ =
      Stats.MeanWorkUs_ + (Stats.WorkUs_ - Stats.MeanWorkUs_) * Weight + CostUs;
  for (double &Each : Stats.QueuedUs_)
    Each *= Weight;
  Stats.WorkAt_ = Now;
}

void recordWork(const PlacementOptions &Options, TargetStats &Stats,
                const TargetLoad &Load, TimePoint Now) {
  if (Load.CostRatio_ > 0) {
    double Ratio = std::clamp(Load.CostRatio_, Options.MinCostRatio_,
                              Options.MaxCostRatio_);
    Stats.CostRatio_ += (Ratio - Stats.CostRatio_) * Options.CostRatioGain_;
  }
  if (!Load.RemainingWork_)
    return;
  double Limit = toMicroseconds(Options.WorkLimit_) *
                 std::max<std::uint32_t>(Load.Slots_, 1);
  Stats.WorkUs_ = std::clamp(toMicroseconds(*Load.RemainingWork_), 0.0, Limit);
  for (std::size_t I = 0; I < WorkRanks; ++I)
    Stats.QueuedUs_[I] =
        std::clamp(toMicroseconds(Load.QueuedWork_[I]), 0.0, Stats.WorkUs_);
  Stats.WorkAt_ = Now;
  Stats.WorkReportedAt_ = Now;
}

} // namespace sycamore

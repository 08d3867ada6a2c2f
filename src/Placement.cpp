// Chooses the target of a call among the eligible ones.
#include "sycamore/Placement.h"

#include "Rendezvous.h"
#include "WorkPlacement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamore {
namespace {

/// A candidate with its statistics and cost during one choice.
struct ScoredCandidate {
  std::size_t Index_ = 0;
  TargetStats *Stats_ = nullptr;
  double Cost_ = 0;
};

double toMicroseconds(Duration Span) {
  return static_cast<double>(Span.count());
}

/// Load of other daemons, halved every LoadHalfLife_ since the report.
double decayedOthersLoad(const PlacementOptions &Options,
                         const TargetStats &Stats, TimePoint Now) {
  double Age = std::max(0.0, toMicroseconds(Now - Stats.ReportedAt_));
  return Stats.OthersLoad_ *
         std::exp2(-Age / toMicroseconds(Options.LoadHalfLife_));
}

double rampWeight(const PlacementOptions &Options, const TargetStats &Stats,
                  TimePoint Now) {
  double Share = toMicroseconds(Now - Stats.RampStart_) /
                 toMicroseconds(Options.RampTime_);
  return std::clamp(Share, Options.RampFloor_, 1.0);
}

/// Microseconds for which calls have been in flight and none was answered. This
/// reveals a slow target long before its answers arrive.
double stallTime(const TargetStats &Stats, TimePoint Now) {
  return Stats.InFlight_ == 0 ? 0 : toMicroseconds(Now - Stats.WaitingSince_);
}

/// Factor by which the target is slower than the baseline; 1 unless it is
/// stalled or an outlier.
double latencyFactor(const Placement &Table, const TargetStats &Stats,
                     double Baseline, TimePoint Now) {
  if (Baseline <= 0)
    return 1;
  double Stall = stallTime(Stats, Now);
  bool IsStalled =
      Stall > Baseline * Table.Options_.OutlierRatio_ &&
      Stall > Baseline + toMicroseconds(Table.Options_.OutlierMargin_);
  if (IsStalled)
    return std::max(Stall, estimateOf(Stats.Latency_)) / Baseline;
  if (!Stats.Outlier_)
    return 1;
  bool TestDue =
      Stats.InFlight_ == 0 &&
      Now - Stats.LastSampleAt_ >= Table.Options_.OutlierTestInterval_;
  if (TestDue)
    return 1;
  return std::max(Table.Options_.OutlierRatio_,
                  estimateOf(Stats.Latency_) / Baseline);
}

/// Median of the mean service times that the candidates reported, 0 while fewer
/// than two have.
double medianServiceTime(const std::vector<ScoredCandidate> &Scored) {
  std::vector<double> Means;
  Means.reserve(Scored.size());
  for (const ScoredCandidate &Each : Scored)
    if (Each.Stats_->MeanServiceUs_ > 0)
      Means.push_back(Each.Stats_->MeanServiceUs_);
  if (Means.size() < 2)
    return 0;
  auto Middle =
      Means.begin() + static_cast<std::ptrdiff_t>((Means.size() - 1) / 2);
  std::nth_element(Means.begin(), Middle, Means.end());
  return *Middle;
}

/// Ratio of the target's mean service time to the median of the candidates,
/// within the bounds of the options; 1 if unknown.
double serviceTimeRatio(const PlacementOptions &Options,
                        const TargetStats &Stats, double MedianServiceUs) {
  if (MedianServiceUs <= 0 || Stats.MeanServiceUs_ <= 0)
    return 1;
  return std::clamp(Stats.MeanServiceUs_ / MedianServiceUs,
                    Options.MinServiceRatio_, Options.MaxServiceRatio_);
}

/// Reference values for the costs of all candidates, 0 if unknown.
struct Baselines {
  double LatencyUs_ = 0; ///< See updateOutliers().
  double ServiceUs_ = 0; ///< See medianServiceTime().
};

double costOf(const Placement &Table, const Candidate &Target,
              const TargetStats &Stats, Baselines Reference, TimePoint Now) {
  double Slots = std::max<std::uint32_t>(Target.Slots_, 1);
  double Load =
      Stats.InFlight_ + decayedOthersLoad(Table.Options_, Stats, Now) + 1.0;
  double Outlier = latencyFactor(Table, Stats, Reference.LatencyUs_, Now);
  double ServiceRatio =
      serviceTimeRatio(Table.Options_, Stats, Reference.ServiceUs_);
  double Slow = Outlier > 1 ? std::max(Outlier, ServiceRatio) : ServiceRatio;
  return Load / Slots * Slow / rampWeight(Table.Options_, Stats, Now);
}

void evictOldestTarget(Placement &Table) {
  auto Oldest = Table.Targets_.end();
  for (auto It = Table.Targets_.begin(); It != Table.Targets_.end(); ++It)
    if (Oldest == Table.Targets_.end() ||
        It->second.LastSeen_ < Oldest->second.LastSeen_)
      Oldest = It;
  if (Oldest == Table.Targets_.end())
    return;
  Table.Targets_.erase(Oldest);
  ++Table.Counters_.Forgotten_;
}

TargetStats &statsOf(Placement &Table, std::string_view Name, TimePoint Now) {
  auto Found = Table.Targets_.find(Name);
  if (Found != Table.Targets_.end())
    return Found->second;
  if (Table.Targets_.size() >= Table.Options_.MaxTargets_)
    evictOldestTarget(Table);
  TargetStats &Stats = Table.Targets_[std::string(Name)];
  Stats.Latency_.Step_ = Table.Options_.LatencyStep_;
  Stats.RampStart_ = Now;
  Stats.LastSeen_ = Now;
  return Stats;
}

/// Median of the candidates' median latencies, 0 while fewer than two are
/// known.
double baselineLatency(const std::vector<ScoredCandidate> &Scored,
                       std::uint64_t MinSamples) {
  std::vector<double> Medians;
  Medians.reserve(Scored.size());
  for (const ScoredCandidate &Each : Scored)
    if (Each.Stats_->Latency_.Count_ >= MinSamples)
      Medians.push_back(estimateOf(Each.Stats_->Latency_));
  if (Medians.size() < 2)
    return 0;
  // The lower median, so that of two targets the faster one is the baseline.
  auto Middle =
      Medians.begin() + static_cast<std::ptrdiff_t>((Medians.size() - 1) / 2);
  std::nth_element(Medians.begin(), Middle, Medians.end());
  return *Middle;
}

void addEvent(Placement &Table, PlacementEventKind Kind, std::string_view Name,
              Duration Span) {
  // Limits the memory of events that no caller collects.
  constexpr std::size_t MaxEvents = 1024;
  if (Table.Events_.size() < MaxEvents)
    Table.Events_.push_back({Kind, std::string(Name), Span});
}

bool isOutlier(const Placement &Table, const TargetStats &Stats,
               double Baseline) {
  if (Baseline <= 0 ||
      Stats.Latency_.Count_ < Table.Options_.OutlierMinSamples_)
    return false;
  double Median = estimateOf(Stats.Latency_);
  // An outlier recovers only at half the ratio, so that a target at the
  // threshold does not change state with every answer.
  double Ratio = Stats.Outlier_ ? Table.Options_.OutlierRatio_ / 2
                                : Table.Options_.OutlierRatio_;
  return Median > Baseline * Ratio &&
         Median - Baseline > toMicroseconds(Table.Options_.OutlierMargin_) / 2 *
                                 (Stats.Outlier_ ? 1 : 2);
}

/// Updates Outlier_ of all options. Returns the baseline latency in
/// microseconds, or 0 when more than PanicThreshold_ of them are outliers, so
/// that none is treated as one.
double updateOutliers(Placement &Table, std::span<const Candidate> Candidates,
                      const std::vector<ScoredCandidate> &Scored) {
  double Baseline = baselineLatency(Scored, Table.Options_.OutlierMinSamples_);
  std::size_t Outliers = 0;
  for (const ScoredCandidate &Each : Scored) {
    bool Slow = isOutlier(Table, *Each.Stats_, Baseline);
    if (Slow != Each.Stats_->Outlier_) {
      Each.Stats_->Outlier_ = Slow;
      Table.Counters_.OutliersFound_ += Slow ? 1 : 0;
      auto Median = Duration(std::llround(estimateOf(Each.Stats_->Latency_)));
      addEvent(Table,
               Slow ? PlacementEventKind::OutlierFound
                    : PlacementEventKind::OutlierRecovered,
               Candidates[Each.Index_].Name_, Median);
    }
    Outliers += Slow ? 1 : 0;
  }
  double Share = Scored.empty() ? 0
                                : static_cast<double>(Outliers) /
                                      static_cast<double>(Scored.size());
  if (Share <= Table.Options_.PanicThreshold_)
    return Baseline;
  ++Table.Counters_.Panics_;
  return 0;
}

/// Candidates that are not excluded, with their statistics.
std::vector<ScoredCandidate>
collectCandidates(Placement &Table, std::span<const Candidate> Candidates,
                  std::span<const std::string> Excluded, TimePoint Now) {
  // Looked up after all insertions, which may move or evict entries.
  for (const Candidate &Each : Candidates)
    statsOf(Table, Each.Name_, Now).LastSeen_ = Now;
  std::vector<ScoredCandidate> Scored;
  Scored.reserve(Candidates.size());
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    std::string_view Name = Candidates[Index].Name_;
    auto Found = Table.Targets_.find(Name);
    bool Skip =
        std::find(Excluded.begin(), Excluded.end(), Name) != Excluded.end();
    if (!Skip && Found != Table.Targets_.end())
      Scored.push_back({Index, &Found->second, 0});
  }
  return Scored;
}

/// Drops ejected targets unless all are ejected.
void dropEjected(Placement &Table, std::vector<ScoredCandidate> &Scored,
                 TimePoint Now) {
  auto IsEjected = [&](const ScoredCandidate &Each) {
    return Each.Stats_->EjectedUntil_ > Now;
  };
  if (std::all_of(Scored.begin(), Scored.end(), IsEjected)) {
    ++Table.Counters_.EjectionsIgnored_;
    return;
  }
  Scored.erase(std::remove_if(Scored.begin(), Scored.end(), IsEjected),
               Scored.end());
}

/// The cheaper of two random options.
const ScoredCandidate *cheaperOfTwo(std::span<const ScoredCandidate> Scored,
                                    Random &Rng) {
  if (Scored.empty())
    return nullptr;
  std::size_t First = randomIndex(Rng, Scored.size());
  if (Scored.size() == 1)
    return &Scored[First];
  std::size_t Second = randomIndex(Rng, Scored.size() - 1);
  if (Second >= First)
    ++Second;
  return Scored[Second].Cost_ < Scored[First].Cost_ ? &Scored[Second]
                                                    : &Scored[First];
}

/// The cheapest of WorkChoices_ random options, half of them near, and of those
/// with a fresh report.
const ScoredCandidate *cheapestByWork(const PlacementOptions &Options,
                                      std::span<const ScoredCandidate> Near,
                                      std::span<const ScoredCandidate> Far,
                                      TimePoint Now, Random &Rng) {
  const ScoredCandidate *Best = nullptr;
  auto Consider = [&](const ScoredCandidate &Each) {
    if (Best == nullptr || Each.Cost_ < Best->Cost_)
      Best = &Each;
  };
  auto ConsiderSome = [&](std::span<const ScoredCandidate> Some,
                          std::uint32_t Choices) {
    for (std::uint32_t I = 0; I < Choices && !Some.empty(); ++I)
      Consider(Some[randomIndex(Rng, Some.size())]);
    for (const ScoredCandidate &Each : Some)
      if (hasFreshReport(Options, *Each.Stats_, Now))
        Consider(Each);
  };
  std::uint32_t Choices = std::max(Options.WorkChoices_, 1U);
  ConsiderSome(Near, Far.empty() ? Choices : (Choices + 1) / 2);
  ConsiderSome(Far, Near.empty() ? Choices : Choices / 2);
  return Best;
}

/// Sets the costs to expected times until completion.
void scoreByWork(const Placement &Table, std::span<const Candidate> Candidates,
                 std::string_view OwnDataCentre, double BaselineUs,
                 const RequestCost &Request, TimePoint Now,
                 std::vector<ScoredCandidate> &Scored) {
  std::vector<TargetStats *> Stats;
  Stats.reserve(Scored.size());
  for (const ScoredCandidate &Each : Scored)
    Stats.push_back(Each.Stats_);
  double MeanWorkUs = updateMeanWork(Stats, Request.Rank_);
  for (ScoredCandidate &Each : Scored) {
    const Candidate &Target = Candidates[Each.Index_];
    bool Far = Target.DataCentre_ != OwnDataCentre;
    // A long request in flight does not mean that the target is stalled.
    double Reference =
        BaselineUs > 0 ? std::max(BaselineUs, Each.Stats_->LongestCostUs_) : 0;
    Each.Cost_ = completionTime(Table.Options_, Target, *Each.Stats_,
                                MeanWorkUs, Far, Request, Now) *
                 latencyFactor(Table, *Each.Stats_, Reference, Now) /
                 rampWeight(Table.Options_, *Each.Stats_, Now);
    Each.Cost_ =
        costWithSlack(Table.Options_, *Each.Stats_, Each.Cost_, Request.Slack_);
  }
}

/// A near target unless it is loaded and a far one is cheaper.
const ScoredCandidate *chooseByCost(const PlacementOptions &Settings,
                                    std::span<const ScoredCandidate> Near,
                                    std::span<const ScoredCandidate> Far,
                                    Random &Rng) {
  const ScoredCandidate *Best = cheaperOfTwo(Near, Rng);
  if (Best != nullptr && (Best->Cost_ <= Settings.SpillCost_ || Far.empty()))
    return Best;
  const ScoredCandidate *Other = cheaperOfTwo(Far, Rng);
  if (Best == nullptr)
    return Other;
  double Limit =
      Other->Cost_ > 1 ? Best->Cost_ * Settings.SpillRatio_ : Best->Cost_;
  if (Other->Cost_ < Limit)
    return Other;
  return Best;
}

} // namespace

std::optional<std::size_t> chooseTarget(Placement &Table,
                                        std::span<const Candidate> Candidates,
                                        std::string_view OwnDataCentre,
                                        std::span<const std::string> Excluded,
                                        TimePoint Now, Random &Rng,
                                        const RequestCost &Request) {
  std::vector<ScoredCandidate> Scored =
      collectCandidates(Table, Candidates, Excluded, Now);
  if (Scored.empty()) {
    ++Table.Counters_.NoCandidate_;
    return std::nullopt;
  }
  double Baseline = updateOutliers(Table, Candidates, Scored);
  dropEjected(Table, Scored, Now);
  bool ByWork = isPlacedByWork(Table.Options_, Candidates.size());
  Baselines Reference{Baseline, medianServiceTime(Scored)};
  if (ByWork)
    scoreByWork(Table, Candidates, OwnDataCentre, Baseline, Request, Now,
                Scored);
  else
    for (ScoredCandidate &Each : Scored)
      Each.Cost_ =
          costOf(Table, Candidates[Each.Index_], *Each.Stats_, Reference, Now);
  auto FarBegin = std::partition(
      Scored.begin(), Scored.end(), [&](const ScoredCandidate &Each) {
        return Candidates[Each.Index_].DataCentre_ == OwnDataCentre;
      });
  std::span<const ScoredCandidate> Near(Scored.begin(), FarBegin);
  std::span<const ScoredCandidate> Far(FarBegin, Scored.end());
  const ScoredCandidate *Best =
      ByWork ? cheapestByWork(Table.Options_, Near, Far, Now, Rng)
             : chooseByCost(Table.Options_, Near, Far, Rng);
  ++Table.Counters_.Chosen_;
  if (Candidates[Best->Index_].DataCentre_ != OwnDataCentre)
    ++Table.Counters_.ChosenFar_;
  if (Baseline > 0 && Best->Stats_->Outlier_)
    ++Table.Counters_.OutlierTests_;
  return Best->Index_;
}

std::optional<std::size_t>
chooseSuspectTarget(std::uint64_t Fingerprint,
                    std::span<const Candidate> Candidates) {
  std::optional<std::size_t> Best;
  std::uint64_t BestWeight = 0;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    std::uint64_t CandidateWeight =
        rendezvousWeight(Candidates[Index].Name_, Fingerprint);
    if (Best && CandidateWeight <= BestWeight)
      continue;
    Best = Index;
    BestWeight = CandidateWeight;
  }
  return Best;
}

void recordDispatch(Placement &Table, std::string_view Name, TimePoint Now,
                    Duration Cost) {
  TargetStats &Stats = statsOf(Table, Name, Now);
  if (Stats.InFlight_++ == 0)
    Stats.WaitingSince_ = Now;
  addOwnWork(Table.Options_, Stats, Cost, Now);
}

namespace {

void ejectAfterRefusal(Placement &Table, std::string_view Name,
                       TargetStats &Stats, TimePoint Now) {
  // Calls that were in flight together fail together and count as one refusal.
  if (Stats.EjectedUntil_ > Now)
    return;
  std::uint32_t Doublings =
      std::min<std::uint32_t>(Stats.ConsecutiveRefusals_, 16);
  Duration Span = std::min(Table.Options_.EjectionBase_ * (1U << Doublings),
                           Table.Options_.EjectionLimit_);
  ++Stats.ConsecutiveRefusals_;
  Stats.EjectedUntil_ = Now + Span;
  ++Table.Counters_.Ejections_;
  addEvent(Table, PlacementEventKind::Ejected, Name, Span);
}

void readmitTarget(Placement &Table, std::string_view Name, TargetStats &Stats,
                   TimePoint Now) {
  if (Stats.ConsecutiveRefusals_ == 0)
    return;
  Stats.ConsecutiveRefusals_ = 0;
  Stats.EjectedUntil_ = TimePoint{};
  // The target refused connections before, so it is a new process that has yet
  // to warm up.
  Stats.RampStart_ = Now;
  addEvent(Table, PlacementEventKind::Readmitted, Name, Duration{0});
}

void recordLatencySample(const PlacementOptions &Options, TargetStats &Stats,
                         Duration Latency, AttemptOutcome Outcome,
                         TimePoint Now) {
  Stats.LastSampleAt_ = Now;
  // An outlier gets few calls, so one fast answer counts as its recovery. If it
  // has not recovered, the next call stalls and raises its cost again.
  bool Recovered = Stats.Outlier_ && Outcome == AttemptOutcome::Done &&
                   toMicroseconds(Latency) * Options.OutlierRatio_ <
                       estimateOf(Stats.Latency_);
  if (Recovered)
    Stats.Latency_.LogValue_ = std::log(std::max(toMicroseconds(Latency), 1.0));
  else
    addValue(Stats.Latency_, toMicroseconds(Latency));
}

bool isLatencySample(const TargetStats &Stats, Duration Latency,
                     AttemptOutcome Outcome) {
  if (Outcome == AttemptOutcome::Done || Outcome == AttemptOutcome::TimedOut)
    return true;
  // A cancelled call gives only a lower bound of its latency.
  return Outcome == AttemptOutcome::Cancelled &&
         toMicroseconds(Latency) > estimateOf(Stats.Latency_);
}

} // namespace

void recordAttemptEnd(Placement &Table, std::string_view Name,
                      const TargetLoad &Load, Duration Latency,
                      AttemptOutcome Outcome, TimePoint Now) {
  auto Found = Table.Targets_.find(Name);
  if (Found == Table.Targets_.end())
    return;
  TargetStats &Stats = Found->second;
  if (Stats.InFlight_ > 0)
    --Stats.InFlight_;
  Stats.WaitingSince_ = Now;
  if (isLatencySample(Stats, Latency, Outcome)) {
    recordLatencySample(Table.Options_, Stats, Latency, Outcome, Now);
  }
  if (Load.MeanService_ > Duration(0))
    Stats.MeanServiceUs_ = toMicroseconds(Load.MeanService_);
  recordWork(Table.Options_, Stats, Load, Now);
  if (Load.Slots_ > 0) {
    double Reported =
        std::min(static_cast<double>(Load.Running_) + Load.Queued_,
                 Load.Slots_ * Table.Options_.LoadLimit_);
    double Others = std::max(0.0, Reported - Stats.InFlight_);
    double Previous = decayedOthersLoad(Table.Options_, Stats, Now);
    double Elapsed = std::max(0.0, toMicroseconds(Now - Stats.ReportedAt_));
    double Weight =
        1 - std::exp2(-Elapsed / toMicroseconds(Table.Options_.LoadSmoothing_));
    Stats.OthersLoad_ = Previous + (Others - Previous) * Weight;
    Stats.ReportedAt_ = Now;
  }
  if (Outcome == AttemptOutcome::ConnectionRefused ||
      Outcome == AttemptOutcome::Lost)
    ejectAfterRefusal(Table, Name, Stats, Now);
  else if (Outcome == AttemptOutcome::Done)
    readmitTarget(Table, Name, Stats, Now);
}

void ejectTarget(Placement &Table, std::string_view Name, TimePoint Now) {
  // Unlike a refused connection, a silent link does not indicate a new process,
  // so there is no ramp. The ejection does not grow either: a daemon that is
  // only overloaded must get its share of calls again soon, because a longer
  // ejection would overload the others.
  TargetStats &Stats = statsOf(Table, Name, Now);
  if (Stats.EjectedUntil_ > Now)
    return;
  Stats.EjectedUntil_ = Now + Table.Options_.EjectionBase_;
  ++Table.Counters_.Ejections_;
  addEvent(Table, PlacementEventKind::Ejected, Name,
           Table.Options_.EjectionBase_);
}

TargetStatus targetStatus(const Placement &Table, std::string_view Name,
                          TimePoint Now) {
  TargetStatus Out;
  auto Found = Table.Targets_.find(Name);
  if (Found == Table.Targets_.end())
    return Out;
  const TargetStats &Stats = Found->second;
  Out.InFlight_ = Stats.InFlight_;
  Out.OthersLoad_ = Stats.OthersLoad_;
  if (Stats.ReportedAt_ != TimePoint{})
    Out.ReportAge_ = Now - Stats.ReportedAt_;
  Out.MeanService_ = Duration(std::llround(Stats.MeanServiceUs_));
  Out.Ejected_ = Stats.EjectedUntil_ > Now;
  Out.Slow_ = Stats.Outlier_;
  return Out;
}

void removeTarget(Placement &Table, std::string_view Name) {
  auto Found = Table.Targets_.find(Name);
  if (Found == Table.Targets_.end())
    return;
  Table.Targets_.erase(Found);
  ++Table.Counters_.Forgotten_;
}

void expireTargets(Placement &Table, TimePoint Now) {
  Table.Counters_.Forgotten_ +=
      std::erase_if(Table.Targets_, [&](const auto &Entry) {
        return Entry.second.InFlight_ == 0 &&
               Now - Entry.second.LastSeen_ >= Table.Options_.TargetExpiry_;
      });
}

std::vector<PlacementEvent> takeEvents(Placement &Table) {
  return std::exchange(Table.Events_, {});
}

} // namespace sycamore

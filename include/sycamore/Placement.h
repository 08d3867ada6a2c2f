// Chooses the target of a call among the eligible ones.
//
// Two random candidates are compared by cost: requests per slot (own calls in
// flight plus the load that other daemons put on the target, as last reported
// and decayed with age), raised for latency outliers and for targets that are
// still warming up. Targets of the caller's own data centre ("near") come
// first; those of other data centres ("far") are considered when the near ones
// are loaded, slow or refuse connections.
#pragma once

#include "sycamore/Admission.h"
#include "sycamore/Random.h"
#include "sycamore/RunningQuantile.h"
#include "sycamore/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamore {

/// An eligible target (design.md, section 5). The views must outlive the call
/// that receives the candidate.
struct Candidate {
  std::string_view Name_;
  std::string_view Server_;
  std::string_view DataCentre_;
  std::uint32_t Slots_ = 1; ///< From the ticket; 0 counts as 1.
};

/// Load of a target as reported in an answer (wire::CallAnswer).
struct TargetLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Slots_ = 0; ///< 0 when the answer carries no load.
  Duration ServiceTime_{0}; ///< Time in the slot; 0 if the call did not run.
  Duration MeanService_{0}; ///< Mean of its latest requests; 0 if unknown.
  /// Expected time in the slot of its waiting and running requests, less what
  /// has passed; unset if it does not report it.
  std::optional<Duration> RemainingWork_ = std::nullopt;
  /// The part of it that waits, by rank.
  std::array<Duration, WorkRanks> QueuedWork_{};
  /// Its expected time for requests of this kind, divided by the mean of all
  /// targets (see RouteCost); 0 if unknown.
  double CostRatio_ = 0;
};

/// How one attempt at a target ended.
enum class AttemptOutcome {
  Done,              ///< The target answered, with any status.
  NotRun,            ///< Its daemon refused the call before running it.
  ConnectionRefused, ///< Target or its daemon accepts no connection.
  Lost,              ///< The target was lost while it ran the call.
  TimedOut,          ///< No answer by the deadline.
  Cancelled,         ///< By the entry daemon, e.g. after a hedge.
};

struct PlacementOptions {
  /// Largest load, in requests per slot, that a report can contribute. A longer
  /// queue gives no further information for placement, and a peak load would
  /// otherwise affect placement for seconds after its end.
  double LoadLimit_ = 1.5;
  /// Time after which a load report counts half.
  Duration LoadHalfLife_ = seconds(5);
  /// Time after which half of a change in the reported load is applied. Reports
  /// may be late: when changes were applied at once and reports were 500 ms
  /// old, all daemons sent their calls to the target that had been idle, and at
  /// half load two calls in three were queued.
  Duration LoadSmoothing_ = seconds(3);
  /// A target is an outlier when its median latency is this many times the
  /// median of all candidates ...
  double OutlierRatio_ = 3.0;
  /// ... and exceeds it by at least this much, so that the network latency to
  /// another data centre does not make a fast target an outlier.
  Duration OutlierMargin_ = milliseconds(4);
  std::uint64_t OutlierMinSamples_ = 4;
  /// Largest change of the logarithm of a target's median latency per answer.
  double LatencyStep_ = 0.25;
  /// When more than this share of the candidates are outliers, they are treated
  /// like all other targets.
  double PanicThreshold_ = 0.5;
  /// Time between two calls that test whether an outlier has recovered.
  Duration OutlierTestInterval_ = seconds(1);
  /// Far targets are considered when the best near one costs more than this; 1
  /// means that the call would take the last free slot.
  double SpillCost_ = 0.6;
  /// A far target without a free slot is chosen only when it costs less than
  /// this share of the near one. When all are equally loaded, the transit time
  /// gains nothing, and a nested call holds its caller's slot meanwhile.
  double SpillRatio_ = 0.6;
  /// Time over which the weight of a new target rises from RampFloor_ to 1.
  Duration RampTime_ = seconds(5);
  double RampFloor_ = 0.1;
  /// Length of the first and of the longest ejection after refused connections.
  /// Each further refusal doubles it.
  Duration EjectionBase_ = milliseconds(500);
  Duration EjectionLimit_ = seconds(30);
  /// Bounds on the ratio of a target's mean time in the slot to the median of
  /// the candidates, because single long requests shift the mean.
  double MinServiceRatio_ = 0.5;
  double MaxServiceRatio_ = 4.0;
  /// Services with at least this many candidates are placed by remaining work
  /// (see WorkPlacement.h) instead of by requests per slot; 0 for none. Needs
  /// targets that report their remaining work.
  std::uint32_t WorkTargets_ = 0;
  /// Number of random candidates that are compared by remaining work, half of
  /// them in the own data centre. With three or four, daemons with the same old
  /// reports choose the same targets near capacity.
  std::uint32_t WorkChoices_ = 2;
  /// Time after which the difference between a reported remaining work and the
  /// mean of the candidates counts half.
  Duration WorkHalfLife_ = milliseconds(500);
  /// Targets whose report is at most this old are always compared, in addition
  /// to WorkChoices_: their load was learned in an earlier attempt of the call.
  Duration FreshReport_ = milliseconds(30);
  /// Completion within this share of the time left until the latency target is
  /// soon enough: among such targets the slowest is chosen, which leaves the
  /// faster ones to requests that need them.
  double SlackShare_ = 0.25;
  /// Time that a call to another data centre takes longer, both ways.
  Duration FarTransit_ = milliseconds(3);
  /// Share of the expected time in the slot by which a target in another data
  /// centre must be faster: its request and answer take the links between data
  /// centres.
  double FarCostShare_ = 0.1;
  /// Weight of a new CostRatio_ in the target's mean, and its bounds, because a
  /// target's own figures may be false.
  double CostRatioGain_ = 0.2;
  double MinCostRatio_ = 0.25;
  double MaxCostRatio_ = 4.0;
  /// Largest remaining work per slot that a report can contribute.
  Duration WorkLimit_ = seconds(10);
  /// Largest number of targets in the table. The one that was a candidate least
  /// recently is evicted first.
  std::size_t MaxTargets_ = 4096;
  /// Targets that were no candidate for this long are removed.
  Duration TargetExpiry_ = seconds(600);
};

/// Statistics and state of one target.
struct TargetStats {
  std::uint32_t InFlight_ = 0; ///< Own calls dispatched and not yet answered.
  double OthersLoad_ = 0;      ///< Requests of other daemons at ReportedAt_.
  TimePoint ReportedAt_{};
  RunningQuantile Latency_{}; ///< Median in microseconds.
  double MeanServiceUs_ = 0;  ///< As last reported; 0 if unknown.
  double WorkUs_ = 0;         ///< Remaining work at WorkAt_, in its own time.
  /// The part of WorkUs_ that waits, by rank.
  std::array<double, WorkRanks> QueuedUs_{};
  double MeanWorkUs_ = 0; ///< WorkUs_ of all candidates at the last choice.
  TimePoint WorkAt_{};    ///< Last report or dispatch; unset if unknown.
  TimePoint WorkReportedAt_{};
  double CostRatio_ = 1;     ///< Mean of the reported TargetLoad::CostRatio_.
  double LongestCostUs_ = 0; ///< Of the own calls in flight.
  TimePoint LastSampleAt_{}; ///< Time of the last latency sample.
  TimePoint WaitingSince_{}; ///< Last answer, or first dispatch after it.
  TimePoint RampStart_{};    ///< First seen, or readmitted.
  TimePoint LastSeen_{};     ///< Last time it was a candidate.
  TimePoint EjectedUntil_{};
  std::uint32_t ConsecutiveRefusals_ = 0; ///< Of connections.
  bool Outlier_ = false;
};

struct PlacementCounters {
  std::uint64_t Chosen_ = 0;
  std::uint64_t ChosenFar_ = 0;    ///< Outside the own data centre.
  std::uint64_t NoCandidate_ = 0;  ///< No candidate left after exclusion.
  std::uint64_t OutlierTests_ = 0; ///< Calls that tested an outlier's recovery.
  std::uint64_t OutliersFound_ = 0;
  std::uint64_t Panics_ = 0; ///< Choices that ignored outliers.
  std::uint64_t Ejections_ = 0;
  std::uint64_t EjectionsIgnored_ = 0; ///< Choices with all candidates ejected.
  std::uint64_t Forgotten_ = 0;
};

enum class PlacementEventKind {
  OutlierFound,
  OutlierRecovered,
  Ejected,
  Readmitted, ///< First answer after an ejection.
};

struct PlacementEvent {
  PlacementEventKind Kind_;
  std::string Target_;
  Duration Span_{0}; ///< Median latency, or length of the ejection.
};

/// Transparent hash, so that look-ups by std::string_view copy no name.
struct NameHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view Name) const {
    return std::hash<std::string_view>{}(Name);
  }
};

struct Placement {
  PlacementOptions Options_;
  PlacementCounters Counters_;
  std::unordered_map<std::string, TargetStats, NameHash, std::equal_to<>>
      Targets_;
  std::vector<PlacementEvent> Events_; ///< See takeEvents().
};

/// What is known about a request before it is placed.
struct RequestCost {
  Duration Expected_{0}; ///< In the slot of a mean target; 0 if unknown.
  /// Time left until the latency target, or 0 if the route has none.
  Duration Slack_{0};
  std::size_t Rank_ = WorkRanks - 1; ///< See workRank().
};

/// Index of the target for the next attempt, or nothing when every candidate
/// is in Excluded (target names). Does not record a dispatch.
std::optional<std::size_t> chooseTarget(Placement &Table,
                                        std::span<const Candidate> Candidates,
                                        std::string_view OwnDataCentre,
                                        std::span<const std::string> Excluded,
                                        TimePoint Now, Random &Rng,
                                        const RequestCost &Request = {});

/// The one target for calls that are suspected of crashing targets: the same
/// on every entry daemon with the same candidates (rendezvous hash), so that
/// the Admission of that target runs them one at a time for the whole fleet.
/// Takes no load into account. Nothing when Candidates is empty.
std::optional<std::size_t>
chooseSuspectTarget(std::uint64_t Fingerprint,
                    std::span<const Candidate> Candidates);

/// Records that an attempt was sent to the target. Cost is its expected time in
/// the slot of a mean target; 0 if unknown.
void recordDispatch(Placement &Table, std::string_view Name, TimePoint Now,
                    Duration Cost = Duration(0));

/// Records the end of an attempt that was recorded as dispatched. Latency is
/// the time from its dispatch to its end.
void recordAttemptEnd(Placement &Table, std::string_view Name,
                      const TargetLoad &Load, Duration Latency,
                      AttemptOutcome Outcome, TimePoint Now);

/// Ejects a target for EjectionBase_ because the link to its server is silent.
void ejectTarget(Placement &Table, std::string_view Name, TimePoint Now);

/// State of a target for log lines.
struct TargetStatus {
  std::uint32_t InFlight_ = 0; ///< Own calls.
  double OthersLoad_ = 0;      ///< Calls of other daemons, as last reported.
  std::optional<Duration> ReportAge_; ///< Unset before the first report.
  Duration MeanService_{0};
  bool Ejected_ = false;
  bool Slow_ = false;
};

TargetStatus targetStatus(const Placement &Table, std::string_view Name,
                          TimePoint Now);

/// Removes one target, for example when Membership reports that it has left.
void removeTarget(Placement &Table, std::string_view Name);

/// Removes targets that were no candidate for Options_.TargetExpiry_.
void expireTargets(Placement &Table, TimePoint Now);

/// Moves the state changes since the last call out of the table.
std::vector<PlacementEvent> takeEvents(Placement &Table);

} // namespace sycamore

// Chooses the target of a call among the eligible ones.
//
// Two random candidates are compared by cost: requests per slot (own calls in
// flight plus the aged load of others from the last answer), raised for
// latency outliers and for targets that are still warming up. Targets of the
// caller's own data centre come first; others are considered when the near
// ones are loaded, slow or refuse connections.
#pragma once

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

/// Load of a target as it rides on an answer (wire::CallAnswer).
struct TargetLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Slots_ = 0; ///< 0 when the answer carries no load.
  Duration ServiceTime_{0}; ///< Time in the slot; 0 if it did not run.
  Duration MeanService_{0}; ///< Of its latest requests; 0 when not known.
};

/// How one attempt at a target ended.
enum class AttemptOutcome {
  Done,              ///< The target answered, whatever the status.
  NotRun,            ///< Its daemon refused the call before running it.
  ConnectionRefused, ///< Target or its daemon accepts no connection.
  Lost,              ///< The target was lost while it ran the call.
  TimedOut,          ///< No answer by the deadline.
  Cancelled,         ///< The entry daemon gave up, e.g. after a hedge.
};

struct PlacementOptions {
  /// A report counts at most this many requests per slot. Longer queues say no
  /// more about where to send a call, and a crest would be remembered for
  /// seconds after its end.
  double LoadLimit_ = 1.5;
  /// Time after which a load report counts half.
  Duration LoadHalfLife_ = seconds(5);
  /// Time in which a change of the reported load counts half. Reports may be
  /// late: when they were taken at once and 500 ms old, all daemons chased the
  /// target that had been idle, and two calls in three were queued at half
  /// load.
  Duration LoadSmoothing_ = seconds(3);
  /// A target is an outlier when its median latency is this many times the
  /// median of all candidates ...
  double OutlierRatio_ = 3.0;
  /// ... and exceeds it by at least this much, so that the way to another
  /// data centre makes no outlier of a fast target.
  Duration OutlierMargin_ = milliseconds(4);
  std::uint64_t OutlierMinSamples_ = 4;
  /// Largest move of the logarithm of a target's median for one answer.
  double LatencyStep_ = 0.25;
  /// Outliers are ignored when more than this share of candidates are.
  double PanicShare_ = 0.5;
  /// Time between two calls that test whether an outlier has recovered.
  Duration OutlierTestInterval_ = seconds(1);
  /// Cost of the best near target from which others are considered; 1 means
  /// that the call would take the last free slot.
  double SpillCost_ = 0.6;
  /// A far target without a free slot is taken only when it costs less than
  /// this share of the near one. When all are loaded alike, the way would be
  /// wasted, and a nested call holds its caller's slot on the way.
  double SpillRatio_ = 0.6;
  /// Time in which a new target grows from RampFloor_ to its full weight.
  Duration RampTime_ = seconds(5);
  double RampFloor_ = 0.1;
  /// First and longest ejection after a refused connection; doubles between.
  Duration EjectionBase_ = milliseconds(500);
  Duration EjectionLimit_ = seconds(30);
  /// A target's mean time in the slot counts within these ratios to the median
  /// of the candidates: the means follow single long requests.
  double FastestRatio_ = 0.5;
  double SlowestRatio_ = 4.0;
  /// Targets kept; the longest unused is forgotten first.
  std::size_t MaxTargets_ = 4096;
  /// Targets that were no candidate for this long are forgotten.
  Duration ForgetAfter_ = seconds(600);
};

/// What is known of one target.
struct TargetStats {
  std::uint32_t InFlight_ = 0; ///< Own calls dispatched, not answered.
  double OthersLoad_ = 0;      ///< Requests of others at ReportedAt_.
  TimePoint ReportedAt_{};
  RunningQuantile Latency_{}; ///< Median in microseconds.
  double MeanServiceUs_ = 0;  ///< As last reported; 0 when not known.
  TimePoint LastSample_{};    ///< Last latency noted.
  TimePoint WaitingSince_{};  ///< Last answer, or first dispatch after.
  TimePoint FirstSeen_{};     ///< Start of the ramp.
  TimePoint LastSeen_{};      ///< Last time it was a candidate.
  TimePoint EjectedUntil_{};
  std::uint32_t Refusals_ = 0; ///< Refused connections in a row.
  bool Outlier_ = false;
};

struct PlacementCounters {
  std::uint64_t Chosen_ = 0;
  std::uint64_t ChosenFar_ = 0;    ///< Outside the own data centre.
  std::uint64_t NoCandidate_ = 0;  ///< Nothing left after exclusion.
  std::uint64_t OutlierTests_ = 0; ///< Calls to test an outlier.
  std::uint64_t OutliersFound_ = 0;
  std::uint64_t Panics_ = 0; ///< Choices that ignored outliers.
  std::uint64_t Ejections_ = 0;
  std::uint64_t EjectionsIgnored_ = 0; ///< Choices with all ejected.
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

/// Hashes views and strings alike, so that look-ups copy no name.
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

/// Index of the target for the next attempt, or nothing when every candidate
/// is in Excluded (target names). Takes no note of a dispatch.
std::optional<std::size_t> chooseTarget(Placement &Table,
                                        std::span<const Candidate> Candidates,
                                        std::string_view OwnDataCentre,
                                        std::span<const std::string> Excluded,
                                        TimePoint Now, Random &Rng);

/// The one target for calls that are suspected of crashing targets: the same
/// on every entry daemon with the same candidates (rendezvous hash), so that
/// the Admission of that target runs them one at a time for the whole fleet.
/// Takes no load into account. Nothing when Candidates is empty.
std::optional<std::size_t>
chooseSuspectTarget(std::uint64_t Fingerprint,
                    std::span<const Candidate> Candidates);

/// An attempt was sent to the target.
void noteDispatched(Placement &Table, std::string_view Name, TimePoint Now);

/// An attempt that was noted as dispatched has ended. Latency runs from
/// dispatch to this moment.
void noteAnswered(Placement &Table, std::string_view Name,
                  const TargetLoad &Load, Duration Latency,
                  AttemptOutcome Outcome, TimePoint Now);

/// The link to the target's server went silent: the target is passed over for
/// EjectionBase_.
void ejectTarget(Placement &Table, std::string_view Name, TimePoint Now);

/// What the table knows of a target, for logs.
struct TargetView {
  std::uint32_t InFlight_ = 0;        ///< Own calls.
  double OthersLoad_ = 0;             ///< Calls of others, as last reported.
  std::optional<Duration> ReportAge_; ///< Unset before the first report.
  Duration MeanService_{0};
  bool Ejected_ = false;
  bool Slow_ = false;
};

TargetView viewOf(const Placement &Table, std::string_view Name, TimePoint Now);

/// Forgets one target, for example when Membership reports it gone.
void forgetTarget(Placement &Table, std::string_view Name);

/// Forgets targets that were no candidate for Options_.ForgetAfter_.
void expireTargets(Placement &Table, TimePoint Now);

/// Moves the state changes since the last call out of the table.
std::vector<PlacementEvent> takeEvents(Placement &Table);

} // namespace sycamore

// Roll-outs of new software versions as one entry daemon sees them: the states
// in force, the version that a request goes to, and the counters of answers
// that the deciding daemon compares.
#pragma once

#include "sycamore/Membership.h"
#include "sycamore/RunningQuantile.h"

#include <unordered_map>

namespace sycamore {

/// An operator's order to move the traffic of a service to targets of one
/// software version.
struct RolloutOrder {
  std::string Service_;
  std::string TargetVersion_;
  Duration Duration_{0}; ///< From the order to its deadline.
  std::int64_t Revision_ = 0;
};

inline constexpr std::uint32_t FullSharePermille = 1000;

/// Without news of a deciding daemon for this long, a daemon sends nothing to
/// the new version unless the last step is in force.
inline constexpr Duration RolloutNewsTimeout = seconds(2);

/// Answers on one route, counted since this process learned of the order.
struct RolloutCounts {
  std::uint64_t Answers_ = 0;
  std::uint64_t Failures_ = 0;
  std::uint64_t Slow_ = 0;
  Duration Times_{0};
};

/// Requests to one version.
struct RolloutTally {
  std::uint64_t Sent_ = 0;
  std::uint32_t InFlight_ = 0;
  std::map<std::string, RolloutCounts> Routes_;
};

/// The latest roll-out of one service.
struct Rollout {
  wire::RolloutState State_;
  TimePoint HeardAt_; ///< Last news of the deciding daemon.
  /// Versions other than the target version that were seen while it ran. They
  /// get nothing after completion, unlike versions that come later.
  std::set<std::string> OldVersions_;
  /// Versions that an earlier order ended or gave up. They get nothing.
  std::set<std::string> EndedVersions_;
  RolloutTally New_;
  RolloutTally Old_;
  /// Median times of the old version, by route.
  std::map<std::string, RunningQuantile> Medians_;
  std::map<std::string, std::uint64_t> SentByRoute_;
  /// Part of a request that the new version is still owed. It starts at random
  /// so that many daemons with few requests each keep the share together.
  double Credit_ = 0;
  /// New failures or slow answers, or a new step, since the last report.
  bool ReportSoon_ = false;
  TimePoint ReportedAt_;
};

enum class RolloutOutcome {
  Answered,
  Failed,    ///< A 5xx of the target, or no answer.
  Cancelled, ///< By the entry daemon or the caller.
  NotRun,    ///< It did not reach the target.
  Unjudged, ///< Lost for a reason that is not the target's, as its server died.
};

/// An attempt in progress.
struct RolloutAttempt {
  std::string Service_;
  std::string Route_;
  std::int64_t OrderRevision_ = 0;
  bool New_ = false;
  /// The target is so young that slow answers do not count; see WarmUpTime.
  bool WarmingUp_ = false;
  bool CountedSlow_ = false; ///< Before its end, because it is overdue.
  TimePoint SentAt_;
};

struct RolloutTable {
  std::map<std::string, Rollout> Rollouts_;                    ///< By service.
  std::unordered_map<std::uint64_t, RolloutAttempt> Attempts_; ///< By ordinal.
};

/// A target that was first heard of this recently may be slow because it is
/// cold.
inline constexpr Duration RolloutWarmUpTime = seconds(2);

bool isFinished(const wire::RolloutState &State);

/// Whether State replaces Known: it is of a later order, or of the same one and
/// a later step, or its verdict. A verdict is final for its order.
bool replacesState(const wire::RolloutState &State,
                   const wire::RolloutState &Known);

/// Applies a state from a peer or the store. Returns true if it is news, which
/// the caller passes on to its neighbours.
bool applyRolloutState(RolloutTable &Table, const wire::RolloutState &State,
                       TimePoint Time, Random &Rng);

/// Removes the targets that a new request must not go to. Excluded are targets
/// that the request was sent to before. Without a roll-out of the service
/// nothing is removed.
void filterVersions(RolloutTable &Table, const std::string &Service,
                    const std::string &Route,
                    std::vector<EligibleTarget> &Targets,
                    std::span<const std::string> Excluded, TimePoint Time);

/// Counts a request to a target of Version, of which this daemon learned at
/// LearnedAt. Ignored unless a roll-out of the service runs.
void recordRolloutSent(RolloutTable &Table, std::uint64_t Ordinal,
                       const std::string &Service, const std::string &Route,
                       std::string_view Version, TimePoint LearnedAt,
                       TimePoint Time);

void recordRolloutEnd(RolloutTable &Table, std::uint64_t Ordinal,
                      RolloutOutcome Outcome, TimePoint Time);

/// Counts attempts as slow that have been under way for longer than a slow
/// answer takes.
void countOverdue(RolloutTable &Table, TimePoint Time);

/// Whether the counters of a roll-out are to be reported now: at an interval,
/// and sooner when the new version failed or was slow.
bool isReportDue(const Rollout &Entry, TimePoint Time);

/// The row without a route holds the number of requests sent.
wire::RolloutReport makeRolloutReport(Rollout &Entry, TimePoint Time);

} // namespace sycamore

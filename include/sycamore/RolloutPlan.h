// Decisions of the daemon that holds a roll-out: whether the new version is
// bad, and the share of the requests that it gets next.
#pragma once

#include "sycamore/Rollout.h"

namespace sycamore {

/// Evidence from the answers of both versions on one route.
struct RouteEvidence {
  RolloutCounts New_;
  /// Answers of the old version, with less weight the older they are, so that
  /// the versions are compared over the same time.
  double OldAnswers_ = 0;
  double OldFailures_ = 0;
  double OldSlow_ = 0;
  double OldTimesUs_ = 0;
  TimePoint OldAddedAt_;
  /// Cumulative sums of the log likelihood ratio of a bad version to a good
  /// one, never below 0, so that good answers from before a fault do not delay
  /// its detection.
  double FailureScore_ = 0;
  double SlowScore_ = 0;
};

/// The latest report of one server.
struct RolloutReporter {
  std::uint64_t Process_ = 0;
  wire::RolloutReport Report_;
  TimePoint HeardAt_;
};

/// What the holder knows of one roll-out.
struct RolloutHolder {
  RolloutOrder Order_;
  wire::RolloutState State_; ///< The latest step that it has put in force.
  TimePoint OrderedAt_;
  /// The evidence starts with the first target of the new version.
  std::optional<TimePoint> TargetsSeenAt_;
  std::uint32_t NewSlots_ = 0;
  TimePoint NewSlotsRaisedAt_;
  bool Rising_ = false;         ///< The observation has ended.
  std::uint64_t ShareStep_ = 0; ///< Step at which the share changed last.
  TimePoint ShareSince_;
  TimePoint RenewedAt_;
  std::map<std::string, RolloutReporter> Reporters_; ///< By server.
  std::map<std::string, RouteEvidence> Routes_;
  RouteEvidence All_; ///< Of all routes together.
  std::uint64_t NewSent_ = 0;
  std::uint64_t OldSent_ = 0;
};

/// What the holder's membership shows.
struct RolloutFleet {
  std::vector<std::string> Servers_; ///< Alive ones.
  std::uint32_t NewSlots_ = 0;
  std::uint32_t OldSlots_ = 0;
};

enum class RolloutAction {
  None,
  SetShare,
  RollBack, ///< Verdict: in force at once, before the store holds it.
  Complete, ///< Verdict: in force once the store holds it.
};

struct RolloutDecision {
  RolloutAction Action_ = RolloutAction::None;
  std::uint32_t SharePermille_ = 0;
  std::string Reason_;
};

RolloutHolder makeRolloutHolder(const RolloutOrder &Order,
                                const wire::RolloutState &State,
                                TimePoint OrderedAt, TimePoint Time);

/// Records the step that is in force.
void setHolderState(RolloutHolder &Holder, const wire::RolloutState &State,
                    TimePoint Time);

/// Adds a report; an outdated or repeated one changes nothing. Process is the
/// start of the sending process.
void addRolloutReport(RolloutHolder &Holder, const std::string &Server,
                      std::uint64_t Process, const wire::RolloutReport &Report,
                      TimePoint Time);

/// The next step of a running roll-out.
RolloutDecision planRollout(RolloutHolder &Holder, const RolloutFleet &Fleet,
                            TimePoint Time);

/// Whether every server has applied the verdict: sends nothing to the version
/// that ends and, after completion, waits for none of its answers. A server
/// that is not heard of ends by itself after RolloutNewsTimeout.
bool isVerdictApplied(const RolloutHolder &Holder, const RolloutFleet &Fleet,
                      TimePoint Time);

/// Route and figures that show a bad version; empty while nothing does.
std::string findBadRoute(const RolloutHolder &Holder);

} // namespace sycamore

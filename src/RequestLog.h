// Log lines about single requests, on both sides of a call. Each names the id
// that the caller gave the request, what decided, and how old that knowledge
// is.
#pragma once

#include "sycamore/Admission.h"
#include "sycamore/EntryCalls.h"
#include "sycamore/Placement.h"

#include <string>
#include <vector>

namespace sycamore {

/// What was known of a target when an attempt was sent to it, and how that
/// attempt ended.
struct AttemptNote {
  std::uint64_t Ordinal_ = 0;
  std::string Target_;
  std::string Server_;
  bool Hedge_ = false;
  TargetView Known_;
  TimePoint SentAt_;
  std::optional<TimePoint> EndedAt_;
  std::string_view End_ = "open"; ///< See attemptEndName().
  std::string Reason_;            ///< The target's daemon's words.
  std::uint32_t Running_ = 0;     ///< At the target, with its answer.
  std::uint32_t Queued_ = 0;
  std::uint32_t Slots_ = 0; ///< 0 without such an answer.
};

/// A request's way at its entry daemon.
struct CallTrail {
  std::string RequestId_;
  std::string Route_;
  std::string Service_;
  std::uint64_t Ticket_ = 0;
  std::uint32_t Depth_ = 0;
  TimePoint StartedAt_;
  TimePoint Deadline_;
  std::vector<AttemptNote> Attempts_;
};

std::string_view attemptEndName(AttemptOutcome Outcome);

/// The choice of a target; the first of a request only when it is sampled.
void logAttempt(const CallTrail &Trail, const AttemptNote &Attempt);

/// How a request ended for its caller.
void logOutcome(const CallTrail &Trail, const Finish &Outcome, TimePoint Now);

/// A request that was refused before a target was chosen.
void logRefusal(const CallTrail &Trail, const Finish &Outcome);

/// The caller closed its connection first.
void logAbandoned(const CallTrail &Trail, TimePoint Now);

/// An attempt at the daemon beside its target.
struct LocalAttempt {
  std::string_view RequestId_;
  std::string_view Target_;
  std::string_view Entry_; ///< The entry daemon's server.
  std::uint64_t Ticket_ = 0;
  AdmissionRequest Request_;
  TimePoint ArrivedAt_;
};

std::string_view refusalName(RefusalReason Reason);

void logAttemptRefused(const LocalAttempt &Attempt, const Admission &Table,
                       std::string_view Reason, TimePoint Now);
void logAttemptRunning(const LocalAttempt &Attempt, const Admission &Table,
                       TimePoint Now);
/// Run is what the daemon concluded; Why is empty for an answer.
void logAttemptEnded(const LocalAttempt &Attempt, wire::RunOutcome Run,
                     int Status, std::string_view Why, TimePoint StartedAt,
                     TimePoint Now);
void logAttemptCancelled(const LocalAttempt &Attempt, bool WasRunning,
                         TimePoint Now);

} // namespace sycamore

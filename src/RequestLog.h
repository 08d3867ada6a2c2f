// Log lines about single requests, at the entry daemon and at the target's
// daemon. Each contains the request id from the caller, the data on which the
// decision was based, and the age of that data.
#pragma once

#include "sycamore/Admission.h"
#include "sycamore/EntryCalls.h"
#include "sycamore/Placement.h"

#include <string>
#include <vector>

namespace sycamore {

/// State of a target as known when an attempt was sent to it, and how that
/// attempt ended.
struct AttemptRecord {
  std::uint64_t Ordinal_ = 0;
  std::string Target_;
  std::string Server_;
  bool Hedge_ = false;
  TargetStatus TargetStatus_;
  TimePoint SentAt_;
  std::optional<TimePoint> EndedAt_;
  std::string_view OutcomeName_ = "open"; ///< See attemptOutcomeName().
  std::string Reason_;        ///< Error message of the target's daemon.
  std::uint32_t Running_ = 0; ///< At the target, from the answer.
  std::uint32_t Queued_ = 0;
  std::uint32_t Slots_ = 0; ///< 0 when the answer contains no load.
};

/// History of a request at its entry daemon.
struct RequestHistory {
  std::string RequestId_;
  std::string Route_;
  std::string Service_;
  std::uint64_t Ticket_ = 0;
  std::uint32_t Depth_ = 0;
  TimePoint StartedAt_;
  TimePoint Deadline_;
  std::vector<AttemptRecord> Attempts_;
};

std::string_view attemptOutcomeName(AttemptOutcome Outcome);

/// Logs the choice of a target; only for sampled requests.
void logAttempt(const RequestHistory &History, const AttemptRecord &Attempt);

/// Logs how a request ended for its caller.
void logOutcome(const RequestHistory &History, const CallResult &Outcome,
                TimePoint Now);

/// Logs a request that was refused before a target was chosen.
void logRefusal(const RequestHistory &History, const CallResult &Outcome);

/// Logs that the caller closed its connection before the request ended.
void logAbandoned(const RequestHistory &History, TimePoint Now);

/// Logs that the caller had closed its connection before the request was read.
void logClosedUnread(const RequestHistory &History);

/// An attempt as seen by the daemon beside its target.
struct LocalAttempt {
  std::string_view RequestId_;
  std::string_view Target_;
  std::string_view Entry_; ///< Server of the entry daemon.
  std::uint64_t Ticket_ = 0;
  AdmissionRequest Request_;
  TimePoint ArrivedAt_;
};

std::string_view refusalName(RefusalReason Reason);

void logAttemptRefused(const LocalAttempt &Attempt, const Admission &Table,
                       std::string_view Reason, TimePoint Now);
void logAttemptRunning(const LocalAttempt &Attempt, const Admission &Table,
                       TimePoint Now);
/// Run is the outcome that the daemon determined; FailureReason is empty when
/// the target answered.
void logAttemptEnded(const LocalAttempt &Attempt, wire::RunOutcome Run,
                     int Status, std::string_view FailureReason,
                     TimePoint StartedAt, TimePoint Now);
void logAttemptCancelled(const LocalAttempt &Attempt, bool WasRunning,
                         TimePoint Now);

} // namespace sycamore

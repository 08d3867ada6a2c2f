// Shared by the sources of EntryCalls.
#pragma once

#include "sycamore/EntryCalls.h"

namespace sycamore::entrycalls {

/// What one event of the table works on.
struct Step {
  EntryCalls &Calls_;
  const CallPolicy &Policy_;
  TimePoint Now_;
  CallActions Actions_;
};

/// Whether the attempt may still bring an answer.
bool isOpen(const CallAttempt &Attempt);

wire::CallId idOf(const EntryCalls &Calls, const EntryCall &Call,
                  const CallAttempt &Attempt);

/// Attempts that a target may have seen.
std::uint32_t targetsReached(const EntryCall &Call);

/// Whether the route allows the call to reach one more target.
bool mayReachAnother(const EntryCall &Call);

/// Sends another attempt if the rules, the budget and the targets allow it, or
/// ends the call if nothing is left to wait for. The call may be gone
/// afterwards.
void proceed(Step &At, EntryCall &Call);

/// Sends an attempt to a target that was not tried yet. False when there is
/// none or TakeBudget refuses.
bool sendAnother(Step &At, EntryCall &Call, bool Hedge,
                 const std::function<bool(const EntryCall &)> &TakeBudget);

void queryAttempt(Step &At, EntryCall &Call, CallAttempt &Attempt,
                  bool NewLink);

/// Ends the call as not run if that is proven for all attempts, and as unknown
/// otherwise.
void finishWithoutAnswer(Step &At, EntryCall &Call,
                         std::optional<Error> Reason);

void finishDone(Step &At, EntryCall &Call, const CallAttempt &Answered,
                const wire::CallAnswer &Answer, std::string Body);

/// The call ran, but its answer cannot be had.
void finishDoneNoAnswer(Step &At, EntryCall &Call,
                        const wire::CallAnswer &Answer, Error Reason);

} // namespace sycamore::entrycalls

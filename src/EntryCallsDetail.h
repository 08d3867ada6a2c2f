// Declarations shared by the sources of EntryCalls.
#pragma once

#include "sycamore/EntryCalls.h"

namespace sycamore::entrycalls {

/// Context in which one event of the call table is handled.
struct EventContext {
  EntryCalls &Calls_;
  const CallPolicy &Policy_;
  TimePoint Now_;
  CallActions Actions_;
};

/// Whether an answer to the attempt is still possible.
bool isOpen(const CallAttempt &Attempt);

wire::CallId makeCallId(const EntryCalls &Calls, const EntryCall &Call,
                        const CallAttempt &Attempt);

/// Number of attempts that may have reached a target.
std::uint32_t targetsReached(const EntryCall &Call);

/// Whether the route allows the call to reach one more target.
bool mayReachAnotherTarget(const EntryCall &Call);

/// Sends another attempt if the rules, the budget and the targets allow it, or
/// ends the call if no attempt is open. Call may be removed from the table and
/// is then a dangling reference.
void retryOrFinish(EventContext &Context, EntryCall &Call);

/// Sends an attempt to a target that has not been tried yet. False when there
/// is none or ConsumeBudget returns false.
bool sendToNextTarget(
    EventContext &Context, EntryCall &Call, bool Hedge,
    const std::function<bool(const EntryCall &)> &ConsumeBudget);

/// Adds a SendQuery and schedules the next one with back-off.
void queryAttempt(EventContext &Context, EntryCall &Call, CallAttempt &Attempt,
                  bool ReplaceLink);

/// Ends the call with RUN_NOT_RUN if that is proven for all attempts, and with
/// RUN_UNKNOWN otherwise.
void finishWithoutAnswer(EventContext &Context, EntryCall &Call,
                         std::optional<Error> Reason);

/// Ends the call with the answer of attempt Answered; cancels the others.
void finishDone(EventContext &Context, EntryCall &Call,
                const CallAttempt &Answered, const wire::CallAnswer &Answer,
                std::string Body);

/// Ends the call with RUN_DONE and an error: it ran, but its answer is not
/// available.
void finishDoneWithoutAnswer(EventContext &Context, EntryCall &Call,
                             const wire::CallAnswer &Answer, Error Reason);

} // namespace sycamore::entrycalls

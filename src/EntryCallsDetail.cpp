// Sends attempts and ends calls.
#include "EntryCallsDetail.h"

#include "CallMutation.h"

#include <algorithm>
#include <cmath>

namespace sycamore::entrycalls {
namespace {

/// The error kind in an answer; Fallback when there is none or it is not known.
ErrorKind errorKindOf(const wire::CallAnswer &Answer, ErrorKind Fallback) {
  for (int Kind = 0; Kind <= static_cast<int>(ErrorKind::Internal); ++Kind)
    if (errorKindName(static_cast<ErrorKind>(Kind)) == Answer.error_kind())
      return static_cast<ErrorKind>(Kind);
  return Fallback;
}

bool provenNotRun(const EntryCall &Call) {
  return std::all_of(Call.Attempts_.begin(), Call.Attempts_.end(),
                     [](const CallAttempt &Attempt) {
                       return Attempt.State_ == AttemptState::NotRun;
                     });
}

} // namespace

std::uint32_t targetsReached(const EntryCall &Call) {
  return static_cast<std::uint32_t>(std::count_if(
      Call.Attempts_.begin(), Call.Attempts_.end(),
      [](const CallAttempt &Attempt) {
        return Attempt.State_ != AttemptState::NotRun || Attempt.ReachedTarget_;
      }));
}

bool mayReachAnotherTarget(const EntryCall &Call) {
  return Call.MaxTargets_ == 0 || targetsReached(Call) < Call.MaxTargets_;
}

namespace {

/// Whether a limit of the wait ended the attempt. Such a refusal says nothing
/// about later attempts without that limit.
bool isWaitLimitRefusal(const CallAttempt &Attempt) {
  return Attempt.WaitLimit_ > Duration(0) &&
         Attempt.State_ == AttemptState::NotRun && !Attempt.ReachedTarget_;
}

std::uint32_t waitLimitRefusals(const EntryCall &Call) {
  return static_cast<std::uint32_t>(std::count_if(
      Call.Attempts_.begin(), Call.Attempts_.end(), isWaitLimitRefusal));
}

/// Whether the rules allow one more attempt now. An idempotent call waits while
/// an attempt with a live link is open. Any other call may be sent again only
/// when all earlier attempts are proven not to have run.
bool mayAttemptAgain(const EventContext &Context, const EntryCall &Call) {
  std::uint32_t MaxAttempts =
      Call.LatencyTargetAt_
          ? Context.Calls_.Limits_.MaxAttemptsWithLatencyTarget_
          : Context.Calls_.Limits_.MaxAttempts_;
  if (Context.Now_ >= Call.Deadline_ ||
      Call.Attempts_.size() - waitLimitRefusals(Call) >= MaxAttempts)
    return false;
  if (!mayReachAnotherTarget(Call))
    return false;
  if (!Call.Idempotent_ && !mutationEnabled(CallMutation::RetryInDoubt))
    return provenNotRun(Call);
  return std::none_of(Call.Attempts_.begin(), Call.Attempts_.end(),
                      [](const CallAttempt &Attempt) {
                        return isOpen(Attempt) &&
                               Attempt.State_ != AttemptState::InDoubt;
                      });
}

void cancelOpenAttempts(EventContext &Context, const EntryCall &Call,
                        std::uint32_t Except) {
  for (const CallAttempt &Attempt : Call.Attempts_) {
    if (Attempt.Number_ == Except || !isOpen(Attempt))
      continue;
    SendCancel Cancel{Attempt.Server_, {}};
    *Cancel.Cancel_.mutable_id() = makeCallId(Context.Calls_, Call, Attempt);
    Context.Actions_.emplace_back(std::move(Cancel));
    ++Context.Calls_.Counters_.Cancels_;
  }
}

void endCall(EventContext &Context, const EntryCall &Call, CallResult Out) {
  Out.Sequence_ = Call.Sequence_;
  Context.Actions_.emplace_back(std::move(Out));
  Context.Calls_.Calls_.erase(Call.Sequence_);
}

/// Fills in answer, status, Retry-After and error of a call that was refused.
void fillRefusal(const EventContext &Context, const EntryCall &Call,
                 CallResult &Out) {
  const wire::CallAnswer &Refusal = Call.Refusal_;
  Out.Answer_ = Refusal;
  // At the holder, no other call was ever made for the key.
  if (Call.ContinueAfterDisconnect_)
    Out.Answer_.set_no_sending_ran(true);
  if (Out.Status_ == 0)
    Out.Status_ = Refusal.status() != 0 ? Refusal.status() : 503;
  Out.RetryAfter_ = Refusal.retry_after_ms() != 0
                        ? milliseconds(Refusal.retry_after_ms())
                        : Context.Calls_.Limits_.RetryAfter_;
  if (Call.LatencyTargetAt_) {
    auto Remaining =
        static_cast<double>((Call.Deadline_ - Context.Now_).count());
    Out.RetryAfter_ =
        std::max(Out.RetryAfter_,
                 Duration(std::llround(
                     Remaining * Context.Calls_.Limits_.RetryAfterShare_)));
  }
  if (!Out.Error_)
    Out.Error_ = Error{errorKindOf(Refusal, ErrorKind::Unavailable),
                       Refusal.error_message().empty()
                           ? "no target of service \"" + Call.Service_ +
                                 "\" took the call"
                           : Refusal.error_message(),
                       "send the request again later"};
}

wire::CallRequest makeRequest(const EventContext &Context,
                              const EntryCall &Call, const CallAttempt &Attempt,
                              bool AcceptLate) {
  wire::CallRequest Out = Call.Request_;
  *Out.mutable_id() = makeCallId(Context.Calls_, Call, Attempt);
  Out.set_target(Attempt.Target_);
  Out.set_process(Attempt.Process_);
  Out.set_remaining_us(
      static_cast<std::uint64_t>((Call.Deadline_ - Context.Now_).count()));
  if (Call.LatencyTargetAt_)
    Out.set_target_left_us(static_cast<std::uint64_t>(
        std::max<Duration>(*Call.LatencyTargetAt_ - Context.Now_, Duration(1))
            .count()));
  Out.set_accept_late(AcceptLate);
  Out.set_spare_only(Attempt.Hedge_);
  Out.set_wait_limit_us(static_cast<std::uint64_t>(Attempt.WaitLimit_.count()));
  Out.set_sent_us(
      static_cast<std::uint64_t>(Context.Now_.time_since_epoch().count()));
  return Out;
}

} // namespace

namespace {

/// Targets of the earlier attempts. They are not tried again for a late answer
/// either: a target that could not answer in time refuses late requests for a
/// while too (AdmissionOptions::LateRefusalTime_). Targets that only refused to
/// let the call wait remain eligible for an attempt without a limit.
std::vector<std::string> triedTargets(const EntryCall &Call, bool HasLimit) {
  std::vector<std::string> Out;
  for (const CallAttempt &Attempt : Call.Attempts_)
    if (HasLimit || !isWaitLimitRefusal(Attempt))
      Out.push_back(Attempt.Target_);
  return Out;
}

/// Limit of the wait for the next attempt; 0 for none. Only the first attempts
/// of a call have one, so that a retry after another refusal is accepted
/// wherever it can wait.
Duration nextWaitLimit(const EventContext &Context, const EntryCall &Call,
                       bool Hedge) {
  std::uint32_t Earlier = waitLimitRefusals(Call);
  if (Hedge || !Context.Policy_.WaitLimit_ || Earlier != Call.Attempts_.size())
    return Duration(0);
  return Context.Policy_.WaitLimit_(Call, Earlier).value_or(Duration(0));
}

} // namespace

bool isOpen(const CallAttempt &Attempt) {
  return Attempt.State_ != AttemptState::NotRun &&
         Attempt.State_ != AttemptState::Unknown;
}

wire::CallId makeCallId(const EntryCalls &Calls, const EntryCall &Call,
                        const CallAttempt &Attempt) {
  wire::CallId Id;
  Id.set_entry(Calls.Self_);
  Id.set_incarnation(Calls.Incarnation_);
  Id.set_sequence(Call.Sequence_);
  Id.set_attempt(Attempt.Number_);
  Id.set_ordinal(Attempt.Ordinal_);
  return Id;
}

bool sendToNextTarget(
    EventContext &Context, EntryCall &Call, bool Hedge,
    const std::function<bool(const EntryCall &)> &ConsumeBudget) {
  // A late answer is worth less than one in time, but more than none.
  bool AcceptLate = Call.LatencyTargetAt_ &&
                    (Call.Attempts_.size() - waitLimitRefusals(Call) >=
                         Context.Calls_.Limits_.OnTimeAttempts_ ||
                     Context.Now_ >= *Call.LatencyTargetAt_);
  Duration WaitLimit = nextWaitLimit(Context, Call, Hedge);
  std::vector<std::string> Excluded = triedTargets(Call, WaitLimit.count() > 0);
  auto Chosen = Context.Policy_.ChooseTarget_(Call, Excluded);
  if (!Chosen && WaitLimit.count() > 0) {
    WaitLimit = Duration(0);
    Excluded = triedTargets(Call, false);
    Chosen = Context.Policy_.ChooseTarget_(Call, Excluded);
  }
  if (!Chosen)
    return false;
  // If the request named no process, a restarted daemon that receives a second
  // copy of it would run it again.
  if (Chosen->Process_ == 0 && !Call.Idempotent_) {
    ++Context.Calls_.Counters_.UnknownProcesses_;
    return false;
  }
  if (!ConsumeBudget(Call))
    return false;
  CallAttempt Attempt;
  Attempt.Number_ = static_cast<std::uint32_t>(Call.Attempts_.size() + 1);
  Attempt.Ordinal_ = Context.Calls_.NextOrdinal_++;
  Attempt.Server_ = Chosen->Server_;
  Attempt.Target_ = Chosen->Target_;
  Attempt.Process_ = Chosen->Process_;
  Attempt.Hedge_ = Hedge;
  Attempt.AcceptLate_ = AcceptLate;
  Attempt.WaitLimit_ = WaitLimit;
  Context.Calls_.Counters_.WaitLimited_ += WaitLimit.count() > 0 ? 1 : 0;
  Attempt.SentAt_ = Context.Now_;
  Call.Attempts_.push_back(Attempt);
  ++Context.Calls_.Counters_.Attempts_;
  Context.Actions_.emplace_back(SendAttempt{
      Attempt.Server_, makeRequest(Context, Call, Attempt, AcceptLate),
      Call.Body_, std::move(Excluded)});
  return true;
}

void queryAttempt(EventContext &Context, EntryCall &Call, CallAttempt &Attempt,
                  bool ReplaceLink) {
  const EntryCallLimits &Limits = Context.Calls_.Limits_;
  Duration Backoff = Limits.QueryBackoff_;
  for (std::uint32_t I = 0; I < Attempt.UnansweredQueries_ && I < 10; ++I)
    Backoff = std::min(Backoff * 2, Limits.QueryBackoffMax_);
  ++Attempt.UnansweredQueries_;
  Attempt.NextQueryAt_ = Context.Now_ + Backoff;
  ++Context.Calls_.Counters_.Queries_;
  SendQuery Out{Attempt.Server_, {}, ReplaceLink};
  *Out.Query_.mutable_id() = makeCallId(Context.Calls_, Call, Attempt);
  Out.Query_.set_process(Attempt.Process_);
  Context.Actions_.emplace_back(std::move(Out));
}

void retryOrFinish(EventContext &Context, EntryCall &Call) {
  auto NoBudget = [](const EntryCall & /*Call*/) { return true; };
  bool NeedsBudget = targetsReached(Call) > 0 || Call.Request_.suspect();
  if (mayAttemptAgain(Context, Call) &&
      sendToNextTarget(Context, Call, /*Hedge=*/false,
                       NeedsBudget ? Context.Policy_.ConsumeRetry_
                                   : NoBudget)) {
    ++Context.Calls_.Counters_.Retries_;
    return;
  }
  if (std::none_of(Call.Attempts_.begin(), Call.Attempts_.end(), isOpen))
    finishWithoutAnswer(Context, Call, std::nullopt);
}

void finishWithoutAnswer(EventContext &Context, EntryCall &Call,
                         std::optional<Error> Reason) {
  CallResult Out;
  bool DeadlinePassed = Reason && Reason->Kind_ == ErrorKind::DeadlineExceeded;
  Out.Error_ = std::move(Reason);
  cancelOpenAttempts(Context, Call, 0);
  if (provenNotRun(Call)) {
    // Not 504: with 504 the request may have run, and a caller must not repeat
    // such a request.
    if (DeadlinePassed)
      Out.Status_ = 503;
    Out.Run_ = wire::RUN_NOT_RUN;
    fillRefusal(Context, Call, Out);
    ++Context.Calls_.Counters_.NotRun_;
  } else {
    Out.Run_ = wire::RUN_UNKNOWN;
    Out.Status_ = DeadlinePassed ? 504 : 502;
    if (!Out.Error_)
      Out.Error_ = Error{ErrorKind::OutcomeUnknown,
                         "the call may have run, and its answer was lost",
                         "find out whether it took effect, or send it again "
                         "with the same idempotency key"};
    ++Context.Calls_.Counters_.Unknown_;
  }
  endCall(Context, Call, std::move(Out));
}

void finishDone(EventContext &Context, EntryCall &Call,
                const CallAttempt &Answered, const wire::CallAnswer &Answer,
                std::string Body) {
  cancelOpenAttempts(Context, Call, Answered.Number_);
  ++Context.Calls_.Counters_.Done_;
  CallResult Out;
  Out.Run_ = wire::RUN_DONE;
  Out.Status_ = Answer.status();
  Out.Answer_ = Answer;
  Out.Body_ = std::move(Body);
  // A holder keeps the target's answer for later requests with the same key.
  bool Delivered = !Call.ContinueAfterDisconnect_;
  if (Delivered && !Call.Idempotent_ &&
      withholdRefusal(Context.Calls_.Limits_, Out))
    ++Context.Calls_.Counters_.RefusalsWithheld_;
  endCall(Context, Call, std::move(Out));
}

void finishDoneWithoutAnswer(EventContext &Context, EntryCall &Call,
                             const wire::CallAnswer &Answer, Error Reason) {
  cancelOpenAttempts(Context, Call, Answer.id().attempt());
  ++Context.Calls_.Counters_.Done_;
  CallResult Out;
  Out.Run_ = wire::RUN_DONE;
  Out.Status_ = 502;
  Out.Error_ = std::move(Reason);
  Out.Answer_ = Answer;
  // They belong to the status and body that are not returned.
  Out.Answer_.clear_headers();
  endCall(Context, Call, std::move(Out));
}

} // namespace sycamore::entrycalls

namespace sycamore {

bool withholdRefusal(const EntryCallLimits &Limits, CallResult &Out) {
  const auto &Statuses = Limits.RefusalStatuses_;
  if (Out.Run_ != wire::RUN_DONE || Out.Error_ ||
      mutationEnabled(CallMutation::PassOnRefusals) ||
      std::find(Statuses.begin(), Statuses.end(), Out.Status_) ==
          Statuses.end())
    return false;
  Out.Error_ = Error{ErrorKind::OutcomeUnknown,
                     "the target answered " + std::to_string(Out.Status_) +
                         " without stating that it did not run the request",
                     "find out whether the request took effect before it is "
                     "sent again"};
  Out.Status_ = 502;
  Out.Answer_.clear_headers();
  Out.Body_.clear();
  return true;
}

} // namespace sycamore

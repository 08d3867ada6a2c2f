// Sends attempts and ends calls.
#include "EntryCallsDetail.h"

#include "CallMutation.h"

#include <algorithm>
#include <cmath>

namespace sycamore::entrycalls {
namespace {

/// The error kind in an answer; Fallback when there is none or it is not known.
ErrorKind kindOf(const wire::CallAnswer &Answer, ErrorKind Fallback) {
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

bool mayReachAnother(const EntryCall &Call) {
  return Call.MaxTargets_ == 0 || targetsReached(Call) < Call.MaxTargets_;
}

namespace {

/// Whether the rules allow one more attempt now. An idempotent call waits while
/// an attempt with a live link is open. Any other call may be sent again only
/// when all earlier attempts are proven not to have run.
bool allowsAnother(const Step &At, const EntryCall &Call) {
  std::uint32_t MaxAttempts = Call.TargetAt_
                                  ? At.Calls_.Limits_.MaxAttemptsInTarget_
                                  : At.Calls_.Limits_.MaxAttempts_;
  if (At.Now_ >= Call.Deadline_ || Call.Attempts_.size() >= MaxAttempts)
    return false;
  if (!mayReachAnother(Call))
    return false;
  if (!Call.Idempotent_ && !mutated(CallMutation::RetryInDoubt))
    return provenNotRun(Call);
  return std::none_of(Call.Attempts_.begin(), Call.Attempts_.end(),
                      [](const CallAttempt &Attempt) {
                        return isOpen(Attempt) &&
                               Attempt.State_ != AttemptState::InDoubt;
                      });
}

void cancelOpen(Step &At, const EntryCall &Call, std::uint32_t Except) {
  for (const CallAttempt &Attempt : Call.Attempts_) {
    if (Attempt.Number_ == Except || !isOpen(Attempt))
      continue;
    SendCancel Cancel{Attempt.Server_, {}};
    *Cancel.Cancel_.mutable_id() = idOf(At.Calls_, Call, Attempt);
    At.Actions_.emplace_back(std::move(Cancel));
    ++At.Calls_.Counters_.Cancels_;
  }
}

void end(Step &At, const EntryCall &Call, Finish Out) {
  Out.Sequence_ = Call.Sequence_;
  At.Actions_.emplace_back(std::move(Out));
  At.Calls_.Calls_.erase(Call.Sequence_);
}

/// Fills in answer, status, Retry-After and error of a call that was refused.
void describeRefusal(const Step &At, const EntryCall &Call, Finish &Out) {
  const wire::CallAnswer &Refusal = Call.Refusal_;
  Out.Answer_ = Refusal;
  // At the holder, no other call was ever made for the key.
  if (Call.KeepWhenCallerGone_)
    Out.Answer_.set_no_sending_ran(true);
  if (Out.Status_ == 0)
    Out.Status_ = Refusal.status() != 0 ? Refusal.status() : 503;
  Out.RetryAfter_ = Refusal.retry_after_ms() != 0
                        ? milliseconds(Refusal.retry_after_ms())
                        : At.Calls_.Limits_.RetryAfter_;
  if (Call.TargetAt_) {
    auto Left = static_cast<double>((Call.Deadline_ - At.Now_).count());
    Out.RetryAfter_ = std::max(
        Out.RetryAfter_,
        Duration(std::llround(Left * At.Calls_.Limits_.RetryAfterShare_)));
  }
  if (!Out.Error_)
    Out.Error_ = Error{kindOf(Refusal, ErrorKind::Unavailable),
                       Refusal.error_message().empty()
                           ? "no target of service \"" + Call.Service_ +
                                 "\" took the call"
                           : Refusal.error_message(),
                       "send the request again later"};
}

wire::CallRequest requestFor(const Step &At, const EntryCall &Call,
                             const CallAttempt &Attempt, bool Late) {
  wire::CallRequest Out = Call.Request_;
  *Out.mutable_id() = idOf(At.Calls_, Call, Attempt);
  Out.set_target(Attempt.Target_);
  Out.set_process(Attempt.Process_);
  Out.set_remaining_us(
      static_cast<std::uint64_t>((Call.Deadline_ - At.Now_).count()));
  if (Call.TargetAt_)
    Out.set_target_left_us(static_cast<std::uint64_t>(
        std::max<Duration>(*Call.TargetAt_ - At.Now_, Duration(1)).count()));
  Out.set_accept_late(Late);
  Out.set_spare_only(Attempt.Hedge_);
  return Out;
}

} // namespace

namespace {

/// Targets of all earlier attempts. They are not tried again for a late answer
/// either: a target that could not answer in time refuses late requests for a
/// while too (AdmissionOptions::CrestMemory_).
std::vector<std::string> triedTargets(const EntryCall &Call) {
  std::vector<std::string> Out;
  for (const CallAttempt &Attempt : Call.Attempts_)
    Out.push_back(Attempt.Target_);
  return Out;
}

} // namespace

bool isOpen(const CallAttempt &Attempt) {
  return Attempt.State_ != AttemptState::NotRun &&
         Attempt.State_ != AttemptState::Unknown;
}

wire::CallId idOf(const EntryCalls &Calls, const EntryCall &Call,
                  const CallAttempt &Attempt) {
  wire::CallId Id;
  Id.set_entry(Calls.Self_);
  Id.set_incarnation(Calls.Incarnation_);
  Id.set_sequence(Call.Sequence_);
  Id.set_attempt(Attempt.Number_);
  Id.set_ordinal(Attempt.Ordinal_);
  return Id;
}

bool sendAnother(Step &At, EntryCall &Call, bool Hedge,
                 const std::function<bool(const EntryCall &)> &TakeBudget) {
  // A late answer is worth less than one in time, but more than none.
  bool Late = Call.TargetAt_ &&
              (Call.Attempts_.size() >= At.Calls_.Limits_.InTimeAttempts_ ||
               At.Now_ >= *Call.TargetAt_);
  std::vector<std::string> Excluded = triedTargets(Call);
  auto Chosen = At.Policy_.ChooseTarget_(Call, Excluded);
  if (!Chosen)
    return false;
  // If the request named no process, a restarted daemon that receives a second
  // copy of it would run it again.
  if (Chosen->Process_ == 0 && !Call.Idempotent_) {
    ++At.Calls_.Counters_.UnnamedProcesses_;
    return false;
  }
  if (!TakeBudget(Call))
    return false;
  CallAttempt Attempt;
  Attempt.Number_ = static_cast<std::uint32_t>(Call.Attempts_.size() + 1);
  Attempt.Ordinal_ = At.Calls_.NextOrdinal_++;
  Attempt.Server_ = Chosen->Server_;
  Attempt.Target_ = Chosen->Target_;
  Attempt.Process_ = Chosen->Process_;
  Attempt.Hedge_ = Hedge;
  Attempt.Late_ = Late;
  Attempt.SentAt_ = At.Now_;
  Call.Attempts_.push_back(Attempt);
  ++At.Calls_.Counters_.Attempts_;
  At.Actions_.emplace_back(SendAttempt{Attempt.Server_,
                                       requestFor(At, Call, Attempt, Late),
                                       Call.Body_, std::move(Excluded)});
  return true;
}

void queryAttempt(Step &At, EntryCall &Call, CallAttempt &Attempt,
                  bool NewLink) {
  const EntryCallLimits &Limits = At.Calls_.Limits_;
  Duration Pause = Limits.QueryPause_;
  for (std::uint32_t I = 0; I < Attempt.Queries_ && I < 10; ++I)
    Pause = std::min(Pause * 2, Limits.QueryPauseMax_);
  ++Attempt.Queries_;
  Attempt.NextQuery_ = At.Now_ + Pause;
  ++At.Calls_.Counters_.Queries_;
  SendQuery Out{Attempt.Server_, {}, NewLink};
  *Out.Query_.mutable_id() = idOf(At.Calls_, Call, Attempt);
  Out.Query_.set_process(Attempt.Process_);
  At.Actions_.emplace_back(std::move(Out));
}

void proceed(Step &At, EntryCall &Call) {
  auto Free = [](const EntryCall & /*Call*/) { return true; };
  bool Costs = targetsReached(Call) > 0 || Call.Request_.suspect();
  if (allowsAnother(At, Call) &&
      sendAnother(At, Call, /*Hedge=*/false,
                  Costs ? At.Policy_.TakeRetry_ : Free)) {
    ++At.Calls_.Counters_.Retries_;
    return;
  }
  if (std::none_of(Call.Attempts_.begin(), Call.Attempts_.end(), isOpen))
    finishWithoutAnswer(At, Call, std::nullopt);
}

void finishWithoutAnswer(Step &At, EntryCall &Call,
                         std::optional<Error> Reason) {
  Finish Out;
  bool Late = Reason && Reason->Kind_ == ErrorKind::DeadlineExceeded;
  Out.Error_ = std::move(Reason);
  cancelOpen(At, Call, 0);
  if (provenNotRun(Call)) {
    // Not 504: with 504 the request may have run, and a caller must not repeat
    // such a request.
    if (Late)
      Out.Status_ = 503;
    Out.Run_ = wire::RUN_NOT_RUN;
    describeRefusal(At, Call, Out);
    ++At.Calls_.Counters_.NotRun_;
  } else {
    Out.Run_ = wire::RUN_UNKNOWN;
    Out.Status_ = Late ? 504 : 502;
    if (!Out.Error_)
      Out.Error_ = Error{ErrorKind::OutcomeUnknown,
                         "the call may have run, and its answer was lost",
                         "find out whether it took effect, or send it again "
                         "with the same idempotency key"};
    ++At.Calls_.Counters_.Unknown_;
  }
  end(At, Call, std::move(Out));
}

void finishDone(Step &At, EntryCall &Call, const CallAttempt &Answered,
                const wire::CallAnswer &Answer, std::string Body) {
  cancelOpen(At, Call, Answered.Number_);
  ++At.Calls_.Counters_.Done_;
  Finish Out;
  Out.Run_ = wire::RUN_DONE;
  Out.Status_ = Answer.status();
  Out.Answer_ = Answer;
  Out.Body_ = std::move(Body);
  end(At, Call, std::move(Out));
}

void finishDoneNoAnswer(Step &At, EntryCall &Call,
                        const wire::CallAnswer &Answer, Error Reason) {
  cancelOpen(At, Call, Answer.id().attempt());
  ++At.Calls_.Counters_.Done_;
  Finish Out;
  Out.Run_ = wire::RUN_DONE;
  Out.Status_ = 502;
  Out.Error_ = std::move(Reason);
  Out.Answer_ = Answer;
  end(At, Call, std::move(Out));
}

} // namespace sycamore::entrycalls

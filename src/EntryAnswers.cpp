// Handles the answers to attempts and to queries at the entry daemon.
#include "CallMutation.h"
#include "EntryCallsDetail.h"
#include "sycamore/CallBody.h"

namespace sycamore {
namespace {

using namespace entrycalls;

struct Match {
  EntryCall *Call_ = nullptr;
  CallAttempt *Attempt_ = nullptr;
};

/// Finds the attempt that an id in an answer of Server identifies. Counts
/// answers that match none.
Match matchId(EntryCalls &Calls, std::string_view Server,
              const wire::CallId &Id) {
  bool Ours = Id.entry() == Calls.Self_ &&
              (Id.incarnation() == Calls.Incarnation_ ||
               mutated(CallMutation::AnyIncarnationAnswers));
  if (!Ours || Id.sequence() >= Calls.NextSequence_) {
    ++Calls.Counters_.MismatchedAnswers_;
    return {};
  }
  auto Found = Calls.Calls_.find(Id.sequence());
  if (Found == Calls.Calls_.end()) {
    ++Calls.Counters_.LateAnswers_;
    return {};
  }
  auto &Attempts = Found->second.Attempts_;
  bool Known = Id.attempt() >= 1 && Id.attempt() <= Attempts.size();
  CallAttempt *Attempt = Known ? &Attempts[Id.attempt() - 1] : nullptr;
  bool Fits =
      Known && Attempt->Server_ == Server && Attempt->Ordinal_ == Id.ordinal();
  if (!Fits && !(Known && mutated(CallMutation::AnyIncarnationAnswers))) {
    ++Calls.Counters_.MismatchedAnswers_;
    return {};
  }
  return {&Found->second, Attempt};
}

/// Whether a statement that the attempt did not run comes from the process that
/// the attempt was sent to. A restarted daemon does not know which calls its
/// predecessor ran.
bool mayVouch(const CallAttempt &Attempt, std::uint64_t Process,
              bool AllowUnnamed) {
  if (mutated(CallMutation::RestartedDaemonVouches))
    return true;
  if (Attempt.Process_ == 0)
    return AllowUnnamed;
  return Attempt.Process_ == Process;
}

void takeDamaged(Step &At, Match Found, const wire::CallAnswer &Answer,
                 const Error &Reason) {
  ++At.Calls_.Counters_.DamagedAnswers_;
  CallAttempt &Attempt = *Found.Attempt_;
  // The target's daemon keeps the answer for a while and can send it again.
  if (++Attempt.DamagedAnswers_ <= At.Calls_.Limits_.MaxDamagedAnswers_) {
    Attempt.State_ = AttemptState::Running;
    queryAttempt(At, *Found.Call_, Attempt, /*NewLink=*/false);
    return;
  }
  if (!Found.Call_->Idempotent_) {
    finishDoneNoAnswer(
        At, *Found.Call_, Answer,
        Error{ErrorKind::InvalidData,
              "the call ran, but its answer was damaged: " + Reason.Message_,
              "find out what it did, or send it again with the same "
              "idempotency key"});
    return;
  }
  Attempt.State_ = AttemptState::Unknown;
  proceed(At, *Found.Call_);
}

void takeDone(Step &At, Match Found, const wire::CallAnswer &Answer,
              std::string Body) {
  if (!Answer.error_kind().empty()) {
    finishDoneNoAnswer(At, *Found.Call_, Answer,
                       Error{ErrorKind::OutcomeUnknown, Answer.error_message(),
                             "find out what the call did"});
    return;
  }
  auto Whole = checkBody(Body, Answer.body_size(), Answer.body_hash());
  if (!Whole && !mutated(CallMutation::NoBodyCheck)) {
    takeDamaged(At, Found, Answer, Whole.error());
    return;
  }
  finishDone(At, *Found.Call_, *Found.Attempt_, Answer, std::move(Body));
}

void takeNotRun(Step &At, Match Found, const wire::CallAnswer &Answer) {
  if (mayVouch(*Found.Attempt_, Answer.process(), /*AllowUnnamed=*/true)) {
    Found.Attempt_->State_ = AttemptState::NotRun;
    Found.Attempt_->ReachedTarget_ = Answer.reached_target();
    Found.Call_->Refusal_ = Answer;
  } else {
    ++At.Calls_.Counters_.ForeignProcesses_;
    Found.Attempt_->State_ = AttemptState::Unknown;
  }
  proceed(At, *Found.Call_);
}

/// The attempt's state after an answer to a query. With Process_ 0 the answer
/// cannot prove that the attempt did not run: it may come from a restarted
/// daemon.
AttemptState stateAfter(Step &At, const CallAttempt &Attempt,
                        const wire::CallQueryAnswer &Answer) {
  bool Same = Attempt.Process_ == 0 || Attempt.Process_ == Answer.process();
  switch (Answer.state()) {
  case wire::CALL_RUNNING:
  case wire::CALL_DONE:
    return Same ? AttemptState::Running : AttemptState::Unknown;
  case wire::CALL_REFUSED_FOR_GOOD:
    if (mayVouch(Attempt, Answer.process(), /*AllowUnnamed=*/false))
      return AttemptState::NotRun;
    break;
  default:
    break;
  }
  if (!Same)
    ++At.Calls_.Counters_.ForeignProcesses_;
  return AttemptState::Unknown;
}

} // namespace

CallActions onAnswer(EntryCalls &Calls, std::string_view Server,
                     const wire::CallAnswer &Answer, std::string Body,
                     const CallPolicy &Policy, TimePoint Now) {
  Step At{Calls, Policy, Now, {}};
  Match Found = matchId(Calls, Server, Answer.id());
  if (Found.Attempt_ == nullptr)
    return {};
  noteHeard(Calls, Server, Now);
  bool Done = Answer.run() == wire::RUN_DONE;
  // A RUN_DONE answer is accepted even after the attempt became Unknown.
  bool Settled = Found.Attempt_->State_ == AttemptState::NotRun ||
                 (Found.Attempt_->State_ == AttemptState::Unknown && !Done);
  if (Settled) {
    ++Calls.Counters_.DuplicateAnswers_;
    return {};
  }
  if (Done) {
    takeDone(At, Found, Answer, std::move(Body));
  } else if (Answer.run() == wire::RUN_NOT_RUN) {
    takeNotRun(At, Found, Answer);
  } else {
    Found.Attempt_->State_ = AttemptState::Unknown;
    proceed(At, *Found.Call_);
  }
  return std::move(At.Actions_);
}

CallActions onQueryAnswer(EntryCalls &Calls, std::string_view Server,
                          const wire::CallQueryAnswer &Answer,
                          const CallPolicy &Policy, TimePoint Now) {
  Step At{Calls, Policy, Now, {}};
  Match Found = matchId(Calls, Server, Answer.id());
  if (Found.Attempt_ == nullptr)
    return {};
  noteHeard(Calls, Server, Now);
  CallAttempt &Attempt = *Found.Attempt_;
  if (!isOpen(Attempt) || Attempt.State_ == AttemptState::Queued) {
    ++Calls.Counters_.DuplicateAnswers_;
    return {};
  }
  AttemptState Before = Attempt.State_;
  Attempt.State_ = stateAfter(At, Attempt, Answer);
  Attempt.Queries_ = 0;
  Attempt.NextQuery_ = Now + Calls.Limits_.RunningPause_;
  if (Before == AttemptState::InDoubt) {
    ++Calls.Counters_.ResolvedByQuery_;
    Calls.Events_.emplace_back(DoubtResolved{
        std::string(Server), Found.Call_->Sequence_, Answer.state()});
  }
  if (!isOpen(Attempt))
    proceed(At, *Found.Call_);
  return std::move(At.Actions_);
}

} // namespace sycamore

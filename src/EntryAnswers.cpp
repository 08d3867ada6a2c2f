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
  bool IsOwnId = Id.entry() == Calls.Self_ &&
                 (Id.incarnation() == Calls.Incarnation_ ||
                  mutationEnabled(CallMutation::AnyIncarnationAnswers));
  if (!IsOwnId || Id.sequence() >= Calls.NextSequence_) {
    ++Calls.Counters_.MismatchedAnswers_;
    return {};
  }
  auto Found = Calls.Calls_.find(Id.sequence());
  if (Found == Calls.Calls_.end()) {
    ++Calls.Counters_.LateAnswers_;
    return {};
  }
  auto &Attempts = Found->second.Attempts_;
  bool HasAttempt = Id.attempt() >= 1 && Id.attempt() <= Attempts.size();
  CallAttempt *Attempt = HasAttempt ? &Attempts[Id.attempt() - 1] : nullptr;
  bool Matches = HasAttempt && Attempt->Server_ == Server &&
                 Attempt->Ordinal_ == Id.ordinal();
  if (!Matches &&
      !(HasAttempt && mutationEnabled(CallMutation::AnyIncarnationAnswers))) {
    ++Calls.Counters_.MismatchedAnswers_;
    return {};
  }
  return {&Found->second, Attempt};
}

/// Whether a statement that the attempt did not run comes from the process that
/// the attempt was sent to. A restarted daemon does not know which calls its
/// predecessor ran.
bool canProveNotRun(const CallAttempt &Attempt, std::uint64_t Process,
                    bool AllowUnknownProcess) {
  if (mutationEnabled(CallMutation::RestartedDaemonVouches))
    return true;
  if (Attempt.Process_ == 0)
    return AllowUnknownProcess;
  return Attempt.Process_ == Process;
}

void handleDamagedAnswer(EventContext &Context, Match Found,
                         const wire::CallAnswer &Answer, const Error &Reason) {
  ++Context.Calls_.Counters_.DamagedAnswers_;
  CallAttempt &Attempt = *Found.Attempt_;
  // The target's daemon keeps the answer for a while and can send it again.
  if (++Attempt.DamagedAnswers_ <= Context.Calls_.Limits_.MaxDamagedAnswers_) {
    Attempt.State_ = AttemptState::Running;
    queryAttempt(Context, *Found.Call_, Attempt, /*ReplaceLink=*/false);
    return;
  }
  if (!Found.Call_->Idempotent_) {
    finishDoneWithoutAnswer(
        Context, *Found.Call_, Answer,
        Error{ErrorKind::InvalidData,
              "the call ran, but its answer was damaged: " + Reason.Message_,
              "find out what it did, or send it again with the same "
              "idempotency key"});
    return;
  }
  Attempt.State_ = AttemptState::Unknown;
  retryOrFinish(Context, *Found.Call_);
}

void handleDoneAnswer(EventContext &Context, Match Found,
                      const wire::CallAnswer &Answer, std::string Body) {
  if (!Answer.error_kind().empty()) {
    finishDoneWithoutAnswer(Context, *Found.Call_, Answer,
                            Error{ErrorKind::OutcomeUnknown,
                                  Answer.error_message(),
                                  "find out what the call did"});
    return;
  }
  auto BodyCheck = checkBody(Body, Answer.body_size(), Answer.body_hash());
  if (!BodyCheck && !mutationEnabled(CallMutation::NoBodyCheck)) {
    handleDamagedAnswer(Context, Found, Answer, BodyCheck.error());
    return;
  }
  finishDone(Context, *Found.Call_, *Found.Attempt_, Answer, std::move(Body));
}

void handleNotRunAnswer(EventContext &Context, Match Found,
                        const wire::CallAnswer &Answer) {
  if (canProveNotRun(*Found.Attempt_, Answer.process(),
                     /*AllowUnknownProcess=*/true)) {
    Found.Attempt_->State_ = AttemptState::NotRun;
    Found.Attempt_->ReachedTarget_ = Answer.reached_target();
    Found.Call_->Refusal_ = Answer;
  } else {
    ++Context.Calls_.Counters_.OtherProcessAnswers_;
    Found.Attempt_->State_ = AttemptState::Unknown;
  }
  retryOrFinish(Context, *Found.Call_);
}

/// The attempt's state after an answer to a query. With Process_ 0 the answer
/// cannot prove that the attempt did not run: it may come from a restarted
/// daemon.
AttemptState stateAfterQuery(EventContext &Context, const CallAttempt &Attempt,
                             const wire::CallQueryAnswer &Answer) {
  bool SameProcess =
      Attempt.Process_ == 0 || Attempt.Process_ == Answer.process();
  switch (Answer.state()) {
  case wire::CALL_RUNNING:
  case wire::CALL_DONE:
    return SameProcess ? AttemptState::Running : AttemptState::Unknown;
  case wire::CALL_REFUSED_FOR_GOOD:
    if (canProveNotRun(Attempt, Answer.process(),
                       /*AllowUnknownProcess=*/false))
      return AttemptState::NotRun;
    break;
  default:
    break;
  }
  if (!SameProcess)
    ++Context.Calls_.Counters_.OtherProcessAnswers_;
  return AttemptState::Unknown;
}

} // namespace

CallActions onAnswer(EntryCalls &Calls, std::string_view Server,
                     const wire::CallAnswer &Answer, std::string Body,
                     const CallPolicy &Policy, TimePoint Now) {
  EventContext Context{Calls, Policy, Now, {}};
  Match Found = matchId(Calls, Server, Answer.id());
  if (Found.Attempt_ == nullptr)
    return {};
  recordLinkActivity(Calls, Server, Now);
  bool Done = Answer.run() == wire::RUN_DONE;
  // A RUN_DONE answer is accepted even after the attempt became Unknown.
  bool AlreadyResolved =
      Found.Attempt_->State_ == AttemptState::NotRun ||
      (Found.Attempt_->State_ == AttemptState::Unknown && !Done);
  if (AlreadyResolved) {
    ++Calls.Counters_.DuplicateAnswers_;
    return {};
  }
  if (Done) {
    handleDoneAnswer(Context, Found, Answer, std::move(Body));
  } else if (Answer.run() == wire::RUN_NOT_RUN) {
    handleNotRunAnswer(Context, Found, Answer);
  } else {
    Found.Attempt_->State_ = AttemptState::Unknown;
    retryOrFinish(Context, *Found.Call_);
  }
  return std::move(Context.Actions_);
}

CallActions onQueryAnswer(EntryCalls &Calls, std::string_view Server,
                          const wire::CallQueryAnswer &Answer,
                          const CallPolicy &Policy, TimePoint Now) {
  EventContext Context{Calls, Policy, Now, {}};
  Match Found = matchId(Calls, Server, Answer.id());
  if (Found.Attempt_ == nullptr)
    return {};
  recordLinkActivity(Calls, Server, Now);
  CallAttempt &Attempt = *Found.Attempt_;
  if (!isOpen(Attempt) || Attempt.State_ == AttemptState::Queued) {
    ++Calls.Counters_.DuplicateAnswers_;
    return {};
  }
  AttemptState PreviousState = Attempt.State_;
  Attempt.State_ = stateAfterQuery(Context, Attempt, Answer);
  Attempt.UnansweredQueries_ = 0;
  Attempt.NextQueryAt_ = Now + Calls.Limits_.RequeryInterval_;
  if (PreviousState == AttemptState::InDoubt) {
    ++Calls.Counters_.ResolvedByQuery_;
    Calls.Events_.emplace_back(OutcomeResolved{
        std::string(Server), Found.Call_->Sequence_, Answer.state()});
  }
  if (!isOpen(Attempt))
    retryOrFinish(Context, *Found.Call_);
  return std::move(Context.Actions_);
}

} // namespace sycamore

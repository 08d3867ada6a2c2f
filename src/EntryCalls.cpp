#include "sycamore/EntryCalls.h"

#include "CallMutation.h"
#include "EntryCallsDetail.h"

#include <algorithm>

namespace sycamore {
namespace {

using namespace entrycalls;

void loseLink(Step &At, EntryCall &Call, std::string_view Server) {
  bool Changed = false;
  for (CallAttempt &Attempt : Call.Attempts_) {
    bool MayRun = Attempt.State_ == AttemptState::Sent ||
                  Attempt.State_ == AttemptState::Running;
    if (Attempt.Server_ != Server || !MayRun)
      continue;
    Attempt.State_ = AttemptState::InDoubt;
    queryAttempt(At, Call, Attempt, /*NewLink=*/false);
    Changed = true;
  }
  if (Changed)
    proceed(At, Call);
}

void loseServer(Step &At, EntryCall &Call, std::string_view Server,
                std::uint64_t Process) {
  bool Changed = false;
  for (CallAttempt &Attempt : Call.Attempts_) {
    if (Attempt.Server_ != Server || !isOpen(Attempt) ||
        Attempt.State_ == AttemptState::Queued || Attempt.Process_ == Process)
      continue;
    Attempt.State_ = AttemptState::Unknown;
    Changed = true;
  }
  if (Changed)
    proceed(At, Call);
}

/// Runs Act for each call, in order of sequence numbers. Act may remove calls.
template <typename Action> void forEachCall(Step &At, Action Act) {
  std::vector<std::uint64_t> Sequences;
  Sequences.reserve(At.Calls_.Calls_.size());
  for (const auto &[Sequence, Call] : At.Calls_.Calls_)
    Sequences.push_back(Sequence);
  // The iteration order of the hash table differs between library versions.
  std::sort(Sequences.begin(), Sequences.end());
  for (std::uint64_t Sequence : Sequences)
    if (auto Found = At.Calls_.Calls_.find(Sequence);
        Found != At.Calls_.Calls_.end())
      Act(Found->second);
}

/// Time since the last message on the attempt's link, or since the attempt was
/// sent if that is later.
Duration silenceOf(const Step &At, const CallAttempt &Attempt) {
  TimePoint Last = Attempt.SentAt_;
  if (auto Found = At.Calls_.Links_.find(Attempt.Server_);
      Found != At.Calls_.Links_.end())
    Last = std::max(Last, Found->second.HeardAt_);
  return At.Now_ - Last;
}

/// Whether to replace the link before a query; at most once per LinkDeadline_.
bool shouldReplaceLink(Step &At, const CallAttempt &Attempt, Duration Silence) {
  Duration Limit = At.Calls_.Limits_.LinkDeadline_;
  // Unanswered queries mean that the link carries nothing to the server any
  // more, although messages from the server still arrive.
  constexpr std::uint32_t UnansweredQueries = 3;
  if (Silence <= Limit && Attempt.Queries_ < UnansweredQueries)
    return false;
  ServerLink &Link = At.Calls_.Links_[Attempt.Server_];
  if (Link.ReplacedAt_ != TimePoint{} && At.Now_ - Link.ReplacedAt_ <= Limit)
    return false;
  Link.ReplacedAt_ = At.Now_;
  ++At.Calls_.Counters_.SilentLinks_;
  At.Calls_.Events_.emplace_back(LinkWentSilent{Attempt.Server_, Silence});
  return true;
}

void tickAttempt(Step &At, EntryCall &Call, CallAttempt &Attempt) {
  if (!isOpen(Attempt) || Attempt.State_ == AttemptState::Queued)
    return;
  Duration Silence = silenceOf(At, Attempt);
  bool Silent = Silence > At.Calls_.Limits_.LinkDeadline_;
  bool WentSilent = Silent && Attempt.State_ != AttemptState::InDoubt;
  if (WentSilent)
    Attempt.State_ = AttemptState::InDoubt;
  if (WentSilent || At.Now_ >= Attempt.NextQuery_)
    queryAttempt(At, Call, Attempt, shouldReplaceLink(At, Attempt, Silence));
}

void tickHedge(Step &At, EntryCall &Call) {
  if (!Call.HedgeAt_ || At.Now_ < *Call.HedgeAt_)
    return;
  Call.HedgeAt_.reset();
  auto Open =
      std::count_if(Call.Attempts_.begin(), Call.Attempts_.end(), isOpen);
  if (Open != 1 || !Call.Idempotent_ || !mayReachAnother(Call))
    return;
  if (sendAnother(At, Call, /*Hedge=*/true, At.Policy_.TakeHedge_))
    ++At.Calls_.Counters_.Hedges_;
}

void tickCall(Step &At, EntryCall &Call) {
  auto Open =
      std::count_if(Call.Attempts_.begin(), Call.Attempts_.end(), isOpen);
  if (At.Now_ >= Call.GiveUpAt_ || (At.Now_ >= Call.Deadline_ && Open == 0)) {
    ++At.Calls_.Counters_.DeadlinePassed_;
    finishWithoutAnswer(At, Call,
                        Error{ErrorKind::DeadlineExceeded,
                              "the deadline passed before an answer came",
                              "allow the call more time"});
    return;
  }
  for (CallAttempt &Attempt : Call.Attempts_)
    tickAttempt(At, Call, Attempt);
  tickHedge(At, Call);
  proceed(At, Call);
}

CallAttempt *findAttempt(EntryCalls &Calls, const wire::CallId &Id) {
  auto Found = Calls.Calls_.find(Id.sequence());
  if (Found == Calls.Calls_.end() || Id.incarnation() != Calls.Incarnation_)
    return nullptr;
  auto &Attempts = Found->second.Attempts_;
  if (Id.attempt() == 0 || Id.attempt() > Attempts.size())
    return nullptr;
  return &Attempts[Id.attempt() - 1];
}

} // namespace

std::vector<EntryCallEvent> takeEvents(EntryCalls &Calls) {
  return std::exchange(Calls.Events_, {});
}

CallActions beginCall(EntryCalls &Calls, EntryCall Call,
                      const CallPolicy &Policy, TimePoint Now) {
  Step At{Calls, Policy, Now, {}};
  Call.Sequence_ = Calls.NextSequence_++;
  Call.StartedAt_ = Now;
  Call.GiveUpAt_ = std::max(Call.GiveUpAt_, Call.Deadline_);
  if (Call.Idempotent_)
    if (auto Delay = Policy.HedgeDelay_(Call))
      Call.HedgeAt_ = Now + *Delay;
  ++Calls.Counters_.Begun_;
  std::uint64_t Sequence = Call.Sequence_;
  EntryCall &Entered =
      Calls.Calls_.emplace(Sequence, std::move(Call)).first->second;
  if (Now >= Entered.Deadline_) {
    finishWithoutAnswer(At, Entered,
                        Error{ErrorKind::DeadlineExceeded,
                              "the deadline had passed on arrival",
                              "allow the call more time"});
    return std::move(At.Actions_);
  }
  if (!sendAnother(At, Entered, /*Hedge=*/false,
                   [](const EntryCall &) { return true; }))
    finishWithoutAnswer(At, Entered,
                        Error{ErrorKind::Unavailable,
                              "service \"" + Entered.Service_ +
                                  "\" has no target that can take the call",
                              "send the request again later"});
  return std::move(At.Actions_);
}

void noteSent(EntryCalls &Calls, const wire::CallId &Id, TimePoint Now) {
  CallAttempt *Attempt = findAttempt(Calls, Id);
  if (Attempt == nullptr || Attempt->State_ != AttemptState::Queued)
    return;
  Attempt->State_ = AttemptState::Sent;
  Attempt->SentAt_ = Now;
  Attempt->NextQuery_ = Now + Calls.Limits_.AskAfter_;
}

CallActions onSendFailed(EntryCalls &Calls, const wire::CallId &Id,
                         const CallPolicy &Policy, TimePoint Now) {
  Step At{Calls, Policy, Now, {}};
  CallAttempt *Attempt = findAttempt(Calls, Id);
  if (Attempt == nullptr || Attempt->State_ != AttemptState::Queued)
    return {};
  Attempt->State_ = AttemptState::NotRun;
  proceed(At, Calls.Calls_.at(Id.sequence()));
  return std::move(At.Actions_);
}

void noteHeard(EntryCalls &Calls, std::string_view Server, TimePoint Now) {
  Calls.Links_[std::string(Server)].HeardAt_ = Now;
}

CallActions onLinkLost(EntryCalls &Calls, std::string_view Server,
                       const CallPolicy &Policy, TimePoint Now) {
  Step At{Calls, Policy, Now, {}};
  forEachCall(At, [&](EntryCall &Call) { loseLink(At, Call, Server); });
  return std::move(At.Actions_);
}

CallActions onServerLost(EntryCalls &Calls, std::string_view Server,
                         std::uint64_t Process, const CallPolicy &Policy,
                         TimePoint Now) {
  Step At{Calls, Policy, Now, {}};
  Calls.Links_.erase(std::string(Server));
  forEachCall(At,
              [&](EntryCall &Call) { loseServer(At, Call, Server, Process); });
  return std::move(At.Actions_);
}

CallActions onCallerGone(EntryCalls &Calls, std::uint64_t Sequence) {
  auto Found = Calls.Calls_.find(Sequence);
  if (Found == Calls.Calls_.end() || Found->second.KeepWhenCallerGone_)
    return {};
  ++Calls.Counters_.CallerGone_;
  CallActions Out;
  for (const CallAttempt &Attempt : Found->second.Attempts_) {
    if (!isOpen(Attempt))
      continue;
    SendCancel Cancel{Attempt.Server_, {}};
    *Cancel.Cancel_.mutable_id() = idOf(Calls, Found->second, Attempt);
    Out.emplace_back(std::move(Cancel));
    ++Calls.Counters_.Cancels_;
  }
  Calls.Calls_.erase(Found);
  return Out;
}

CallActions tickEntryCalls(EntryCalls &Calls, const CallPolicy &Policy,
                           TimePoint Now) {
  Step At{Calls, Policy, Now, {}};
  forEachCall(At, [&](EntryCall &Call) { tickCall(At, Call); });
  return std::move(At.Actions_);
}

} // namespace sycamore

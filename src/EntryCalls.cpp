#include "sycamore/EntryCalls.h"

#include "CallMutation.h"
#include "EntryCallsDetail.h"

#include <algorithm>

namespace sycamore {
namespace {

using namespace entrycalls;

void markLinkLost(EventContext &Context, EntryCall &Call,
                  std::string_view Server) {
  bool Changed = false;
  for (CallAttempt &Attempt : Call.Attempts_) {
    bool MayRun = Attempt.State_ == AttemptState::Sent ||
                  Attempt.State_ == AttemptState::Running;
    if (Attempt.Server_ != Server || !MayRun)
      continue;
    Attempt.State_ = AttemptState::InDoubt;
    queryAttempt(Context, Call, Attempt, /*ReplaceLink=*/false);
    Changed = true;
  }
  if (Changed)
    retryOrFinish(Context, Call);
}

void markServerRestarted(EventContext &Context, EntryCall &Call,
                         std::string_view Server, std::uint64_t Process) {
  bool Changed = false;
  for (CallAttempt &Attempt : Call.Attempts_) {
    if (Attempt.Server_ != Server || !isOpen(Attempt) ||
        Attempt.State_ == AttemptState::Queued || Attempt.Process_ == Process)
      continue;
    Attempt.State_ = AttemptState::Unknown;
    Changed = true;
  }
  if (Changed)
    retryOrFinish(Context, Call);
}

/// Runs Act for each call, in order of sequence numbers. Act may remove calls.
template <typename Action> void forEachCall(EventContext &Context, Action Act) {
  std::vector<std::uint64_t> Sequences;
  Sequences.reserve(Context.Calls_.Calls_.size());
  for (const auto &[Sequence, Call] : Context.Calls_.Calls_)
    Sequences.push_back(Sequence);
  // The iteration order of the hash table differs between library versions.
  std::sort(Sequences.begin(), Sequences.end());
  for (std::uint64_t Sequence : Sequences)
    if (auto Found = Context.Calls_.Calls_.find(Sequence);
        Found != Context.Calls_.Calls_.end())
      Act(Found->second);
}

/// Time since the last message on the attempt's link, or since the attempt was
/// sent if that is later. 0 for attempts at this server, which use no link.
Duration linkSilence(const EventContext &Context, const CallAttempt &Attempt) {
  if (Attempt.Server_ == Context.Calls_.Self_)
    return Duration(0);
  TimePoint Last = Attempt.SentAt_;
  if (auto Found = Context.Calls_.Links_.find(Attempt.Server_);
      Found != Context.Calls_.Links_.end())
    Last = std::max(Last, Found->second.HeardAt_);
  return Context.Now_ - Last;
}

/// Whether to replace the link before a query; at most once per LinkDeadline_.
bool shouldReplaceLink(EventContext &Context, const CallAttempt &Attempt,
                       Duration Silence) {
  Duration Limit = Context.Calls_.Limits_.LinkDeadline_;
  // Unanswered queries mean that the link carries nothing to the server any
  // more, although messages from the server still arrive.
  constexpr std::uint32_t UnansweredQueryLimit = 3;
  if (Silence <= Limit && Attempt.UnansweredQueries_ < UnansweredQueryLimit)
    return false;
  ServerLink &Link = Context.Calls_.Links_[Attempt.Server_];
  if (Link.ReplacedAt_ != TimePoint{} &&
      Context.Now_ - Link.ReplacedAt_ <= Limit)
    return false;
  Link.ReplacedAt_ = Context.Now_;
  ++Context.Calls_.Counters_.SilentLinks_;
  Context.Calls_.Events_.emplace_back(LinkSilent{Attempt.Server_, Silence});
  return true;
}

void tickAttempt(EventContext &Context, EntryCall &Call, CallAttempt &Attempt) {
  if (!isOpen(Attempt) || Attempt.State_ == AttemptState::Queued)
    return;
  Duration Silence = linkSilence(Context, Attempt);
  bool Silent = Silence > Context.Calls_.Limits_.LinkDeadline_;
  bool BecameSilent = Silent && Attempt.State_ != AttemptState::InDoubt;
  if (BecameSilent)
    Attempt.State_ = AttemptState::InDoubt;
  if (BecameSilent || Context.Now_ >= Attempt.NextQueryAt_)
    queryAttempt(Context, Call, Attempt,
                 shouldReplaceLink(Context, Attempt, Silence));
}

void tickHedge(EventContext &Context, EntryCall &Call) {
  if (!Call.HedgeAt_ || Context.Now_ < *Call.HedgeAt_)
    return;
  Call.HedgeAt_.reset();
  auto Open =
      std::count_if(Call.Attempts_.begin(), Call.Attempts_.end(), isOpen);
  if (Open != 1 || !Call.Idempotent_ || !mayReachAnotherTarget(Call))
    return;
  if (sendToNextTarget(Context, Call, /*Hedge=*/true,
                       Context.Policy_.ConsumeHedge_))
    ++Context.Calls_.Counters_.Hedges_;
}

void tickCall(EventContext &Context, EntryCall &Call) {
  auto Open =
      std::count_if(Call.Attempts_.begin(), Call.Attempts_.end(), isOpen);
  if (Context.Now_ >= Call.OutcomeDeadline_ ||
      (Context.Now_ >= Call.Deadline_ && Open == 0)) {
    ++Context.Calls_.Counters_.DeadlinePassed_;
    finishWithoutAnswer(Context, Call,
                        Error{ErrorKind::DeadlineExceeded,
                              "the deadline passed before an answer came",
                              "allow the call more time"});
    return;
  }
  for (CallAttempt &Attempt : Call.Attempts_)
    tickAttempt(Context, Call, Attempt);
  tickHedge(Context, Call);
  retryOrFinish(Context, Call);
}

void limitDeadline(EntryCall &Call, TimePoint Latest) {
  Call.Deadline_ = std::min(Call.Deadline_, Latest);
  Call.OutcomeDeadline_ = std::min(Call.OutcomeDeadline_, Latest);
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
  EventContext Context{Calls, Policy, Now, {}};
  Call.Sequence_ = Calls.NextSequence_++;
  Call.StartedAt_ = Now;
  Call.OutcomeDeadline_ = std::max(Call.OutcomeDeadline_, Call.Deadline_);
  limitDeadline(Call, Calls.LatestDeadline_);
  if (Call.Idempotent_)
    if (auto Delay = Policy.HedgeDelay_(Call))
      Call.HedgeAt_ = Now + *Delay;
  ++Calls.Counters_.Begun_;
  std::uint64_t Sequence = Call.Sequence_;
  EntryCall &Added =
      Calls.Calls_.emplace(Sequence, std::move(Call)).first->second;
  if (Now >= Added.Deadline_) {
    finishWithoutAnswer(Context, Added,
                        Error{ErrorKind::DeadlineExceeded,
                              "the deadline had passed on arrival",
                              "allow the call more time"});
    return std::move(Context.Actions_);
  }
  if (!sendToNextTarget(Context, Added, /*Hedge=*/false,
                        [](const EntryCall &) { return true; }))
    finishWithoutAnswer(Context, Added,
                        Error{ErrorKind::Unavailable,
                              "service \"" + Added.Service_ +
                                  "\" has no target that can take the call",
                              "send the request again later"});
  return std::move(Context.Actions_);
}

void limitDeadlines(EntryCalls &Calls, TimePoint Latest) {
  Calls.LatestDeadline_ = Latest;
  for (auto &[Sequence, Call] : Calls.Calls_)
    limitDeadline(Call, Latest);
}

void markSent(EntryCalls &Calls, const wire::CallId &Id, TimePoint Now) {
  CallAttempt *Attempt = findAttempt(Calls, Id);
  if (Attempt == nullptr || Attempt->State_ != AttemptState::Queued)
    return;
  Attempt->State_ = AttemptState::Sent;
  Attempt->SentAt_ = Now;
  Attempt->NextQueryAt_ = Now + Calls.Limits_.QueryAfter_;
}

CallActions onSendFailed(EntryCalls &Calls, const wire::CallId &Id,
                         const CallPolicy &Policy, TimePoint Now) {
  EventContext Context{Calls, Policy, Now, {}};
  CallAttempt *Attempt = findAttempt(Calls, Id);
  if (Attempt == nullptr || Attempt->State_ != AttemptState::Queued)
    return {};
  Attempt->State_ = AttemptState::NotRun;
  retryOrFinish(Context, Calls.Calls_.at(Id.sequence()));
  return std::move(Context.Actions_);
}

void recordLinkActivity(EntryCalls &Calls, std::string_view Server,
                        TimePoint Now) {
  Calls.Links_[std::string(Server)].HeardAt_ = Now;
}

CallActions onLinkLost(EntryCalls &Calls, std::string_view Server,
                       const CallPolicy &Policy, TimePoint Now) {
  EventContext Context{Calls, Policy, Now, {}};
  forEachCall(Context,
              [&](EntryCall &Call) { markLinkLost(Context, Call, Server); });
  return std::move(Context.Actions_);
}

CallActions onServerRestarted(EntryCalls &Calls, std::string_view Server,
                              std::uint64_t Process, const CallPolicy &Policy,
                              TimePoint Now) {
  EventContext Context{Calls, Policy, Now, {}};
  Calls.Links_.erase(std::string(Server));
  forEachCall(Context, [&](EntryCall &Call) {
    markServerRestarted(Context, Call, Server, Process);
  });
  return std::move(Context.Actions_);
}

CallActions onCallerDisconnected(EntryCalls &Calls, std::uint64_t Sequence) {
  auto Found = Calls.Calls_.find(Sequence);
  if (Found == Calls.Calls_.end() || Found->second.ContinueAfterDisconnect_)
    return {};
  ++Calls.Counters_.CallerDisconnected_;
  CallActions Out;
  for (const CallAttempt &Attempt : Found->second.Attempts_) {
    if (!isOpen(Attempt))
      continue;
    SendCancel Cancel{Attempt.Server_, {}};
    *Cancel.Cancel_.mutable_id() = makeCallId(Calls, Found->second, Attempt);
    Out.emplace_back(std::move(Cancel));
    ++Calls.Counters_.Cancels_;
  }
  Calls.Calls_.erase(Found);
  return Out;
}

CallActions tickEntryCalls(EntryCalls &Calls, const CallPolicy &Policy,
                           TimePoint Now) {
  EventContext Context{Calls, Policy, Now, {}};
  forEachCall(Context, [&](EntryCall &Call) { tickCall(Context, Call); });
  return std::move(Context.Actions_);
}

} // namespace sycamore

// Finds a server that watches the store in the place of a reader, and serves
// such requests of other readers.
#include "sycamore/WatchDelegation.h"

#include <algorithm>
#include <utility>

namespace sycamore {
namespace {

/// Servers of the own data centre in the order in which they are asked: the
/// other readers, which may have the store, then the ring from the server that
/// was asked last, with the faster links first.
std::vector<std::string> candidates(const WatchDelegation &State,
                                    const Membership &Members) {
  const std::string &Own = Members.Config_.Name_;
  std::vector<std::string> Out =
      readersOf(Members, Members.Config_.DataCentre_);
  std::vector<std::string> Ring = Members.Overlay_.Ring_;
  auto Start = std::find(Ring.begin(), Ring.end(), State.LastAsked_);
  if (Start == Ring.end())
    Start = std::find(Ring.begin(), Ring.end(), Own);
  std::rotate(Ring.begin(), Start, Ring.end());
  auto ClassOf = [&](const std::string &Name) {
    const wire::ServerRecord *Record = findServer(Members, Name);
    return Record ? linkClass(*Record) : 0;
  };
  std::stable_sort(Ring.begin(), Ring.end(),
                   [&](const std::string &A, const std::string &B) {
                     return ClassOf(A) > ClassOf(B);
                   });
  Out.insert(Out.end(), Ring.begin(), Ring.end());
  std::erase_if(Out, [&](const std::string &Name) {
    const wire::ServerRecord *Record = findServer(Members, Name);
    return Name == Own || !Record || Record->state() != wire::SERVER_ALIVE;
  });
  return Out;
}

void sendRequest(WatchDelegation &State, const std::string &To, Outbox &Out) {
  Out.push_back({To, {}, {}});
  Out.back().Message_.mutable_watch_request();
  ++State.Counters_.RequestsSent_;
}

void sendReport(const std::string &To, bool Answered, Outbox &Out) {
  Out.push_back({To, {}, {}});
  Out.back().Message_.mutable_watch_report()->set_answered(Answered);
}

WatchDelegationEvent makeEvent(const WatchDelegation &State,
                               WatchDelegationEventKind Kind, Now Time) {
  return {Kind, State.Delegate_ ? State.Delegate_->Server_ : std::string(),
          State.UnansweredSince_ ? Time.Monotonic_ - *State.UnansweredSince_
                                 : Duration(0),
          static_cast<std::uint32_t>(State.Asked_.size())};
}

void startPass(WatchDelegation &State, TimePoint At) {
  State.Asked_.clear();
  State.NextRound_ = At;
}

/// Asks the next servers of the pass; ends the pass when none is left.
void askNextServers(WatchDelegation &State, const Membership &Members, Now Time,
                    Random &Rng, Outbox &Out, WatchDelegationEvents &Events) {
  if (Time.Monotonic_ < State.NextRound_)
    return;
  State.NextRound_ = Time.Monotonic_ + State.Config_.RoundInterval_;
  std::uint32_t AskedNow = 0;
  for (const std::string &Name : candidates(State, Members)) {
    if (AskedNow == State.Config_.AskedPerRound_ ||
        State.Asked_.size() >= State.Config_.AskedPerPass_)
      break;
    if (!State.Asked_.insert(Name).second)
      continue;
    State.LastAsked_ = Name;
    sendRequest(State, Name, Out);
    ++AskedNow;
  }
  if (AskedNow > 0)
    return;
  ++State.Counters_.PassesFailed_;
  Events.push_back(
      makeEvent(State, WatchDelegationEventKind::PassFailed, Time));
  startPass(State, Time.Monotonic_ + std::chrono::duration_cast<Duration>(
                                         State.Config_.PassPause_ *
                                         (0.75 + 0.5 * randomUnit(Rng))));
}

void loseDelegate(WatchDelegation &State, Now Time,
                  WatchDelegationEvents &Events) {
  Events.push_back(
      makeEvent(State, WatchDelegationEventKind::DelegateLost, Time));
  State.Delegate_.reset();
  startPass(State, Time.Monotonic_);
}

void renewDelegate(WatchDelegation &State, Now Time, Outbox &Out,
                   WatchDelegationEvents &Events) {
  WatchDelegate &Delegate = *State.Delegate_;
  if (Time.Monotonic_ - Delegate.ReportedAt_ >=
      State.Config_.DelegateTimeout_) {
    loseDelegate(State, Time, Events);
    return;
  }
  if (Time.Monotonic_ - Delegate.RequestedAt_ < State.Config_.RenewInterval_)
    return;
  Delegate.RequestedAt_ = Time.Monotonic_;
  sendRequest(State, Delegate.Server_, Out);
}

/// Tells delegators that the store answers, and drops those that no longer ask.
void serveDelegators(WatchDelegation &State, WatchState Watch, Now Time,
                     Outbox &Out) {
  std::erase_if(State.Delegators_, [Time](const auto &Item) {
    return Time.Monotonic_ >= Item.second.Until_;
  });
  if (!Watch.Answered_)
    return;
  for (auto &[Name, Delegator] : State.Delegators_)
    if (!std::exchange(Delegator.Reported_, true))
      sendReport(Name, true, Out);
}

} // namespace

WatchDelegationEvents tickWatchDelegation(WatchDelegation &State,
                                          const Membership &Members,
                                          WatchState Watch, Now Time,
                                          Random &Rng, Outbox &Out) {
  WatchDelegationEvents Events;
  serveDelegators(State, Watch, Time, Out);
  if (!Watch.IsReader_ || Watch.Answered_) {
    if (State.Delegate_)
      Events.push_back(
          makeEvent(State, WatchDelegationEventKind::Resumed, Time));
    State.Delegate_.reset();
    State.UnansweredSince_.reset();
    startPass(State, Time.Monotonic_);
    return Events;
  }
  if (!State.UnansweredSince_)
    State.UnansweredSince_ = Time.Monotonic_;
  if (!State.Config_.EnabledForTest_ ||
      Time.Monotonic_ - *State.UnansweredSince_ < State.Config_.DelegateAfter_)
    return Events;
  if (State.Delegate_)
    renewDelegate(State, Time, Out, Events);
  else
    askNextServers(State, Members, Time, Rng, Out, Events);
  return Events;
}

WatchDelegationEvents receiveWatchDelegation(WatchDelegation &State,
                                             const wire::PeerMessage &Message,
                                             WatchState Watch, Now Time,
                                             Outbox &Out) {
  WatchDelegationEvents Events;
  const std::string &Sender = Message.sender();
  if (Message.has_watch_request()) {
    ++State.Counters_.RequestsReceived_;
    WatchDelegator &Delegator = State.Delegators_[Sender];
    Delegator.Until_ = Time.Monotonic_ + State.Config_.Term_;
    Delegator.Reported_ = Watch.Answered_;
    if (Watch.Answered_)
      sendReport(Sender, true, Out);
    return Events;
  }
  if (!Message.has_watch_report() || !State.UnansweredSince_)
    return Events;
  bool Answered = Message.watch_report().answered();
  if (!State.Delegate_ && Answered) {
    State.Delegate_ = {Sender, Time.Monotonic_, Time.Monotonic_};
    ++State.Counters_.Delegations_;
    Events.push_back(
        makeEvent(State, WatchDelegationEventKind::DelegateFound, Time));
  } else if (State.Delegate_ && State.Delegate_->Server_ == Sender) {
    if (Answered)
      State.Delegate_->ReportedAt_ = Time.Monotonic_;
    else
      loseDelegate(State, Time, Events);
  }
  return Events;
}

void reportWatchFailed(WatchDelegation &State, Outbox &Out) {
  for (const auto &[Name, Delegator] : State.Delegators_)
    sendReport(Name, false, Out);
  State.Delegators_.clear();
}

bool watchesForOthers(const WatchDelegation &State) {
  return !State.Delegators_.empty();
}

std::vector<std::string> delegatorsOf(const WatchDelegation &State) {
  std::vector<std::string> Out;
  for (const auto &[Name, Delegator] : State.Delegators_)
    Out.push_back(Name);
  return Out;
}

} // namespace sycamore

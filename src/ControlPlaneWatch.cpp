// The control plane's watch of the configuration in the store, for this daemon
// as a reader and for readers that the store does not answer.
#include "ControlPlane.h"
#include "sycamore/Log.h"

#include <algorithm>
#include <utility>

namespace sycamore {
namespace {

LogEvent logEventOf(WatchDelegationEventKind Kind) {
  switch (Kind) {
  case WatchDelegationEventKind::DelegateFound:
    return LogEvent::WatchDelegated;
  case WatchDelegationEventKind::DelegateLost:
    return LogEvent::WatchDelegateLost;
  case WatchDelegationEventKind::PassFailed:
    return LogEvent::WatchDelegateNotFound;
  case WatchDelegationEventKind::Resumed:
    return LogEvent::WatchResumed;
  }
  return LogEvent::WatchDelegated;
}

void logDelegation(const WatchDelegationEvents &Events) {
  for (const WatchDelegationEvent &Event : Events)
    logEvent(logEventOf(Event.Kind_),
             {{"peer", Event.Server_},
              {"unanswered_ms", toMilliseconds(Event.Unanswered_)},
              {"asked", Event.Asked_}});
}

} // namespace

void ControlPlane::tickWatch(Now Time, Outbox &Out) {
  if (WatchFailure_)
    endFailedWatch(Time, Out);
  logDelegation(tickWatchDelegation(Delegation_, Members_, watchState(), Time,
                                    Rng_, Out));
  if (!IsReader_ && !watchesForOthers(Delegation_))
    Watch_.reset();
  else if (!Watch_ && mayStartWatch(WatchRetry_, Time))
    startWatch(Time);
  if (watchState().Answered_ && std::exchange(ReadAfterGap_, false))
    readStore(/*ForFloor=*/false, Time);
}

WatchState ControlPlane::watchState() const {
  return {IsReader_, Watch_ && !WatchFailure_ && Watch_->answeredAt()};
}

std::vector<std::string> ControlPlane::announcementTargets() const {
  std::vector<std::string> Out = delegatorsOf(Delegation_);
  for (std::string &Name : neighbours(Members_))
    if (std::find(Out.begin(), Out.end(), Name) == Out.end())
      Out.push_back(std::move(Name));
  return Out;
}

void ControlPlane::receiveWatchMessage(const wire::PeerMessage &Message,
                                       Now Time, Outbox &Out) {
  bool WatchedForOthers = watchesForOthers(Delegation_);
  logDelegation(
      receiveWatchDelegation(Delegation_, Message, watchState(), Time, Out));
  if (!WatchedForOthers && watchesForOthers(Delegation_))
    logEvent(LogEvent::WatchRequested, {{"peer", Message.sender()}});
}

void ControlPlane::endFailedWatch(Now Time, Outbox &Out) {
  TimePoint AnsweredAt = Watch_->answeredAt().value_or(WatchRetry_.StartedAt_);
  Watch_.reset();
  recordWatchFailed(WatchRetry_, Time, Rng_);
  logEvent(
      LogEvent::WatchEnded,
      {{"error", describe(*WatchFailure_)},
       {"lasted_ms", toMilliseconds(Time.Monotonic_ - WatchRetry_.StartedAt_)},
       {"unanswered_ms", toMilliseconds(Time.Monotonic_ - AnsweredAt)},
       {"retry_ms", toMilliseconds(WatchRetry_.NextAt_ - Time.Monotonic_)}});
  WatchFailure_.reset();
  reportWatchFailed(Delegation_, Out);
}

void ControlPlane::startWatch(Now Time) {
  // A watch reports no earlier changes. A reader's first watch needs no read,
  // because tickReader() requests one.
  ReadAfterGap_ = !IsReader_ || Counters_.WatchesStarted_ > 0;
  ++Counters_.WatchesStarted_;
  Duration Away = recordWatchStarted(WatchRetry_, Time);
  logEvent(LogEvent::WatchStarted, {{"away_ms", toMilliseconds(Away)}});
  Watch_ = Store_.watch(
      Integration_ ? Integration_->watchedKey() : headKey(), 0,
      [this](const KeyValue &Entry) {
        LoopTaskTimer Timer(Work_, LoopTask::StoreAnswer);
        ++Counters_.WatchEvents_;
        if (Integration_ && Entry.Key_ != configurationKey()) {
          onOtherKey(Entry);
          return;
        }
        if (!Integration_)
          applyHead(Entry.Value_, nullptr);
        else if (!Entry.Value_.empty())
          applyDocument(Entry.Value_);
        recordStoredTicket(Entry.Value_, Entry.ModRevision_);
      },
      [this](const Error &Failure) { WatchFailure_ = Failure; });
}

} // namespace sycamore

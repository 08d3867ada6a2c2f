// The roll-outs that this daemon decides, and their state in the store.
#include "RolloutControl.h"

#include "sycamore/Clock.h"
#include "sycamore/Log.h"

#include <algorithm>

namespace sycamore {
namespace {

/// Between two messages with the same step. Three may be lost before another
/// reader takes over.
constexpr Duration RenewInterval = milliseconds(250);

/// After a call to the store that failed.
constexpr Duration StoreRetryInterval = milliseconds(300);

/// Steps that a new holder leaves to the messages of the former one that are
/// still under way.
constexpr std::uint64_t TakeoverStepGap = 1000;

/// A verdict is repeated this long after its status.
constexpr Duration VerdictRepeatTime = seconds(2);

} // namespace

RolloutControl::HeldRollout *
RolloutControl::findHeld(const std::string &Service, std::uint64_t Generation) {
  auto Found = Held_.find(Service);
  return Found != Held_.end() && Found->second.Generation_ == Generation
             ? &Found->second
             : nullptr;
}

void RolloutControl::release(const std::string &Service, bool Settled) {
  Held_.erase(Service);
  if (auto Known = Orders_.find(Service); Known != Orders_.end())
    Known->second.Settled_ = Settled;
}

void RolloutControl::takeOver(const RolloutOrder &Order, Now Time) {
  HeldRollout Held;
  Held.Generation_ = NextGeneration_++;
  wire::RolloutState State;
  State.set_service(Order.Service_);
  State.set_target_version(Order.TargetVersion_);
  State.set_order_revision(Order.Revision_);
  State.set_holder(Settings_.Server_);
  Held.Holder_ =
      makeRolloutHolder(Order, State, Time.Monotonic_, Time.Monotonic_);
  Held.OrderedUnixMs_ =
      std::chrono::floor<milliseconds>(Time.Wall_).time_since_epoch().count();
  Held_[Order.Service_] = std::move(Held);
}

void RolloutControl::tickHeld(HeldRollout &Held, Now Time) {
  if (Held.Published_ && !Held.CallInFlight_ && !Held.MustRead_ &&
      Time.Monotonic_ - Held.PublishedAt_ >= VerdictRepeatTime) {
    release(Held.Holder_.Order_.Service_, /*Settled=*/true);
    return;
  }
  if (Held.Begun_) {
    decide(Held, Time);
    renew(Held, Time);
  }
  advanceStore(Held, Time);
}

void RolloutControl::renew(HeldRollout &Held, Now Time) {
  if (Time.Monotonic_ - Held.Holder_.RenewedAt_ >= RenewInterval)
    putInForce(Held, Held.Holder_.State_, Time);
}

void RolloutControl::putInForce(HeldRollout &Held, wire::RolloutState State,
                                Now Time) {
  const wire::RolloutState &Before = Held.Holder_.State_;
  State.set_step(std::max(State.step(), Before.step()) + 1);
  State.set_holder(Settings_.Server_);
  if (State.phase() != Before.phase() ||
      State.share_permille() != Before.share_permille())
    ++Counters_.StepsSet_;
  setHolderState(Held.Holder_, State, Time.Monotonic_);
  Held.Holder_.RenewedAt_ = Time.Monotonic_;
  applyState(State, Settings_.Server_, Time);
  spread(State, "");
}

void RolloutControl::decide(HeldRollout &Held, Now Time) {
  RolloutHolder &Holder = Held.Holder_;
  RolloutDecision Decision =
      planRollout(Holder, fleetOf(Holder.Order_), Time.Monotonic_);
  if (Decision.Action_ == RolloutAction::None)
    return;
  wire::RolloutState Next = Holder.State_;
  bool Falls = Decision.SharePermille_ < Next.share_permille();
  Next.set_share_permille(Decision.SharePermille_);
  if (Decision.Action_ == RolloutAction::RollBack)
    Next.set_phase(wire::ROLLOUT_ROLLED_BACK);
  else if (Decision.Action_ == RolloutAction::Complete)
    Next.set_phase(wire::ROLLOUT_COMPLETED);
  if (Decision.Action_ == RolloutAction::RollBack || Falls) {
    // Less for the new version takes effect at once, also without the store.
    Held.Pending_.reset();
    Held.Stored_ = false;
    if (isFinished(Next)) {
      ++Counters_.RolledBack_;
      logEvent(LogEvent::RolloutDecided,
               {{"service", Next.service()},
                {"target_version", Next.target_version()},
                {"verdict", "rolled_back"},
                {"reason", Decision.Reason_},
                {"new_requests", Holder.NewSent_},
                {"old_requests", Holder.OldSent_}});
    }
    putInForce(Held, std::move(Next), Time);
    return;
  }
  if (Held.Pending_ || Held.CallInFlight_ || Held.MustRead_)
    return;
  Held.Pending_ = std::move(Next);
}

// One call at a time: the state as it is stored, then what is to be in force,
// then the status of the verdict once every daemon has applied it.
void RolloutControl::advanceStore(HeldRollout &Held, Now Time) {
  if (Held.CallInFlight_ || Time.Monotonic_ < Held.NextCallAt_)
    return;
  const RolloutHolder &Holder = Held.Holder_;
  if (Held.MustRead_)
    readState(Held, Time);
  else if (Held.Pending_)
    writeState(Held, *Held.Pending_, /*Publish=*/false, Time);
  else if (!Held.Stored_)
    writeState(Held, Holder.State_, /*Publish=*/false, Time);
  else if (isFinished(Holder.State_) && !Held.Published_ &&
           isVerdictApplied(Holder, fleetOf(Holder.Order_), Time.Monotonic_))
    writeState(Held, Holder.State_, /*Publish=*/true, Time);
}

void RolloutControl::readState(HeldRollout &Held, Now Time) {
  Held.CallInFlight_ = true;
  Held.NextCallAt_ = Time.Monotonic_ + StoreRetryInterval;
  const std::string &Service = Held.Holder_.Order_.Service_;
  RangeRequest Request;
  Request.Key_ = rolloutKey(Service);
  Store_.range(Request, Settings_.Store_.Timeout_,
               [this, Service, Generation = Held.Generation_](
                   const Result<RangeResult> &Answer) {
                 onStateRead(Service, Generation, Answer);
               });
}

void RolloutControl::onStateRead(const std::string &Service,
                                 std::uint64_t Generation,
                                 const Result<RangeResult> &Answer) {
  HeldRollout *Held = findHeld(Service, Generation);
  if (!Held)
    return;
  Now Time = readClocks();
  Held->CallInFlight_ = false;
  if (!Answer) {
    onCallFailed(*Held, describe(Answer.error()), Time);
    return;
  }
  Held->NextCallAt_ = Time.Monotonic_;
  std::optional<RolloutRecord> Stored;
  Held->StateRevision_ = 0;
  if (!Answer->Values_.empty()) {
    Held->StateRevision_ = Answer->Values_.front().ModRevision_;
    auto Parsed = parseRolloutRecord(Answer->Values_.front().Value_);
    if (Parsed)
      Stored = std::move(*Parsed);
    else // It is replaced; the state in force is known from the peers.
      logEvent(LogEvent::RolloutStoreFailed,
               {{"service", Service}, {"error", describe(Parsed.error())}});
  }
  Held->MustRead_ = false;
  useStoredState(*Held, Stored, Time);
}

void RolloutControl::useStoredState(HeldRollout &Held,
                                    const std::optional<RolloutRecord> &Stored,
                                    Now Time) {
  const std::string Service = Held.Holder_.Order_.Service_;
  std::int64_t Revision = Held.Holder_.Order_.Revision_;
  if (Stored && Stored->State_.order_revision() > Revision) {
    if (applyState(Stored->State_, "store", Time))
      spread(Stored->State_, "");
    release(Service, /*Settled=*/true);
    return;
  }
  bool IsSameOrder = Stored && Stored->State_.order_revision() == Revision;
  if (!Held.Begun_) {
    begin(Held, IsSameOrder ? Stored : std::nullopt, Time);
    return;
  }
  if (IsSameOrder && Stored->State_.holder() != Settings_.Server_) {
    if (applyState(Stored->State_, "store", Time))
      spread(Stored->State_, "");
    release(Service, /*Settled=*/false);
    return;
  }
  auto Matches = [&](const wire::RolloutState &State) {
    return IsSameOrder && Stored->State_.phase() == State.phase() &&
           Stored->State_.share_permille() == State.share_permille();
  };
  if (Held.Pending_ && Matches(*Held.Pending_))
    putInForce(Held, *Held.Pending_, Time);
  Held.Pending_.reset();
  Held.Stored_ = Matches(Held.Holder_.State_);
  Held.Published_ = Held.Stored_ && Stored->Published_;
  Held.PublishedAt_ = Time.Monotonic_;
}

void RolloutControl::begin(HeldRollout &Held,
                           const std::optional<RolloutRecord> &Stored,
                           Now Time) {
  const RolloutOrder Order = Held.Holder_.Order_;
  wire::RolloutState State = Held.Holder_.State_;
  auto Known = Table_.Rollouts_.find(Order.Service_);
  bool IsKnown = Known != Table_.Rollouts_.end() &&
                 Known->second.State_.order_revision() == Order.Revision_;
  std::uint64_t Step = 0;
  TimePoint OrderedAt = Time.Monotonic_;
  if (IsKnown) {
    State = Known->second.State_;
    Step = State.step();
  }
  if (Stored) {
    Step = std::max(Step, Stored->State_.step());
    if (!IsKnown || replacesState(Stored->State_, State))
      State = Stored->State_;
    Held.OrderedUnixMs_ = Stored->OrderedUnixMs_;
    Duration Age = Time.Wall_ - WallTime(milliseconds(Stored->OrderedUnixMs_));
    OrderedAt -= std::clamp<Duration>(Age, Duration(0), Order.Duration_);
    Held.Published_ = Stored->Published_ && isFinished(Stored->State_);
  }
  if (Held.Published_ && IsKnown && State.phase() == Stored->State_.phase()) {
    release(Order.Service_, /*Settled=*/true);
    return;
  }
  if (IsKnown || Stored) {
    ++Counters_.Takeovers_;
    Step += TakeoverStepGap;
  }
  logEvent(LogEvent::RolloutHolderBegan,
           {{"service", Order.Service_},
            {"target_version", Order.TargetVersion_},
            {"revision", Order.Revision_},
            {"former", State.holder()},
            {"share_permille", State.share_permille()}});
  State.set_step(Step);
  Held.Holder_ = makeRolloutHolder(Order, State, OrderedAt, Time.Monotonic_);
  Held.Begun_ = true;
  Held.Stored_ = Held.Published_;
  Held.PublishedAt_ = Time.Monotonic_;
  putInForce(Held, State, Time);
}

void RolloutControl::writeState(HeldRollout &Held,
                                const wire::RolloutState &State, bool Publish,
                                Now Time) {
  Held.CallInFlight_ = true;
  Held.NextCallAt_ = Time.Monotonic_;
  RolloutRecord Record{State, Held.OrderedUnixMs_, Publish};
  Record.State_.set_holder(Settings_.Server_);
  KeyValue Status = Integration_->formatRolloutStatus(
      State.service(), State.target_version(),
      Publish ? State.phase() : wire::ROLLOUT_RUNNING);
  std::string Key = rolloutKey(State.service());
  Txn Request;
  Request.Compares_ = {Compare{Key, Held.StateRevision_}};
  Request.Puts_ = {Put{Key, encodeRolloutRecord(Record), 0},
                   Put{Status.Key_, Status.Value_, 0}};
  Store_.txn(Request, Settings_.Store_.Timeout_,
             [this, State, Publish,
              Generation = Held.Generation_](const Result<TxnResult> &Answer) {
               onStateWritten(State.service(), Generation, State, Publish,
                              Answer);
             });
}

void RolloutControl::onStateWritten(const std::string &Service,
                                    std::uint64_t Generation,
                                    const wire::RolloutState &State,
                                    bool Publish,
                                    const Result<TxnResult> &Answer) {
  HeldRollout *Held = findHeld(Service, Generation);
  if (!Held)
    return;
  Now Time = readClocks();
  Held->CallInFlight_ = false;
  if (!Answer || !Answer->Succeeded_) {
    onCallFailed(*Held,
                 Answer ? "the state was changed concurrently"
                        : describe(Answer.error()),
                 Time);
    return;
  }
  Held->StateRevision_ = Answer->Revision_;
  if (Held->Pending_) {
    bool Completes = isFinished(*Held->Pending_);
    wire::RolloutState Next = *std::exchange(Held->Pending_, std::nullopt);
    if (Completes) {
      ++Counters_.Completed_;
      logEvent(LogEvent::RolloutDecided,
               {{"service", Service},
                {"target_version", State.target_version()},
                {"verdict", "completed"},
                {"reason", "evidence"},
                {"new_requests", Held->Holder_.NewSent_},
                {"old_requests", Held->Holder_.OldSent_}});
    }
    putInForce(*Held, std::move(Next), Time);
  }
  const wire::RolloutState &InForce = Held->Holder_.State_;
  Held->Stored_ = InForce.phase() == State.phase() &&
                  InForce.share_permille() == State.share_permille();
  if (!Publish)
    return;
  Held->Published_ = true;
  Held->PublishedAt_ = Time.Monotonic_;
  logEvent(LogEvent::RolloutStatusWritten,
           {{"service", Service}, {"target_version", State.target_version()}});
}

void RolloutControl::onCallFailed(HeldRollout &Held, std::string_view Reason,
                                  Now Time) {
  // A write may have taken effect, so the state is read before the next one.
  ++Counters_.StoreFailures_;
  Held.MustRead_ = true;
  Held.NextCallAt_ = Time.Monotonic_ + StoreRetryInterval;
  logEvent(LogEvent::RolloutStoreFailed,
           {{"service", Held.Holder_.Order_.Service_}, {"error", Reason}});
}

} // namespace sycamore

// Entry daemons of the simulation.
#include "Simulation.h"

#include <algorithm>

namespace sycamore::bench {

std::size_t Simulation::newCall(const Call &CurrentCall) {
  Calls_.push_back(CurrentCall);
  return Calls_.size() - 1;
}

std::string Simulation::routeOf(const Call &CurrentCall) const {
  const Workload &Kind = Config_.Workloads_[CurrentCall.Workload_];
  return CurrentCall.Long_ && Kind.LongHaveOwnRoute_ ? Kind.Route_ + "-long"
                                                     : Kind.Route_;
}

std::string Simulation::costKeyOf(const Call &CurrentCall) const {
  return routeOf(CurrentCall) + '/' + std::to_string(CurrentCall.Depth_);
}

Duration Simulation::delayBetween(std::size_t Left, std::size_t Right) const {
  if (Left == Right)
    return Duration{0};
  return Hosts_[Left].DataCentre_ == Hosts_[Right].DataCentre_
             ? microseconds(100)
             : Config_.Site_.InterDataCentreDelay_;
}

void Simulation::startCall(std::size_t Id) {
  Call &CurrentCall = Calls_[Id];
  CurrentCall.StartedAt_ = Queue_.Now_;
  ++Result_.Calls_;
  Queue_.schedule(CurrentCall.Deadline_ - Queue_.Now_, [this, Id] {
    if (!Calls_[Id].Done_)
      completeCall(Id, false, Duration{0});
  });
  dispatch(Id);
  scheduleHedge(Id);
}

std::optional<std::size_t> Simulation::pickTarget(const Call &CurrentCall) {
  Host &Entry = Hosts_[CurrentCall.Entry_];
  const Workload &Kind = Config_.Workloads_[CurrentCall.Workload_];
  std::size_t Service =
      CurrentCall.Depth_ % 2 == 0 ? Kind.Service_ : Kind.OddDepthService_;
  const auto &Ids = HostsOf_[Service];
  if (!Config_.Policy_.Placement_)
    return Ids[Entry.NextRoundRobin_++ % Ids.size()];
  std::vector<std::string> Excluded;
  for (std::size_t Each : CurrentCall.Attempts_)
    Excluded.push_back(Hosts_[Attempts_[Each].Target_].Name_);
  auto Choice = chooseTarget(Entry.Placement_, CandidatesOf_[Service],
                             Entry.DataCentre_, Excluded, Queue_.Now_, Rng_);
  if (!Choice)
    return std::nullopt;
  return Ids[*Choice];
}

bool Simulation::dispatch(std::size_t Id) {
  auto Target = pickTarget(Calls_[Id]);
  if (!Target)
    return false;
  std::size_t AttemptId = Attempts_.size();
  Attempt New;
  New.Call_ = Id;
  New.Target_ = *Target;
  New.Sent_ = Queue_.Now_;
  Attempts_.push_back(New);
  Calls_[Id].Attempts_.push_back(AttemptId);
  Host &Entry = Hosts_[Calls_[Id].Entry_];
  recordDispatch(Entry.Placement_, Hosts_[*Target].Name_, Queue_.Now_);
  Queue_.schedule(delayBetween(Calls_[Id].Entry_, *Target),
                  [this, AttemptId] { onAttemptArrived(AttemptId); });
  return true;
}

void Simulation::scheduleHedge(std::size_t Id) {
  Host &Entry = Hosts_[Calls_[Id].Entry_];
  // Calls that make nested calls count as not idempotent and are not hedged.
  if (!Config_.Policy_.Hedging_ ||
      Config_.Workloads_[Calls_[Id].Workload_].MaxDepth_ > 0)
    return;
  auto Delay = hedgeDelay(Entry.Hedges_, routeOf(Calls_[Id]));
  if (!Delay)
    return;
  Queue_.schedule(*Delay, [this, Id, Delay] { sendHedge(Id, *Delay); });
}

void Simulation::sendHedge(std::size_t Id, Duration Delay) {
  Host &Entry = Hosts_[Calls_[Id].Entry_];
  if (Calls_[Id].Done_ || !tryAcquireHedge(Entry.Hedges_) || !dispatch(Id))
    return;
  ++Result_.Hedges_;
  std::size_t AttemptId = Calls_[Id].Attempts_.back();
  Attempts_[AttemptId].Hedge_ = true;
  Queue_.schedule(hedgeTimeout(Entry.Hedges_, Delay), [this, AttemptId] {
    if (!Attempts_[AttemptId].Ended_)
      cancelAttempt(AttemptId);
  });
}

void Simulation::endHedge(std::size_t AttemptId) {
  const Attempt &CurrentAttempt = Attempts_[AttemptId];
  if (CurrentAttempt.Hedge_)
    recordHedgeEnd(Hosts_[Calls_[CurrentAttempt.Call_].Entry_].Hedges_,
                   Queue_.Now_ - CurrentAttempt.Sent_);
}

void Simulation::onAttemptAnswered(std::size_t AttemptId,
                                   AttemptOutcome Outcome, TargetLoad Load,
                                   Duration RetryAfter) {
  Attempt &CurrentAttempt = Attempts_[AttemptId];
  if (CurrentAttempt.Ended_)
    return;
  CurrentAttempt.Ended_ = true;
  endHedge(AttemptId);
  std::size_t Id = CurrentAttempt.Call_;
  Host &Entry = Hosts_[Calls_[Id].Entry_];
  recordAttemptEnd(Entry.Placement_, Hosts_[CurrentAttempt.Target_].Name_, Load,
                   Queue_.Now_ - CurrentAttempt.Sent_, Outcome, Queue_.Now_);
  if (Outcome == AttemptOutcome::Done && Load.ServiceTime_ > Duration{0})
    recordCost(Entry.EntryCosts_, costKeyOf(Calls_[Id]), Load.ServiceTime_);
  if (Calls_[Id].Done_)
    return;
  if (Outcome == AttemptOutcome::NotRun)
    return onAttemptRefused(Id, RetryAfter);
  completeCall(Id, Outcome == AttemptOutcome::Done && !CurrentAttempt.Failed_,
               Duration{0});
}

void Simulation::onAttemptRefused(std::size_t Id, Duration RetryAfter) {
  Call &CurrentCall = Calls_[Id];
  bool OthersRun =
      std::any_of(CurrentCall.Attempts_.begin(), CurrentCall.Attempts_.end(),
                  [this](std::size_t Each) { return !Attempts_[Each].Ended_; });
  if (OthersRun)
    return;
  constexpr std::uint32_t MaxRetries = 2;
  bool MayRetry =
      Config_.Policy_.Retries_ && CurrentCall.RetryCount_ < MaxRetries &&
      tryAcquireRetry(Hosts_[CurrentCall.Entry_].Budget_, Queue_.Now_);
  if (MayRetry) {
    ++CurrentCall.RetryCount_;
    ++Result_.Retries_;
    if (dispatch(Id))
      return;
  }
  completeCall(Id, false, RetryAfter);
}

void Simulation::completeCall(std::size_t Id, bool Ok, Duration RetryAfter) {
  Call &CurrentCall = Calls_[Id];
  CurrentCall.Done_ = true;
  Host &Entry = Hosts_[CurrentCall.Entry_];
  if (Ok) {
    recordSuccess(Entry.Budget_, Queue_.Now_);
    recordLatency(Entry.Hedges_, routeOf(CurrentCall),
                  Queue_.Now_ - CurrentCall.StartedAt_);
  }
  for (std::size_t Each : CurrentCall.Attempts_)
    if (!Attempts_[Each].Ended_ && Config_.Policy_.Admission_)
      cancelAttempt(Each);
  if (CurrentCall.Parent_ != None)
    return onNestedCallEnded(CurrentCall.Parent_, Ok);
  Queue_.schedule(Config_.ClientDelay_, [this, Id, Ok, RetryAfter] {
    onCustomerResponse(Id, Ok, RetryAfter);
  });
}

void Simulation::cancelAttempt(std::size_t AttemptId) {
  Attempt &CurrentAttempt = Attempts_[AttemptId];
  CurrentAttempt.Ended_ = true;
  endHedge(AttemptId);
  Host &Entry = Hosts_[Calls_[CurrentAttempt.Call_].Entry_];
  recordAttemptEnd(Entry.Placement_, Hosts_[CurrentAttempt.Target_].Name_, {},
                   Queue_.Now_ - CurrentAttempt.Sent_,
                   AttemptOutcome::Cancelled, Queue_.Now_);
  Queue_.schedule(
      delayBetween(Calls_[CurrentAttempt.Call_].Entry_, CurrentAttempt.Target_),
      [this, AttemptId] {
        Attempt &CancelledAttempt = Attempts_[AttemptId];
        if (cancel(Hosts_[CancelledAttempt.Target_].Admission_, AttemptId))
          return;
        if (CancelledAttempt.Running_)
          endWork(AttemptId, AttemptOutcome::Cancelled);
      });
}

} // namespace sycamore::bench

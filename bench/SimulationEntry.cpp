// Entry daemons of the simulation.
#include "Simulation.h"

#include <algorithm>

namespace sycamore::bench {

std::size_t Simulation::newCall(const Call &Value) {
  Calls_.push_back(Value);
  return Calls_.size() - 1;
}

std::string Simulation::routeOf(const Call &Value) const {
  const Workload &Kind = Config_.Workloads_[Value.Workload_];
  return Value.Long_ && Kind.LongKnown_ ? Kind.Route_ + "-long" : Kind.Route_;
}

std::string Simulation::costKeyOf(const Call &Value) const {
  return routeOf(Value) + '/' + std::to_string(Value.Depth_);
}

Duration Simulation::delayBetween(std::size_t Left, std::size_t Right) const {
  if (Left == Right)
    return Duration{0};
  return Hosts_[Left].DataCentre_ == Hosts_[Right].DataCentre_
             ? microseconds(100)
             : Config_.Site_.BetweenDataCentres_;
}

void Simulation::begin(std::size_t Id) {
  Call &Value = Calls_[Id];
  Value.Begun_ = Agenda_.Now_;
  ++Result_.Calls_;
  Agenda_.after(Value.Deadline_ - Agenda_.Now_, [this, Id] {
    if (!Calls_[Id].Done_)
      settle(Id, false, Duration{0});
  });
  dispatch(Id);
  scheduleHedge(Id);
}

std::optional<std::size_t> Simulation::pick(const Call &Value) {
  Host &Entry = Hosts_[Value.Entry_];
  const Workload &Kind = Config_.Workloads_[Value.Workload_];
  std::size_t Service = Value.Depth_ % 2 == 0 ? Kind.Service_ : Kind.Partner_;
  const auto &Ids = HostsOf_[Service];
  if (!Config_.Policy_.Placement_)
    return Ids[Entry.Turn_++ % Ids.size()];
  std::vector<std::string> Excluded;
  for (std::size_t Each : Value.Attempts_)
    Excluded.push_back(Hosts_[Attempts_[Each].Target_].Name_);
  auto Choice = chooseTarget(Entry.Placement_, CandidatesOf_[Service],
                             Entry.DataCentre_, Excluded, Agenda_.Now_, Rng_);
  if (!Choice)
    return std::nullopt;
  return Ids[*Choice];
}

bool Simulation::dispatch(std::size_t Id) {
  auto Target = pick(Calls_[Id]);
  if (!Target)
    return false;
  std::size_t AttemptId = Attempts_.size();
  Attempt New;
  New.Call_ = Id;
  New.Target_ = *Target;
  New.Sent_ = Agenda_.Now_;
  Attempts_.push_back(New);
  Calls_[Id].Attempts_.push_back(AttemptId);
  Host &Entry = Hosts_[Calls_[Id].Entry_];
  noteDispatched(Entry.Placement_, Hosts_[*Target].Name_, Agenda_.Now_);
  Agenda_.after(delayBetween(Calls_[Id].Entry_, *Target),
                [this, AttemptId] { offered(AttemptId); });
  return true;
}

void Simulation::scheduleHedge(std::size_t Id) {
  Host &Entry = Hosts_[Calls_[Id].Entry_];
  // Calls that make nested calls count as not idempotent and are not hedged.
  if (!Config_.Policy_.Hedging_ ||
      Config_.Workloads_[Calls_[Id].Workload_].Deepest_ > 0)
    return;
  auto Delay = hedgeDelay(Entry.Hedges_, routeOf(Calls_[Id]));
  if (!Delay)
    return;
  Agenda_.after(*Delay, [this, Id, Delay] { sendHedge(Id, *Delay); });
}

void Simulation::sendHedge(std::size_t Id, Duration Delay) {
  Host &Entry = Hosts_[Calls_[Id].Entry_];
  if (Calls_[Id].Done_ || !takeHedge(Entry.Hedges_) || !dispatch(Id))
    return;
  ++Result_.Hedges_;
  std::size_t AttemptId = Calls_[Id].Attempts_.back();
  Attempts_[AttemptId].Hedge_ = true;
  Agenda_.after(hedgePatience(Entry.Hedges_, Delay), [this, AttemptId] {
    if (!Attempts_[AttemptId].Ended_)
      cancelAttempt(AttemptId);
  });
}

void Simulation::endHedge(std::size_t AttemptId) {
  const Attempt &Value = Attempts_[AttemptId];
  if (Value.Hedge_)
    noteHedgeEnded(Hosts_[Calls_[Value.Call_].Entry_].Hedges_,
                   Agenda_.Now_ - Value.Sent_);
}

void Simulation::answered(std::size_t AttemptId, AttemptOutcome Outcome,
                          TargetLoad Load, Duration RetryAfter) {
  Attempt &Value = Attempts_[AttemptId];
  if (Value.Ended_)
    return;
  Value.Ended_ = true;
  endHedge(AttemptId);
  std::size_t Id = Value.Call_;
  Host &Entry = Hosts_[Calls_[Id].Entry_];
  noteAnswered(Entry.Placement_, Hosts_[Value.Target_].Name_, Load,
               Agenda_.Now_ - Value.Sent_, Outcome, Agenda_.Now_);
  if (Outcome == AttemptOutcome::Done && Load.ServiceTime_ > Duration{0})
    noteCost(Entry.Costs_, costKeyOf(Calls_[Id]), Load.ServiceTime_);
  if (Calls_[Id].Done_)
    return;
  if (Outcome == AttemptOutcome::NotRun)
    return refused(Id, RetryAfter);
  settle(Id, Outcome == AttemptOutcome::Done && !Value.Failed_, Duration{0});
}

void Simulation::refused(std::size_t Id, Duration RetryAfter) {
  Call &Value = Calls_[Id];
  bool OthersRun =
      std::any_of(Value.Attempts_.begin(), Value.Attempts_.end(),
                  [this](std::size_t Each) { return !Attempts_[Each].Ended_; });
  if (OthersRun)
    return;
  constexpr std::uint32_t MaxTries = 2;
  bool MayRetry = Config_.Policy_.Retries_ && Value.Tries_ < MaxTries &&
                  takeRetry(Hosts_[Value.Entry_].Budget_, Agenda_.Now_);
  if (MayRetry) {
    ++Value.Tries_;
    ++Result_.Retries_;
    if (dispatch(Id))
      return;
  }
  settle(Id, false, RetryAfter);
}

void Simulation::settle(std::size_t Id, bool Ok, Duration RetryAfter) {
  Call &Value = Calls_[Id];
  Value.Done_ = true;
  Host &Entry = Hosts_[Value.Entry_];
  if (Ok) {
    noteSuccess(Entry.Budget_, Agenda_.Now_);
    noteLatency(Entry.Hedges_, routeOf(Value), Agenda_.Now_ - Value.Begun_);
  }
  for (std::size_t Each : Value.Attempts_)
    if (!Attempts_[Each].Ended_ && Config_.Policy_.Admission_)
      cancelAttempt(Each);
  if (Value.Parent_ != None)
    return childEnded(Value.Parent_, Ok);
  Agenda_.after(Config_.ClientDelay_, [this, Id, Ok, RetryAfter] {
    endCustomer(Id, Ok, RetryAfter);
  });
}

void Simulation::cancelAttempt(std::size_t AttemptId) {
  Attempt &Value = Attempts_[AttemptId];
  Value.Ended_ = true;
  endHedge(AttemptId);
  Host &Entry = Hosts_[Calls_[Value.Call_].Entry_];
  noteAnswered(Entry.Placement_, Hosts_[Value.Target_].Name_, {},
               Agenda_.Now_ - Value.Sent_, AttemptOutcome::Cancelled,
               Agenda_.Now_);
  Agenda_.after(delayBetween(Calls_[Value.Call_].Entry_, Value.Target_),
                [this, AttemptId] {
                  Attempt &Late = Attempts_[AttemptId];
                  if (cancel(Hosts_[Late.Target_].Admission_, AttemptId))
                    return;
                  if (Late.Running_)
                    endWork(AttemptId, AttemptOutcome::Cancelled);
                });
}

} // namespace sycamore::bench

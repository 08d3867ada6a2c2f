// Targets of the simulation and the daemons beside them.
#include "Simulation.h"

#include <algorithm>
#include <cmath>

namespace sycamore::bench {

/// Ids of admission requests are indices into Attempts_.
void Simulation::offered(std::size_t AttemptId) {
  if (!Config_.Policy_.Admission_)
    return offeredToBaseline(AttemptId);
  const Attempt &Value = Attempts_[AttemptId];
  const Call &Of = Calls_[Value.Call_];
  Host &Where = Hosts_[Value.Target_];
  AdmissionRequest Request;
  Request.Id_ = AttemptId;
  Request.Depth_ = Of.Depth_;
  Request.Deadline_ = Of.Deadline_ - delayBetween(Of.Entry_, Value.Target_);
  Request.Expected_ = expectedCost(Where.LocalCosts_, costKeyOf(Of));
  Request.Long_ = isLong(Hosts_[Of.Entry_].Costs_, costKeyOf(Of));
  AdmissionVerdict Verdict = admit(Where.Admission_, Request, Agenda_.Now_);
  if (Verdict.Decision_ == AdmissionDecision::Run)
    startWork(AttemptId);
  else if (Verdict.Decision_ == AdmissionDecision::Refused)
    answer(AttemptId, AttemptOutcome::NotRun, Verdict.RetryAfter_);
}

/// The baseline has a FIFO queue of its own: it is unbounded, and Admission
/// scans its whole queue on every change.
void Simulation::offeredToBaseline(std::size_t AttemptId) {
  Host &Where = Hosts_[Attempts_[AttemptId].Target_];
  if (Where.Busy_ >= Config_.Site_.Slots_) {
    Where.Waiting_.push_back(AttemptId);
    return;
  }
  ++Where.Busy_;
  startWork(AttemptId);
}

Duration Simulation::workOf(const Call &Value, double Share) const {
  const Workload &Kind = Config_.Workloads_[Value.Workload_];
  return Duration(std::llround(static_cast<double>(Kind.Work_.count()) *
                               Value.WorkFactor_ * Share));
}

/// A call that makes a nested call does half of its work before it, the rest
/// after it.
void Simulation::startWork(std::size_t AttemptId) {
  Attempt &Value = Attempts_[AttemptId];
  const Call &Of = Calls_[Value.Call_];
  Value.Running_ = true;
  Value.Started_ = Agenda_.Now_;
  bool Nests = Of.Depth_ < Config_.Workloads_[Of.Workload_].Deepest_;
  double Slowness = Hosts_[Value.Target_].Slowness_;
  if (Nests)
    Agenda_.after(workOf(Of, 0.5 * Slowness),
                  [this, AttemptId] { afterFirstHalf(AttemptId); });
  else
    Agenda_.after(workOf(Of, Slowness), [this, AttemptId] {
      endWork(AttemptId, AttemptOutcome::Done);
    });
}

void Simulation::afterFirstHalf(std::size_t AttemptId) {
  Attempt &Value = Attempts_[AttemptId];
  if (!Value.Running_)
    return;
  const Call &Of = Calls_[Value.Call_];
  Call Nested;
  Nested.Workload_ = Of.Workload_;
  Nested.Entry_ = Value.Target_;
  Nested.Parent_ = AttemptId;
  Nested.Depth_ = Of.Depth_ + 1;
  Nested.Deadline_ = Of.Deadline_ - delayBetween(Of.Entry_, Value.Target_);
  Nested.WorkFactor_ = Of.WorkFactor_;
  Nested.Long_ = Of.Long_;
  std::size_t Id = newCall(Nested);
  Value.Child_ = Id;
  begin(Id);
}

void Simulation::childEnded(std::size_t AttemptId, bool Ok) {
  Attempt &Value = Attempts_[AttemptId];
  if (!Value.Running_)
    return;
  if (!Ok) {
    Value.Failed_ = true;
    return endWork(AttemptId, AttemptOutcome::Done);
  }
  Agenda_.after(
      workOf(Calls_[Value.Call_], 0.5 * Hosts_[Value.Target_].Slowness_),
      [this, AttemptId] { endWork(AttemptId, AttemptOutcome::Done); });
}

void Simulation::endWork(std::size_t AttemptId, AttemptOutcome Outcome) {
  Attempt &Value = Attempts_[AttemptId];
  if (!Value.Running_)
    return;
  Value.Running_ = false;
  Host &Where = Hosts_[Value.Target_];
  Duration Held = Agenda_.Now_ - Value.Started_;
  Result_.SlotSeconds_ += static_cast<double>(Held.count()) / 1e6;
  if (Outcome == AttemptOutcome::Done && !Value.Failed_)
    noteCost(Where.LocalCosts_, costKeyOf(Calls_[Value.Call_]), Held);
  if (Value.Hedge_)
    Result_.HedgeSlotSeconds_ += static_cast<double>(Held.count()) / 1e6;
  if (Config_.Policy_.Admission_)
    finish(Where.Admission_, AttemptId, Held, Agenda_.Now_);
  else
    --Where.Busy_;
  if (Outcome == AttemptOutcome::Cancelled) {
    if (Value.Child_ != None && !Calls_[Value.Child_].Done_)
      settle(Value.Child_, false, Duration{0});
  } else {
    answer(AttemptId, Outcome, Duration{0});
  }
  pump(Value.Target_);
}

void Simulation::pump(std::size_t HostId) {
  Host &Where = Hosts_[HostId];
  while (!Where.Waiting_.empty() && Where.Busy_ < Config_.Site_.Slots_) {
    std::size_t Next = Where.Waiting_.front();
    Where.Waiting_.pop_front();
    ++Where.Busy_;
    startWork(Next);
  }
  std::vector<std::uint64_t> Run;
  std::vector<std::uint64_t> Refused;
  takeRunnable(Hosts_[HostId].Admission_, Agenda_.Now_, Run, Refused);
  for (std::uint64_t Id : Run)
    startWork(Id);
  for (std::uint64_t Id : Refused)
    answer(Id, AttemptOutcome::NotRun, retryAfter(Hosts_[HostId].Admission_));
}

void Simulation::tick() {
  for (std::size_t Each = 0; Each < Hosts_.size(); ++Each) {
    pump(Each);
    Host &Where = Hosts_[Each];
    Where.Loads_.emplace_back(Agenda_.Now_, load(Where.Admission_));
    while (Where.Loads_.size() > 1 &&
           Agenda_.Now_ - Where.Loads_[1].first >= Config_.ReportDelay_)
      Where.Loads_.pop_front();
  }
  Agenda_.after(milliseconds(20), [this] { tick(); });
}

AdmissionLoad Simulation::reportedLoad(const Host &Value) const {
  if (Config_.ReportDelay_ == Duration{0})
    return load(Value.Admission_);
  return Value.Loads_.front().second;
}

void Simulation::answer(std::size_t AttemptId, AttemptOutcome Outcome,
                        Duration RetryAfter) {
  const Attempt &Value = Attempts_[AttemptId];
  AdmissionLoad Now = reportedLoad(Hosts_[Value.Target_]);
  TargetLoad Load{Now.Running_, Now.Queued_, Now.Slots_, Duration{0}};
  if (Outcome == AttemptOutcome::Done)
    Load.ServiceTime_ = Agenda_.Now_ - Value.Started_;
  Agenda_.after(delayBetween(Calls_[Value.Call_].Entry_, Value.Target_),
                [this, AttemptId, Outcome, Load, RetryAfter] {
                  answered(AttemptId, Outcome, Load, RetryAfter);
                });
}

} // namespace sycamore::bench

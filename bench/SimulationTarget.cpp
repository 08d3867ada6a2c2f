// Targets of the simulation and the daemons beside them.
#include "Simulation.h"

#include <algorithm>
#include <cmath>

namespace sycamore::bench {

/// Ids of admission requests are indices into Attempts_.
void Simulation::onAttemptArrived(std::size_t AttemptId) {
  if (!Config_.Policy_.Admission_)
    return admitByBaseline(AttemptId);
  const Attempt &CurrentAttempt = Attempts_[AttemptId];
  const Call &AttemptCall = Calls_[CurrentAttempt.Call_];
  Host &TargetHost = Hosts_[CurrentAttempt.Target_];
  AdmissionRequest Request;
  Request.Id_ = AttemptId;
  Request.Depth_ = AttemptCall.Depth_;
  Request.Deadline_ = AttemptCall.Deadline_ -
                      delayBetween(AttemptCall.Entry_, CurrentAttempt.Target_);
  Request.Expected_ =
      expectedCost(TargetHost.LocalCosts_, costKeyOf(AttemptCall));
  Request.Long_ =
      isLong(Hosts_[AttemptCall.Entry_].EntryCosts_, costKeyOf(AttemptCall));
  AdmissionVerdict Verdict = admit(TargetHost.Admission_, Request, Queue_.Now_);
  if (Verdict.Decision_ == AdmissionDecision::Run)
    startWork(AttemptId);
  else if (Verdict.Decision_ == AdmissionDecision::Refused)
    sendResponse(AttemptId, AttemptOutcome::NotRun, Verdict.RetryAfter_);
}

/// The baseline has a FIFO queue of its own: it is unbounded, and Admission
/// scans its whole queue on every change.
void Simulation::admitByBaseline(std::size_t AttemptId) {
  Host &TargetHost = Hosts_[Attempts_[AttemptId].Target_];
  if (TargetHost.BaselineBusySlots_ >= Config_.Site_.Slots_) {
    TargetHost.BaselineQueue_.push_back(AttemptId);
    return;
  }
  ++TargetHost.BaselineBusySlots_;
  startWork(AttemptId);
}

Duration Simulation::workTime(const Call &CurrentCall, double Share) const {
  const Workload &Kind = Config_.Workloads_[CurrentCall.Workload_];
  return Duration(std::llround(static_cast<double>(Kind.Work_.count()) *
                               CurrentCall.WorkFactor_ * Share));
}

/// A call that makes a nested call does half of its work before it, the rest
/// after it.
void Simulation::startWork(std::size_t AttemptId) {
  Attempt &CurrentAttempt = Attempts_[AttemptId];
  const Call &AttemptCall = Calls_[CurrentAttempt.Call_];
  CurrentAttempt.Running_ = true;
  CurrentAttempt.Started_ = Queue_.Now_;
  bool MakesNestedCall =
      AttemptCall.Depth_ < Config_.Workloads_[AttemptCall.Workload_].MaxDepth_;
  double SlowFactor = Hosts_[CurrentAttempt.Target_].SlowFactor_;
  if (MakesNestedCall)
    Queue_.schedule(workTime(AttemptCall, 0.5 * SlowFactor),
                    [this, AttemptId] { makeNestedCall(AttemptId); });
  else
    Queue_.schedule(workTime(AttemptCall, SlowFactor), [this, AttemptId] {
      endWork(AttemptId, AttemptOutcome::Done);
    });
}

void Simulation::makeNestedCall(std::size_t AttemptId) {
  Attempt &CurrentAttempt = Attempts_[AttemptId];
  if (!CurrentAttempt.Running_)
    return;
  const Call &AttemptCall = Calls_[CurrentAttempt.Call_];
  Call Nested;
  Nested.Workload_ = AttemptCall.Workload_;
  Nested.Entry_ = CurrentAttempt.Target_;
  Nested.Parent_ = AttemptId;
  Nested.Depth_ = AttemptCall.Depth_ + 1;
  Nested.Deadline_ = AttemptCall.Deadline_ -
                     delayBetween(AttemptCall.Entry_, CurrentAttempt.Target_);
  Nested.WorkFactor_ = AttemptCall.WorkFactor_;
  Nested.Long_ = AttemptCall.Long_;
  std::size_t Id = newCall(Nested);
  CurrentAttempt.NestedCall_ = Id;
  startCall(Id);
}

void Simulation::onNestedCallEnded(std::size_t AttemptId, bool Ok) {
  Attempt &CurrentAttempt = Attempts_[AttemptId];
  if (!CurrentAttempt.Running_)
    return;
  if (!Ok) {
    CurrentAttempt.Failed_ = true;
    return endWork(AttemptId, AttemptOutcome::Done);
  }
  Queue_.schedule(
      workTime(Calls_[CurrentAttempt.Call_],
               0.5 * Hosts_[CurrentAttempt.Target_].SlowFactor_),
      [this, AttemptId] { endWork(AttemptId, AttemptOutcome::Done); });
}

void Simulation::endWork(std::size_t AttemptId, AttemptOutcome Outcome) {
  Attempt &CurrentAttempt = Attempts_[AttemptId];
  if (!CurrentAttempt.Running_)
    return;
  CurrentAttempt.Running_ = false;
  Host &TargetHost = Hosts_[CurrentAttempt.Target_];
  Duration SlotTime = Queue_.Now_ - CurrentAttempt.Started_;
  Result_.SlotSeconds_ += static_cast<double>(SlotTime.count()) / 1e6;
  if (Outcome == AttemptOutcome::Done && !CurrentAttempt.Failed_)
    recordCost(TargetHost.LocalCosts_, costKeyOf(Calls_[CurrentAttempt.Call_]),
               SlotTime);
  if (CurrentAttempt.Hedge_)
    Result_.HedgeSlotSeconds_ += static_cast<double>(SlotTime.count()) / 1e6;
  if (Config_.Policy_.Admission_)
    finish(TargetHost.Admission_, AttemptId, SlotTime, Queue_.Now_);
  else
    --TargetHost.BaselineBusySlots_;
  if (Outcome == AttemptOutcome::Cancelled) {
    if (CurrentAttempt.NestedCall_ != None &&
        !Calls_[CurrentAttempt.NestedCall_].Done_)
      completeCall(CurrentAttempt.NestedCall_, false, Duration{0});
  } else {
    sendResponse(AttemptId, Outcome, Duration{0});
  }
  startQueued(CurrentAttempt.Target_);
}

void Simulation::startQueued(std::size_t HostId) {
  Host &TargetHost = Hosts_[HostId];
  while (!TargetHost.BaselineQueue_.empty() &&
         TargetHost.BaselineBusySlots_ < Config_.Site_.Slots_) {
    std::size_t Next = TargetHost.BaselineQueue_.front();
    TargetHost.BaselineQueue_.pop_front();
    ++TargetHost.BaselineBusySlots_;
    startWork(Next);
  }
  std::vector<std::uint64_t> Run;
  std::vector<std::uint64_t> Refused;
  dequeueRunnable(Hosts_[HostId].Admission_, Queue_.Now_, Run, Refused);
  for (std::uint64_t Id : Run)
    startWork(Id);
  for (std::uint64_t Id : Refused)
    sendResponse(Id, AttemptOutcome::NotRun,
                 retryAfter(Hosts_[HostId].Admission_));
}

void Simulation::tick() {
  for (std::size_t Each = 0; Each < Hosts_.size(); ++Each) {
    startQueued(Each);
    Host &TargetHost = Hosts_[Each];
    TargetHost.LoadHistory_.emplace_back(Queue_.Now_,
                                         load(TargetHost.Admission_));
    while (TargetHost.LoadHistory_.size() > 1 &&
           Queue_.Now_ - TargetHost.LoadHistory_[1].first >=
               Config_.ReportDelay_)
      TargetHost.LoadHistory_.pop_front();
  }
  Queue_.schedule(milliseconds(20), [this] { tick(); });
}

AdmissionLoad Simulation::reportedLoad(const Host &TargetHost) const {
  if (Config_.ReportDelay_ == Duration{0})
    return load(TargetHost.Admission_);
  return TargetHost.LoadHistory_.front().second;
}

void Simulation::sendResponse(std::size_t AttemptId, AttemptOutcome Outcome,
                              Duration RetryAfter) {
  const Attempt &CurrentAttempt = Attempts_[AttemptId];
  AdmissionLoad CurrentLoad = reportedLoad(Hosts_[CurrentAttempt.Target_]);
  TargetLoad Load{CurrentLoad.Running_, CurrentLoad.Queued_, CurrentLoad.Slots_,
                  Duration{0}};
  if (Outcome == AttemptOutcome::Done)
    Load.ServiceTime_ = Queue_.Now_ - CurrentAttempt.Started_;
  Queue_.schedule(
      delayBetween(Calls_[CurrentAttempt.Call_].Entry_, CurrentAttempt.Target_),
      [this, AttemptId, Outcome, Load, RetryAfter] {
        onAttemptAnswered(AttemptId, Outcome, Load, RetryAfter);
      });
}

} // namespace sycamore::bench

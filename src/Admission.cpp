// Admission control for one local target: starting, queueing and refusing
// requests.
#include "sycamore/Admission.h"

#include "AdmissionSlots.h"
#include "TenantShares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamore {
namespace {

void addEvent(Admission &Table, AdmissionEventKind Kind, std::uint64_t Value) {
  // Bounds the memory used if takeEvents() is never called.
  constexpr std::size_t MaxEvents = 1024;
  if (Table.Events_.size() < MaxEvents)
    Table.Events_.push_back({Kind, Value});
}

std::uint64_t &refusalCounter(AdmissionCounters &Counters,
                              RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::QueueFull:
    return Counters.RefusedQueueFull_;
  case RefusalReason::TooLate:
    return Counters.RefusedTooLate_;
  case RefusalReason::MissesLatencyTarget:
    return Counters.RefusedLatencyTarget_;
  case RefusalReason::NoFreeSlot:
    return Counters.RefusedNoFreeSlot_;
  case RefusalReason::WaitLimit:
    return Counters.RefusedWaitLimit_;
  case RefusalReason::Leaving:
    return Counters.RefusedLeaving_;
  case RefusalReason::NoSlots:
    return Counters.RefusedNoSlots_;
  case RefusalReason::DepthConflict:
    return Counters.RefusedDepthConflict_;
  case RefusalReason::None:
  case RefusalReason::Duplicate:
    break;
  }
  return Counters.RefusedDuplicate_;
}

void noteRefusal(Admission &Table, RefusalReason Reason) {
  ++refusalCounter(Table.Counters_, Reason);
  if (Reason != RefusalReason::QueueFull && Reason != RefusalReason::TooLate)
    return;
  ++Table.RefusedInOverload_;
  if (!std::exchange(Table.Overloaded_, true))
    addEvent(Table, AdmissionEventKind::OverloadBegan, Table.Queue_.size());
}

AdmissionVerdict refuse(Admission &Table, RefusalReason Reason) {
  noteRefusal(Table, Reason);
  return {AdmissionDecision::Refused, Reason, retryAfter(Table)};
}

bool isRunningOrQueued(const Admission &Table, std::uint64_t Id) {
  auto HasId = [Id](const auto &Each) { return Each.Request_.Id_ == Id; };
  return std::any_of(Table.Running_.begin(), Table.Running_.end(), HasId) ||
         std::any_of(Table.Queue_.begin(), Table.Queue_.end(), HasId);
}

void start(Admission &Table, const AdmissionRequest &Request, TimePoint Now) {
  Table.Running_.push_back({Request, Now});
  ++Table.Counters_.Admitted_;
}

/// Whether a request that starts after Wait would miss its deadline.
bool isTooLate(const Admission &Table, const AdmissionRequest &Request,
               Duration Wait, TimePoint Now) {
  auto Needed = static_cast<double>(costOf(Table, Request).count()) *
                Table.Options_.DeadlineMargin_;
  return Now + Wait + Duration(std::llround(Needed)) > Request.Deadline_;
}

/// Whether the queue has room for the request. If necessary, removes the last
/// queued request if the new one displaces it.
bool makeRoom(Admission &Table, const AdmissionRequest &Request,
              TimePoint Now) {
  if (isLimitedAsLong(Request)) {
    // Long requests wait longer, so without a limit of their own they would
    // eventually fill the queue.
    auto LongCount = static_cast<std::size_t>(
        std::count_if(Table.Queue_.begin(), Table.Queue_.end(),
                      [](const QueuedRequest &Each) {
                        return isLimitedAsLong(Each.Request_);
                      }));
    if (static_cast<double>(LongCount) >=
        std::max(1.0, Table.QueueLimit_ * Table.Options_.LongShare_))
      return false;
  }
  if (Table.Queue_.size() < Table.QueueLimit_)
    return true;
  auto Last = Table.Queue_.end();
  if (!Table.Queue_.empty() &&
      displaces(Table, Request, Table.Queue_.back().Request_, Now))
    Last = std::prev(Table.Queue_.end());
  else
    Last = lastOfLargestTenant(Table, Request, Now);
  if (Last == Table.Queue_.end())
    return false;
  Table.Displaced_.push_back(Last->Request_.Id_);
  Table.Queue_.erase(Last);
  ++Table.Counters_.Displaced_;
  return true;
}

AdmissionVerdict enqueue(Admission &Table, const AdmissionRequest &Request,
                         TimePoint Now) {
  if (!makeRoom(Table, Request, Now))
    return refuse(Table, RefusalReason::QueueFull);
  auto Position = std::upper_bound(
      Table.Queue_.begin(), Table.Queue_.end(), Request,
      [&](const AdmissionRequest &New, const QueuedRequest &Each) {
        return runsBefore(Table, New, Each.Request_, Now);
      });
  Table.Queue_.insert(Position, QueuedRequest{Request, Now});
  ++Table.Counters_.Queued_;
  return {AdmissionDecision::Queued, RefusalReason::None, Duration{0}};
}

} // namespace

AdmissionVerdict admit(Admission &Table, const AdmissionRequest &Request,
                       TimePoint Now) {
  if (isRunningOrQueued(Table, Request.Id_))
    return refuse(Table, RefusalReason::Duplicate);
  if (!Table.Admitting_)
    return refuse(Table, RefusalReason::Leaving);
  if (Table.Slots_ == 0)
    return refuse(Table, RefusalReason::NoSlots);
  DepthLevel &Level = Table.Levels_[levelOf(Request)];
  Level.LastSeen_ = Now;
  Level.Seen_ = true;
  SlotView View = slotView(Table, Now);
  if (mayRun(View, Request) && !isTooLate(Table, Request, Duration{0}, Now)) {
    start(Table, Request, Now);
    return {AdmissionDecision::Run, RefusalReason::None, Duration{0}};
  }
  if (Request.FreeSlotOnly_)
    return refuse(Table, RefusalReason::NoFreeSlot);
  sortQueue(Table, Now);
  Duration Wait = expectedWait(Table, View, Request, Now);
  if (isTooLate(Table, Request, Wait, Now))
    return refuse(Table, RefusalReason::TooLate);
  if (Request.WaitLimit_ && Wait > *Request.WaitLimit_)
    return refuse(Table, RefusalReason::WaitLimit);
  if (missesLatencyTarget(Table, Request, Now + Wait)) {
    bool InTime = !missesLatencyTarget(Table, Request, Now);
    bool RefusedRecently =
        Table.LatencyRefusalAt_ &&
        Now - *Table.LatencyRefusalAt_ < Table.Options_.LateRefusalTime_;
    if (!Request.AcceptLate_ && InTime)
      Table.LatencyRefusalAt_ = Now;
    if (!Request.AcceptLate_ || RefusedRecently)
      return refuse(Table, RefusalReason::MissesLatencyTarget);
  }
  if (!mayRun(View, Request))
    return enqueue(Table, Request, Now);
  start(Table, Request, Now);
  return {AdmissionDecision::Run, RefusalReason::None, Duration{0}};
}

void finish(Admission &Table, std::uint64_t Id, Duration ServiceTime,
            TimePoint Now) {
  auto Found =
      std::find_if(Table.Running_.begin(), Table.Running_.end(),
                   [Id](const auto &Each) { return Each.Request_.Id_ == Id; });
  if (Found == Table.Running_.end()) {
    ++Table.Counters_.UnknownFinish_;
    return;
  }
  Table.Levels_[levelOf(Found->Request_)].LastFinish_ = Now;
  Table.Running_.erase(Found);
  ++Table.Counters_.Finished_;
  double Gain =
      std::max(0.05, 1.0 / static_cast<double>(Table.Counters_.Finished_));
  Table.MeanServiceUs_ +=
      (static_cast<double>(ServiceTime.count()) - Table.MeanServiceUs_) * Gain;
}

bool cancel(Admission &Table, std::uint64_t Id) {
  auto Found =
      std::find_if(Table.Queue_.begin(), Table.Queue_.end(),
                   [Id](const auto &Each) { return Each.Request_.Id_ == Id; });
  if (Found == Table.Queue_.end())
    return false;
  Table.Queue_.erase(Found);
  ++Table.Counters_.Cancelled_;
  return true;
}

namespace {

/// Whether a request that misses its latency target has waited for longer than
/// LateWaitShare_ allows.
bool exceedsLateWait(const Admission &Table, const QueuedRequest &Waiting,
                     TimePoint Now) {
  if (!missesLatencyTarget(Table, Waiting.Request_, Now))
    return false;
  auto TimeAtArrival = static_cast<double>(
      (Waiting.Request_.Deadline_ - Waiting.QueuedAt_).count());
  return static_cast<double>((Now - Waiting.QueuedAt_).count()) >
         TimeAtArrival * Table.Options_.LateWaitShare_;
}

/// Reason to refuse a queued request now, or None.
RefusalReason refusalReasonOf(const Admission &Table, const SlotView &View,
                              const QueuedRequest &Waiting, TimePoint Now) {
  if (!Table.Admitting_)
    return RefusalReason::Leaving;
  if (Table.Slots_ == 0)
    return RefusalReason::NoSlots;
  if (isTooLate(Table, Waiting.Request_, Duration{0}, Now) ||
      exceedsLateWait(Table, Waiting, Now))
    return RefusalReason::TooLate;
  if (!mayRun(View, Waiting.Request_) &&
      isInDepthConflict(Table, View, Waiting, Now))
    return RefusalReason::DepthConflict;
  return RefusalReason::None;
}

void refuseQueued(Admission &Table, const QueuedRequest &Waiting,
                  RefusalReason Reason, std::vector<std::uint64_t> &Refused) {
  Refused.push_back(Waiting.Request_.Id_);
  noteRefusal(Table, Reason);
  if (Reason == RefusalReason::DepthConflict)
    addEvent(Table, AdmissionEventKind::DepthConflict, Waiting.Request_.Depth_);
}

void endOverload(Admission &Table) {
  if (!Table.Overloaded_ || !Table.Queue_.empty())
    return;
  Table.Overloaded_ = false;
  addEvent(Table, AdmissionEventKind::OverloadEnded,
           std::exchange(Table.RefusedInOverload_, 0));
}

} // namespace

void dequeueRunnable(Admission &Table, TimePoint Now,
                     std::vector<std::uint64_t> &Run,
                     std::vector<std::uint64_t> &Refused) {
  for (std::uint64_t Id : std::exchange(Table.Displaced_, {})) {
    Refused.push_back(Id);
    noteRefusal(Table, RefusalReason::QueueFull);
  }
  sortQueue(Table, Now);
  shareQueue(Table, Now);
  SlotView View = slotView(Table, Now);
  std::vector<QueuedRequest> Waiting;
  Waiting.reserve(Table.Queue_.size());
  for (const QueuedRequest &Each : std::exchange(Table.Queue_, {})) {
    RefusalReason Reason = refusalReasonOf(Table, View, Each, Now);
    if (Reason != RefusalReason::None) {
      refuseQueued(Table, Each, Reason, Refused);
    } else if (mayRun(View, Each.Request_)) {
      start(Table, Each.Request_, Now);
      recordShare(Table, Each.Request_);
      countRunning(View, Each.Request_);
      Run.push_back(Each.Request_.Id_);
    } else {
      Waiting.push_back(Each);
    }
  }
  Table.Queue_ = std::move(Waiting);
  balanceShares(Table);
  endOverload(Table);
}

std::uint32_t depthCap(const Admission &Table, std::uint32_t Depth,
                       TimePoint Now) {
  return slotView(Table, Now).DepthCap_[std::min(Depth, MaxAdmissionDepth)];
}

void setSlots(Admission &Table, std::uint32_t Slots) {
  if (Table.Slots_ == Slots)
    return;
  Table.Slots_ = Slots;
  addEvent(Table, AdmissionEventKind::SlotsChanged, Slots);
}

void setQueueLimit(Admission &Table, std::uint32_t Limit) {
  Table.QueueLimit_ = Limit;
}

void stopAdmitting(Admission &Table) {
  if (std::exchange(Table.Admitting_, false))
    addEvent(Table, AdmissionEventKind::StoppedAdmitting, Table.Queue_.size());
}

AdmissionLoad load(const Admission &Table) {
  return {Duration(std::llround(Table.MeanServiceUs_)),
          static_cast<std::uint32_t>(Table.Running_.size()),
          static_cast<std::uint32_t>(Table.Queue_.size()), Table.Slots_};
}

Duration remainingWork(const Admission &Table, TimePoint Now) {
  Duration Work{0};
  for (const RunningRequest &Each : Table.Running_) {
    Duration Cost = costOf(Table, Each.Request_);
    auto Least = Duration(std::llround(static_cast<double>(Cost.count()) *
                                       Table.Options_.RemainingShare_));
    Work += std::max(Cost - (Now - Each.StartedAt_), Least);
  }
  for (const QueuedRequest &Each : Table.Queue_)
    Work += costOf(Table, Each.Request_);
  return Work;
}

std::array<Duration, WorkRanks> queuedWork(const Admission &Table) {
  std::array<Duration, WorkRanks> Out{};
  for (const QueuedRequest &Each : Table.Queue_)
    Out[workRank(Each.Request_.Depth_, Each.Request_.Priority_)] +=
        costOf(Table, Each.Request_);
  return Out;
}

Duration retryAfter(const Admission &Table) {
  Duration Work{0};
  for (const RunningRequest &Each : Table.Running_)
    Work += costOf(Table, Each.Request_) / 2;
  for (const QueuedRequest &Each : Table.Queue_)
    Work += costOf(Table, Each.Request_);
  Duration QueueTime = Work / std::max<std::uint32_t>(Table.Slots_, 1);
  // A caller that retries sooner would find the same queue.
  return std::max<Duration>(QueueTime, milliseconds(1));
}

std::vector<AdmissionEvent> takeEvents(Admission &Table) {
  return std::exchange(Table.Events_, {});
}

} // namespace sycamore

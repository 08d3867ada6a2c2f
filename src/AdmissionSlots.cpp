// Rules that decide which slots of the local target are available to a request.
#include "AdmissionSlots.h"

#include "TenantShares.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sycamore {
namespace {

bool isLevelActive(const Admission &Table, std::uint32_t Level, TimePoint Now) {
  const DepthLevel &Each = Table.Levels_[Level];
  return Each.Seen_ &&
         Now - Each.LastSeen_ < Table.Options_.DepthReservationTime_;
}

/// Limits by depth level. Every level with recent calls reserves one slot that
/// shallower levels cannot use. With fewer slots than such levels, the levels
/// share the slots evenly; calls can then wait for each other in a cycle, which
/// isInDepthConflict() detects.
DepthCounts depthCaps(const Admission &Table, TimePoint Now) {
  DepthCounts Caps;
  Caps.fill(Table.Slots_);
  if (!Table.Options_.ReserveByDepth_ || Table.Slots_ == 0)
    return Caps;
  std::uint32_t ActiveLevels = 0;
  for (std::uint32_t Level = 0; Level <= MaxAdmissionDepth; ++Level)
    ActiveLevels += isLevelActive(Table, Level, Now) ? 1 : 0;
  std::uint32_t DeeperLevels = 0;
  for (std::uint32_t Level = MaxAdmissionDepth + 1; Level-- > 0;) {
    std::uint32_t Rank =
        ActiveLevels - std::min(ActiveLevels, DeeperLevels); // 1 is shallowest.
    if (ActiveLevels <= Table.Slots_)
      Caps[Level] = Table.Slots_ - std::min(DeeperLevels, Table.Slots_ - 1);
    else
      Caps[Level] = std::max<std::uint32_t>(
          1, (Rank * Table.Slots_ + ActiveLevels - 1) / ActiveLevels);
    DeeperLevels += isLevelActive(Table, Level, Now) ? 1 : 0;
  }
  return Caps;
}

bool countsAsLong(const Admission &Table, const RunningRequest &Each,
                  TimePoint Now) {
  if (Each.Request_.Long_)
    return true;
  auto Expected = static_cast<double>(costOf(Table, Each.Request_).count());
  return Expected > 0 && static_cast<double>((Now - Each.StartedAt_).count()) >
                             Expected * Table.Options_.OverdueFactor_;
}

} // namespace

std::uint32_t levelOf(const AdmissionRequest &Request) {
  return std::min(Request.Depth_, MaxAdmissionDepth);
}

SlotView slotView(const Admission &Table, TimePoint Now) {
  SlotView View;
  View.Slots_ = Table.Slots_;
  View.DepthCap_ = depthCaps(Table, Now);
  View.LongCap_ = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(
             std::floor(Table.Slots_ * Table.Options_.LongShare_)));
  for (const RunningRequest &Each : Table.Running_) {
    AdmissionRequest Counted = Each.Request_;
    Counted.Long_ = countsAsLong(Table, Each, Now);
    countRunning(View, Counted);
  }
  return View;
}

bool isLimitedAsLong(const AdmissionRequest &Request) {
  return Request.Long_ && levelOf(Request) == 0;
}

bool mayRun(const SlotView &View, const AdmissionRequest &Request) {
  if (View.Running_ >= View.Slots_)
    return false;
  if (isLimitedAsLong(Request) && View.Long_ >= View.LongCap_)
    return false;
  if (Request.Suspect_ && View.Suspects_ > 0)
    return false;
  for (std::uint32_t Level = levelOf(Request); Level <= MaxAdmissionDepth;
       ++Level)
    if (View.HeldUpToDepth_[Level] >= View.DepthCap_[Level])
      return false;
  return true;
}

void countRunning(SlotView &View, const AdmissionRequest &Request) {
  ++View.Running_;
  View.Long_ += Request.Long_ ? 1 : 0;
  View.Suspects_ += Request.Suspect_ ? 1 : 0;
  for (std::uint32_t Level = levelOf(Request); Level <= MaxAdmissionDepth;
       ++Level)
    ++View.HeldUpToDepth_[Level];
}

Duration costOf(const Admission &Table, const AdmissionRequest &Request) {
  if (Request.Expected_ > Duration{0})
    return Request.Expected_;
  return Duration(std::llround(Table.MeanServiceUs_));
}

Duration expectedWait(const Admission &Table, const SlotView &View,
                      const AdmissionRequest &Request, TimePoint Now) {
  if (mayRun(View, Request))
    return Duration{0};
  bool IsLimited = isLimitedAsLong(Request);
  Duration Work{0};
  int Competing = 0;
  for (const RunningRequest &Each : Table.Running_) {
    Duration Cost = costOf(Table, Each.Request_);
    // The remaining time is taken as half the expected time, regardless of how
    // long the request has run already.
    if (isLimitedAsLong(Each.Request_) != IsLimited)
      continue;
    Work += Cost / 2;
    ++Competing;
  }
  // Of n requests with the same mean remaining time, the first is expected to
  // end after an n-th of it.
  if (Request.WaitForNextSlot_ && Competing > 0)
    Work /= Competing;
  for (const QueuedRequest &Each : Table.Queue_)
    if (isLimitedAsLong(Each.Request_) == IsLimited &&
        runsBefore(Table, Each.Request_, Request, Now) &&
        !shareSlots(Table, Each.Request_, Request, Now))
      Work += costOf(Table, Each.Request_);
  Work += sharedWorkBefore(Table, Request, Now);
  std::uint32_t OpenSlots = View.DepthCap_[levelOf(Request)];
  OpenSlots = IsLimited ? std::min(OpenSlots, View.LongCap_)
                        : OpenSlots - std::min(OpenSlots - 1, View.Long_);
  return Work / std::max<std::uint32_t>(OpenSlots, 1);
}

bool isInDepthConflict(const Admission &Table, const SlotView &View,
                       const QueuedRequest &Waiting, TimePoint Now) {
  std::uint32_t Level = levelOf(Waiting.Request_);
  Duration Limit = Table.Options_.ConflictWait_;
  if (Level == 0 || Now - Waiting.QueuedAt_ < Limit)
    return false;
  // The request is blocked by the shallowest level that is at its limit, or by
  // any running request if all slots are in use or a suspect runs.
  std::uint32_t BlockingLevel = Level;
  while (BlockingLevel < MaxAdmissionDepth &&
         View.HeldUpToDepth_[BlockingLevel] < View.DepthCap_[BlockingLevel])
    ++BlockingLevel;
  if (View.Running_ >= View.Slots_)
    BlockingLevel = MaxAdmissionDepth;
  TimePoint LastFinish{};
  for (std::uint32_t Each = 0; Each <= BlockingLevel; ++Each)
    LastFinish = std::max(LastFinish, Table.Levels_[Each].LastFinish_);
  return Now - LastFinish >= Limit;
}

bool missesLatencyTarget(const Admission &Table,
                         const AdmissionRequest &Request, TimePoint Start) {
  return Request.LatencyTargetAt_ && Request.Depth_ == 0 &&
         Start + costOf(Table, Request) > *Request.LatencyTargetAt_;
}

namespace {

/// Rank that displaces() and runsBefore() compare; a smaller rank runs first.
std::tuple<std::uint32_t, bool, std::uint32_t>
rankOf(const Admission &Table, const AdmissionRequest &Request, TimePoint Now) {
  return {~Request.Depth_, missesLatencyTarget(Table, Request, Now),
          Request.Priority_};
}

} // namespace

bool runsBefore(const Admission &Table, const AdmissionRequest &Left,
                const AdmissionRequest &Right, TimePoint Now) {
  auto LeftRank = rankOf(Table, Left, Now);
  auto RightRank = rankOf(Table, Right, Now);
  if (LeftRank != RightRank)
    return LeftRank < RightRank;
  if (std::get<1>(LeftRank))
    return Left.Deadline_ < Right.Deadline_;
  return Left.LatencyTargetAt_.value_or(Left.Deadline_) <
         Right.LatencyTargetAt_.value_or(Right.Deadline_);
}

bool displaces(const Admission &Table, const AdmissionRequest &New,
               const AdmissionRequest &Last, TimePoint Now) {
  return rankOf(Table, New, Now) < rankOf(Table, Last, Now);
}

void sortQueue(Admission &Table, TimePoint Now) {
  std::stable_sort(Table.Queue_.begin(), Table.Queue_.end(),
                   [&](const QueuedRequest &Left, const QueuedRequest &Right) {
                     return runsBefore(Table, Left.Request_, Right.Request_,
                                       Now);
                   });
}

} // namespace sycamore

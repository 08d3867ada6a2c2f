// Which slots of the local target are open to which requests.
#pragma once

#include "sycamore/Admission.h"

namespace sycamore {

using DepthCounts = std::array<std::uint32_t, MaxAdmissionDepth + 1>;

/// Slots held and open at one moment.
struct SlotView {
  std::uint32_t Slots_ = 0;
  std::uint32_t Running_ = 0;
  std::uint32_t Long_ = 0; ///< Held by long and overdue requests.
  std::uint32_t LongCap_ = 0;
  std::uint32_t Suspects_ = 0;
  DepthCounts HeldUpTo_{}; ///< By calls of this depth and less.
  DepthCounts Cap_{};      ///< Limits of HeldUpTo_.
};

std::uint32_t levelOf(const AdmissionRequest &Request);

SlotView slotView(const Admission &Table, TimePoint Now);

/// Whether the share of slots for long requests applies. Nested calls are
/// exempt: they could wait for a slot that their own callers hold as long
/// requests, which the shares by depth do not prevent.
bool isLimitedAsLong(const AdmissionRequest &Request);

/// Whether a slot is free and open to the request.
bool mayRun(const SlotView &View, const AdmissionRequest &Request);

/// Counts a request that was just started.
void countRunning(SlotView &View, const AdmissionRequest &Request);

/// Expected time in the slot; the mean of finished requests when the request
/// does not say.
Duration costOf(const Admission &Table, const AdmissionRequest &Request);

/// Expected time until the request would start, with all queued requests
/// before it that compete for the same slots.
Duration expectedWait(const Admission &Table, const SlotView &View,
                      const AdmissionRequest &Request, TimePoint Now);

/// Whether a request of depth 0 that starts at this time is expected to miss
/// its latency target. The answers to nested calls count by their deadline
/// only, as their callers' requests have the targets.
bool isPastTarget(const Admission &Table, const AdmissionRequest &Request,
                  TimePoint Start);

/// Whether no request that keeps this one from running has finished for
/// ConflictWait_. Only nested calls can be in conflict: a call of depth 0 has
/// no caller that holds a slot.
bool isInConflict(const Admission &Table, const SlotView &View,
                  const QueuedRequest &Waiting, TimePoint Now);

/// Whether Left runs before Right at this time; see Admission.h.
bool runsBefore(const Admission &Table, const AdmissionRequest &Left,
                const AdmissionRequest &Right, TimePoint Now);

/// Whether New takes the place of Last in a full queue: it is deeper, in time
/// where Last is late, or of a more urgent route.
bool displaces(const Admission &Table, const AdmissionRequest &New,
               const AdmissionRequest &Last, TimePoint Now);

/// Orders the queue by runsBefore(): requests become late while they wait.
void sortQueue(Admission &Table, TimePoint Now);

} // namespace sycamore

// Rules that decide which slots of the local target are available to a request.
#pragma once

#include "sycamore/Admission.h"

namespace sycamore {

using DepthCounts = std::array<std::uint32_t, MaxAdmissionDepth + 1>;

/// Slots in use and their limits at one point in time.
struct SlotView {
  std::uint32_t Slots_ = 0;
  std::uint32_t Running_ = 0;
  std::uint32_t Long_ = 0; ///< Held by long and overdue requests.
  std::uint32_t LongCap_ = 0;
  std::uint32_t Suspects_ = 0;
  DepthCounts HeldUpToDepth_{}; ///< Held by calls of this depth and less.
  DepthCounts DepthCap_{};      ///< Limits of HeldUpToDepth_.
};

/// Depth of the request, limited to MaxAdmissionDepth.
std::uint32_t levelOf(const AdmissionRequest &Request);

SlotView slotView(const Admission &Table, TimePoint Now);

/// Whether LongShare_ applies to the request. Nested calls are exempt: they
/// could otherwise wait for a slot that their own callers hold as long
/// requests, which the limits by depth do not prevent.
bool isLimitedAsLong(const AdmissionRequest &Request);

/// Whether a slot is free and available to the request.
bool mayRun(const SlotView &View, const AdmissionRequest &Request);

/// Adds a running request to the view.
void countRunning(SlotView &View, const AdmissionRequest &Request);

/// Expected time in the slot; the mean of finished requests if Expected_ is
/// not set.
Duration costOf(const Admission &Table, const AdmissionRequest &Request);

/// Expected time until the request would start, given the queued requests
/// before it that compete for the same slots.
Duration expectedWait(const Admission &Table, const SlotView &View,
                      const AdmissionRequest &Request, TimePoint Now);

/// Whether a request of depth 0 that starts at Start is expected to miss its
/// latency target. Nested calls are subject only to their deadline, as the
/// latency target applies to the outermost request.
bool missesLatencyTarget(const Admission &Table,
                         const AdmissionRequest &Request, TimePoint Start);

/// Whether the request has waited for ConflictWait_ and no request that blocks
/// it has finished during that time. Only nested calls can be in conflict: a
/// call of depth 0 has no caller that holds a slot.
bool isInDepthConflict(const Admission &Table, const SlotView &View,
                       const QueuedRequest &Waiting, TimePoint Now);

/// Whether Left runs before Right at time Now, in the order given in
/// Admission.h.
bool runsBefore(const Admission &Table, const AdmissionRequest &Left,
                const AdmissionRequest &Right, TimePoint Now);

/// Whether New replaces Last in a full queue, because New is deeper, in time
/// while Last is late, or of a more urgent route.
bool displaces(const Admission &Table, const AdmissionRequest &New,
               const AdmissionRequest &Last, TimePoint Now);

/// Sorts the queue by runsBefore(). The order changes over time, as requests
/// become late while they wait.
void sortQueue(Admission &Table, TimePoint Now);

} // namespace sycamore

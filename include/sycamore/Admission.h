// Slots and queue of the local target.
//
// A request runs when a slot is free and open to it. Three rules close slots:
// long requests of depth 0 hold at most a share of them; calls of depth d and
// less hold together at most depthCap(d), which leaves one slot for every
// deeper level that was seen lately; and at most one suspect runs at a time.
// Others wait in a short queue. Deeper requests run first, because requests
// elsewhere wait for them. Among the rest, those that can still be answered
// within their latency target run before those that cannot, so that a crest
// makes only its surplus late; then the more urgent route runs first, then the
// earlier target or deadline.
#pragma once

#include "sycamore/Time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace sycamore {

/// Deepest level with slots of its own; deeper calls count as this level.
inline constexpr std::uint32_t MaxAdmissionDepth = 9;

struct AdmissionRequest {
  std::uint64_t Id_ = 0;       ///< Unique among running and queued requests.
  std::uint32_t Depth_ = 0;    ///< 0 for a call that no target made.
  TimePoint Deadline_{};       ///< By which the answer must leave the target.
  Duration Expected_{0};       ///< Expected time in the slot (RouteCost).
  bool Long_ = false;          ///< See isLong().
  bool Suspect_ = false;       ///< Suspected of crashing targets (Quarantine).
  std::uint32_t Priority_ = 0; ///< Of the route; 0 is the most urgent.
  /// By which the answer must leave to have its full value; unset for none.
  std::optional<TimePoint> TargetAt_;
  /// Whether to queue the request although it would miss TargetAt_.
  bool AcceptLate_ = true;
  bool SpareOnly_ = false; ///< Refused unless a slot is open to it now.
};

enum class AdmissionDecision { Run, Queued, Refused };

enum class RefusalReason {
  None,
  QueueFull,     ///< The queue is at its limit.
  TooLate,       ///< Cannot be answered before its deadline.
  PastTarget,    ///< Would miss its latency target, and was not to be late.
  NoSpareSlot,   ///< Wanted a slot that is free, and none is.
  Leaving,       ///< The target admits no new work.
  NoSlots,       ///< The target announced no slots.
  DepthConflict, ///< May wait for a slot that its own callers hold.
  Duplicate,     ///< The id is already running or queued.
};

struct AdmissionVerdict {
  AdmissionDecision Decision_ = AdmissionDecision::Refused;
  RefusalReason Reason_ = RefusalReason::None;
  Duration RetryAfter_{0}; ///< When refused: expected time to a free slot.
};

struct AdmissionOptions {
  /// Share of slots that long requests of depth 0 may hold (at least one).
  double LongShare_ = 0.34;
  /// A running request that exceeds its expected time by this factor counts
  /// as long from then on.
  double OverdueFactor_ = 8.0;
  /// A request is refused when its deadline leaves less than this factor of
  /// its expected time after the expected wait.
  double DeadlineMargin_ = 1.5;
  /// A request that misses its latency target waits at most this share of the
  /// time that it had on arrival: while requests that are in time take all
  /// slots it would wait in vain, and its caller could do better.
  double LateWaitShare_ = 0.5;
  /// For this long after a request was refused for its latency target, requests
  /// that miss theirs are refused too: those in time already take every slot.
  Duration CrestMemory_ = milliseconds(300);
  /// How long a level keeps its slot after its last call.
  Duration DepthMemory_ = seconds(60);
  /// A nested call that waits this long while no request in its way finishes
  /// is refused, which lets its callers fail and free their slots.
  Duration ConflictWait_ = milliseconds(50);
  bool ReserveByDepth_ = true; ///< False only in tests and benchmarks.
};

struct AdmissionCounters {
  std::uint64_t Admitted_ = 0; ///< Verdicts Run and, later, from the queue.
  std::uint64_t Queued_ = 0;
  std::uint64_t Finished_ = 0;
  std::uint64_t Cancelled_ = 0;
  std::uint64_t RefusedQueueFull_ = 0;
  std::uint64_t RefusedTooLate_ = 0;
  std::uint64_t RefusedPastTarget_ = 0;
  std::uint64_t RefusedNoSpareSlot_ = 0;
  std::uint64_t RefusedLeaving_ = 0;
  std::uint64_t RefusedNoSlots_ = 0;
  std::uint64_t RefusedDepthConflict_ = 0;
  std::uint64_t RefusedDuplicate_ = 0;
  std::uint64_t Displaced_ = 0;     ///< Left a full queue for a deeper call.
  std::uint64_t UnknownFinish_ = 0; ///< finish() for an id not running.
};

enum class AdmissionEventKind {
  OverloadBegan, ///< First refusal for a full queue or a late deadline.
  OverloadEnded, ///< The queue ran empty again.
  DepthConflict, ///< A nested call was refused to free its callers' slots.
  SlotsChanged,
  StoppedAdmitting,
};

struct AdmissionEvent {
  AdmissionEventKind Kind_;
  std::uint64_t Value_ = 0; ///< Slots, depth, or requests refused.
};

struct RunningRequest {
  AdmissionRequest Request_;
  TimePoint Started_{};
};

struct QueuedRequest {
  AdmissionRequest Request_;
  TimePoint Queued_{};
};

struct DepthLevel {
  TimePoint LastSeen_{};
  TimePoint LastFinish_{};
  bool Seen_ = false;
};

struct Admission {
  AdmissionOptions Options_;
  AdmissionCounters Counters_;
  std::uint32_t Slots_ = 0;       ///< Set from the target's announcement.
  std::uint32_t QueueLimit_ = 64; ///< From the ticket's service.
  bool Admitting_ = true;
  std::vector<RunningRequest> Running_;
  std::vector<QueuedRequest> Queue_;     ///< In the order in which they run.
  std::vector<std::uint64_t> Displaced_; ///< For the next takeRunnable().
  std::array<DepthLevel, MaxAdmissionDepth + 1> Levels_{};
  double MeanServiceUs_ = 0; ///< Of finished requests; 0 before the first.
  std::optional<TimePoint> PastTargetRefusedAt_; ///< The last one.
  std::uint64_t RefusedInOverload_ = 0;
  bool Overloaded_ = false;
  std::vector<AdmissionEvent> Events_; ///< See takeEvents().
};

/// Load for the answer (wire::CallAnswer).
struct AdmissionLoad {
  Duration MeanService_{0}; ///< 0 before the first request has finished.
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Slots_ = 0;
};

/// Runs, queues or refuses a request. A Run verdict takes a slot at once.
AdmissionVerdict admit(Admission &Table, const AdmissionRequest &Request,
                       TimePoint Now);

/// Frees the slot of a request. ServiceTime is the time it held the slot.
void finish(Admission &Table, std::uint64_t Id, Duration ServiceTime,
            TimePoint Now);

/// Removes a queued request and returns true. False when the request runs
/// (its slot stays taken until finish()) or is unknown.
bool cancel(Admission &Table, std::uint64_t Id);

/// Moves requests from the queue: appends to Run those that now hold a slot
/// and to Refused those that did not and will not run. Call it after finish()
/// and setSlots(), and every tick.
void takeRunnable(Admission &Table, TimePoint Now,
                  std::vector<std::uint64_t> &Run,
                  std::vector<std::uint64_t> &Refused);

/// Slots that calls of depth Depth and less may hold together at this time.
std::uint32_t depthCap(const Admission &Table, std::uint32_t Depth,
                       TimePoint Now);

/// Fewer slots than requests running lets those finish.
void setSlots(Admission &Table, std::uint32_t Slots);
void setQueueLimit(Admission &Table, std::uint32_t Limit);

/// Refuses all new requests from now on; the next takeRunnable() refuses the
/// queue. Running requests finish.
void stopAdmitting(Admission &Table);

AdmissionLoad load(const Admission &Table);

/// Expected time until a slot is free for a request of depth 0.
Duration retryAfter(const Admission &Table);

/// Moves the state changes since the last call out of the table.
std::vector<AdmissionEvent> takeEvents(Admission &Table);

} // namespace sycamore

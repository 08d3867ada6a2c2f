// Admission control for one local target: its concurrency slots and a bounded
// queue.
//
// A request starts when a slot is free and available to it. Three rules
// restrict the slots: long requests of depth 0 hold at most a share of them;
// calls of depth d and less together hold at most depthCap(d), which reserves
// one slot for every deeper level with recent calls; and at most one suspect
// runs at a time. Other requests are queued. Deeper requests run first, because
// requests on other targets wait for them. Among requests of equal depth, those
// that can still meet their latency target run before those that cannot, so
// that under overload only the excess requests are late; then the more urgent
// route runs first, then the earlier latency target or deadline. Among requests
// that are equal but for the last, tenants share the slots; see TenantShares.h.
#pragma once

#include "sycamore/Time.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sycamore {

/// Deepest level with slots of its own; deeper calls count as this level.
inline constexpr std::uint32_t MaxAdmissionDepth = 9;

/// Ranks of requests in reports of remaining work: 0 for nested calls, then by
/// the priority of the route; the last rank takes all further priorities.
inline constexpr std::size_t WorkRanks = 4;

constexpr std::size_t workRank(std::uint32_t Depth, std::uint32_t Priority) {
  return Depth > 0
             ? 0
             : std::min<std::size_t>(std::size_t{Priority} + 1, WorkRanks - 1);
}

struct AdmissionRequest {
  std::uint64_t Id_ = 0;       ///< Unique among running and queued requests.
  std::uint32_t Depth_ = 0;    ///< 0 for a call not made by a target.
  TimePoint Deadline_{};       ///< By which the answer must leave the target.
  Duration Expected_{0};       ///< Expected time in the slot (RouteCost).
  bool Long_ = false;          ///< See isLong() in RouteCost.h.
  bool Suspect_ = false;       ///< Suspected of crashing targets (Quarantine).
  std::uint32_t Priority_ = 0; ///< Of the route; 0 is the most urgent.
  /// Latency target: by which the answer must leave to have its full value;
  /// unset for none.
  std::optional<TimePoint> LatencyTargetAt_;
  /// Whether to queue the request if it is expected to miss LatencyTargetAt_.
  bool AcceptLate_ = true;
  /// Whether to refuse the request instead of queueing it.
  bool FreeSlotOnly_ = false;
  std::string Tenant_; ///< Empty for none.
  /// Longest expected wait in the queue for which the request is queued; unset
  /// for no such limit.
  std::optional<Duration> WaitLimit_;
  /// Whether the expected wait counts the time until the next slot is free. It
  /// otherwise counts half of the time of all running requests per slot, which
  /// is several times too long for a request that would be the next to start.
  bool WaitForNextSlot_ = false;
};

enum class AdmissionDecision { Run, Queued, Refused };

enum class RefusalReason {
  None,
  QueueFull, ///< The queue is at its limit.
  TooLate,   ///< Cannot be answered before its deadline.
  /// Expected to miss its latency target; see AcceptLate_ and
  /// LateRefusalTime_.
  MissesLatencyTarget,
  NoFreeSlot,    ///< FreeSlotOnly_ is set and no slot is available.
  WaitLimit,     ///< Would wait longer than WaitLimit_.
  Leaving,       ///< The target admits no new requests.
  NoSlots,       ///< The target announced no slots.
  DepthConflict, ///< May be waiting for a slot that its own callers hold.
  Duplicate,     ///< The id is already running or queued.
};

struct AdmissionVerdict {
  AdmissionDecision Decision_ = AdmissionDecision::Refused;
  RefusalReason Reason_ = RefusalReason::None;
  Duration RetryAfter_{0}; ///< When refused: expected time until a free slot.
};

struct AdmissionOptions {
  /// Share of slots that long requests of depth 0 may hold (at least one).
  double LongShare_ = 0.34;
  /// A running request that exceeds its expected time by this factor counts
  /// as long from then on.
  double OverdueFactor_ = 8.0;
  /// A request is refused when the time left between its expected start and
  /// its deadline is less than its expected time multiplied by this factor.
  double DeadlineMargin_ = 1.5;
  /// A request that misses its latency target waits in the queue for at most
  /// this share of the time between its arrival and its deadline. While
  /// requests in time occupy all slots it would not be started anyway, and an
  /// early refusal leaves its caller time for another attempt.
  double LateWaitShare_ = 0.5;
  /// For this long after a request was refused because of its latency target,
  /// requests expected to miss theirs are refused too, as the requests in time
  /// already occupy every slot.
  Duration LateRefusalTime_ = milliseconds(300);
  /// How long a slot stays reserved for a depth level after its last call.
  Duration DepthReservationTime_ = seconds(60);
  /// A nested call is refused after waiting this long if none of the requests
  /// that block it has finished for this long either. The refusal lets its
  /// callers fail and free their slots.
  Duration ConflictWait_ = milliseconds(50);
  /// Least share of its expected time that a running request is taken to have
  /// left, however long it has run. Run times have long tails, so a request
  /// that exceeds its expected time is not about to end.
  double RemainingShare_ = 0.25;
  bool ReserveByDepth_ = true; ///< False only in tests and benchmarks.
};

struct AdmissionCounters {
  std::uint64_t Admitted_ = 0; ///< Started at once or from the queue.
  std::uint64_t Queued_ = 0;
  std::uint64_t Finished_ = 0;
  std::uint64_t Cancelled_ = 0;
  std::uint64_t RefusedQueueFull_ = 0;
  std::uint64_t RefusedTooLate_ = 0;
  std::uint64_t RefusedLatencyTarget_ = 0;
  std::uint64_t RefusedNoFreeSlot_ = 0;
  std::uint64_t RefusedWaitLimit_ = 0;
  std::uint64_t RefusedLeaving_ = 0;
  std::uint64_t RefusedNoSlots_ = 0;
  std::uint64_t RefusedDepthConflict_ = 0;
  std::uint64_t RefusedDuplicate_ = 0;
  /// Removed from a full queue by a deeper, timelier or more urgent request.
  std::uint64_t Displaced_ = 0;
  std::uint64_t UnknownFinish_ = 0; ///< finish() for an id not running.
};

enum class AdmissionEventKind {
  OverloadBegan, ///< First refusal with reason QueueFull or TooLate.
  OverloadEnded, ///< The queue is empty again.
  DepthConflict, ///< A nested call was refused to free its callers' slots.
  SlotsChanged,
  StoppedAdmitting,
};

struct AdmissionEvent {
  AdmissionEventKind Kind_;
  /// Queue length (OverloadBegan, StoppedAdmitting), requests refused during
  /// the overload (OverloadEnded), depth (DepthConflict) or new number of slots
  /// (SlotsChanged).
  std::uint64_t Value_ = 0;
};

struct RunningRequest {
  AdmissionRequest Request_;
  TimePoint StartedAt_{};
};

struct QueuedRequest {
  AdmissionRequest Request_;
  TimePoint QueuedAt_{};
};

struct DepthLevel {
  TimePoint LastSeen_{};
  TimePoint LastFinish_{};
  bool Seen_ = false;
};

struct Admission {
  AdmissionOptions Options_;
  AdmissionCounters Counters_;
  std::uint32_t Slots_ = 0;       ///< From the target's announcement.
  std::uint32_t QueueLimit_ = 64; ///< From the service's configuration.
  bool Admitting_ = true;
  std::vector<RunningRequest> Running_;
  std::vector<QueuedRequest> Queue_; ///< In the order in which they run.
  /// Reported as refused by the next dequeueRunnable().
  std::vector<std::uint64_t> Displaced_;
  std::array<DepthLevel, MaxAdmissionDepth + 1> Levels_{};
  double MeanServiceUs_ = 0; ///< Of finished requests; 0 before the first.
  /// Last refusal of a request that would have met its latency target if it had
  /// not had to wait.
  std::optional<TimePoint> LatencyRefusalAt_;
  std::uint64_t RefusedInOverload_ = 0;
  bool Overloaded_ = false;
  /// Expected work started for tenants that have waiting requests, beyond that
  /// of the tenant with the least, by priority and tenant.
  std::map<std::pair<std::uint32_t, std::string>, Duration> TenantWork_;
  std::vector<AdmissionEvent> Events_; ///< See takeEvents().
};

/// Load of the target, as reported in wire::CallAnswer.
struct AdmissionLoad {
  Duration MeanService_{0}; ///< 0 before the first request has finished.
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Slots_ = 0;
};

/// Runs, queues or refuses a request. After a Run verdict it holds a slot.
AdmissionVerdict admit(Admission &Table, const AdmissionRequest &Request,
                       TimePoint Now);

/// Frees the slot of a request. ServiceTime is the time it held the slot.
void finish(Admission &Table, std::uint64_t Id, Duration ServiceTime,
            TimePoint Now);

/// Removes a queued request and returns true. False when the request runs
/// (its slot stays taken until finish()) or is unknown.
bool cancel(Admission &Table, std::uint64_t Id);

/// Removes requests from the queue: appends to Run the ids of those that now
/// hold a slot, and to Refused those that will not run. Call it after finish()
/// and setSlots(), and on every tick.
void dequeueRunnable(Admission &Table, TimePoint Now,
                     std::vector<std::uint64_t> &Run,
                     std::vector<std::uint64_t> &Refused);

/// Number of slots that calls of depth Depth and less may hold together.
std::uint32_t depthCap(const Admission &Table, std::uint32_t Depth,
                       TimePoint Now);

/// Sets the number of slots. Running requests in excess of it may finish.
void setSlots(Admission &Table, std::uint32_t Slots);
void setQueueLimit(Admission &Table, std::uint32_t Limit);

/// Refuses all new requests from now on; the next dequeueRunnable() refuses all
/// queued requests. Running requests may finish.
void stopAdmitting(Admission &Table);

AdmissionLoad load(const Admission &Table);

/// Expected time in the slot of the queued requests, and of the running ones
/// less the time that they have run; see AdmissionOptions::RemainingShare_.
Duration remainingWork(const Admission &Table, TimePoint Now);

/// Expected time in the slot of the queued requests, by rank.
std::array<Duration, WorkRanks> queuedWork(const Admission &Table);

/// Expected time until a slot is free for a request of depth 0; at least 1 ms.
Duration retryAfter(const Admission &Table);

/// Moves the state changes since the last call out of the table.
std::vector<AdmissionEvent> takeEvents(Admission &Table);

} // namespace sycamore

// Call records of the daemon beside the target. They ensure that each attempt
// runs at most once, keep answers for a limited time, and allow queries to be
// answered correctly even for calls whose records have been dropped.
//
// The number of records is bounded. The ordinals of one entry process rise with
// each attempt it sends, so the highest ordinal of a dropped record serves as
// the low-water mark of that entry process: an attempt at or below it without a
// record may have run already; it is not run and its outcome is answered as
// unknown. The number of low-water marks is bounded as well: those of the entry
// processes that started first are dropped first, and
// LatestForgottenIncarnation_ is the latest start time among them.
#pragma once

#include "sycamore/PeerMessages.pb.h"
#include "sycamore/Time.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamore {

enum class Acceptance {
  New,                ///< Pass it to admission.
  DuplicateRunning,   ///< Drop it; the first copy is queued or running.
  Replay,             ///< Send the stored answer again.
  RefusedPermanently, ///< Recorded as refused, for example because a query or
                      ///< cancellation arrived first: not run.
  Expired,            ///< May have expired before it was read: not run.
  WrongProcess,       ///< Sent to an earlier process of this daemon: unknown.
  NoProcess,          ///< Not idempotent and names no process: not run.
  Forgotten,          ///< Its record was dropped; it may have run: unknown.
  NoRoom,             ///< No room for a record: not run.
};

/// How to handle a request that arrived. Answer_ and Body_ are to be sent,
/// unless the acceptance is New or DuplicateRunning.
struct AcceptResult {
  Acceptance Acceptance_ = Acceptance::New;
  wire::CallAnswer Answer_;
  std::shared_ptr<const std::string> Body_;
  Duration Remaining_{0}; ///< For New: time left when the request was read.
};

/// Answer to a query. For CALL_DONE, Answer_ holds the stored answer, which is
/// sent after QueryAnswer_.
struct QueryResult {
  wire::CallQueryAnswer QueryAnswer_;
  std::optional<wire::CallAnswer> Answer_;
  std::shared_ptr<const std::string> Body_;
};

enum class CancelResult {
  NoAction, ///< The call has ended, or will be refused if it arrives later.
  Dequeue,  ///< Remove it from the admission queue; it is recorded as not run.
  Abort,    ///< Close its connection to the target, then call recordEnd() with
            ///< RUN_UNKNOWN.
};

enum class TargetCallState {
  Queued,   ///< Accepted, not yet sent to the target.
  Running,  ///< Sent to the target; from here on it may have run.
  Finished, ///< Answered; the stored answer may have been dropped.
  Refused,  ///< Tombstone: never run, and never will.
};

struct TargetCall {
  wire::CallId Id_;
  TargetCallState State_ = TargetCallState::Queued;
  TimePoint Deadline_; ///< Of the caller, by this daemon's clock.
  TimePoint EndedAt_;  ///< When it finished or was refused.
  wire::CallAnswer Answer_;
  std::shared_ptr<const std::string> Body_;
  bool AnswerDropped_ = false;
};

/// Smallest differences between the own clock at the arrival of requests and
/// the sender's clock at their sending, in two consecutive time windows. The
/// offset between the clocks is unknown, so the time for which a request waited
/// on its way is its excess over the smallest difference.
struct TransitBaseline {
  TimePoint WindowStart_;
  std::optional<Duration> Current_;
  std::optional<Duration> Previous_;
};

/// Call records of one entry process.
struct EntryProcess {
  TransitBaseline Transit_;
  std::uint64_t LowWaterMark_ = 0; ///< Highest ordinal of a dropped record.
  std::unordered_map<std::uint64_t, TargetCall> Calls_; ///< By ordinal.
};

/// Name of the entry server and the incarnation (start time) of its process.
using EntryProcessKey = std::pair<std::string, std::uint64_t>;

struct TargetCallsCounters {
  std::uint64_t Accepted_ = 0;
  std::uint64_t Duplicates_ = 0;
  std::uint64_t Replays_ = 0;
  std::uint64_t RefusedPermanently_ = 0;
  std::uint64_t Expired_ = 0;
  std::uint64_t WrongProcess_ = 0;
  std::uint64_t Forgotten_ = 0;
  std::uint64_t Full_ = 0;
  std::uint64_t Mismatched_ = 0; ///< Same ordinal as another call: refused.
  std::uint64_t Queries_ = 0;
  std::uint64_t Tombstones_ = 0;
  std::uint64_t Cancelled_ = 0;
  std::uint64_t AnswersDropped_ = 0;
  std::uint64_t RecordsDropped_ = 0;
  std::uint64_t ProcessesForgotten_ = 0;
  std::uint64_t Pauses_ = 0;
};

/// This process was not scheduled for longer than PauseThreshold_.
struct PauseEvent {
  Duration Length_{0};
};

struct TargetCallLimits {
  /// How long finished records and tombstones are kept. Must exceed the time
  /// for which an entry daemon sends queries after the longest usual deadline.
  Duration RetentionTime_ = seconds(30);
  std::size_t MaxRecords_ = 20000;
  std::size_t MaxAnswerBytes_ = 16U << 20U; ///< Bodies of stored answers.
  /// A fleet of 690 daemons with 110 restarts a day reaches this limit after
  /// 140 days.
  std::size_t MaxProcesses_ = 16384;
  /// A longer time between ticks counts as a pause of this process. Five times
  /// the tick interval.
  Duration PauseThreshold_ = milliseconds(100);
  /// Time after a pause during which requests may still be read from buffers
  /// that filled during the pause.
  Duration DrainAfterPause_ = seconds(1);
  /// Length of a window of TransitBaseline. Two clocks that drift apart by
  /// 100 us a second differ by 6 ms over two windows.
  Duration TransitWindow_ = seconds(30);
};

struct TargetCalls {
  /// Start time of this process in microseconds since the epoch.
  std::uint64_t Process_ = 0;
  TargetCallLimits Limits_;
  std::map<EntryProcessKey, EntryProcess> Processes_;
  /// Entry processes that started at or before this time and are not in
  /// Processes_ may have been forgotten.
  std::uint64_t LatestForgottenIncarnation_ = 0;
  /// Ended calls (entry process and ordinal), oldest end first.
  std::deque<std::pair<EntryProcessKey, std::uint64_t>> EndOrder_;
  std::size_t Records_ = 0;
  std::size_t AnswerBytes_ = 0; ///< Size of all stored answer bodies.
  /// Ended calls with a stored body, in the order in which bodies are dropped.
  std::deque<std::pair<EntryProcessKey, std::uint64_t>> BodyOrder_;
  TimePoint LastTick_; ///< Must be initialised to the start time.
  TimePoint PauseEnd_;
  Duration PauseLength_{0};
  std::vector<PauseEvent> Events_; ///< See takeEvents().
  TargetCallsCounters Counters_;
};

std::vector<PauseEvent> takeEvents(TargetCalls &Calls);

/// Records an attempt that arrived. A request whose remaining time may have
/// ended while this process was paused is refused as not run.
AcceptResult acceptRequest(TargetCalls &Calls, const wire::CallRequest &Request,
                           TimePoint Now);

/// Records that the request is about to be sent to the target. Returns false
/// when it must not be sent, because it was cancelled or refused while queued,
/// or its deadline has passed; the daemon then answers with RUN_NOT_RUN through
/// recordEnd().
bool recordRunning(TargetCalls &Calls, const wire::CallId &Id, TimePoint Now);

/// Records the end of a call: done, refused by admission (RUN_NOT_RUN) or lost
/// (RUN_UNKNOWN). Stores the answer and returns the answer to send, with the
/// process set. After recordRunning() the daemon may state RUN_NOT_RUN only if
/// no byte reached the target, for example when its port refuses connections,
/// or if the target itself answered that it did not run the request.
wire::CallAnswer recordEnd(TargetCalls &Calls, wire::CallAnswer Answer,
                           std::shared_ptr<const std::string> Body,
                           TimePoint Now);

/// Handles the query of an entry daemon. A call never seen gets a tombstone.
QueryResult onQuery(TargetCalls &Calls, const wire::CallQuery &Query,
                    TimePoint Now);

/// Handles the cancellation of a call by its entry daemon. A call never seen
/// gets a tombstone.
CancelResult onCancel(TargetCalls &Calls, const wire::CallId &Id,
                      TimePoint Now);

/// Drops records older than RetentionTime_ and detects pauses of this process.
/// Called every 20 ms.
void tickTargetCalls(TargetCalls &Calls, TimePoint Now);

} // namespace sycamore

// Calls at the daemon beside the target (the target's side of the call table):
// runs each attempt at most once, keeps answers for a while, and answers
// queries truthfully even about what it has forgotten.
//
// Records are bounded. Ordinals of one entry process rise with each attempt it
// sends, so for each entry process the highest forgotten ordinal is a low-water
// mark: an attempt at or below it without a record may have run, is never run
// now, and is answered as unknown. Marks are bounded as well: the entry
// processes that started first are forgotten first, and ForgottenProcesses_ is
// the highest start time among them.
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
  New,              ///< Take it to admission.
  DuplicateRunning, ///< Drop it; the first copy is queued or running.
  Replay,           ///< Send the kept answer.
  RefusedForGood,   ///< A query or cancel came first: not run.
  Expired,          ///< Its time ended before it was read: not run.
  WrongProcess,     ///< Meant for an earlier process of this daemon: unknown.
  NoProcess,        ///< Not idempotent and names no process: not run.
  Forgotten,        ///< Its record was dropped; it may have run: unknown.
  Full,             ///< No room for a record: not run.
};

/// What to do with a request. Answer_ and Body_ are to be sent, unless the
/// acceptance is New or DuplicateRunning.
struct AcceptResult {
  Acceptance Acceptance_ = Acceptance::New;
  wire::CallAnswer Answer_;
  std::shared_ptr<const std::string> Body_;
  Duration Remaining_{0}; ///< For New: time that is left, pauses deducted.
};

/// Answer to a query. For CALL_DONE the kept answer follows it.
struct QueryResult {
  wire::CallQueryAnswer QueryAnswer_;
  std::optional<wire::CallAnswer> Answer_;
  std::shared_ptr<const std::string> Body_;
};

enum class CancelResult {
  Nothing, ///< Already over, or refused from now on.
  Dequeue, ///< Remove it from the admission queue; it is recorded as not run.
  Abort,   ///< Close its connection to the target, then noteDone() as unknown.
};

enum class TargetCallState {
  Queued,   ///< Accepted, not yet given to the target.
  Running,  ///< Given to the target; from here on it may have run.
  Finished, ///< Answered; the answer may have been dropped.
  Refused,  ///< Tombstone: never run, and never will.
};

struct TargetCall {
  wire::CallId Id_;
  TargetCallState State_ = TargetCallState::Queued;
  TimePoint Deadline_; ///< Of the caller, by this daemon's clock.
  TimePoint EndedAt_;  ///< When it was finished or refused.
  wire::CallAnswer Answer_;
  std::shared_ptr<const std::string> Body_;
  bool AnswerDropped_ = false;
};

/// All that is kept of one entry process.
struct EntryProcess {
  std::uint64_t LowWaterMark_ = 0; ///< Highest forgotten ordinal.
  std::unordered_map<std::uint64_t, TargetCall> Calls_; ///< By ordinal.
};

/// Name of the entry server and its incarnation.
using EntryProcessKey = std::pair<std::string, std::uint64_t>;

struct TargetCallsCounters {
  std::uint64_t Accepted_ = 0;
  std::uint64_t Duplicates_ = 0;
  std::uint64_t Replays_ = 0;
  std::uint64_t RefusedForGood_ = 0;
  std::uint64_t Expired_ = 0;
  std::uint64_t WrongProcess_ = 0;
  std::uint64_t Forgotten_ = 0;
  std::uint64_t Full_ = 0;
  std::uint64_t Mismatched_ = 0; ///< Same ordinal, other call: refused.
  std::uint64_t Queries_ = 0;
  std::uint64_t Tombstones_ = 0;
  std::uint64_t Cancelled_ = 0;
  std::uint64_t AnswersDropped_ = 0;
  std::uint64_t RecordsDropped_ = 0;
  std::uint64_t ProcessesForgotten_ = 0;
  std::uint64_t Pauses_ = 0;
};

/// This process did not run for a while. Worth a log line.
struct PauseNoticed {
  Duration Length_{0};
};

struct TargetCallLimits {
  /// How long finished records and tombstones are kept. Longer than an entry
  /// daemon asks after the longest usual deadline.
  Duration KeepFor_ = seconds(30);
  std::size_t MaxRecords_ = 20000;
  std::size_t MaxAnswerBytes_ = 16U << 20U; ///< Bodies of kept answers.
  /// 690 daemons with 110 restarts a day reach this after 140 days.
  std::size_t MaxProcesses_ = 16384;
  /// Five times the tick interval.
  Duration PauseThreshold_ = milliseconds(100);
  /// Time after a pause within which requests may still come from buffers that
  /// filled during it.
  Duration DrainAfterPause_ = seconds(1);
};

struct TargetCalls {
  /// Start time of this process in microseconds since the epoch.
  std::uint64_t Process_ = 0;
  TargetCallLimits Limits_;
  std::map<EntryProcessKey, EntryProcess> Processes_;
  /// Entry processes that started at or before this time and are not in
  /// Processes_ may have been forgotten.
  std::uint64_t ForgottenProcesses_ = 0;
  std::deque<std::pair<EntryProcessKey, std::uint64_t>> Ended_; ///< In order.
  std::size_t Records_ = 0;
  std::size_t AnswerBytes_ = 0;
  /// Ended records with a body, in the order in which those are dropped.
  std::deque<std::pair<EntryProcessKey, std::uint64_t>> Answers_;
  TimePoint LastTick_; ///< Set it to the start time.
  TimePoint PauseEnd_;
  Duration PauseLength_{0};
  std::vector<PauseNoticed> Events_; ///< See takeEvents().
  TargetCallsCounters Counters_;
};

std::vector<PauseNoticed> takeEvents(TargetCalls &Calls);

/// Records an attempt that arrived. A request whose remaining time may have
/// ended while this process was paused is refused as not run.
AcceptResult acceptRequest(TargetCalls &Calls, const wire::CallRequest &Request,
                           TimePoint Now);

/// The request is about to be given to the target. False when it must not be:
/// it was cancelled or refused while queued, or its deadline has passed; the
/// daemon then answers with NOT_RUN through noteDone().
bool noteRunning(TargetCalls &Calls, const wire::CallId &Id, TimePoint Now);

/// The call ended: done, refused by admission (RUN_NOT_RUN) or lost
/// (RUN_UNKNOWN). Keeps the answer and returns it as it must be sent, with the
/// process set. The daemon may state RUN_NOT_RUN after noteRunning() only if
/// no byte reached the target, for example when its port refuses connections.
wire::CallAnswer noteDone(TargetCalls &Calls, wire::CallAnswer Answer,
                          std::shared_ptr<const std::string> Body,
                          TimePoint Now);

/// An entry daemon asks. A call never seen gets a tombstone.
QueryResult onQuery(TargetCalls &Calls, const wire::CallQuery &Query,
                    TimePoint Now);

/// An entry daemon gave up. A call never seen gets a tombstone.
CancelResult onCancel(TargetCalls &Calls, const wire::CallId &Id,
                      TimePoint Now);

/// Drops old records and notices pauses. Called every 20 ms.
void tickTargetCalls(TargetCalls &Calls, TimePoint Now);

} // namespace sycamore

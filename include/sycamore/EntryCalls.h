// Calls in flight at the daemon that received them from a caller (the entry
// daemon's side of the call table). Decides when an attempt is sent, asked
// about or cancelled, and what the caller is told.
//
// Every function returns the actions that the daemon must carry out, in order.
// After a Finish the call is no longer in the table.
#pragma once

#include "sycamore/Error.h"
#include "sycamore/PeerMessages.pb.h"
#include "sycamore/Snapshot.h"
#include "sycamore/Time.h"

#include <functional>
#include <span>
#include <unordered_map>
#include <variant>

namespace sycamore {

/// What is known about one attempt.
enum class AttemptState {
  Queued,  ///< Handed to the daemon in a SendAttempt; nothing has left yet.
  Sent,    ///< Given to the transport; it may run.
  InDoubt, ///< Its link was lost or went silent; it may have run.
  Running, ///< The target's daemon says that it has it, or has its answer.
  NotRun,  ///< Proven not to have run and never to run.
  Unknown, ///< It may have run, and nobody can tell any more.
};

struct CallAttempt {
  std::uint32_t Number_ = 0;  ///< CallId.attempt, from 1.
  std::uint64_t Ordinal_ = 0; ///< CallId.ordinal.
  std::string Server_;        ///< Server of the target's daemon.
  std::string Target_;
  std::uint64_t Process_ = 0; ///< See ChosenTarget::Process_.
  AttemptState State_ = AttemptState::Queued;
  bool Hedge_ = false;
  bool Late_ = false; ///< Accepts an answer after the latency target.
  /// With NotRun: the target itself refused the call, so it counts as sent to
  /// that target.
  bool ReachedTarget_ = false;
  TimePoint SentAt_;
  TimePoint NextQuery_;
  std::uint32_t Queries_ = 0; ///< Since the last answer to one.
  std::uint32_t DamagedAnswers_ = 0;
};

/// One call of a caller.
struct EntryCall {
  std::uint64_t Sequence_ = 0;
  SnapshotPointer Snapshot_; ///< Held for the whole life of the call.
  std::string Route_;
  std::string Service_;
  TimePoint StartedAt_;
  /// The caller's deadline; no attempt is sent after it.
  TimePoint Deadline_;
  /// Until then an open outcome is still asked for. At least Deadline_; later
  /// only for keyed calls at their holder, whose record profits from it.
  TimePoint GiveUpAt_;
  std::uint32_t Depth_ = 0;
  /// By which the answer has its full value; unset when the route names none.
  std::optional<TimePoint> TargetAt_;
  /// Targets that the call may reach; 0 for no limit but MaxAttempts_.
  std::uint32_t MaxTargets_ = 0;
  bool Idempotent_ = false;
  /// The call goes on when its caller leaves: a keyed call at its holder.
  bool KeepWhenCallerGone_ = false;
  /// Fields that all attempts share; id, target, process and remaining_us are
  /// set for each.
  wire::CallRequest Request_;
  std::shared_ptr<const std::string> Body_;
  std::vector<CallAttempt> Attempts_;
  std::optional<TimePoint> HedgeAt_;
  /// The last answer that said not run; the caller gets its reason.
  wire::CallAnswer Refusal_;
};

/// Where an attempt goes.
struct ChosenTarget {
  std::string Server_;
  std::string Target_;
  /// Start time of the server's process in microseconds since the epoch, as
  /// its last message or record stated it; 0 when none has come. A call that
  /// is not idempotent is not sent with 0, and for others a CallQuery can then
  /// not prove that the call did not run.
  std::uint64_t Process_ = 0;
};

/// Decisions of other modules. Every member must be set.
struct CallPolicy {
  /// A target whose name is not among Excluded, or nothing.
  std::function<std::optional<ChosenTarget>(
      const EntryCall &Call, std::span<const std::string> Excluded)>
      ChooseTarget_;
  /// Takes one retry from the budget; false when it is empty. Not asked while
  /// no target was reached, as such a retry costs no target anything.
  std::function<bool(const EntryCall &Call)> TakeRetry_;
  /// Time from the first attempt to the hedge; nothing for no hedge. Asked for
  /// idempotent calls only.
  std::function<std::optional<Duration>(const EntryCall &Call)> HedgeDelay_;
  /// Takes one hedge from the budget; false when it is empty.
  std::function<bool(const EntryCall &Call)> TakeHedge_;
};

/// Send this request. Then call noteSent() once the transport has it, or
/// onSendFailed() if no part of it can have left this process.
struct SendAttempt {
  std::string Server_;
  wire::CallRequest Request_;
  std::shared_ptr<const std::string> Body_;
  std::vector<std::string> Excluded_; ///< Targets that were tried before.
};

/// Ask about an attempt whose link went silent.
struct SendQuery {
  std::string Server_;
  wire::CallQuery Query_;
  /// Replace the link to the server first. Set on the first query after each
  /// silence.
  bool NewLink_ = false;
};

struct SendCancel {
  std::string Server_;
  wire::CallCancel Cancel_;
};

/// Answer the caller.
struct Finish {
  std::uint64_t Sequence_ = 0;
  wire::RunOutcome Run_ = wire::RUN_UNKNOWN;
  std::uint32_t Status_ = 0; ///< HTTP status.
  /// Unset when the target's own answer is passed on.
  std::optional<Error> Error_;
  Duration RetryAfter_{0};  ///< 0 for none.
  wire::CallAnswer Answer_; ///< Headers, load and times of the target.
  std::string Body_;        ///< Whole, or empty with Error_.
};

using CallAction = std::variant<SendAttempt, SendQuery, SendCancel, Finish>;
using CallActions = std::vector<CallAction>;

struct EntryCallsCounters {
  std::uint64_t Begun_ = 0;
  std::uint64_t Attempts_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t Hedges_ = 0;
  std::uint64_t Queries_ = 0;
  std::uint64_t Cancels_ = 0;
  std::uint64_t Done_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t Unknown_ = 0;
  std::uint64_t CallerGone_ = 0;
  std::uint64_t DeadlinePassed_ = 0;
  std::uint64_t LateAnswers_ = 0;       ///< The call had ended.
  std::uint64_t DuplicateAnswers_ = 0;  ///< The attempt was settled.
  std::uint64_t MismatchedAnswers_ = 0; ///< Not ours, or from elsewhere.
  std::uint64_t DamagedAnswers_ = 0;    ///< Length or hash differ.
  std::uint64_t ForeignProcesses_ = 0;  ///< Answer of a restarted daemon.
  std::uint64_t UnnamedProcesses_ = 0;  ///< Not sent; see ChosenTarget.
  std::uint64_t SilentLinks_ = 0;
  std::uint64_t ResolvedByQuery_ = 0;
};

/// A change of state worth a log line.
struct LinkWentSilent {
  std::string Server_;
  Duration Silence_{0};
};
struct DoubtResolved {
  std::string Server_;
  std::uint64_t Sequence_ = 0;
  wire::CallState State_ = wire::CALL_RUNNING;
};
using EntryCallEvent = std::variant<LinkWentSilent, DoubtResolved>;

struct EntryCallLimits {
  /// Silence after which a link is replaced. Heartbeats come every 100 ms, so
  /// this is four lost ones.
  Duration LinkDeadline_ = milliseconds(400);
  /// An attempt without an answer is asked about after this time even if its
  /// link is alive, because a message can be lost on a link that is not.
  Duration AskAfter_ = seconds(2);
  /// Pause between queries about an attempt that runs, after a lost link.
  Duration RunningPause_ = milliseconds(500);
  /// Pause before the second query; doubles up to QueryPauseMax_.
  Duration QueryPause_ = milliseconds(50);
  Duration QueryPauseMax_ = milliseconds(400);
  /// Attempts in one call, the first included.
  std::uint32_t MaxAttempts_ = 4;
  /// The same for calls with a latency target: each further attempt carries the
  /// body to another data centre for little.
  std::uint32_t MaxAttemptsInTarget_ = 3;
  /// Attempts that a target refuses rather than answers late. The one after
  /// them may be late.
  std::uint32_t InTimeAttempts_ = 1;
  /// Part of a latency target that the way between caller and daemon takes.
  Duration CallerWay_ = milliseconds(15);
  /// Damaged answers after which another copy is no longer asked for.
  std::uint32_t MaxDamagedAnswers_ = 2;
  /// Hint to callers that were refused when the refusal names none.
  Duration RetryAfter_ = milliseconds(100);
  /// Least hint, as a share of the time that a call has left. A call that every
  /// target refused to queue misses its latency target anyway, and callers try
  /// only a few times: spread over their time, one of the tries is more likely
  /// to come after the crest.
  double RetryAfterShare_ = 0.3;
};

/// What is known of the link that carries requests to a server.
struct ServerLink {
  TimePoint HeardAt_;
  TimePoint ReplacedAt_;
};

struct EntryCalls {
  std::string Self_; ///< Name of this server.
  /// Start time of this process in microseconds since the epoch; CallId's
  /// incarnation. It does not change with refutations.
  std::uint64_t Incarnation_ = 0;
  EntryCallLimits Limits_;
  std::uint64_t NextSequence_ = 1;
  std::uint64_t NextOrdinal_ = 1;
  std::unordered_map<std::uint64_t, EntryCall> Calls_; ///< By sequence.
  std::unordered_map<std::string, ServerLink> Links_;  ///< By server.
  std::vector<EntryCallEvent> Events_;                 ///< See takeEvents().
  EntryCallsCounters Counters_;
};

/// Events since the last call.
std::vector<EntryCallEvent> takeEvents(EntryCalls &Calls);

/// Enters a call and sends its first attempt. Sets Call.Sequence_ (also in the
/// table), StartedAt_ and HedgeAt_; GiveUpAt_ becomes at least Deadline_. The
/// call ends at once (Finish, not run) without target or time.
CallActions beginCall(EntryCalls &Calls, EntryCall Call,
                      const CallPolicy &Policy, TimePoint Now);

/// The transport has taken an attempt; from here on it may run.
void noteSent(EntryCalls &Calls, const wire::CallId &Id, TimePoint Now);

/// The transport refused an attempt, or dropped it, and can prove that no part
/// of it left this process.
CallActions onSendFailed(EntryCalls &Calls, const wire::CallId &Id,
                         const CallPolicy &Policy, TimePoint Now);

/// Anything at all came from a server over the link that carries requests to
/// it. Traffic on other links says nothing about that one.
void noteHeard(EntryCalls &Calls, std::string_view Server, TimePoint Now);

/// An answer came from a server. Late, duplicate and mismatched ones change
/// nothing and are counted. A damaged body is never passed on.
CallActions onAnswer(EntryCalls &Calls, std::string_view Server,
                     const wire::CallAnswer &Answer, std::string Body,
                     const CallPolicy &Policy, TimePoint Now);

/// The link to a server broke or was found silent by its heartbeats.
CallActions onLinkLost(EntryCalls &Calls, std::string_view Server,
                       const CallPolicy &Policy, TimePoint Now);

/// A server was restarted and runs this process now: there is nobody left to
/// ask about what was sent to an earlier one. Attempts that name this process
/// go on; its record may have come before its first message.
CallActions onServerLost(EntryCalls &Calls, std::string_view Server,
                         std::uint64_t Process, const CallPolicy &Policy,
                         TimePoint Now);

CallActions onQueryAnswer(EntryCalls &Calls, std::string_view Server,
                          const wire::CallQueryAnswer &Answer,
                          const CallPolicy &Policy, TimePoint Now);

/// The caller closed its connection: cancels what may still run and forgets
/// the call, unless KeepWhenCallerGone_ is set.
CallActions onCallerGone(EntryCalls &Calls, std::uint64_t Sequence);

/// Deadlines, hedges, silent links and repeated queries. Called every 20 ms.
CallActions tickEntryCalls(EntryCalls &Calls, const CallPolicy &Policy,
                           TimePoint Now);

} // namespace sycamore

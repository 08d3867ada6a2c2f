// Calls in flight at the daemon that received them from a caller (the entry
// daemon's side of the call table). Decides when an attempt is sent, queried or
// cancelled, and what is returned to the caller.
//
// The functions return the actions that the daemon must perform, in order.
// After a CallResult the call is no longer in the table.
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
  Queued,  ///< Returned in a SendAttempt, not yet sent.
  Sent,    ///< Accepted by the transport; it may run.
  InDoubt, ///< Its link is lost or silent; it may have run.
  Running, ///< The target's daemon has the call or its answer.
  NotRun,  ///< Proven not to have run and never to run.
  Unknown, ///< It may have run; can no longer be resolved.
};

struct CallAttempt {
  std::uint32_t Number_ = 0;  ///< CallId.attempt, from 1.
  std::uint64_t Ordinal_ = 0; ///< CallId.ordinal.
  std::string Server_;        ///< Server of the target's daemon.
  std::string Target_;
  std::uint64_t Process_ = 0; ///< See ChosenTarget::Process_.
  AttemptState State_ = AttemptState::Queued;
  bool Hedge_ = false;
  /// Longest expected wait in the target's queue; 0 for no such limit.
  Duration WaitLimit_{0};
  bool AcceptLate_ = false; ///< Accepts an answer after the latency target.
  /// Only with NotRun: the target itself refused the call, so the attempt
  /// counts as one that reached a target.
  bool ReachedTarget_ = false;
  TimePoint SentAt_;
  TimePoint NextQueryAt_;
  /// Queries sent since the last answer to one.
  std::uint32_t UnansweredQueries_ = 0;
  std::uint32_t DamagedAnswers_ = 0;
};

/// A caller's call and its attempts.
struct EntryCall {
  std::uint64_t Sequence_ = 0;
  SnapshotPointer Snapshot_; ///< Kept until the call ends.
  std::string Route_;
  std::string Service_;
  std::string Tenant_; ///< Empty for a request without a credential.
  TimePoint StartedAt_;
  /// The caller's deadline; no attempt is sent after it.
  TimePoint Deadline_;
  /// Until then an unresolved outcome is still queried. At least Deadline_;
  /// later only for keyed calls at their holder, whose record of the key then
  /// contains the outcome.
  TimePoint OutcomeDeadline_;
  std::uint32_t Depth_ = 0;
  /// Made by the target beside this daemon while it runs another request.
  bool Nested_ = false;
  /// End of the route's latency target; a later answer is worth less. Unset
  /// when the route has no latency target.
  std::optional<TimePoint> LatencyTargetAt_;
  /// Maximum number of targets that the call may reach; with 0, only
  /// EntryCallLimits limits the attempts.
  std::uint32_t MaxTargets_ = 0;
  bool Idempotent_ = false;
  /// The call continues when its caller disconnects. Set for keyed calls at
  /// their holder.
  bool ContinueAfterDisconnect_ = false;
  /// Fields common to all attempts; id, target, process, remaining_us,
  /// target_left_us, accept_late and spare_only are set for each attempt.
  wire::CallRequest Request_;
  std::shared_ptr<const std::string> Body_;
  std::vector<CallAttempt> Attempts_;
  std::optional<TimePoint> HedgeAt_;
  /// The last answer with RUN_NOT_RUN; its reason is returned to the caller.
  wire::CallAnswer Refusal_;
};

/// Destination of an attempt.
struct ChosenTarget {
  std::string Server_;
  std::string Target_;
  /// Start time of the server's process in microseconds since the epoch, from
  /// its last message or membership record; 0 when neither was received. A call
  /// that is not idempotent is not sent with 0. For an idempotent call sent
  /// with 0, the answer to a CallQuery cannot prove that the call did not run.
  std::uint64_t Process_ = 0;
};

/// Callbacks for decisions made by other modules. Every member must be set.
struct CallPolicy {
  /// Chooses a target that is not in Excluded; nothing when there is none.
  std::function<std::optional<ChosenTarget>(
      const EntryCall &Call, std::span<const std::string> Excluded)>
      ChooseTarget_;
  /// Consumes one retry from the budget; false when the budget is empty. Not
  /// called while the call has reached no target, because such a retry puts no
  /// load on a target, unless the call is a suspect.
  std::function<bool(const EntryCall &Call)> ConsumeRetry_;
  /// Time from the first attempt to the hedge; nothing for no hedge. Called for
  /// idempotent calls only.
  std::function<std::optional<Duration>(const EntryCall &Call)> HedgeDelay_;
  /// Consumes one hedge from the budget; false when the budget is empty.
  std::function<bool(const EntryCall &Call)> ConsumeHedge_;
  /// Limit of the wait for the next attempt, after Earlier ones with a limit;
  /// nothing for no limit. May be unset: no attempt has a limit.
  std::function<std::optional<Duration>(const EntryCall &Call,
                                        std::uint32_t Earlier)>
      WaitLimit_ = {};
};

/// Send this request. Then call markSent() once the transport has accepted it,
/// or onSendFailed() if no part of it can have left this process.
struct SendAttempt {
  std::string Server_;
  wire::CallRequest Request_;
  std::shared_ptr<const std::string> Body_;
  std::vector<std::string> Excluded_; ///< Targets of earlier attempts.
};

/// Query the state of an attempt: its link was lost or became silent, its
/// answer is overdue, or its answer was damaged.
struct SendQuery {
  std::string Server_;
  wire::CallQuery Query_;
  /// Replace the link to the server first: it is silent, or queries on it stay
  /// unanswered. Set at most once per EntryCallLimits::LinkDeadline_.
  bool ReplaceLink_ = false;
};

struct SendCancel {
  std::string Server_;
  wire::CallCancel Cancel_;
};

/// Return the result to the caller.
struct CallResult {
  std::uint64_t Sequence_ = 0;
  wire::RunOutcome Run_ = wire::RUN_UNKNOWN;
  std::uint32_t Status_ = 0; ///< HTTP status.
  /// Unset when the target's own answer is returned.
  std::optional<Error> Error_;
  Duration RetryAfter_{0};  ///< 0 for none.
  wire::CallAnswer Answer_; ///< Headers, load and times of the target.
  std::string Body_;        ///< Complete, or empty with Error_.
};

using CallAction = std::variant<SendAttempt, SendQuery, SendCancel, CallResult>;
using CallActions = std::vector<CallAction>;

struct EntryCallsCounters {
  std::uint64_t Begun_ = 0;
  std::uint64_t Attempts_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t Hedges_ = 0;
  std::uint64_t WaitLimited_ = 0; ///< Attempts with a limit of the wait.
  std::uint64_t Queries_ = 0;
  std::uint64_t Cancels_ = 0;
  std::uint64_t Done_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t Unknown_ = 0;
  std::uint64_t CallerDisconnected_ = 0;
  std::uint64_t DeadlinePassed_ = 0;
  std::uint64_t LateAnswers_ = 0;         ///< The call had already ended.
  std::uint64_t DuplicateAnswers_ = 0;    ///< The attempt was already resolved.
  std::uint64_t MismatchedAnswers_ = 0;   ///< No such call, or wrong server.
  std::uint64_t DamagedAnswers_ = 0;      ///< Body length or hash differs.
  std::uint64_t RefusalsWithheld_ = 0;    ///< See withholdRefusal().
  std::uint64_t OtherProcessAnswers_ = 0; ///< Answers of restarted daemons.
  std::uint64_t UnknownProcesses_ = 0;    ///< Not sent; see ChosenTarget.
  std::uint64_t SilentLinks_ = 0;
  std::uint64_t ResolvedByQuery_ = 0;
};

/// Nothing was received on a link with attempts in flight, or queries on it
/// stay unanswered; the link is replaced.
struct LinkSilent {
  std::string Server_;
  Duration Silence_{0};
};
/// A query about an attempt in state InDoubt was answered.
struct OutcomeResolved {
  std::string Server_;
  std::uint64_t Sequence_ = 0;
  wire::CallState State_ = wire::CALL_RUNNING;
};
using EntryCallEvent = std::variant<LinkSilent, OutcomeResolved>;

struct EntryCallLimits {
  /// Silence after which a link is replaced: four lost heartbeats at one every
  /// 100 ms.
  Duration LinkDeadline_ = milliseconds(400);
  /// Time after which an attempt without an answer is queried even if its link
  /// is alive, because a message can be lost while its link is not.
  Duration QueryAfter_ = seconds(2);
  /// Time from the answer to a query until the next query about the same
  /// attempt.
  Duration RequeryInterval_ = milliseconds(500);
  /// Wait between the first query and the second; doubles with each unanswered
  /// query up to QueryBackoffMax_.
  Duration QueryBackoff_ = milliseconds(50);
  Duration QueryBackoffMax_ = milliseconds(400);
  /// Maximum number of attempts of a call, the first included. Attempts that
  /// were refused because of their limit of the wait do not count; see
  /// CallPolicy::WaitLimit_.
  std::uint32_t MaxAttempts_ = 4;
  /// The same for calls with a latency target. A further attempt sends the body
  /// to another data centre and gains little.
  std::uint32_t MaxAttemptsWithLatencyTarget_ = 3;
  /// Number of first attempts of a call with a latency target that a target
  /// refuses if it cannot answer in time. Later attempts accept a late answer.
  std::uint32_t OnTimeAttempts_ = 1;
  /// Part of a latency target reserved for the network path between caller and
  /// daemon.
  Duration CallerTransitTime_ = milliseconds(15);
  /// Number of damaged answers to an attempt after which no further copy of the
  /// answer is requested.
  std::uint32_t MaxDamagedAnswers_ = 2;
  /// See Settings::RefusalStatuses_.
  std::vector<std::uint32_t> RefusalStatuses_;
  /// Retry-After for refused calls when the refusal contains none.
  Duration RetryAfter_ = milliseconds(100);
  /// Minimum Retry-After of a call with a latency target, as a share of the
  /// time left until its deadline. A call that every target refused to queue
  /// misses its latency target anyway, and callers retry only a few times.
  /// Retries spread over the remaining time are more likely to arrive after the
  /// load peak.
  double RetryAfterShare_ = 0.3;
};

/// State of the link that carries requests to a server.
struct ServerLink {
  TimePoint HeardAt_; ///< Last message received on the link.
  TimePoint ReplacedAt_;
};

struct EntryCalls {
  std::string Self_; ///< Name of this server.
  /// Start time of this process in microseconds since the epoch, sent as
  /// CallId.incarnation. Unlike the membership incarnation it does not change
  /// with refutations.
  std::uint64_t Incarnation_ = 0;
  EntryCallLimits Limits_;
  std::uint64_t NextSequence_ = 1;
  std::uint64_t NextOrdinal_ = 1;
  std::unordered_map<std::uint64_t, EntryCall> Calls_; ///< By sequence.
  std::unordered_map<std::string, ServerLink> Links_;  ///< By server.
  std::vector<EntryCallEvent> Events_;                 ///< See takeEvents().
  /// Limit of all deadlines; see limitDeadlines().
  TimePoint LatestDeadline_ = TimePoint::max();
  EntryCallsCounters Counters_;
};

/// Returns and clears the events since the last call.
std::vector<EntryCallEvent> takeEvents(EntryCalls &Calls);

/// Adds a call to the table and sends its first attempt. Sets Sequence_,
/// StartedAt_ and HedgeAt_ of the call in the table; OutcomeDeadline_ becomes
/// at least Deadline_. Without a target, or with a deadline that has passed,
/// the call ends at once (CallResult with RUN_NOT_RUN).
CallActions beginCall(EntryCalls &Calls, EntryCall Call,
                      const CallPolicy &Policy, TimePoint Now);

/// Limits the deadlines of the calls in the table and of all later calls, for a
/// process that ends then.
void limitDeadlines(EntryCalls &Calls, TimePoint Latest);

/// The transport has accepted an attempt; from here on it may run.
void markSent(EntryCalls &Calls, const wire::CallId &Id, TimePoint Now);

/// The transport refused an attempt, or dropped it, and can prove that no part
/// of it left this process.
CallActions onSendFailed(EntryCalls &Calls, const wire::CallId &Id,
                         const CallPolicy &Policy, TimePoint Now);

/// A message of any kind came from a server over the link that carries requests
/// to it. Traffic on other links does not prove that this link is alive.
void recordLinkActivity(EntryCalls &Calls, std::string_view Server,
                        TimePoint Now);

/// Handles an answer from a server. Late, duplicate and mismatched answers are
/// counted and otherwise ignored. A damaged body is never returned to the
/// caller.
CallActions onAnswer(EntryCalls &Calls, std::string_view Server,
                     const wire::CallAnswer &Answer, std::string Body,
                     const CallPolicy &Policy, TimePoint Now);

/// The link to a server broke, or its heartbeats found it silent. Attempts that
/// may run there become InDoubt and are queried.
CallActions onLinkLost(EntryCalls &Calls, std::string_view Server,
                       const CallPolicy &Policy, TimePoint Now);

/// A server was restarted and now runs Process. Attempts sent to an earlier
/// process become Unknown, because no process is left to query about them.
/// Attempts sent to Process continue: its membership record may have arrived
/// before its first message.
CallActions onServerRestarted(EntryCalls &Calls, std::string_view Server,
                              std::uint64_t Process, const CallPolicy &Policy,
                              TimePoint Now);

CallActions onQueryAnswer(EntryCalls &Calls, std::string_view Server,
                          const wire::CallQueryAnswer &Answer,
                          const CallPolicy &Policy, TimePoint Now);

/// The caller closed its connection: cancels the open attempts and removes the
/// call, unless ContinueAfterDisconnect_ is set.
CallActions onCallerDisconnected(EntryCalls &Calls, std::uint64_t Sequence);

/// Replaces a target's answer by 502 if its status is one of RefusalStatuses_:
/// the target may have run the request, and a caller that sends it again may
/// run it twice. For calls that are not idempotent. Returns whether it was
/// replaced.
bool withholdRefusal(const EntryCallLimits &Limits, CallResult &Out);

/// Handles deadlines, hedges, silent links, repeated queries and retries.
/// Called every 20 ms.
CallActions tickEntryCalls(EntryCalls &Calls, const CallPolicy &Policy,
                           TimePoint Now);

} // namespace sycamore

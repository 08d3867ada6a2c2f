// The daemon's side towards the targets beside it: announcements, admission,
// and the HTTP request to the target.
#pragma once

#include "CallMessages.h"
#include "ControlPlane.h"
#include "RequestLog.h"
#include "sycamore/Admission.h"
#include "sycamore/HttpClient.h"
#include "sycamore/Integration.h"
#include "sycamore/Metrics.h"
#include "sycamore/Quarantine.h"
#include "sycamore/RouteCost.h"
#include "sycamore/TargetCalls.h"
#include "sycamore/Trace.h"

namespace sycamore {

/// A target beside this daemon.
struct LocalTarget {
  std::string Name_;
  std::string Service_;
  std::string Address_;   ///< "IP:PORT" for requests.
  TimePoint AnnouncedAt_; ///< Last announcement or answer.
  TimePoint HealthAskedAt_;
  bool Leaving_ = false;
  /// The target itself said that it leaves; it is not only silent.
  bool SaidLeaving_ = false;
  bool Gone_ = false; ///< Forgotten once nothing runs on it.
  /// It refused a connection and has not announced itself since.
  bool Unreachable_ = false;
  std::optional<std::uint64_t> Sequence_; ///< Of the last announcement.
  std::optional<std::int64_t> StartedUnixMs_;
  Admission Admission_;
};

/// An attempt that was accepted and is queued or running.
struct PendingCall {
  wire::CallRequest Request_;
  std::string Body_;
  ReplyRoute Route_;
  std::string Target_;
  TimePoint ArrivedAt_;
  TimePoint StartedAt_;
  TimePoint Deadline_;
  WallTime StartedWall_;
  TraceContext Span_;              ///< Of the request to the target.
  std::string ParentSpan_;         ///< Of the entry daemon's attempt.
  std::shared_ptr<HttpCall> Sent_; ///< Set while the target runs it.
};

/// What a nested call inherits from the call that its target runs.
struct NestedContext {
  std::uint32_t Depth_ = 0; ///< Of the running call.
  TimePoint Deadline_;
};

/// The answer about a lost target, held back until the fleet knows the mark.
struct HeldAnswer {
  TimePoint Until_;
  std::uint64_t Id_ = 0;
  wire::CallAnswer Answer_;
};

struct TargetProxyCounters {
  std::uint64_t Announcements_ = 0;
  std::uint64_t MissedAnnouncements_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint64_t AnnouncementsIgnored_ = 0; ///< Older than what is known.
  std::uint64_t AnnouncementsRejected_ = 0;
  std::uint64_t UnknownTargets_ = 0;
  std::uint64_t DamagedBodies_ = 0;
  std::uint64_t Done_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t Unknown_ = 0;
  std::uint64_t TargetsLost_ = 0;
  std::uint64_t QuarantineRefusals_ = 0;
};

class TargetProxy {
public:
  TargetProxy(const Settings &Config, HttpClient &Client, ControlPlane &Control,
              Quarantine &Marks, SpanBuffer &Spans, Random &Rng,
              std::uint64_t Process, CallReplier Reply, Now Time);

  /// Reads {"name", "service", "slots", "address"}. Errors: InvalidArgument
  /// with the field.
  Result<void> announce(const Json &Document, Now Time);

  /// Takes an announcement. One that is older than what is known changes
  /// nothing. Errors: InvalidArgument when it names another service or host
  /// than the settings.
  Result<void> take(const TargetAnnouncement &News, Now Time);

  /// The target ends: it gets no new work from now on, also if it has not
  /// announced itself here.
  void take(const TargetDeparture &News, Now Time);

  /// The target leaves; false when it is not known.
  bool withdraw(std::string_view Name, Now Time);

  /// Accepts an attempt and records it. False when it was answered already:
  /// a duplicate, or a call whose time has passed.
  bool accept(const wire::CallRequest &Request, std::string_view Body,
              const ReplyRoute &Route, Now Time);

  /// Queues or runs an accepted attempt.
  void run(const wire::CallRequest &Request, std::string Body,
           const ReplyRoute &Route, Now Time);

  /// Records the end of an accepted attempt and sends its answer.
  void answer(const wire::CallAnswer &Answer, std::string Body,
              const ReplyRoute &Route, Now Time);

  void receiveQuery(const wire::CallQuery &Query, const ReplyRoute &Route,
                    Now Time);
  void receiveCancel(const wire::CallCancel &Cancel, Now Time);

  void tick(Now Time);

  /// Refuses new work; what runs goes on.
  void startLeaving();

  /// The call that a span of this daemon belongs to, while its target runs it.
  std::optional<NestedContext> nestedContext(const std::string &SpanId) const;

  /// The call whose request id begins this id, while its target runs it; a
  /// target that makes calls of its own puts a dot and another id behind it.
  std::optional<NestedContext> nestedByRequestId(std::string_view Id) const;

  std::size_t inFlight() const { return Pending_.size(); }
  const std::map<std::string, LocalTarget, std::less<>> &targets() const {
    return Targets_;
  }
  const TargetCalls &calls() const { return Calls_; }
  const TargetProxyCounters &counters() const { return Counters_; }
  const DurationHistogram &serviceTimes() const { return ServiceTimes_; }
  const DurationHistogram &queueTimes() const { return QueueTimes_; }

private:
  using PendingTable = std::map<std::uint64_t, PendingCall>;

  std::optional<Error> checkRunnable(const wire::CallRequest &Request,
                                     Now Time);
  void refuse(const wire::CallRequest &Request, const ReplyRoute &Route,
              std::uint32_t Status, const Error &Failure, Duration RetryAfter,
              Now Time);
  void refusePending(std::uint64_t Id, Now Time);
  void start(std::uint64_t Id, Now Time);
  HttpClientRequest makeRequest(std::uint64_t Id, const PendingCall &Call,
                                Now Time) const;
  void onHttpAnswer(std::uint64_t Id, HttpAnswer Answer);
  void askWhetherLost(std::uint64_t Id);
  void settleBroken(std::uint64_t Id, bool Lost);
  void complete(std::uint64_t Id, wire::CallAnswer Answer, std::string Body,
                Now Time);
  void runQueue(LocalTarget &Target, Now Time);
  void addLoad(wire::CallAnswer &Answer, std::string_view Target) const;
  void recordCallSpan(const PendingCall &Call, bool Failed);
  void expireAnnouncements(Now Time);
  void askHealth(LocalTarget &Target, Now Time);
  void onHealth(const std::string &Name, const HttpAnswer &Answer);
  void setLeaving(LocalTarget &Target, Now Time);
  void noteDeparture(LocalTarget &Target);
  /// Whether the announcing process has said that it leaves, or an earlier one
  /// of its name and a later process has left since.
  bool hasDeparted(const TargetAnnouncement &News) const;
  std::optional<Error> checkPlace(const TargetAnnouncement &News) const;
  void retireOthers(const TargetAnnouncement &News, Now Time);
  void noteUnreachable(std::string_view Name, Now Time);
  /// Whether the ordinary progress of the request is logged.
  bool isFollowed(const PendingCall &Call) const;
  LocalAttempt describeAttempt(const PendingCall &Call) const;
  /// The id that the caller gave the request, or null.
  const std::string *requestIdOf(const wire::CallRequest &Request) const;
  bool isOwnAnswer(const wire::CallRequest &Request,
                   const HttpAnswer &Answer) const;

  const Settings &Settings_;
  HttpClient &Client_;
  ControlPlane &Control_;
  Quarantine &Marks_;
  SpanBuffer &Spans_;
  Random &Rng_;
  CallReplier Reply_;
  std::map<std::string, LocalTarget, std::less<>> Targets_;
  /// Starts of target processes that said they leave, by name. Kept after the
  /// targets are forgotten: a late announcement must not bring one back.
  std::map<std::string, std::int64_t, std::less<>> Departed_;
  TargetCalls Calls_;
  PendingTable Pending_;
  /// Admission ids of pending attempts by entry, process and ordinal.
  std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, std::uint64_t>
      IdOfCall_;
  std::map<std::string, std::uint64_t> IdOfSpan_;
  std::map<std::string, std::uint64_t, std::less<>> IdOfRequestId_;
  std::uint64_t NextId_ = 1;
  RouteCost Costs_;
  std::deque<HeldAnswer> Held_;
  bool Leaving_ = false;
  TargetProxyCounters Counters_;
  DurationHistogram ServiceTimes_;
  DurationHistogram QueueTimes_;
};

} // namespace sycamore

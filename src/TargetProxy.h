// Handles the targets beside this daemon: their announcements, admission, and
// the HTTP requests to them.
#pragma once

#include "AnswerSender.h"
#include "CallMessages.h"
#include "ControlPlane.h"
#include "LoopWork.h"
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
  std::string Address_;  ///< "IP:PORT" for requests.
  TimePoint LastSeenAt_; ///< Last announcement or HTTP response.
  TimePoint HealthRequestedAt_;
  bool Leaving_ = false;
  /// The target itself announced that it leaves; false if it leaves for another
  /// reason, such as missed announcements.
  bool AnnouncedLeaving_ = false;
  /// Another target has taken over the address; removed once idle.
  bool Replaced_ = false;
  /// Refused a connection or answered with status 421, and has not announced
  /// itself since.
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
  /// Expected size of the answer, reserved in AnswerSender.
  std::uint64_t ReservedBytes_ = 0;
  WallTime StartedWall_;
  TraceContext Span_;                  ///< Of the request to the target.
  std::string ParentSpan_;             ///< Of the entry daemon's attempt.
  std::shared_ptr<HttpCall> HttpCall_; ///< Set once it is sent to the target.
};

/// What a nested call inherits from the running call that makes it.
struct NestedContext {
  std::uint32_t Depth_ = 0; ///< Of the running call.
  TimePoint Deadline_;
};

/// Answer to a call whose target was lost, held back until the fleet knows of
/// the loss (QuarantineOptions::PropagationTime_).
struct HeldAnswer {
  TimePoint ReleaseAt_;
  std::uint64_t Id_ = 0;
  wire::CallAnswer Answer_;
};

struct TargetProxyCounters {
  std::uint64_t Announcements_ = 0;
  std::uint64_t MissedAnnouncements_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint64_t AnnouncementsIgnored_ = 0; ///< Older than the known state.
  std::uint64_t AnnouncementsRejected_ = 0;
  std::uint64_t UnknownTargets_ = 0;
  std::uint64_t DamagedBodies_ = 0;
  std::uint64_t Done_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t Unknown_ = 0;
  std::uint64_t TargetsLost_ = 0;
  std::uint64_t QuarantineRefusals_ = 0;
  std::uint64_t RefusedStale_ = 0; ///< Of a tenant; see ConfigFreshness.
};

/// Status check of a target. Its answer may be much smaller than that to a
/// call, because every target is asked all the time.
HttpClientRequest healthRequest(Duration Deadline);

class TargetProxy {
public:
  TargetProxy(const Settings &Config, HttpClient &Client, ControlPlane &Control,
              Quarantine &QuarantineTable, SpanBuffer &Spans, Random &Rng,
              LoopWork &Work, std::uint64_t Process, AnswerSender &Answers,
              Now Time);

  /// Handles an announcement {"name", "service", "slots", "address"}. Errors:
  /// InvalidArgument that names the invalid field.
  Result<void> announce(const Json &Document, Now Time);

  /// Handles an announcement. One that is older than the known state is
  /// ignored. Errors: InvalidArgument when its service is neither that of the
  /// settings nor in the current snapshot, or its host is not that of the
  /// settings.
  Result<void> handle(const TargetAnnouncement &Announcement, Now Time);

  /// Handles the departure of a target: it gets no new work from now on, even
  /// if it has not announced itself to this daemon.
  void handle(const TargetDeparture &Departure, Now Time);

  /// Stops new work for the target; false when it is not known.
  bool withdraw(std::string_view Name, Now Time);

  /// Accepts an attempt and records it. Returns false when there is nothing to
  /// run: the attempt is a duplicate, has expired or was refused, and any
  /// answer has been sent.
  bool accept(const wire::CallRequest &Request, std::string_view Body,
              const ReplyRoute &Route, Now Time);

  /// Queues or runs an accepted attempt.
  void run(const wire::CallRequest &Request, std::string Body,
           const ReplyRoute &Route, Now Time);

  /// Records the end of an accepted attempt and sends its answer.
  void answer(const wire::CallAnswer &Answer, std::string Body,
              const ReplyRoute &Route, std::uint32_t Priority, Now Time);

  void receiveQuery(const wire::CallQuery &Query, const ReplyRoute &Route,
                    Now Time);
  void receiveCancel(const wire::CallCancel &Cancel, Now Time);

  void tick(Now Time);

  /// Refuses new work; running requests may finish.
  void startLeaving();

  /// Limits the deadlines of attempts that arrive from now on, so that those
  /// that cannot end before the process are refused.
  void limitDeadlines(TimePoint Latest) { LatestDeadline_ = Latest; }

  /// Context of the running call that was sent to the target with this span id.
  std::optional<NestedContext> nestedContext(const std::string &SpanId) const;

  /// Context of the running call from whose request id this one is derived. A
  /// target that makes nested calls appends a dot and another id to the request
  /// id that it received.
  std::optional<NestedContext>
  nestedContextByRequestId(std::string_view Id) const;

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
  /// The refusal of a tenant's request while the configuration may be too old
  /// to tell whether the tenant's credential was withdrawn.
  std::optional<Error> checkFreshness(const wire::CallRequest &Request,
                                      Now Time);
  void refuseWithoutSlot(std::uint64_t Id, Now Time);
  void refusePending(std::uint64_t Id, std::string_view Reason,
                     const Error &Failure, Now Time);
  /// Refuses an attempt whose answer the link cannot carry in time; true when
  /// it was refused.
  bool refuseForLink(const PendingCall &Call, std::uint64_t ExpectedBytes,
                     Now Time);
  void start(std::uint64_t Id, Now Time);
  HttpClientRequest makeRequest(std::uint64_t Id, const PendingCall &Call,
                                Now Time) const;
  void onHttpResponse(std::uint64_t Id, HttpResponse Response);
  void checkTargetLost(std::uint64_t Id, std::string Reason);
  void completeBrokenCall(std::uint64_t Id, const std::string &Reason,
                          bool Lost);
  void complete(std::uint64_t Id, wire::CallAnswer Answer, std::string Body,
                Now Time);
  void runQueue(LocalTarget &Target, Now Time);
  /// Adds the remaining work if the sender asks for it.
  void addWork(wire::CallAnswer &Answer, const wire::CallRequest &Request,
               Now Time) const;
  void addLoad(wire::CallAnswer &Answer, std::string_view Target) const;
  void recordCallSpan(const PendingCall &Call, bool Failed);
  void expireAnnouncements(Now Time);
  void requestHealth(LocalTarget &Target, Now Time);
  void onHealthResponse(const std::string &Name, const HttpResponse &Response);
  void setLeaving(LocalTarget &Target, Now Time);
  void apply(const TargetAnnouncement &Announcement, Now Time);
  /// Keeps an announcement that may be a delayed one of a target that left.
  void holdAnnouncement(const TargetAnnouncement &Announcement);
  void applyHeldAnnouncements(Now Time);
  /// Records the departure of the target's process, or of all processes until
  /// now if it stated no start time.
  void recordDeparture(LocalTarget &Target, Now Time);
  /// Stops the targets whose departure a peer has reported.
  void applyLearnedDepartures(Now Time);
  /// Whether this process, or a later one of the same target name, has
  /// announced that it leaves.
  bool hasDeparted(std::string_view Name,
                   const std::optional<std::int64_t> &StartedUnixMs) const;
  bool hasDeparted(const TargetAnnouncement &Announcement) const;
  std::optional<Error>
  checkIsLocal(const TargetAnnouncement &Announcement) const;
  void replaceTargetsAtAddress(const TargetAnnouncement &Announcement,
                               Now Time);
  void markUnreachable(std::string_view Name, Now Time);
  /// Whether the request is sampled for the log, so that its progress is logged
  /// even without an error.
  bool isSampledForLog(const PendingCall &Call) const;
  LocalAttempt describeAttempt(const PendingCall &Call) const;
  /// Request id set by the caller in a header, or null.
  const std::string *requestIdOf(const wire::CallRequest &Request) const;
  bool matchesRequest(const wire::CallRequest &Request,
                      const HttpResponse &Response) const;

  const Settings &Settings_;
  HttpClient &Client_;
  ControlPlane &Control_;
  Quarantine &QuarantineTable_;
  SpanBuffer &Spans_;
  Random &Rng_;
  LoopWork &Work_;
  AnswerSender &Answers_;
  std::map<std::string, LocalTarget, std::less<>> Targets_;
  /// Announcements that arrived before ControlPlane::departuresKnown().
  std::deque<TargetAnnouncement> HeldAnnouncements_;
  TargetCalls Calls_;
  PendingTable Pending_;
  /// Admission ids of pending attempts by entry server, incarnation and
  /// ordinal.
  std::map<AttemptKey, std::uint64_t> IdByCall_;
  std::map<std::string, std::uint64_t> IdBySpan_;
  std::map<std::string, std::uint64_t, std::less<>> IdByRequestId_;
  std::uint64_t NextId_ = 1;
  RouteCost Costs_;
  std::deque<HeldAnswer> HeldAnswers_;
  bool Leaving_ = false;
  TimePoint LatestDeadline_ = TimePoint::max();
  TargetProxyCounters Counters_;
  DurationHistogram ServiceTimes_;
  DurationHistogram QueueTimes_;
};

} // namespace sycamore

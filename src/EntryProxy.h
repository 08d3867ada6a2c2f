// The caller-facing side of the daemon: matches routes, chooses targets, sends
// attempts and returns the answers.
#pragma once

#include "AnswerAssembly.h"
#include "CallMessages.h"
#include "ControlPlane.h"
#include "RequestLog.h"
#include "RolloutControl.h"
#include "TargetProxy.h"
#include "sycamore/CallerTimes.h"
#include "sycamore/EntryCalls.h"
#include "sycamore/HttpServer.h"
#include "sycamore/Metrics.h"
#include "sycamore/Placement.h"
#include "sycamore/RetryPolicy.h"
#include "sycamore/RouteCost.h"
#include "sycamore/WaitLimits.h"

#include <array>
#include <set>

namespace sycamore {

/// Receives the result of a call.
using CallResultCallback = std::function<void(CallResult)>;

/// A caller's request with the decisions made on its arrival.
struct AcceptedRequest {
  EntryCall Call_;
  TraceContext Span_; ///< Of this daemon's handling of the request.
  std::string ParentSpan_;
  WallTime StartedWall_;
  std::string Key_; ///< Idempotency key; empty for none.
  /// Set when no other request with this fingerprint may run meanwhile, because
  /// it is suspected of crashing targets.
  std::optional<std::uint64_t> TrialFingerprint_;
  /// Called when the request is answered as not run; may be empty.
  std::function<void()> OnNotRun_;
};

struct EntryProxyCounters {
  std::uint64_t Requests_ = 0;
  std::uint64_t RefusedNoFloor_ = 0;
  std::uint64_t RefusedLeaving_ = 0;
  std::uint64_t RefusedLimit_ = 0;
  std::uint64_t NoRoute_ = 0;
  std::uint64_t Unauthenticated_ = 0;
  std::uint64_t RefusedStale_ = 0;
  std::uint64_t Quarantined_ = 0;
  std::uint64_t KeyedForwards_ = 0;
  std::uint64_t CallersDisconnected_ = 0;
  std::uint64_t HeartbeatsSent_ = 0;
  std::uint64_t AnswerParts_ = 0;
  std::uint64_t AnswerPartsRejected_ = 0; ///< No such attempt, or damaged.
};

/// Handles an accepted request in place of serve().
using KeyedHandler =
    std::function<void(AcceptedRequest, const HttpExchangePointer &, Now)>;

class EntryProxy {
public:
  EntryProxy(const Settings &Config, ControlPlane &Control,
             TargetProxy &LocalTargets, Quarantine &SharedQuarantine,
             SpanBuffer &Spans, Random &Rng, std::uint64_t Process,
             CallSender Send,
             std::function<void(const std::string &Server)> CloseLink);

  void setKeyedHandler(KeyedHandler Handler) { Keyed_ = std::move(Handler); }
  void setRollouts(RolloutControl &Rollouts) { Rollouts_ = &Rollouts; }

  /// Handler of the requests of tenants. It ends each by dispatch(), refuse()
  /// or abandon().
  void setQuotaHandler(KeyedHandler Handler) { Quota_ = std::move(Handler); }

  /// Runs an accepted request, unless this daemon has begun to leave.
  void dispatch(AcceptedRequest Request, const HttpExchangePointer &Exchange,
                Now Time);

  /// Answers an accepted request with a refusal.
  void refuse(const HttpExchangePointer &Exchange,
              const AcceptedRequest &Request, const CallResult &Refusal,
              Now Time);

  /// Forgets an accepted request whose caller has disconnected.
  void abandon(const AcceptedRequest &Request,
               const HttpExchangePointer &Exchange, Now Time);

  /// Handles a caller's request.
  void receive(const HttpExchangePointer &Exchange, Now Time);

  /// Begins a call; Done runs once, possibly before this returns. The sequence
  /// number identifies the call to abandon().
  std::uint64_t begin(EntryCall Call, const TraceContext &Span,
                      CallResultCallback Done, Now Time);

  /// Begins a call and returns its result on the caller's connection.
  void serve(AcceptedRequest Request, const HttpExchangePointer &Exchange,
             Now Time);

  /// Sends the response to a caller.
  void reply(const HttpExchangePointer &Exchange,
             const AcceptedRequest &Request, const CallResult &Outcome);

  void receiveAnswer(const std::string &Server, const wire::CallAnswer &Answer,
                     std::string Body, Now Time);
  /// Keeps a part of an answer's body until the answer arrives.
  void receiveAnswerPart(const std::string &Server,
                         const wire::CallAnswerPart &Part,
                         std::string_view Bytes);
  void receiveQueryAnswer(const std::string &Server,
                          const wire::CallQueryAnswer &Answer, Now Time);
  /// Updates the state of a peer on any message from it. Process is the start
  /// time of the peer's process in microseconds since the epoch. OnLink: the
  /// message came over the link that carries requests to the peer.
  void onPeerMessage(const std::string &Server, std::uint64_t Process,
                     bool OnLink, Now Time);
  void onLinkClosed(const std::string &Server, std::uint64_t Link,
                    LinkCloseReason End, Now Time);

  void tick(Now Time);
  void startLeaving() { Leaving_ = true; }
  /// Ends all calls by this time, at which the process ends.
  void limitDeadlines(TimePoint Latest) {
    sycamore::limitDeadlines(Calls_, Latest);
  }

  bool isStopping() const { return Calls_.LatestDeadline_ != TimePoint::max(); }
  std::size_t inFlight() const { return Calls_.Calls_.size(); }
  const EntryCalls &calls() const { return Calls_; }
  const Placement &placement() const { return Placement_; }
  const WaitLimits &waitLimits() const { return WaitLimits_; }
  const RetryBudgets &retries() const { return Retries_; }
  const HedgePolicy &hedges() const { return Hedges_; }
  const EntryProxyCounters &counters() const { return Counters_; }
  const DurationHistogram &callTimes(wire::RunOutcome Run) const;
  const DurationHistogram &overheadTimes() const { return AddedTimes_; }

private:
  /// Data that placement and traces need until an attempt has ended.
  struct AttemptInfo {
    std::string Target_;
    std::string Server_;
    wire::CallId Id_;
    std::uint64_t Link_ = 0; ///< 0 for this server.
    bool Hedge_ = false;
    bool WaitLimited_ = false;
    std::string CostKey_; ///< Empty unless placed by remaining work.
    std::string Service_; ///< The same.
    TimePoint SentAt_;
    WallTime SentWall_;
    TraceContext Span_;
    std::string ParentSpan_;
    AnswerAssembly Assembly_; ///< Parts of the answer received so far.
  };

  /// Completion callback, trace context, attempts and history of a call.
  struct CallInfo {
    CallResultCallback Done_;
    TraceContext Span_;
    std::vector<std::uint64_t> Ordinals_;
    RequestHistory History_;
  };

  /// The attempt of this daemon that an answer or part of Server belongs to, or
  /// null.
  AttemptInfo *findAttempt(const std::string &Server, const wire::CallId &Id);
  RequestHistory makeHistory(const EntryCall &Call, Now Time) const;
  RequestHistory makeHistory(const HttpRequest &Http, const EntryCall &Call,
                             Now Time) const;
  void recordAttemptSent(CallInfo &Call, const AttemptInfo &Info,
                         const wire::CallId &Id, Now Time);
  void recordAttemptEnded(const AttemptInfo &Info, AttemptOutcome Outcome,
                          const wire::CallAnswer *Answer, Now Time);
  std::optional<CallResult> checkAcceptable() const;
  bool accept(const HttpExchangePointer &Exchange, AcceptedRequest &Request,
              Now Time);
  void run(AcceptedRequest Request, const HttpExchangePointer &Exchange,
           Now Time);
  /// Sets route, service and deadline; the refusal when no route matches.
  std::optional<CallResult> findRoute(const HttpRequest &Http, EntryCall &Call,
                                      Now Time);
  /// The refusal of a request with a credential while the configuration may be
  /// too old to tell whether the credential was withdrawn.
  std::optional<CallResult> checkFreshness(const HttpRequest &Http,
                                           Now Time) const;
  /// Sets the tenant and the priority; the refusal when the credential is
  /// unknown or missing.
  static std::optional<CallResult> authenticate(const HttpRequest &Http,
                                                const HeaderNames &Names,
                                                EntryCall &Call);
  /// Whether the caller sent this request before, so long ago that the request
  /// can no longer meet the latency target of its route.
  bool arrivedPastLatencyTarget(const Route &Matched, const EntryCall &Call,
                                Now Time);
  void fillRequest(const HttpRequest &Http, AcceptedRequest &Request) const;
  void inheritContext(const HttpRequest &Http, AcceptedRequest &Request,
                      Now Time);
  bool checkQuarantine(AcceptedRequest &Request, CallResult &Refusal, Now Time);
  CallPolicy makePolicy();
  std::uint64_t processOf(const std::string &Server) const;
  RequestCost costOf(const EntryCall &Call) const;
  std::optional<Duration> waitLimitOf(const EntryCall &Call,
                                      std::uint32_t Earlier);
  /// Whether limits.work_placement_targets applies to the call's service.
  bool isPlacedByWork(const EntryCall &Call) const;
  std::optional<ChosenTarget> choose(const EntryCall &Call,
                                     std::span<const std::string> Excluded);
  void performActions(CallActions Actions, Now Time);
  bool isHedge(const wire::CallId &Id) const;
  void sendAttempt(SendAttempt &Action, Now Time);
  void sendQuery(const SendQuery &Action);
  void sendCancel(const SendCancel &Action);
  void finishCall(CallResult Outcome, Now Time);
  void removeCall(std::uint64_t Sequence, AttemptOutcome Outcome, Now Time);
  void endAttempt(std::uint64_t Ordinal, AttemptOutcome Outcome,
                  const wire::CallAnswer *Answer, Now Time);
  void recordAnswer(const std::string &Server, const wire::CallAnswer &Answer,
                    Now Time);
  void recordServerSpan(const AcceptedRequest &Request,
                        const CallResult &Outcome);
  void sendHeartbeats(Now Time);
  void onSilentLink(const LinkSilent &Event, Now Time);

  const Settings &Settings_;
  ControlPlane &Control_;
  TargetProxy &LocalTargets_;
  Quarantine &Quarantine_;
  SpanBuffer &Spans_;
  Random &Rng_;
  CallSender Send_;
  std::function<void(const std::string &)> CloseLink_;
  KeyedHandler Keyed_;
  RolloutControl *Rollouts_ = nullptr;
  KeyedHandler Quota_;
  CallPolicy Policy_;
  EntryCalls Calls_;
  Placement Placement_;
  RouteCost Costs_; ///< Means over the targets, as they report them.
  WaitLimits WaitLimits_;
  RetryBudgets Retries_;
  HedgePolicy Hedges_;
  CallerTimes CallerTimes_;
  std::unordered_map<std::uint64_t, CallInfo> CallInfos_;   ///< By sequence.
  std::unordered_map<std::uint64_t, AttemptInfo> Attempts_; ///< By ordinal.
  std::unordered_map<std::string, std::uint64_t> Processes_;
  std::unordered_map<std::string, TimePoint> HeardAt_;
  TimePoint NextHeartbeat_;
  TimePoint EventTime_; ///< Time of the event being handled.
  bool Leaving_ = false;
  EntryProxyCounters Counters_;
  std::array<DurationHistogram, 3> CallTimes_; ///< By wire::RunOutcome.
  DurationHistogram AddedTimes_;
};

} // namespace sycamore

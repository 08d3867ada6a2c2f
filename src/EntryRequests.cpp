// Accepts callers' requests at the entry daemon and sends the responses.
#include "EntryProxy.h"

#include "sycamore/CallBody.h"
#include "sycamore/Clock.h"

#include <algorithm>

namespace sycamore {
namespace {

/// A response with RUN_NOT_RUN.
CallResult refusal(std::uint32_t Status, Error Failure, Duration RetryAfter) {
  CallResult Out;
  Out.Run_ = wire::RUN_NOT_RUN;
  Out.Status_ = Status;
  Out.Error_ = std::move(Failure);
  Out.RetryAfter_ = RetryAfter;
  return Out;
}

std::string_view pathOnly(std::string_view Path) {
  return Path.substr(0, Path.find('?'));
}

} // namespace

std::optional<CallResult> EntryProxy::checkAcceptable() const {
  if (!Control_.mayServe())
    return refusal(503,
                   {ErrorKind::Unavailable,
                    "this daemon does not know yet which ticket is in force",
                    "send the request again, or send it to another daemon"},
                   seconds(1));
  if (Leaving_)
    return refusal(503,
                   {ErrorKind::Unavailable, "this daemon is leaving",
                    "send the request to another daemon"},
                   seconds(1));
  if (Calls_.Calls_.size() >= Settings_.Limits_.MaxCalls_)
    return refusal(503,
                   {ErrorKind::Unavailable,
                    "this daemon carries as many calls as limits.max_calls "
                    "allows",
                    "send the request again later or to another daemon"},
                   seconds(1));
  return std::nullopt;
}

void EntryProxy::receive(const HttpExchangePointer &Exchange, Now Time) {
  EventTime_ = Time.Monotonic_;
  ++Counters_.Requests_;
  AcceptedRequest Request;
  Request.StartedWall_ = Time.Wall_;
  // Nobody would receive an answer, and a target would do the work for nothing.
  if (Exchange->callerClosed()) {
    ++Counters_.CallersDisconnected_;
    logClosedUnread(makeHistory(Exchange->request(), Request.Call_, Time));
    Exchange->abort();
    return;
  }
  if (!accept(Exchange, Request, Time))
    return;
  if (Quota_ && !Request.Call_.Tenant_.empty())
    Quota_(std::move(Request), Exchange, Time);
  else
    run(std::move(Request), Exchange, Time);
}

void EntryProxy::run(AcceptedRequest Request,
                     const HttpExchangePointer &Exchange, Now Time) {
  if (!Request.Key_.empty() && !Request.Call_.Idempotent_)
    Keyed_(std::move(Request), Exchange, Time);
  else
    serve(std::move(Request), Exchange, Time);
}

void EntryProxy::dispatch(AcceptedRequest Request,
                          const HttpExchangePointer &Exchange, Now Time) {
  EventTime_ = Time.Monotonic_;
  if (auto Refusal = checkAcceptable())
    refuse(Exchange, Request, *Refusal, Time);
  else
    run(std::move(Request), Exchange, Time);
}

void EntryProxy::refuse(const HttpExchangePointer &Exchange,
                        const AcceptedRequest &Request,
                        const CallResult &Refusal, Now Time) {
  logRefusal(makeHistory(Exchange->request(), Request.Call_, Time), Refusal);
  reply(Exchange, Request, Refusal);
}

void EntryProxy::abandon(const AcceptedRequest &Request,
                         const HttpExchangePointer &Exchange, Now Time) {
  ++Counters_.CallersDisconnected_;
  logAbandoned(makeHistory(Exchange->request(), Request.Call_, Time),
               Time.Monotonic_);
  if (Request.TrialFingerprint_)
    endSuspectRun(Quarantine_, *Request.TrialFingerprint_);
}

bool EntryProxy::accept(const HttpExchangePointer &Exchange,
                        AcceptedRequest &Request, Now Time) {
  const HttpRequest &Http = Exchange->request();
  inheritContext(Http, Request, Time);
  if (auto Refusal = checkAcceptable()) {
    ++(Leaving_              ? Counters_.RefusedLeaving_
       : Control_.mayServe() ? Counters_.RefusedLimit_
                             : Counters_.RefusedNoFloor_);
    logRefusal(makeHistory(Http, Request.Call_, Time), *Refusal);
    reply(Exchange, Request, *Refusal);
    return false;
  }
  if (auto Refusal = findRoute(Http, Request.Call_, Time)) {
    ++Counters_.NoRoute_;
    logRefusal(makeHistory(Http, Request.Call_, Time), *Refusal);
    reply(Exchange, Request, *Refusal);
    return false;
  }
  if (auto Refusal = checkFreshness(Http, Time)) {
    ++Counters_.RefusedStale_;
    logRefusal(makeHistory(Http, Request.Call_, Time), *Refusal);
    reply(Exchange, Request, *Refusal);
    return false;
  }
  if (auto Refusal = authenticate(Http, Settings_.Headers_, Request.Call_)) {
    ++Counters_.Unauthenticated_;
    logRefusal(makeHistory(Http, Request.Call_, Time), *Refusal);
    reply(Exchange, Request, *Refusal);
    return false;
  }
  fillRequest(Http, Request);
  CallResult Refusal;
  if (checkQuarantine(Request, Refusal, Time))
    return true;
  logRefusal(makeHistory(Http, Request.Call_, Time), Refusal);
  reply(Exchange, Request, Refusal);
  return false;
}

std::optional<CallResult> EntryProxy::findRoute(const HttpRequest &Http,
                                                EntryCall &Call, Now Time) {
  Call.Snapshot_ = Control_.snapshot();
  const Route *Matched = matchRoute(*Call.Snapshot_, Http.Host_, Http.Method_,
                                    pathOnly(Http.Path_), &Call.Route_);
  if (!Matched)
    return refusal(404,
                   {ErrorKind::NotFound,
                    "no route matches " + Http.Method_ + " " + Http.Path_ +
                        " under ticket " +
                        std::to_string(Call.Snapshot_->Number_),
                    "correct the request, or file a ticket that adds a route"},
                   Duration(0));
  Call.Service_ = chooseService(*Matched, randomUnit(Rng_));
  Call.Idempotent_ = isIdempotent(*Matched, Http.Method_);
  if (Matched->LatencyTarget_.count() > 0)
    Call.LatencyTargetAt_ =
        Time.Monotonic_ +
        std::max<Duration>(Matched->LatencyTarget_ -
                               Calls_.Limits_.CallerTransitTime_,
                           Duration(1));
  if (arrivedPastLatencyTarget(*Matched, Call, Time))
    Call.LatencyTargetAt_ = Time.Monotonic_;
  Call.MaxTargets_ = Matched->MaxAttempts_;
  TimePoint RouteDeadline =
      Time.Monotonic_ + timeoutOf(*Call.Snapshot_, *Matched, Call.Service_);
  Call.Deadline_ = Call.Deadline_ == TimePoint{}
                       ? RouteDeadline
                       : std::min(Call.Deadline_, RouteDeadline);
  return std::nullopt;
}

std::optional<CallResult> EntryProxy::checkFreshness(const HttpRequest &Http,
                                                     Now Time) const {
  const std::string &Name = Settings_.Headers_.Credential_;
  if (!Control_.isConfigurationStale(Time.Monotonic_) || Name.empty() ||
      !findHeader(Http.Headers_, Name))
    return std::nullopt;
  return refusal(503,
                 {ErrorKind::Unavailable,
                  "this daemon cannot tell whether the credential is still "
                  "valid: the store has not confirmed the configuration for "
                  "longer than revocation.max_age_ms allows",
                  "send the request again, or send it to another daemon"},
                 seconds(1));
}

std::optional<CallResult> EntryProxy::authenticate(const HttpRequest &Http,
                                                   const HeaderNames &Names,
                                                   EntryCall &Call) {
  const Snapshot &Current = *Call.Snapshot_;
  const Route &Matched = Current.State_.Routes_.at(Call.Route_);
  auto Refuse = [](std::string Message) {
    return refusal(401,
                   {ErrorKind::PermissionDenied, std::move(Message),
                    "send the credential of a tenant"},
                   Duration(0));
  };
  if (!Current.State_.Tenants_.empty() && !Names.Credential_.empty()) {
    // Two credentials could name two tenants.
    auto Count = std::count_if(
        Http.Headers_.begin(), Http.Headers_.end(), [&](const auto &Each) {
          return equalHeaderNames(Each.Name_, Names.Credential_);
        });
    const std::string *Credential =
        findHeader(Http.Headers_, Names.Credential_);
    const std::string *Holder = Count == 1 && !Credential->empty()
                                    ? findTenant(Current, *Credential)
                                    : nullptr;
    if (Holder)
      Call.Tenant_ = *Holder;
    else if (Count > 0)
      return Refuse("the credential is not that of a tenant");
  }
  // The request during which a target makes a nested call has been
  // authenticated.
  bool MayBeAnonymous = Current.State_.Tenants_.empty() || Call.Nested_ ||
                        Matched.AllowAnonymous_;
  if (Call.Tenant_.empty() && !MayBeAnonymous)
    return Refuse("this route needs a credential");
  Call.Request_.set_priority(requestPriority(Current, Matched, Call.Tenant_));
  Call.Request_.set_tenant(Call.Tenant_);
  return std::nullopt;
}

// A request that has already missed its latency target at its caller must not
// take a slot from one that can still meet its target.
bool EntryProxy::arrivedPastLatencyTarget(const Route &Matched,
                                          const EntryCall &Call, Now Time) {
  if (!Settings_.Retries_.CallersShareTime_ || Call.Depth_ > 0 ||
      Call.Deadline_ == TimePoint{} || Matched.LatencyTarget_.count() == 0)
    return false;
  return recordCallerTime(CallerTimes_, Call.Route_,
                          Call.Deadline_ - Time.Monotonic_,
                          Time.Monotonic_) >= Matched.LatencyTarget_;
}

void EntryProxy::fillRequest(const HttpRequest &Http,
                             AcceptedRequest &Request) const {
  EntryCall &Call = Request.Call_;
  Call.Body_ = std::make_shared<const std::string>(Http.Body_);
  wire::CallRequest &Wire = Call.Request_;
  Wire.set_ticket(Call.Snapshot_->Number_);
  Wire.set_service(Call.Service_);
  Wire.set_route(Call.Route_);
  Wire.set_method(Http.Method_);
  Wire.set_path(Http.Path_);
  const HeaderNames &Names = Settings_.Headers_;
  addEndToEndHeaders(*Wire.mutable_headers(), Http.Headers_, Names);
  if (!Names.CallerService_.empty() && Settings_.Target_) {
    wire::Header *Caller = Wire.add_headers();
    Caller->set_name(Names.CallerService_);
    Caller->set_value(Settings_.Target_->Service_);
  }
  Wire.set_depth(Call.Depth_);
  Wire.set_idempotent(Call.Idempotent_);
  Wire.set_body_size(Http.Body_.size());
  Wire.set_body_hash(bodyHash(Http.Body_));
  Wire.set_fingerprint(
      fingerprintOf(Call.Service_, Http.Method_, Http.Path_, Http.Body_));
  if (const std::string *Key = findHeader(Http.Headers_, Names.IdempotencyKey_))
    Request.Key_ = *Key;
}

void EntryProxy::inheritContext(const HttpRequest &Http,
                                AcceptedRequest &Request, Now Time) {
  EntryCall &Call = Request.Call_;
  const std::string *Header =
      findHeader(Http.Headers_, Settings_.Headers_.Traceparent_);
  auto Parent = Header ? parseTraceparent(*Header) : std::nullopt;
  if (Parent) {
    Request.ParentSpan_ = Parent->SpanId_;
    Request.Span_ = childContext(*Parent, Rng_);
  } else {
    Request.Span_ = startTrace(Rng_, Settings_.Trace_.SampleRatio_);
  }
  if (auto DeadlineMs =
          numberHeader(Http.Headers_, Settings_.Headers_.Deadline_)) {
    constexpr std::uint64_t MaxDeadlineMs = 600'000;
    Call.Deadline_ =
        Time.Monotonic_ + milliseconds(std::min(*DeadlineMs, MaxDeadlineMs));
  }
  // A nested call carries the trace context that this daemon sent to its
  // target. Targets forward traceparent even when they drop the other headers.
  std::optional<NestedContext> Outer;
  if (Parent)
    Outer = LocalTargets_.nestedContext(Parent->SpanId_);
  const HeaderNames &Names = Settings_.Headers_;
  if (const std::string *Id = findHeader(Http.Headers_, Names.RequestId_);
      Id && !Outer)
    Outer = LocalTargets_.nestedContextByRequestId(*Id);
  if (Outer) {
    Call.Depth_ = Outer->Depth_ + 1;
    Call.Nested_ = true;
    Call.Deadline_ = Call.Deadline_ == TimePoint{}
                         ? Outer->Deadline_
                         : std::min(Call.Deadline_, Outer->Deadline_);
  } else if (auto Depth =
                 numberHeader(Http.Headers_, Settings_.Headers_.Depth_)) {
    constexpr std::uint64_t MaxDepth = 1000;
    Call.Depth_ = static_cast<std::uint32_t>(std::min(*Depth, MaxDepth)) + 1;
  }
}

bool EntryProxy::checkQuarantine(AcceptedRequest &Request, CallResult &Refusal,
                                 Now Time) {
  wire::CallRequest &Wire = Request.Call_.Request_;
  QuarantineVerdict Verdict =
      check(Quarantine_, Wire.fingerprint(), Time.Wall_);
  if (Verdict.Decision_ == QuarantineDecision::Refuse) {
    ++Counters_.Quarantined_;
    Refusal = refusal(
        429,
        {ErrorKind::PermissionDenied,
         Verdict.Busy_ ? "a request like this one has crashed a target and "
                         "another one is being tried"
                       : "requests like this one have crashed targets",
         "wait for the time in Retry-After, or ask an operator to run "
         "`sycamorectl quarantine clear`"},
        Verdict.RetryAfter_);
    return false;
  }
  if (Verdict.Decision_ == QuarantineDecision::AllowAsSuspect) {
    Wire.set_suspect(true);
    Request.TrialFingerprint_ = Wire.fingerprint();
  }
  return true;
}

void EntryProxy::reply(const HttpExchangePointer &Exchange,
                       const AcceptedRequest &Request,
                       const CallResult &Outcome) {
  CallTimes_[Outcome.Run_].record(
      std::max<Duration>(wallNow() - Request.StartedWall_, Duration(0)));
  recordServerSpan(Request, Outcome);
  if (Request.TrialFingerprint_)
    endSuspectRun(Quarantine_, *Request.TrialFingerprint_);
  if (Outcome.Run_ == wire::RUN_NOT_RUN && Request.OnNotRun_)
    Request.OnNotRun_();
  HttpHeaders Headers = toHttpHeaders(Outcome.Answer_.headers());
  const HeaderNames &Names = Settings_.Headers_;
  addHeader(Headers, Names.Run_, std::string(runOutcomeName(Outcome.Run_)));
  if (Outcome.RetryAfter_.count() > 0)
    Headers.push_back(
        {"retry-after", Settings_.FractionalRetryAfter_
                            ? fractionalSeconds(Outcome.RetryAfter_)
                            : retryAfterSeconds(Outcome.RetryAfter_)});
  if (!Names.Traceparent_.empty())
    Headers.push_back({Names.Traceparent_, formatTraceparent(Request.Span_)});
  if (!Outcome.Error_) {
    Exchange->reply(static_cast<int>(Outcome.Status_), Headers, Outcome.Body_);
    return;
  }
  Headers.push_back({"content-type", "application/json"});
  Exchange->reply(static_cast<int>(Outcome.Status_), Headers,
                  errorBody(errorKindName(Outcome.Error_->Kind_),
                            Outcome.Error_->Message_, Outcome.Error_->Remedy_,
                            Outcome.Run_, Request.Span_.TraceId_));
}

void EntryProxy::recordServerSpan(const AcceptedRequest &Request,
                                  const CallResult &Outcome) {
  if (!Request.Span_.Sampled_)
    return;
  Span Finished;
  Finished.Context_ = Request.Span_;
  Finished.ParentSpanId_ = Request.ParentSpan_;
  Finished.Name_ = "call";
  Finished.Kind_ = SpanKind::Server;
  Finished.Start_ = Request.StartedWall_;
  Finished.End_ = wallNow();
  Finished.Failed_ = Outcome.Error_.has_value();
  Finished.Attributes_ = {
      {"sycamore.run", std::string(runOutcomeName(Outcome.Run_))},
      {"http.response.status_code", std::to_string(Outcome.Status_)}};
  recordSpan(Spans_, std::move(Finished));
}

} // namespace sycamore

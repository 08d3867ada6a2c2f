// Runs accepted attempts on the targets beside this daemon.
#include "TargetProxy.h"

#include "sycamore/CallBody.h"
#include "sycamore/Clock.h"
#include "sycamore/Log.h"

namespace sycamore {
namespace {

/// Timeout of the health request that checks whether a target was lost.
constexpr Duration LossCheckTimeout = milliseconds(500);

constexpr int StatusMisdirected = 421;
constexpr std::uint32_t StatusTooManyRequests = 429;
constexpr std::uint32_t StatusBadGateway = 502;
constexpr std::uint32_t StatusUnavailable = 503;
constexpr std::uint32_t StatusGatewayTimeout = 504;

/// Whether the target's response states that it did not run the request.
bool statesNotRun(const HeaderNames &Names, const HttpResponse &Response) {
  if (!Names.NotRun_.empty())
    return findHeader(Response.Headers_, Names.NotRun_) != nullptr ||
           Response.Status_ == StatusMisdirected;
  const std::string *Run = findHeader(Response.Headers_, Names.Run_);
  return Response.Status_ == static_cast<int>(StatusUnavailable) && Run &&
         *Run == "not-run";
}

AdmissionRequest admissionRequest(std::uint64_t Id, const PendingCall &Call,
                                  const RouteCost &Costs) {
  AdmissionRequest Out;
  Out.Id_ = Id;
  Out.Depth_ = Call.Request_.depth();
  Out.Deadline_ = Call.Deadline_;
  Out.Expected_ = expectedCost(Costs, costKey(Call.Request_));
  Out.Long_ =
      Call.Request_.expected_long() || isLong(Costs, costKey(Call.Request_));
  Out.Suspect_ = Call.Request_.suspect();
  Out.Priority_ = Call.Request_.priority();
  if (Call.Request_.target_left_us() > 0)
    Out.LatencyTargetAt_ =
        Call.ArrivedAt_ + Duration(Call.Request_.target_left_us());
  Out.AcceptLate_ =
      Call.Request_.accept_late() || Call.Request_.target_left_us() == 0;
  Out.FreeSlotOnly_ = Call.Request_.spare_only();
  Out.Tenant_ = Call.Request_.tenant();
  if (Call.Request_.wait_limit_us() > 0)
    Out.WaitLimit_ = Duration(Call.Request_.wait_limit_us());
  Out.WaitForNextSlot_ = Call.Request_.placed_by_work();
  return Out;
}

Error admissionError(const AdmissionVerdict &Verdict,
                     const std::string &Target) {
  switch (Verdict.Reason_) {
  case RefusalReason::Leaving:
    return {ErrorKind::Unavailable, "target " + Target + " is leaving",
            "send the request again; another target will take it"};
  case RefusalReason::TooLate:
    return {ErrorKind::Unavailable,
            "target " + Target + " cannot answer before the deadline",
            "send the request again later or allow it more time"};
  case RefusalReason::MissesLatencyTarget:
    return {ErrorKind::Unavailable,
            "target " + Target + " would miss the latency target",
            "send the request again after the time in Retry-After"};
  case RefusalReason::NoFreeSlot:
    return {ErrorKind::Unavailable, "target " + Target + " has no free slot",
            "wait for the first attempt"};
  case RefusalReason::WaitLimit:
    return {ErrorKind::Unavailable,
            "target " + Target + " has no slot within the limit of the wait",
            "send the request again; another target may take it at once"};
  case RefusalReason::NoSlots:
    return {ErrorKind::Unavailable, "target " + Target + " has no slots",
            "check the slots that it announces"};
  default:
    return {ErrorKind::Unavailable, "target " + Target + " is overloaded",
            "send the request again after the time in Retry-After"};
  }
}

} // namespace

TargetProxy::TargetProxy(const Settings &Config, HttpClient &Client,
                         ControlPlane &Control, Quarantine &QuarantineTable,
                         SpanBuffer &Spans, Random &Rng, LoopWork &Work,
                         std::uint64_t Process, AnswerSender &Answers, Now Time)
    : Settings_(Config), Client_(Client), Control_(Control),
      QuarantineTable_(QuarantineTable), Spans_(Spans), Rng_(Rng), Work_(Work),
      Answers_(Answers) {
  Calls_.Process_ = Process;
  Calls_.Limits_.RetentionTime_ = Config.Records_.Keep_;
  Calls_.LastTick_ = Time.Monotonic_;
}

void TargetProxy::addLoad(wire::CallAnswer &Answer,
                          std::string_view Target) const {
  auto Found = Targets_.find(Target);
  if (Found == Targets_.end())
    return;
  AdmissionLoad Load = load(Found->second.Admission_);
  Answer.set_running(Load.Running_);
  Answer.set_queued(Load.Queued_);
  Answer.set_slots(Load.Slots_);
  Answer.set_mean_service_us(
      static_cast<std::uint64_t>(Load.MeanService_.count()));
  Answer.set_leaving(Found->second.Leaving_);
}

void TargetProxy::addWork(wire::CallAnswer &Answer,
                          const wire::CallRequest &Request, Now Time) const {
  auto Found = Targets_.find(Request.target());
  if (!Request.placed_by_work() || Found == Targets_.end())
    return;
  const Admission &Table = Found->second.Admission_;
  Answer.set_remaining_work_us(static_cast<std::uint64_t>(
      remainingWork(Table, Time.Monotonic_).count()));
  Answer.set_expected_cost_us(static_cast<std::uint64_t>(
      expectedCost(Costs_, costKey(Request)).count()));
  if (Table.Queue_.empty())
    return;
  for (Duration Each : queuedWork(Table))
    Answer.add_queued_work_us(static_cast<std::uint64_t>(Each.count()));
}

bool TargetProxy::accept(const wire::CallRequest &Request,
                         std::string_view Body, const ReplyRoute &Route,
                         Now Time) {
  ++Counters_.Requests_;
  AcceptResult Accepted = acceptRequest(Calls_, Request, Time.Monotonic_);
  if (Accepted.Acceptance_ == Acceptance::New) {
    if (checkBody(Body, Request.body_size(), Request.body_hash()))
      return true;
    ++Counters_.DamagedBodies_;
    refuse(Request, Route, StatusUnavailable,
           {ErrorKind::InvalidData, "the request's body arrived damaged",
            "send the request again"},
           Duration(0), Time);
    return false;
  }
  if (Accepted.Acceptance_ == Acceptance::DuplicateRunning ||
      Answers_.resume(Request.id(), Route, Time.Monotonic_))
    return false;
  addLoad(Accepted.Answer_, Request.target());
  Answers_.send(std::move(Accepted.Answer_), std::move(Accepted.Body_), Route,
                Request.priority(), Time.Monotonic_);
  return false;
}

void TargetProxy::answer(const wire::CallAnswer &Answer, std::string Body,
                         const ReplyRoute &Route, std::uint32_t Priority,
                         Now Time) {
  auto SharedBody = std::make_shared<const std::string>(std::move(Body));
  wire::CallAnswer Recorded =
      recordEnd(Calls_, Answer, SharedBody, Time.Monotonic_);
  Answers_.send(std::move(Recorded), std::move(SharedBody), Route, Priority,
                Time.Monotonic_);
}

void TargetProxy::refuse(const wire::CallRequest &Request,
                         const ReplyRoute &Route, std::uint32_t Status,
                         const Error &Failure, Duration RetryAfter, Now Time) {
  ++Counters_.NotRun_;
  wire::CallAnswer Answer =
      errorAnswer(Request.id(), wire::RUN_NOT_RUN, Status, Failure, RetryAfter);
  addLoad(Answer, Request.target());
  addWork(Answer, Request, Time);
  answer(Answer, {}, Route, Request.priority(), Time);
}

std::optional<Error>
TargetProxy::checkFreshness(const wire::CallRequest &Request, Now Time) {
  if (Request.tenant().empty() ||
      !Control_.isConfigurationStale(Time.Monotonic_))
    return std::nullopt;
  ++Counters_.RefusedStale_;
  return Error{ErrorKind::Unavailable,
               "the daemon beside target " + Request.target() +
                   " has not had its configuration confirmed for longer than "
                   "revocation.max_age_ms allows",
               "send the request again; another target will take it"};
}

std::optional<Error>
TargetProxy::checkRunnable(const wire::CallRequest &Request, Now Time) {
  auto Found = Targets_.find(Request.target());
  if (Found == Targets_.end() || Found->second.Unreachable_ ||
      Found->second.Service_ != Request.service()) {
    ++Counters_.UnknownTargets_;
    return Error{ErrorKind::NotFound,
                 "target " + Request.target() + " is not beside this daemon",
                 "send the request again; another target will take it"};
  }
  if (checkAtTarget(QuarantineTable_, Request.fingerprint(), Time.Wall_) ==
      QuarantineDecision::Refuse) {
    ++Counters_.QuarantineRefusals_;
    return Error{ErrorKind::PermissionDenied,
                 "requests like this one have crashed targets",
                 "wait for the time in Retry-After, or ask an operator to run "
                 "`sycamorectl quarantine clear`"};
  }
  return checkFreshness(Request, Time);
}

void TargetProxy::run(const wire::CallRequest &Request, std::string Body,
                      const ReplyRoute &Route, Now Time) {
  if (auto Failure = checkRunnable(Request, Time)) {
    bool Refused = Failure->Kind_ == ErrorKind::PermissionDenied;
    refuse(Request, Route, Refused ? StatusTooManyRequests : StatusUnavailable,
           *Failure,
           Refused ? QuarantineTable_.Options_.RefusalTime_ : Duration(0),
           Time);
    return;
  }
  std::uint64_t Id = NextId_++;
  PendingCall Call;
  Call.Request_ = Request;
  Call.Body_ = std::move(Body);
  Call.Route_ = Route;
  Call.Target_ = Request.target();
  Call.ArrivedAt_ = Time.Monotonic_;
  Call.Deadline_ = std::min(Time.Monotonic_ + Duration(Request.remaining_us()),
                            LatestDeadline_);
  std::uint64_t ExpectedBytes = expectedAnswerBytes(Costs_, costKey(Request));
  bool UsesLink = Route.Link_ != Settings_.Server_ &&
                  isPaced(Answers_.pacing(), ExpectedBytes);
  if (UsesLink && refuseForLink(Call, ExpectedBytes, Time))
    return;
  LocalTarget &Target = Targets_.find(Call.Target_)->second;
  AdmissionVerdict Verdict = admit(
      Target.Admission_, admissionRequest(Id, Call, Costs_), Time.Monotonic_);
  if (Verdict.Decision_ == AdmissionDecision::Refused) {
    logAttemptRefused(describeAttempt(Call), Target.Admission_,
                      refusalName(Verdict.Reason_), Time.Monotonic_);
    refuse(Request, Route, StatusUnavailable,
           admissionError(Verdict, Call.Target_), Verdict.RetryAfter_, Time);
    return;
  }
  if (UsesLink) {
    Call.ReservedBytes_ = ExpectedBytes;
    Answers_.reserve(ExpectedBytes);
  }
  IdByCall_[attemptKeyOf(Request.id())] = Id;
  Pending_.emplace(Id, std::move(Call));
  if (Verdict.Decision_ == AdmissionDecision::Run)
    start(Id, Time);
}

bool TargetProxy::refuseForLink(const PendingCall &Call,
                                std::uint64_t ExpectedBytes, Now Time) {
  const AnswerPacing &Pacing = Answers_.pacing();
  AdmissionRequest Request = admissionRequest(0, Call, Costs_);
  AnswerDecision Decision = checkAnswer(
      Pacing, {ExpectedBytes, Request.Deadline_, Request.LatencyTargetAt_},
      Time.Monotonic_);
  if (Decision == AnswerDecision::Accept)
    return false;
  Duration Backlog = linkBacklog(Pacing, Time.Monotonic_);
  logAttemptRefused(describeAttempt(Call),
                    Targets_.find(Call.Target_)->second.Admission_,
                    answerDecisionName(Decision), Time.Monotonic_);
  refuse(Call.Request_, Call.Route_, StatusUnavailable,
         {ErrorKind::Unavailable,
          "the link of " + Settings_.Server_ + " cannot carry an answer of " +
              std::to_string(ExpectedBytes) + " bytes in time: " +
              std::to_string(toMilliseconds(Backlog)) + " ms of answers wait",
          "send the request again after the time in Retry-After"},
         Backlog, Time);
  return true;
}

bool TargetProxy::isSampledForLog(const PendingCall &Call) const {
  const std::string *RequestId = requestIdOf(Call.Request_);
  return RequestId && isSampled(*RequestId);
}

LocalAttempt TargetProxy::describeAttempt(const PendingCall &Call) const {
  LocalAttempt Out;
  if (const std::string *RequestId = requestIdOf(Call.Request_))
    Out.RequestId_ = *RequestId;
  Out.Target_ = Call.Target_;
  Out.Entry_ = Call.Request_.id().entry();
  Out.Ticket_ = Call.Request_.ticket();
  Out.Request_ = admissionRequest(0, Call, Costs_);
  Out.ArrivedAt_ = Call.ArrivedAt_;
  return Out;
}

bool TargetProxy::matchesRequest(const wire::CallRequest &Request,
                                 const HttpResponse &Response) const {
  const HeaderNames &Names = Settings_.Headers_;
  bool Success = Response.Status_ / 100 == 2;
  if (Success && !Names.Seal_.empty() &&
      !findHeader(Response.Headers_, Names.Seal_))
    return false;
  const std::string *ReturnedId =
      findHeader(Response.Headers_, Names.RequestId_);
  const std::string *SentId = requestIdOf(Request);
  if (!SentId)
    return true;
  // A kept connection may carry a refusal of an earlier request once more.
  if (!ReturnedId)
    return !Response.OnKeptConnection_ || !statesNotRun(Names, Response);
  return *ReturnedId == *SentId;
}

const std::string *
TargetProxy::requestIdOf(const wire::CallRequest &Request) const {
  const std::string &Name = Settings_.Headers_.RequestId_;
  auto Found = std::find_if(Request.headers().begin(), Request.headers().end(),
                            [&](const wire::Header &Each) {
                              return equalHeaderNames(Each.name(), Name);
                            });
  return Found == Request.headers().end() ? nullptr : &Found->value();
}

HttpClientRequest TargetProxy::makeRequest(std::uint64_t Id,
                                           const PendingCall &Call,
                                           Now Time) const {
  HttpClientRequest Out;
  Out.Method_ = Call.Request_.method();
  Out.Path_ = Call.Request_.path();
  Out.Headers_ = toHttpHeaders(Call.Request_.headers());
  Out.Body_ = Call.Body_;
  Out.Deadline_ =
      std::max<Duration>(Call.Deadline_ - Time.Monotonic_, milliseconds(1));
  const HeaderNames &Names = Settings_.Headers_;
  auto Add = [&](const std::string &Name, std::string Value) {
    addHeader(Out.Headers_, Name, std::move(Value));
  };
  Add(Names.Depth_, std::to_string(Call.Request_.depth()));
  Add(Names.Deadline_, std::to_string(toMilliseconds(Out.Deadline_)));
  Add(Names.Ticket_, std::to_string(Call.Request_.ticket()));
  if (!Names.Traceparent_.empty())
    Add(Names.Traceparent_, formatTraceparent(Call.Span_));
  Add(Names.ExpectedTarget_, Call.Target_);
  if (!Call.Request_.tenant().empty())
    Add(Names.Tenant_, Call.Request_.tenant());
  Out.AcceptWithoutLength_ = !Names.Seal_.empty();
  // A refusal that the target writes again would pass for the answer to a later
  // attempt at the same request.
  Out.MayKeepConnection_ = [this](const HttpResponse &Response) {
    return !statesNotRun(Settings_.Headers_, Response);
  };
  Out.ValidateResponse_ = [this, Id](const HttpResponse &Response) {
    auto Found = Pending_.find(Id);
    return Found != Pending_.end() &&
           matchesRequest(Found->second.Request_, Response);
  };
  return Out;
}

void TargetProxy::start(std::uint64_t Id, Now Time) {
  PendingCall &Call = Pending_.at(Id);
  // The configuration may have become stale while the request waited.
  if (auto Failure = checkFreshness(Call.Request_, Time)) {
    refusePending(Id, "configuration-stale", *Failure, Time);
    return;
  }
  if (!recordRunning(Calls_, Call.Request_.id(), Time.Monotonic_)) {
    refuseWithoutSlot(Id, Time);
    return;
  }
  Call.StartedAt_ = Time.Monotonic_;
  Call.StartedWall_ = Time.Wall_;
  QueueTimes_.record(Call.StartedAt_ - Call.ArrivedAt_);
  if (isSampledForLog(Call))
    logAttemptRunning(describeAttempt(Call),
                      Targets_.find(Call.Target_)->second.Admission_,
                      Time.Monotonic_);
  if (auto Parent = parseTraceparent(Call.Request_.traceparent())) {
    Call.ParentSpan_ = Parent->SpanId_;
    Call.Span_ = childContext(*Parent, Rng_);
  } else {
    Call.Span_ = startTrace(Rng_, 0);
  }
  IdBySpan_[Call.Span_.SpanId_] = Id;
  if (const std::string *RequestId = requestIdOf(Call.Request_))
    IdByRequestId_[*RequestId] = Id;
  Call.HttpCall_ = Client_.send(Targets_.find(Call.Target_)->second.Address_,
                                makeRequest(Id, Call, Time),
                                [this, Id](HttpResponse Response) {
                                  onHttpResponse(Id, std::move(Response));
                                });
}

void TargetProxy::onHttpResponse(std::uint64_t Id, HttpResponse Response) {
  LoopTaskTimer Timer(Work_, LoopTask::TargetResponse);
  auto Found = Pending_.find(Id);
  if (Found == Pending_.end())
    return;
  Now Time = readClocks();
  PendingCall &Call = Found->second;
  wire::CallId CallId = Call.Request_.id();
  if (Response.Outcome_ == HttpOutcome::Answered) {
    wire::CallAnswer Out;
    *Out.mutable_id() = CallId;
    // Only the target itself can state that it rejected a request without
    // running it.
    Out.set_run(statesNotRun(Settings_.Headers_, Response) ? wire::RUN_NOT_RUN
                                                           : wire::RUN_DONE);
    Out.set_reached_target(true);
    Out.set_status(static_cast<std::uint32_t>(Response.Status_));
    addEndToEndHeaders(*Out.mutable_headers(), Response.Headers_,
                       Settings_.Headers_);
    if (Response.Status_ == StatusMisdirected)
      markUnreachable(Call.Target_, Time);
    if (auto TargetEntry = Targets_.find(Call.Target_);
        TargetEntry != Targets_.end())
      TargetEntry->second.LastSeenAt_ = Time.Monotonic_;
    complete(Id, std::move(Out), std::move(Response.Body_), Time);
    return;
  }
  if (!Response.Sent_) {
    markUnreachable(Call.Target_, Time);
    complete(Id,
             errorAnswer(CallId, wire::RUN_NOT_RUN, StatusUnavailable,
                         {ErrorKind::Unavailable,
                          "target " + Call.Target_ +
                              " accepts no connection: " + Response.Reason_,
                          "send the request again; another target will take "
                          "it"}),
             {}, Time);
    return;
  }
  if (Response.Outcome_ == HttpOutcome::Broken) {
    if (Response.ServerRuns_)
      completeBrokenCall(Id, Response.Reason_, /*Lost=*/false);
    else
      checkTargetLost(Id, std::move(Response.Reason_));
    return;
  }
  complete(Id,
           errorAnswer(CallId, wire::RUN_UNKNOWN, StatusGatewayTimeout,
                       {ErrorKind::DeadlineExceeded,
                        "target " + Call.Target_ +
                            " did not answer before the deadline",
                        "find out whether the request ran before it is sent "
                        "again"}),
           {}, Time);
}

void TargetProxy::checkTargetLost(std::uint64_t Id, std::string Reason) {
  HttpClientRequest Request = healthRequest(LossCheckTimeout);
  auto TargetEntry = Targets_.find(Pending_.at(Id).Target_);
  if (TargetEntry == Targets_.end()) {
    completeBrokenCall(Id, Reason, /*Lost=*/true);
    return;
  }
  Client_.send(
      TargetEntry->second.Address_, Request,
      [this, Id, Reason = std::move(Reason)](const HttpResponse &Response) {
        // A terminating process may still accept a connection and then
        // close it.
        bool Closed =
            Response.Outcome_ == HttpOutcome::Broken && !Response.ServerRuns_;
        completeBrokenCall(Id, Reason,
                           Closed || Response.Outcome_ == HttpOutcome::NotSent);
      });
}

void TargetProxy::completeBrokenCall(std::uint64_t Id,
                                     const std::string &Reason, bool Lost) {
  auto Found = Pending_.find(Id);
  if (Found == Pending_.end())
    return;
  Now Time = readClocks();
  PendingCall &Call = Found->second;
  wire::CallAnswer Answer = errorAnswer(
      Call.Request_.id(), wire::RUN_UNKNOWN, StatusBadGateway,
      {ErrorKind::OutcomeUnknown,
       "no complete answer came from target " + Call.Target_ + ": " + Reason,
       "find out whether the request ran before it is sent again"});
  Answer.set_target_lost(Lost);
  if (!Lost) {
    complete(Id, std::move(Answer), {}, Time);
    return;
  }
  ++Counters_.TargetsLost_;
  withdrawTarget(Control_.members(), Call.Target_, Time);
  Duration HoldTime = recordLoss(
      QuarantineTable_, Call.Request_.fingerprint(), Settings_.Server_,
      Call.Request_.method() + " " + Call.Request_.path(), Time.Wall_);
  Control_.gossipQuarantine(
      changedRecords(QuarantineTable_, Control_.members().Servers_.size()));
  HeldAnswers_.push_back({Time.Monotonic_ + HoldTime, Id, std::move(Answer)});
}

void TargetProxy::complete(std::uint64_t Id, wire::CallAnswer Answer,
                           std::string Body, Now Time) {
  auto Found = Pending_.find(Id);
  PendingCall Call = std::move(Found->second);
  Pending_.erase(Found);
  Answers_.release(Call.ReservedBytes_);
  IdByCall_.erase(attemptKeyOf(Call.Request_.id()));
  IdBySpan_.erase(Call.Span_.SpanId_);
  if (const std::string *RequestId = requestIdOf(Call.Request_))
    IdByRequestId_.erase(*RequestId);
  Duration ServiceTime = Time.Monotonic_ - Call.StartedAt_;
  Answer.set_reached_target(Answer.reached_target() ||
                            Answer.run() != wire::RUN_NOT_RUN);
  if (Answer.run() == wire::RUN_DONE) {
    ++Counters_.Done_;
    ServiceTimes_.record(ServiceTime);
    recordCost(Costs_, costKey(Call.Request_), ServiceTime);
    recordAnswerBytes(Costs_, costKey(Call.Request_), Body.size());
    recordSuccess(QuarantineTable_, Call.Request_.fingerprint(), Time.Wall_);
  } else {
    ++(Answer.run() == wire::RUN_NOT_RUN ? Counters_.NotRun_
                                         : Counters_.Unknown_);
  }
  Answer.set_service_time_us(static_cast<std::uint64_t>(ServiceTime.count()));
  Answer.set_body_size(Body.size());
  Answer.set_body_hash(bodyHash(Body));
  recordCallSpan(Call, Answer.run() != wire::RUN_DONE);
  if (!Answer.error_message().empty() || isSampledForLog(Call))
    logAttemptEnded(describeAttempt(Call), Answer.run(),
                    static_cast<int>(Answer.status()), Answer.error_message(),
                    Call.StartedAt_, Time.Monotonic_);
  LocalTarget *Target = nullptr;
  if (auto TargetEntry = Targets_.find(Call.Target_);
      TargetEntry != Targets_.end())
    Target = &TargetEntry->second;
  if (Target)
    finish(Target->Admission_, Id, ServiceTime, Time.Monotonic_);
  addLoad(Answer, Call.Target_);
  addWork(Answer, Call.Request_, Time);
  answer(Answer, std::move(Body), Call.Route_, Call.Request_.priority(), Time);
  if (Target)
    runQueue(*Target, Time);
}

void TargetProxy::recordCallSpan(const PendingCall &Call, bool Failed) {
  if (!Call.Span_.Sampled_)
    return;
  Span Finished;
  Finished.Context_ = Call.Span_;
  Finished.ParentSpanId_ = Call.ParentSpan_;
  Finished.Name_ = "target " + Call.Target_;
  Finished.Kind_ = SpanKind::Client;
  Finished.Start_ = Call.StartedWall_;
  Finished.End_ = wallNow();
  Finished.Failed_ = Failed;
  Finished.Attributes_ = {
      {"sycamore.service", Call.Request_.service()},
      {"sycamore.queue_us",
       std::to_string((Call.StartedAt_ - Call.ArrivedAt_).count())}};
  recordSpan(Spans_, std::move(Finished));
}

void TargetProxy::refuseWithoutSlot(std::uint64_t Id, Now Time) {
  auto Found = Pending_.find(Id);
  if (Found == Pending_.end())
    return;
  refusePending(Id, "no-slot-in-time",
                {ErrorKind::Unavailable,
                 "target " + Found->second.Target_ +
                     " had no slot for the request in time",
                 "send the request again after the time in Retry-After"},
                Time);
}

void TargetProxy::refusePending(std::uint64_t Id, std::string_view Reason,
                                const Error &Failure, Now Time) {
  auto Found = Pending_.find(Id);
  if (Found == Pending_.end())
    return;
  PendingCall Call = std::move(Found->second);
  Pending_.erase(Found);
  Answers_.release(Call.ReservedBytes_);
  IdByCall_.erase(attemptKeyOf(Call.Request_.id()));
  auto TargetEntry = Targets_.find(Call.Target_);
  Duration RetryDelay(0);
  if (TargetEntry != Targets_.end()) {
    if (!cancel(TargetEntry->second.Admission_, Id))
      finish(TargetEntry->second.Admission_, Id, Duration(0), Time.Monotonic_);
    RetryDelay = retryAfter(TargetEntry->second.Admission_);
    logAttemptRefused(describeAttempt(Call), TargetEntry->second.Admission_,
                      Reason, Time.Monotonic_);
  }
  refuse(Call.Request_, Call.Route_, StatusUnavailable, Failure, RetryDelay,
         Time);
}

void TargetProxy::runQueue(LocalTarget &Target, Now Time) {
  std::vector<std::uint64_t> Run;
  std::vector<std::uint64_t> Refused;
  dequeueRunnable(Target.Admission_, Time.Monotonic_, Run, Refused);
  for (std::uint64_t Id : Refused)
    refuseWithoutSlot(Id, Time);
  for (std::uint64_t Id : Run)
    if (Pending_.contains(Id))
      start(Id, Time);
}

void TargetProxy::receiveQuery(const wire::CallQuery &Query,
                               const ReplyRoute &Route, Now Time) {
  QueryResult Found = onQuery(Calls_, Query, Time.Monotonic_);
  Answers_.sendQueryAnswer(Found.QueryAnswer_, Route);
  if (!Found.Answer_ || Answers_.resume(Query.id(), Route, Time.Monotonic_))
    return;
  constexpr std::uint32_t MostUrgent = 0;
  Answers_.send(std::move(*Found.Answer_), std::move(Found.Body_), Route,
                MostUrgent, Time.Monotonic_);
}

void TargetProxy::receiveCancel(const wire::CallCancel &Cancel, Now Time) {
  Answers_.cancel(Cancel.id());
  CancelResult Outcome = onCancel(Calls_, Cancel.id(), Time.Monotonic_);
  auto Known = IdByCall_.find(attemptKeyOf(Cancel.id()));
  if (Outcome == CancelResult::NoAction || Known == IdByCall_.end())
    return;
  std::uint64_t Id = Known->second;
  PendingCall &Call = Pending_.at(Id);
  logAttemptCancelled(describeAttempt(Call), Outcome == CancelResult::Abort,
                      Time.Monotonic_);
  if (Outcome == CancelResult::Abort) {
    if (Call.HttpCall_)
      Call.HttpCall_->cancel();
    complete(Id,
             errorAnswer(Cancel.id(), wire::RUN_UNKNOWN, StatusBadGateway,
                         {ErrorKind::OutcomeUnknown, "the call was cancelled",
                          "find out whether it ran"}),
             {}, Time);
    return;
  }
  if (auto TargetEntry = Targets_.find(Call.Target_);
      TargetEntry != Targets_.end())
    cancel(TargetEntry->second.Admission_, Id);
  Answers_.release(Call.ReservedBytes_);
  IdByCall_.erase(Known);
  Pending_.erase(Id);
}

std::optional<NestedContext>
TargetProxy::nestedContext(const std::string &SpanId) const {
  auto Found = IdBySpan_.find(SpanId);
  if (Found == IdBySpan_.end())
    return std::nullopt;
  const PendingCall &Call = Pending_.at(Found->second);
  return NestedContext{Call.Request_.depth(), Call.Deadline_};
}

std::optional<NestedContext>
TargetProxy::nestedContextByRequestId(std::string_view Id) const {
  std::size_t Dot = Id.rfind('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  auto Found = IdByRequestId_.find(Id.substr(0, Dot));
  if (Found == IdByRequestId_.end())
    return std::nullopt;
  const PendingCall &Call = Pending_.at(Found->second);
  return NestedContext{Call.Request_.depth(), Call.Deadline_};
}

void TargetProxy::tick(Now Time) {
  tickTargetCalls(Calls_, Time.Monotonic_);
  applyHeldAnnouncements(Time);
  applyLearnedDepartures(Time);
  expireAnnouncements(Time);
  for (auto &[Name, Target] : Targets_) {
    requestHealth(Target, Time);
    runQueue(Target, Time);
  }
  while (!HeldAnswers_.empty() &&
         HeldAnswers_.front().ReleaseAt_ <= Time.Monotonic_) {
    HeldAnswer Released = std::move(HeldAnswers_.front());
    HeldAnswers_.pop_front();
    if (Pending_.contains(Released.Id_))
      complete(Released.Id_, std::move(Released.Answer_), {}, Time);
  }
}

} // namespace sycamore

// Forwards callers' requests to targets and returns the answers.
#include "EntryProxy.h"

#include "sycamore/CallBody.h"
#include "sycamore/Clock.h"
#include "sycamore/Log.h"

namespace sycamore {
namespace {

/// Heartbeats sent to a server with calls in flight before its link counts as
/// silent.
constexpr int HeartbeatsPerDeadline = 4;

TargetLoad loadOf(const wire::CallAnswer &Answer) {
  TargetLoad Out;
  Out.Running_ = Answer.running();
  Out.Queued_ = Answer.queued();
  Out.Slots_ = Answer.slots();
  Out.ServiceTime_ = Duration(Answer.service_time_us());
  Out.MeanService_ = Duration(Answer.mean_service_us());
  if (Answer.expected_cost_us() == 0)
    return Out;
  Out.RemainingWork_ = Duration(Answer.remaining_work_us());
  auto Ranks = std::min<std::size_t>(
      WorkRanks, static_cast<std::size_t>(Answer.queued_work_us_size()));
  for (std::size_t I = 0; I < Ranks; ++I)
    Out.QueuedWork_[I] = Duration(Answer.queued_work_us(static_cast<int>(I)));
  return Out;
}

LogEvent logEventFor(PlacementEventKind Kind) {
  switch (Kind) {
  case PlacementEventKind::OutlierFound:
    return LogEvent::TargetSlow;
  case PlacementEventKind::OutlierRecovered:
    return LogEvent::TargetRecovered;
  case PlacementEventKind::Ejected:
    return LogEvent::TargetEjected;
  case PlacementEventKind::Readmitted:
    break;
  }
  return LogEvent::TargetReadmitted;
}

/// Removes targets whose servers do not answer probes, unless that would leave
/// none.
void dropSuspects(std::vector<EligibleTarget> &Targets) {
  auto IsSuspect = [](const EligibleTarget &Each) { return Each.Suspect_; };
  if (!std::all_of(Targets.begin(), Targets.end(), IsSuspect))
    std::erase_if(Targets, IsSuspect);
}

AttemptOutcome outcomeOf(const wire::CallAnswer &Answer) {
  if (Answer.target_lost())
    return AttemptOutcome::Lost;
  switch (Answer.run()) {
  case wire::RUN_DONE:
    return AttemptOutcome::Done;
  case wire::RUN_NOT_RUN:
    return AttemptOutcome::NotRun;
  default:
    return AttemptOutcome::TimedOut;
  }
}

} // namespace

EntryProxy::EntryProxy(const Settings &Config, ControlPlane &Control,
                       TargetProxy &LocalTargets, Quarantine &SharedQuarantine,
                       SpanBuffer &Spans, Random &Rng, std::uint64_t Process,
                       CallSender Send,
                       std::function<void(const std::string &)> CloseLink)
    : Settings_(Config), Control_(Control), LocalTargets_(LocalTargets),
      Quarantine_(SharedQuarantine), Spans_(Spans), Rng_(Rng),
      Send_(std::move(Send)), CloseLink_(std::move(CloseLink)),
      Policy_(makePolicy()) {
  Calls_.Self_ = Config.Server_;
  Calls_.Incarnation_ = Process;
  Calls_.Limits_.LinkDeadline_ = Config.Timing_.LinkDeadline_;
  Calls_.Limits_.RefusalStatuses_ = Config.RefusalStatuses_;
  Placement_.Options_.SpillCost_ = Config.Limits_.SpillCost_;
  Placement_.Options_.WorkTargets_ =
      static_cast<std::uint32_t>(Config.Limits_.WorkPlacementTargets_);
  Retries_.Options_ = {Config.Retries_.Share_, Config.Retries_.Constant_,
                       Config.Retries_.FleetConstant_};
}

CallPolicy EntryProxy::makePolicy() {
  CallPolicy Out;
  Out.ChooseTarget_ = [this](const EntryCall &Call,
                             std::span<const std::string> Excluded) {
    return choose(Call, Excluded);
  };
  Out.ConsumeRetry_ = [this](const EntryCall &Call) {
    // Departed servers count too, so that a partitioned daemon does not use
    // the share of the others.
    return !Call.Request_.suspect() &&
           tryAcquireRetry(Retries_, Call.Service_,
                           Control_.members().Servers_.size(), EventTime_);
  };
  Out.HedgeDelay_ = [this](const EntryCall &Call) -> std::optional<Duration> {
    const auto &Services = Call.Snapshot_->State_.Services_;
    auto Found = Services.find(Call.Service_);
    if (Found == Services.end() || !Found->second.Hedging_ ||
        Call.Request_.suspect())
      return std::nullopt;
    return hedgeDelay(Hedges_, Call.Route_);
  };
  Out.ConsumeHedge_ = [this](const EntryCall & /*Call*/) {
    return tryAcquireHedge(Hedges_);
  };
  Out.WaitLimit_ = [this](const EntryCall &Call, std::uint32_t Earlier) {
    return waitLimitOf(Call, Earlier);
  };
  return Out;
}

RequestCost EntryProxy::costOf(const EntryCall &Call) const {
  RequestCost Out;
  if (!Call.Request_.placed_by_work())
    return Out;
  Out.Expected_ = expectedCost(Costs_, costKey(Call.Request_));
  if (Call.LatencyTargetAt_)
    Out.Slack_ =
        std::max<Duration>(*Call.LatencyTargetAt_ - EventTime_, Duration(0));
  Out.Rank_ = workRank(Call.Depth_, Call.Request_.priority());
  return Out;
}

std::optional<Duration> EntryProxy::waitLimitOf(const EntryCall &Call,
                                                std::uint32_t Earlier) {
  const wire::CallRequest &Request = Call.Request_;
  if (!Request.placed_by_work() || Request.suspect() ||
      !Request.idempotency_key().empty())
    return std::nullopt;
  RequestCost Cost = costOf(Call);
  return waitLimit(WaitLimits_, Call.Service_, Earlier, Cost.Expected_,
                   Call.LatencyTargetAt_ ? std::optional(Cost.Slack_)
                                         : std::nullopt);
}

bool EntryProxy::isPlacedByWork(const EntryCall &Call) const {
  std::uint64_t Least = Settings_.Limits_.WorkPlacementTargets_;
  return Least > 0 && Call.Snapshot_ &&
         eligibleTargets(Control_.members(), *Call.Snapshot_, Call.Service_)
                 .size() >= Least;
}

std::uint64_t EntryProxy::processOf(const std::string &Server) const {
  auto Heard = Processes_.find(Server);
  std::uint64_t KnownProcess = Heard == Processes_.end() ? 0 : Heard->second;
  const wire::ServerRecord *Record = findServer(Control_.members(), Server);
  return Record ? std::max<std::uint64_t>(KnownProcess, Record->process())
                : KnownProcess;
}

std::optional<ChosenTarget>
EntryProxy::choose(const EntryCall &Call,
                   std::span<const std::string> Excluded) {
  if (!Call.Request_.idempotency_key().empty() && Excluded.empty()) {
    // The holder of the key's bucket chooses the target.
    return ChosenTarget{
        Call.Request_.target(), {}, processOf(Call.Request_.target())};
  }
  if (!Call.Request_.idempotency_key().empty())
    return std::nullopt;
  std::vector<EligibleTarget> Eligible =
      eligibleTargets(Control_.members(), *Call.Snapshot_, Call.Service_);
  const auto &Routes = Call.Snapshot_->State_.Routes_;
  auto Matched = Routes.find(Call.Route_);
  if (Matched != Routes.end() && !Matched->second.Targets_.empty())
    std::erase_if(Eligible, [&](const EligibleTarget &Target) {
      const auto &Pinned = Matched->second.Targets_;
      return std::find(Pinned.begin(), Pinned.end(), Target.Name_) ==
             Pinned.end();
    });
  dropSuspects(Eligible);
  if (Rollouts_)
    Rollouts_->filter(Call.Service_, Call.Route_, Eligible, Excluded,
                      EventTime_);
  std::vector<Candidate> Candidates;
  Candidates.reserve(Eligible.size());
  for (const EligibleTarget &Target : Eligible)
    Candidates.push_back(
        {Target.Name_, Target.Server_, Target.DataCentre_, Target.Slots_});
  std::optional<std::size_t> Index;
  if (Call.Request_.suspect())
    Index = Excluded.empty()
                ? chooseSuspectTarget(Call.Request_.fingerprint(), Candidates)
                : std::nullopt;
  else
    Index = chooseTarget(Placement_, Candidates, Settings_.DataCentre_,
                         Excluded, EventTime_, Rng_, costOf(Call));
  if (!Index)
    return std::nullopt;
  const EligibleTarget &Chosen = Eligible[*Index];
  return ChosenTarget{Chosen.Server_, Chosen.Name_, processOf(Chosen.Server_)};
}

void EntryProxy::serve(AcceptedRequest Request,
                       const HttpExchangePointer &Exchange, Now Time) {
  EntryCall Call = std::move(Request.Call_);
  Request.Call_ = {};
  TraceContext Span = Request.Span_;
  auto SharedRequest = std::make_shared<AcceptedRequest>(std::move(Request));
  std::uint64_t Sequence = begin(
      std::move(Call), Span,
      [this, SharedRequest, Exchange](const CallResult &Outcome) {
        reply(Exchange, *SharedRequest, Outcome);
      },
      Time);
  if (!Calls_.Calls_.contains(Sequence))
    return;
  Exchange->onClosed([this, Sequence, SharedRequest] {
    Now Later = readClocks();
    EventTime_ = Later.Monotonic_;
    ++Counters_.CallersDisconnected_;
    if (auto Info = CallInfos_.find(Sequence); Info != CallInfos_.end())
      logAbandoned(Info->second.History_, EventTime_);
    performActions(onCallerDisconnected(Calls_, Sequence), Later);
    removeCall(Sequence, AttemptOutcome::Cancelled, Later);
    if (SharedRequest->TrialFingerprint_)
      endSuspectRun(Quarantine_, *SharedRequest->TrialFingerprint_);
  });
}

std::uint64_t EntryProxy::begin(EntryCall Call, const TraceContext &Span,
                                CallResultCallback Done, Now Time) {
  EventTime_ = Time.Monotonic_;
  std::uint64_t Sequence = Calls_.NextSequence_;
  CallInfos_[Sequence] =
      CallInfo{std::move(Done), Span, {}, makeHistory(Call, Time)};
  Call.Request_.set_placed_by_work(isPlacedByWork(Call));
  performActions(beginCall(Calls_, std::move(Call), Policy_, Time.Monotonic_),
                 Time);
  return Sequence;
}

RequestHistory EntryProxy::makeHistory(const EntryCall &Call, Now Time) const {
  RequestHistory Out;
  const wire::CallRequest &Request = Call.Request_;
  for (const wire::Header &Each : Request.headers())
    if (equalHeaderNames(Each.name(), Settings_.Headers_.RequestId_))
      Out.RequestId_ = Each.value();
  Out.Route_ = Call.Route_;
  Out.Service_ = Call.Service_;
  Out.Ticket_ = Request.ticket();
  Out.Depth_ = Call.Depth_;
  Out.StartedAt_ = Time.Monotonic_;
  Out.Deadline_ = Call.Deadline_;
  return Out;
}

RequestHistory EntryProxy::makeHistory(const HttpRequest &Http,
                                       const EntryCall &Call, Now Time) const {
  RequestHistory Out = makeHistory(Call, Time);
  if (const std::string *Id =
          findHeader(Http.Headers_, Settings_.Headers_.RequestId_))
    Out.RequestId_ = *Id;
  if (Call.Snapshot_)
    Out.Ticket_ = Call.Snapshot_->Number_;
  return Out;
}

void EntryProxy::recordAttemptSent(CallInfo &Call, const AttemptInfo &Info,
                                   const wire::CallId &Id, Now Time) {
  AttemptRecord NewAttempt;
  NewAttempt.Ordinal_ = Id.ordinal();
  NewAttempt.Target_ = Info.Target_;
  NewAttempt.Server_ = Info.Server_;
  NewAttempt.Hedge_ = Info.Hedge_;
  NewAttempt.TargetStatus_ =
      targetStatus(Placement_, Info.Target_, Time.Monotonic_);
  NewAttempt.SentAt_ = Time.Monotonic_;
  Call.History_.Attempts_.push_back(std::move(NewAttempt));
  logAttempt(Call.History_, Call.History_.Attempts_.back());
}

void EntryProxy::recordAttemptEnded(const AttemptInfo &Info,
                                    AttemptOutcome Outcome,
                                    const wire::CallAnswer *Answer, Now Time) {
  auto Call = CallInfos_.find(Info.Id_.sequence());
  if (Call == CallInfos_.end())
    return;
  for (AttemptRecord &LoggedAttempt : Call->second.History_.Attempts_) {
    if (LoggedAttempt.Ordinal_ != Info.Id_.ordinal())
      continue;
    LoggedAttempt.EndedAt_ = Time.Monotonic_;
    LoggedAttempt.OutcomeName_ = attemptOutcomeName(Outcome);
    if (Answer) {
      LoggedAttempt.Reason_ = Answer->error_message();
      LoggedAttempt.Running_ = Answer->running();
      LoggedAttempt.Queued_ = Answer->queued();
      LoggedAttempt.Slots_ = Answer->slots();
    }
  }
}

void EntryProxy::performActions(CallActions Actions, Now Time) {
  for (CallAction &Action : Actions) {
    if (auto *Attempt = std::get_if<SendAttempt>(&Action))
      sendAttempt(*Attempt, Time);
    else if (auto *Query = std::get_if<SendQuery>(&Action))
      sendQuery(*Query);
    else if (auto *Cancel = std::get_if<SendCancel>(&Action))
      sendCancel(*Cancel);
    else
      finishCall(std::move(std::get<CallResult>(Action)), Time);
  }
}

bool EntryProxy::isHedge(const wire::CallId &Id) const {
  auto Call = Calls_.Calls_.find(Id.sequence());
  if (Call == Calls_.Calls_.end())
    return false;
  const auto &Attempts = Call->second.Attempts_;
  return std::any_of(
      Attempts.begin(), Attempts.end(), [&](const CallAttempt &Attempt) {
        return Attempt.Ordinal_ == Id.ordinal() && Attempt.Hedge_;
      });
}

void EntryProxy::sendAttempt(SendAttempt &Action, Now Time) {
  const wire::CallId Id = Action.Request_.id();
  AttemptInfo Info;
  Info.Target_ = Action.Request_.target();
  Info.Server_ = Action.Server_;
  Info.Id_ = Id;
  Info.SentAt_ = Time.Monotonic_;
  Info.Hedge_ = isHedge(Id);
  if (Action.Request_.placed_by_work()) {
    Info.CostKey_ = costKey(Action.Request_);
    Info.Service_ = Action.Request_.service();
    Info.WaitLimited_ = Action.Request_.wait_limit_us() > 0;
  }
  Info.SentWall_ = Time.Wall_;
  if (auto Call = CallInfos_.find(Id.sequence()); Call != CallInfos_.end()) {
    Call->second.Ordinals_.push_back(Id.ordinal());
    Info.ParentSpan_ = Call->second.Span_.SpanId_;
    Info.Span_ = childContext(Call->second.Span_, Rng_);
    Action.Request_.set_traceparent(formatTraceparent(Info.Span_));
  }
  wire::PeerMessage Message;
  *Message.mutable_call_request() = std::move(Action.Request_);
  SendResult Sent = Send_(Action.Server_, Message,
                          Action.Body_ ? std::string_view(*Action.Body_) : "");
  Info.Link_ = Sent.LinkNumber_;
  if (Sent.Outcome_ != SendOutcome::Sent) {
    performActions(onSendFailed(Calls_, Id, Policy_, Time.Monotonic_), Time);
    return;
  }
  if (auto Call = CallInfos_.find(Id.sequence()); Call != CallInfos_.end())
    recordAttemptSent(Call->second, Info, Id, Time);
  HeardAt_.try_emplace(Action.Server_, Time.Monotonic_);
  if (!Info.Target_.empty())
    recordDispatch(Placement_, Info.Target_, Time.Monotonic_,
                   Info.CostKey_.empty() ? Duration(0)
                                         : expectedCost(Costs_, Info.CostKey_));
  if (auto Call = Calls_.Calls_.find(Id.sequence());
      Rollouts_ && Call != Calls_.Calls_.end() && !Info.Target_.empty())
    Rollouts_->recordSent(Id.ordinal(), Call->second.Service_,
                          Call->second.Route_, {Info.Target_, Info.Server_},
                          Time.Monotonic_);
  Attempts_[Id.ordinal()] = std::move(Info);
  markSent(Calls_, Id, Time.Monotonic_);
}

void EntryProxy::sendQuery(const SendQuery &Action) {
  if (Action.ReplaceLink_)
    CloseLink_(Action.Server_);
  wire::PeerMessage Message;
  *Message.mutable_call_query() = Action.Query_;
  Send_(Action.Server_, Message, {});
}

void EntryProxy::sendCancel(const SendCancel &Action) {
  endAttempt(Action.Cancel_.id().ordinal(), AttemptOutcome::Cancelled, nullptr,
             readClocks());
  wire::PeerMessage Message;
  *Message.mutable_call_cancel() = Action.Cancel_;
  Send_(Action.Server_, Message, {});
}

void EntryProxy::endAttempt(std::uint64_t Ordinal, AttemptOutcome Outcome,
                            const wire::CallAnswer *Answer, Now Time) {
  auto Found = Attempts_.find(Ordinal);
  if (Found == Attempts_.end())
    return;
  AttemptInfo Info = std::move(Found->second);
  Attempts_.erase(Found);
  recordAttemptEnded(Info, Outcome, Answer, Time);
  if (Rollouts_)
    Rollouts_->recordEnd(Ordinal, Info.Server_, Outcome, Answer,
                         Time.Monotonic_);
  Duration Latency = Time.Monotonic_ - Info.SentAt_;
  if (Info.Hedge_)
    recordHedgeEnd(Hedges_, Latency);
  TargetLoad Load = Answer ? loadOf(*Answer) : TargetLoad{};
  if (Answer && !Info.CostKey_.empty())
    Load.CostRatio_ = recordReportedCost(Costs_, Info.CostKey_,
                                         Duration(Answer->expected_cost_us()));
  if (Answer && Info.WaitLimited_)
    recordWaitLimited(WaitLimits_, Info.Service_,
                      Outcome == AttemptOutcome::NotRun);
  if (!Info.Target_.empty())
    recordAttemptEnd(Placement_, Info.Target_, Load, Latency, Outcome,
                     Time.Monotonic_);
  if (!Info.Span_.Sampled_)
    return;
  Span Finished;
  Finished.Context_ = Info.Span_;
  Finished.ParentSpanId_ = Info.ParentSpan_;
  Finished.Name_ = "attempt " + Info.Target_;
  Finished.Kind_ = SpanKind::Client;
  Finished.Start_ = Info.SentWall_;
  Finished.End_ = Time.Wall_;
  Finished.Failed_ = Outcome != AttemptOutcome::Done;
  Finished.Attributes_ = {{"sycamore.server", Info.Server_}};
  recordSpan(Spans_, std::move(Finished));
}

void EntryProxy::removeCall(std::uint64_t Sequence, AttemptOutcome Outcome,
                            Now Time) {
  auto Found = CallInfos_.find(Sequence);
  if (Found == CallInfos_.end())
    return;
  std::vector<std::uint64_t> Ordinals = std::move(Found->second.Ordinals_);
  CallInfos_.erase(Found);
  for (std::uint64_t Ordinal : Ordinals)
    endAttempt(Ordinal, Outcome, nullptr, Time);
}

void EntryProxy::finishCall(CallResult Outcome, Now Time) {
  auto Found = CallInfos_.find(Outcome.Sequence_);
  if (Found == CallInfos_.end())
    return;
  CallResultCallback Done = std::move(Found->second.Done_);
  logOutcome(Found->second.History_, Outcome, Time.Monotonic_);
  removeCall(Outcome.Sequence_, AttemptOutcome::TimedOut, Time);
  Done(std::move(Outcome));
}

void EntryProxy::recordAnswer(const std::string &Server,
                              const wire::CallAnswer &Answer, Now Time) {
  auto Found = Attempts_.find(Answer.id().ordinal());
  bool IsOwnId = Answer.id().entry() == Settings_.Server_ &&
                 Answer.id().incarnation() == Calls_.Incarnation_;
  if (!IsOwnId || Found == Attempts_.end())
    return;
  Duration RoundTrip = Time.Monotonic_ - Found->second.SentAt_;
  auto Entry = Calls_.Calls_.find(Answer.id().sequence());
  endAttempt(Answer.id().ordinal(), outcomeOf(Answer), &Answer, Time);
  if (Entry == Calls_.Calls_.end())
    return;
  const EntryCall &Call = Entry->second;
  const wire::CallRequest &Request = Call.Request_;
  if (Answer.run() == wire::RUN_DONE) {
    AddedTimes_.record(std::max<Duration>(
        RoundTrip - Duration(Answer.service_time_us()), Duration(0)));
    recordSuccess(Retries_, Call.Service_, Time.Monotonic_);
    recordLatency(Hedges_, Call.Route_, Time.Monotonic_ - Call.StartedAt_);
    recordSuccess(Quarantine_, Request.fingerprint(), Time.Wall_);
  }
  if (Answer.target_lost())
    recordLoss(Quarantine_, Request.fingerprint(), Server,
               Request.method() + " " + Request.path(), Time.Wall_);
}

EntryProxy::AttemptInfo *EntryProxy::findAttempt(const std::string &Server,
                                                 const wire::CallId &Id) {
  bool IsOwnId = Id.entry() == Settings_.Server_ &&
                 Id.incarnation() == Calls_.Incarnation_;
  auto Found = Attempts_.find(Id.ordinal());
  bool Matches = IsOwnId && Found != Attempts_.end() &&
                 Found->second.Server_ == Server &&
                 Found->second.Id_.sequence() == Id.sequence() &&
                 Found->second.Id_.attempt() == Id.attempt();
  return Matches ? &Found->second : nullptr;
}

void EntryProxy::receiveAnswerPart(const std::string &Server,
                                   const wire::CallAnswerPart &Part,
                                   std::string_view Bytes) {
  ++Counters_.AnswerParts_;
  AttemptInfo *Attempt = findAttempt(Server, Part.id());
  if (!Attempt) {
    // Normal after a cancellation: parts were under way.
    ++Counters_.AnswerPartsRejected_;
    return;
  }
  auto Added =
      addPart(Attempt->Assembly_, Part, Bytes, Settings_.Limits_.MaxBodyBytes_);
  if (Added)
    return;
  ++Counters_.AnswerPartsRejected_;
  logEvent(LogEvent::AnswerPartRejected, {{"peer", Server},
                                          {"target", Attempt->Target_},
                                          {"error", describe(Added.error())}});
}

void EntryProxy::receiveAnswer(const std::string &Server,
                               const wire::CallAnswer &Answer, std::string Body,
                               Now Time) {
  EventTime_ = Time.Monotonic_;
  if (AttemptInfo *Attempt = findAttempt(Server, Answer.id()))
    Body = takeBody(Attempt->Assembly_, Answer.body_offset(), std::move(Body));
  recordAnswer(Server, Answer, Time);
  performActions(onAnswer(Calls_, Server, Answer, std::move(Body), Policy_,
                          Time.Monotonic_),
                 Time);
}

void EntryProxy::receiveQueryAnswer(const std::string &Server,
                                    const wire::CallQueryAnswer &Answer,
                                    Now Time) {
  EventTime_ = Time.Monotonic_;
  performActions(
      onQueryAnswer(Calls_, Server, Answer, Policy_, Time.Monotonic_), Time);
}

void EntryProxy::onPeerMessage(const std::string &Server, std::uint64_t Process,
                               bool OnLink, Now Time) {
  EventTime_ = Time.Monotonic_;
  if (OnLink) {
    HeardAt_[Server] = Time.Monotonic_;
    recordLinkActivity(Calls_, Server, Time.Monotonic_);
  }
  std::uint64_t &KnownProcess = Processes_[Server];
  if (Process <= KnownProcess)
    return;
  bool Restarted = KnownProcess != 0;
  KnownProcess = Process;
  if (Restarted)
    performActions(
        onServerRestarted(Calls_, Server, Process, Policy_, Time.Monotonic_),
        Time);
}

void EntryProxy::onLinkClosed(const std::string &Server, std::uint64_t Link,
                              LinkCloseReason End, Now Time) {
  EventTime_ = Time.Monotonic_;
  if (End == LinkCloseReason::Lost) {
    performActions(onLinkLost(Calls_, Server, Policy_, Time.Monotonic_), Time);
    return;
  }
  // Nothing that was queued on this link has been sent.
  std::vector<wire::CallId> Unsent;
  for (const auto &[Ordinal, Info] : Attempts_)
    if (Info.Server_ == Server && Info.Link_ == Link)
      Unsent.push_back(Info.Id_);
  for (const wire::CallId &Id : Unsent) {
    endAttempt(Id.ordinal(), AttemptOutcome::ConnectionRefused, nullptr, Time);
    performActions(onSendFailed(Calls_, Id, Policy_, Time.Monotonic_), Time);
  }
}

void EntryProxy::sendHeartbeats(Now Time) {
  if (Time.Monotonic_ < NextHeartbeat_)
    return;
  Duration HeartbeatInterval =
      Duration(Settings_.Timing_.LinkDeadline_) / HeartbeatsPerDeadline;
  NextHeartbeat_ = Time.Monotonic_ + HeartbeatInterval;
  std::set<std::string> Servers;
  for (const auto &[Ordinal, Info] : Attempts_)
    if (Info.Server_ != Settings_.Server_ &&
        Time.Monotonic_ - HeardAt_[Info.Server_] >= HeartbeatInterval)
      Servers.insert(Info.Server_);
  for (const std::string &Server : Servers) {
    ++Counters_.HeartbeatsSent_;
    wire::PeerMessage Message;
    Message.mutable_link_heartbeat();
    Send_(Server, Message, {});
  }
}

// Requests sent over a silent link may be lost with an unknown outcome, so new
// requests go to targets of other servers until a message from this server
// arrives again.
void EntryProxy::onSilentLink(const LinkSilent &Event, Now Time) {
  logEvent(LogEvent::PeerLinkSilent,
           {{"peer", Event.Server_},
            {"silence_ms", toMilliseconds(Event.Silence_)}});
  Control_.onLinkSilent(Event.Server_, Time);
  std::set<std::string> Targets;
  for (const auto &[Ordinal, Info] : Attempts_)
    if (Info.Server_ == Event.Server_ && !Info.Target_.empty())
      Targets.insert(Info.Target_);
  for (const std::string &Target : Targets)
    ejectTarget(Placement_, Target, Time.Monotonic_);
}

void EntryProxy::tick(Now Time) {
  EventTime_ = Time.Monotonic_;
  performActions(tickEntryCalls(Calls_, Policy_, Time.Monotonic_), Time);
  sendHeartbeats(Time);
  expireTargets(Placement_, Time.Monotonic_);
  for (const EntryCallEvent &Event : takeEvents(Calls_))
    if (const auto *Silent = std::get_if<LinkSilent>(&Event))
      onSilentLink(*Silent, Time);
  for (const PlacementEvent &Event : takeEvents(Placement_))
    logEvent(
        logEventFor(Event.Kind_),
        {{"target", Event.Target_}, {"span_ms", toMilliseconds(Event.Span_)}});
}

const DurationHistogram &EntryProxy::callTimes(wire::RunOutcome Run) const {
  return CallTimes_[Run];
}

} // namespace sycamore

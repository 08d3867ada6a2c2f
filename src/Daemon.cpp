// Connects the modules of the daemon to the event loop.
#include "DaemonImpl.h"

#include "HttpSupport.h"
#include "SettingsReport.h"
#include "StoreConnect.h"
#include "sycamore/Clock.h"
#include "sycamore/Log.h"

#include <fstream>

namespace sycamore {
namespace {

constexpr Duration TickSpan = milliseconds(20);
constexpr timeval TickInterval{0, TickSpan.count()};

constexpr Duration TraceWriteInterval = seconds(1);

/// Time for the announcement of leaving to reach the fleet: four rounds of
/// gossip.
constexpr Duration LeavePropagationTime = milliseconds(800);

/// Calls end this long before the limit of a planned stop, so that their
/// callers get an answer before the connections close.
constexpr Duration StopAnswerTime = milliseconds(100);

constexpr Duration DropReportInterval = seconds(1);
constexpr Duration TotalsInterval = seconds(10);

/// Most bytes of a request path in a log line; paths are untrusted input.
constexpr std::size_t MaxLoggedPathBytes = 200;

HttpServerConfig serverConfig(const Settings &Config,
                              const std::optional<ServerTlsSettings> &Tls) {
  HttpServerConfig Out;
  Out.MaxHeaderBytes_ = Config.Limits_.MaxHeaderBytes_;
  Out.MaxBodyBytes_ = Config.Limits_.MaxBodyBytes_;
  Out.MaxHeldBytes_ = Config.Limits_.RequestBufferBytes_;
  Out.OnDropped_ = [](const DroppedRequest &Dropped) {
    logEvent(LogEvent::RequestDropped, {{"caller", Dropped.PeerAddress_},
                                        {"bytes", Dropped.HeldBytes_},
                                        {"error", Dropped.Reason_}});
  };
  if (Tls) {
    Out.Tls_ = {Tls->Certificate_, Tls->Key_, Tls->ClientCa_};
    Out.RequireClientCertificate_ = !Tls->ClientCa_.empty();
  }
  return Out;
}

/// One client serves all targets: admission limits the requests in flight, not
/// the connection pool.
HttpClientConfig clientConfig(const Settings &Config) {
  HttpClientConfig Out;
  Out.ConnectionsPerAddress_ = 256;
  Out.MaxHeaderBytes_ = Config.Limits_.MaxHeaderBytes_;
  Out.MaxBodyBytes_ = Config.Limits_.MaxBodyBytes_;
  Out.MaxUnfinishedBytes_ = Config.Limits_.ResponseBufferBytes_;
  return Out;
}

LoopTask loopTaskOf(const wire::PeerMessage &Message) {
  switch (Message.body_case()) {
  case wire::PeerMessage::kCallRequest:
  case wire::PeerMessage::kCallAnswer:
  case wire::PeerMessage::kCallAnswerPart:
  case wire::PeerMessage::kCallCancel:
  case wire::PeerMessage::kCallQuery:
  case wire::PeerMessage::kCallQueryAnswer:
    return LoopTask::Call;
  case wire::PeerMessage::kTicketBodies:
    return LoopTask::TicketBodies;
  case wire::PeerMessage::kTicketPull:
    return LoopTask::TicketPull;
  default:
    return LoopTask::Control;
  }
}

Json describeWork(const LoopWork &Work) {
  Json Out = Json::object();
  for (std::size_t I = 0; I < LoopTaskCount; ++I)
    if (const LoopTaskStats &Stats = Work.Tasks_[I]; Stats.Count_ > 0)
      Out[std::string(loopTaskName(static_cast<LoopTask>(I)))] = {
          {"count", Stats.Count_},
          {"total_ms", toMilliseconds(Stats.Total_)},
          {"longest_ms", toMilliseconds(Stats.Longest_)}};
  return Out;
}

std::uint64_t unixMicroseconds(WallTime Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

} // namespace

Result<std::unique_ptr<Daemon>> Daemon::create(event_base *Base,
                                               const Settings &Config,
                                               const Integration *Adapter) {
  auto Out = std::make_unique<DaemonImpl>(Base, Config, Adapter);
  auto Started = Out->start();
  if (!Started)
    return tl::unexpected<Error>(Started.error());
  return Out;
}

DaemonImpl::DaemonImpl(event_base *Base, const Settings &Config,
                       const Integration *Adapter)
    : Base_(Base), Settings_(Config), Integration_(Adapter),
      Rng_(std::random_device{}()), Process_(unixMicroseconds(wallNow())) {}

DaemonImpl::~DaemonImpl() {
  if (TickEvent_)
    event_free(TickEvent_);
  if (LocalEvent_)
    event_free(LocalEvent_);
  if (PaceEvent_)
    event_free(PaceEvent_);
}

Result<void> DaemonImpl::start() {
  auto Keys = loadPeerKeys(Settings_);
  if (!Keys)
    return tl::unexpected<Error>(Keys.error());
  Keys_ = std::move(*Keys);
  auto Client = HttpClient::create(Base_, clientConfig(Settings_));
  if (!Client)
    return tl::unexpected<Error>(Client.error());
  Client_ = std::move(*Client);
  if (Integration_) {
    Store_ = Integration_->makeStore(Base_, Settings_.Store_, StoreCounters_);
  } else {
    EtcdStoreConfig StoreConfig = etcdStoreConfig(Settings_.Store_);
    StoreConfig.Counters_ = StoreCounters_;
    Store_ = makeEtcdStore(Base_, StoreConfig);
  }
  LocalEvent_ = event_new(Base_, -1, 0, onLocalMessages, this);
  PaceEvent_ = event_new(Base_, -1, 0, onPace, this);
  return startPeers().and_then([this] { return startHttp(); }).map([this] {
    startTicking();
  });
}

Result<void> DaemonImpl::startPeers() {
  PeerTransportConfig Config;
  Config.Self_ = Settings_.Server_;
  Config.Process_ = Process_;
  Config.ListenAddress_ = Settings_.PeerListen_;
  Config.Curve_ = Keys_.Own_;
  Config.AllowedKeys_ = Keys_.Allowed_;
  Config.MaxLinks_ = Settings_.Limits_.PeerLinks_;
  constexpr std::size_t MessageOverhead = 1U << 20U;
  Config.MaxMessageBytes_ = Settings_.Limits_.MaxBodyBytes_ + MessageOverhead;
  PeerHandlers Handlers;
  Handlers.OnMessage_ = [this](wire::PeerMessage &Message, std::string &Body,
                               const ReplyRoute &Route) {
    onMessage(Message, Body, Route);
  };
  Handlers.OnLinkClosed_ = [this](const std::string &Peer, std::uint64_t Link,
                                  LinkCloseReason End) {
    Entry_->onLinkClosed(Peer, Link, End, readClocks());
  };
  Handlers.Resolve_ = [this](const std::string &Peer) { return resolve(Peer); };
  Peers_ = std::make_unique<PeerTransport>(Base_, Config, Handlers);
  auto Bound = Peers_->listen();
  if (!Bound)
    return tl::unexpected<Error>(Bound.error());
  Addresses_.Peer_ = *Bound;
  makeProxies(Settings_.PeerAddress_.empty() ? *Bound : Settings_.PeerAddress_);
  return {};
}

void DaemonImpl::makeProxies(const std::string &PeerAddress) {
  Quarantine_.Options_.PropagationTime_ = Settings_.Records_.LossHold_;
  Now Time = readClocks();
  auto Send = [this](Outbox &Out) { sendOutbox(Out); };
  auto SendCall = [this](const std::string &Server, wire::PeerMessage &Message,
                         std::string_view Body) {
    return sendCall(Server, Message, Body);
  };
  Control_ = std::make_unique<ControlPlane>(
      Settings_, PeerAddress, Keys_.Own_.PublicKey_, Process_, *Store_,
      Integration_, Rng_, Work_, Send, Time);
  Control_->setSeedFilter(
      [this](const wire::ServerRecord &Seed) { return isAllowedPeer(Seed); });
  Answers_ = std::make_unique<AnswerSender>(answerSenderConfig());
  Targets_ = std::make_unique<TargetProxy>(Settings_, *Client_, *Control_,
                                           Quarantine_, Spans_, Rng_, Work_,
                                           Process_, *Answers_, Time);
  Entry_ = std::make_unique<EntryProxy>(
      Settings_, *Control_, *Targets_, Quarantine_, Spans_, Rng_, Process_,
      SendCall,
      [this](const std::string &Server) { Peers_->closeLink(Server); });
  Rollouts_ = std::make_unique<RolloutControl>(
      Settings_, *Control_, *Store_, Integration_, Rng_, Process_, Send);
  Entry_->setRollouts(*Rollouts_);
  Control_->setKeyHandler([this](const KeyValue &Entry) {
    Rollouts_->onStoreValue(Entry, readClocks());
  });
  Keyed_ = std::make_unique<KeyedProxy>(
      Settings_, *Control_, *Entry_, *Targets_, *Store_, Rng_, Process_, Send);
  Store_->setRestorationHandler([this](const StoreRestoration &Restoration) {
    Now At = readClocks();
    Control_->onStoreRestored(Restoration, At);
    Keyed_->onStoreRestored(At);
    Rollouts_->onStoreRestored();
  });
  Entry_->setKeyedHandler(
      [this](AcceptedRequest Request, const HttpExchangePointer &Exchange,
             Now At) { Keyed_->receive(std::move(Request), Exchange, At); });
  Quotas_ = std::make_unique<QuotaControl>(
      Settings_, *Control_, *Entry_,
      [this](const std::string &Server, wire::PeerMessage &Message) {
        Peers_->send(Server, Message, {}, monotonicNow());
      },
      Time);
  Entry_->setQuotaHandler(
      [this](AcceptedRequest Request, const HttpExchangePointer &Exchange,
             Now At) { Quotas_->receive(std::move(Request), Exchange, At); });
}

AnswerSenderConfig DaemonImpl::answerSenderConfig() {
  constexpr double BytesPerMegabit = 1e6 / 8;
  AnswerSenderConfig Out;
  Out.Pacing_.LinkRate_ = Settings_.Limits_.LinkMbps_ * BytesPerMegabit;
  Out.Pacing_.MaxBytes_ = Settings_.Limits_.AnswerBufferBytes_;
  Out.Self_ = Settings_.Server_;
  Out.Reply_ = [this](const ReplyRoute &Route, wire::PeerMessage &Message,
                      std::string_view Body) {
    return replyCall(Route, Message, Body);
  };
  Out.LinkBytes_ = [this] { return Peers_->counters().BytesSent_; };
  Out.Schedule_ = [this](Duration Wait) {
    timeval Timeout = toTimeval(Wait);
    event_add(PaceEvent_, &Timeout);
  };
  return Out;
}

void DaemonImpl::onPace(evutil_socket_t /*Descriptor*/, short /*Events*/,
                        void *Self) {
  auto *This = static_cast<DaemonImpl *>(Self);
  LoopTaskTimer Timer(This->Work_, LoopTask::Call);
  This->Answers_->pump(monotonicNow());
}

Result<void> DaemonImpl::startHttp() {
  std::map<std::string, std::string> Tokens;
  if (!Settings_.AdminTokensFile_.empty()) {
    auto Loaded = loadAdminTokens(Settings_.AdminTokensFile_);
    if (!Loaded)
      return tl::unexpected<Error>(Loaded.error());
    Tokens = std::move(*Loaded);
  }
  HttpBudget_ = makeHttpBudget(Settings_.Limits_.RequestBufferBytes_);
  Admin_ = std::make_unique<AdminApi>(
      AdminContext{Settings_, *Control_, *Targets_, *Entry_, *Keyed_, *Quotas_,
                   Quarantine_, Spans_, *Answers_, *Peers_, *StoreCounters_,
                   Work_, *Rollouts_, *HttpBudget_},
      std::move(Tokens));

  auto Caller = startHttpServer(
      Settings_.CallerListen_, Settings_.CallerTls_,
      [this](const HttpExchangePointer &Exchange) {
        LoopTaskTimer Timer(Work_, LoopTask::CallerRequest);
        Entry_->receive(Exchange, readClocks());
      },
      Addresses_.Caller_);
  if (!Caller)
    return tl::unexpected<Error>(Caller.error());
  CallerServer_ = std::move(*Caller);
  auto Admin = startHttpServer(
      Settings_.AdminListen_, Settings_.AdminTls_,
      [this](const HttpExchangePointer &Exchange) {
        Admin_->receive(Exchange, readClocks());
      },
      Addresses_.Admin_);
  if (!Admin)
    return tl::unexpected<Error>(Admin.error());
  AdminServer_ = std::move(*Admin);
  return startNoticeListeners();
}

Result<void> DaemonImpl::startNoticeListeners() {
  if (!Settings_.ReadyListen_.empty()) {
    auto Ready = startHttpServer(
        Settings_.ReadyListen_, std::nullopt,
        [this](const HttpExchangePointer &Exchange) {
          Exchange->reply(isReady() ? 200 : 503, {}, "");
        },
        Addresses_.Ready_);
    if (!Ready)
      return tl::unexpected<Error>(Ready.error());
    ReadyServer_ = std::move(*Ready);
  }
  bool AcceptsAnnouncements = Integration_ && Settings_.Target_ &&
                              !Settings_.Target_->AnnounceListen_.empty();
  if (!AcceptsAnnouncements)
    return {};
  auto Notices = startHttpServer(
      Settings_.Target_->AnnounceListen_, std::nullopt,
      [this](const HttpExchangePointer &Exchange) {
        handleNotice(Exchange, readClocks());
      },
      Addresses_.Announce_);
  if (!Notices)
    return tl::unexpected<Error>(Notices.error());
  AnnounceServer_ = std::move(*Notices);
  return {};
}

Result<std::unique_ptr<HttpServer>>
DaemonImpl::startHttpServer(const std::string &Address,
                            const std::optional<ServerTlsSettings> &Tls,
                            HttpHandler Handler, std::string &Bound) {
  HttpServerConfig Config = serverConfig(Settings_, Tls);
  Config.Budget_ = HttpBudget_;
  auto Server = HttpServer::create(Base_, Config);
  if (!Server)
    return Server;
  (*Server)->setHandler(std::move(Handler));
  auto Listening = (*Server)->listen(Address);
  if (!Listening)
    return tl::unexpected<Error>(Listening.error());
  Bound = *Listening;
  return Server;
}

bool DaemonImpl::isReady() const {
  return Control_->mayServe() && !Stopping_ &&
         !Control_->isConfigurationStale(monotonicNow());
}

void DaemonImpl::handleNotice(const HttpExchangePointer &Exchange, Now Time) {
  auto Notice = Integration_->parseNotice(Exchange->request());
  Result<void> Handled;
  if (!Notice)
    Handled = tl::unexpected<Error>(Notice.error());
  else if (auto *Announcement = std::get_if<TargetAnnouncement>(&*Notice))
    Handled = Targets_->handle(*Announcement, Time);
  else
    Targets_->handle(std::get<TargetDeparture>(*Notice), Time);
  if (Handled) {
    // The acknowledgement of a departure also binds the next process of this
    // daemon.
    Control_->whenDeparturesSaved(
        [Exchange] {
          Exchange->reply(200, {{"content-type", "application/json"}}, "{}");
        },
        Time);
    return;
  }
  logEvent(LogEvent::NoticeRejected,
           {{"path", Exchange->request().Path_.substr(0, MaxLoggedPathBytes)},
            {"error", describe(Handled.error())}});
  Exchange->reply(Handled.error().Kind_ == ErrorKind::NotFound ? 404 : 400, {},
                  describe(Handled.error()));
}

void DaemonImpl::startTicking() {
  TickEvent_ = event_new(Base_, -1, EV_PERSIST, onTick, this);
  event_add(TickEvent_, &TickInterval);
  logEvent(LogEvent::Started, {{"version", SYCAMORE_VERSION},
                               {"process", Process_},
                               {"settings", describeSettings(Settings_)},
                               {"caller_listen", Addresses_.Caller_},
                               {"admin_listen", Addresses_.Admin_},
                               {"peer_listen", Addresses_.Peer_}});
}

void DaemonImpl::onTick(evutil_socket_t /*Descriptor*/, short /*Events*/,
                        void *Self) {
  static_cast<DaemonImpl *>(Self)->tick();
}

void DaemonImpl::onLocalMessages(evutil_socket_t /*Descriptor*/,
                                 short /*Events*/, void *Self) {
  auto *This = static_cast<DaemonImpl *>(Self);
  std::deque<LocalMessage> Messages;
  std::swap(Messages, This->LocalMessages_);
  ReplyRoute Route{{}, This->Settings_.Server_};
  for (LocalMessage &Local : Messages)
    This->onCallMessage(Local.Message_, Local.Body_, Route, readClocks());
}

void DaemonImpl::tick() {
  LoopTaskTimer Timer(Work_, LoopTask::Tick);
  Now Time = readClocks();
  if (LastTick_ != TimePoint{})
    recordTickDelay(Work_, Time.Monotonic_ - LastTick_ - TickSpan);
  LastTick_ = Time.Monotonic_;
  Peers_->tick(Time.Monotonic_);
  Control_->tick(Time);
  Targets_->tick(Time);
  Entry_->tick(Time);
  Rollouts_->tick(Time);
  Keyed_->tick(Time);
  Quotas_->tick(Time);
  expire(Quarantine_, Time.Wall_);
  for (const QuarantineEvent &Event : takeEvents(Quarantine_))
    logEvent(Event.Kind_ == QuarantineEventKind::Suspected
                 ? LogEvent::RequestSuspected
             : Event.Kind_ == QuarantineEventKind::Quarantined
                 ? LogEvent::RequestQuarantined
                 : LogEvent::QuarantineEnded,
             {{"fingerprint", Event.Fingerprint_}, {"sample", Event.Sample_}});
  writePeriodicLogs(Time);
  writeTraces(Time);
  if (Stopping_)
    advanceStop(Time);
}

void DaemonImpl::onMessage(wire::PeerMessage &Message, std::string &Body,
                           const ReplyRoute &Route) {
  LoopTaskTimer Timer(Work_, loopTaskOf(Message));
  Now Time = readClocks();
  // Only a message over the link that this daemon dialled shows that its
  // requests can reach the peer.
  Entry_->onPeerMessage(Message.sender(), Message.process(),
                        !Route.Link_.empty(), Time);
  if (isForControlPlane(Message))
    Control_->receive(Message, Time);
  Rollouts_->receive(Message, Time);
  switch (Message.body_case()) {
  case wire::PeerMessage::kGossip:
    mergeQuarantine(Message.gossip(), Time);
    break;
  case wire::PeerMessage::kBucketHandover:
    Keyed_->receiveHandover(Message.bucket_handover(), Time);
    break;
  case wire::PeerMessage::kQuotaRequest: {
    wire::PeerMessage Answer;
    *Answer.mutable_quota_grant() =
        Quotas_->receiveRequest(Message.quota_request(), Time);
    Peers_->reply(Route, Answer, {});
    break;
  }
  case wire::PeerMessage::kQuotaGrant:
    Quotas_->receiveGrant(Message.sender(), Message.quota_grant(), Time);
    break;
  case wire::PeerMessage::kLinkHeartbeat:
    if (!Message.link_heartbeat().answer()) {
      wire::PeerMessage Answer;
      Answer.mutable_link_heartbeat()->set_answer(true);
      Peers_->reply(Route, Answer, {});
    }
    break;
  default:
    onCallMessage(Message, Body, Route, Time);
    break;
  }
}

bool DaemonImpl::isForControlPlane(const wire::PeerMessage &Message) const {
  switch (Message.body_case()) {
  case wire::PeerMessage::kCallRequest:
  case wire::PeerMessage::kCallAnswer:
  case wire::PeerMessage::kCallAnswerPart:
  case wire::PeerMessage::kCallCancel:
  case wire::PeerMessage::kCallQuery:
  case wire::PeerMessage::kCallQueryAnswer:
  case wire::PeerMessage::kLinkHeartbeat:
  case wire::PeerMessage::kQuotaRequest:
  case wire::PeerMessage::kQuotaGrant: {
    // A call message matters to the membership only as a sign of life, when the
    // sender is unknown or not recorded as alive.
    const wire::ServerRecord *Record =
        findServer(Control_->members(), Message.sender());
    return !Record || Record->state() != wire::SERVER_ALIVE;
  }
  default:
    return true;
  }
}

void DaemonImpl::onCallMessage(wire::PeerMessage &Message, std::string &Body,
                               const ReplyRoute &Route, Now Time) {
  switch (Message.body_case()) {
  case wire::PeerMessage::kCallRequest: {
    const wire::CallRequest &Request = Message.call_request();
    if (!Targets_->accept(Request, Body, Route, Time))
      break;
    if (Request.idempotency_key().empty())
      Targets_->run(Request, std::move(Body), Route, Time);
    else
      Keyed_->receiveForwarded(Request, std::move(Body), Route, Time);
    break;
  }
  case wire::PeerMessage::kCallAnswer:
    Entry_->receiveAnswer(Message.sender(), Message.call_answer(),
                          std::move(Body), Time);
    break;
  case wire::PeerMessage::kCallAnswerPart:
    Entry_->receiveAnswerPart(Message.sender(), Message.call_answer_part(),
                              Body);
    break;
  case wire::PeerMessage::kCallCancel:
    Targets_->receiveCancel(Message.call_cancel(), Time);
    break;
  case wire::PeerMessage::kCallQuery:
    Targets_->receiveQuery(Message.call_query(), Route, Time);
    break;
  case wire::PeerMessage::kCallQueryAnswer:
    Entry_->receiveQueryAnswer(Message.sender(), Message.call_query_answer(),
                               Time);
    break;
  default:
    break;
  }
}

void DaemonImpl::mergeQuarantine(const wire::Gossip &Update, Now Time) {
  bool Changed = false;
  for (const wire::QuarantineRecord &Record : Update.quarantine())
    Changed = merge(Quarantine_, Record, Time.Wall_) || Changed;
  if (Changed)
    Control_->gossipQuarantine(
        changedRecords(Quarantine_, Control_->members().Servers_.size()));
}

void DaemonImpl::sendOutbox(Outbox &Out) {
  TimePoint Time = monotonicNow();
  for (OutgoingMessage &Message : Out)
    Peers_->send(Message.To_, Message.Message_, Message.Body_, Time);
}

void DaemonImpl::queueLocal(wire::PeerMessage &Message, std::string_view Body) {
  Message.set_sender(Settings_.Server_);
  Message.set_process(Process_);
  LocalMessages_.push_back({std::move(Message), std::string(Body)});
  event_active(LocalEvent_, EV_TIMEOUT, 0);
}

SendResult DaemonImpl::sendCall(const std::string &Server,
                                wire::PeerMessage &Message,
                                std::string_view Body) {
  if (Server != Settings_.Server_)
    return Peers_->send(Server, Message, Body, monotonicNow());
  queueLocal(Message, Body);
  return {SendOutcome::Sent, 0};
}

bool DaemonImpl::replyCall(const ReplyRoute &Route, wire::PeerMessage &Message,
                           std::string_view Body) {
  if (Route.Link_ != Settings_.Server_)
    return Peers_->reply(Route, Message, Body);
  queueLocal(Message, Body);
  return true;
}

bool DaemonImpl::isAllowedPeer(const wire::ServerRecord &Record) const {
  if (!Settings_.Curve_)
    return true;
  // The store's seeds and gossip carry keys too, but only those in the settings
  // are trusted.
  auto Found = Keys_.Allowed_.find(Record.public_key());
  return Found != Keys_.Allowed_.end() && Found->second == Record.name();
}

std::optional<PeerAddress> DaemonImpl::resolve(const std::string &Peer) const {
  const wire::ServerRecord *Record = findServer(Control_->members(), Peer);
  if (!Record || Peer == Settings_.Server_ || !isAllowedPeer(*Record))
    return std::nullopt;
  return PeerAddress{Record->peer_address(), Record->public_key()};
}

void DaemonImpl::writePeriodicLogs(Now Time) {
  if (Time.Monotonic_ >= NextDropReport_) {
    NextDropReport_ = Time.Monotonic_ + DropReportInterval;
    reportDroppedLines();
  }
  if (Time.Monotonic_ < NextTotals_)
    return;
  NextTotals_ = Time.Monotonic_ + TotalsInterval;
  const EntryCallsCounters &Calls = Entry_->calls().Counters_;
  const PeerTransportCounters &Peers = Peers_->counters();
  LoopWork Work = takeLongest(Work_);
  logEvent(LogEvent::Totals,
           {{"requests", Entry_->counters().Requests_},
            {"attempts", Calls.Attempts_},
            {"retries", Calls.Retries_},
            {"hedges", Calls.Hedges_},
            {"done", Calls.Done_},
            {"not_run", Calls.NotRun_},
            {"unknown", Calls.Unknown_},
            {"in_flight", Entry_->inFlight()},
            {"peer_bytes_sent", Peers.BytesSent_},
            {"control_bytes_sent", Peers.ControlBytesSent_},
            {"store_calls", StoreCounters_->RequestsSent_},
            {"links_opened", Peers.LinksOpened_},
            {"links_silent", Calls.SilentLinks_},
            {"processor_ms", toMilliseconds(processorTime())},
            {"tick_delay_ms", toMilliseconds(Work.TickDelay_)},
            {"work", describeWork(Work)},
            {"ticket", Control_->snapshot()->Number_}});
}

void DaemonImpl::writeTraces(Now Time) {
  if (Settings_.Trace_.File_.empty() || Spans_.Spans_.empty() ||
      Time.Monotonic_ < NextTraceWrite_)
    return;
  NextTraceWrite_ = Time.Monotonic_ + TraceWriteInterval;
  std::ofstream File(Settings_.Trace_.File_, std::ios::app);
  // Attributes may hold bytes of a request's path that are not UTF-8.
  File << toOtlpJson(Spans_, Settings_.Server_)
              .dump(-1, ' ', false, Json::error_handler_t::replace)
       << "\n";
  Spans_.Spans_.clear();
}

void DaemonImpl::stop() {
  if (Stopping_)
    return;
  Now Time = readClocks();
  Stopping_ = true;
  StopStarted_ = Time.Monotonic_;
  IdleSince_ = Time.Monotonic_;
  TimePoint LatestDeadline =
      Time.Monotonic_ + Settings_.StopLimit_ - StopAnswerTime;
  Entry_->limitDeadlines(LatestDeadline);
  Targets_->limitDeadlines(LatestDeadline);
  logEvent(LogEvent::Leaving,
           {{"calls", Entry_->inFlight()}, {"requests", Targets_->inFlight()}});
}

bool DaemonImpl::isIdle() const {
  return Entry_->inFlight() == 0 && Targets_->inFlight() == 0 &&
         Keyed_->waiting() == 0 && CallerServer_->openExchanges() == 0 &&
         Answers_->pacing().Queue_.empty();
}

void DaemonImpl::beginLeaving(Now Time) {
  ListenersClosed_ = true;
  IdleSince_ = Time.Monotonic_;
  Control_->startLeaving(Time);
  Targets_->startLeaving();
  Keyed_->startLeaving(Time);
  Entry_->startLeaving();
  CallerServer_->stopAccepting();
  CallerServer_->closeIdle();
}

// Readiness ends at once, so that callers switch to other daemons. Until
// leave_notice_ms has passed, requests are served as before, also those for the
// target, which outlives this process. Then the listeners close, and the
// process ends once it is idle and its leaving has spread through the fleet.
void DaemonImpl::advanceStop(Now Time) {
  Duration Elapsed = Time.Monotonic_ - StopStarted_;
  if (Elapsed >= Settings_.Timing_.LeaveNotice_ && !ListenersClosed_)
    beginLeaving(Time);
  if (!isIdle())
    IdleSince_ = Time.Monotonic_;
  bool Done = Time.Monotonic_ - IdleSince_ >= LeavePropagationTime;
  CutShort_ = !(Done && ListenersClosed_) && Elapsed >= Settings_.StopLimit_;
  if (!CutShort_ && !(Done && ListenersClosed_))
    return;
  Keyed_->finishLeaving();
  Control_->finishLeaving(Time);
  logEvent(LogEvent::Left, {{"cut_short", CutShort_}});
  // Leaves time to send the last messages.
  timeval FlushTime{0, 200'000};
  event_base_loopexit(Base_, &FlushTime);
  Stopping_ = false;
  event_del(TickEvent_);
}

Result<void> DaemonImpl::reload() {
  auto Keys = loadPeerKeys(Settings_);
  if (!Keys)
    return tl::unexpected<Error>(Keys.error());
  Keys_.Allowed_ = Keys->Allowed_;
  Peers_->setAllowedKeys(std::move(Keys->Allowed_));
  if (!Settings_.AdminTokensFile_.empty()) {
    auto Tokens = loadAdminTokens(Settings_.AdminTokensFile_);
    if (!Tokens)
      return tl::unexpected<Error>(Tokens.error());
    Admin_->setTokens(std::move(*Tokens));
  }
  return CallerServer_->reloadTls().and_then(
      [this] { return AdminServer_->reloadTls(); });
}

} // namespace sycamore

// Randomized soak of the real programs under injected faults.
#include "Soak.h"

#include "TargetLedger.h"

#include <array>
#include <cmath>
#include <csignal>
#include <fstream>

namespace sycamore::test {
namespace {

constexpr std::array<std::string_view, 3> DataCentres = {"dalseo", "suseong",
                                                         "buk"};
/// Longer than the route's time-out, so that daemons answer first.
constexpr Duration CallerTimeout = seconds(4);
/// Time limit for each daemon to serve again after the last fault. Includes
/// floor queries, suspicion and a lease of at most 30 s.
constexpr Duration RecoveryLimit = seconds(60);
constexpr std::size_t MaxCallers = 200; ///< Each has one request at a time.

/// Of the daemon with this index: two in each, in turn.
std::string_view dataCentreOf(std::size_t Index) {
  return DataCentres[Index / 2 % DataCentres.size()];
}

/// Time that a caller waits after this answer before it sends again.
Duration pauseBeforeRetry(const HttpResponse &Response) {
  constexpr Duration AfterRefusedConnection = milliseconds(500);
  if (Response.Outcome_ == HttpOutcome::NotSent)
    return AfterRefusedConnection;
  const std::string *RetryAfter = findHeader(Response.Headers_, "retry-after");
  if (RetryAfter == nullptr)
    return Duration(0);
  return milliseconds(std::llround(std::stod(*RetryAfter) * 1000));
}

std::string makeBody(const std::string &Call) { return "body of " + Call; }

} // namespace

Soak::Soak(const SoakConfig &Config)
    : Config_(Config), Rng_(Config.Seed_),
      Client_(HttpClient::create(Cluster_.Loop_.base()).value()) {}

history::Event Soak::makeEvent(history::EventKind Kind) const {
  history::Event Out;
  Out.Kind_ = Kind;
  Out.At_ = wallNow().time_since_epoch().count();
  return Out;
}

void Soak::addViolation(const std::string &Rule,
                        const std::string &Description) {
  Report_.Violations_.push_back({Rule, Description});
}

void Soak::logEvent(const std::string &Text) {
  Report_.Faults_.push_back(
      std::to_string(toMilliseconds(monotonicNow() - StartedAt_)) + " ms " +
      Text);
}

void Soak::schedule(Duration Delay, Action Callback) {
  Scheduled_.emplace_back(monotonicNow() + Delay, std::move(Callback));
}

void Soak::runDueActions() {
  TimePoint Now = monotonicNow();
  for (std::size_t I = 0; I < Scheduled_.size();) {
    if (Scheduled_[I].first > Now) {
      ++I;
      continue;
    }
    Action Callback = std::move(Scheduled_[I].second);
    Scheduled_.erase(Scheduled_.begin() + static_cast<std::ptrdiff_t>(I));
    Callback();
  }
}

bool Soak::start() {
  Cluster_.startStore();
  Members_.resize(Config_.Servers_);
  event_base *Base = Cluster_.Loop_.base();
  for (std::size_t I = 0; I < Members_.size(); ++I) {
    Member &NewMember = Members_[I];
    NewMember.PeerProxy_ = std::make_unique<FaultProxy>(Base);
    NewMember.StoreProxy_ = std::make_unique<FaultProxy>(Base);
    NewMember.StoreProxy_->setDestination(Cluster_.storeAddress());
    Json Settings = {
        {"peer_address", NewMember.PeerProxy_->address()},
        {"store", {{"endpoints", {NewMember.StoreProxy_->address()}}}}};
    NewMember.Server_ = &Cluster_.addServer(
        I % 2 == 0 ? "shelfview" : "reservedesk", std::string(dataCentreOf(I)),
        {"--service-ms", "20"}, Settings);
    NewMember.PeerProxy_->setDestination(NewMember.Server_->Peer_);
  }
  AcceptedTicket_ = Cluster_.fileAndApproveTicket();
  return AcceptedTicket_ != 0 && Cluster_.waitForTicket(AcceptedTicket_) &&
         Cluster_.waitForTargets();
}

void Soak::sendRequest(std::size_t EntryIndex) {
  const Server &Daemon = *Members_[EntryIndex].Server_;
  history::Event Sent = makeEvent(history::EventKind::Sent);
  Sent.Call_ = "c" + std::to_string(++Report_.Sent_);
  Sent.Request_ = makeBody(Sent.Call_);
  Sent.Idempotent_ = randomIndex(Rng_, 2) == 0;
  HttpClientRequest Request;
  Request.Method_ = Sent.Idempotent_ ? "PUT" : "POST";
  Request.Path_ = (randomIndex(Rng_, 2) == 0 ? "/shelfview" : "/reservedesk") +
                  std::string("/echo?call=") + Sent.Call_;
  Request.Body_ = Sent.Request_;
  Request.Deadline_ = CallerTimeout;
  if (!Sent.Idempotent_ && randomIndex(Rng_, 4) == 0) {
    Sent.Key_ = makeKey();
    Request.Headers_.push_back({"idempotency-key", Sent.Key_});
  }
  Recorder_.add(Sent);
  SentByCall_[Sent.Call_] = Sent;
  ++OpenRequests_;
  Client_->send(
      Daemon.Caller_, std::move(Request),
      [this, Sent, Proxy = Daemon.Name_](const HttpResponse &Response) {
        onResponse(Sent, Proxy, Response);
      });
}

void Soak::onResponse(const history::Event &Sent, const std::string &Proxy,
                      const HttpResponse &Response) {
  --OpenRequests_;
  if (Duration Pause = pauseBeforeRetry(Response); Pause > Duration(0)) {
    ++WaitingCallers_;
    schedule(Pause, [this] { --WaitingCallers_; });
  }
  if (Response.Outcome_ != HttpOutcome::Answered) {
    ++Report_.Unknown_;
    return;
  }
  history::Event Out = makeEvent(history::EventKind::Answered);
  Out.Call_ = Sent.Call_;
  Out.Key_ = Sent.Key_;
  Out.Proxy_ = Proxy;
  Out.Status_ = static_cast<std::uint32_t>(Response.Status_);
  Out.Body_ = Response.Body_;
  if (const std::string *Run = findHeader(Response.Headers_, "sycamore-run"))
    Out.Run_ = *Run;
  if (Out.Run_.empty())
    addViolation("run-stated",
                 "call " + Sent.Call_ + " got no sycamore-run header");
  ++(Out.Run_ == "done"      ? Report_.Done_
     : Out.Run_ == "not-run" ? Report_.NotRun_
                             : Report_.Unknown_);
  if (Config_.RecordDoneAsNotRun_ && Out.Run_ == "done")
    Out.Run_ = "not-run";
  // The check compares bodies, unless the status is 502. Only a success has the
  // target's body.
  if (Out.Run_ == "done" && Response.Status_ != 200)
    Out.Status_ = 502;
  Recorder_.add(Out);
}

void Soak::sendRequests() {
  while (OpenRequests_ + WaitingCallers_ < MaxCallers &&
         randomIndex(Rng_, 3) != 0)
    sendRequest(randomIndex(Rng_, Members_.size()));
}

void Soak::restart(Member &Victim) {
  Cluster_.restartDaemon(*Victim.Server_);
  Victim.HighestTicket_ = 0;
  Victim.Stopping_ = false;
  Victim.PeerProxy_->setDestination(Victim.Server_->Peer_);
}

void Soak::stopDaemon(Member &Victim) {
  constexpr Duration StopLimit = seconds(7);
  logEvent("stop daemon " + Victim.Server_->Name_);
  Victim.Stopping_ = true;
  Victim.FaultedUntil_ = monotonicNow() + StopLimit + seconds(1);
  Victim.Server_->Daemon_->signal(SIGTERM);
  restartOnceStopped(Victim, monotonicNow() + StopLimit);
}

void Soak::restartOnceStopped(Member &Victim, TimePoint Deadline) {
  constexpr Duration PollInterval = milliseconds(100);
  constexpr Duration RestartDelay = milliseconds(500);
  auto Exit = Victim.Server_->Daemon_->wait(Duration(0));
  if (!Exit && monotonicNow() < Deadline) {
    schedule(PollInterval, [this, &Victim, Deadline] {
      restartOnceStopped(Victim, Deadline);
    });
    return;
  }
  if (Exit && *Exit != 0)
    addViolation("clean-stop", Victim.Server_->Name_ + " ended with status " +
                                   std::to_string(*Exit));
  Victim.FaultedUntil_ = monotonicNow() + RestartDelay + seconds(1);
  schedule(RestartDelay, [this, &Victim] { restart(Victim); });
}

void Soak::stopDataCentres() {
  std::size_t Chosen = randomIndex(Rng_, DataCentres.size() + 1);
  bool All = Chosen == DataCentres.size();
  logEvent(All ? "stop all data centres"
               : "stop data centre " + std::string(DataCentres[Chosen]));
  for (std::size_t I = 0; I < Members_.size(); ++I)
    if ((All || dataCentreOf(I) == DataCentres[Chosen]) &&
        monotonicNow() >= Members_[I].FaultedUntil_)
      stopDaemon(Members_[I]);
}

void Soak::injectProcessFault(Member &Victim) {
  Duration FaultLength = milliseconds(200 + randomIndex(Rng_, 2500));
  Victim.FaultedUntil_ = monotonicNow() + FaultLength + seconds(1);
  Server &VictimServer = *Victim.Server_;
  switch (randomIndex(Rng_, 6)) {
  case 0:
    logEvent("kill daemon " + VictimServer.Name_);
    VictimServer.Daemon_->kill();
    schedule(FaultLength, [this, &Victim] { restart(Victim); });
    break;
  case 1:
    logEvent("freeze daemon " + VictimServer.Name_);
    VictimServer.Daemon_->signal(SIGSTOP);
    schedule(FaultLength,
             [&VictimServer] { VictimServer.Daemon_->signal(SIGCONT); });
    break;
  case 2:
    stopDaemon(Victim);
    break;
  case 3:
    logEvent("kill target " + VictimServer.Name_);
    VictimServer.TargetProcess_->kill();
    schedule(FaultLength, [this, &VictimServer] {
      Cluster_.startTarget(VictimServer, {"--service-ms", "20"});
    });
    break;
  case 4:
    logEvent("freeze target " + VictimServer.Name_);
    VictimServer.TargetProcess_->signal(SIGSTOP);
    schedule(FaultLength,
             [&VictimServer] { VictimServer.TargetProcess_->signal(SIGCONT); });
    break;
  default:
    logEvent("reload daemon " + VictimServer.Name_);
    VictimServer.Daemon_->signal(SIGHUP);
    break;
  }
}

void Soak::injectLinkFault(Member &Victim) {
  bool ToStore = randomIndex(Rng_, 3) == 0;
  FaultProxy &LinkProxy = ToStore ? *Victim.StoreProxy_ : *Victim.PeerProxy_;
  std::string Name =
      (ToStore ? "store link of " : "peer links to ") + Victim.Server_->Name_;
  Duration FaultLength = milliseconds(300 + randomIndex(Rng_, 3000));
  switch (randomIndex(Rng_, 5)) {
  case 0:
    logEvent("reset " + Name);
    LinkProxy.reset();
    break;
  case 1:
    logEvent("silence both directions of " + Name);
    LinkProxy.discardTraffic(true, true);
    break;
  case 2:
    logEvent("silence one direction of " + Name);
    LinkProxy.discardTraffic(randomIndex(Rng_, 2) == 0, false);
    break;
  case 3:
    logEvent("delay " + Name);
    LinkProxy.delay(5 + static_cast<int>(randomIndex(Rng_, 200)));
    schedule(FaultLength, [&LinkProxy] { LinkProxy.delay(0); });
    break;
  default:
    logEvent("cut " + Name);
    LinkProxy.refuseConnections(true);
    LinkProxy.reset();
    schedule(FaultLength, [&LinkProxy] { LinkProxy.refuseConnections(false); });
    break;
  }
}

void Soak::restoreStoreLater() {
  logEvent("store keeps a copy");
  Cluster_.copyStore();
  schedule(milliseconds(500 + randomIndex(Rng_, 3000)), [this] {
    logEvent("store restored from its copy");
    Cluster_.restoreStore();
  });
}

void Soak::injectStoreFault() {
  if (randomIndex(Rng_, 4) == 0) {
    restoreStoreLater();
    return;
  }
  const std::array<Json, 4> Switches = {
      Json{{"down", true}}, Json{{"silent", true}}, Json{{"slow_ms", 400}},
      Json{{"lose_answers", 2}, {"fault_reads", true}}};
  const Json &Chosen = Switches[randomIndex(Rng_, Switches.size())];
  logEvent("store " + Chosen.dump());
  Cluster_.fault(Cluster_.storeAddress(), Chosen);
  schedule(milliseconds(500 + randomIndex(Rng_, 3000)), [this] {
    Cluster_.fault(Cluster_.storeAddress(),
                   {{"down", false}, {"silent", false}, {"slow_ms", 0}});
  });
}

void Soak::issueTicket() {
  std::uint64_t Number = Cluster_.tryFileAndApproveTicket();
  logEvent("ticket " + std::to_string(Number));
  AcceptedTicket_ = std::max(AcceptedTicket_, Number);
}

void Soak::injectFault() {
  std::size_t Kind = randomIndex(Rng_, 8);
  Member &Victim = Members_[randomIndex(Rng_, Members_.size())];
  if (Kind < 4) {
    if (monotonicNow() >= Victim.FaultedUntil_)
      injectProcessFault(Victim);
  } else if (Kind < 7) {
    injectLinkFault(Victim);
  } else {
    injectStoreFault();
  }
}

// Checks that a daemon's ticket number never falls while its process runs.
void Soak::sampleTickets() {
  for (Member &Each : Members_) {
    if (monotonicNow() < Each.FaultedUntil_)
      continue;
    HttpClientRequest Request;
    Request.Path_ = "/status";
    Request.Deadline_ = seconds(2);
    Client_->send(Each.Server_->Admin_, std::move(Request),
                  [this, &Each](const HttpResponse &Response) {
                    auto Document = parseJson(Response.Body_, "status");
                    if (Response.Outcome_ != HttpOutcome::Answered || !Document)
                      return;
                    std::uint64_t Ticket = Document->value("ticket", 0U);
                    if (Ticket < Each.HighestTicket_)
                      addViolation("older-ticket",
                                   Each.Server_->Name_ + " went from ticket " +
                                       std::to_string(Each.HighestTicket_) +
                                       " to " + std::to_string(Ticket));
                    Each.HighestTicket_ = std::max(Each.HighestTicket_, Ticket);
                  });
  }
}

void Soak::endFaults() {
  Cluster_.Loop_.runUntil([this] {
    runDueActions();
    return Scheduled_.empty();
  });
  Cluster_.fault(Cluster_.storeAddress(),
                 {{"down", false}, {"silent", false}, {"slow_ms", 0}});
  for (Member &Each : Members_)
    for (FaultProxy *LinkProxy :
         {Each.PeerProxy_.get(), Each.StoreProxy_.get()}) {
      LinkProxy->refuseConnections(false);
      LinkProxy->delay(0);
    }
  logEvent("all faults ended");
}

void Soak::checkRecovery() {
  auto Serves = [this](const Member &Each) {
    for (const char *Path : {"/shelfview/echo", "/reservedesk/echo"})
      if (Cluster_.call(Each.Server_->Caller_, "GET", Path).Status_ != 200)
        return false;
    return Cluster_.admin(*Each.Server_, "/status").value("ticket", 0U) >=
           AcceptedTicket_;
  };
  for (const Member &Each : Members_)
    if (!Cluster_.waitUntil([&] { return Serves(Each); }, RecoveryLimit))
      addViolation("recovery", Each.Server_->Name_ +
                                   " does not serve calls on ticket " +
                                   std::to_string(AcceptedTicket_));
  if (!Cluster_.waitUntil([this] { return OpenRequests_ == 0; }))
    addViolation("one-answer",
                 std::to_string(OpenRequests_) + " requests got no answer");
}

void Soak::readLedgers() {
  for (const Member &Each : Members_) {
    std::ifstream File(Each.Server_->Ledger_);
    for (std::string Line; std::getline(File, Line);) {
      auto Document = parseJson(Line, "ledger");
      // A killed target may leave an incomplete last line.
      if (!Document || (*Document)["event"] != "started")
        continue;
      auto Call =
          standin::queryValue((*Document)["path"].get<std::string>(), "call");
      auto Sent = Call ? SentByCall_.find(*Call) : SentByCall_.end();
      if (Sent == SentByCall_.end())
        continue;
      history::Event Ran = Sent->second;
      Ran.Kind_ = history::EventKind::Ran;
      Ran.At_ = (*Document)["time_us"];
      Ran.Target_ = (*Document)["target"];
      Ran.Body_ = Ran.Request_;
      if ((*Document)["body_hash"] != standin::bodyHash(Ran.Request_))
        addViolation("whole-request", "call " + *Call + " reached " +
                                          Ran.Target_ + " with another body");
      Recorder_.add(Ran);
    }
  }
}

SoakReport Soak::run() {
  StartedAt_ = monotonicNow();
  if (!start()) {
    addViolation("start",
                 "the cluster did not start or did not apply its first ticket");
    return Report_;
  }
  StartedAt_ = monotonicNow();
  TimePoint End = StartedAt_ + Config_.FaultDuration_;
  Cluster_.waitUntil(
      [&] {
        TimePoint Now = monotonicNow();
        runDueActions();
        sendRequests();
        if (Now >= NextFaultAt_) {
          NextFaultAt_ = Now + milliseconds(100 + randomIndex(Rng_, 700));
          injectFault();
        }
        if (Now >= NextTicketAt_) {
          NextTicketAt_ = Now + seconds(3);
          issueTicket();
        }
        if (Config_.RestoreInterval_ > Duration(0) && Now >= NextRestoreAt_) {
          NextRestoreAt_ = Now + Config_.RestoreInterval_;
          restoreStoreLater();
        }
        if (Config_.StopInterval_ > Duration(0) && Now >= NextStopAt_) {
          NextStopAt_ = Now + Config_.StopInterval_;
          stopDataCentres();
        }
        if (Now >= NextSampleAt_) {
          NextSampleAt_ = Now + milliseconds(500);
          sampleTickets();
        }
        return Now >= End;
      },
      Config_.FaultDuration_ + seconds(60));
  endFaults();
  checkRecovery();
  readLedgers();
  auto Found = history::check(Recorder_.Events_);
  Report_.Violations_.insert(Report_.Violations_.end(), Found.begin(),
                             Found.end());
  return Report_;
}

} // namespace sycamore::test

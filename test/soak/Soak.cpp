// Randomized soak of the real programs under injected faults.
#include "Soak.h"

#include "TargetLedger.h"

#include <array>
#include <csignal>
#include <fstream>

namespace sycamore::test {
namespace {

constexpr std::array<std::string_view, 3> DataCentres = {"dalseo", "suseong",
                                                         "buk"};
/// Longer than the route's time-out, so that daemons answer first.
constexpr Duration CallerPatience = seconds(4);
/// Time limit for each daemon to serve again after the last fault. Includes
/// floor queries, suspicion and a lease of at most 30 s.
constexpr Duration RecoveryLimit = seconds(60);
constexpr std::size_t MaxOpen = 200; ///< Concurrent requests.

std::string bodyOf(const std::string &Call) { return "body of " + Call; }

} // namespace

Soak::Soak(const SoakConfig &Config)
    : Config_(Config), Rng_(Config.Seed_),
      Client_(HttpClient::create(Running_.Loop_.base()).value()) {}

history::Event Soak::makeEvent(history::EventKind Kind) const {
  history::Event Out;
  Out.Kind_ = Kind;
  Out.At_ = wallNow().time_since_epoch().count();
  return Out;
}

void Soak::fail(const std::string &Rule, const std::string &What) {
  Report_.Violations_.push_back({Rule, What});
}

void Soak::note(const std::string &What) {
  Report_.Faults_.push_back(
      std::to_string(toMilliseconds(monotonicNow() - Started_)) + " ms " +
      What);
}

void Soak::later(Duration Wait, Action What) {
  Later_.emplace_back(monotonicNow() + Wait, std::move(What));
}

void Soak::runDue() {
  TimePoint Now = monotonicNow();
  for (std::size_t I = 0; I < Later_.size();) {
    if (Later_[I].first > Now) {
      ++I;
      continue;
    }
    Action What = std::move(Later_[I].second);
    Later_.erase(Later_.begin() + static_cast<std::ptrdiff_t>(I));
    What();
  }
}

bool Soak::start() {
  Running_.startStore();
  Members_.resize(Config_.Servers_);
  event_base *Base = Running_.Loop_.base();
  for (std::size_t I = 0; I < Members_.size(); ++I) {
    Member &Added = Members_[I];
    Added.Peers_ = std::make_unique<FaultProxy>(Base);
    Added.Store_ = std::make_unique<FaultProxy>(Base);
    Added.Store_->leadTo(Running_.storeAddress());
    Json Extra = {{"peer_address", Added.Peers_->address()},
                  {"store", {{"endpoints", {Added.Store_->address()}}}}};
    Added.Server_ = &Running_.addServer(
        I % 2 == 0 ? "shelfview" : "reservedesk",
        std::string(DataCentres[I / 2 % DataCentres.size()]),
        {"--service-ms", "20"}, Extra);
    Added.Peers_->leadTo(Added.Server_->Peer_);
  }
  Accepted_ = Running_.acceptTicket();
  return Accepted_ != 0 && Running_.waitForTicket(Accepted_) &&
         Running_.waitForTargets();
}

void Soak::sendOne(std::size_t Entry) {
  const Server &Daemon = *Members_[Entry].Server_;
  history::Event Sent = makeEvent(history::EventKind::Sent);
  Sent.Call_ = "c" + std::to_string(++Report_.Sent_);
  Sent.Request_ = bodyOf(Sent.Call_);
  Sent.Idempotent_ = randomIndex(Rng_, 2) == 0;
  HttpClientRequest Request;
  Request.Method_ = Sent.Idempotent_ ? "PUT" : "POST";
  Request.Path_ = (randomIndex(Rng_, 2) == 0 ? "/shelfview" : "/reservedesk") +
                  std::string("/echo?call=") + Sent.Call_;
  Request.Body_ = Sent.Request_;
  Request.Deadline_ = CallerPatience;
  if (!Sent.Idempotent_ && randomIndex(Rng_, 4) == 0) {
    Sent.Key_ = makeKey();
    Request.Headers_.push_back({"idempotency-key", Sent.Key_});
  }
  Recorder_.add(Sent);
  SentByCall_[Sent.Call_] = Sent;
  ++Open_;
  Client_->send(Daemon.Caller_, std::move(Request),
                [this, Sent, Proxy = Daemon.Name_](const HttpAnswer &Answer) {
                  onAnswer(Sent, Proxy, Answer);
                });
}

void Soak::onAnswer(const history::Event &Sent, const std::string &Proxy,
                    const HttpAnswer &Answer) {
  --Open_;
  if (Answer.Outcome_ != HttpOutcome::Answered) {
    ++Report_.Unknown_;
    return;
  }
  history::Event Out = makeEvent(history::EventKind::Answered);
  Out.Call_ = Sent.Call_;
  Out.Key_ = Sent.Key_;
  Out.Proxy_ = Proxy;
  Out.Status_ = static_cast<std::uint32_t>(Answer.Status_);
  Out.Body_ = Answer.Body_;
  if (const std::string *Run = findHeader(Answer.Headers_, "sycamore-run"))
    Out.Run_ = *Run;
  if (Out.Run_.empty())
    fail("run-stated", "call " + Sent.Call_ + " got no sycamore-run header");
  ++(Out.Run_ == "done"      ? Report_.Done_
     : Out.Run_ == "not-run" ? Report_.NotRun_
                             : Report_.Unknown_);
  if (Config_.LieForTest_ && Out.Run_ == "done")
    Out.Run_ = "not-run";
  // The check compares bodies, unless the status is 502. Only a success has the
  // target's body.
  if (Out.Run_ == "done" && Answer.Status_ != 200)
    Out.Status_ = 502;
  Recorder_.add(Out);
}

void Soak::sendSome() {
  while (Open_ < MaxOpen && randomIndex(Rng_, 3) != 0)
    sendOne(randomIndex(Rng_, Members_.size()));
}

void Soak::restart(Member &Which) {
  Running_.restartDaemon(*Which.Server_);
  Which.Ticket_ = 0;
  Which.Stopping_ = false;
  Which.Peers_->leadTo(Which.Server_->Peer_);
}

void Soak::disturbProcess(Member &Which) {
  Duration Span = milliseconds(200 + randomIndex(Rng_, 2500));
  Which.BusyUntil_ = monotonicNow() + Span + seconds(1);
  Server &Hit = *Which.Server_;
  switch (randomIndex(Rng_, 6)) {
  case 0:
    note("kill daemon " + Hit.Name_);
    Hit.Daemon_->kill();
    later(Span, [this, &Which] { restart(Which); });
    break;
  case 1:
    note("freeze daemon " + Hit.Name_);
    Hit.Daemon_->signal(SIGSTOP);
    later(Span, [&Hit] { Hit.Daemon_->signal(SIGCONT); });
    break;
  case 2:
    note("stop daemon " + Hit.Name_);
    Which.Stopping_ = true;
    Which.BusyUntil_ = monotonicNow() + seconds(8);
    Hit.Daemon_->signal(SIGTERM);
    later(seconds(7), [this, &Which, &Hit] {
      auto Exit = Hit.Daemon_->wait(Duration(0));
      if (Exit && *Exit != 0)
        fail("clean-stop",
             Hit.Name_ + " ended with status " + std::to_string(*Exit));
      restart(Which);
    });
    break;
  case 3:
    note("kill target " + Hit.Name_);
    Hit.TargetProcess_->kill();
    later(Span, [this, &Hit] {
      Running_.startTarget(Hit, {"--service-ms", "20"});
    });
    break;
  case 4:
    note("freeze target " + Hit.Name_);
    Hit.TargetProcess_->signal(SIGSTOP);
    later(Span, [&Hit] { Hit.TargetProcess_->signal(SIGCONT); });
    break;
  default:
    note("reload daemon " + Hit.Name_);
    Hit.Daemon_->signal(SIGHUP);
    break;
  }
}

void Soak::disturbLink(Member &Which) {
  bool Store = randomIndex(Rng_, 3) == 0;
  FaultProxy &Way = Store ? *Which.Store_ : *Which.Peers_;
  std::string Name =
      (Store ? "store link of " : "peer links to ") + Which.Server_->Name_;
  Duration Span = milliseconds(300 + randomIndex(Rng_, 3000));
  switch (randomIndex(Rng_, 5)) {
  case 0:
    note("reset " + Name);
    Way.reset();
    break;
  case 1:
    note("silence both directions of " + Name);
    Way.silence(true, true);
    break;
  case 2:
    note("silence one direction of " + Name);
    Way.silence(randomIndex(Rng_, 2) == 0, false);
    break;
  case 3:
    note("delay " + Name);
    Way.delay(5 + static_cast<int>(randomIndex(Rng_, 200)));
    later(Span, [&Way] { Way.delay(0); });
    break;
  default:
    note("cut " + Name);
    Way.refuse(true);
    Way.reset();
    later(Span, [&Way] { Way.refuse(false); });
    break;
  }
}

void Soak::disturbStore() {
  const std::array<Json, 4> Switches = {
      Json{{"down", true}}, Json{{"silent", true}}, Json{{"slow_ms", 400}},
      Json{{"lose_answers", 2}, {"fault_reads", true}}};
  const Json &Chosen = Switches[randomIndex(Rng_, Switches.size())];
  note("store " + Chosen.dump());
  Running_.fault(Running_.storeAddress(), Chosen);
  later(milliseconds(500 + randomIndex(Rng_, 3000)), [this] {
    Running_.fault(Running_.storeAddress(),
                   {{"down", false}, {"silent", false}, {"slow_ms", 0}});
  });
}

void Soak::changeTicket() {
  std::uint64_t Number = Running_.tryTicket();
  note("ticket " + std::to_string(Number));
  Accepted_ = std::max(Accepted_, Number);
}

void Soak::disturb() {
  std::size_t Kind = randomIndex(Rng_, 8);
  Member &Which = Members_[randomIndex(Rng_, Members_.size())];
  if (Kind < 4) {
    if (monotonicNow() >= Which.BusyUntil_)
      disturbProcess(Which);
  } else if (Kind < 7) {
    disturbLink(Which);
  } else {
    disturbStore();
  }
}

// Checks that a daemon's ticket number never falls while its process runs.
void Soak::sampleTickets() {
  for (Member &Each : Members_) {
    if (monotonicNow() < Each.BusyUntil_)
      continue;
    HttpClientRequest Request;
    Request.Path_ = "/status";
    Request.Deadline_ = seconds(2);
    Client_->send(Each.Server_->Admin_, std::move(Request),
                  [this, &Each](const HttpAnswer &Answer) {
                    auto Document = parseJson(Answer.Body_, "status");
                    if (Answer.Outcome_ != HttpOutcome::Answered || !Document)
                      return;
                    std::uint64_t Ticket = Document->value("ticket", 0U);
                    if (Ticket < Each.Ticket_)
                      fail("older-ticket", Each.Server_->Name_ +
                                               " went from ticket " +
                                               std::to_string(Each.Ticket_) +
                                               " to " + std::to_string(Ticket));
                    Each.Ticket_ = std::max(Each.Ticket_, Ticket);
                  });
  }
}

void Soak::heal() {
  Running_.Loop_.runUntil([this] {
    runDue();
    return Later_.empty();
  });
  Running_.fault(Running_.storeAddress(),
                 {{"down", false}, {"silent", false}, {"slow_ms", 0}});
  for (Member &Each : Members_)
    for (FaultProxy *Way : {Each.Peers_.get(), Each.Store_.get()}) {
      Way->refuse(false);
      Way->delay(0);
    }
  note("all faults ended");
}

void Soak::checkRecovery() {
  auto Serves = [this](const Member &Each) {
    for (const char *Path : {"/shelfview/echo", "/reservedesk/echo"})
      if (Running_.call(Each.Server_->Caller_, "GET", Path).Status_ != 200)
        return false;
    return Running_.admin(*Each.Server_, "/status").value("ticket", 0U) >=
           Accepted_;
  };
  for (const Member &Each : Members_)
    if (!Running_.waitUntil([&] { return Serves(Each); }, RecoveryLimit))
      fail("recovery", Each.Server_->Name_ +
                           " does not serve calls on ticket " +
                           std::to_string(Accepted_));
  if (!Running_.waitUntil([this] { return Open_ == 0; }))
    fail("one-answer", std::to_string(Open_) + " requests got no answer");
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
        fail("whole-request", "call " + *Call + " reached " + Ran.Target_ +
                                  " with another body");
      Recorder_.add(Ran);
    }
  }
}

SoakReport Soak::run() {
  Started_ = monotonicNow();
  if (!start()) {
    fail("start",
         "the cluster did not start or did not apply its first ticket");
    return Report_;
  }
  Started_ = monotonicNow();
  TimePoint End = Started_ + Config_.Length_;
  Running_.waitUntil(
      [&] {
        TimePoint Now = monotonicNow();
        runDue();
        sendSome();
        if (Now >= NextDisturbance_) {
          NextDisturbance_ = Now + milliseconds(100 + randomIndex(Rng_, 700));
          disturb();
        }
        if (Now >= NextTicket_) {
          NextTicket_ = Now + seconds(3);
          changeTicket();
        }
        if (Now >= NextSample_) {
          NextSample_ = Now + milliseconds(500);
          sampleTickets();
        }
        return Now >= End;
      },
      Config_.Length_ + seconds(60));
  heal();
  checkRecovery();
  readLedgers();
  auto Found = history::check(Recorder_.Events_);
  Report_.Violations_.insert(Report_.Violations_.end(), Found.begin(),
                             Found.end());
  return Report_;
}

} // namespace sycamore::test

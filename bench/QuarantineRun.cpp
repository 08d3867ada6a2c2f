// Discrete-event simulation of quarantine.
#include "QuarantineRun.h"

#include "Agenda.h"

#include "sycamore/Placement.h"

#include <deque>
#include <utility>

namespace sycamore::bench {
namespace {

constexpr Duration Network = milliseconds(1);
constexpr Duration KillTime = milliseconds(3);
constexpr Duration InnocentTime = milliseconds(20);
constexpr Duration Pause = milliseconds(20); ///< Of a caller before a resend.
constexpr std::uint64_t Killer = 1;          ///< Fingerprint.
/// Number of fingerprints that half of the innocent requests share.
constexpr std::uint64_t Popular = 20;

struct Request {
  std::uint64_t Fingerprint_ = 0;
  std::size_t Entry_ = 0;
  std::size_t Target_ = 0;
  std::size_t Caller_ = 0; ///< Of the crashing request.
  bool Alone_ = false;
  bool Suspect_ = false;
  std::optional<TimePoint> HeldSince_;
};

struct Daemon {
  std::string Name_;
  Quarantine Table_;
  std::vector<bool> Gone_; ///< Targets that it believes to be down.
  // State of its target.
  bool Alive_ = true;
  std::vector<std::size_t> Running_; ///< Indices of requests.
  std::deque<std::size_t> Suspects_; ///< Waiting for the running suspect.
};

class QuarantineSimulation {
public:
  explicit QuarantineSimulation(const QuarantineRunConfig &Config);
  QuarantineRunResult run();

private:
  WallTime wall() const {
    return WallTime(seconds(1'000'000'000)) + Agenda_.Now_.time_since_epoch();
  }
  void sendKiller(std::size_t Caller);
  void sendInnocent();
  void tick();
  void enter(Request Value);
  std::optional<std::size_t> choose(const Request &Value);
  void offer(std::size_t Id);
  void start(std::size_t Id);
  void done(std::size_t Id);
  void lose(std::size_t Target);
  void lost(std::size_t Id);
  void notRun(std::size_t Id);
  void refuse(Request Value, Duration RetryAfter);
  void resend(Request Value, Duration Wait);
  void spread(std::size_t From, std::uint64_t Fingerprint);
  void spreadAlive(std::size_t Target);

  const QuarantineRunConfig &Config_;
  Agenda Agenda_;
  Random Rng_;
  std::vector<Daemon> Daemons_;
  std::deque<Request> Requests_;
  std::uint64_t NextFingerprint_ = 1000;
  QuarantineRunResult Result_;
};

QuarantineSimulation::QuarantineSimulation(const QuarantineRunConfig &Config)
    : Config_(Config), Rng_(Config.Seed_), Daemons_(Config.Daemons_) {
  for (std::size_t Id = 0; Id < Daemons_.size(); ++Id) {
    Daemons_[Id].Name_ = "server-" + std::to_string(Id + 1);
    Daemons_[Id].Table_.Options_ = Config.Options_;
    Daemons_[Id].Gone_.resize(Daemons_.size());
  }
}

QuarantineRunResult QuarantineSimulation::run() {
  for (std::size_t Each = 0; Each < Config_.Callers_; ++Each)
    Agenda_.after(seconds(1) + Duration(static_cast<std::int64_t>(
                                   randomIndex(Rng_, 2000))),
                  [this, Each] { sendKiller(Each); });
  if (Config_.InnocentRate_ > 0)
    sendInnocent();
  tick();
  if (Config_.ClearAt_)
    Agenda_.after(*Config_.ClearAt_, [this] {
      clear(Daemons_[0].Table_, Killer, wall());
      spread(0, Killer);
    });
  Agenda_.runUntil(TimePoint{Config_.Length_});
  for (Daemon &Each : Daemons_)
    for (const QuarantineEvent &Event : takeEvents(Each.Table_))
      Result_.InnocentsQuarantined_ +=
          Event.Kind_ == QuarantineEventKind::Quarantined &&
                  Event.Fingerprint_ != Killer
              ? 1
              : 0;
  return Result_;
}

void QuarantineSimulation::tick() {
  for (Daemon &Each : Daemons_)
    expire(Each.Table_, wall());
  Agenda_.after(seconds(1), [this] { tick(); });
}

void QuarantineSimulation::sendKiller(std::size_t Caller) {
  Request New;
  New.Fingerprint_ = Killer;
  New.Caller_ = Caller;
  New.Entry_ = randomIndex(Rng_, Daemons_.size());
  enter(New);
  if (Config_.ResendEvery_)
    Agenda_.after(*Config_.ResendEvery_,
                  [this, Caller] { sendKiller(Caller); });
}

void QuarantineSimulation::sendInnocent() {
  Request New;
  New.Fingerprint_ = randomUnit(Rng_) < 0.5 ? 10 + randomIndex(Rng_, Popular)
                                            : NextFingerprint_++;
  New.Entry_ = randomIndex(Rng_, Daemons_.size());
  enter(New);
  std::exponential_distribution<double> Gap(Config_.InnocentRate_ / 1e6);
  Agenda_.after(Duration(static_cast<std::int64_t>(Gap(Rng_)) + 1),
                [this] { sendInnocent(); });
}

std::optional<std::size_t> QuarantineSimulation::choose(const Request &Value) {
  std::vector<Candidate> Candidates;
  std::vector<std::size_t> Ids;
  for (std::size_t Id = 0; Id < Daemons_.size(); ++Id) {
    if (Daemons_[Value.Entry_].Gone_[Id])
      continue;
    Candidates.push_back({Daemons_[Id].Name_, Daemons_[Id].Name_, "", 6});
    Ids.push_back(Id);
  }
  if (Ids.empty())
    return std::nullopt;
  if (Value.Alone_ && Config_.OneSuspectTarget_)
    return Ids[*chooseSuspectTarget(Value.Fingerprint_, Candidates)];
  return Ids[randomIndex(Rng_, Ids.size())];
}

void QuarantineSimulation::enter(Request Value) {
  QuarantineVerdict Verdict;
  if (Config_.Enabled_)
    Verdict = check(Daemons_[Value.Entry_].Table_, Value.Fingerprint_, wall());
  if (Verdict.Decision_ == QuarantineDecision::Refuse)
    return refuse(Value, Verdict.RetryAfter_);
  Value.Alone_ = Verdict.Decision_ == QuarantineDecision::AllowAlone;
  auto Target = choose(Value);
  if (!Target) {
    noteFinished(Daemons_[Value.Entry_].Table_, Value.Fingerprint_);
    return refuse(Value, Pause);
  }
  Value.Target_ = *Target;
  Requests_.push_back(Value);
  Agenda_.after(Network, [this, Id = Requests_.size() - 1] { offer(Id); });
}

/// Handles the arrival of a request at the daemon beside the target.
void QuarantineSimulation::offer(std::size_t Id) {
  Request &Value = Requests_[Id];
  Daemon &Where = Daemons_[Value.Target_];
  if (!Where.Alive_)
    return notRun(Id);
  QuarantineDecision Known =
      Config_.Enabled_ ? checkAtTarget(Where.Table_, Value.Fingerprint_, wall())
                       : QuarantineDecision::Allow;
  if (Known == QuarantineDecision::Refuse)
    return notRun(Id);
  Value.Suspect_ = Value.Alone_ || Known == QuarantineDecision::AllowAlone;
  bool Waits = false;
  for (std::size_t Each : Where.Running_)
    Waits |= Value.Suspect_ && Requests_[Each].Suspect_;
  if (Waits)
    Where.Suspects_.push_back(Id);
  else
    start(Id);
}

void QuarantineSimulation::start(std::size_t Id) {
  Daemons_[Requests_[Id].Target_].Running_.push_back(Id);
  if (Requests_[Id].Fingerprint_ == Killer)
    Agenda_.after(KillTime, [this, Id] {
      auto &Running = Daemons_[Requests_[Id].Target_].Running_;
      if (std::find(Running.begin(), Running.end(), Id) != Running.end())
        lose(Requests_[Id].Target_);
    });
  else
    Agenda_.after(InnocentTime, [this, Id] { done(Id); });
}

void QuarantineSimulation::done(std::size_t Id) {
  const Request &Value = Requests_[Id];
  Daemon &Where = Daemons_[Value.Target_];
  if (std::erase(Where.Running_, Id) == 0)
    return; // Its target crashed.
  Daemon &Entry = Daemons_[Value.Entry_];
  std::uint64_t Before = Entry.Table_.Counters_.ClearedBySuccess_;
  noteSuccess(Entry.Table_, Value.Fingerprint_, wall());
  noteFinished(Entry.Table_, Value.Fingerprint_);
  if (Entry.Table_.Counters_.ClearedBySuccess_ != Before)
    spread(Value.Entry_, Value.Fingerprint_);
  ++Result_.Innocents_;
  if (Value.HeldSince_) {
    ++Result_.Held_;
    Result_.LongestHeld_ =
        std::max(Result_.LongestHeld_, Agenda_.Now_ - *Value.HeldSince_);
  }
  if (Value.Suspect_ && !Where.Suspects_.empty()) {
    std::size_t Next = Where.Suspects_.front();
    Where.Suspects_.pop_front();
    start(Next);
  }
}

void QuarantineSimulation::lose(std::size_t Target) {
  Daemon &Where = Daemons_[Target];
  Where.Alive_ = false;
  Where.Gone_[Target] = true;
  ++Result_.Losses_;
  Result_.LastLoss_ = Agenda_.Now_.time_since_epoch();
  auto Running = std::exchange(Where.Running_, {});
  auto Waiting = std::exchange(Where.Suspects_, {});
  for (std::size_t Id : Running) {
    if (Config_.Enabled_) {
      noteLoss(Where.Table_, Requests_[Id].Fingerprint_, Where.Name_, "sample",
               wall());
      spread(Target, Requests_[Id].Fingerprint_);
    }
    Agenda_.after(Network, [this, Id] { lost(Id); });
  }
  for (std::size_t Id : Waiting)
    notRun(Id);
  Agenda_.after(Config_.RestartAfter_, [this, Target] {
    Daemons_[Target].Alive_ = true;
    spreadAlive(Target);
  });
}

/// Handles the report to the entry daemon that the target of its request
/// crashed.
void QuarantineSimulation::lost(std::size_t Id) {
  const Request &Value = Requests_[Id];
  Daemon &Entry = Daemons_[Value.Entry_];
  Entry.Gone_[Value.Target_] = true;
  Duration Hold{0};
  if (Config_.Enabled_) {
    Hold = noteLoss(Entry.Table_, Value.Fingerprint_,
                    Daemons_[Value.Target_].Name_, "sample", wall());
    noteFinished(Entry.Table_, Value.Fingerprint_);
    spread(Value.Entry_, Value.Fingerprint_);
  }
  resend(Value, Hold + Pause);
}

void QuarantineSimulation::notRun(std::size_t Id) {
  Agenda_.after(Network, [this, Id] {
    const Request &Value = Requests_[Id];
    noteFinished(Daemons_[Value.Entry_].Table_, Value.Fingerprint_);
    refuse(Value, Pause);
  });
}

void QuarantineSimulation::refuse(Request Value, Duration RetryAfter) {
  if (Value.Fingerprint_ == Killer) {
    ++Result_.KillerRefused_;
    return resend(Value, Pause); // The caller ignores Retry-After.
  }
  resend(Value, RetryAfter);
}

void QuarantineSimulation::resend(Request Value, Duration Wait) {
  if (Value.Fingerprint_ == Killer) {
    if (!Config_.ResendEvery_)
      Agenda_.after(Wait,
                    [this, Caller = Value.Caller_] { sendKiller(Caller); });
    return;
  }
  if (!Value.HeldSince_)
    Value.HeldSince_ = Agenda_.Now_;
  Value.Entry_ = randomIndex(Rng_, Daemons_.size());
  Agenda_.after(Wait, [this, Value] { enter(Value); });
}

/// Sends the quarantine record of a fingerprint, together with the targets that
/// the sender believes to be down, to every other daemon.
void QuarantineSimulation::spread(std::size_t From, std::uint64_t Fingerprint) {
  wire::QuarantineRecord Record;
  for (auto &Each : changedRecords(Daemons_[From].Table_, Daemons_.size()))
    if (Each.fingerprint() == Fingerprint)
      Record = Each;
  auto Gone = Daemons_[From].Gone_;
  for (std::size_t To = 0; To < Daemons_.size(); ++To) {
    if (To == From)
      continue;
    Duration Delay(static_cast<std::int64_t>(randomIndex(
        Rng_, static_cast<std::size_t>(Config_.GossipDelay_.count()) + 1)));
    Agenda_.after(Delay, [this, To, Record, Gone] {
      merge(Daemons_[To].Table_, Record, wall());
      for (std::size_t Id = 0; Id < Gone.size(); ++Id)
        if (Gone[Id] && !Daemons_[Id].Alive_)
          Daemons_[To].Gone_[Id] = true;
    });
  }
}

void QuarantineSimulation::spreadAlive(std::size_t Target) {
  for (Daemon &Each : Daemons_)
    Agenda_.after(Config_.GossipDelay_,
                  [&Each, Target] { Each.Gone_[Target] = false; });
}

} // namespace

QuarantineRunResult runQuarantine(const QuarantineRunConfig &Config) {
  return QuarantineSimulation(Config).run();
}

} // namespace sycamore::bench

// Discrete-event simulation of quarantine.
#include "QuarantineRun.h"

#include "Agenda.h"

#include "sycamore/Placement.h"

#include <deque>
#include <utility>

namespace sycamore::bench {
namespace {

constexpr Duration NetworkDelay = milliseconds(1);
constexpr Duration TimeToCrash = milliseconds(3);
constexpr Duration InnocentWorkTime = milliseconds(20);
constexpr Duration ResendDelay = milliseconds(20);
constexpr std::uint64_t CrashingFingerprint = 1;
/// Number of fingerprints that half of the innocent requests share.
constexpr std::uint64_t PopularFingerprints = 20;

struct Request {
  std::uint64_t Fingerprint_ = 0;
  std::size_t Entry_ = 0;
  std::size_t Target_ = 0;
  std::size_t Caller_ = 0; ///< Of the crashing request.
  bool SuspectAtEntry_ = false;
  bool Suspect_ = false;
  std::optional<TimePoint> FirstRefusedAt_;
};

struct Daemon {
  std::string Name_;
  Quarantine Table_;
  std::vector<bool> BelievedDown_; ///< By index of the target.
  // State of its target.
  bool Alive_ = true;
  std::vector<std::size_t> Running_; ///< Indices of requests.
  /// Indices of suspect requests that wait for the running one.
  std::deque<std::size_t> WaitingSuspects_;
};

class QuarantineSimulation {
public:
  explicit QuarantineSimulation(const QuarantineRunConfig &Config);
  QuarantineRunResult run();

private:
  WallTime wallTime() const {
    return WallTime(seconds(1'000'000'000)) + Queue_.Now_.time_since_epoch();
  }
  void sendCrashingRequest(std::size_t Caller);
  void sendInnocent();
  void tick();
  void handleAtEntry(Request CurrentRequest);
  std::optional<std::size_t> pickTarget(const Request &CurrentRequest);
  void handleAtTarget(std::size_t Id);
  void startRequest(std::size_t Id);
  void completeInnocent(std::size_t Id);
  void crashTarget(std::size_t Target);
  void onTargetLost(std::size_t Id);
  void answerNotRun(std::size_t Id);
  void refuse(Request CurrentRequest, Duration RetryAfter);
  void resend(Request CurrentRequest, Duration Wait);
  void gossipRecord(std::size_t From, std::uint64_t Fingerprint);
  void gossipRecovery(std::size_t Target);

  const QuarantineRunConfig &Config_;
  EventQueue Queue_;
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
    Daemons_[Id].BelievedDown_.resize(Daemons_.size());
  }
}

QuarantineRunResult QuarantineSimulation::run() {
  for (std::size_t Each = 0; Each < Config_.Callers_; ++Each)
    Queue_.schedule(seconds(1) + Duration(static_cast<std::int64_t>(
                                     randomIndex(Rng_, 2000))),
                    [this, Each] { sendCrashingRequest(Each); });
  if (Config_.InnocentRate_ > 0)
    sendInnocent();
  tick();
  if (Config_.ClearAt_)
    Queue_.schedule(*Config_.ClearAt_, [this] {
      clear(Daemons_[0].Table_, CrashingFingerprint, wallTime());
      gossipRecord(0, CrashingFingerprint);
    });
  Queue_.runUntil(TimePoint{Config_.Length_});
  for (Daemon &Each : Daemons_)
    for (const QuarantineEvent &Event : takeEvents(Each.Table_))
      Result_.InnocentsQuarantined_ +=
          Event.Kind_ == QuarantineEventKind::Quarantined &&
                  Event.Fingerprint_ != CrashingFingerprint
              ? 1
              : 0;
  return Result_;
}

void QuarantineSimulation::tick() {
  for (Daemon &Each : Daemons_)
    expire(Each.Table_, wallTime());
  Queue_.schedule(seconds(1), [this] { tick(); });
}

void QuarantineSimulation::sendCrashingRequest(std::size_t Caller) {
  Request New;
  New.Fingerprint_ = CrashingFingerprint;
  New.Caller_ = Caller;
  New.Entry_ = randomIndex(Rng_, Daemons_.size());
  handleAtEntry(New);
  if (Config_.ResendInterval_)
    Queue_.schedule(*Config_.ResendInterval_,
                    [this, Caller] { sendCrashingRequest(Caller); });
}

void QuarantineSimulation::sendInnocent() {
  Request New;
  New.Fingerprint_ = randomUnit(Rng_) < 0.5
                         ? 10 + randomIndex(Rng_, PopularFingerprints)
                         : NextFingerprint_++;
  New.Entry_ = randomIndex(Rng_, Daemons_.size());
  handleAtEntry(New);
  std::exponential_distribution<double> Gap(Config_.InnocentRate_ / 1e6);
  Queue_.schedule(Duration(static_cast<std::int64_t>(Gap(Rng_)) + 1),
                  [this] { sendInnocent(); });
}

std::optional<std::size_t>
QuarantineSimulation::pickTarget(const Request &CurrentRequest) {
  std::vector<Candidate> Candidates;
  std::vector<std::size_t> Ids;
  for (std::size_t Id = 0; Id < Daemons_.size(); ++Id) {
    if (Daemons_[CurrentRequest.Entry_].BelievedDown_[Id])
      continue;
    Candidates.push_back({Daemons_[Id].Name_, Daemons_[Id].Name_, "", 6});
    Ids.push_back(Id);
  }
  if (Ids.empty())
    return std::nullopt;
  if (CurrentRequest.SuspectAtEntry_ && Config_.OneSuspectTarget_)
    return Ids[*chooseSuspectTarget(CurrentRequest.Fingerprint_, Candidates)];
  return Ids[randomIndex(Rng_, Ids.size())];
}

void QuarantineSimulation::handleAtEntry(Request CurrentRequest) {
  QuarantineVerdict Verdict;
  if (Config_.Enabled_)
    Verdict = check(Daemons_[CurrentRequest.Entry_].Table_,
                    CurrentRequest.Fingerprint_, wallTime());
  if (Verdict.Decision_ == QuarantineDecision::Refuse)
    return refuse(CurrentRequest, Verdict.RetryAfter_);
  CurrentRequest.SuspectAtEntry_ =
      Verdict.Decision_ == QuarantineDecision::AllowAsSuspect;
  auto Target = pickTarget(CurrentRequest);
  if (!Target) {
    endSuspectRun(Daemons_[CurrentRequest.Entry_].Table_,
                  CurrentRequest.Fingerprint_);
    return refuse(CurrentRequest, ResendDelay);
  }
  CurrentRequest.Target_ = *Target;
  Requests_.push_back(CurrentRequest);
  Queue_.schedule(NetworkDelay,
                  [this, Id = Requests_.size() - 1] { handleAtTarget(Id); });
}

/// Handles the arrival of a request at the daemon beside the target.
void QuarantineSimulation::handleAtTarget(std::size_t Id) {
  Request &CurrentRequest = Requests_[Id];
  Daemon &TargetDaemon = Daemons_[CurrentRequest.Target_];
  if (!TargetDaemon.Alive_)
    return answerNotRun(Id);
  QuarantineDecision TargetDecision =
      Config_.Enabled_ ? checkAtTarget(TargetDaemon.Table_,
                                       CurrentRequest.Fingerprint_, wallTime())
                       : QuarantineDecision::Allow;
  if (TargetDecision == QuarantineDecision::Refuse)
    return answerNotRun(Id);
  CurrentRequest.Suspect_ =
      CurrentRequest.SuspectAtEntry_ ||
      TargetDecision == QuarantineDecision::AllowAsSuspect;
  bool MustWait = false;
  for (std::size_t Each : TargetDaemon.Running_)
    MustWait |= CurrentRequest.Suspect_ && Requests_[Each].Suspect_;
  if (MustWait)
    TargetDaemon.WaitingSuspects_.push_back(Id);
  else
    startRequest(Id);
}

void QuarantineSimulation::startRequest(std::size_t Id) {
  Daemons_[Requests_[Id].Target_].Running_.push_back(Id);
  if (Requests_[Id].Fingerprint_ == CrashingFingerprint)
    Queue_.schedule(TimeToCrash, [this, Id] {
      auto &Running = Daemons_[Requests_[Id].Target_].Running_;
      if (std::find(Running.begin(), Running.end(), Id) != Running.end())
        crashTarget(Requests_[Id].Target_);
    });
  else
    Queue_.schedule(InnocentWorkTime, [this, Id] { completeInnocent(Id); });
}

void QuarantineSimulation::completeInnocent(std::size_t Id) {
  const Request &CurrentRequest = Requests_[Id];
  Daemon &TargetDaemon = Daemons_[CurrentRequest.Target_];
  if (std::erase(TargetDaemon.Running_, Id) == 0)
    return; // Its target crashed.
  Daemon &Entry = Daemons_[CurrentRequest.Entry_];
  std::uint64_t Before = Entry.Table_.Counters_.ClearedBySuccess_;
  recordSuccess(Entry.Table_, CurrentRequest.Fingerprint_, wallTime());
  endSuspectRun(Entry.Table_, CurrentRequest.Fingerprint_);
  if (Entry.Table_.Counters_.ClearedBySuccess_ != Before)
    gossipRecord(CurrentRequest.Entry_, CurrentRequest.Fingerprint_);
  ++Result_.Innocents_;
  if (CurrentRequest.FirstRefusedAt_) {
    ++Result_.InnocentsDelayed_;
    Result_.LongestDelay_ = std::max(
        Result_.LongestDelay_, Queue_.Now_ - *CurrentRequest.FirstRefusedAt_);
  }
  if (CurrentRequest.Suspect_ && !TargetDaemon.WaitingSuspects_.empty()) {
    std::size_t Next = TargetDaemon.WaitingSuspects_.front();
    TargetDaemon.WaitingSuspects_.pop_front();
    startRequest(Next);
  }
}

void QuarantineSimulation::crashTarget(std::size_t Target) {
  Daemon &TargetDaemon = Daemons_[Target];
  TargetDaemon.Alive_ = false;
  TargetDaemon.BelievedDown_[Target] = true;
  ++Result_.Losses_;
  Result_.LastLoss_ = Queue_.Now_.time_since_epoch();
  auto Running = std::exchange(TargetDaemon.Running_, {});
  auto Waiting = std::exchange(TargetDaemon.WaitingSuspects_, {});
  for (std::size_t Id : Running) {
    if (Config_.Enabled_) {
      recordLoss(TargetDaemon.Table_, Requests_[Id].Fingerprint_,
                 TargetDaemon.Name_, "sample", wallTime());
      gossipRecord(Target, Requests_[Id].Fingerprint_);
    }
    Queue_.schedule(NetworkDelay, [this, Id] { onTargetLost(Id); });
  }
  for (std::size_t Id : Waiting)
    answerNotRun(Id);
  Queue_.schedule(Config_.RestartDelay_, [this, Target] {
    Daemons_[Target].Alive_ = true;
    gossipRecovery(Target);
  });
}

/// Handles the report to the entry daemon that the target of its request
/// crashed.
void QuarantineSimulation::onTargetLost(std::size_t Id) {
  const Request &CurrentRequest = Requests_[Id];
  Daemon &Entry = Daemons_[CurrentRequest.Entry_];
  Entry.BelievedDown_[CurrentRequest.Target_] = true;
  Duration HoldTime{0};
  if (Config_.Enabled_) {
    HoldTime = recordLoss(Entry.Table_, CurrentRequest.Fingerprint_,
                          Daemons_[CurrentRequest.Target_].Name_, "sample",
                          wallTime());
    endSuspectRun(Entry.Table_, CurrentRequest.Fingerprint_);
    gossipRecord(CurrentRequest.Entry_, CurrentRequest.Fingerprint_);
  }
  resend(CurrentRequest, HoldTime + ResendDelay);
}

void QuarantineSimulation::answerNotRun(std::size_t Id) {
  Queue_.schedule(NetworkDelay, [this, Id] {
    const Request &CurrentRequest = Requests_[Id];
    endSuspectRun(Daemons_[CurrentRequest.Entry_].Table_,
                  CurrentRequest.Fingerprint_);
    refuse(CurrentRequest, ResendDelay);
  });
}

void QuarantineSimulation::refuse(Request CurrentRequest, Duration RetryAfter) {
  if (CurrentRequest.Fingerprint_ == CrashingFingerprint) {
    ++Result_.CrashingRefused_;
    // The caller ignores Retry-After.
    return resend(CurrentRequest, ResendDelay);
  }
  resend(CurrentRequest, RetryAfter);
}

void QuarantineSimulation::resend(Request CurrentRequest, Duration Wait) {
  if (CurrentRequest.Fingerprint_ == CrashingFingerprint) {
    if (!Config_.ResendInterval_)
      Queue_.schedule(Wait, [this, Caller = CurrentRequest.Caller_] {
        sendCrashingRequest(Caller);
      });
    return;
  }
  if (!CurrentRequest.FirstRefusedAt_)
    CurrentRequest.FirstRefusedAt_ = Queue_.Now_;
  CurrentRequest.Entry_ = randomIndex(Rng_, Daemons_.size());
  Queue_.schedule(Wait,
                  [this, CurrentRequest] { handleAtEntry(CurrentRequest); });
}

/// Sends the quarantine record of a fingerprint, together with the targets that
/// the sender believes to be down, to every other daemon.
void QuarantineSimulation::gossipRecord(std::size_t From,
                                        std::uint64_t Fingerprint) {
  wire::QuarantineRecord Record;
  for (auto &Each : changedRecords(Daemons_[From].Table_, Daemons_.size()))
    if (Each.fingerprint() == Fingerprint)
      Record = Each;
  auto Down = Daemons_[From].BelievedDown_;
  for (std::size_t To = 0; To < Daemons_.size(); ++To) {
    if (To == From)
      continue;
    Duration Delay(static_cast<std::int64_t>(randomIndex(
        Rng_, static_cast<std::size_t>(Config_.GossipDelay_.count()) + 1)));
    Queue_.schedule(Delay, [this, To, Record, Down] {
      merge(Daemons_[To].Table_, Record, wallTime());
      for (std::size_t Id = 0; Id < Down.size(); ++Id)
        if (Down[Id] && !Daemons_[Id].Alive_)
          Daemons_[To].BelievedDown_[Id] = true;
    });
  }
}

void QuarantineSimulation::gossipRecovery(std::size_t Target) {
  for (Daemon &Each : Daemons_)
    Queue_.schedule(Config_.GossipDelay_,
                    [&Each, Target] { Each.BelievedDown_[Target] = false; });
}

} // namespace

QuarantineRunResult runQuarantine(const QuarantineRunConfig &Config) {
  return QuarantineSimulation(Config).run();
}

} // namespace sycamore::bench

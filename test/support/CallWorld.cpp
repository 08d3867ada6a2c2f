// Simulated time, faults, membership and tickets of the call simulation.
#include "CallWorld.h"

#include "CallMutation.h"

#include <algorithm>
#include <cstdlib>

namespace sycamore::world {
namespace {

/// Wall time at simulated time 0.
constexpr Micros WallTimeAtStart = 1'800'000'000'000'000;

const std::map<std::string, CallMutation> &mutations() {
  using enum CallMutation;
  static const std::map<std::string, CallMutation> Table = {
      {"retry-in-doubt", RetryInDoubt},
      {"restarted-daemon-vouches", RestartedDaemonVouches},
      {"any-incarnation-answers", AnyIncarnationAnswers},
      {"no-body-check", NoBodyCheck},
      {"no-tombstone", NoTombstone},
      {"no-low-water-mark", NoLowWaterMark},
      {"expired-without-record", ExpiredWithoutRecord},
      {"no-duplicate-check", NoDuplicateCheck},
      {"ignore-pause", IgnorePause},
      {"border-without-allowance", BorderWithoutAllowance},
      {"lease-from-answer", LeaseFromAnswer},
      {"takeover-from-request", TakeoverFromRequest},
      {"unknown-forgets-key", UnknownForgetsKey},
      {"no-request-hash", NoRequestHash},
      {"no-age-limit", NoAgeLimit},
      {"handover-without-fence", HandoverWithoutFence},
      {"accept-while-handing-over", AcceptWhileHandingOver},
      {"lapsed-is-settled", LapsedIsSettled},
      {"stale-time", StaleTime},
      {"pass-on-refusals", PassOnRefusals},
  };
  return Table;
}

} // namespace

bool setMutation(const std::string &Name) {
  auto Found = mutations().find(Name);
  ActiveCallMutation =
      Found == mutations().end() ? CallMutation::None : Found->second;
  return Found != mutations().end();
}

std::vector<std::string> mutationNames() {
  std::vector<std::string> Out;
  for (const auto &[Name, Which] : mutations())
    Out.push_back(Name);
  return Out;
}

void setMutationFromEnvironment() {
  const char *Name = std::getenv("SYCAMORE_CALL_MUTATION");
  setMutation(Name == nullptr ? "" : Name);
}

Config shortConfig(std::uint64_t Seed) {
  Config Out;
  Out.Seed_ = Seed;
  Out.Keyed_.BucketCount_ = 3;
  Out.Keyed_.ResendWindow_ = seconds(6);
  Out.Keyed_.ClockSkew_ = milliseconds(400);
  Out.Keyed_.LeaseTtl_ = seconds(2);
  Out.Keyed_.KeepAliveInterval_ = milliseconds(600);
  Out.Keyed_.LeaseSafetyMargin_ = milliseconds(50);
  Out.Keyed_.RetryDelay_ = milliseconds(150);
  Out.Keyed_.AcquireDelayPerRank_ = seconds(1);
  Out.Keyed_.MaxRemoteRunTime_ = seconds(3);
  Out.Keyed_.HandoverPartBytes_ = 150;
  Out.StoreDeadline_ = 500'000;
  Out.Entry_.RefusalStatuses_ = {RefusalStatus};
  // Small enough that runs reach every bound.
  Out.Keyed_.MaxRecords_ = 16;
  Out.Keyed_.MaxAnswerBytes_ = 200;
  Out.Target_.RetentionTime_ = milliseconds(800);
  Out.Target_.MaxRecords_ = 8;
  Out.Target_.MaxAnswerBytes_ = 120;
  Out.Target_.MaxProcesses_ = 6;
  return Out;
}

Config takeoverConfig(std::uint64_t Seed) {
  Config Out = shortConfig(Seed);
  Out.Takeovers_ = true;
  Out.KeyedOnly_ = true;
  Out.Nodes_ = 3;
  Out.Requests_ = 60;
  Out.CallerTimeout_ = 300'000;
  Out.DetectionTime_ = 700'000;
  Out.Keyed_.BucketCount_ = 1;
  Out.Keyed_.MaxRecords_ = 1000;
  Out.StoreDeadline_ = 4'000'000;
  Out.Keyed_.ClockSkew_ = seconds(1);
  Out.Keyed_.RetryDelay_ = milliseconds(50);
  Out.Keyed_.AcquireDelayPerRank_ = milliseconds(100);
  return Out;
}

CallSimulation::CallSimulation(const Config &Settings)
    : Config_(Settings), Rng_(Settings.Seed_), Nodes_(Settings.Nodes_) {
  for (std::uint64_t Number = 1; Number <= 4; ++Number) {
    auto NewSnapshot = std::make_shared<Snapshot>();
    NewSnapshot->Number_ = Number;
    Snapshots_.push_back(NewSnapshot);
  }
  Micros Skew = Config_.Keyed_.ClockSkew_.count() / 2;
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    Nodes_[I].Name_ = "server-" + std::to_string(I);
    Nodes_[I].Index_ = I;
    bool ExtremeClocks = Config_.Takeovers_;
    Nodes_[I].WallOffset_ = ExtremeClocks ? (I % 2 == 0 ? Skew : -Skew)
                                          : randomBetween(-Skew, Skew);
    // The guarantees must not depend on callers' clocks: one clock, or every
    // clock with Takeovers_, is ahead by up to twice the allowed skew.
    bool ClockAhead = Config_.Faults_ && (I == 0 || ExtremeClocks);
    CallerClockOffsets_.push_back(ClockAhead ? randomBetween(Skew, 4 * Skew)
                                             : randomBetween(-Skew, Skew));
  }
}

void CallSimulation::at(Micros When, std::function<void()> Action) {
  Queue_.push({std::max(When, Now_), Order_++,
               std::make_shared<std::function<void()>>(std::move(Action))});
}

void CallSimulation::runOnNode(Node &Executor, Micros Delay,
                               std::function<void(Node &)> Action) {
  std::uint64_t Process = Executor.Process_;
  at(Now_ + Delay, [this, &Executor, Process, Action = std::move(Action)] {
    if (!Executor.Alive_ || Executor.Process_ != Process)
      return;
    if (Executor.FrozenUntil_ > Now_)
      runOnNode(Executor, Executor.FrozenUntil_ - Now_, Action);
    else
      Action(Executor);
  });
}

void CallSimulation::deliver(std::size_t Index, Micros Delay,
                             std::function<void(Node &)> Action) {
  at(Now_ + Delay, [this, Index, Action = std::move(Action)] {
    Node &Executor = Nodes_[Index];
    if (Executor.Alive_)
      runOnNode(Executor, 0, Action);
  });
}

bool CallSimulation::chance(double Probability) {
  return randomUnit(Rng_) < Probability;
}

Micros CallSimulation::randomBetween(Micros Low, Micros High) {
  return Low + static_cast<Micros>(
                   randomIndex(Rng_, static_cast<std::size_t>(High - Low + 1)));
}

sycamore::Now CallSimulation::clock(const Node &Owner) const {
  return {TimePoint(Duration(Now_ + Owner.MonotonicOffset_)),
          WallTime(Duration(WallTimeAtStart + Now_ + Owner.WallOffset_))};
}

void CallSimulation::start(Node &Daemon) {
  Daemon.Alive_ = true;
  Daemon.Leaving_ = false;
  Daemon.UnavailableSince_ = -1;
  Daemon.FrozenUntil_ = 0;
  Daemon.MonotonicOffset_ = randomBetween(1, 1'000'000'000);
  Daemon.Process_ =
      static_cast<std::uint64_t>(WallTimeAtStart + Now_ + Daemon.WallOffset_);
  std::uint64_t Running = Daemon.Snapshot_ ? Daemon.Snapshot_->Number_ : 1;
  Daemon.Snapshot_ = Snapshots_[Running - 1];
  Daemon.Entry_ = {};
  Daemon.Entry_.Self_ = Daemon.Name_;
  Daemon.Entry_.Incarnation_ = Daemon.Process_;
  Daemon.Entry_.Limits_ = Config_.Entry_;
  Daemon.Target_ = {};
  Daemon.Target_.Process_ = Daemon.Process_;
  Daemon.Target_.Limits_ = Config_.Target_;
  Daemon.Target_.LastTick_ = clock(Daemon).Monotonic_;
  Daemon.Holder_ = {};
  Daemon.Holder_.Buckets_ =
      makeBucketTable(Daemon.Name_, Daemon.Process_, Config_.Keyed_);
  Daemon.ResultCallbacks_.clear();
  Daemon.ReplyCallbacks_.clear();
  if (!Daemon.StoreClient_)
    connectStore(Daemon);
  // A daemon learns the membership from its peers before its first tick.
  gossip();
  runOnNode(Daemon, randomBetween(0, Config_.TickInterval_),
            [this](Node &Local) { tick(Local); });
}

void CallSimulation::kill(Node &Daemon, Micros DownTime) {
  if (!Daemon.Alive_)
    return;
  addTotals(*this, Daemon);
  Daemon.Alive_ = false;
  Daemon.UnavailableSince_ = Now_;
  at(Now_ + DownTime, [this, &Daemon] { start(Daemon); });
}

void CallSimulation::freeze(Node &Daemon, Micros Length) {
  if (!Daemon.Alive_ || Daemon.FrozenUntil_ > Now_)
    return;
  Daemon.FrozenUntil_ = Now_ + Length;
  Daemon.UnavailableSince_ = Now_;
  at(Daemon.FrozenUntil_, [&Daemon] {
    if (Daemon.Alive_)
      Daemon.UnavailableSince_ = -1;
  });
}

void CallSimulation::stopGracefully(Node &Daemon) {
  if (!Daemon.Alive_ || Daemon.Leaving_)
    return;
  runOnNode(Daemon, 0, [this](Node &Leaving) {
    Leaving.Leaving_ = true;
    performBucketActions(Leaving,
                         beginHandover(Leaving.Holder_.Buckets_,
                                       Leaving.KnownAlive_, clock(Leaving)));
    runOnNode(Leaving, Config_.CallerTimeout_, [this](Node &Releasing) {
      performBucketActions(Releasing,
                           releaseBuckets(Releasing.Holder_.Buckets_));
      runOnNode(Releasing, 100'000,
                [this](Node &Stopping) { kill(Stopping, 300'000); });
    });
  });
}

void CallSimulation::injectStepFault(Node &Daemon) {
  if (!Config_.Faults_)
    return;
  if (chance(0.004))
    freeze(Daemon, chance(0.3) ? randomBetween(1'000'000, 5'000'000)
                               : randomBetween(1'000, 900'000));
  else if (chance(0.002))
    kill(Daemon, randomBetween(50'000, 3'000'000));
}

void CallSimulation::scheduleFaults() {
  for (Micros Count = randomBetween(1, 6); Count > 0; --Count) {
    at(randomBetween(0, Config_.LoadEnd_), [this] {
      Node &Victim = Nodes_[randomIndex(Rng_, Nodes_.size())];
      if (Config_.Takeovers_) {
        injectTakeoverFault(Victim);
        return;
      }
      Node &Peer = Nodes_[randomIndex(Rng_, Nodes_.size())];
      Link &Path = Links_[{Victim.Index_, Peer.Index_}];
      Micros Skew = Config_.Keyed_.ClockSkew_.count() / 2;
      switch (randomBetween(0, 10)) {
      case 0:
        freeze(Victim, randomBetween(50'000, 5'000'000));
        break;
      case 1:
        kill(Victim, randomBetween(50'000, 4'000'000));
        break;
      case 2:
        Path.Silent_ = true;
        break;
      case 3:
        Path.AnswersSilent_ = true;
        break;
      case 4:
        ++Path.Generation_;
        runOnNode(Victim, 100, [this, &Peer](Node &Local) {
          performCallActions(Local, onLinkLost(Local.Entry_, Peer.Name_,
                                               makePolicy(Local),
                                               clock(Local).Monotonic_));
        });
        break;
      case 5:
        Store_.DownUntil_ = Now_ + randomBetween(300'000, 5'000'000);
        break;
      case 6:
        Store_.SlowUntil_ = Now_ + randomBetween(500'000, 4'000'000);
        break;
      case 7:
      case 8:
        stopGracefully(Victim);
        break;
      default:
        Victim.WallOffset_ = randomBetween(-Skew, Skew);
      }
    });
  }
}

void CallSimulation::injectTakeoverFault(Node &Victim) {
  switch (randomBetween(0, 5)) {
  case 0:
    freeze(Victim, randomBetween(50'000, 3'000'000));
    break;
  case 1:
    Victim.StoreUnreachableUntil_ = Now_ + randomBetween(500'000, 4'000'000);
    break;
  case 2:
    Victim.ReportedDeadUntil_ = Now_ + randomBetween(500'000, 4'000'000);
    break;
  case 3:
    Victim.ReportedDeadUntil_ = Victim.StoreUnreachableUntil_ =
        Now_ + randomBetween(500'000, 4'000'000);
    break;
  case 4:
    Store_.SlowUntil_ = Now_ + randomBetween(500'000, 4'000'000);
    break;
  default:
    Victim.ReportedDeadUntil_ = Store_.SlowUntil_ =
        Now_ + randomBetween(500'000, 4'000'000);
  }
}

void CallSimulation::gossip() {
  std::vector<wire::ServerRecord> Records;
  std::vector<std::string> Alive;
  for (Node &Each : Nodes_) {
    wire::ServerRecord Record;
    Record.set_name(Each.Name_);
    Record.set_incarnation(Each.Process_);
    bool ReportedDead =
        Now_ < Each.ReportedDeadUntil_ ||
        (Each.UnavailableSince_ >= 0 &&
         Now_ - Each.UnavailableSince_ >= Config_.DetectionTime_);
    Record.set_state(ReportedDead    ? wire::SERVER_DEAD
                     : Each.Leaving_ ? wire::SERVER_LEAVING
                                     : wire::SERVER_ALIVE);
    for (wire::HeldBucket &Held : heldBuckets(Each.Holder_.Buckets_))
      *Record.add_buckets() = Held;
    if (!ReportedDead && !Each.Leaving_)
      Alive.push_back(Each.Name_);
    Records.push_back(std::move(Record));
  }
  for (Node &Each : Nodes_) {
    if (!Each.Alive_ || Each.FrozenUntil_ > Now_)
      continue;
    Each.KnownRecords_ = Records;
    Each.KnownAlive_ = Alive;
    for (const wire::ServerRecord &Record : Records)
      Each.KnownProcesses_[Record.name()] = Record.incarnation();
  }
}

void CallSimulation::tick(Node &Daemon) {
  runOnNode(Daemon, Config_.TickInterval_,
            [this](Node &Local) { tick(Local); });
  sycamore::Now Time = clock(Daemon);
  for (const Node &Peer : Nodes_) {
    bool Answers = Peer.Alive_ && Peer.FrozenUntil_ <= Now_;
    const Link &Path = Links_[{Daemon.Index_, Peer.Index_}];
    if (Answers && !Path.Silent_)
      recordLinkActivity(Daemon.Entry_, Peer.Name_, Time.Monotonic_);
    bool ReportedDead = std::none_of(
        Daemon.KnownAlive_.begin(), Daemon.KnownAlive_.end(),
        [&](const std::string &Name) { return Name == Peer.Name_; });
    if (ReportedDead && !Peer.Leaving_ && Peer.Index_ != Daemon.Index_ &&
        chance(0.05))
      performCallActions(
          Daemon, onServerRestarted(Daemon.Entry_, Peer.Name_, UINT64_MAX,
                                    makePolicy(Daemon), Time.Monotonic_));
  }
  tickTargetCalls(Daemon.Target_, Time.Monotonic_);
  performBucketActions(Daemon,
                       tickBuckets(Daemon.Holder_.Buckets_, Daemon.KnownAlive_,
                                   Daemon.KnownRecords_, Time, Rng_));
  performCallActions(Daemon, tickEntryCalls(Daemon.Entry_, makePolicy(Daemon),
                                            Time.Monotonic_));
  std::vector<BucketEvent> Events;
  performHolderActions(Daemon,
                       answerResolvedWaiters(Daemon.Holder_, Events, Time));
  takeEvents(Daemon.Entry_);
  takeEvents(Daemon.Target_);
}

void CallSimulation::run() {
  for (std::uint64_t Number = 1; Number <= Snapshots_.size(); ++Number)
    at(static_cast<Micros>(Number - 1) * Config_.LoadEnd_ / 4, [this, Number] {
      history::Event Accepted;
      Accepted.Kind_ = history::EventKind::Accepted;
      Accepted.At_ = Now_;
      Accepted.Ticket_ = Number;
      History_.add(Accepted);
      for (Node &Each : Nodes_)
        deliver(Each.Index_, randomBetween(1'000, 400'000),
                [this, Number](Node &Local) {
                  if (Local.Snapshot_->Number_ >= Number)
                    return;
                  Local.Snapshot_ = Snapshots_[Number - 1];
                  history::Event Applied;
                  Applied.Kind_ = history::EventKind::Ticket;
                  Applied.At_ = Now_;
                  Applied.Proxy_ = Local.Name_;
                  Applied.Ticket_ = Number;
                  History_.add(Applied);
                });
    });
  for (Node &Each : Nodes_)
    start(Each);
  for (Micros When = 0; When < Config_.Length_; When += 200'000)
    at(When, [this] { gossip(); });
  if (Config_.Faults_)
    scheduleFaults();
  scheduleLoad();
  while (!Queue_.empty() && Queue_.top().When_ <= Config_.Length_) {
    Scheduled Next = Queue_.top();
    Queue_.pop();
    Now_ = Next.When_;
    (*Next.Action_)();
  }
  for (const Node &Each : Nodes_)
    if (Each.Alive_)
      addTotals(*this, Each);
}

} // namespace sycamore::world

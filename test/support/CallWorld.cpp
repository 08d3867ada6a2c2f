// Simulated time, faults, membership and tickets of the call simulation.
#include "CallWorld.h"

#include "CallMutation.h"

#include <algorithm>
#include <cstdlib>

namespace sycamore::world {
namespace {

/// Wall time at simulated time 0.
constexpr Micros Epoch = 1'800'000'000'000'000;

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
  Out.Keyed_.KeepAliveEvery_ = milliseconds(600);
  Out.Keyed_.LeaseGuard_ = milliseconds(50);
  Out.Keyed_.RetryPause_ = milliseconds(150);
  Out.Keyed_.RankDelay_ = seconds(1);
  Out.Keyed_.MaxRemoteRun_ = seconds(3);
  Out.Keyed_.HandoverPartBytes_ = 150;
  Out.StoreDeadline_ = 500'000;
  // Small enough that runs reach every bound.
  Out.Keyed_.MaxRecords_ = 16;
  Out.Keyed_.MaxAnswerBytes_ = 200;
  Out.Target_.KeepFor_ = milliseconds(800);
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
  Out.CallerPatience_ = 300'000;
  Out.Detection_ = 700'000;
  Out.Keyed_.BucketCount_ = 1;
  Out.Keyed_.MaxRecords_ = 1000;
  Out.StoreDeadline_ = 4'000'000;
  Out.Keyed_.ClockSkew_ = seconds(1);
  Out.Keyed_.RetryPause_ = milliseconds(50);
  Out.Keyed_.RankDelay_ = milliseconds(100);
  return Out;
}

World::World(const Config &Settings)
    : Config_(Settings), Rng_(Settings.Seed_), Nodes_(Settings.Nodes_) {
  for (std::uint64_t Number = 1; Number <= 4; ++Number) {
    auto Made = std::make_shared<Snapshot>();
    Made->Number_ = Number;
    Tickets_.push_back(Made);
  }
  Micros Skew = Config_.Keyed_.ClockSkew_.count() / 2;
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    Nodes_[I].Name_ = "server-" + std::to_string(I);
    Nodes_[I].Index_ = I;
    bool Extreme = Config_.Takeovers_;
    Nodes_[I].WallOffset_ =
        Extreme ? (I % 2 == 0 ? Skew : -Skew) : between(-Skew, Skew);
    // The guarantees must not depend on callers' clocks: one clock, or every
    // clock with Takeovers_, is ahead by up to twice the allowed skew.
    bool Ahead = Config_.Faults_ && (I == 0 || Extreme);
    CallerOffset_.push_back(Ahead ? between(Skew, 4 * Skew)
                                  : between(-Skew, Skew));
  }
}

void World::at(Micros When, std::function<void()> Act) {
  Queue_.push({std::max(When, Now_), Order_++,
               std::make_shared<std::function<void()>>(std::move(Act))});
}

void World::atNode(Node &Where, Micros Delay, std::function<void(Node &)> Act) {
  std::uint64_t Process = Where.Process_;
  at(Now_ + Delay, [this, &Where, Process, Act = std::move(Act)] {
    if (!Where.Alive_ || Where.Process_ != Process)
      return;
    if (Where.FrozenUntil_ > Now_)
      atNode(Where, Where.FrozenUntil_ - Now_, Act);
    else
      Act(Where);
  });
}

void World::arrive(std::size_t Index, Micros Delay,
                   std::function<void(Node &)> Act) {
  at(Now_ + Delay, [this, Index, Act = std::move(Act)] {
    Node &Where = Nodes_[Index];
    if (Where.Alive_)
      atNode(Where, 0, Act);
  });
}

bool World::chance(double Probability) {
  return randomUnit(Rng_) < Probability;
}

Micros World::between(Micros Low, Micros High) {
  return Low + static_cast<Micros>(
                   randomIndex(Rng_, static_cast<std::size_t>(High - Low + 1)));
}

sycamore::Now World::clock(const Node &Of) const {
  return {TimePoint(Duration(Now_ + Of.MonotonicOffset_)),
          WallTime(Duration(Epoch + Now_ + Of.WallOffset_))};
}

void World::start(Node &What) {
  What.Alive_ = true;
  What.Leaving_ = false;
  What.LostSince_ = -1;
  What.FrozenUntil_ = 0;
  What.MonotonicOffset_ = between(1, 1'000'000'000);
  What.Process_ = static_cast<std::uint64_t>(Epoch + Now_ + What.WallOffset_);
  std::uint64_t Running = What.Snapshot_ ? What.Snapshot_->Number_ : 1;
  What.Snapshot_ = Tickets_[Running - 1];
  What.Entry_ = {};
  What.Entry_.Self_ = What.Name_;
  What.Entry_.Incarnation_ = What.Process_;
  What.Entry_.Limits_ = Config_.Entry_;
  What.Target_ = {};
  What.Target_.Process_ = What.Process_;
  What.Target_.Limits_ = Config_.Target_;
  What.Target_.LastTick_ = clock(What).Monotonic_;
  What.Holder_ = {};
  What.Holder_.Buckets_ =
      makeBucketTable(What.Name_, What.Process_, Config_.Keyed_);
  What.OnFinish_.clear();
  What.Replies_.clear();
  if (!What.Access_)
    connectStore(What);
  // A daemon learns the membership from its peers before its first tick.
  gossip();
  atNode(What, between(0, Config_.Tick_), [this](Node &At) { tick(At); });
}

void World::kill(Node &What, Micros Down) {
  if (!What.Alive_)
    return;
  addTotals(*this, What);
  What.Alive_ = false;
  What.LostSince_ = Now_;
  at(Now_ + Down, [this, &What] { start(What); });
}

void World::freeze(Node &What, Micros Length) {
  if (!What.Alive_ || What.FrozenUntil_ > Now_)
    return;
  What.FrozenUntil_ = Now_ + Length;
  What.LostSince_ = Now_;
  at(What.FrozenUntil_, [&What] {
    if (What.Alive_)
      What.LostSince_ = -1;
  });
}

void World::stopGracefully(Node &What) {
  if (!What.Alive_ || What.Leaving_)
    return;
  atNode(What, 0, [this](Node &At) {
    At.Leaving_ = true;
    performBuckets(
        At, beginHandover(At.Holder_.Buckets_, At.SeenAlive_, clock(At)));
    atNode(At, Config_.CallerPatience_, [this](Node &Late) {
      performBuckets(Late, releaseBuckets(Late.Holder_.Buckets_));
      atNode(Late, 100'000, [this](Node &Last) { kill(Last, 300'000); });
    });
  });
}

void World::stepFault(Node &What) {
  if (!Config_.Faults_)
    return;
  if (chance(0.004))
    freeze(What, chance(0.3) ? between(1'000'000, 5'000'000)
                             : between(1'000, 900'000));
  else if (chance(0.002))
    kill(What, between(50'000, 3'000'000));
}

void World::scheduleFaults() {
  for (Micros Count = between(1, 6); Count > 0; --Count) {
    at(between(0, Config_.LoadEnd_), [this] {
      Node &Hit = Nodes_[randomIndex(Rng_, Nodes_.size())];
      if (Config_.Takeovers_) {
        takeoverFault(Hit);
        return;
      }
      Node &Peer = Nodes_[randomIndex(Rng_, Nodes_.size())];
      Link &Path = Links_[{Hit.Index_, Peer.Index_}];
      Micros Skew = Config_.Keyed_.ClockSkew_.count() / 2;
      switch (between(0, 10)) {
      case 0:
        freeze(Hit, between(50'000, 5'000'000));
        break;
      case 1:
        kill(Hit, between(50'000, 4'000'000));
        break;
      case 2:
        Path.Silent_ = true;
        break;
      case 3:
        Path.AnswersSilent_ = true;
        break;
      case 4:
        ++Path.Epoch_;
        atNode(Hit, 100, [this, &Peer](Node &At) {
          perform(At, onLinkLost(At.Entry_, Peer.Name_, policy(At),
                                 clock(At).Monotonic_));
        });
        break;
      case 5:
        Store_.DownUntil_ = Now_ + between(300'000, 5'000'000);
        break;
      case 6:
        Store_.SlowUntil_ = Now_ + between(500'000, 4'000'000);
        break;
      case 7:
      case 8:
        stopGracefully(Hit);
        break;
      default:
        Hit.WallOffset_ = between(-Skew, Skew);
      }
    });
  }
}

void World::takeoverFault(Node &Hit) {
  switch (between(0, 5)) {
  case 0:
    freeze(Hit, between(50'000, 3'000'000));
    break;
  case 1:
    Hit.CutOffUntil_ = Now_ + between(500'000, 4'000'000);
    break;
  case 2:
    Hit.SuspectedUntil_ = Now_ + between(500'000, 4'000'000);
    break;
  case 3:
    Hit.SuspectedUntil_ = Hit.CutOffUntil_ = Now_ + between(500'000, 4'000'000);
    break;
  case 4:
    Store_.SlowUntil_ = Now_ + between(500'000, 4'000'000);
    break;
  default:
    Hit.SuspectedUntil_ = Store_.SlowUntil_ =
        Now_ + between(500'000, 4'000'000);
  }
}

void World::gossip() {
  std::vector<wire::ServerRecord> Records;
  std::vector<std::string> Alive;
  for (Node &Each : Nodes_) {
    wire::ServerRecord Record;
    Record.set_name(Each.Name_);
    Record.set_incarnation(Each.Process_);
    bool Lost =
        Now_ < Each.SuspectedUntil_ ||
        (Each.LostSince_ >= 0 && Now_ - Each.LostSince_ >= Config_.Detection_);
    Record.set_state(Lost            ? wire::SERVER_DEAD
                     : Each.Leaving_ ? wire::SERVER_LEAVING
                                     : wire::SERVER_ALIVE);
    for (wire::HeldBucket &Held : heldBuckets(Each.Holder_.Buckets_))
      *Record.add_buckets() = Held;
    if (!Lost && !Each.Leaving_)
      Alive.push_back(Each.Name_);
    Records.push_back(std::move(Record));
  }
  for (Node &Each : Nodes_) {
    if (!Each.Alive_ || Each.FrozenUntil_ > Now_)
      continue;
    Each.SeenRecords_ = Records;
    Each.SeenAlive_ = Alive;
    for (const wire::ServerRecord &Record : Records)
      Each.SeenProcess_[Record.name()] = Record.incarnation();
  }
}

void World::tick(Node &What) {
  atNode(What, Config_.Tick_, [this](Node &At) { tick(At); });
  sycamore::Now At = clock(What);
  for (const Node &Peer : Nodes_) {
    bool Answers = Peer.Alive_ && Peer.FrozenUntil_ <= Now_;
    const Link &Path = Links_[{What.Index_, Peer.Index_}];
    if (Answers && !Path.Silent_)
      noteHeard(What.Entry_, Peer.Name_, At.Monotonic_);
    bool Lost = std::none_of(
        What.SeenAlive_.begin(), What.SeenAlive_.end(),
        [&](const std::string &Name) { return Name == Peer.Name_; });
    if (Lost && !Peer.Leaving_ && Peer.Index_ != What.Index_ && chance(0.05))
      perform(What, onServerLost(What.Entry_, Peer.Name_, UINT64_MAX,
                                 policy(What), At.Monotonic_));
  }
  tickTargetCalls(What.Target_, At.Monotonic_);
  performBuckets(What, tickBuckets(What.Holder_.Buckets_, What.SeenAlive_,
                                   What.SeenRecords_, At, Rng_));
  perform(What, tickEntryCalls(What.Entry_, policy(What), At.Monotonic_));
  std::vector<BucketEvent> Events;
  performHolder(What, settleWaiting(What.Holder_, Events, At));
  takeEvents(What.Entry_);
  takeEvents(What.Target_);
}

void World::run() {
  for (std::uint64_t Number = 1; Number <= Tickets_.size(); ++Number)
    at(static_cast<Micros>(Number - 1) * Config_.LoadEnd_ / 4, [this, Number] {
      history::Event Accepted;
      Accepted.Kind_ = history::EventKind::Accepted;
      Accepted.At_ = Now_;
      Accepted.Ticket_ = Number;
      History_.add(Accepted);
      for (Node &Each : Nodes_)
        arrive(Each.Index_, between(1'000, 400'000), [this, Number](Node &At) {
          if (At.Snapshot_->Number_ >= Number)
            return;
          At.Snapshot_ = Tickets_[Number - 1];
          history::Event Runs;
          Runs.Kind_ = history::EventKind::Ticket;
          Runs.At_ = Now_;
          Runs.Proxy_ = At.Name_;
          Runs.Ticket_ = Number;
          History_.add(Runs);
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
    (*Next.Act_)();
  }
  for (const Node &Each : Nodes_)
    if (Each.Alive_)
      addTotals(*this, Each);
}

} // namespace sycamore::world

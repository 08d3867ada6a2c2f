// A seeded world of daemons, targets, callers and a store around the call
// modules, in one thread and in simulated time, for history checks.
#pragma once

#include "History.h"
#include "sycamore/BucketStore.h"
#include "sycamore/EntryCalls.h"
#include "sycamore/KeyHolder.h"
#include "sycamore/TargetCalls.h"

#include <map>
#include <queue>

namespace sycamore::world {

/// Microseconds of true time.
using Micros = std::int64_t;

struct Config {
  std::uint64_t Seed_ = 1;
  std::size_t Nodes_ = 5;
  Micros Length_ = 12'000'000;
  /// New requests start before this time.
  Micros LoadEnd_ = 9'000'000;
  std::size_t Requests_ = 40;
  bool KeyedOnly_ = false;
  /// Random faults at random times and at each step of a call.
  bool Faults_ = true;
  /// Faults between holders and store, extreme clocks and impatient callers.
  bool Takeovers_ = false;
  Micros Tick_ = 20'000;
  Micros Detection_ = 1'500'000; ///< Until a lost server is seen as dead.
  Micros CallerPatience_ = 1'500'000;
  Micros StoreDeadline_ = 3'000'000;
  KeyedLimits Keyed_;
  TargetCallLimits Target_;
  EntryCallLimits Entry_;
};

/// Limits scaled down so that a run of 12 s sees several leases and windows.
Config shortConfig(std::uint64_t Seed);

/// Changes of one bucket's holder while callers resend its keys.
Config takeoverConfig(std::uint64_t Seed);

struct Node {
  std::string Name_;
  std::size_t Index_ = 0;
  std::uint64_t Process_ = 0;
  bool Alive_ = true;
  bool Leaving_ = false;
  Micros FrozenUntil_ = 0;
  Micros LostSince_ = -1;     ///< Dead or frozen since; -1 when it runs.
  Micros SuspectedUntil_ = 0; ///< Others wrongly take it for dead.
  Micros CutOffUntil_ = 0;    ///< It cannot reach the store.
  Micros WallOffset_ = 0;
  Micros MonotonicOffset_ = 0;
  SnapshotPointer Snapshot_;
  EntryCalls Entry_;
  TargetCalls Target_;
  KeyHolder Holder_;
  std::unique_ptr<Store> Access_;
  BucketStore Store_;
  std::map<std::uint64_t, std::function<void(const Finish &)>> OnFinish_;
  /// Whom to answer about sendings of keys, by token.
  std::map<std::uint64_t, std::function<void(const Finish &)>> Replies_;
  std::vector<wire::ServerRecord> SeenRecords_;
  std::vector<std::string> SeenAlive_;
  std::map<std::string, std::uint64_t> SeenProcess_;
};

/// The connection that carries requests of one daemon to another, and the
/// answers to them.
struct Link {
  bool Silent_ = false;        ///< Nothing passes.
  bool AnswersSilent_ = false; ///< Requests still pass.
  std::uint64_t Epoch_ = 0;
};

struct FakeStore {
  std::map<std::string, KeyValue> Values_;
  std::map<std::int64_t, Micros> LeaseEnds_;
  std::int64_t Revision_ = 1;
  std::int64_t NextLease_ = 1;
  Micros DownUntil_ = 0;
  Micros SlowUntil_ = 0;
  std::uint64_t Calls_ = 0;
};

struct Request {
  std::string Key_;
  std::string Content_;
  bool Idempotent_ = false;
  bool Opaque_ = false; ///< The key has no creation time.
  Micros LastSent_ = 0;
  int Sendings_ = 0;
  bool Settled_ = false; ///< The caller has what it wanted.
};

struct World {
  explicit World(const Config &Settings);
  void run();

  Config Config_;
  Random Rng_;
  Micros Now_ = 0;
  std::vector<Node> Nodes_;
  std::vector<std::shared_ptr<const Snapshot>> Tickets_;
  FakeStore Store_;
  history::Recorder History_;
  /// What callers were told, by outcome, and refusals by second.
  std::map<std::string, std::uint64_t> Outcomes_;
  std::map<std::string, std::uint64_t> Totals_; ///< Counters of all processes.

  // Time and chance.
  void at(Micros When, std::function<void()> Act);
  /// Runs at a process of a node: dropped if it dies, late if it is frozen.
  void atNode(Node &Where, Micros Delay, std::function<void(Node &)> Act);
  /// A message arrives: whichever process runs then takes it.
  void arrive(std::size_t Index, Micros Delay, std::function<void(Node &)> Act);
  bool chance(double Probability);
  Micros between(Micros Low, Micros High);
  sycamore::Now clock(const Node &Of) const;

  // Nodes and faults.
  void start(Node &What);
  void kill(Node &What, Micros Down);
  void freeze(Node &What, Micros Length);
  void stopGracefully(Node &What);
  void stepFault(Node &What); ///< Perhaps kills or freezes it right now.
  void scheduleFaults();
  void takeoverFault(Node &Hit);
  void tick(Node &What);
  void gossip();

  // Calls.
  CallPolicy policy(Node &Of);
  void perform(Node &From, const CallActions &Actions);
  void send(Node &From, const SendAttempt &Attempt);
  void sendOver(std::size_t From, std::size_t To, bool IsAnswer,
                const std::function<void(Node &)> &Deliver);
  void receive(Node &To, std::size_t From, const wire::CallRequest &Call,
               const std::string &Body);
  void runOnTarget(Node &Beside, std::size_t From,
                   const wire::CallRequest &Call, const std::string &Body);
  void answer(Node &From, std::size_t To, wire::CallAnswer Answer,
              const std::string &Body);
  void query(Node &At, std::size_t From, const wire::CallQuery &Question);

  // Keyed calls.
  void hold(Node &At, sycamore::Now Read, const wire::CallRequest &Call,
            const std::string &Body,
            const std::function<void(const Finish &)> &Reply);
  void performHolder(Node &At, const HolderActions &Actions);
  void beginKeyed(Node &At, const RunKey &Run);
  void performBuckets(Node &From, const BucketActions &Actions);
  /// Whether the store answers, and after how long.
  struct StoreFate {
    bool Runs_ = true;
    bool Answers_ = true;
    Micros Before_ = 0;
    Micros After_ = 0;
  };
  StoreFate storeFate(const Node &From);
  void connectStore(Node &Of);

  // Callers.
  void scheduleLoad();
  void sendRequest(const std::shared_ptr<Request> &What);
  void takeCall(Node &At, const std::shared_ptr<Request> &What,
                const std::string &Call);
  void replyToCaller(Node &At, const std::shared_ptr<Request> &What,
                     const std::string &Call, const Finish &Answer);
  void maybeResend(const std::shared_ptr<Request> &What);

  struct Scheduled {
    Micros When_;
    std::uint64_t Order_;
    std::shared_ptr<std::function<void()>> Act_;
    bool operator>(const Scheduled &Other) const {
      return std::pair(When_, Order_) > std::pair(Other.When_, Other.Order_);
    }
  };
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> Queue_;
  std::uint64_t Order_ = 0;
  std::map<std::pair<std::size_t, std::size_t>, Link> Links_;
  std::map<std::string, bool> Answered_; ///< By call.
  std::uint64_t Sent_ = 0;
  std::uint64_t Runs_ = 0;
  std::uint64_t Tokens_ = 0;
  std::vector<Micros> CallerOffset_;
  std::vector<std::shared_ptr<Request>> Keyed_;
};

void addTotals(World &All, const Node &From);

/// The mutation named by SYCAMORE_CALL_MUTATION, or none.
void setMutationFromEnvironment();
bool setMutation(const std::string &Name);
std::vector<std::string> mutationNames();

} // namespace sycamore::world

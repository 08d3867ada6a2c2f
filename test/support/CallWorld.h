// Deterministic simulation of daemons, targets, callers and a store that use
// the real call modules. It runs in one thread and in simulated time, is driven
// by a seed, and records a history for history::check().
#pragma once

#include "History.h"
#include "sycamore/BucketStore.h"
#include "sycamore/EntryCalls.h"
#include "sycamore/KeyHolder.h"
#include "sycamore/TargetCalls.h"

#include <map>
#include <queue>

namespace sycamore::world {

/// Microseconds of simulated time, which no skewed clock affects.
using Micros = std::int64_t;

/// Status that callers take as the statement that a call did not run.
constexpr std::uint32_t RefusalStatus = 503;

struct Config {
  std::uint64_t Seed_ = 1;
  std::size_t Nodes_ = 5;
  Micros Length_ = 12'000'000;
  /// Requests are first sent before this time; resends may follow later.
  Micros LoadEnd_ = 9'000'000;
  std::size_t Requests_ = 40;
  bool KeyedOnly_ = false;
  /// Injects faults at random times and at the steps of calls. Also enables
  /// resends and the reuse of keys for other requests.
  bool Faults_ = true;
  /// Replaces the faults at random times by faults that can change the holder
  /// of a bucket, sets the daemons' clocks to the limits of the allowed skew,
  /// and sets all callers' clocks ahead.
  bool Takeovers_ = false;
  Micros TickInterval_ = 20'000;
  Micros DetectionTime_ = 1'500'000; ///< Until a lost server is reported dead.
  Micros CallerTimeout_ = 1'500'000; ///< Callers then disconnect.
  Micros StoreDeadline_ = 3'000'000;
  KeyedLimits Keyed_;
  TargetCallLimits Target_;
  EntryCallLimits Entry_;
};

/// Limits scaled down so that a run of 12 s covers several leases and resend
/// windows.
Config shortConfig(std::uint64_t Seed);

/// One bucket whose holder changes while callers, which time out early, resend
/// its keys.
Config takeoverConfig(std::uint64_t Seed);

/// A server: the daemon and the target beside it.
struct Node {
  std::string Name_;
  std::size_t Index_ = 0;
  /// Start time of the daemon's process by its wall clock, in microseconds
  /// since the epoch.
  std::uint64_t Process_ = 0;
  bool Alive_ = true;
  bool Leaving_ = false;
  Micros FrozenUntil_ = 0;
  Micros UnavailableSince_ = -1; ///< Killed or frozen since; -1 while it runs.
  Micros ReportedDeadUntil_ = 0; ///< Gossip wrongly reports it dead until then.
  Micros StoreUnreachableUntil_ = 0; ///< It cannot reach the store until then.
  Micros WallOffset_ = 0;
  Micros MonotonicOffset_ = 0;
  SnapshotPointer Snapshot_;
  EntryCalls Entry_;
  TargetCalls Target_;
  KeyHolder Holder_;
  std::unique_ptr<Store> StoreClient_;
  BucketStore Store_;
  /// Called at the end of a call; by EntryCall::Sequence_.
  std::map<std::uint64_t, std::function<void(const CallResult &)>>
      ResultCallbacks_;
  /// Return the answer to a keyed request; by KeyedRequest::Token_.
  std::map<std::uint64_t, std::function<void(const CallResult &)>>
      ReplyCallbacks_;
  // Membership as of the last gossip that this node received.
  std::vector<wire::ServerRecord> KnownRecords_;
  std::vector<std::string> KnownAlive_;
  std::map<std::string, std::uint64_t> KnownProcesses_;
};

/// The connection that carries the requests of one daemon to another, and the
/// answers to them.
struct Link {
  bool Silent_ = false;        ///< Drops all messages.
  bool AnswersSilent_ = false; ///< Drops answers; requests still pass.
  /// Rises when the connection breaks or is replaced.
  std::uint64_t Generation_ = 0;
};

/// Data and faults of the simulated store.
struct FakeStore {
  std::map<std::string, KeyValue> Values_;
  std::map<std::int64_t, Micros> LeaseEnds_;
  std::int64_t Revision_ = 1;
  std::int64_t NextLease_ = 1;
  Micros DownUntil_ = 0;
  Micros SlowUntil_ = 0;
  std::uint64_t Calls_ = 0;
};

/// A caller's request. One with an idempotency key may be sent several times.
struct Request {
  std::string Key_; ///< Idempotency key; empty for none.
  std::string Content_;
  bool Idempotent_ = false;
  bool Opaque_ = false; ///< The key has no creation time.
  Micros LastSentAt_ = 0;
  int SendCount_ = 0;
  bool Succeeded_ = false; ///< The caller received the target's answer.
};

struct CallSimulation {
  explicit CallSimulation(const Config &Settings);
  void run();

  Config Config_;
  Random Rng_;
  Micros Now_ = 0;
  std::vector<Node> Nodes_;
  std::vector<std::shared_ptr<const Snapshot>> Snapshots_;
  FakeStore Store_;
  history::Recorder History_;
  /// Number of calls by the outcome that their callers saw.
  std::map<std::string, std::uint64_t> Outcomes_;
  /// Counters of all processes, by module and counter.
  std::map<std::string, std::uint64_t> Totals_;

  // Scheduling and random choices.
  void at(Micros When, std::function<void()> Action);
  /// Runs Action in the node's current process after Delay. Drops it when the
  /// process ends first, and defers it while the process is frozen.
  void runOnNode(Node &Executor, Micros Delay,
                 std::function<void(Node &)> Action);
  /// Delivers a message after Delay to the process that runs then, if any.
  void deliver(std::size_t Index, Micros Delay,
               std::function<void(Node &)> Action);
  bool chance(double Probability);
  Micros randomBetween(Micros Low, Micros High);
  sycamore::Now clock(const Node &Owner) const;

  // Nodes and faults.
  void start(Node &Daemon);
  void kill(Node &Daemon, Micros DownTime);
  void freeze(Node &Daemon, Micros Length);
  void stopGracefully(Node &Daemon);
  /// Called at each step of a call; kills or freezes the node with a small
  /// probability.
  void injectStepFault(Node &Daemon);
  void scheduleFaults();
  void injectTakeoverFault(Node &Victim);
  void tick(Node &Daemon);
  void gossip();

  // Calls.
  CallPolicy makePolicy(Node &Owner);
  void performCallActions(Node &From, const CallActions &Actions);
  void sendAttempt(Node &From, const SendAttempt &Attempt);
  void sendOnLink(std::size_t From, std::size_t To, bool IsAnswer,
                  const std::function<void(Node &)> &Deliver);
  void receiveRequest(Node &To, std::size_t From, const wire::CallRequest &Call,
                      const std::string &Body);
  void runOnTarget(Node &Daemon, std::size_t From,
                   const wire::CallRequest &Call, const std::string &Body);
  void sendAnswer(Node &From, std::size_t To, wire::CallAnswer Answer,
                  const std::string &Body);
  void receiveQuery(Node &Local, std::size_t From,
                    const wire::CallQuery &QueryMessage);

  // Keyed calls.
  void admitKeyedRequest(Node &Local, sycamore::Now ReadAt,
                         const wire::CallRequest &Call, const std::string &Body,
                         const std::function<void(const CallResult &)> &Reply);
  void performHolderActions(Node &Local, const HolderActions &Actions);
  void beginKeyedCall(Node &Local, const RunKeyedRequest &Run);
  void performBucketActions(Node &From, const BucketActions &Actions);
  /// Whether and when the store executes and answers a request.
  struct StoreOutcome {
    bool Executes_ = true;
    bool Answers_ = true;
    Micros RequestDelay_ = 0; ///< From sending to execution.
    Micros AnswerDelay_ = 0;  ///< From execution to the answer's arrival.
  };
  StoreOutcome chooseStoreOutcome(const Node &From);
  void connectStore(Node &Owner);

  // Callers.
  void scheduleLoad();
  void sendRequest(const std::shared_ptr<Request> &CallerRequest);
  void receiveCall(Node &Local, const std::shared_ptr<Request> &CallerRequest,
                   const std::string &Call);
  void replyToCaller(Node &Local, const std::shared_ptr<Request> &CallerRequest,
                     const std::string &Call, const CallResult &Answer);
  void scheduleResend(const std::shared_ptr<Request> &CallerRequest);

  struct Scheduled {
    Micros When_;
    std::uint64_t Order_;
    std::shared_ptr<std::function<void()>> Action_;
    bool operator>(const Scheduled &Other) const {
      return std::pair(When_, Order_) > std::pair(Other.When_, Other.Order_);
    }
  };
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> Queue_;
  std::uint64_t Order_ = 0;
  std::map<std::pair<std::size_t, std::size_t>, Link> Links_;
  /// Calls that were answered or abandoned by their caller.
  std::map<std::string, bool> ClosedCalls_;
  std::uint64_t CallCount_ = 0;
  std::uint64_t RunCount_ = 0;
  std::uint64_t LastToken_ = 0;
  std::vector<Micros> CallerClockOffsets_;
  std::vector<std::shared_ptr<Request>> KeyedRequests_;
};

void addTotals(CallSimulation &Simulation, const Node &From);

/// Activates the mutation named by SYCAMORE_CALL_MUTATION, or none.
void setMutationFromEnvironment();
/// Activates a mutation; with an unknown name, activates none and returns
/// false.
bool setMutation(const std::string &Name);
std::vector<std::string> mutationNames();

} // namespace sycamore::world

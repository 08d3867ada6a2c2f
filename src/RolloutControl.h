// Roll-outs of new software versions: connects their decisions to the store,
// the peers and the entry daemon's requests.
#pragma once

#include "ControlPlane.h"
#include "RolloutRecord.h"
#include "sycamore/Placement.h"
#include "sycamore/RolloutPlan.h"

namespace sycamore {

struct RolloutCounters {
  std::uint64_t Orders_ = 0;
  std::uint64_t OrdersRejected_ = 0;
  std::uint64_t StatesReceived_ = 0;
  std::uint64_t ReportsSent_ = 0;
  std::uint64_t ReportsReceived_ = 0;
  std::uint64_t StepsSet_ = 0;
  std::uint64_t Takeovers_ = 0;
  std::uint64_t Completed_ = 0;
  std::uint64_t RolledBack_ = 0;
  std::uint64_t StoreFailures_ = 0;
};

class RolloutControl {
public:
  RolloutControl(const Settings &Config, ControlPlane &Control,
                 Store &StoreClient, const Integration *Adapter, Random &Rng,
                 std::uint64_t Process, OutboxSender Send);

  /// A value that the watch of the store reported.
  void onStoreValue(const KeyValue &Entry, Now Time);
  void onStoreRestored();
  /// Handles the messages of roll-outs, and tells a daemon that has just
  /// started the states.
  void receive(const wire::PeerMessage &Message, Now Time);
  void tick(Now Time);

  /// See filterVersions().
  void filter(const std::string &Service, const std::string &Route,
              std::vector<EligibleTarget> &Targets,
              std::span<const std::string> Excluded, TimePoint Time) {
    filterVersions(Table_, Service, Route, Targets, Excluded, Time);
  }
  void recordSent(std::uint64_t Ordinal, const std::string &Service,
                  const std::string &Route, const TargetKey &Target,
                  TimePoint Time);
  void recordEnd(std::uint64_t Ordinal, const std::string &Server,
                 AttemptOutcome Outcome, const wire::CallAnswer *Answer,
                 TimePoint Time);

  const RolloutTable &table() const { return Table_; }
  const RolloutCounters &counters() const { return Counters_; }
  std::size_t held() const { return Held_.size(); }

private:
  struct KnownOrder {
    RolloutOrder Order_;
    TimePoint LearnedAt_;
    bool Settled_ = false; ///< The store holds its verdict and its status.
  };

  /// A roll-out that this daemon decides.
  struct HeldRollout {
    RolloutHolder Holder_;
    std::uint64_t Generation_ = 0;
    std::int64_t StateRevision_ = 0; ///< Of the state in the store.
    std::int64_t OrderedUnixMs_ = 0;
    bool Begun_ = false; ///< The store's state has been read.
    bool MustRead_ = true;
    bool CallInFlight_ = false;
    bool Stored_ = false; ///< The store holds the step in force.
    bool Published_ = false;
    TimePoint NextCallAt_;
    TimePoint PublishedAt_;
    /// In force once the store holds it.
    std::optional<wire::RolloutState> Pending_;
  };

  bool applyState(const wire::RolloutState &State, const std::string &Source,
                  Now Time);
  void spread(const wire::RolloutState &State, const std::string &Except);
  void sendStates(const std::string &Server);
  void sendTo(const std::string &Server, wire::PeerMessage Message);
  void correctReporter(const wire::RolloutReport &Report,
                       const std::string &Server);
  void tickReports(Now Time);
  void tickFinishedStates(Now Time);
  /// Position of this daemon among those that may hold the service's roll-out.
  std::size_t holderRank(const std::string &Service,
                         const std::string &Without) const;
  void tickOrders(Now Time);
  bool mayTakeOver(const KnownOrder &Known, Now Time) const;
  void takeOver(const RolloutOrder &Order, Now Time);
  RolloutFleet fleetOf(const RolloutOrder &Order) const;

  void tickHeld(HeldRollout &Held, Now Time);
  void decide(HeldRollout &Held, Now Time);
  void renew(HeldRollout &Held, Now Time);
  void putInForce(HeldRollout &Held, wire::RolloutState State, Now Time);
  void advanceStore(HeldRollout &Held, Now Time);
  void readState(HeldRollout &Held, Now Time);
  void onStateRead(const std::string &Service, std::uint64_t Generation,
                   const Result<RangeResult> &Answer);
  void useStoredState(HeldRollout &Held,
                      const std::optional<RolloutRecord> &Stored, Now Time);
  void begin(HeldRollout &Held, const std::optional<RolloutRecord> &Stored,
             Now Time);
  void writeState(HeldRollout &Held, const wire::RolloutState &State,
                  bool Publish, Now Time);
  void onStateWritten(const std::string &Service, std::uint64_t Generation,
                      const wire::RolloutState &State, bool Publish,
                      const Result<TxnResult> &Answer);
  void onCallFailed(HeldRollout &Held, std::string_view Reason, Now Time);
  HeldRollout *findHeld(const std::string &Service, std::uint64_t Generation);
  void release(const std::string &Service, bool Settled);

  const Settings &Settings_;
  ControlPlane &Control_;
  Store &Store_;
  const Integration *Integration_;
  Random &Rng_;
  std::uint64_t Process_;
  OutboxSender Send_;
  RolloutTable Table_;
  std::map<std::string, KnownOrder> Orders_; ///< By service.
  std::map<std::string, HeldRollout> Held_;  ///< By service.
  std::uint64_t NextGeneration_ = 1;
  bool StoreRestored_ = false; ///< Revisions may start again from lower ones.
  TimePoint NextOrderScan_;
  TimePoint NextFinishedStates_;
  RolloutCounters Counters_;
};

} // namespace sycamore

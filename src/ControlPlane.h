// Connects the control-plane modules of one daemon to the store and to peers:
// membership, configuration replica, dissemination and bootstrap.
#pragma once

#include "LoopWork.h"
#include "StoredDepartures.h"
#include "WatchRetry.h"
#include "sycamore/Bootstrap.h"
#include "sycamore/ConfigFreshness.h"
#include "sycamore/Dissemination.h"
#include "sycamore/Integration.h"
#include "sycamore/Membership.h"
#include "sycamore/Settings.h"
#include "sycamore/Store.h"
#include "sycamore/WatchDelegation.h"

namespace sycamore {

struct ControlPlaneCounters {
  std::uint64_t HeadReads_ = 0;
  std::uint64_t SnapshotReads_ = 0;
  std::uint64_t SeedWrites_ = 0;
  std::uint64_t DeparturesStored_ = 0;
  std::uint64_t DepartureStoreFailures_ = 0;
  std::uint64_t WatchesStarted_ = 0;
  std::uint64_t WatchEvents_ = 0;
  std::uint64_t StoreFailures_ = 0;
  std::uint64_t StoreRestorations_ = 0;
  std::uint64_t DeparturesRestored_ = 0;
};

/// A departure of a target that the store does not hold yet.
struct UnstoredDeparture {
  StoredDeparture Departure_;
  TimePoint RecordedAt_;
  TimePoint NextWriteAt_;
  bool WriteInFlight_ = false;
  bool WriteFailed_ = false; ///< At least once.
};

struct StoredTicket {
  std::uint64_t Number_ = 0;
  std::string Digest_;
};

/// Sends the messages of an outbox.
using OutboxSender = std::function<void(Outbox &)>;

class ControlPlane {
public:
  /// PeerAddress is the address that other daemons dial, PublicKey the CURVE
  /// key of this daemon or empty.
  ControlPlane(const Settings &Config, const std::string &PeerAddress,
               const std::string &PublicKey, std::uint64_t Process,
               Store &StoreClient, const Integration *Adapter, Random &Rng,
               LoopWork &Work, OutboxSender Send, Now Time);

  /// Decides which servers of the store's seeds are trusted.
  using SeedFilter = std::function<bool(const wire::ServerRecord &)>;
  void setSeedFilter(SeedFilter Filter) { SeedFilter_ = std::move(Filter); }

  /// Receives changes of watched keys other than the configuration's.
  using KeyHandler = std::function<void(const KeyValue &)>;
  void setKeyHandler(KeyHandler Handler) { OnOtherKey_ = std::move(Handler); }

  /// Called every 20 ms.
  void tick(Now Time);

  /// The store lacks what it acknowledged last: its configuration, seeds and
  /// departures are read again, and those that it lost are written again.
  void onStoreRestored(const StoreRestoration &Restoration, Now Time);

  /// Handles a message from a peer; call messages count as signs of life.
  void receive(const wire::PeerMessage &Message, Now Time);

  /// Announce to the neighbours that this server is leaving, or that it has
  /// left.
  void startLeaving(Now Time);
  void finishLeaving(Now Time);

  /// Reports that a link with calls in flight to this server went silent.
  void onLinkSilent(std::string_view Server, Now Time) {
    sycamore::onLinkSilent(Members_, Server, Time);
  }

  /// Sends quarantine records to all neighbours at once, then by gossip.
  void gossipQuarantine(std::span<const wire::QuarantineRecord> Records);

  /// With an integration, ticket 0 is not enough: a daemon without any
  /// configuration cannot tell a route that does not exist from one that it
  /// has not received.
  bool mayServe() const {
    return hasFloor(Bootstrap_) &&
           (!Integration_ || Replica_.Current_->Number_ > 0);
  }
  /// Whether requests with a credential must be refused, because the ticket in
  /// force may have been replaced too long ago; see ConfigFreshness.
  bool isConfigurationStale(TimePoint Time) const {
    return isStale(Freshness_, Time);
  }
  const SnapshotPointer &snapshot() const { return Replica_.Current_; }
  /// When the ticket in force was applied here.
  WallTime appliedAt() const { return AppliedAt_; }
  Membership &members() { return Members_; }
  const Membership &members() const { return Members_; }
  const ConfigReplica &replica() const { return Replica_; }
  const Dissemination &dissemination() const { return Dissemination_; }
  const Bootstrap &bootstrap() const { return Bootstrap_; }
  const ConfigFreshness &freshness() const { return Freshness_; }
  const WatchDelegation &watchDelegation() const { return Delegation_; }
  const ControlPlaneCounters &counters() const { return Counters_; }

  /// Records that a target process beside this server has announced that it
  /// leaves, for this and later processes of this daemon: notifies the peers
  /// and writes to the store.
  void recordDeparture(std::string_view Target, std::int64_t StartedUnixMs,
                       Now Time);

  /// Calls Done, possibly at once, when the store holds every departure that
  /// was recorded, or has failed to answer in time and the peers have been sent
  /// it.
  void whenDeparturesSaved(std::function<void()> Done, Now Time);

  /// Whether the departures that earlier processes of this daemon recorded are
  /// known, as far as the store and the peers can tell.
  bool departuresKnown(Now Time) const;

  /// Records of all servers, for choosing the holders of buckets.
  std::vector<wire::ServerRecord> serverRecords() const;

private:
  void readStore(bool ForFloor, Now Time);
  void onStoreAnswer(bool ForFloor, TimePoint StartedAt,
                     const Result<TxnResult> &Answer);
  void updateStoreReachability(const Result<TxnResult> &Answer, bool Usable);
  void applyHead(const std::string &Value, const Snapshot *Base);
  void applyDocument(const std::string &Value);
  std::string configurationKey() const;
  void onOtherKey(const KeyValue &Entry) const {
    if (OnOtherKey_)
      OnOtherKey_(Entry);
  }
  /// Applies a read of the configuration key. Returns the number of the stored
  /// ticket and sets Digest to its digest; unset when the value is invalid.
  std::optional<std::uint64_t> applyConfigurationRead(const RangeResult &Read,
                                                      std::string &Digest);
  void readBaseSnapshot(std::uint64_t Number, const std::string &HeadValue);
  void applySeeds(const RangeResult &Seeds, Now Time);
  /// Starts or ends the watch, and asks for or serves delegations.
  void tickWatch(Now Time, Outbox &Out);
  void startWatch(Now Time);
  void endFailedWatch(Now Time, Outbox &Out);
  void receiveWatchMessage(const wire::PeerMessage &Message, Now Time,
                           Outbox &Out);
  WatchState watchState() const;
  TicketInForce ticketInForce() const;
  /// Records which ticket the store holds, after its value was offered to the
  /// replica. Returns false if the store has shown a later revision before.
  bool recordStoredTicket(const std::string &Value, std::int64_t Revision);
  std::optional<StoredTicket> storedTicketOf(const std::string &Value) const;
  /// A request to the store sent at SentAt has shown no ticket but the one
  /// recorded last.
  void confirmFromStore(TimePoint SentAt);
  void tickFreshness(Now Time, Outbox &Out);
  /// Servers to which tickets from the store are announced.
  std::vector<std::string> announcementTargets() const;
  /// Reads a restored store until a read that began after the restoration
  /// succeeds.
  void tickRestoration(Now Time);
  /// Writes the departures that a restored store lacks: those of this server,
  /// and as a reader those of its data centre.
  void restoreDepartures(const RangeResult &Seeds, Now Time);
  void writeRestoredDepartures(const Txn &Request);
  /// Applies the departures among the seeds; a reader removes the old ones.
  void applyStoredDeparture(const KeyValue &Entry, Txn &Removal, Now Time);
  void removeStoredDepartures(const Txn &Removal);
  void tickDepartures(Now Time);
  void writeDeparture(UnstoredDeparture &Unstored);
  void acknowledgeSaved(TimePoint Time);
  void onDepartureWritten(const std::string &Target, std::int64_t StartedUnixMs,
                          const Result<TxnResult> &Answer);
  void writeSeeds(std::span<const wire::ServerRecord> Seeds);
  void onOfferResult(const OfferResult &Offer, Now Time);
  void send(Outbox &Out);

  Settings Settings_;
  Store &Store_;
  const Integration *Integration_; ///< Null for the built-in formats.
  Random &Rng_;
  LoopWork &Work_;
  OutboxSender Send_;
  SeedFilter SeedFilter_;
  KeyHandler OnOtherKey_;
  Membership Members_;
  ConfigReplica Replica_;
  Dissemination Dissemination_;
  Bootstrap Bootstrap_;
  WatchDelegation Delegation_;
  ConfigFreshness Freshness_;
  /// Ticket in the store as it was shown last; unset when it is not known or
  /// was refused.
  std::optional<StoredTicket> Stored_;
  std::int64_t StoredRevision_ = 0;
  std::optional<TimePoint> WatchConfirmedAt_;
  TimePoint NextConfirmingRead_;
  ControlPlaneCounters Counters_;
  std::unique_ptr<WatchHandle> Watch_;
  std::optional<Error> WatchFailure_; ///< Until the next tick handles it.
  WatchRetry WatchRetry_;
  /// Read the store once it answers the current watch.
  bool ReadAfterGap_ = false;
  std::int64_t SeedsRevision_ = 0;
  std::optional<TimePoint> RestoredAt_; ///< Until the store was read since.
  TimePoint NextRestoredRead_;
  std::map<std::string, UnstoredDeparture> UnstoredDepartures_; ///< By target.
  std::vector<std::function<void()>> DepartureWaiters_;
  WallTime AppliedAt_;
  bool StoreReachable_ = true;
  bool IsReader_ = false;
  TimePoint StoreStateChangedAt_;
  bool HeadReadInFlight_ = false;
};

} // namespace sycamore

#include "sycamore/KeyBuckets.h"

#include "CallMutation.h"
#include "KeyTable.h"
#include "sycamore/Json.h"

#include <algorithm>
#include <xxhash.h>

namespace sycamore {
namespace {

using namespace keytable;

std::uint64_t rendezvousWeight(std::uint32_t BucketIndex,
                               std::string_view Server) {
  return XXH3_64bits_withSeed(Server.data(), Server.size(), BucketIndex + 1);
}

Duration retryDelay(const BucketTable &Table, Random &Rng) {
  Duration Base = Table.Limits_.RetryDelay_;
  auto Jitter = static_cast<std::size_t>(Base.count()) + 1;
  std::uint32_t Multiplier = std::clamp(Table.StoreFailures_, 1U, 4U);
  return Base * Multiplier + Duration(randomIndex(Rng, Jitter));
}

void freeBucket(BucketTable &Table, std::uint32_t BucketIndex) {
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  if (Bucket.State_ == BucketState::Held ||
      Bucket.State_ == BucketState::HandingOver)
    Table.Events_.emplace_back(BucketLost{BucketIndex, Bucket.Fence_});
  Bucket.State_ = BucketState::Free;
  Bucket.NextAttempt_ = TimePoint{};
}

/// Time at which a lease ends by this daemon's clock.
TimePoint leaseEnd(const BucketTable &Table, const LeaseGrant &Lease, Now At) {
  TimePoint From = mutationEnabled(CallMutation::LeaseFromAnswer)
                       ? At.Monotonic_
                       : Lease.SentAt_;
  return From + Lease.Ttl_ - Table.Limits_.LeaseSafetyMargin_;
}

void storeGrantedLease(BucketTable &Table,
                       const std::optional<LeaseGrant> &Granted, Now At) {
  if (!Granted || Table.LeaseId_ != 0)
    return;
  Table.LeaseId_ = Granted->Id_;
  Table.LeaseValidUntil_ = leaseEnd(Table, *Granted, At);
  Table.LeaseValid_ = true;
  Table.NextKeepAlive_ = Granted->SentAt_ + Table.Limits_.KeepAliveInterval_;
  Table.KeepAliveInFlight_ = false;
}

/// Ends the back-off of store calls. Rank delays begin anew, so that buckets
/// without a holder go to the servers that rank first for them, not to the
/// first server that reaches the store again.
void onStoreReachable(BucketTable &Table, Now At) {
  if (Table.StoreFailures_ == 0)
    return;
  Table.StoreFailures_ = 0;
  Table.NextAcquire_ = TimePoint{};
  for (KeyBucket &Bucket : Table.Buckets_)
    if (Bucket.UnheldSince_)
      Bucket.UnheldSince_ = At.Monotonic_;
}

/// Sets the bounds for keys that an earlier holder may have accepted. It
/// accepted none created later than its own clock plus the skew allowed for
/// callers' clocks, its clock was at most the skew ahead of this one, and its
/// lease has ended by now.
void setUnknownBounds(const BucketTable &Table, KeyBucket &Bucket, Now At) {
  const KeyedLimits &Limits = Table.Limits_;
  Duration Allowance = mutationEnabled(CallMutation::BorderWithoutAllowance)
                           ? Limits.ClockSkew_
                           : 2 * Limits.ClockSkew_;
  Bucket.UnknownBefore_ = At.Wall_ + Allowance;
  Bucket.OpaqueUnknownUntil_ = At.Monotonic_ + Limits.ResendWindow_;
}

/// Marks a bucket as held. The predecessor's bounds for unknown keys apply if
/// the acquisition replaced exactly the fence that was handed over.
void markHeld(BucketTable &Table, std::uint32_t BucketIndex,
              std::uint64_t Fence, bool FenceCompared, Now At) {
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  bool HandoverApplies = FenceCompared && Bucket.Pending_ &&
                         Bucket.ExpectedFence_ != 0 &&
                         Bucket.ExpectedFence_ == Bucket.Pending_->Fence_;
  if (Bucket.Pending_ && mutationEnabled(CallMutation::HandoverWithoutFence))
    HandoverApplies = true;
  if (HandoverApplies) {
    Bucket.UnknownBefore_ = Bucket.Pending_->UnknownBefore_;
    Bucket.OpaqueUnknownUntil_ = Bucket.Pending_->OpaqueUnknownUntil_;
    ++Table.Counters_.HandoversTaken_;
  } else {
    setUnknownBounds(Table, Bucket, At);
  }
  Bucket.State_ = BucketState::Held;
  Bucket.Fence_ = Fence;
  Bucket.Successor_.clear();
  Bucket.Pending_.reset();
  ++Table.Counters_.Acquired_;
  Table.Events_.emplace_back(BucketTaken{BucketIndex, Fence, HandoverApplies});
}

/// Whether the acquisition in progress used the lease that is still the current
/// one.
bool usedCurrentLease(const BucketTable &Table, const KeyBucket &Bucket,
                      const std::optional<LeaseGrant> &Granted) {
  std::int64_t Used = Granted ? Granted->Id_ : Bucket.AcquireLeaseId_;
  return Used != 0 && Used == Table.LeaseId_;
}

void tickLease(BucketTable &Table, Now At, BucketActions &Out) {
  if (Table.LeaseId_ == 0)
    return;
  bool Valid = At.Monotonic_ < Table.LeaseValidUntil_;
  if (Table.LeaseValid_ && !Valid)
    Table.Events_.emplace_back(LeaseLapsed{Table.LeaseId_});
  Table.LeaseValid_ = Valid;
  bool Used = std::any_of(Table.Buckets_.begin(), Table.Buckets_.end(),
                          [](const KeyBucket &Bucket) {
                            return Bucket.State_ != BucketState::Free;
                          });
  if (!Used) {
    // Nothing is bound to the lease, so it may end.
    if (!Valid)
      Table.LeaseId_ = 0;
    return;
  }
  if (Table.KeepAliveInFlight_ || At.Monotonic_ < Table.NextKeepAlive_)
    return;
  Table.KeepAliveInFlight_ = true;
  ++Table.Counters_.KeepAlives_;
  Out.emplace_back(KeepLeaseAlive{Table.LeaseId_});
}

bool isAcquiring(const BucketTable &Table) {
  return std::any_of(Table.Buckets_.begin(), Table.Buckets_.end(),
                     [](const KeyBucket &Bucket) {
                       return Bucket.State_ == BucketState::Acquiring;
                     });
}

void acquire(BucketTable &Table, std::uint32_t BucketIndex,
             std::uint64_t ExpectedFence, BucketActions &Out) {
  // One grant at a time, because all buckets share one lease; and one call at
  // a time to a store that does not answer.
  bool Exclusive = Table.LeaseId_ == 0 || Table.StoreFailures_ > 0;
  if (Exclusive && isAcquiring(Table))
    return;
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  Bucket.State_ = BucketState::Acquiring;
  Bucket.ExpectedFence_ = ExpectedFence;
  Bucket.AcquireLeaseId_ = Table.LeaseId_;
  Out.emplace_back(AcquireBucket{BucketIndex, Table.LeaseId_,
                                 Table.Limits_.LeaseTtl_, ExpectedFence,
                                 bucketClaim(Table.Self_, Table.Process_)});
}

/// Time for which a bucket must have had no holder before a server of this rank
/// tries to acquire it.
Duration rankDelay(const BucketTable &Table, std::size_t Rank) {
  if (Rank == 0)
    return Duration{0};
  return Table.Limits_.AcquireDelayPerRank_ *
         (std::int64_t{1} << std::min<std::size_t>(Rank - 1, 20));
}

struct FleetView {
  std::span<const std::string> AliveServers_;
  std::span<const std::optional<BucketHolder>> Holders_;
  Now At_;
};

void tickFreeBucket(BucketTable &Table, std::uint32_t BucketIndex,
                    const FleetView &Fleet, BucketActions &Out) {
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  TimePoint Now = Fleet.At_.Monotonic_;
  if (Table.Leaving_ || Now < Bucket.NextAttempt_ || Now < Table.NextAcquire_ ||
      Now < Table.LostLeasesUntil_)
    return;
  if (Bucket.Pending_ &&
      Bucket.Pending_->ReceivedParts_.size() == Bucket.Pending_->PartCount_) {
    acquire(Table, BucketIndex, Bucket.Pending_->Fence_, Out);
    return;
  }
  const auto &Holder = Fleet.Holders_[BucketIndex];
  bool Claimed = Holder && Holder->Server_ != Table.Self_ && !Holder->Lapsed_;
  if (Claimed) {
    Bucket.UnheldSince_.reset();
    return;
  }
  if (!Bucket.UnheldSince_)
    Bucket.UnheldSince_ = Now;
  std::size_t Rank =
      rendezvousRank(BucketIndex, Table.Self_, Fleet.AliveServers_);
  if (Rank < Fleet.AliveServers_.size() &&
      Now - *Bucket.UnheldSince_ >= rankDelay(Table, Rank))
    acquire(Table, BucketIndex, 0, Out);
}

/// Frees the bucket when the claim of another server has a higher fence: that
/// server has acquired it meanwhile.
void tickHeldBucket(BucketTable &Table, std::uint32_t BucketIndex,
                    const FleetView &Fleet) {
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  Bucket.UnheldSince_.reset();
  const auto &Holder = Fleet.Holders_[BucketIndex];
  if (Holder && Holder->Server_ != Table.Self_ &&
      Holder->Fence_ > Bucket.Fence_)
    freeBucket(Table, BucketIndex);
}

void scheduleRetry(BucketTable &Table, KeyBucket &Bucket, Now At, Random &Rng) {
  Bucket.State_ = BucketState::Free;
  Bucket.NextAttempt_ = At.Monotonic_ + retryDelay(Table, Rng);
  ++Table.Counters_.AcquireFailures_;
}

} // namespace

BucketTable makeBucketTable(std::string Self, std::uint64_t Process,
                            const KeyedLimits &Limits) {
  BucketTable Out;
  Out.Self_ = std::move(Self);
  Out.Process_ = Process;
  Out.Limits_ = Limits;
  Out.Buckets_.resize(Limits.BucketCount_);
  return Out;
}

std::vector<BucketEvent> takeEvents(BucketTable &Table) {
  return std::exchange(Table.Events_, {});
}

std::uint32_t bucketOf(std::string_view Key, std::uint32_t BucketCount) {
  return static_cast<std::uint32_t>(XXH3_64bits(Key.data(), Key.size()) %
                                    BucketCount);
}

std::size_t rendezvousRank(std::uint32_t BucketIndex, std::string_view Server,
                           std::span<const std::string> Servers) {
  auto Weight = [&](std::string_view Name) {
    return std::pair(rendezvousWeight(BucketIndex, Name), Name);
  };
  if (std::find(Servers.begin(), Servers.end(), Server) == Servers.end())
    return Servers.size();
  return static_cast<std::size_t>(std::count_if(
      Servers.begin(), Servers.end(), [&](const std::string &Other) {
        return Weight(Other) > Weight(Server);
      }));
}

std::string_view rendezvousOwner(std::uint32_t BucketIndex,
                                 std::span<const std::string> Servers) {
  std::string_view Best;
  for (const std::string &Server : Servers)
    if (Best.empty() ||
        std::pair(rendezvousWeight(BucketIndex, Server),
                  std::string_view(Server)) >
            std::pair(rendezvousWeight(BucketIndex, Best), Best))
      Best = Server;
  return Best;
}

std::vector<std::optional<BucketHolder>>
holdersOf(std::uint32_t BucketCount,
          std::span<const wire::ServerRecord> Records) {
  std::vector<std::optional<BucketHolder>> Out(BucketCount);
  std::vector<bool> HolderLeft(BucketCount);
  for (const wire::ServerRecord &Record : Records)
    for (const wire::HeldBucket &Held : Record.buckets()) {
      bool InRange = Held.bucket() < BucketCount;
      if (!InRange ||
          (Out[Held.bucket()] && Out[Held.bucket()]->Fence_ >= Held.fence()))
        continue;
      Out[Held.bucket()] =
          BucketHolder{Record.name(), Held.fence(), Held.lapsed()};
      HolderLeft[Held.bucket()] = Record.state() == wire::SERVER_LEFT ||
                                  Record.state() == wire::SERVER_DEAD;
    }
  for (std::uint32_t BucketIndex = 0; BucketIndex < BucketCount; ++BucketIndex)
    if (HolderLeft[BucketIndex])
      Out[BucketIndex].reset();
  return Out;
}

std::optional<BucketHolder>
holderOf(std::uint32_t BucketIndex,
         std::span<const wire::ServerRecord> Records) {
  return holdersOf(BucketIndex + 1, Records).back();
}

std::vector<wire::HeldBucket> heldBuckets(const BucketTable &Table) {
  std::vector<wire::HeldBucket> Out;
  for (std::uint32_t BucketIndex = 0; BucketIndex < Table.Buckets_.size();
       ++BucketIndex) {
    const KeyBucket &Bucket = Table.Buckets_[BucketIndex];
    if (Bucket.State_ != BucketState::Held &&
        Bucket.State_ != BucketState::HandingOver)
      continue;
    wire::HeldBucket Held;
    Held.set_bucket(BucketIndex);
    Held.set_fence(Bucket.Fence_);
    Held.set_lapsed(!Table.LeaseValid_);
    Out.push_back(std::move(Held));
  }
  return Out;
}

bool holdsBucket(const BucketTable &Table, std::uint32_t BucketIndex,
                 TimePoint Now) {
  return BucketIndex < Table.Buckets_.size() &&
         Table.Buckets_[BucketIndex].State_ == BucketState::Held &&
         Table.LeaseId_ != 0 && Now < Table.LeaseValidUntil_;
}

BucketActions tickBuckets(BucketTable &Table,
                          std::span<const std::string> AliveServers,
                          std::span<const wire::ServerRecord> Records,
                          Now Reading, Random & /*Rng*/) {
  Now At = advanceLatestTime(Table, Reading);
  BucketActions Out;
  auto Holders = holdersOf(Table.Limits_.BucketCount_, Records);
  FleetView Fleet{AliveServers, Holders, At};
  tickLease(Table, At, Out);
  for (std::uint32_t BucketIndex = 0; BucketIndex < Table.Buckets_.size();
       ++BucketIndex) {
    expireRecords(Table, BucketIndex, At.Monotonic_);
    switch (Table.Buckets_[BucketIndex].State_) {
    case BucketState::Free:
      tickFreeBucket(Table, BucketIndex, Fleet, Out);
      break;
    case BucketState::Held:
    case BucketState::HandingOver:
      tickHeldBucket(Table, BucketIndex, Fleet);
      break;
    case BucketState::Acquiring:
      break;
    }
  }
  return Out;
}

void onAcquired(BucketTable &Table, std::uint32_t BucketIndex,
                std::uint64_t Fence, const std::optional<LeaseGrant> &Granted,
                Now At) {
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  storeGrantedLease(Table, Granted, At);
  onStoreReachable(Table, At);
  if (Bucket.State_ != BucketState::Acquiring)
    return;
  if (!usedCurrentLease(Table, Bucket, Granted)) {
    // The lease was lost while the answer was in transit.
    freeBucket(Table, BucketIndex);
    return;
  }
  markHeld(Table, BucketIndex, Fence, /*FenceCompared=*/true, At);
}

void onAcquireConflict(BucketTable &Table, std::uint32_t BucketIndex,
                       const KeyValue &Found,
                       const std::optional<LeaseGrant> &Granted, Now At,
                       Random &Rng) {
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  storeGrantedLease(Table, Granted, At);
  onStoreReachable(Table, At);
  if (Bucket.State_ != BucketState::Acquiring)
    return;
  bool OwnClaim = Found.Value_ == bucketClaim(Table.Self_, Table.Process_) &&
                  Found.Lease_ == Table.LeaseId_ && Table.LeaseId_ != 0;
  if (OwnClaim) {
    // It is unknown which earlier put took effect, so nothing proves that it
    // replaced the predecessor's claim directly.
    markHeld(Table, BucketIndex, static_cast<std::uint64_t>(Found.ModRevision_),
             /*FenceCompared=*/false, At);
    return;
  }
  Bucket.Pending_.reset();
  scheduleRetry(Table, Bucket, At, Rng);
}

void onAcquireFailed(BucketTable &Table, std::uint32_t BucketIndex,
                     const std::optional<LeaseGrant> &Granted, Now At,
                     Random &Rng) {
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  storeGrantedLease(Table, Granted, At);
  ++Table.StoreFailures_;
  if (Bucket.State_ == BucketState::Acquiring)
    scheduleRetry(Table, Bucket, At, Rng);
  Table.NextAcquire_ = Bucket.NextAttempt_;
}

void onKeptAlive(BucketTable &Table, const LeaseGrant &Renewed, Now At) {
  if (Renewed.Id_ != Table.LeaseId_)
    return;
  if (Renewed.Ttl_ <= seconds{0}) {
    onLeaseLost(Table, Renewed.Id_);
    return;
  }
  Table.KeepAliveInFlight_ = false;
  onStoreReachable(Table, At);
  Table.LeaseValidUntil_ =
      std::max(Table.LeaseValidUntil_, leaseEnd(Table, Renewed, At));
  Table.NextKeepAlive_ = Renewed.SentAt_ + Table.Limits_.KeepAliveInterval_;
  bool Valid = At.Monotonic_ < Table.LeaseValidUntil_;
  // The store never expired the lease, so nobody else has held the buckets.
  if (Valid && !Table.LeaseValid_)
    Table.Events_.emplace_back(LeaseResumed{Table.LeaseId_});
  Table.LeaseValid_ = Valid;
}

void onKeepAliveFailed(BucketTable &Table, std::int64_t LeaseId, Now At,
                       Random &Rng) {
  if (LeaseId != Table.LeaseId_)
    return;
  ++Table.Counters_.KeepAliveFailures_;
  ++Table.StoreFailures_;
  Table.KeepAliveInFlight_ = false;
  Table.NextKeepAlive_ = At.Monotonic_ + retryDelay(Table, Rng);
}

void onLeaseLost(BucketTable &Table, std::int64_t LeaseId) {
  if (LeaseId != Table.LeaseId_ || LeaseId == 0)
    return;
  ++Table.Counters_.LeasesLost_;
  Table.StoreFailures_ = 0;
  Table.NextAcquire_ = TimePoint{};
  Table.LeaseId_ = 0;
  Table.LeaseValid_ = false;
  Table.KeepAliveInFlight_ = false;
  for (std::uint32_t BucketIndex = 0; BucketIndex < Table.Buckets_.size();
       ++BucketIndex)
    if (Table.Buckets_[BucketIndex].State_ != BucketState::Acquiring)
      freeBucket(Table, BucketIndex);
}

void onStoreRestored(BucketTable &Table, Now At) {
  onLeaseLost(Table, Table.LeaseId_);
  ++Table.StoreRestorations_;
  Table.LostLeasesUntil_ = At.Monotonic_ + Table.Limits_.LeaseTtl_;
  // The fence of a handover may be given out again.
  for (KeyBucket &Bucket : Table.Buckets_)
    Bucket.Pending_.reset();
}

BucketActions releaseBuckets(BucketTable &Table) {
  BucketActions Out;
  Table.Leaving_ = true;
  for (std::uint32_t BucketIndex = 0; BucketIndex < Table.Buckets_.size();
       ++BucketIndex) {
    const KeyBucket &Bucket = Table.Buckets_[BucketIndex];
    if (Bucket.State_ != BucketState::Held &&
        Bucket.State_ != BucketState::HandingOver)
      continue;
    Out.emplace_back(ReleaseBucket{BucketIndex, Bucket.Fence_});
    freeBucket(Table, BucketIndex);
  }
  return Out;
}

std::string bucketClaim(std::string_view Holder, std::uint64_t Process) {
  return Json{{"holder", Holder}, {"process", Process}}.dump();
}

} // namespace sycamore

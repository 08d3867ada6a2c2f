#include "sycamore/KeyBuckets.h"

#include "CallMutation.h"
#include "KeyTable.h"
#include "sycamore/Json.h"

#include <algorithm>
#include <xxhash.h>

namespace sycamore {
namespace {

using namespace keytable;

std::uint64_t rendezvousWeight(std::uint32_t Bucket, std::string_view Server) {
  return XXH3_64bits_withSeed(Server.data(), Server.size(), Bucket + 1);
}

Duration retryPause(const BucketTable &Table, Random &Rng) {
  Duration Pause = Table.Limits_.RetryPause_;
  auto Jitter = static_cast<std::size_t>(Pause.count()) + 1;
  std::uint32_t Times = std::clamp(Table.StoreFailures_, 1U, 4U);
  return Pause * Times + Duration(randomIndex(Rng, Jitter));
}

void freeBucket(BucketTable &Table, std::uint32_t Bucket) {
  KeyBucket &In = Table.Buckets_[Bucket];
  if (In.State_ == BucketState::Held || In.State_ == BucketState::HandingOver)
    Table.Events_.emplace_back(BucketLost{Bucket, In.Fence_});
  In.State_ = BucketState::Free;
  In.NextTry_ = TimePoint{};
}

/// Time at which a lease ends by this daemon's clock.
TimePoint leaseEnd(const BucketTable &Table, const LeaseAnswer &Lease, Now At) {
  TimePoint From =
      mutated(CallMutation::LeaseFromAnswer) ? At.Monotonic_ : Lease.SentAt_;
  return From + Lease.Ttl_ - Table.Limits_.LeaseGuard_;
}

void adoptLease(BucketTable &Table, const std::optional<LeaseAnswer> &Granted,
                Now At) {
  if (!Granted || Table.LeaseId_ != 0)
    return;
  Table.LeaseId_ = Granted->Id_;
  Table.LeaseValidUntil_ = leaseEnd(Table, *Granted, At);
  Table.LeaseValid_ = true;
  Table.NextKeepAlive_ = Granted->SentAt_ + Table.Limits_.KeepAliveEvery_;
  Table.KeepAliveInFlight_ = false;
}

/// Ends the back-off of store calls. Rank delays begin anew, so that buckets
/// without a holder go to the servers that rank first for them, not to the
/// first server that reaches the store again.
void noteStoreAnswers(BucketTable &Table, Now At) {
  if (Table.StoreFailures_ == 0)
    return;
  Table.StoreFailures_ = 0;
  Table.NextAcquire_ = TimePoint{};
  for (KeyBucket &In : Table.Buckets_)
    if (In.UnheldSince_)
      In.UnheldSince_ = At.Monotonic_;
}

/// Sets the bounds for keys that an earlier holder may have accepted. It
/// accepted none created later than its own clock plus the skew allowed for
/// callers' clocks, its clock was at most the skew ahead of this one, and its
/// lease has ended by now.
void setBorder(const BucketTable &Table, KeyBucket &In, Now At) {
  const KeyedLimits &Limits = Table.Limits_;
  Duration Allowance = mutated(CallMutation::BorderWithoutAllowance)
                           ? Limits.ClockSkew_
                           : 2 * Limits.ClockSkew_;
  In.UnknownBefore_ = At.Wall_ + Allowance;
  In.OpaqueUnknownUntil_ = At.Monotonic_ + Limits.ResendWindow_;
}

/// Marks a bucket as held. The predecessor's bounds for unknown keys apply if
/// the acquisition replaced exactly the fence that was handed over.
void hold(BucketTable &Table, std::uint32_t Bucket, std::uint64_t Fence,
          bool FromPredecessor, Now At) {
  KeyBucket &In = Table.Buckets_[Bucket];
  bool Chained = FromPredecessor && In.Pending_ && In.ReplacesFence_ != 0 &&
                 In.ReplacesFence_ == In.Pending_->Fence_;
  if (In.Pending_ && mutated(CallMutation::HandoverWithoutFence))
    Chained = true;
  if (Chained) {
    In.UnknownBefore_ = In.Pending_->UnknownBefore_;
    In.OpaqueUnknownUntil_ = In.Pending_->OpaqueUnknownUntil_;
    ++Table.Counters_.HandoversTaken_;
  } else {
    setBorder(Table, In, At);
  }
  In.State_ = BucketState::Held;
  In.Fence_ = Fence;
  In.Successor_.clear();
  In.Pending_.reset();
  ++Table.Counters_.Acquired_;
  Table.Events_.emplace_back(BucketTaken{Bucket, Fence, Chained});
}

/// Whether the acquisition in progress used the lease that is still the current
/// one.
bool usedCurrentLease(const BucketTable &Table, const KeyBucket &In,
                      const std::optional<LeaseAnswer> &Granted) {
  std::int64_t Used = Granted ? Granted->Id_ : In.AcquireLease_;
  return Used != 0 && Used == Table.LeaseId_;
}

void tickLease(BucketTable &Table, Now At, BucketActions &Out) {
  if (Table.LeaseId_ == 0)
    return;
  bool Valid = At.Monotonic_ < Table.LeaseValidUntil_;
  if (Table.LeaseValid_ && !Valid)
    Table.Events_.emplace_back(LeaseLapsed{Table.LeaseId_});
  Table.LeaseValid_ = Valid;
  bool Used = std::any_of(
      Table.Buckets_.begin(), Table.Buckets_.end(),
      [](const KeyBucket &In) { return In.State_ != BucketState::Free; });
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
  return std::any_of(
      Table.Buckets_.begin(), Table.Buckets_.end(),
      [](const KeyBucket &In) { return In.State_ == BucketState::Acquiring; });
}

void acquire(BucketTable &Table, std::uint32_t Bucket, std::uint64_t Replaces,
             BucketActions &Out) {
  // One grant at a time, because all buckets share one lease; and one call at
  // a time to a store that does not answer.
  bool Alone = Table.LeaseId_ == 0 || Table.StoreFailures_ > 0;
  if (Alone && isAcquiring(Table))
    return;
  KeyBucket &In = Table.Buckets_[Bucket];
  In.State_ = BucketState::Acquiring;
  In.ReplacesFence_ = Replaces;
  In.AcquireLease_ = Table.LeaseId_;
  Out.emplace_back(AcquireBucket{Bucket, Table.LeaseId_,
                                 Table.Limits_.LeaseTtl_, Replaces,
                                 bucketClaim(Table.Self_, Table.Process_)});
}

/// Time for which a bucket must have had no holder before a server of this rank
/// tries to acquire it.
Duration rankDelay(const BucketTable &Table, std::size_t Rank) {
  if (Rank == 0)
    return Duration{0};
  return Table.Limits_.RankDelay_ *
         (std::int64_t{1} << std::min<std::size_t>(Rank - 1, 20));
}

struct View {
  std::span<const std::string> Alive_;
  std::span<const std::optional<BucketHolder>> Holders_;
  Now At_;
};

void tickFreeBucket(BucketTable &Table, std::uint32_t Bucket, const View &Seen,
                    BucketActions &Out) {
  KeyBucket &In = Table.Buckets_[Bucket];
  TimePoint Now = Seen.At_.Monotonic_;
  if (Table.Leaving_ || Now < In.NextTry_ || Now < Table.NextAcquire_)
    return;
  if (In.Pending_ && In.Pending_->SeenParts_.size() == In.Pending_->Parts_) {
    acquire(Table, Bucket, In.Pending_->Fence_, Out);
    return;
  }
  const auto &Holder = Seen.Holders_[Bucket];
  bool Claimed = Holder && Holder->Server_ != Table.Self_ && !Holder->Lapsed_;
  if (Claimed) {
    In.UnheldSince_.reset();
    return;
  }
  if (!In.UnheldSince_)
    In.UnheldSince_ = Now;
  std::size_t Rank = rendezvousRank(Bucket, Table.Self_, Seen.Alive_);
  if (Rank < Seen.Alive_.size() &&
      Now - *In.UnheldSince_ >= rankDelay(Table, Rank))
    acquire(Table, Bucket, 0, Out);
}

/// Frees the bucket when the claim of another server has a higher fence: that
/// server has acquired it meanwhile.
void tickHeldBucket(BucketTable &Table, std::uint32_t Bucket,
                    const View &Seen) {
  KeyBucket &In = Table.Buckets_[Bucket];
  In.UnheldSince_.reset();
  const auto &Holder = Seen.Holders_[Bucket];
  if (Holder && Holder->Server_ != Table.Self_ && Holder->Fence_ > In.Fence_)
    freeBucket(Table, Bucket);
}

void retryLater(BucketTable &Table, KeyBucket &In, Now At, Random &Rng) {
  In.State_ = BucketState::Free;
  In.NextTry_ = At.Monotonic_ + retryPause(Table, Rng);
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

std::size_t rendezvousRank(std::uint32_t Bucket, std::string_view Server,
                           std::span<const std::string> Servers) {
  auto Weight = [&](std::string_view Name) {
    return std::pair(rendezvousWeight(Bucket, Name), Name);
  };
  if (std::find(Servers.begin(), Servers.end(), Server) == Servers.end())
    return Servers.size();
  return static_cast<std::size_t>(std::count_if(
      Servers.begin(), Servers.end(), [&](const std::string &Other) {
        return Weight(Other) > Weight(Server);
      }));
}

std::string_view rendezvousOwner(std::uint32_t Bucket,
                                 std::span<const std::string> Servers) {
  std::string_view Best;
  for (const std::string &Server : Servers)
    if (Best.empty() ||
        std::pair(rendezvousWeight(Bucket, Server), std::string_view(Server)) >
            std::pair(rendezvousWeight(Bucket, Best), Best))
      Best = Server;
  return Best;
}

std::vector<std::optional<BucketHolder>>
holdersOf(std::uint32_t BucketCount,
          std::span<const wire::ServerRecord> Records) {
  std::vector<std::optional<BucketHolder>> Out(BucketCount);
  std::vector<bool> Gone(BucketCount);
  for (const wire::ServerRecord &Record : Records)
    for (const wire::HeldBucket &Held : Record.buckets()) {
      bool Known = Held.bucket() < BucketCount;
      if (!Known ||
          (Out[Held.bucket()] && Out[Held.bucket()]->Fence_ >= Held.fence()))
        continue;
      Out[Held.bucket()] =
          BucketHolder{Record.name(), Held.fence(), Held.lapsed()};
      Gone[Held.bucket()] = Record.state() == wire::SERVER_LEFT ||
                            Record.state() == wire::SERVER_DEAD;
    }
  for (std::uint32_t Bucket = 0; Bucket < BucketCount; ++Bucket)
    if (Gone[Bucket])
      Out[Bucket].reset();
  return Out;
}

std::optional<BucketHolder>
holderOf(std::uint32_t Bucket, std::span<const wire::ServerRecord> Records) {
  return holdersOf(Bucket + 1, Records).back();
}

std::vector<wire::HeldBucket> heldBuckets(const BucketTable &Table) {
  std::vector<wire::HeldBucket> Out;
  for (std::uint32_t Bucket = 0; Bucket < Table.Buckets_.size(); ++Bucket) {
    const KeyBucket &In = Table.Buckets_[Bucket];
    if (In.State_ != BucketState::Held && In.State_ != BucketState::HandingOver)
      continue;
    wire::HeldBucket Held;
    Held.set_bucket(Bucket);
    Held.set_fence(In.Fence_);
    Held.set_lapsed(!Table.LeaseValid_);
    Out.push_back(std::move(Held));
  }
  return Out;
}

bool holdsBucket(const BucketTable &Table, std::uint32_t Bucket,
                 TimePoint Now) {
  return Bucket < Table.Buckets_.size() &&
         Table.Buckets_[Bucket].State_ == BucketState::Held &&
         Table.LeaseId_ != 0 && Now < Table.LeaseValidUntil_;
}

BucketActions tickBuckets(BucketTable &Table,
                          std::span<const std::string> AliveServers,
                          std::span<const wire::ServerRecord> Records, Now Read,
                          Random & /*Rng*/) {
  Now At = latest(Table, Read);
  BucketActions Out;
  auto Holders = holdersOf(Table.Limits_.BucketCount_, Records);
  View Seen{AliveServers, Holders, At};
  tickLease(Table, At, Out);
  for (std::uint32_t Bucket = 0; Bucket < Table.Buckets_.size(); ++Bucket) {
    expireRecords(Table, Bucket, At.Monotonic_);
    switch (Table.Buckets_[Bucket].State_) {
    case BucketState::Free:
      tickFreeBucket(Table, Bucket, Seen, Out);
      break;
    case BucketState::Held:
    case BucketState::HandingOver:
      tickHeldBucket(Table, Bucket, Seen);
      break;
    case BucketState::Acquiring:
      break;
    }
  }
  return Out;
}

void onAcquired(BucketTable &Table, std::uint32_t Bucket, std::uint64_t Fence,
                const std::optional<LeaseAnswer> &Granted, Now At) {
  KeyBucket &In = Table.Buckets_[Bucket];
  adoptLease(Table, Granted, At);
  noteStoreAnswers(Table, At);
  if (In.State_ != BucketState::Acquiring)
    return;
  if (!usedCurrentLease(Table, In, Granted)) {
    // The lease was lost while the answer was in transit.
    freeBucket(Table, Bucket);
    return;
  }
  hold(Table, Bucket, Fence, /*FromPredecessor=*/true, At);
}

void onAcquireConflict(BucketTable &Table, std::uint32_t Bucket,
                       const KeyValue &Found,
                       const std::optional<LeaseAnswer> &Granted, Now At,
                       Random &Rng) {
  KeyBucket &In = Table.Buckets_[Bucket];
  adoptLease(Table, Granted, At);
  noteStoreAnswers(Table, At);
  if (In.State_ != BucketState::Acquiring)
    return;
  bool Ours = Found.Value_ == bucketClaim(Table.Self_, Table.Process_) &&
              Found.Lease_ == Table.LeaseId_ && Table.LeaseId_ != 0;
  if (Ours) {
    // It is unknown which earlier put took effect, so nothing proves that it
    // replaced the predecessor's claim directly.
    hold(Table, Bucket, static_cast<std::uint64_t>(Found.ModRevision_),
         /*FromPredecessor=*/false, At);
    return;
  }
  In.Pending_.reset();
  retryLater(Table, In, At, Rng);
}

void onAcquireFailed(BucketTable &Table, std::uint32_t Bucket,
                     const std::optional<LeaseAnswer> &Granted, Now At,
                     Random &Rng) {
  KeyBucket &In = Table.Buckets_[Bucket];
  adoptLease(Table, Granted, At);
  ++Table.StoreFailures_;
  if (In.State_ == BucketState::Acquiring)
    retryLater(Table, In, At, Rng);
  Table.NextAcquire_ = In.NextTry_;
}

void onKeptAlive(BucketTable &Table, const LeaseAnswer &Renewed, Now At) {
  if (Renewed.Id_ != Table.LeaseId_)
    return;
  if (Renewed.Ttl_ <= seconds{0}) {
    onLeaseLost(Table, Renewed.Id_);
    return;
  }
  Table.KeepAliveInFlight_ = false;
  noteStoreAnswers(Table, At);
  Table.LeaseValidUntil_ =
      std::max(Table.LeaseValidUntil_, leaseEnd(Table, Renewed, At));
  Table.NextKeepAlive_ = Renewed.SentAt_ + Table.Limits_.KeepAliveEvery_;
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
  Table.NextKeepAlive_ = At.Monotonic_ + retryPause(Table, Rng);
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
  for (std::uint32_t Bucket = 0; Bucket < Table.Buckets_.size(); ++Bucket)
    if (Table.Buckets_[Bucket].State_ != BucketState::Acquiring)
      freeBucket(Table, Bucket);
}

BucketActions releaseBuckets(BucketTable &Table) {
  BucketActions Out;
  Table.Leaving_ = true;
  for (std::uint32_t Bucket = 0; Bucket < Table.Buckets_.size(); ++Bucket) {
    const KeyBucket &In = Table.Buckets_[Bucket];
    if (In.State_ != BucketState::Held && In.State_ != BucketState::HandingOver)
      continue;
    Out.emplace_back(ReleaseBucket{Bucket, In.Fence_});
    freeBucket(Table, Bucket);
  }
  return Out;
}

std::string bucketClaim(std::string_view Holder, std::uint64_t Process) {
  return Json{{"holder", Holder}, {"process", Process}}.dump();
}

} // namespace sycamore

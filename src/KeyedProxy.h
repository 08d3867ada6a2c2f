// Requests with idempotency keys: forwards them to the holder of the key's
// bucket, and runs them when this daemon is that holder.
#pragma once

#include "EntryProxy.h"
#include "sycamore/KeyedCalls.h"

namespace sycamore {

struct KeyHolderCounters {
  std::uint64_t Forwarded_ = 0;
  std::uint64_t NoHolder_ = 0;
  std::uint64_t BadKeys_ = 0;
  std::uint64_t WaitsTimedOut_ = 0;
  std::uint64_t StoreCalls_ = 0;
};

class KeyHolder {
public:
  KeyHolder(const Settings &Config, ControlPlane &Control, EntryProxy &Entry,
            TargetProxy &Attempts, Store &Platform, Random &Rng,
            std::uint64_t Process, OutboxSender Send);

  /// A caller's request with a key at its entry daemon.
  void receive(AcceptedRequest Request, HttpExchangePointer Exchange, Now Time);

  /// A request that an entry daemon forwarded to this holder; the attempt is
  /// accepted already.
  void receiveForwarded(const wire::CallRequest &Request, std::string Body,
                        const ReplyRoute &Route, Now Time);

  void receiveHandover(const wire::BucketHandover &Handover, Now Time);

  void tick(Now Time);

  /// Hands the buckets over to other daemons.
  void startLeaving(Now Time);
  /// Releases what nobody has taken over.
  void finishLeaving(Now Time);

  std::size_t waiting() const { return Waiters_.size(); }
  const BucketTable &buckets() const { return Buckets_; }
  const KeyHolderCounters &counters() const { return Counters_; }

private:
  /// Receives the outcome of a keyed request, in the form of a call's answer.
  using Deliver = std::function<void(const wire::CallAnswer &, std::string)>;

  /// One sending of a key, at its holder.
  struct Sending {
    std::string Key_;
    std::uint64_t Hash_ = 0;
    EntryCall Call_;
    TraceContext Span_;
    TimePoint Deadline_;
    Deliver Deliver_;
  };

  void forward(AcceptedRequest Request, const HttpExchangePointer &Exchange,
               const std::string &Holder, Now Time);
  void decide(Sending Request, Now Time);
  void runKey(Sending Request, Now Time);
  void retryWaiters(Now Time);
  void carryOut(const BucketActions &Actions, Now Time);
  void acquire(const AcquireBucket &Action, Now Time);
  void putClaim(const AcquireBucket &Action, std::int64_t LeaseId,
                const std::optional<LeaseAnswer> &Granted);
  void keepAlive(const KeepLeaseAlive &Action, Now Time);
  void release(const ReleaseBucket &Action);
  void handOver(const SendHandover &Action);
  /// Records of all servers, at most a moment old.
  const std::vector<wire::ServerRecord> &serverRecords(Now Time);
  void publishClaims();
  void logEvent(const BucketEvent &Event) const;

  const Settings &Settings_;
  ControlPlane &Control_;
  EntryProxy &Entry_;
  TargetProxy &Attempts_;
  Store &Store_;
  Random &Rng_;
  OutboxSender Send_;
  BucketTable Buckets_;
  std::deque<Sending> Waiters_; ///< For the outcome of an earlier sending.
  std::vector<wire::ServerRecord> Records_;
  TimePoint NextRecords_;
  TimePoint NextBucketTick_;
  bool Settled_ = false; ///< A key that is waited for has an outcome.
  std::vector<wire::HeldBucket> Published_;
  KeyHolderCounters Counters_;
};

} // namespace sycamore

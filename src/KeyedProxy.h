// Requests with idempotency keys: forwards them to the holder of the key's
// bucket, and runs them when this daemon is that holder.
#pragma once

#include "EntryProxy.h"
#include "sycamore/BucketStore.h"
#include "sycamore/KeyHolder.h"

namespace sycamore {

struct KeyedProxyCounters {
  std::uint64_t Forwarded_ = 0;
  std::uint64_t NoHolder_ = 0;
  std::uint64_t InvalidKeys_ = 0;
  std::uint64_t WaitsTimedOut_ = 0;
};

class KeyedProxy {
public:
  KeyedProxy(const Settings &Config, ControlPlane &Control, EntryProxy &Entry,
             TargetProxy &Attempts, Store &Platform, Random &Rng,
             std::uint64_t Process, OutboxSender Send);

  /// Handles a caller's request with a key as its entry daemon.
  void receive(AcceptedRequest Request, const HttpExchangePointer &Exchange,
               Now Time);

  /// Handles a request that an entry daemon forwarded to this holder; its
  /// attempt has been accepted already.
  void receiveForwarded(const wire::CallRequest &Request, std::string Body,
                        const ReplyRoute &Route, Now Time);

  void receiveHandover(const wire::BucketHandover &Handover, Now Time);

  void tick(Now Time);

  /// The store may have lost this daemon's lease and its claims.
  void onStoreRestored(Now Time);

  /// Hands the buckets over to other daemons.
  void startLeaving(Now Time);
  /// Releases the buckets that no daemon has taken over.
  void finishLeaving();

  std::size_t waiting() const { return PendingRequests_.size(); }
  const BucketTable &buckets() const { return Holder_.Buckets_; }
  const KeyedProxyCounters &counters() const { return Counters_; }

private:
  using AnswerCallback =
      std::function<void(const wire::CallAnswer &, std::string)>;

  /// A request that this holder has not answered yet.
  struct PendingRequest {
    AnswerCallback OnAnswer_;
    TimePoint Deadline_;
    SnapshotPointer Snapshot_;
    TraceContext Span_;
  };

  void forward(AcceptedRequest Request, const HttpExchangePointer &Exchange,
               const std::string &Holder, Now Time);
  void submit(const wire::CallRequest &Request,
              std::shared_ptr<const std::string> Body, PendingRequest Pending,
              Now Time);
  void execute(HolderActions Actions, Now Time);
  void execute(BucketActions Actions);
  void run(const RunKeyedRequest &Action, Now Time);
  void deliver(std::uint64_t Token, const wire::CallAnswer &Answer,
               std::string Body);
  void expirePendingRequests(Now Time);
  /// Records of all servers, at most RecordsRefreshInterval old.
  const std::vector<wire::ServerRecord> &serverRecords(Now Time);
  void publishClaims();

  const Settings &Settings_;
  ControlPlane &Control_;
  EntryProxy &Entry_;
  TargetProxy &Attempts_;
  Random &Rng_;
  OutboxSender Send_;
  KeyHolder Holder_;
  BucketStore BucketStore_;
  std::map<std::uint64_t, PendingRequest> PendingRequests_; ///< By token.
  std::uint64_t NextToken_ = 1;
  std::vector<wire::HeldBucket> PublishedClaims_;
  std::vector<wire::ServerRecord> Records_;
  TimePoint NextRecordsRefresh_;
  TimePoint NextBucketTick_;
  KeyedProxyCounters Counters_;
};

} // namespace sycamore

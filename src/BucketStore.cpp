#include "sycamore/BucketStore.h"

#include "CallMutation.h"

namespace sycamore {
namespace {

void takeAnswer(BucketStore &With, const AcquireBucket &Action,
                const std::optional<LeaseAnswer> &Granted,
                const Result<TxnResult> &Answer, Now At) {
  if (!Answer) {
    onAcquireFailed(*With.Table_, Action.Bucket_, Granted, At, *With.Rng_);
    return;
  }
  if (Answer->Succeeded_) {
    onAcquired(*With.Table_, Action.Bucket_,
               static_cast<std::uint64_t>(Answer->Revision_), Granted, At);
    return;
  }
  KeyValue Found;
  if (!Answer->Reads_.empty() && !Answer->Reads_[0].Values_.empty())
    Found = Answer->Reads_[0].Values_[0];
  onAcquireConflict(*With.Table_, Action.Bucket_, Found, Granted, At,
                    *With.Rng_);
}

void put(BucketStore &With, const AcquireBucket &Action, std::int64_t Lease,
         const std::optional<LeaseAnswer> &Granted) {
  Txn Request;
  std::string Key = bucketKey(Action.Bucket_);
  Request.Compares_.push_back(
      {Key, static_cast<std::int64_t>(Action.ReplacesFence_)});
  Request.Puts_.push_back({Key, Action.Value_, Lease});
  RangeRequest Read;
  Read.Key_ = Key;
  Request.Reads_.push_back(Read);
  Now Sent = With.Clock_();
  With.Store_->txn(
      Request, With.Deadline_,
      [&With, Action, Granted, Sent](const Result<TxnResult> &Answer) {
        Now At =
            mutated(CallMutation::TakeoverFromRequest) ? Sent : With.Clock_();
        takeAnswer(With, Action, Granted, Answer, At);
      });
}

void acquire(BucketStore &With, const AcquireBucket &Action) {
  if (Action.LeaseId_ != 0) {
    put(With, Action, Action.LeaseId_, std::nullopt);
    return;
  }
  TimePoint Sent = With.Clock_().Monotonic_;
  With.Store_->grantLease(
      Action.LeaseTtl_, With.Deadline_,
      [&With, Action, Sent](Result<Lease> Granted) {
        if (Granted)
          put(With, Action, Granted->Id_,
              LeaseAnswer{Granted->Id_, Granted->Ttl_, Sent});
        else
          onAcquireFailed(*With.Table_, Action.Bucket_, std::nullopt,
                          With.Clock_(), *With.Rng_);
      });
}

void keepAlive(BucketStore &With, std::int64_t Id) {
  TimePoint Sent = With.Clock_().Monotonic_;
  With.Store_->keepLeaseAlive(
      Id, With.Deadline_, [&With, Id, Sent](Result<Lease> Renewed) {
        // An expired lease is returned with no time left; see onKeptAlive().
        if (Renewed)
          onKeptAlive(*With.Table_, {Id, Renewed->Ttl_, Sent}, With.Clock_());
        else
          onKeepAliveFailed(*With.Table_, Id, With.Clock_(), *With.Rng_);
      });
}

void release(BucketStore &With, const ReleaseBucket &Action) {
  Txn Request;
  std::string Key = bucketKey(Action.Bucket_);
  Request.Compares_.push_back({Key, static_cast<std::int64_t>(Action.Fence_)});
  Request.Deletes_.push_back(Key);
  // If the call fails, the claim expires with its lease.
  With.Store_->txn(Request, With.Deadline_, [](const Result<TxnResult> &) {});
}

} // namespace

bool carryOut(BucketStore &With, const BucketAction &Action) {
  if (const auto *Acquire = std::get_if<AcquireBucket>(&Action))
    acquire(With, *Acquire);
  else if (const auto *Keep = std::get_if<KeepLeaseAlive>(&Action))
    keepAlive(With, Keep->LeaseId_);
  else if (const auto *Release = std::get_if<ReleaseBucket>(&Action))
    release(With, *Release);
  else
    return false;
  return true;
}

} // namespace sycamore

#include "sycamore/BucketStore.h"

#include "CallMutation.h"

namespace sycamore {
namespace {

void handlePutResult(BucketStore &Context, const AcquireBucket &Action,
                     const std::optional<LeaseGrant> &Granted,
                     const Result<TxnResult> &Answer, Now At) {
  if (!Answer) {
    onAcquireFailed(*Context.Table_, Action.Bucket_, Granted, At,
                    *Context.Rng_);
    return;
  }
  if (Answer->Succeeded_) {
    onAcquired(*Context.Table_, Action.Bucket_,
               static_cast<std::uint64_t>(Answer->Revision_), Granted, At);
    return;
  }
  KeyValue Found;
  if (!Answer->Reads_.empty() && !Answer->Reads_[0].Values_.empty())
    Found = Answer->Reads_[0].Values_[0];
  onAcquireConflict(*Context.Table_, Action.Bucket_, Found, Granted, At,
                    *Context.Rng_);
}

void put(BucketStore &Context, const AcquireBucket &Action, std::int64_t Lease,
         const std::optional<LeaseGrant> &Granted) {
  Txn Request;
  std::string Key = bucketKey(Action.Bucket_);
  Request.Compares_.push_back(
      {Key, static_cast<std::int64_t>(Action.ExpectedFence_)});
  Request.Puts_.push_back({Key, Action.Value_, Lease});
  RangeRequest Read;
  Read.Key_ = Key;
  Request.Reads_.push_back(Read);
  Now Sent = Context.Clock_();
  Context.Store_->txn(Request, Context.Deadline_,
                      [&Context, Action, Granted, Sent,
                       Restorations = Context.Table_->StoreRestorations_](
                          const Result<TxnResult> &Answer) {
                        Now At =
                            mutationEnabled(CallMutation::TakeoverFromRequest)
                                ? Sent
                                : Context.Clock_();
                        if (Restorations == Context.Table_->StoreRestorations_)
                          handlePutResult(Context, Action, Granted, Answer, At);
                        else
                          onAcquireFailed(*Context.Table_, Action.Bucket_,
                                          std::nullopt, At, *Context.Rng_);
                      });
}

void acquire(BucketStore &Context, const AcquireBucket &Action) {
  if (Action.LeaseId_ != 0) {
    put(Context, Action, Action.LeaseId_, std::nullopt);
    return;
  }
  TimePoint Sent = Context.Clock_().Monotonic_;
  Context.Store_->grantLease(
      Action.LeaseTtl_, Context.Deadline_,
      [&Context, Action, Sent,
       Restorations =
           Context.Table_->StoreRestorations_](Result<Lease> Granted) {
        bool Restored = Restorations != Context.Table_->StoreRestorations_;
        if (Granted && !Restored)
          put(Context, Action, Granted->Id_,
              LeaseGrant{Granted->Id_, Granted->Ttl_, Sent});
        else
          onAcquireFailed(*Context.Table_, Action.Bucket_, std::nullopt,
                          Context.Clock_(), *Context.Rng_);
      });
}

void keepAlive(BucketStore &Context, std::int64_t Id) {
  TimePoint Sent = Context.Clock_().Monotonic_;
  Context.Store_->keepLeaseAlive(
      Id, Context.Deadline_, [&Context, Id, Sent](Result<Lease> Renewed) {
        // An expired lease is returned with no time left; see onKeptAlive().
        if (Renewed)
          onKeptAlive(*Context.Table_, {Id, Renewed->Ttl_, Sent},
                      Context.Clock_());
        else
          onKeepAliveFailed(*Context.Table_, Id, Context.Clock_(),
                            *Context.Rng_);
      });
}

void release(BucketStore &Context, const ReleaseBucket &Action) {
  Txn Request;
  std::string Key = bucketKey(Action.Bucket_);
  Request.Compares_.push_back({Key, static_cast<std::int64_t>(Action.Fence_)});
  Request.Deletes_.push_back(Key);
  // If the call fails, the claim expires with its lease.
  Context.Store_->txn(Request, Context.Deadline_,
                      [](const Result<TxnResult> &) {});
}

} // namespace

bool executeStoreAction(BucketStore &Context, const BucketAction &Action) {
  if (const auto *Acquire = std::get_if<AcquireBucket>(&Action))
    acquire(Context, *Acquire);
  else if (const auto *Keep = std::get_if<KeepLeaseAlive>(&Action))
    keepAlive(Context, Keep->LeaseId_);
  else if (const auto *Release = std::get_if<ReleaseBucket>(&Action))
    release(Context, *Release);
  else
    return false;
  return true;
}

} // namespace sycamore

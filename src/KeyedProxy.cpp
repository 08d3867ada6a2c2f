// Runs each idempotency key at most once, at the holder of its bucket.
#include "KeyHolder.h"

#include "sycamore/CallBody.h"
#include "sycamore/Clock.h"
#include "sycamore/Log.h"

namespace sycamore {
namespace {

/// After a caller's deadline the holder asks this much longer for the outcome,
/// so that its record can answer the next sending.
constexpr Duration OutcomeWait = seconds(30);

/// Copying the records of 690 servers at every tick would take about 1% of a
/// core; claims travel by gossip, which is slower than this.
constexpr Duration RecordsInterval = milliseconds(200);
constexpr Duration BucketTickInterval = milliseconds(200);

KeyedLimits limitsOf(const KeySettings &Config) {
  KeyedLimits Out;
  Out.BucketCount_ = static_cast<std::uint32_t>(Config.Buckets_);
  Out.ResendWindow_ = Config.ResendWindow_;
  Out.ClockSkew_ = Config.ClockSkew_;
  Out.LeaseTtl_ = Config.Lease_;
  constexpr int RenewalsPerLease = 3;
  Out.KeepAliveEvery_ = Duration(Config.Lease_) / RenewalsPerLease;
  return Out;
}

Finish toFinish(const wire::CallAnswer &Answer, std::string Body) {
  Finish Out;
  Out.Run_ = Answer.run();
  // A refusal of this sending must not be read as a refusal of the request.
  if (Answer.run() == wire::RUN_NOT_RUN && !Answer.no_sending_ran())
    Out.Run_ = wire::RUN_UNKNOWN;
  Out.Status_ = Answer.status();
  Out.RetryAfter_ = milliseconds(Answer.retry_after_ms());
  Out.Answer_ = Answer;
  Out.Body_ = std::move(Body);
  if (!Answer.error_kind().empty())
    Out.Error_ = Error{ErrorKind::Unavailable, Answer.error_message(),
                       "send the request again with the same key"};
  return Out;
}

wire::CallAnswer toAnswer(const Finish &Outcome) {
  wire::CallAnswer Out = Outcome.Answer_;
  Out.set_run(Outcome.Run_);
  Out.set_status(Outcome.Status_);
  Out.set_retry_after_ms(
      static_cast<std::uint32_t>(toMilliseconds(Outcome.RetryAfter_)));
  if (Outcome.Error_) {
    Out.set_error_kind(std::string(errorKindName(Outcome.Error_->Kind_)));
    Out.set_error_message(describe(*Outcome.Error_));
  }
  return Out;
}

wire::CallAnswer unavailable(const std::string &Message, Duration RetryAfter) {
  wire::CallAnswer Out =
      errorAnswer({}, wire::RUN_NOT_RUN, 503,
                  {ErrorKind::Unavailable, Message,
                   "send the request again with the same key after the time in "
                   "Retry-After"},
                  RetryAfter);
  return Out;
}

} // namespace

KeyHolder::KeyHolder(const Settings &Config, ControlPlane &Control,
                     EntryProxy &Entry, TargetProxy &Attempts, Store &Platform,
                     Random &Rng, std::uint64_t Process, OutboxSender Send)
    : Settings_(Config), Control_(Control), Entry_(Entry), Attempts_(Attempts),
      Store_(Platform), Rng_(Rng), Send_(std::move(Send)),
      Buckets_(
          makeBucketTable(Config.Server_, Process, limitsOf(Config.Keys_))) {}

void KeyHolder::receive(AcceptedRequest Request, HttpExchangePointer Exchange,
                        Now Time) {
  auto Key = parseKey(Request.Key_);
  if (!Key) {
    ++Counters_.BadKeys_;
    Finish Refusal;
    Refusal.Run_ = wire::RUN_NOT_RUN;
    Refusal.Status_ = 400;
    Refusal.Error_ = Key.error();
    Entry_.reply(Exchange, Request, Refusal);
    return;
  }
  Request.Key_ = *Key;
  std::uint32_t Bucket = bucketOf(*Key, Buckets_.Limits_.BucketCount_);
  auto Holder = holderOf(Bucket, serverRecords(Time));
  if (holdsBucket(Buckets_, Bucket, Time.Monotonic_)) {
    Sending Own;
    Own.Key_ = Request.Key_;
    Own.Hash_ = Request.Call_.Request_.fingerprint();
    Own.Call_ = std::move(Request.Call_);
    Request.Call_ = {};
    Own.Span_ = Request.Span_;
    Own.Deadline_ = Own.Call_.Deadline_;
    auto Shared = std::make_shared<AcceptedRequest>(std::move(Request));
    Own.Deliver_ = [this, Shared, Exchange](const wire::CallAnswer &Answer,
                                            std::string Body) {
      Entry_.reply(Exchange, *Shared, toFinish(Answer, std::move(Body)));
    };
    decide(std::move(Own), Time);
  } else if (Holder && Holder->Server_ != Settings_.Server_) {
    forward(std::move(Request), Exchange, Holder->Server_, Time);
  } else {
    ++Counters_.NoHolder_;
    Entry_.reply(Exchange, Request,
                 toFinish(unavailable("no daemon holds the bucket of this "
                                      "idempotency key now",
                                      seconds(1)),
                          {}));
  }
}

void KeyHolder::forward(AcceptedRequest Request,
                        const HttpExchangePointer &Exchange,
                        const std::string &Holder, Now Time) {
  ++Counters_.Forwarded_;
  EntryCall Call = std::move(Request.Call_);
  Request.Call_ = {};
  Call.Request_.set_idempotency_key(Request.Key_);
  Call.Request_.set_target(Holder);
  auto Shared = std::make_shared<AcceptedRequest>(std::move(Request));
  Entry_.begin(
      std::move(Call), Shared->Span_,
      [this, Shared, Exchange](Finish Outcome) {
        if (Outcome.Run_ == wire::RUN_NOT_RUN &&
            !Outcome.Answer_.no_sending_ran())
          Outcome.Run_ = wire::RUN_UNKNOWN;
        Entry_.reply(Exchange, *Shared, Outcome);
      },
      Time);
}

void KeyHolder::receiveForwarded(const wire::CallRequest &Request,
                                 std::string Body, const ReplyRoute &Route,
                                 Now Time) {
  Sending Forwarded;
  Forwarded.Key_ = Request.idempotency_key();
  Forwarded.Hash_ = Request.fingerprint();
  Forwarded.Deliver_ = [this, Id = Request.id(), Route](wire::CallAnswer Answer,
                                                        std::string Payload) {
    *Answer.mutable_id() = Id;
    Answer.set_body_size(Payload.size());
    Answer.set_body_hash(bodyHash(Payload));
    Attempts_.answer(Answer, std::move(Payload), Route, readClocks());
  };
  EntryCall &Call = Forwarded.Call_;
  Call.Snapshot_ = Control_.snapshot();
  Call.Route_ = Request.route();
  Call.Service_ = Request.service();
  Call.Deadline_ = Time.Monotonic_ + Duration(Request.remaining_us());
  Call.Depth_ = Request.depth();
  Call.Request_ = Request;
  Call.Request_.clear_idempotency_key();
  Call.Request_.clear_target();
  Call.Body_ = std::make_shared<const std::string>(std::move(Body));
  Forwarded.Deadline_ = Call.Deadline_;
  if (auto Parent = parseTraceparent(Request.traceparent()))
    Forwarded.Span_ = childOf(*Parent, Rng_);
  else
    Forwarded.Span_ = startTrace(Rng_, 0);
  decide(std::move(Forwarded), Time);
}

void KeyHolder::decide(Sending Request, Now Time) {
  KeyDecision Decision = admitKey(Buckets_, Request.Key_, Request.Hash_, Time);
  switch (Decision.Admission_) {
  case KeyAdmission::Run:
    runKey(std::move(Request), Time);
    break;
  case KeyAdmission::JoinRunning:
    Waiters_.push_back(std::move(Request));
    break;
  case KeyAdmission::Replay:
    Request.Deliver_(Decision.Answer_->Answer_, Decision.Answer_->Body_);
    break;
  default:
    Request.Deliver_(refusalAnswer(Decision), {});
    break;
  }
}

void KeyHolder::runKey(Sending Request, Now Time) {
  EntryCall Call = std::move(Request.Call_);
  Call.KeepWhenCallerGone_ = true;
  Call.GiveUpAt_ = Call.Deadline_ + OutcomeWait;
  auto Shared = std::make_shared<Sending>(std::move(Request));
  Entry_.begin(
      std::move(Call), Shared->Span_,
      [this, Shared](Finish Outcome) {
        Now Later = readClocks();
        wire::CallAnswer Answer = toAnswer(Outcome);
        // The key had no record, so no earlier sending has run either.
        Answer.set_no_sending_ran(Answer.run() == wire::RUN_NOT_RUN);
        carryOut(
            completeKey(Buckets_, Shared->Key_, Answer, Outcome.Body_, Later),
            Later);
        Settled_ = true;
        Shared->Deliver_(Answer, std::move(Outcome.Body_));
      },
      Time);
}

void KeyHolder::retryWaiters(Now Time) {
  for (BucketEvent &Event : takeEvents(Buckets_)) {
    if (std::holds_alternative<KeySettled>(Event))
      Settled_ = true;
    else
      logEvent(Event);
  }
  std::deque<Sending> Again;
  std::swap(Again, Waiters_);
  for (Sending &Request : Again) {
    if (Request.Deadline_ <= Time.Monotonic_) {
      ++Counters_.WaitsTimedOut_;
      Request.Deliver_(
          errorAnswer({}, wire::RUN_UNKNOWN, 504,
                      {ErrorKind::DeadlineExceeded,
                       "an earlier sending of this key still runs",
                       "send the request again with the same key"}),
          {});
    } else if (Settled_) {
      decide(std::move(Request), Time);
    } else {
      Waiters_.push_back(std::move(Request));
    }
  }
  Settled_ = false;
}

void KeyHolder::logEvent(const BucketEvent &Event) const {
  if (const auto *Taken = std::get_if<BucketTaken>(&Event))
    sycamore::logEvent(LogLevel::Info, "bucket-taken",
                       {{"bucket", Taken->Bucket_},
                        {"fence", Taken->Fence_},
                        {"with_records", Taken->WithRecords_}});
  else if (const auto *Lost = std::get_if<BucketLost>(&Event))
    sycamore::logEvent(LogLevel::Warning, "bucket-lost",
                       {{"bucket", Lost->Bucket_}});
  else if (const auto *Lapsed = std::get_if<LeaseLapsed>(&Event))
    sycamore::logEvent(LogLevel::Warning, "lease-lapsed",
                       {{"lease", Lapsed->LeaseId_}});
  else if (const auto *Resumed = std::get_if<LeaseResumed>(&Event))
    sycamore::logEvent(LogLevel::Info, "lease-resumed",
                       {{"lease", Resumed->LeaseId_}});
}

const std::vector<wire::ServerRecord> &KeyHolder::serverRecords(Now Time) {
  if (Time.Monotonic_ >= NextRecords_) {
    NextRecords_ = Time.Monotonic_ + RecordsInterval;
    Records_ = Control_.serverRecords();
  }
  return Records_;
}

void KeyHolder::tick(Now Time) {
  if (Control_.mayServe() && Time.Monotonic_ >= NextBucketTick_) {
    NextBucketTick_ = Time.Monotonic_ + BucketTickInterval;
    std::vector<std::string> Servers = aliveServers(Control_.members());
    carryOut(tickBuckets(Buckets_, Servers, serverRecords(Time), Time, Rng_),
             Time);
  }
  retryWaiters(Time);
  publishClaims();
}

void KeyHolder::publishClaims() {
  std::vector<wire::HeldBucket> Claims = heldBuckets(Buckets_);
  auto Same = [](const wire::HeldBucket &Left, const wire::HeldBucket &Right) {
    return Left.bucket() == Right.bucket() && Left.fence() == Right.fence();
  };
  if (std::equal(Claims.begin(), Claims.end(), Published_.begin(),
                 Published_.end(), Same))
    return;
  setOwnBuckets(Control_.members(), Claims);
  Published_ = std::move(Claims);
}

void KeyHolder::carryOut(const BucketActions &Actions, Now Time) {
  for (const BucketAction &Action : Actions) {
    if (const auto *Acquire = std::get_if<AcquireBucket>(&Action))
      acquire(*Acquire, Time);
    else if (const auto *Keep = std::get_if<KeepLeaseAlive>(&Action))
      keepAlive(*Keep, Time);
    else if (const auto *Release = std::get_if<ReleaseBucket>(&Action))
      release(*Release);
    else
      handOver(std::get<SendHandover>(Action));
  }
}

void KeyHolder::acquire(const AcquireBucket &Action, Now Time) {
  if (Action.LeaseId_ != 0) {
    putClaim(Action, Action.LeaseId_, std::nullopt);
    return;
  }
  ++Counters_.StoreCalls_;
  TimePoint SentAt = Time.Monotonic_;
  Store_.grantLease(Action.LeaseTtl_, Settings_.Store_.Timeout_,
                    [this, Action, SentAt](const Result<Lease> &Granted) {
                      if (!Granted) {
                        onAcquireFailed(Buckets_, Action.Bucket_, std::nullopt,
                                        readClocks(), Rng_);
                        return;
                      }
                      putClaim(
                          Action, Granted->Id_,
                          LeaseAnswer{Granted->Id_, Granted->Ttl_, SentAt});
                    });
}

void KeyHolder::putClaim(const AcquireBucket &Action, std::int64_t LeaseId,
                         const std::optional<LeaseAnswer> &Granted) {
  ++Counters_.StoreCalls_;
  std::string Key = bucketKey(Action.Bucket_);
  RangeRequest Found;
  Found.Key_ = Key;
  Txn Request;
  Request.Compares_ = {
      Compare{Key, static_cast<std::int64_t>(Action.ReplacesFence_)}};
  Request.Puts_ = {Put{Key, Action.Value_, LeaseId}};
  Request.Reads_ = {Found};
  Store_.txn(Request, Settings_.Store_.Timeout_,
             [this, Bucket = Action.Bucket_,
              Granted](const Result<TxnResult> &Answer) {
               Now Time = readClocks();
               bool Read = Answer && !Answer->Reads_.empty() &&
                           !Answer->Reads_[0].Values_.empty();
               if (Answer && Answer->Succeeded_)
                 onAcquired(Buckets_, Bucket,
                            static_cast<std::uint64_t>(Answer->Revision_),
                            Granted, Time);
               else if (Read)
                 onAcquireConflict(Buckets_, Bucket,
                                   Answer->Reads_[0].Values_[0], Granted, Time,
                                   Rng_);
               else
                 onAcquireFailed(Buckets_, Bucket, Granted, Time, Rng_);
             });
}

void KeyHolder::keepAlive(const KeepLeaseAlive &Action, Now Time) {
  ++Counters_.StoreCalls_;
  TimePoint SentAt = Time.Monotonic_;
  Store_.keepLeaseAlive(
      Action.LeaseId_, Settings_.Store_.Timeout_,
      [this, Id = Action.LeaseId_, SentAt](const Result<Lease> &Renewed) {
        if (!Renewed)
          onKeepAliveFailed(Buckets_, Id, readClocks(), Rng_);
        else if (Renewed->Ttl_.count() == 0)
          onLeaseLost(Buckets_, Id);
        else
          onKeptAlive(Buckets_, {Id, Renewed->Ttl_, SentAt}, readClocks());
      });
}

void KeyHolder::release(const ReleaseBucket &Action) {
  ++Counters_.StoreCalls_;
  std::string Key = bucketKey(Action.Bucket_);
  Txn Request;
  Request.Compares_ = {Compare{Key, static_cast<std::int64_t>(Action.Fence_)}};
  Request.Deletes_ = {Key};
  Store_.txn(Request, Settings_.Store_.Timeout_,
             [](const Result<TxnResult> & /*Answer*/) {});
}

void KeyHolder::handOver(const SendHandover &Action) {
  Outbox Out(1);
  Out[0].To_ = Action.Server_;
  *Out[0].Message_.mutable_bucket_handover() = Action.Handover_;
  Send_(Out);
}

void KeyHolder::receiveHandover(const wire::BucketHandover &Handover,
                                Now Time) {
  onHandover(Buckets_, Handover, Time);
}

void KeyHolder::startLeaving(Now Time) {
  carryOut(beginHandover(Buckets_, aliveServers(Control_.members()), Time),
           Time);
  publishClaims();
}

void KeyHolder::finishLeaving(Now Time) {
  carryOut(releaseBuckets(Buckets_), Time);
}

} // namespace sycamore

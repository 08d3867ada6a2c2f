// Connects the holder of idempotency keys to callers, daemons and the store.
#include "KeyedProxy.h"

#include "sycamore/CallBody.h"
#include "sycamore/Clock.h"
#include "sycamore/Log.h"

namespace sycamore {
namespace {

/// Time after a caller's deadline for which the holder continues to query the
/// outcome, so that its record can answer the next request with the key.
constexpr Duration OutcomeWait = seconds(30);

/// Copying the records of 690 servers at every tick would take about 1% of a
/// core; claims spread by gossip, which is slower than this interval.
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

/// A refusal as not run covers only the refused request, not earlier ones with
/// the same key, so the caller is told that the outcome is unknown.
wire::RunOutcome runOfRequest(wire::RunOutcome Run, bool NoSendingRan) {
  return Run == wire::RUN_NOT_RUN && !NoSendingRan ? wire::RUN_UNKNOWN : Run;
}

Finish toFinish(const wire::CallAnswer &Answer, std::string Body) {
  Finish Out;
  Out.Run_ = runOfRequest(Answer.run(), Answer.no_sending_ran());
  Out.Status_ = Answer.status();
  Out.RetryAfter_ = milliseconds(Answer.retry_after_ms());
  Out.Answer_ = Answer;
  Out.Body_ = std::move(Body);
  if (!Answer.error_kind().empty())
    Out.Error_ = Error{ErrorKind::Unavailable, Answer.error_message(),
                       "send the request again with the same key"};
  return Out;
}

Finish noHolder() {
  Finish Out;
  Out.Run_ = wire::RUN_UNKNOWN;
  Out.Status_ = 503;
  Out.RetryAfter_ = seconds(1);
  Out.Error_ = Error{
      ErrorKind::Unavailable,
      "this sending did not run: no daemon holds the bucket of its idempotency "
      "key now",
      "send the request again with the same key after the time in Retry-After"};
  return Out;
}

void logBucketEvent(const BucketEvent &Event) {
  if (const auto *Taken = std::get_if<BucketTaken>(&Event))
    logEvent(LogEvent::BucketTaken, {{"bucket", Taken->Bucket_},
                                     {"fence", Taken->Fence_},
                                     {"with_records", Taken->WithRecords_}});
  else if (const auto *Lost = std::get_if<BucketLost>(&Event))
    logEvent(LogEvent::BucketLost, {{"bucket", Lost->Bucket_}});
  else if (const auto *Lapsed = std::get_if<LeaseLapsed>(&Event))
    logEvent(LogEvent::LeaseLapsed, {{"lease", Lapsed->LeaseId_}});
  else if (const auto *Resumed = std::get_if<LeaseResumed>(&Event))
    logEvent(LogEvent::LeaseResumed, {{"lease", Resumed->LeaseId_}});
}

} // namespace

KeyedProxy::KeyedProxy(const Settings &Config, ControlPlane &Control,
                       EntryProxy &Entry, TargetProxy &Attempts,
                       Store &Platform, Random &Rng, std::uint64_t Process,
                       OutboxSender Send)
    : Settings_(Config), Control_(Control), Entry_(Entry), Attempts_(Attempts),
      Rng_(Rng), Send_(std::move(Send)) {
  Holder_.Buckets_ =
      makeBucketTable(Config.Server_, Process, limitsOf(Config.Keys_));
  BucketStore_ = BucketStore{&Platform, &Holder_.Buckets_, &Rng, readClocks,
                             Config.Store_.Timeout_};
}

void KeyedProxy::receive(AcceptedRequest Request,
                         const HttpExchangePointer &Exchange, Now Time) {
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
  Request.Call_.Request_.set_idempotency_key(*Key);
  std::uint32_t Bucket = bucketOf(*Key, buckets().Limits_.BucketCount_);
  auto Holder = holderOf(Bucket, serverRecords(Time));
  if (holdsBucket(buckets(), Bucket, Time.Monotonic_)) {
    EntryCall Call = std::move(Request.Call_);
    Request.Call_ = {};
    auto Shared = std::make_shared<AcceptedRequest>(std::move(Request));
    OpenSending Own;
    Own.Deadline_ = Call.Deadline_;
    Own.Snapshot_ = Call.Snapshot_;
    Own.Span_ = Shared->Span_;
    Own.Deliver_ = [this, Shared, Exchange](const wire::CallAnswer &Answer,
                                            std::string Body) {
      Entry_.reply(Exchange, *Shared, toFinish(Answer, std::move(Body)));
    };
    take(Call.Request_, Call.Body_, std::move(Own), Time);
  } else if (Holder && Holder->Server_ != Settings_.Server_) {
    forward(std::move(Request), Exchange, Holder->Server_, Time);
  } else {
    ++Counters_.NoHolder_;
    Entry_.reply(Exchange, Request, noHolder());
  }
}

void KeyedProxy::forward(AcceptedRequest Request,
                         const HttpExchangePointer &Exchange,
                         const std::string &Holder, Now Time) {
  ++Counters_.Forwarded_;
  EntryCall Call = std::move(Request.Call_);
  Request.Call_ = {};
  Call.Request_.set_target(Holder);
  auto Shared = std::make_shared<AcceptedRequest>(std::move(Request));
  Entry_.begin(
      std::move(Call), Shared->Span_,
      [this, Shared, Exchange](Finish Outcome) {
        Outcome.Run_ =
            runOfRequest(Outcome.Run_, Outcome.Answer_.no_sending_ran());
        Entry_.reply(Exchange, *Shared, Outcome);
      },
      Time);
}

void KeyedProxy::receiveForwarded(const wire::CallRequest &Request,
                                  std::string Body, const ReplyRoute &Route,
                                  Now Time) {
  OpenSending Forwarded;
  Forwarded.Deadline_ = Time.Monotonic_ + Duration(Request.remaining_us());
  Forwarded.Snapshot_ = Control_.snapshot();
  if (auto Parent = parseTraceparent(Request.traceparent()))
    Forwarded.Span_ = childOf(*Parent, Rng_);
  else
    Forwarded.Span_ = startTrace(Rng_, 0);
  Forwarded.Deliver_ = [this, Id = Request.id(), Route](wire::CallAnswer Answer,
                                                        std::string Payload) {
    *Answer.mutable_id() = Id;
    Answer.set_body_size(Payload.size());
    Answer.set_body_hash(bodyHash(Payload));
    Attempts_.answer(Answer, std::move(Payload), Route, readClocks());
  };
  take(Request, std::make_shared<const std::string>(std::move(Body)),
       std::move(Forwarded), Time);
}

void KeyedProxy::take(const wire::CallRequest &Request,
                      std::shared_ptr<const std::string> Body,
                      OpenSending Sending, Now Time) {
  std::uint64_t Token = NextToken_++;
  Sendings_[Token] = std::move(Sending);
  carryOut(
      onSending(Holder_, KeySending{Token, Request, std::move(Body)}, Time),
      Time);
}

void KeyedProxy::carryOut(HolderActions Actions, Now Time) {
  for (HolderAction &Action : Actions) {
    if (const auto *Run = std::get_if<RunKey>(&Action))
      run(*Run, Time);
    else if (auto *Answer = std::get_if<AnswerSending>(&Action))
      deliver(Answer->Token_, Answer->Answer_, std::move(Answer->Body_));
    else
      carryOut(BucketActions{std::get<BucketAction>(std::move(Action))});
  }
}

void KeyedProxy::carryOut(BucketActions Actions) {
  Outbox Out;
  for (BucketAction &Action : Actions) {
    if (sycamore::carryOut(BucketStore_, Action))
      continue;
    auto &Sent = std::get<SendHandover>(Action);
    Outgoing &Message = Out.emplace_back();
    Message.To_ = Sent.Server_;
    *Message.Message_.mutable_bucket_handover() = std::move(Sent.Handover_);
  }
  Send_(Out);
}

void KeyedProxy::run(const RunKey &Action, Now Time) {
  OpenSending Sending;
  if (auto Found = Sendings_.find(Action.Token_); Found != Sendings_.end())
    Sending = Found->second;
  else
    // The caller has been told that the outcome is unknown; with a deadline in
    // the past the call ends without an attempt.
    Sending = OpenSending{{}, Time.Monotonic_, Control_.snapshot(), {}};
  EntryCall Call;
  Call.Snapshot_ = Sending.Snapshot_;
  Call.Route_ = Action.Request_.route();
  Call.Service_ = Action.Request_.service();
  Call.Deadline_ = Sending.Deadline_;
  Call.GiveUpAt_ = Sending.Deadline_ + OutcomeWait;
  Call.Depth_ = Action.Request_.depth();
  Call.KeepWhenCallerGone_ = true;
  Call.Request_ = Action.Request_;
  Call.Request_.clear_target();
  Call.Body_ = Action.Body_;
  Entry_.begin(
      std::move(Call), Sending.Span_,
      [this, Key = Action.Key_](const Finish &Outcome) {
        Now Later = readClocks();
        carryOut(onKeyFinished(Holder_, Key, Outcome, Later), Later);
      },
      Time);
}

void KeyedProxy::deliver(std::uint64_t Token, const wire::CallAnswer &Answer,
                         std::string Body) {
  auto Found = Sendings_.find(Token);
  if (Found == Sendings_.end())
    return;
  Deliver Send = std::move(Found->second.Deliver_);
  Sendings_.erase(Found);
  Send(Answer, std::move(Body));
}

void KeyedProxy::endLateSendings(Now Time) {
  std::vector<std::uint64_t> Late;
  for (const auto &[Token, Sending] : Sendings_)
    if (Sending.Deadline_ <= Time.Monotonic_)
      Late.push_back(Token);
  for (std::uint64_t Token : Late) {
    ++Counters_.WaitsTimedOut_;
    deliver(Token,
            errorAnswer({}, wire::RUN_UNKNOWN, 504,
                        {ErrorKind::DeadlineExceeded,
                         "the outcome of this key was not known in time",
                         "send the request again with the same key"}),
            {});
  }
}

const std::vector<wire::ServerRecord> &KeyedProxy::serverRecords(Now Time) {
  if (Time.Monotonic_ >= NextRecords_) {
    NextRecords_ = Time.Monotonic_ + RecordsInterval;
    Records_ = Control_.serverRecords();
  }
  return Records_;
}

void KeyedProxy::tick(Now Time) {
  if (Control_.mayServe() && Time.Monotonic_ >= NextBucketTick_) {
    NextBucketTick_ = Time.Monotonic_ + BucketTickInterval;
    std::vector<std::string> Servers = aliveServers(Control_.members());
    carryOut(tickBuckets(Holder_.Buckets_, Servers, serverRecords(Time), Time,
                         Rng_));
  }
  std::vector<BucketEvent> Events;
  carryOut(settleWaiting(Holder_, Events, Time), Time);
  for (const BucketEvent &Event : Events)
    logBucketEvent(Event);
  endLateSendings(Time);
  publishClaims();
}

void KeyedProxy::publishClaims() {
  std::vector<wire::HeldBucket> Claims = heldBuckets(buckets());
  auto Same = [](const wire::HeldBucket &Left, const wire::HeldBucket &Right) {
    return Left.bucket() == Right.bucket() && Left.fence() == Right.fence();
  };
  if (std::equal(Claims.begin(), Claims.end(), Published_.begin(),
                 Published_.end(), Same))
    return;
  setOwnBuckets(Control_.members(), Claims);
  Published_ = std::move(Claims);
}

void KeyedProxy::receiveHandover(const wire::BucketHandover &Handover,
                                 Now Time) {
  onHandover(Holder_.Buckets_, Handover, Time);
}

void KeyedProxy::startLeaving(Now Time) {
  carryOut(
      beginHandover(Holder_.Buckets_, aliveServers(Control_.members()), Time));
  publishClaims();
}

void KeyedProxy::finishLeaving() { carryOut(releaseBuckets(Holder_.Buckets_)); }

} // namespace sycamore

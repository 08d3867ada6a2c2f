// Connects the holder of idempotency keys to callers, daemons and the store.
#include "KeyedProxy.h"

#include "sycamore/CallBody.h"
#include "sycamore/Clock.h"
#include "sycamore/Log.h"

namespace sycamore {
namespace {

/// Time after a caller's deadline for which the holder continues to query the
/// outcome, so that its record can answer the next request with the key.
constexpr Duration OutcomeGracePeriod = seconds(30);

/// Copying the records of 690 servers at every tick would take about 1% of a
/// core; claims spread by gossip, which is slower than this interval.
constexpr Duration RecordsRefreshInterval = milliseconds(200);
constexpr Duration BucketTickInterval = milliseconds(200);

KeyedLimits keyedLimits(const KeySettings &Config) {
  KeyedLimits Out;
  Out.BucketCount_ = static_cast<std::uint32_t>(Config.Buckets_);
  Out.ResendWindow_ = Config.ResendWindow_;
  Out.ClockSkew_ = Config.ClockSkew_;
  Out.LeaseTtl_ = Config.Lease_;
  constexpr int RenewalsPerLease = 3;
  Out.KeepAliveInterval_ = Duration(Config.Lease_) / RenewalsPerLease;
  return Out;
}

/// A refusal as not run covers only the refused request, not earlier ones with
/// the same key, so the caller is told that the outcome is unknown.
wire::RunOutcome requestOutcome(wire::RunOutcome Run, bool NeverRan) {
  return Run == wire::RUN_NOT_RUN && !NeverRan ? wire::RUN_UNKNOWN : Run;
}

CallResult toCallResult(const wire::CallAnswer &Answer, std::string Body) {
  CallResult Out;
  Out.Run_ = requestOutcome(Answer.run(), Answer.no_sending_ran());
  Out.Status_ = Answer.status();
  Out.RetryAfter_ = milliseconds(Answer.retry_after_ms());
  Out.Answer_ = Answer;
  Out.Body_ = std::move(Body);
  if (!Answer.error_kind().empty())
    Out.Error_ = Error{ErrorKind::Unavailable, Answer.error_message(),
                       "send the request again with the same key"};
  return Out;
}

CallResult noHolder() {
  CallResult Out;
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
      makeBucketTable(Config.Server_, Process, keyedLimits(Config.Keys_));
  BucketStore_ = BucketStore{&Platform, &Holder_.Buckets_, &Rng, readClocks,
                             Config.Store_.Timeout_};
}

void KeyedProxy::receive(AcceptedRequest Request,
                         const HttpExchangePointer &Exchange, Now Time) {
  auto Key = parseKey(Request.Key_);
  if (!Key) {
    ++Counters_.InvalidKeys_;
    CallResult Refusal;
    Refusal.Run_ = wire::RUN_NOT_RUN;
    Refusal.Status_ = 400;
    Refusal.Error_ = Key.error();
    Entry_.reply(Exchange, Request, Refusal);
    return;
  }
  Request.Key_ = *Key;
  Request.Call_.Request_.set_idempotency_key(*Key);
  std::uint32_t BucketIndex = bucketOf(*Key, buckets().Limits_.BucketCount_);
  auto Holder = holderOf(BucketIndex, serverRecords(Time));
  if (holdsBucket(buckets(), BucketIndex, Time.Monotonic_)) {
    EntryCall Call = std::move(Request.Call_);
    Request.Call_ = {};
    auto SharedRequest = std::make_shared<AcceptedRequest>(std::move(Request));
    PendingRequest Pending;
    Pending.Deadline_ = Call.Deadline_;
    Pending.Snapshot_ = Call.Snapshot_;
    Pending.Span_ = SharedRequest->Span_;
    Pending.OnAnswer_ = [this, SharedRequest, Exchange](
                            const wire::CallAnswer &Answer, std::string Body) {
      CallResult Outcome = toCallResult(Answer, std::move(Body));
      withholdRefusal(Entry_.calls().Limits_, Outcome);
      Entry_.reply(Exchange, *SharedRequest, Outcome);
    };
    submit(Call.Request_, Call.Body_, std::move(Pending), Time);
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
  auto SharedRequest = std::make_shared<AcceptedRequest>(std::move(Request));
  Entry_.begin(
      std::move(Call), SharedRequest->Span_,
      [this, SharedRequest, Exchange](CallResult Outcome) {
        Outcome.Run_ =
            requestOutcome(Outcome.Run_, Outcome.Answer_.no_sending_ran());
        Entry_.reply(Exchange, *SharedRequest, Outcome);
      },
      Time);
}

void KeyedProxy::receiveForwarded(const wire::CallRequest &Request,
                                  std::string Body, const ReplyRoute &Route,
                                  Now Time) {
  PendingRequest Pending;
  Pending.Deadline_ = Time.Monotonic_ + Duration(Request.remaining_us());
  Pending.Snapshot_ = Control_.snapshot();
  if (auto Parent = parseTraceparent(Request.traceparent()))
    Pending.Span_ = childContext(*Parent, Rng_);
  else
    Pending.Span_ = startTrace(Rng_, 0);
  Pending.OnAnswer_ = [this, Id = Request.id(), Priority = Request.priority(),
                       Route](wire::CallAnswer Answer, std::string Payload) {
    *Answer.mutable_id() = Id;
    Answer.set_body_size(Payload.size());
    Answer.set_body_hash(bodyHash(Payload));
    Attempts_.answer(Answer, std::move(Payload), Route, Priority, readClocks());
  };
  submit(Request, std::make_shared<const std::string>(std::move(Body)),
         std::move(Pending), Time);
}

void KeyedProxy::submit(const wire::CallRequest &Request,
                        std::shared_ptr<const std::string> Body,
                        PendingRequest Pending, Now Time) {
  std::uint64_t Token = NextToken_++;
  PendingRequests_[Token] = std::move(Pending);
  execute(onKeyedRequest(Holder_, KeyedRequest{Token, Request, std::move(Body)},
                         Time),
          Time);
}

void KeyedProxy::execute(HolderActions Actions, Now Time) {
  for (HolderAction &Action : Actions) {
    if (const auto *Run = std::get_if<RunKeyedRequest>(&Action))
      run(*Run, Time);
    else if (auto *Answer = std::get_if<AnswerKeyedRequest>(&Action))
      deliver(Answer->Token_, Answer->Answer_, std::move(Answer->Body_));
    else
      execute(BucketActions{std::get<BucketAction>(std::move(Action))});
  }
}

void KeyedProxy::execute(BucketActions Actions) {
  Outbox Out;
  for (BucketAction &Action : Actions) {
    if (sycamore::executeStoreAction(BucketStore_, Action))
      continue;
    auto &Sent = std::get<SendHandover>(Action);
    OutgoingMessage &Message = Out.emplace_back();
    Message.To_ = Sent.Server_;
    *Message.Message_.mutable_bucket_handover() = std::move(Sent.Handover_);
  }
  Send_(Out);
}

void KeyedProxy::run(const RunKeyedRequest &Action, Now Time) {
  PendingRequest Pending;
  if (auto Found = PendingRequests_.find(Action.Token_);
      Found != PendingRequests_.end())
    Pending = Found->second;
  else
    // The caller has been told that the outcome is unknown; with a deadline in
    // the past the call ends without an attempt.
    Pending = PendingRequest{{}, Time.Monotonic_, Control_.snapshot(), {}};
  EntryCall Call;
  Call.Snapshot_ = Pending.Snapshot_;
  Call.Route_ = Action.Request_.route();
  Call.Service_ = Action.Request_.service();
  Call.Deadline_ = Pending.Deadline_;
  Call.OutcomeDeadline_ = Pending.Deadline_ + OutcomeGracePeriod;
  Call.Depth_ = Action.Request_.depth();
  Call.ContinueAfterDisconnect_ = true;
  Call.Request_ = Action.Request_;
  Call.Request_.clear_target();
  Call.Body_ = Action.Body_;
  Entry_.begin(
      std::move(Call), Pending.Span_,
      [this, Key = Action.Key_](const CallResult &Outcome) {
        Now FinishedAt = readClocks();
        execute(onKeyFinished(Holder_, Key, Outcome, FinishedAt), FinishedAt);
      },
      Time);
}

void KeyedProxy::deliver(std::uint64_t Token, const wire::CallAnswer &Answer,
                         std::string Body) {
  auto Found = PendingRequests_.find(Token);
  if (Found == PendingRequests_.end())
    return;
  AnswerCallback Send = std::move(Found->second.OnAnswer_);
  PendingRequests_.erase(Found);
  Send(Answer, std::move(Body));
}

void KeyedProxy::expirePendingRequests(Now Time) {
  std::vector<std::uint64_t> Expired;
  for (const auto &[Token, Pending] : PendingRequests_)
    if (Pending.Deadline_ <= Time.Monotonic_)
      Expired.push_back(Token);
  for (std::uint64_t Token : Expired) {
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
  if (Time.Monotonic_ >= NextRecordsRefresh_) {
    NextRecordsRefresh_ = Time.Monotonic_ + RecordsRefreshInterval;
    Records_ = Control_.serverRecords();
  }
  return Records_;
}

void KeyedProxy::tick(Now Time) {
  if (Control_.mayServe() && Time.Monotonic_ >= NextBucketTick_) {
    NextBucketTick_ = Time.Monotonic_ + BucketTickInterval;
    std::vector<std::string> Servers = aliveServers(Control_.members());
    execute(tickBuckets(Holder_.Buckets_, Servers, serverRecords(Time), Time,
                        Rng_));
  }
  std::vector<BucketEvent> Events;
  execute(answerResolvedWaiters(Holder_, Events, Time), Time);
  for (const BucketEvent &Event : Events)
    logBucketEvent(Event);
  expirePendingRequests(Time);
  publishClaims();
}

void KeyedProxy::publishClaims() {
  std::vector<wire::HeldBucket> Claims = heldBuckets(buckets());
  auto Same = [](const wire::HeldBucket &Left, const wire::HeldBucket &Right) {
    return Left.bucket() == Right.bucket() && Left.fence() == Right.fence();
  };
  if (std::equal(Claims.begin(), Claims.end(), PublishedClaims_.begin(),
                 PublishedClaims_.end(), Same))
    return;
  setOwnBuckets(Control_.members(), Claims);
  PublishedClaims_ = std::move(Claims);
}

void KeyedProxy::receiveHandover(const wire::BucketHandover &Handover,
                                 Now Time) {
  onHandover(Holder_.Buckets_, Handover, Time);
}

void KeyedProxy::onStoreRestored(Now Time) {
  sycamore::onStoreRestored(Holder_.Buckets_, Time);
}

void KeyedProxy::startLeaving(Now Time) {
  execute(
      beginHandover(Holder_.Buckets_, aliveServers(Control_.members()), Time));
  publishClaims();
}

void KeyedProxy::finishLeaving() { execute(releaseBuckets(Holder_.Buckets_)); }

} // namespace sycamore

// Applies calls in memory and injects faults.
#include "FakeStore.h"

#include <algorithm>

namespace sycamore {

struct FakeStore::Watch {
  std::string Key_;
  std::function<void(const KeyValue &)> OnChange_;
  std::function<void(const Error &)> OnFailure_;
};

class FakeStore::Handle : public WatchHandle {
public:
  Handle(FakeStore &Owner, std::unique_ptr<Watch> Entry)
      : Owner_(Owner), Entry_(std::move(Entry)) {
    Owner_.Watches_.insert(Entry_.get());
  }
  Handle(const Handle &) = delete;
  Handle &operator=(const Handle &) = delete;
  ~Handle() override { Owner_.Watches_.erase(Entry_.get()); }

  std::optional<TimePoint> answeredAt() const override {
    return Owner_.AnswersWatches_ ? std::optional(Owner_.Now_) : std::nullopt;
  }

private:
  FakeStore &Owner_;
  std::unique_ptr<Watch> Entry_;
};

void FakeStore::runHook(const std::function<void(std::size_t)> &Hook) {
  if (!Hook)
    return;
  struct Guard {
    bool &Flag_;
    explicit Guard(bool &Flag) : Flag_(Flag) { Flag_ = true; }
    ~Guard() { Flag_ = false; }
  } Nested(InHook_);
  Hook(Calls_);
}

template <typename T>
void FakeStore::answer(Duration Deadline, const StoreCallback<T> &Done,
                       Result<T> Outcome) {
  if (Latency_ == Duration::zero() || InHook_)
    return Done(std::move(Outcome));
  if (Latency_ > Deadline)
    Outcome = fail(ErrorKind::OutcomeUnknown, "no answer in time", "");
  Events_.emplace(Now_ + std::min(Latency_, Deadline),
                  [Done, Outcome] { Done(Outcome); });
}

template <typename T>
void FakeStore::call(Duration Deadline, StoreCallback<T> Done,
                     std::function<Result<T>()> Apply) {
  if (InHook_)
    return Done(Apply());
  ++Calls_;
  applyDueCalls();
  runHook(BeforeCall_);
  auto Found = Faults_.find(Calls_);
  Fault Kind = Found == Faults_.end() ? DefaultFault_ : Found->second;
  auto Lost = [] {
    return Result<T>(fail(ErrorKind::OutcomeUnknown, "the answer is lost", ""));
  };
  if (Kind == Fault::Down)
    return answer<T>(Deadline, Done,
                     fail(ErrorKind::Unavailable, "the store is down", ""));
  if (Kind == Fault::LostNotApplied)
    return answer<T>(Deadline, Done, Lost());
  if (Kind == Fault::LostAppliedLate) {
    PendingCalls_.push_back({Calls_ + LateByCalls_, [Apply] { Apply(); }});
    return answer<T>(Deadline, Done, Lost());
  }
  Result<T> Outcome = Apply();
  runHook(AfterCall_);
  answer<T>(Deadline, Done, Kind == Fault::LostApplied ? Lost() : Outcome);
}

void FakeStore::applyDueCalls() {
  std::vector<LateCall> Pending;
  Pending.swap(PendingCalls_);
  for (LateCall &Entry : Pending) {
    if (Entry.BeforeCall_ <= Calls_)
      Entry.Apply_();
    else
      PendingCalls_.push_back(std::move(Entry));
  }
}

void FakeStore::applyPendingCalls() {
  for (LateCall &Entry : PendingCalls_)
    Entry.Apply_();
  PendingCalls_.clear();
}

void FakeStore::range(const RangeRequest &Request, Duration Deadline,
                      StoreCallback<RangeResult> Done) {
  call<RangeResult>(Deadline, std::move(Done), [this, Request] {
    return Result<RangeResult>(applyRange(Request));
  });
}

void FakeStore::txn(const Txn &Request, Duration Deadline,
                    StoreCallback<TxnResult> Done) {
  call<TxnResult>(Deadline, std::move(Done), [this, Request] {
    return Result<TxnResult>(applyTxn(Request));
  });
}

RangeResult FakeStore::applyRange(const RangeRequest &Request) const {
  RangeResult Out;
  Out.Revision_ = Revision_;
  for (const auto &[Key, Value] : Values_) {
    bool InRange = Request.RangeEnd_.empty()
                       ? Key == Request.Key_
                       : Key >= Request.Key_ && Key < Request.RangeEnd_;
    if (InRange)
      Out.Values_.push_back(Value);
  }
  if (Request.Descending_)
    std::reverse(Out.Values_.begin(), Out.Values_.end());
  auto Limit = static_cast<std::size_t>(Request.Limit_);
  if (Limit > 0 && Out.Values_.size() > Limit)
    Out.Values_.resize(Limit);
  if (Request.KeysOnly_)
    for (KeyValue &Value : Out.Values_)
      Value.Value_.clear();
  return Out;
}

TxnResult FakeStore::applyTxn(const Txn &Request) {
  TxnResult Out;
  Out.Succeeded_ = std::all_of(
      Request.Compares_.begin(), Request.Compares_.end(),
      [&](const Compare &Expected) {
        auto Found = Values_.find(Expected.Key_);
        return Expected.Revision_ ==
               (Found == Values_.end() ? 0 : Found->second.ModRevision_);
      });
  if (Out.Succeeded_ && (!Request.Puts_.empty() || !Request.Deletes_.empty())) {
    ++Revision_;
    for (const Put &Write : Request.Puts_)
      put(Write);
    for (const std::string &Key : Request.Deletes_)
      erase(Key);
  }
  Out.Revision_ = Revision_;
  for (const RangeRequest &Read : Request.Reads_)
    Out.Reads_.push_back(applyRange(Read));
  return Out;
}

void FakeStore::put(const Put &Write) {
  KeyValue &Value = Values_[Write.Key_];
  if (Value.CreateRevision_ == 0)
    Value.CreateRevision_ = Revision_;
  Value.Key_ = Write.Key_;
  Value.Value_ = Write.Value_;
  Value.ModRevision_ = Revision_;
  Value.Lease_ = Write.Lease_;
  History_.push_back(Value);
  for (Watch *Entry : std::set<Watch *>(Watches_))
    if (isWatched(Entry->Key_, Write.Key_))
      Entry->OnChange_(History_.back());
}

void FakeStore::erase(const std::string &Key) { Values_.erase(Key); }

void FakeStore::overwrite(const std::string &Key, const std::string &Value) {
  ++Revision_;
  put(Put{Key, Value, 0});
}

void FakeStore::grantLease(seconds Ttl, Duration Deadline,
                           StoreCallback<Lease> Done) {
  call<Lease>(Deadline, std::move(Done), [this, Ttl] {
    std::int64_t Id = NextLease_++;
    Leases_[Id] = {Ttl, Now_ + Ttl};
    return Result<Lease>(Lease{Id, Ttl});
  });
}

void FakeStore::keepLeaseAlive(std::int64_t Id, Duration Deadline,
                               StoreCallback<Lease> Done) {
  call<Lease>(Deadline, std::move(Done), [this, Id] {
    auto Found = Leases_.find(Id);
    if (Found == Leases_.end())
      return Result<Lease>(Lease{Id, seconds(0)});
    Found->second.ExpiresAt_ = Now_ + Found->second.Ttl_;
    return Result<Lease>(Lease{Id, Found->second.Ttl_});
  });
}

void FakeStore::revokeLease(std::int64_t Id, Duration Deadline,
                            StoreCallback<bool> Done) {
  call<bool>(Deadline, std::move(Done), [this, Id] {
    auto Found = Leases_.find(Id);
    if (Found == Leases_.end())
      return Result<bool>(false);
    Found->second.ExpiresAt_ = Now_;
    expireLeases();
    return Result<bool>(true);
  });
}

std::unique_ptr<WatchHandle>
FakeStore::watch(const std::string &Key, std::int64_t FromRevision,
                 std::function<void(const KeyValue &)> Changed,
                 std::function<void(const Error &)> Failed) {
  auto Entry = std::make_unique<Watch>();
  Entry->Key_ = Key;
  Entry->OnChange_ = std::move(Changed);
  Entry->OnFailure_ = std::move(Failed);
  for (const KeyValue &Value : std::vector<KeyValue>(History_))
    if (FromRevision > 0 && isWatched(Key, Value.Key_) &&
        Value.ModRevision_ >= FromRevision)
      Entry->OnChange_(Value);
  return std::make_unique<Handle>(*this, std::move(Entry));
}

void FakeStore::breakWatches() {
  std::set<Watch *> Broken;
  Broken.swap(Watches_);
  for (Watch *Entry : Broken)
    Entry->OnFailure_(Error{ErrorKind::Unavailable, "the watch broke", ""});
}

void FakeStore::expireLeases() {
  std::erase_if(Leases_, [&](const auto &Entry) {
    if (Entry.second.ExpiresAt_ > Now_)
      return false;
    ++Revision_;
    std::erase_if(Values_, [&](const auto &Value) {
      return Value.second.Lease_ == Entry.first;
    });
    return true;
  });
}

void FakeStore::advance(Duration Span) {
  TimePoint End = Now_ + Span;
  while (!Events_.empty() && Events_.begin()->first <= End) {
    auto Event = Events_.extract(Events_.begin());
    Now_ = std::max(Now_, Event.key());
    expireLeases();
    Event.mapped()();
  }
  Now_ = End;
  expireLeases();
}

void FakeStore::deliverNextAnswer() {
  if (Events_.empty())
    throw std::logic_error("no answer is pending");
  advance(std::max(Events_.begin()->first - Now_, Duration::zero()));
}

void FakeStore::resetFaults() {
  Faults_.clear();
  DefaultFault_ = Fault::None;
  BeforeCall_ = nullptr;
  AfterCall_ = nullptr;
  Latency_ = Duration::zero();
  Calls_ = 0;
}

BlockingStoreClient FakeStore::session() {
  return BlockingStoreClient{*this, [this] { deliverNextAnswer(); }};
}

TicketSession FakeStore::ticketSession(BlockingStoreClient &Session,
                                       Random &Rng, Duration Deadline) {
  return TicketSession{Session, [this] { return Now_; },
                       [this](Duration Span) { advance(Span); }, Rng, Deadline};
}

} // namespace sycamore

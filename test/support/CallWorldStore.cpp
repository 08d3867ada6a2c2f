// Store client of one node of the call simulation.
#include "CallWorld.h"

#include <algorithm>

namespace sycamore::world {
namespace {

struct NodeStore : Store {
  CallSimulation &World_;
  Node &Node_;

  NodeStore(CallSimulation &Simulation, Node &Owner)
      : World_(Simulation), Node_(Owner) {}

  /// Executes Effect at the store and reports its result to Done. Effect may
  /// take place although its answer is late or lost.
  template <typename T>
  void call(Duration Deadline, std::function<T()> Effect,
            StoreCallback<T> Done) {
    CallSimulation::StoreOutcome Outcome = World_.chooseStoreOutcome(Node_);
    Micros Limit = Deadline.count();
    auto Fail = [this, Done](Micros Delay, ErrorKind Kind) {
      World_.runOnNode(Node_, Delay, [Done, Kind](Node &) {
        Done(fail(Kind, "the simulated store did not answer in time",
                  "try again"));
      });
    };
    bool InTime = Outcome.Answers_ &&
                  Outcome.RequestDelay_ + Outcome.AnswerDelay_ <= Limit;
    if (!InTime)
      Fail(Limit, Outcome.Executes_ ? ErrorKind::OutcomeUnknown
                                    : ErrorKind::Unavailable);
    std::uint64_t Process = Node_.Process_;
    World_.at(World_.Now_ + Outcome.RequestDelay_, [=, this] {
      if (!Outcome.Executes_)
        return;
      T Answer = Effect();
      if (InTime && Node_.Alive_ && Node_.Process_ == Process)
        World_.runOnNode(Node_, Outcome.AnswerDelay_,
                         [Done, Answer](Node &) { Done(Answer); });
    });
  }

  bool isLeaseValid(std::int64_t Lease) const {
    auto End = World_.Store_.LeaseEnds_.find(Lease);
    return End != World_.Store_.LeaseEnds_.end() && End->second > World_.Now_;
  }

  TxnResult apply(const Txn &Request) {
    FakeStore &Data = World_.Store_;
    const Compare &If = Request.Compares_.at(0);
    auto Found = Data.Values_.find(If.Key_);
    if (Found != Data.Values_.end() && !isLeaseValid(Found->second.Lease_))
      Found = (Data.Values_.erase(Found), Data.Values_.end());
    std::int64_t Seen =
        Found == Data.Values_.end() ? 0 : Found->second.ModRevision_;
    TxnResult Out;
    Out.Succeeded_ = Seen == If.Revision_;
    if (!Out.Succeeded_) {
      Out.Reads_.emplace_back();
      if (Seen != 0)
        Out.Reads_[0].Values_.push_back(Found->second);
      return Out;
    }
    Out.Revision_ = ++Data.Revision_;
    for (const Put &Each : Request.Puts_)
      Data.Values_[Each.Key_] = {Each.Key_, Each.Value_, Out.Revision_,
                                 Out.Revision_, Each.Lease_};
    for (const std::string &Key : Request.Deletes_)
      Data.Values_.erase(Key);
    return Out;
  }

  void txn(const Txn &Request, Duration Deadline,
           StoreCallback<TxnResult> Done) override {
    call<Result<TxnResult>>(
        Deadline,
        [this, Request]() -> Result<TxnResult> {
          for (const Put &Each : Request.Puts_)
            if (!isLeaseValid(Each.Lease_))
              return fail(ErrorKind::Unavailable,
                          "the lease does not exist or has expired",
                          "grant a new lease");
          return apply(Request);
        },
        [Done](Result<Result<TxnResult>> Answer) {
          Done(Answer ? *Answer : tl::unexpected(Answer.error()));
        });
  }

  void grantLease(seconds Ttl, Duration Deadline,
                  StoreCallback<Lease> Done) override {
    call<Lease>(
        Deadline,
        [this, Ttl] {
          std::int64_t Id = World_.Store_.NextLease_++;
          World_.Store_.LeaseEnds_[Id] = World_.Now_ + Duration(Ttl).count();
          return Lease{Id, Ttl};
        },
        std::move(Done));
  }

  void keepLeaseAlive(std::int64_t Id, Duration Deadline,
                      StoreCallback<Lease> Done) override {
    call<Lease>(
        Deadline,
        [this, Id] {
          seconds Ttl = World_.Config_.Keyed_.LeaseTtl_;
          if (!isLeaseValid(Id))
            return Lease{Id, seconds(0)};
          World_.Store_.LeaseEnds_[Id] = World_.Now_ + Duration(Ttl).count();
          return Lease{Id, Ttl};
        },
        std::move(Done));
  }

  void range(const RangeRequest & /*Request*/, Duration /*Deadline*/,
             StoreCallback<RangeResult> Done) override {
    Done(fail(ErrorKind::Internal, "not simulated by CallWorld", ""));
  }
  void revokeLease(std::int64_t /*Id*/, Duration /*Deadline*/,
                   StoreCallback<bool> Done) override {
    Done(fail(ErrorKind::Internal, "not simulated by CallWorld", ""));
  }
  std::unique_ptr<WatchHandle>
  watch(const std::string & /*Key*/, std::int64_t /*FromRevision*/,
        std::function<void(const KeyValue &)> /*Changed*/,
        std::function<void(const Error &)> /*Failed*/) override {
    return nullptr;
  }
};

} // namespace

CallSimulation::StoreOutcome
CallSimulation::chooseStoreOutcome(const Node &From) {
  ++Store_.Calls_;
  StoreOutcome Out;
  bool Slow = Now_ < Store_.SlowUntil_;
  Out.RequestDelay_ =
      Slow ? randomBetween(1'000, 2'500'000) : randomBetween(300, 2'000);
  Out.AnswerDelay_ =
      Slow ? randomBetween(1'000, 1'000'000) : randomBetween(300, 2'000);
  Out.Executes_ =
      Now_ >= std::max(Store_.DownUntil_, From.StoreUnreachableUntil_);
  Out.Answers_ = Out.Executes_ && !(Config_.Faults_ && chance(0.05));
  return Out;
}

void CallSimulation::connectStore(Node &Owner) {
  Owner.StoreClient_ = std::make_unique<NodeStore>(*this, Owner);
  Owner.Store_ = {Owner.StoreClient_.get(), &Owner.Holder_.Buckets_, &Rng_,
                  [this, &Owner] { return clock(Owner); },
                  Duration(Config_.StoreDeadline_)};
}

} // namespace sycamore::world

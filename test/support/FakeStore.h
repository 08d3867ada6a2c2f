// In-memory store with revisions, leases, watches and injected faults. Its
// clock advances only on request.
#pragma once

#include "sycamore/Store.h"
#include "sycamore/TicketActions.h"

#include <map>
#include <set>

namespace sycamore {

class FakeStore : public Store {
public:
  enum class Fault {
    None,
    Down,            ///< Fails as Unavailable; not applied.
    LostApplied,     ///< Applied, the answer is lost.
    LostNotApplied,  ///< Not applied, the answer is lost.
    LostAppliedLate, ///< The answer is lost; applied before a later call.
  };

  /// Faults by call number, from 1. Calls made by hooks are not numbered.
  std::map<std::size_t, Fault> Faults_;
  /// Fault of the calls that Faults_ does not contain.
  Fault DefaultFault_ = Fault::None;
  /// Number of calls after which a LostAppliedLate call is applied.
  std::size_t LateByCalls_ = 1;
  /// Delay of each answer. If it exceeds the deadline of a call, the call is
  /// applied and its answer is lost.
  Duration Latency_{0};
  /// Whether watches receive an answer.
  bool AnswersWatches_ = true;
  /// Hooks that run before and after each call is applied, with the number of
  /// the call. They may make calls themselves, or throw to simulate a crash of
  /// the caller.
  std::function<void(std::size_t)> BeforeCall_;
  std::function<void(std::size_t)> AfterCall_;

  void range(const RangeRequest &Request, Duration Deadline,
             StoreCallback<RangeResult> Done) override;
  void txn(const Txn &Request, Duration Deadline,
           StoreCallback<TxnResult> Done) override;
  void grantLease(seconds Ttl, Duration Deadline,
                  StoreCallback<Lease> Done) override;
  void keepLeaseAlive(std::int64_t Id, Duration Deadline,
                      StoreCallback<Lease> Done) override;
  void revokeLease(std::int64_t Id, Duration Deadline,
                   StoreCallback<bool> Done) override;
  std::unique_ptr<WatchHandle>
  watch(const std::string &Key, std::int64_t FromRevision,
        std::function<void(const KeyValue &)> Changed,
        std::function<void(const Error &)> Failed) override;

  TimePoint now() const { return Now_; }
  /// Advances the clock, delivers the answers that are due and expires leases.
  void advance(Duration Span);
  /// Advances the clock to the next pending answer and delivers it.
  void deliverNextAnswer();
  /// Applies all LostAppliedLate calls that are still pending.
  void applyPendingCalls();
  void breakWatches();
  /// Removes faults, hooks and latency, and numbers calls from 1 again.
  void resetFaults();

  std::size_t calls() const { return Calls_; }
  const std::map<std::string, KeyValue> &values() const { return Values_; }
  /// Writes a value directly, without faults.
  void overwrite(const std::string &Key, const std::string &Value);

  /// Sessions that use this store and its clock.
  BlockingStoreClient session();
  TicketSession ticketSession(BlockingStoreClient &Session, Random &Rng,
                              Duration Deadline = seconds(10));

private:
  struct Watch;
  class Handle;
  struct HeldLease {
    seconds Ttl_{0};
    TimePoint ExpiresAt_;
  };

  template <typename T>
  void call(Duration Deadline, StoreCallback<T> Done,
            std::function<Result<T>()> Apply);
  template <typename T>
  void answer(Duration Deadline, const StoreCallback<T> &Done,
              Result<T> Outcome);
  void runHook(const std::function<void(std::size_t)> &Hook);
  void applyDueCalls();
  TxnResult applyTxn(const Txn &Request);
  RangeResult applyRange(const RangeRequest &Request) const;
  void put(const Put &Write);
  void erase(const std::string &Key);
  void expireLeases();

  struct LateCall {
    std::size_t BeforeCall_;
    std::function<void()> Apply_;
  };

  std::map<std::string, KeyValue> Values_;
  std::int64_t Revision_ = 1;
  std::vector<KeyValue> History_;
  std::map<std::int64_t, HeldLease> Leases_;
  std::int64_t NextLease_ = 1;
  std::set<Watch *> Watches_;
  std::vector<LateCall> PendingCalls_;
  std::multimap<TimePoint, std::function<void()>> Events_;
  TimePoint Now_{seconds(1000)};
  std::size_t Calls_ = 0;
  bool InHook_ = false;
};

} // namespace sycamore

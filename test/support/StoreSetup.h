// The etcd store client and the stand-in for the store on one event loop.
#pragma once

#include "EventLoop.h"

#include "StandinStore.h"
#include "sycamore/EtcdStore.h"

namespace sycamore {

inline RangeRequest singleKeyRange(const std::string &Key) {
  RangeRequest Out;
  Out.Key_ = Key;
  return Out;
}

struct StoreSetup {
  explicit StoreSetup(double CallsPerSecond = 10000,
                      Duration WatchIdleTimeout = seconds(30)) {
    standin::StandinStoreConfig StandinConfig;
    StandinConfig.AdminListen_ = "127.0.0.1:0";
    StandinConfig.ProgressInterval_ = milliseconds(100);
    Standin_ =
        standin::StandinStore::create(Loop_.base(), StandinConfig).value();
    Config_.Endpoints_ = {Standin_->address()};
    Config_.CallsPerSecond_ = CallsPerSecond;
    Config_.WatchIdleTimeout_ = WatchIdleTimeout;
    Config_.Counters_ = std::make_shared<StoreCounters>();
    Store_ = makeEtcdStore(Loop_.base(), Config_);
  }
  ~StoreSetup() {
    Store_.reset();
    Standin_.reset();
    Loop_.runFor(milliseconds(5));
  }

  void configureFaults(const char *Document) {
    auto Failure = Standin_->setFaults(*parseJson(Document, "faults"));
    if (Failure)
      throw std::runtime_error(describe(*Failure));
  }

  template <typename T, typename Start> Result<T> waitFor(Start StartCall) {
    auto Response = std::make_shared<std::optional<Result<T>>>();
    StartCall([Response](Result<T> Value) { *Response = std::move(Value); });
    if (!Loop_.runUntil([&] { return Response->has_value(); }))
      return fail(ErrorKind::Internal, "no response in time", "");
    return **Response;
  }

  Result<RangeResult> range(const RangeRequest &Request) {
    return waitFor<RangeResult>([&](StoreCallback<RangeResult> Done) {
      Store_->range(Request, Deadline_, std::move(Done));
    });
  }
  Result<RangeResult> get(const std::string &Key) {
    return range(singleKeyRange(Key));
  }
  Result<TxnResult> txn(const Txn &Request) {
    return waitFor<TxnResult>([&](StoreCallback<TxnResult> Done) {
      Store_->txn(Request, Deadline_, std::move(Done));
    });
  }
  Result<TxnResult> put(const std::string &Key, const std::string &Value) {
    return txn({{}, {{Key, Value, 0}}, {}, {}});
  }
  Result<Lease> grant(seconds Ttl) {
    return waitFor<Lease>([&](StoreCallback<Lease> Done) {
      Store_->grantLease(Ttl, Deadline_, std::move(Done));
    });
  }
  Result<Lease> keepAlive(std::int64_t Id) {
    return waitFor<Lease>([&](StoreCallback<Lease> Done) {
      Store_->keepLeaseAlive(Id, Deadline_, std::move(Done));
    });
  }
  Result<bool> revoke(std::int64_t Id) {
    return waitFor<bool>([&](StoreCallback<bool> Done) {
      Store_->revokeLease(Id, Deadline_, std::move(Done));
    });
  }

  EventLoop Loop_;
  EtcdStoreConfig Config_;
  std::unique_ptr<standin::StandinStore> Standin_;
  std::unique_ptr<Store> Store_;
  Duration Deadline_ = seconds(3);
};

} // namespace sycamore

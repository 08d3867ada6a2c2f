// Server side of the etcd v3 JSON gateway: parses requests, executes them on
// the store model and encodes the responses.
#pragma once

#include "StoreModel.h"
#include "sycamore/Json.h"

#include <stdexcept>

namespace sycamore::standin {

/// Error response of the gateway, with its HTTP status and gRPC status code.
struct GatewayFailure : std::runtime_error {
  GatewayFailure(int Status, int Code, const std::string &Message)
      : std::runtime_error(Message), Status_(Status), GrpcCode_(Code) {}
  int Status_;
  int GrpcCode_;
};

Json errorDocument(int Code, const std::string &Message);

/// Whether the body of a /v3/kv/txn call has no put and no delete.
bool isReadOnlyTxn(const Json &Body);

Json runRange(const StoreModel &Model, const Json &Body);
Json runTxn(StoreModel &Model, const Json &Body);
Json runLeaseGrant(StoreModel &Model, const Json &Body, TimePoint Now);
Json runKeepAlive(StoreModel &Model, const Json &Body, TimePoint Now);
Json runLeaseRevoke(StoreModel &Model, const Json &Body);

struct WatchRequest {
  std::string Key_;
  std::string RangeEnd_;
  std::int64_t FromRevision_ = 0;
  bool ProgressNotify_ = false;
};

WatchRequest parseWatchRequest(const Json &Body);
bool matchesWatch(const WatchRequest &Request, const std::string &Key);

Json encodeWatchCreated(const StoreModel &Model);
Json encodeWatchProgress(const StoreModel &Model);
Json encodeWatchCancelled(const StoreModel &Model,
                          std::int64_t CompactRevision);
Json encodeWatchEvents(const std::vector<StoreEvent> &Events,
                       const StoreModel &Model);

} // namespace sycamore::standin

// Requests and answers of the etcd v3 JSON gateway: keys and values in base64,
// 64-bit numbers as strings, fields with default values left out.
#pragma once

#include "Base64.h"
#include "sycamore/Json.h"
#include "sycamore/Store.h"

#include <optional>

namespace sycamore {

Json encodeRange(const RangeRequest &Request);
Json encodeTxn(const Txn &Request);
Json encodeWatch(const std::string &Key, std::int64_t FromRevision);

/// Parsers of answers. Errors: InvalidData.
Result<RangeResult> parseRangeAnswer(std::string_view Text);
/// The answer must have as many range responses as the request has reads.
Result<TxnResult> parseTxnAnswer(std::string_view Text, std::size_t Reads);
Result<Lease> parseLeaseGrantAnswer(std::string_view Text);
Result<Lease> parseKeepAliveAnswer(std::string_view Text);

struct WatchNotice {
  std::int64_t Revision_ = 0;
  bool Created_ = false;
  bool Cancelled_ = false;
  std::string CancelReason_;
  std::vector<KeyValue> Changes_;
};

/// Parses one line of a watch's stream.
Result<WatchNotice> parseWatchLine(std::string_view Text);

/// The code of an error answer, as gRPC numbers them, and its message.
struct GatewayError {
  std::int64_t Code_ = 0; ///< 0 when the answer has none.
  std::string Message_;
};

GatewayError parseErrorAnswer(std::string_view Text);

} // namespace sycamore

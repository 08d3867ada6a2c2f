// Requests and responses of the etcd v3 JSON gateway: keys and values are
// base64, 64-bit numbers are strings, and fields with default values are
// omitted.
#pragma once

#include "Base64.h"
#include "sycamore/Json.h"
#include "sycamore/Store.h"

#include <optional>

namespace sycamore {

Json encodeRange(const RangeRequest &Request);
Json encodeTxn(const Txn &Request);
Json encodeWatch(const std::string &Key, std::int64_t FromRevision);

/// States by which cluster and at which revision a call was answered.
struct AnswerHeader {
  std::string ClusterId_; ///< Another one after a restoration from a snapshot.
  std::int64_t Revision_ = 0;
};

/// Parsers of responses; they set Header if it is not null. Errors:
/// InvalidData.
Result<RangeResult> parseRangeResponse(std::string_view Text,
                                       AnswerHeader *Header = nullptr);
/// Reads is the number of reads in the request; a response with another number
/// of range responses is an error.
Result<TxnResult> parseTxnResponse(std::string_view Text, std::size_t Reads,
                                   AnswerHeader *Header = nullptr);
Result<Lease> parseLeaseGrantResponse(std::string_view Text,
                                      AnswerHeader *Header = nullptr);
Result<Lease> parseKeepAliveResponse(std::string_view Text,
                                     AnswerHeader *Header = nullptr);

struct WatchResponse {
  std::int64_t Revision_ = 0;
  bool Created_ = false;
  bool Cancelled_ = false;
  std::string CancelReason_;
  std::vector<KeyValue> Changes_;
};

/// Parses one line of a watch stream.
Result<WatchResponse> parseWatchLine(std::string_view Text);

/// gRPC status code and message of an error response.
struct GatewayError {
  std::int64_t Code_ = 0; ///< 0 if the response has none.
  std::string Message_;
};

GatewayError parseErrorResponse(std::string_view Text);

} // namespace sycamore

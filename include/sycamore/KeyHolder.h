// Keyed requests at the holder of their bucket: admits requests with the same
// key, runs one of them as the call's entry daemon, and answers all that wait
// for its outcome.
#pragma once

#include "sycamore/EntryCalls.h"
#include "sycamore/KeyedCalls.h"

namespace sycamore {

/// One arrival of a keyed request, which a caller may send several times: from
/// a local caller or forwarded by another entry daemon.
struct KeyedRequest {
  /// Chosen by the daemon to find the recipient of the answer.
  std::uint64_t Token_ = 0;
  wire::CallRequest Request_;
  std::shared_ptr<const std::string> Body_;
};

/// Begin a call for this request with ContinueAfterDisconnect_ set, and report
/// its CallResult to onKeyFinished().
struct RunKeyedRequest {
  std::uint64_t Token_ = 0; ///< Of the request that runs.
  std::string Key_;
  wire::CallRequest Request_; ///< Without the key.
  std::shared_ptr<const std::string> Body_;
};

struct AnswerKeyedRequest {
  std::uint64_t Token_ = 0;
  wire::CallAnswer Answer_; ///< Without id and process.
  std::string Body_;
};

using HolderAction =
    std::variant<RunKeyedRequest, AnswerKeyedRequest, BucketAction>;
using HolderActions = std::vector<HolderAction>;

struct KeyHolder {
  BucketTable Buckets_;
  /// Requests that wait for their key's outcome, by key.
  std::unordered_map<std::string, std::vector<KeyedRequest>> Waiting_;
};

/// Runs, queues or answers a keyed request; At is the time at which it was
/// read.
HolderActions onKeyedRequest(KeyHolder &Holder, KeyedRequest Incoming, Now At);

/// Completes a key whose call, begun for a RunKeyedRequest, has ended.
HolderActions onKeyFinished(KeyHolder &Holder, const std::string &Key,
                            const CallResult &End, Now At);

/// Answers requests that wait for a key whose outcome came from a former
/// holder. Appends all other events to Events. Called every 20 ms.
HolderActions answerResolvedWaiters(KeyHolder &Holder,
                                    std::vector<BucketEvent> &Events, Now At);

/// Converts a CallResult to the answer that is sent to another daemon.
wire::CallAnswer toAnswer(const CallResult &End);

} // namespace sycamore

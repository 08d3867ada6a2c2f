// What the holder of a bucket does with sendings of a key: admits them, runs
// one of them as the call's entry daemon, and answers all that wait for it.
#pragma once

#include "sycamore/EntryCalls.h"
#include "sycamore/KeyedCalls.h"

namespace sycamore {

/// One sending of a keyed request, from a caller here or forwarded by another
/// entry daemon.
struct KeySending {
  std::uint64_t Token_ = 0; ///< The daemon's own, to find whom to answer.
  wire::CallRequest Request_;
  std::shared_ptr<const std::string> Body_;
};

/// Begin a call for this sending with KeepWhenCallerGone_ set, and report its
/// Finish to onKeyFinished().
struct RunKey {
  std::uint64_t Token_ = 0; ///< Of the sending that runs.
  std::string Key_;
  wire::CallRequest Request_; ///< Without the key.
  std::shared_ptr<const std::string> Body_;
};

struct AnswerSending {
  std::uint64_t Token_ = 0;
  wire::CallAnswer Answer_; ///< Without id and process.
  std::string Body_;
};

using HolderAction = std::variant<RunKey, AnswerSending, BucketAction>;
using HolderActions = std::vector<HolderAction>;

struct KeyHolder {
  BucketTable Buckets_;
  /// Sendings that wait for their key's outcome, by key.
  std::unordered_map<std::string, std::vector<KeySending>> Waiting_;
};

/// Decides about a sending; At is the time at which it was read.
HolderActions onSending(KeyHolder &Holder, KeySending Sending, Now At);

/// The call of a RunKey ended.
HolderActions onKeyFinished(KeyHolder &Holder, const std::string &Key,
                            const Finish &End, Now At);

/// Answers sendings that wait for a key whose outcome came from a former
/// holder. Returns the other events through Events. Called every 20 ms.
HolderActions settleWaiting(KeyHolder &Holder, std::vector<BucketEvent> &Events,
                            Now At);

/// The answer to another daemon that says what Finish says.
wire::CallAnswer toAnswer(const Finish &End);

} // namespace sycamore

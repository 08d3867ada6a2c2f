#include "sycamore/KeyHolder.h"

#include "sycamore/CallBody.h"

namespace sycamore {
namespace {

AnswerKeyedRequest replay(std::uint64_t Token, const StoredAnswer &Stored) {
  return {Token, Stored.Answer_, Stored.Body_};
}

HolderAction runKey(const std::string &Key, const KeyedRequest &Incoming) {
  RunKeyedRequest Out{Incoming.Token_, Key, Incoming.Request_, Incoming.Body_};
  Out.Request_.clear_idempotency_key();
  return Out;
}

std::vector<KeyedRequest> extractWaiting(KeyHolder &Holder,
                                         const std::string &Key) {
  auto Found = Holder.Waiting_.find(Key);
  if (Found == Holder.Waiting_.end())
    return {};
  std::vector<KeyedRequest> Out = std::move(Found->second);
  Holder.Waiting_.erase(Found);
  return Out;
}

} // namespace

wire::CallAnswer toAnswer(const CallResult &End) {
  wire::CallAnswer Out = End.Answer_;
  Out.clear_id();
  Out.clear_process();
  Out.set_run(End.Run_);
  Out.set_status(End.Status_);
  if (End.Error_) {
    Out.set_error_kind(std::string(errorKindName(End.Error_->Kind_)));
    Out.set_error_message(End.Error_->Message_);
    Out.set_retry_after_ms(
        static_cast<std::uint32_t>(toMilliseconds(End.RetryAfter_)));
  }
  Out.set_body_size(End.Body_.size());
  Out.set_body_hash(bodyHash(End.Body_));
  return Out;
}

HolderActions onKeyedRequest(KeyHolder &Holder, KeyedRequest Incoming, Now At) {
  const wire::CallRequest &Request = Incoming.Request_;
  std::string Key = Request.idempotency_key();
  std::uint64_t Hash = requestHash(Request.service(), Request.method(),
                                   Request.path(), *Incoming.Body_);
  KeyDecision Decision = admitKey(Holder.Buckets_, Key, Hash, At);
  HolderActions Out;
  switch (Decision.Admission_) {
  case KeyAdmission::Run:
    Out.push_back(runKey(Key, Incoming));
    Holder.Waiting_[Key].push_back(std::move(Incoming));
    break;
  case KeyAdmission::JoinRunning:
    Holder.Waiting_[Key].push_back(std::move(Incoming));
    break;
  case KeyAdmission::Replay:
    Out.emplace_back(replay(Incoming.Token_, *Decision.Answer_));
    break;
  default:
    Out.emplace_back(
        AnswerKeyedRequest{Incoming.Token_, refusalAnswer(Decision), {}});
  }
  return Out;
}

HolderActions onKeyFinished(KeyHolder &Holder, const std::string &Key,
                            const CallResult &End, Now At) {
  wire::CallAnswer Answer = toAnswer(End);
  HolderActions Out;
  for (const KeyedRequest &Waiter : extractWaiting(Holder, Key))
    Out.emplace_back(AnswerKeyedRequest{Waiter.Token_, Answer, End.Body_});
  for (BucketAction &Each :
       completeKey(Holder.Buckets_, Key, Answer, End.Body_, At))
    Out.emplace_back(std::move(Each));
  return Out;
}

HolderActions answerResolvedWaiters(KeyHolder &Holder,
                                    std::vector<BucketEvent> &Events, Now At) {
  HolderActions Out;
  for (BucketEvent &Event : takeEvents(Holder.Buckets_)) {
    const auto *Resolved = std::get_if<KeyResolved>(&Event);
    if (Resolved == nullptr) {
      Events.push_back(std::move(Event));
      continue;
    }
    for (KeyedRequest &Waiter : extractWaiting(Holder, Resolved->Key_))
      for (HolderAction &Each : onKeyedRequest(Holder, std::move(Waiter), At))
        Out.push_back(std::move(Each));
  }
  return Out;
}

} // namespace sycamore

#include "sycamore/KeyHolder.h"

#include "sycamore/CallBody.h"

namespace sycamore {
namespace {

AnswerSending replay(std::uint64_t Token, const KeptAnswer &Kept) {
  return {Token, Kept.Answer_, Kept.Body_};
}

HolderAction runKey(const std::string &Key, const KeySending &Sending) {
  RunKey Out{Sending.Token_, Key, Sending.Request_, Sending.Body_};
  Out.Request_.clear_idempotency_key();
  return Out;
}

std::vector<KeySending> takeWaiting(KeyHolder &Holder, const std::string &Key) {
  auto Found = Holder.Waiting_.find(Key);
  if (Found == Holder.Waiting_.end())
    return {};
  std::vector<KeySending> Out = std::move(Found->second);
  Holder.Waiting_.erase(Found);
  return Out;
}

} // namespace

wire::CallAnswer toAnswer(const Finish &End) {
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

HolderActions onSending(KeyHolder &Holder, KeySending Sending, Now At) {
  const wire::CallRequest &Request = Sending.Request_;
  std::string Key = Request.idempotency_key();
  std::uint64_t Hash = requestHash(Request.service(), Request.method(),
                                   Request.path(), *Sending.Body_);
  KeyDecision Decision = admitKey(Holder.Buckets_, Key, Hash, At);
  HolderActions Out;
  switch (Decision.Admission_) {
  case KeyAdmission::Run:
    Out.push_back(runKey(Key, Sending));
    Holder.Waiting_[Key].push_back(std::move(Sending));
    break;
  case KeyAdmission::JoinRunning:
    Holder.Waiting_[Key].push_back(std::move(Sending));
    break;
  case KeyAdmission::Replay:
    Out.emplace_back(replay(Sending.Token_, *Decision.Answer_));
    break;
  default:
    Out.emplace_back(
        AnswerSending{Sending.Token_, refusalAnswer(Decision), {}});
  }
  return Out;
}

HolderActions onKeyFinished(KeyHolder &Holder, const std::string &Key,
                            const Finish &End, Now At) {
  wire::CallAnswer Answer = toAnswer(End);
  HolderActions Out;
  for (const KeySending &Sending : takeWaiting(Holder, Key))
    Out.emplace_back(AnswerSending{Sending.Token_, Answer, End.Body_});
  for (BucketAction &Each :
       completeKey(Holder.Buckets_, Key, Answer, End.Body_, At))
    Out.emplace_back(std::move(Each));
  return Out;
}

HolderActions settleWaiting(KeyHolder &Holder, std::vector<BucketEvent> &Events,
                            Now At) {
  HolderActions Out;
  for (BucketEvent &Event : takeEvents(Holder.Buckets_)) {
    const auto *Settled = std::get_if<KeySettled>(&Event);
    if (Settled == nullptr) {
      Events.push_back(std::move(Event));
      continue;
    }
    for (KeySending &Sending : takeWaiting(Holder, Settled->Key_))
      for (HolderAction &Each : onSending(Holder, std::move(Sending), At))
        Out.push_back(std::move(Each));
  }
  return Out;
}

} // namespace sycamore

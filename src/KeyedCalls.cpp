#include "sycamore/KeyedCalls.h"

#include "CallMutation.h"
#include "KeyTable.h"

#include <algorithm>

namespace sycamore {
namespace {

using namespace keytable;

int hexValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  return -1;
}

bool isUuidText(std::string_view Key) {
  constexpr std::size_t UuidTextBytes = 36;
  if (Key.size() != UuidTextBytes)
    return false;
  for (std::size_t I = 0; I < Key.size(); ++I) {
    bool Dash = I == 8 || I == 13 || I == 18 || I == 23;
    if (Dash ? Key[I] != '-' : hexValue(Key[I]) < 0)
      return false;
  }
  return true;
}

KeyDecision refuseNotRun(KeyReason Reason, bool NeverRan, Duration RetryAfter) {
  KeyDecision Out;
  Out.Admission_ = KeyAdmission::RefuseNotRun;
  Out.Reason_ = Reason;
  Out.NeverRan_ = NeverRan;
  Out.RetryAfter_ = RetryAfter;
  return Out;
}

KeyDecision makeDecision(KeyAdmission Admission, KeyReason Reason) {
  KeyDecision Out;
  Out.Admission_ = Admission;
  Out.Reason_ = Reason;
  return Out;
}

KeyDecision admitRecorded(BucketTable &Table, KeyEntry &Entry,
                          std::uint64_t RequestHash, Now At) {
  KeyedCallsCounters &Counters = Table.Counters_;
  if (Entry.RequestHash_ != RequestHash &&
      !mutationEnabled(CallMutation::NoRequestHash)) {
    ++Counters.Mismatched_;
    return makeDecision(KeyAdmission::RefuseMismatch, KeyReason::OtherRequest);
  }
  // The age limit does not protect a key without a creation time, so its
  // record is kept for the resend window after each request.
  if (!Entry.HasCreationTime_)
    Entry.ExpiresAt_ = At.Monotonic_ + Table.Limits_.ResendWindow_ +
                       2 * Table.Limits_.ClockSkew_;
  // A former holder that died cannot report the outcome any more.
  if (Entry.State_ == KeyState::RemoteRunning &&
      At.Monotonic_ - Entry.RunningSince_ > Table.Limits_.MaxRemoteRunTime_)
    Entry.State_ = KeyState::Unknown;
  switch (Entry.State_) {
  case KeyState::Running:
  case KeyState::RemoteRunning:
    ++Counters.Joined_;
    return makeDecision(KeyAdmission::JoinRunning, KeyReason::None);
  case KeyState::Done: {
    ++Counters.Replayed_;
    KeyDecision Out = makeDecision(KeyAdmission::Replay, KeyReason::None);
    Out.Answer_ = Entry.Answer_;
    return Out;
  }
  case KeyState::DoneNoAnswer:
    ++Counters.UnknownOutcome_;
    return makeDecision(KeyAdmission::RefuseUnknown, KeyReason::AnswerDropped);
  case KeyState::Unknown:
    break;
  }
  ++Counters.UnknownOutcome_;
  return makeDecision(KeyAdmission::RefuseUnknown, KeyReason::OutcomeLost);
}

/// The refusal if this daemon may not accept new keys of the bucket now;
/// nothing if it may.
std::optional<KeyDecision>
refuseWithoutLease(BucketTable &Table, std::uint32_t BucketIndex, Now At) {
  if (holdsBucket(Table, BucketIndex, At.Monotonic_))
    return std::nullopt;
  BucketState State = Table.Buckets_[BucketIndex].State_;
  // An earlier request with the key may have run at another holder.
  bool NeverRan = mutationEnabled(CallMutation::LapsedIsSettled);
  if (State == BucketState::HandingOver) {
    if (mutationEnabled(CallMutation::AcceptWhileHandingOver))
      return std::nullopt;
    ++Table.Counters_.HandingOver_;
    return refuseNotRun(KeyReason::HandingOver, NeverRan, milliseconds(100));
  }
  if (State == BucketState::Held) {
    ++Table.Counters_.LeaseLapsed_;
    return refuseNotRun(KeyReason::LeaseLapsed, NeverRan, seconds(1));
  }
  ++Table.Counters_.NotHolder_;
  return refuseNotRun(KeyReason::NotHolder, NeverRan, milliseconds(200));
}

/// The refusal if a key without a record may have run under an earlier holder,
/// or so long ago that its record has expired.
std::optional<KeyDecision>
refuseUnknownOutcome(BucketTable &Table, const KeyBucket &Bucket,
                     std::optional<WallTime> CreationTime, Now At) {
  bool TakenOver = CreationTime ? *CreationTime <= Bucket.UnknownBefore_
                                : At.Monotonic_ < Bucket.OpaqueUnknownUntil_;
  if (TakenOver) {
    ++Table.Counters_.UnknownAfterTakeover_;
    return makeDecision(KeyAdmission::RefuseUnknown, KeyReason::TakenOver);
  }
  if (CreationTime && *CreationTime < At.Wall_ - Table.Limits_.ResendWindow_ &&
      !mutationEnabled(CallMutation::NoAgeLimit)) {
    ++Table.Counters_.UnknownTooOld_;
    return makeDecision(KeyAdmission::RefuseUnknown, KeyReason::TooOld);
  }
  return std::nullopt;
}

/// The refusal if a key that has not run cannot be accepted now.
std::optional<KeyDecision>
refuseTemporarily(BucketTable &Table, const KeyBucket &Bucket,
                  std::optional<WallTime> CreationTime, Now At) {
  if (CreationTime && *CreationTime > At.Wall_ + Table.Limits_.ClockSkew_) {
    ++Table.Counters_.FromTheFuture_;
    return refuseNotRun(KeyReason::FromTheFuture, true,
                        *CreationTime - At.Wall_ - Table.Limits_.ClockSkew_);
  }
  // Each run of a key that ends as not run leaves an entry in the expiry queue.
  std::size_t Limit = Table.Limits_.MaxRecords_;
  if (Table.Records_ >= Limit || Bucket.ExpiryQueue_.size() >= 2 * Limit) {
    ++Table.Counters_.Full_;
    return refuseNotRun(KeyReason::Full, true, seconds(1));
  }
  return std::nullopt;
}

struct RefusalText {
  KeyReason Reason_;
  ErrorKind Kind_;
  const char *Message_;
};

constexpr RefusalText RefusalTexts[] = {
    {KeyReason::NotHolder, ErrorKind::Unavailable,
     "no daemon here holds the bucket of the idempotency key"},
    {KeyReason::LeaseLapsed, ErrorKind::Unavailable,
     "the store has not renewed the lease on the key's bucket"},
    {KeyReason::HandingOver, ErrorKind::Unavailable,
     "another daemon is taking over the key's bucket"},
    {KeyReason::FromTheFuture, ErrorKind::InvalidArgument,
     "the key's creation time is in the future; check the caller's clock"},
    {KeyReason::Full, ErrorKind::Unavailable,
     "too many idempotency keys are remembered at once"},
    {KeyReason::TakenOver, ErrorKind::OutcomeUnknown,
     "the key may have been used before its bucket changed its holder"},
    {KeyReason::TooOld, ErrorKind::OutcomeUnknown,
     "the key is older than the resend window"},
    {KeyReason::OutcomeLost, ErrorKind::OutcomeUnknown,
     "an earlier sending of the key may have run; its answer was lost"},
    {KeyReason::AnswerDropped, ErrorKind::OutcomeUnknown,
     "an earlier sending of the key ran; its answer is no longer kept"},
    {KeyReason::OtherRequest, ErrorKind::Conflict,
     "the idempotency key was used for another request"},
};

} // namespace

Result<std::string> parseKey(std::string_view HeaderValue) {
  std::string_view Key = HeaderValue;
  if (Key.size() >= 2 && Key.front() == '"' && Key.back() == '"')
    Key = Key.substr(1, Key.size() - 2);
  bool Printable = std::all_of(Key.begin(), Key.end(), [](char Byte) {
    return Byte > ' ' && Byte <= '~' && Byte != '"' && Byte != '\\';
  });
  if (Key.empty() || Key.size() > MaxKeyBytes || !Printable)
    return fail(ErrorKind::InvalidArgument,
                "Idempotency-Key must have 1 to " +
                    std::to_string(MaxKeyBytes) +
                    " printable ASCII characters without spaces, quotes and "
                    "backslashes",
                "send a UUIDv7");
  return std::string(Key);
}

std::optional<WallTime> keyCreationTime(std::string_view Key) {
  if (!isUuidText(Key))
    return std::nullopt;
  constexpr std::size_t VersionAt = 14;
  constexpr std::size_t VariantAt = 19;
  if (Key[VersionAt] != '7' || (hexValue(Key[VariantAt]) & 0xc) != 0x8)
    return std::nullopt;
  std::int64_t Milliseconds = 0;
  for (std::size_t I = 0; I < 13; ++I)
    if (Key[I] != '-')
      Milliseconds = Milliseconds * 16 + hexValue(Key[I]);
  return WallTime(milliseconds(Milliseconds));
}

KeyDecision admitKey(BucketTable &Table, std::string_view KeyView,
                     std::uint64_t RequestHash, Now Reading) {
  Now At = mutationEnabled(CallMutation::StaleTime)
               ? Reading
               : advanceLatestTime(Table, Reading);
  std::string Key(KeyView);
  std::uint32_t BucketIndex = bucketOf(Key, Table.Limits_.BucketCount_);
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  // Records remain correct without a valid lease.
  if (auto Existing = Bucket.Records_.find(Key);
      Existing != Bucket.Records_.end())
    return admitRecorded(Table, Existing->second, RequestHash, At);
  if (auto Refusal = refuseWithoutLease(Table, BucketIndex, At))
    return *Refusal;
  auto CreationTime = keyCreationTime(Key);
  if (auto Refusal = refuseUnknownOutcome(Table, Bucket, CreationTime, At))
    return *Refusal;
  if (auto Refusal = refuseTemporarily(Table, Bucket, CreationTime, At))
    return *Refusal;
  KeyEntry &Entry = findOrCreateRecord(Table, BucketIndex, Key, At.Monotonic_);
  Entry.RequestHash_ = RequestHash;
  Entry.HasCreationTime_ = CreationTime.has_value();
  ++Table.Counters_.Run_;
  return makeDecision(KeyAdmission::Run, KeyReason::None);
}

BucketActions completeKey(BucketTable &Table, std::string_view KeyView,
                          const wire::CallAnswer &Answer, std::string Body,
                          Now At) {
  std::string Key(KeyView);
  std::uint32_t BucketIndex = bucketOf(Key, Table.Limits_.BucketCount_);
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  auto Found = Bucket.Records_.find(Key);
  if (Found == Bucket.Records_.end() ||
      Found->second.State_ != KeyState::Running)
    return {};
  KeyEntry &Entry = Found->second;
  Table.Events_.emplace_back(KeyResolved{Key});
  if (!Entry.HasCreationTime_)
    Entry.ExpiresAt_ = At.Monotonic_ + Table.Limits_.ResendWindow_ +
                       2 * Table.Limits_.ClockSkew_;
  bool RemoveRecord = Answer.run() == wire::RUN_NOT_RUN ||
                      (Answer.run() == wire::RUN_UNKNOWN &&
                       mutationEnabled(CallMutation::UnknownForgetsKey));
  if (RemoveRecord) {
    BucketActions Out = updateSuccessor(Table, BucketIndex, Key, nullptr);
    eraseRecord(Table, BucketIndex, Key);
    return Out;
  }
  if (Answer.run() == wire::RUN_DONE && Answer.error_kind().empty())
    storeAnswer(
        Table, BucketIndex, Key, Entry,
        std::make_shared<StoredAnswer>(StoredAnswer{Answer, std::move(Body)}));
  else
    Entry.State_ = Answer.run() == wire::RUN_DONE ? KeyState::DoneNoAnswer
                                                  : KeyState::Unknown;
  return updateSuccessor(Table, BucketIndex, Key, &Entry);
}

wire::CallAnswer refusalAnswer(const KeyDecision &Decision) {
  wire::CallAnswer Out;
  bool NotRun = Decision.Admission_ == KeyAdmission::RefuseNotRun;
  bool Mismatch = Decision.Admission_ == KeyAdmission::RefuseMismatch;
  Out.set_run(NotRun || Mismatch ? wire::RUN_NOT_RUN : wire::RUN_UNKNOWN);
  Out.set_status(NotRun ? 503 : Mismatch ? 422 : 502);
  Out.set_no_sending_ran(NotRun && Decision.NeverRan_);
  Out.set_retry_after_ms(
      static_cast<std::uint32_t>(toMilliseconds(Decision.RetryAfter_)));
  for (const RefusalText &Text : RefusalTexts)
    if (Text.Reason_ == Decision.Reason_) {
      Out.set_error_kind(std::string(errorKindName(Text.Kind_)));
      Out.set_error_message(Text.Message_);
    }
  if (NotRun && !Decision.NeverRan_)
    Out.set_error_message(Out.error_message() +
                          "; this sending did not run, an earlier one with "
                          "the same key may have");
  return Out;
}

} // namespace sycamore

// Records of idempotency keys: creation, limits and expiry.
#include "KeyTable.h"

namespace sycamore::keytable {

Now latest(BucketTable &Table, Now At) {
  if (At.Monotonic_ >= Table.Latest_.Monotonic_)
    Table.Latest_ = At;
  return Table.Latest_;
}

KeyEntry &enterRecord(BucketTable &Table, std::uint32_t Bucket,
                      const std::string &Key, TimePoint Now) {
  KeyBucket &In = Table.Buckets_[Bucket];
  auto [Found, New] = In.Records_.try_emplace(Key);
  KeyEntry &Entry = Found->second;
  if (New) {
    const KeyedLimits &Limits = Table.Limits_;
    Entry.KeepUntil_ = Now + Limits.ResendWindow_ + 2 * Limits.ClockSkew_;
    Entry.RunningSince_ = Now;
    In.Expiry_.emplace_back(Entry.KeepUntil_, Key);
    ++Table.Records_;
  }
  return Entry;
}

void dropAnswer(BucketTable &Table, KeyEntry &Entry) {
  if (!Entry.Answer_)
    return;
  Table.AnswerBytes_ -= Entry.Answer_->Body_.size();
  Entry.Answer_.reset();
}

void eraseRecord(BucketTable &Table, std::uint32_t Bucket,
                 const std::string &Key) {
  KeyBucket &In = Table.Buckets_[Bucket];
  auto Found = In.Records_.find(Key);
  if (Found == In.Records_.end())
    return;
  dropAnswer(Table, Found->second);
  In.Records_.erase(Found);
  --Table.Records_;
}

void keepAnswer(BucketTable &Table, std::uint32_t Bucket,
                const std::string &Key, KeyEntry &Entry,
                std::shared_ptr<const KeptAnswer> Answer) {
  Entry.State_ = KeyState::Done;
  Table.AnswerBytes_ += Answer->Body_.size();
  Entry.Answer_ = std::move(Answer);
  Table.Answers_.emplace_back(Bucket, Key);
  while (Table.AnswerBytes_ > Table.Limits_.MaxAnswerBytes_ &&
         !Table.Answers_.empty()) {
    auto [OldBucket, OldKey] = std::move(Table.Answers_.front());
    Table.Answers_.pop_front();
    auto &Records = Table.Buckets_[OldBucket].Records_;
    auto Found = Records.find(OldKey);
    if (Found == Records.end() || !Found->second.Answer_)
      continue;
    dropAnswer(Table, Found->second);
    Found->second.State_ = KeyState::DoneNoAnswer;
    ++Table.Counters_.AnswersDropped_;
  }
}

namespace {

/// Returns false if the record has expired, and queues it again otherwise. The
/// record of a key without a creation time that was sent again meanwhile, or of
/// a key that still runs, is kept longer.
bool renew(KeyBucket &In, const std::string &Key, TimePoint Now) {
  auto Found = In.Records_.find(Key);
  if (Found == In.Records_.end())
    return true;
  KeyEntry &Entry = Found->second;
  if (Entry.State_ == KeyState::Running && Entry.KeepUntil_ <= Now)
    Entry.KeepUntil_ = Now + seconds(10);
  if (Entry.KeepUntil_ <= Now)
    return false;
  In.Expiry_.emplace_back(Entry.KeepUntil_, Key);
  return true;
}

} // namespace

void expireRecords(BucketTable &Table, std::uint32_t Bucket, TimePoint Now) {
  KeyBucket &In = Table.Buckets_[Bucket];
  while (!In.Expiry_.empty() && In.Expiry_.front().first <= Now) {
    std::string Key = std::move(In.Expiry_.front().second);
    In.Expiry_.pop_front();
    if (!renew(In, Key, Now))
      eraseRecord(Table, Bucket, Key);
  }
  // Removes the answers of erased records from the front of the queue.
  while (!Table.Answers_.empty()) {
    const auto &[FrontBucket, FrontKey] = Table.Answers_.front();
    if (Table.Buckets_[FrontBucket].Records_.contains(FrontKey))
      break;
    Table.Answers_.pop_front();
  }
}

} // namespace sycamore::keytable

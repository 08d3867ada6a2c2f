// Records of idempotency keys: creation, limits and expiry.
#include "KeyTable.h"

namespace sycamore::keytable {

Now advanceLatestTime(BucketTable &Table, Now At) {
  if (At.Monotonic_ >= Table.LatestTime_.Monotonic_)
    Table.LatestTime_ = At;
  return Table.LatestTime_;
}

KeyEntry &findOrCreateRecord(BucketTable &Table, std::uint32_t BucketIndex,
                             const std::string &Key, TimePoint Now) {
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  auto [Found, Inserted] = Bucket.Records_.try_emplace(Key);
  KeyEntry &Entry = Found->second;
  if (Inserted) {
    const KeyedLimits &Limits = Table.Limits_;
    Entry.ExpiresAt_ = Now + Limits.ResendWindow_ + 2 * Limits.ClockSkew_;
    Entry.RunningSince_ = Now;
    Bucket.ExpiryQueue_.emplace_back(Entry.ExpiresAt_, Key);
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

void eraseRecord(BucketTable &Table, std::uint32_t BucketIndex,
                 const std::string &Key) {
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  auto Found = Bucket.Records_.find(Key);
  if (Found == Bucket.Records_.end())
    return;
  dropAnswer(Table, Found->second);
  Bucket.Records_.erase(Found);
  --Table.Records_;
}

void storeAnswer(BucketTable &Table, std::uint32_t BucketIndex,
                 const std::string &Key, KeyEntry &Entry,
                 std::shared_ptr<const StoredAnswer> Answer) {
  Entry.State_ = KeyState::Done;
  Table.AnswerBytes_ += Answer->Body_.size();
  Entry.Answer_ = std::move(Answer);
  Table.Answers_.emplace_back(BucketIndex, Key);
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
bool requeueUnexpired(KeyBucket &Bucket, const std::string &Key,
                      TimePoint Now) {
  auto Found = Bucket.Records_.find(Key);
  if (Found == Bucket.Records_.end())
    return true;
  KeyEntry &Entry = Found->second;
  if (Entry.State_ == KeyState::Running && Entry.ExpiresAt_ <= Now)
    Entry.ExpiresAt_ = Now + seconds(10);
  if (Entry.ExpiresAt_ <= Now)
    return false;
  Bucket.ExpiryQueue_.emplace_back(Entry.ExpiresAt_, Key);
  return true;
}

} // namespace

void expireRecords(BucketTable &Table, std::uint32_t BucketIndex,
                   TimePoint Now) {
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  while (!Bucket.ExpiryQueue_.empty() &&
         Bucket.ExpiryQueue_.front().first <= Now) {
    std::string Key = std::move(Bucket.ExpiryQueue_.front().second);
    Bucket.ExpiryQueue_.pop_front();
    if (!requeueUnexpired(Bucket, Key, Now))
      eraseRecord(Table, BucketIndex, Key);
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

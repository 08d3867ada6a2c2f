// Handover of buckets and their records during a planned stop.
#include "CallMutation.h"
#include "KeyTable.h"
#include "sycamore/KeyedCalls.h"

#include <algorithm>

namespace sycamore {
namespace {

using namespace keytable;

std::int64_t unixMicroseconds(WallTime Time) {
  return Time.time_since_epoch().count();
}

wire::KeyRecord toRecord(const std::string &Key, const KeyEntry &Entry) {
  wire::KeyRecord Out;
  Out.set_key(Key);
  Out.set_request_hash(Entry.RequestHash_);
  bool Running = Entry.State_ == KeyState::Running ||
                 Entry.State_ == KeyState::RemoteRunning;
  Out.set_running(Running);
  if (Running)
    return Out;
  if (Entry.Answer_) {
    *Out.mutable_answer() = Entry.Answer_->Answer_;
    Out.set_body(Entry.Answer_->Body_);
    return Out;
  }
  bool Ran = Entry.State_ == KeyState::DoneNoAnswer;
  Out.mutable_answer()->set_run(Ran ? wire::RUN_DONE : wire::RUN_UNKNOWN);
  if (Ran)
    Out.mutable_answer()->set_error_kind("outcome-unknown");
  return Out;
}

/// Splits the records of a bucket into parts of a bounded size, at least one.
std::vector<wire::BucketHandover>
splitRecords(const BucketTable &Table, std::uint32_t BucketIndex, Now At) {
  const KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  std::vector<wire::BucketHandover> Parts(1);
  std::size_t Bytes = 0;
  for (const auto &[Key, Entry] : Bucket.Records_) {
    wire::KeyRecord Record = toRecord(Key, Entry);
    std::size_t Size = Record.ByteSizeLong();
    if (Bytes > 0 && Bytes + Size > Table.Limits_.HandoverPartBytes_) {
      Parts.emplace_back();
      Bytes = 0;
    }
    Bytes += Size;
    *Parts.back().add_records() = std::move(Record);
  }
  Duration Remaining =
      std::max(Bucket.OpaqueUnknownUntil_ - At.Monotonic_, Duration{0});
  for (std::uint32_t I = 0; I < Parts.size(); ++I) {
    Parts[I].set_bucket(BucketIndex);
    Parts[I].set_fence(Bucket.Fence_);
    Parts[I].set_unknown_before_unix_us(
        static_cast<std::uint64_t>(unixMicroseconds(Bucket.UnknownBefore_)));
    Parts[I].set_opaque_wait_us(static_cast<std::uint64_t>(Remaining.count()));
    Parts[I].set_part(I);
    Parts[I].set_parts(static_cast<std::uint32_t>(Parts.size()));
  }
  return Parts;
}

/// Merges a former holder's record of a key. A record of this daemon that does
/// not wait for the former holder's outcome is kept as it is.
void mergeRecord(BucketTable &Table, std::uint32_t BucketIndex,
                 const wire::KeyRecord &Record, bool IsUpdate, Now At) {
  const std::string &Key = Record.key();
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  auto Existing = Bucket.Records_.find(Key);
  bool KeepOwn = Existing != Bucket.Records_.end() &&
                 Existing->second.State_ != KeyState::RemoteRunning;
  if (KeepOwn)
    return;
  bool NotRun = !Record.running() && Record.answer().run() == wire::RUN_NOT_RUN;
  if (NotRun) {
    // Only an update of the former holder can report a key that ran there as
    // not run.
    if (IsUpdate && Existing != Bucket.Records_.end()) {
      Table.Events_.emplace_back(KeyResolved{Key});
      eraseRecord(Table, BucketIndex, Key);
    }
    return;
  }
  KeyEntry &Entry = findOrCreateRecord(Table, BucketIndex, Key, At.Monotonic_);
  Entry.RequestHash_ = Record.request_hash();
  Entry.HasCreationTime_ = keyCreationTime(Key).has_value();
  if (Record.running()) {
    Entry.State_ = KeyState::RemoteRunning;
    return;
  }
  Table.Events_.emplace_back(KeyResolved{Key});
  bool Ran = Record.answer().run() == wire::RUN_DONE;
  if (Ran && Record.answer().error_kind().empty())
    storeAnswer(Table, BucketIndex, Key, Entry,
                std::make_shared<StoredAnswer>(
                    StoredAnswer{Record.answer(), Record.body()}));
  else
    Entry.State_ = Ran ? KeyState::DoneNoAnswer : KeyState::Unknown;
}

void recordHandoverPart(KeyBucket &Bucket, const wire::BucketHandover &Part,
                        Now At) {
  if (!Bucket.Pending_ || Bucket.Pending_->Fence_ != Part.fence()) {
    if (Bucket.Pending_ && Bucket.Pending_->Fence_ > Part.fence())
      return;
    Bucket.Pending_.emplace();
    Bucket.Pending_->Fence_ = Part.fence();
    Bucket.Pending_->PartCount_ = Part.parts();
  }
  Bucket.Pending_->UnknownBefore_ = WallTime(
      Duration(static_cast<Duration::rep>(Part.unknown_before_unix_us())));
  Bucket.Pending_->OpaqueUnknownUntil_ =
      At.Monotonic_ +
      Duration(static_cast<Duration::rep>(Part.opaque_wait_us()));
  Bucket.Pending_->ReceivedParts_.insert(Part.part());
}

} // namespace

namespace keytable {

BucketActions updateSuccessor(const BucketTable &Table,
                              std::uint32_t BucketIndex, const std::string &Key,
                              const KeyEntry *Entry) {
  const KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  if (Bucket.Successor_.empty())
    return {};
  SendHandover Out{Bucket.Successor_, {}};
  Out.Handover_.set_bucket(BucketIndex);
  Out.Handover_.set_fence(Bucket.Fence_);
  Out.Handover_.set_update(true);
  wire::KeyRecord &Record = *Out.Handover_.add_records();
  if (Entry != nullptr) {
    Record = toRecord(Key, *Entry);
  } else {
    Record.set_key(Key);
    Record.mutable_answer()->set_run(wire::RUN_NOT_RUN);
  }
  return {std::move(Out)};
}

} // namespace keytable

BucketActions beginHandover(BucketTable &Table,
                            std::span<const std::string> AliveServers, Now At) {
  Table.Leaving_ = true;
  std::vector<std::string> Others;
  for (const std::string &Server : AliveServers)
    if (Server != Table.Self_)
      Others.push_back(Server);
  BucketActions Out;
  for (std::uint32_t BucketIndex = 0; BucketIndex < Table.Buckets_.size();
       ++BucketIndex) {
    KeyBucket &Bucket = Table.Buckets_[BucketIndex];
    if (Bucket.State_ != BucketState::Held)
      continue;
    // From here on no key is accepted, so the records sent are complete.
    Bucket.State_ = BucketState::HandingOver;
    Bucket.Successor_ = std::string(rendezvousOwner(BucketIndex, Others));
    if (Bucket.Successor_.empty())
      continue;
    for (wire::BucketHandover &Part : splitRecords(Table, BucketIndex, At))
      Out.emplace_back(SendHandover{Bucket.Successor_, std::move(Part)});
    ++Table.Counters_.HandoversSent_;
  }
  return Out;
}

void onHandover(BucketTable &Table, const wire::BucketHandover &Handover,
                Now At) {
  std::uint32_t BucketIndex = Handover.bucket();
  if (Table.Leaving_ || BucketIndex >= Table.Buckets_.size())
    return;
  for (const wire::KeyRecord &Record : Handover.records())
    if (bucketOf(Record.key(), Table.Limits_.BucketCount_) == BucketIndex)
      mergeRecord(Table, BucketIndex, Record, Handover.update(), At);
  KeyBucket &Bucket = Table.Buckets_[BucketIndex];
  bool Older = Handover.fence() <= Bucket.Fence_;
  bool Held = Bucket.State_ == BucketState::Held;
  if (!Handover.update() && !Older && !Held && Handover.parts() > 0)
    recordHandoverPart(Bucket, Handover, At);
}

} // namespace sycamore

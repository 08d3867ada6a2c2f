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
std::vector<wire::BucketHandover> toParts(const BucketTable &Table,
                                          std::uint32_t Bucket, Now At) {
  const KeyBucket &In = Table.Buckets_[Bucket];
  std::vector<wire::BucketHandover> Parts(1);
  std::size_t Bytes = 0;
  for (const auto &[Key, Entry] : In.Records_) {
    wire::KeyRecord Record = toRecord(Key, Entry);
    std::size_t Size = Record.ByteSizeLong();
    if (Bytes > 0 && Bytes + Size > Table.Limits_.HandoverPartBytes_) {
      Parts.emplace_back();
      Bytes = 0;
    }
    Bytes += Size;
    *Parts.back().add_records() = std::move(Record);
  }
  Duration Wait = std::max(In.OpaqueUnknownUntil_ - At.Monotonic_, Duration{0});
  for (std::uint32_t I = 0; I < Parts.size(); ++I) {
    Parts[I].set_bucket(Bucket);
    Parts[I].set_fence(In.Fence_);
    Parts[I].set_unknown_before_unix_us(
        static_cast<std::uint64_t>(unixMicroseconds(In.UnknownBefore_)));
    Parts[I].set_opaque_wait_us(static_cast<std::uint64_t>(Wait.count()));
    Parts[I].set_part(I);
    Parts[I].set_parts(static_cast<std::uint32_t>(Parts.size()));
  }
  return Parts;
}

/// Merges a former holder's record of a key. A record of this daemon that does
/// not wait for the former holder's outcome is kept as it is.
void mergeRecord(BucketTable &Table, std::uint32_t Bucket,
                 const wire::KeyRecord &Record, bool Update, Now At) {
  const std::string &Key = Record.key();
  KeyBucket &In = Table.Buckets_[Bucket];
  auto Known = In.Records_.find(Key);
  bool Settled = Known != In.Records_.end() &&
                 Known->second.State_ != KeyState::RemoteRunning;
  if (Settled)
    return;
  bool NotRun = !Record.running() && Record.answer().run() == wire::RUN_NOT_RUN;
  if (NotRun) {
    // Only an update of the former holder can report a key that ran there as
    // not run.
    if (Update && Known != In.Records_.end()) {
      Table.Events_.emplace_back(KeySettled{Key});
      eraseRecord(Table, Bucket, Key);
    }
    return;
  }
  KeyEntry &Entry = enterRecord(Table, Bucket, Key, At.Monotonic_);
  Entry.RequestHash_ = Record.request_hash();
  Entry.HasBirth_ = keyBirth(Key).has_value();
  if (Record.running()) {
    Entry.State_ = KeyState::RemoteRunning;
    return;
  }
  Table.Events_.emplace_back(KeySettled{Key});
  bool Ran = Record.answer().run() == wire::RUN_DONE;
  if (Ran && Record.answer().error_kind().empty())
    keepAnswer(Table, Bucket, Key, Entry,
               std::make_shared<KeptAnswer>(
                   KeptAnswer{Record.answer(), Record.body()}));
  else
    Entry.State_ = Ran ? KeyState::DoneNoAnswer : KeyState::Unknown;
}

void notePart(KeyBucket &In, const wire::BucketHandover &Part, Now At) {
  if (!In.Pending_ || In.Pending_->Fence_ != Part.fence()) {
    if (In.Pending_ && In.Pending_->Fence_ > Part.fence())
      return;
    In.Pending_.emplace();
    In.Pending_->Fence_ = Part.fence();
    In.Pending_->Parts_ = Part.parts();
  }
  In.Pending_->UnknownBefore_ = WallTime(
      Duration(static_cast<Duration::rep>(Part.unknown_before_unix_us())));
  In.Pending_->OpaqueUnknownUntil_ =
      At.Monotonic_ +
      Duration(static_cast<Duration::rep>(Part.opaque_wait_us()));
  In.Pending_->SeenParts_.insert(Part.part());
}

} // namespace

namespace keytable {

BucketActions updateSuccessor(const BucketTable &Table, std::uint32_t Bucket,
                              const std::string &Key, const KeyEntry *Entry) {
  const KeyBucket &In = Table.Buckets_[Bucket];
  if (In.Successor_.empty())
    return {};
  SendHandover Out{In.Successor_, {}};
  Out.Handover_.set_bucket(Bucket);
  Out.Handover_.set_fence(In.Fence_);
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
  for (std::uint32_t Bucket = 0; Bucket < Table.Buckets_.size(); ++Bucket) {
    KeyBucket &In = Table.Buckets_[Bucket];
    if (In.State_ != BucketState::Held)
      continue;
    // From here on no key is accepted, so the records sent are complete.
    In.State_ = BucketState::HandingOver;
    In.Successor_ = std::string(rendezvousOwner(Bucket, Others));
    if (In.Successor_.empty())
      continue;
    for (wire::BucketHandover &Part : toParts(Table, Bucket, At))
      Out.emplace_back(SendHandover{In.Successor_, std::move(Part)});
    ++Table.Counters_.HandoversSent_;
  }
  return Out;
}

void onHandover(BucketTable &Table, const wire::BucketHandover &Handover,
                Now At) {
  std::uint32_t Bucket = Handover.bucket();
  if (Table.Leaving_ || Bucket >= Table.Buckets_.size())
    return;
  for (const wire::KeyRecord &Record : Handover.records())
    if (bucketOf(Record.key(), Table.Limits_.BucketCount_) == Bucket)
      mergeRecord(Table, Bucket, Record, Handover.update(), At);
  KeyBucket &In = Table.Buckets_[Bucket];
  bool Older = Handover.fence() <= In.Fence_;
  bool Held = In.State_ == BucketState::Held;
  if (!Handover.update() && !Older && !Held && Handover.parts() > 0)
    notePart(In, Handover, At);
}

} // namespace sycamore

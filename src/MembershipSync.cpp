// Anti-entropy: compares table hashes with peers and repairs differences.
#include "MembershipInternal.h"

#include <algorithm>
#include <array>

namespace sycamore::membership {
namespace {

constexpr std::size_t BucketCount = 64;

/// Limits a message to about 6 KB.
constexpr int MaxRecordsPerMessage = 60;

/// Least time between two repairs with the same peer.
constexpr Duration MinRepairInterval = seconds(1);

/// Mean time between two table requests of a daemon that has no table yet.
constexpr Duration JoinInterval = seconds(1);

using BucketHashes = std::array<std::uint32_t, BucketCount>;

std::size_t bucketOf(std::string_view Server) {
  return hash64(Server) % BucketCount;
}

/// Suspicion is not part of the hash because it is resolved within seconds.
std::uint32_t serverHash(const wire::ServerRecord &Record) {
  bool Live = isLive(Record);
  std::uint64_t Seed = hash64(Live ? "live" : "gone", Record.incarnation());
  return static_cast<std::uint32_t>(
      hash64(Record.name(), Live ? Seed + Record.version() : Seed));
}

std::uint32_t targetHash(const wire::TargetRecord &Record) {
  std::uint64_t Seed = hash64(Record.name(), Record.incarnation());
  return static_cast<std::uint32_t>(
      hash64(Record.server(), Seed + Record.version()));
}

/// Whether a target counts in the table hash. Removed targets and those of
/// departed servers do not, because daemons expire them at different times.
bool isLiveTarget(const Membership &Members, const wire::TargetRecord &Record) {
  auto Owner = Members.Servers_.find(Record.server());
  return !Record.gone() && Owner != Members.Servers_.end() &&
         isLive(Owner->second.Record_);
}

BucketHashes serverBuckets(const Membership &Members) {
  BucketHashes Out{};
  for (const auto &[Name, Row] : Members.Servers_)
    if (isLive(Row.Record_))
      Out[bucketOf(Name)] ^= serverHash(Row.Record_);
  return Out;
}

BucketHashes targetBuckets(const Membership &Members) {
  BucketHashes Out{};
  for (const auto &[Key, Row] : Members.Targets_)
    if (isLiveTarget(Members, Row.Record_))
      Out[bucketOf(Key.second)] ^= targetHash(Row.Record_);
  return Out;
}

std::string toBytes(const BucketHashes &Buckets) {
  std::string Out;
  for (std::uint32_t Hash : Buckets)
    for (unsigned Shift = 0; Shift < 32; Shift += 8)
      Out += static_cast<char>((Hash >> Shift) & 255U);
  return Out;
}

std::uint64_t tableHash(const BucketHashes &Buckets) {
  return hash64(toBytes(Buckets));
}

/// Buckets whose hashes differ from those received; none if the peer omitted
/// the table because both copies are equal.
std::vector<std::uint32_t> differingBuckets(const BucketHashes &Own,
                                            const std::string &Received) {
  std::vector<std::uint32_t> Out;
  std::string Bytes = toBytes(Own);
  if (Received.size() != Bytes.size())
    return Out;
  for (std::uint32_t I = 0; I < BucketCount; ++I)
    if (Bytes.compare(4 * I, 4, Received, 4 * I, 4) != 0)
      Out.push_back(I);
  return Out;
}

using BucketIndexes = google::protobuf::RepeatedField<std::uint32_t>;

bool contains(const BucketIndexes &Buckets, std::size_t Bucket) {
  return std::find(Buckets.begin(), Buckets.end(), Bucket) != Buckets.end();
}

void addRecordHashes(const Membership &Members, wire::SyncDigest &Digest) {
  for (const auto &[Name, Row] : Members.Servers_)
    if (contains(Digest.differing_servers(), bucketOf(Name)))
      Digest.add_record_hashes(serverHash(Row.Record_));
  for (const auto &[Key, Row] : Members.Targets_)
    if (contains(Digest.differing_targets(), bucketOf(Key.second)))
      Digest.add_record_hashes(targetHash(Row.Record_));
}

/// Packs records into messages of limited size.
struct RecordSender {
  Membership &Members_;
  const std::string &To_;
  Outbox &Out_;
  wire::Gossip *Gossip_ = nullptr;

  wire::Gossip &nextGossip() {
    if (!Gossip_ || Gossip_->servers_size() + Gossip_->targets_size() >=
                        MaxRecordsPerMessage)
      Gossip_ = appendMessage(Members_, Out_, To_).mutable_gossip();
    ++Members_.Counters_.RecordsSent_;
    return *Gossip_;
  }
};

/// Sends the records of the differing buckets that the peer lacks.
void sendMissing(Membership &Members, const std::string &To,
                 const wire::SyncDigest &Digest, Outbox &Out) {
  std::set<std::uint32_t> PeerHashes(Digest.record_hashes().begin(),
                                     Digest.record_hashes().end());
  RecordSender Sender{Members, To, Out};
  for (const auto &[Name, Row] : Members.Servers_)
    if (contains(Digest.differing_servers(), bucketOf(Name)) &&
        !PeerHashes.contains(serverHash(Row.Record_)))
      addServer(Row, !isLive(Row.Record_), Sender.nextGossip());
  for (const auto &[Key, Row] : Members.Targets_)
    if (contains(Digest.differing_targets(), bucketOf(Key.second)) &&
        !PeerHashes.contains(targetHash(Row.Record_)))
      *Sender.nextGossip().add_targets() = Row.Record_;
}

void sendTable(Membership &Members, const std::string &To, Outbox &Out) {
  RecordSender Sender{Members, To, Out};
  for (const auto &[Name, Row] : Members.Servers_)
    if (isLive(Row.Record_))
      addServer(Row, false, Sender.nextGossip());
  for (const auto &[Key, Row] : Members.Targets_)
    if (isLiveTarget(Members, Row.Record_))
      *Sender.nextGossip().add_targets() = Row.Record_;
  sendDigest(Members, To, Out);
}

bool mayRepair(Membership &Members, const std::string &Peer) {
  TimePoint &Last = Members.LastRepairAt_[Peer];
  if (Last != TimePoint{} &&
      Members.Time_.Monotonic_ - Last < MinRepairInterval)
    return false;
  Last = Members.Time_.Monotonic_;
  ++Members.Counters_.Repairs_;
  return true;
}

void compareHashes(Membership &Members, const wire::PeerMessage &Message,
                   Outbox &Out) {
  const wire::SyncDigest &Digest = Message.sync_digest();
  Members.Joined_ = true;
  BucketHashes Servers = serverBuckets(Members);
  BucketHashes Targets = targetBuckets(Members);
  bool SameServers = tableHash(Servers) == Digest.servers_hash();
  bool SameTargets = tableHash(Targets) == Digest.targets_hash();
  if ((SameServers && SameTargets) || !mayRepair(Members, Message.sender()))
    return;
  wire::SyncDigest &Answer =
      *appendMessage(Members, Out, Message.sender()).mutable_sync_digest();
  if (!SameServers)
    Answer.set_server_buckets(toBytes(Servers));
  if (!SameTargets)
    Answer.set_target_buckets(toBytes(Targets));
}

void compareBuckets(const Membership &Members, const wire::PeerMessage &Message,
                    Outbox &Out) {
  const wire::SyncDigest &Digest = Message.sync_digest();
  std::vector<std::uint32_t> Servers =
      differingBuckets(serverBuckets(Members), Digest.server_buckets());
  std::vector<std::uint32_t> Targets =
      differingBuckets(targetBuckets(Members), Digest.target_buckets());
  if (Servers.empty() && Targets.empty())
    return;
  wire::SyncDigest &Answer =
      *appendMessage(Members, Out, Message.sender()).mutable_sync_digest();
  Answer.mutable_differing_servers()->Assign(Servers.begin(), Servers.end());
  Answer.mutable_differing_targets()->Assign(Targets.begin(), Targets.end());
  addRecordHashes(Members, Answer);
}

void exchangeRecords(Membership &Members, const wire::PeerMessage &Message,
                     Outbox &Out) {
  const wire::SyncDigest &Digest = Message.sync_digest();
  sendMissing(Members, Message.sender(), Digest, Out);
  if (Digest.reply())
    return;
  wire::SyncDigest &Answer =
      *appendMessage(Members, Out, Message.sender()).mutable_sync_digest();
  *Answer.mutable_differing_servers() = Digest.differing_servers();
  *Answer.mutable_differing_targets() = Digest.differing_targets();
  Answer.set_reply(true);
  addRecordHashes(Members, Answer);
}

/// Names of the other servers whose rows satisfy the predicate.
template <typename Predicate>
std::vector<std::string> otherServers(const Membership &Members,
                                      Predicate Accept) {
  std::vector<std::string> Out;
  for (const auto &[Name, Row] : Members.Servers_)
    if (!isOwn(Members, Name) && Accept(Row))
      Out.push_back(Name);
  return Out;
}

/// Whether a server that left may have restarted. Planned restarts take
/// seconds; after RestartWindow, a decommissioned host is no longer contacted.
bool mayHaveRestarted(const ServerRow &Row, TimePoint Time) {
  constexpr Duration RestartWindow = seconds(60);
  return Row.Record_.state() == wire::SERVER_LEFT &&
         Time - Row.StateSince_ < RestartWindow;
}

void sendDigestToRandom(const Membership &Members,
                        const std::vector<std::string> &Peers, Random &Rng,
                        Outbox &Out) {
  if (!Peers.empty())
    sendDigest(Members, Peers[randomIndex(Rng, Peers.size())], Out);
}

/// Returns false if no peer is known.
bool requestTable(Membership &Members, Random &Rng, Outbox &Out) {
  std::vector<std::string> Peers = Members.Overlay_.LocalNeighbours_;
  if (Peers.empty())
    Peers = otherServers(
        Members, [](const ServerRow &Row) { return isLive(Row.Record_); });
  if (Peers.empty())
    return false;
  const std::string &To = Peers[randomIndex(Rng, Peers.size())];
  addServer(ownRow(Members), false,
            *appendMessage(Members, Out, To).mutable_gossip());
  appendMessage(Members, Out, To).mutable_sync_digest()->set_want_all(true);
  return true;
}

} // namespace

void sendDigest(const Membership &Members, const std::string &To, Outbox &Out) {
  wire::SyncDigest &Digest =
      *appendMessage(Members, Out, To).mutable_sync_digest();
  Digest.set_servers_hash(tableHash(serverBuckets(Members)));
  Digest.set_targets_hash(tableHash(targetBuckets(Members)));
  for (wire::DepartedTarget &Departure : departuresOf(Members, To))
    *Digest.add_departed() = std::move(Departure);
}

void tickSync(Membership &Members, Random &Rng, Outbox &Out) {
  TimePoint Time = Members.Time_.Monotonic_;
  if (Time < Members.NextSync_)
    return;
  if (!Members.Joined_) {
    if (requestTable(Members, Rng, Out))
      Members.NextSync_ = Time + jittered(JoinInterval, Rng);
    return;
  }
  Members.NextSync_ = Time + jittered(Members.Config_.SyncInterval_, Rng);
  sendDigestToRandom(Members, Members.Overlay_.LocalNeighbours_, Rng, Out);
  sendDigestToRandom(Members, Members.Overlay_.RemoteReaders_, Rng, Out);
  // A server that was declared dead may only have been partitioned, and one
  // that left may have restarted without access to the store. Neither is
  // contacted by any other exchange.
  sendDigestToRandom(Members,
                     otherServers(Members,
                                  [Time](const ServerRow &Row) {
                                    return Row.Record_.state() ==
                                               wire::SERVER_DEAD ||
                                           mayHaveRestarted(Row, Time);
                                  }),
                     Rng, Out);
}

void receiveSync(Membership &Members, const wire::PeerMessage &Message,
                 Outbox &Out) {
  const wire::SyncDigest &Digest = Message.sync_digest();
  if (Digest.want_all())
    sendTable(Members, Message.sender(), Out);
  if (Digest.servers_hash() != 0)
    compareHashes(Members, Message, Out);
  if (!Digest.server_buckets().empty() || !Digest.target_buckets().empty())
    compareBuckets(Members, Message, Out);
  if (!Digest.differing_servers().empty() ||
      !Digest.differing_targets().empty())
    exchangeRecords(Members, Message, Out);
}

} // namespace sycamore::membership

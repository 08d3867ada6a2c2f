// Entry points of Membership: ticks, received messages, and changes to this
// server and its targets.
#include "MembershipInternal.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace sycamore {

using namespace membership;

namespace membership {

bool isLive(const wire::ServerRecord &Record) {
  return Record.state() != wire::SERVER_DEAD &&
         Record.state() != wire::SERVER_LEFT;
}

ServerRow &ownRow(Membership &Members) {
  return Members.Servers_.at(Members.Config_.Name_);
}

const ServerRow &ownRow(const Membership &Members) {
  return Members.Servers_.at(Members.Config_.Name_);
}

bool isOwn(const Membership &Members, std::string_view Name) {
  return Members.Config_.Name_ == Name;
}

std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

wire::PeerMessage &appendMessage(const Membership &Members, Outbox &Out,
                                 const std::string &To) {
  Out.push_back({To, {}, {}});
  wire::PeerMessage &Message = Out.back().Message_;
  Message.set_sender(Members.Config_.Name_);
  Message.set_incarnation(ownRow(Members).Record_.incarnation());
  return Message;
}

Duration jittered(Duration Span, Random &Rng) {
  return std::chrono::duration_cast<Duration>(Span *
                                              (0.75 + 0.5 * randomUnit(Rng)));
}

} // namespace membership

namespace {

/// Least time between two corrections to one sender.
constexpr Duration MinCorrectionInterval = seconds(1);

constexpr std::array<std::string_view, 9> EventNames = {
    "server-joined",   "server-alive",
    "server-suspect",  "server-leaving",
    "server-left",     "server-dead",
    "target-changed",  "own-incarnation-raised",
    "woke-from-freeze"};

std::uint64_t unixMicroseconds(Now Time) {
  return static_cast<std::uint64_t>(Time.Wall_.time_since_epoch().count());
}

/// Recovers from a freeze of this process, which shows as a gap between two
/// ticks. Both the records that others hold of this daemon and its own records
/// of them may be outdated, so pending probes are dropped, suspicion timeouts
/// restart and the own incarnation is raised.
void recoverIfFrozen(Membership &Members, Now Time, MembershipEvents &Events,
                     Outbox &Out) {
  Duration Gap = Time.Monotonic_ - Members.LastTick_;
  if (Gap <= Members.Config_.FreezeThreshold_)
    return;
  ++Members.Counters_.Freezes_;
  Members.LastTick_ = Time.Monotonic_;
  Members.ResumedAt_ = Time.Monotonic_;
  Members.NextSync_ = Time.Monotonic_;
  Members.Probes_.clear();
  Members.RelayedProbes_.clear();
  for (auto &[Name, Row] : Members.Servers_)
    if (Row.Record_.state() == wire::SERVER_SUSPECT)
      Row.StateSince_ = Time.Monotonic_;
  Events.push_back(
      {MembershipEventKind::WokeFromFreeze, Members.Config_.Name_});
  if (!Members.Config_.RefuteForTest_)
    return;
  MergeContext Context{Time, "", Events};
  raiseOwnIncarnation(Members, ownRow(Members).Record_.incarnation(), false,
                      Context);
  sendOwnRecords(Members, Out);
}

/// If the sender is recorded as departed, sends it that record, so that it
/// refutes. If the sender is unknown, sends it a digest, so that it sends its
/// records.
void correctSender(Membership &Members, const wire::PeerMessage &Message,
                   Outbox &Out) {
  const std::string &Sender = Message.sender();
  auto Found = Members.Servers_.find(Sender);
  bool Unknown = Found == Members.Servers_.end();
  bool Departed = !Unknown && !isLive(Found->second.Record_) &&
                  Found->second.Record_.incarnation() >= Message.incarnation();
  if (!Unknown && !Departed)
    return;
  TimePoint &Last = Members.LastCorrectionAt_[Sender];
  if (Last != TimePoint{} &&
      Members.Time_.Monotonic_ - Last < MinCorrectionInterval)
    return;
  Last = Members.Time_.Monotonic_;
  if (Unknown)
    sendDigest(Members, Sender, Out);
  else
    addServer(Found->second, true,
              *appendMessage(Members, Out, Sender).mutable_gossip());
}

void receiveGossip(Membership &Members, const wire::PeerMessage &Message,
                   MergeContext &Context, Outbox &Out) {
  std::uint64_t Before = ownRow(Members).Record_.incarnation();
  const wire::Gossip &Gossip = Message.gossip();
  for (const wire::ServerRecord &Record : Gossip.servers())
    mergeServer(Members, Record, Context);
  for (const wire::TargetRecord &Record : Gossip.targets())
    mergeTarget(Members, Record, Context);
  for (const wire::DepartedTarget &Departure : Gossip.departed())
    mergeDeparture(Members, Departure, Context);
  Members.Counters_.RecordsReceived_ +=
      Gossip.servers_size() + Gossip.targets_size() + Gossip.departed_size();
  if (ownRow(Members).Record_.incarnation() != Before)
    sendOwnRecords(Members, Out);
}

void changeOwnTarget(Membership &Members, const std::string &Name,
                     const wire::TargetRecord &Updated, Now Time) {
  TargetRow &Row = Members.Targets_[{Name, Members.Config_.Name_}];
  std::uint64_t Version = Row.Record_.version() + 1;
  Row.Record_ = Updated;
  Row.Record_.set_name(Name);
  Row.Record_.set_server(Members.Config_.Name_);
  Row.Record_.set_incarnation(ownRow(Members).Record_.incarnation());
  Row.Record_.set_version(Version);
  Row.LearnedAt_ = Time.Monotonic_;
  enqueue(Members, {GossipKind::Target, Name, Members.Config_.Name_}, "");
}

TargetRow *findOwnTarget(Membership &Members, std::string_view Name) {
  auto Found =
      Members.Targets_.find({std::string(Name), Members.Config_.Name_});
  return Found == Members.Targets_.end() ? nullptr : &Found->second;
}

void changeOwnState(Membership &Members, wire::ServerState State, Now Time) {
  ServerRow &Own = ownRow(Members);
  Own.Record_.set_state(State);
  Own.Record_.set_version(Own.Record_.version() + 1);
  Own.StateSince_ = Time.Monotonic_;
  enqueue(Members, {GossipKind::Server, Members.Config_.Name_, ""}, "");
}

} // namespace

std::string_view membershipEventName(MembershipEventKind Kind) {
  return EventNames[static_cast<std::size_t>(Kind)];
}

Membership makeMembership(MembershipConfig Config, Now Time) {
  Membership Out;
  Out.Config_ = std::move(Config);
  ServerRow Own;
  Own.Record_.set_name(Out.Config_.Name_);
  Own.Record_.set_data_centre(Out.Config_.DataCentre_);
  Own.Record_.set_peer_address(Out.Config_.PeerAddress_);
  Own.Record_.set_public_key(Out.Config_.PublicKey_);
  Own.Record_.set_process(Out.Config_.Process_);
  Own.Record_.set_link_mbps(static_cast<std::uint32_t>(Out.Config_.LinkMbps_));
  Own.Record_.set_incarnation(unixMicroseconds(Time));
  Own.Record_.set_started(unixMicroseconds(Time));
  Own.Record_.set_version(1);
  Own.RingHash_ = hash64(Out.Config_.Name_);
  Own.StateSince_ = Time.Monotonic_;
  Own.LastHeartbeat_ = Time.Monotonic_;
  Out.Servers_.emplace(Out.Config_.Name_, std::move(Own));
  Out.Time_ = Time;
  for (TimePoint *Due : {&Out.LastTick_, &Out.NextGossip_, &Out.NextProbe_,
                         &Out.NextSync_, &Out.NextScan_})
    *Due = Time.Monotonic_;
  Out.ResumedAt_ = Time.Monotonic_ - seconds(60);
  Out.HeardAt_ = Time.Monotonic_;
  Out.ReaderContact_.NextProbe_ = Time.Monotonic_ + Out.Config_.ProbeInterval_;
  enqueue(Out, {GossipKind::Server, Out.Config_.Name_, ""}, "");
  refreshOverlay(Out);
  return Out;
}

MembershipEvents tickMembership(Membership &Members, Now Time, Random &Rng,
                                Outbox &Out) {
  MembershipEvents Events;
  Members.Time_ = Time;
  recoverIfFrozen(Members, Time, Events, Out);
  Members.LastTick_ = Time.Monotonic_;
  MergeContext Context{Time, "", Events};
  scanTables(Members, Context);
  tickProbes(Members, Context, Rng, Out);
  tickGossip(Members, Rng, Out);
  tickHeartbeats(Members, Out);
  tickSync(Members, Rng, Out);
  return Events;
}

MembershipEvents receiveMembership(Membership &Members,
                                   const wire::PeerMessage &Message, Now Time,
                                   Random &Rng, Outbox &Out) {
  MembershipEvents Events;
  if (Message.sender().empty() || isOwn(Members, Message.sender()))
    return Events;
  Members.Time_ = Time;
  Members.HeardAt_ = Time.Monotonic_;
  recordReaderHeard(Members, Message.sender(), Rng);
  recoverIfFrozen(Members, Time, Events, Out);
  MergeContext Context{Time, Message.sender(), Events};
  switch (Message.body_case()) {
  case wire::PeerMessage::kProbe:
    receiveProbe(Members, Message, Out);
    break;
  case wire::PeerMessage::kProbeAck:
    receiveProbeAck(Members, Message, Out);
    break;
  case wire::PeerMessage::kIndirectProbe:
    receiveIndirectProbe(Members, Message, Out);
    break;
  case wire::PeerMessage::kGossip:
    receiveGossip(Members, Message, Context, Out);
    break;
  case wire::PeerMessage::kSyncDigest:
    receiveHeartbeats(Members, Message.sync_digest());
    for (const wire::DepartedTarget &Departure :
         Message.sync_digest().departed())
      mergeDeparture(Members, Departure, Context);
    receiveSync(Members, Message, Out);
    break;
  default:
    break;
  }
  correctSender(Members, Message, Out);
  return Events;
}

void stampSender(const Membership &Members, Outbox &Out) {
  for (OutgoingMessage &Item : Out) {
    Item.Message_.set_sender(Members.Config_.Name_);
    Item.Message_.set_incarnation(ownRow(Members).Record_.incarnation());
  }
}

void setOwnTicket(Membership &Members, std::uint64_t Number) {
  ServerRow &Own = ownRow(Members);
  Own.Ticket_ = Number;
  Own.HighestTicket_ = std::max(Own.HighestTicket_, Number);
}

void setOwnRejectedTicket(Membership &Members, std::uint64_t Number) {
  ownRow(Members).RejectedTicket_ = Number;
}

void setOwnBuckets(Membership &Members,
                   std::span<const wire::HeldBucket> Buckets) {
  wire::ServerRecord &Record = ownRow(Members).Record_;
  auto Same = [](const wire::HeldBucket &Left, const wire::HeldBucket &Right) {
    return Left.bucket() == Right.bucket() && Left.fence() == Right.fence();
  };
  if (std::equal(Buckets.begin(), Buckets.end(), Record.buckets().begin(),
                 Record.buckets().end(), Same))
    return;
  Record.clear_buckets();
  for (const wire::HeldBucket &Bucket : Buckets)
    *Record.add_buckets() = Bucket;
  Record.set_version(Record.version() + 1);
  enqueue(Members, {GossipKind::Server, Members.Config_.Name_, ""}, "");
}

void announceTarget(Membership &Members, std::string_view Name,
                    std::string_view Service, std::uint32_t Slots, Now Time,
                    std::string_view SoftwareVersion) {
  if (ownRow(Members).Record_.state() != wire::SERVER_ALIVE)
    return;
  if (const TargetRow *Row = findOwnTarget(Members, Name)) {
    const wire::TargetRecord &Record = Row->Record_;
    if (!Record.gone() && !Record.leaving() && Record.service() == Service &&
        Record.slots() == Slots && Record.software_version() == SoftwareVersion)
      return;
  }
  wire::TargetRecord Updated;
  Updated.set_service(std::string(Service));
  Updated.set_slots(Slots);
  Updated.set_software_version(std::string(SoftwareVersion));
  changeOwnTarget(Members, std::string(Name), Updated, Time);
}

void withdrawTarget(Membership &Members, std::string_view Name, Now Time) {
  const TargetRow *Row = findOwnTarget(Members, Name);
  if (!Row || Row->Record_.gone())
    return;
  wire::TargetRecord Updated;
  Updated.set_gone(true);
  changeOwnTarget(Members, std::string(Name), Updated, Time);
}

void markTargetLeaving(Membership &Members, std::string_view Name, Now Time) {
  const TargetRow *Row = findOwnTarget(Members, Name);
  if (!Row || Row->Record_.gone() || Row->Record_.leaving())
    return;
  wire::TargetRecord Updated = Row->Record_;
  Updated.set_leaving(true);
  changeOwnTarget(Members, std::string(Name), Updated, Time);
}

void startLeaving(Membership &Members, Now Time, Outbox &Out) {
  if (ownRow(Members).Record_.state() != wire::SERVER_ALIVE)
    return;
  Members.Time_ = Time;
  std::vector<std::string> Names;
  for (const auto &[Key, Row] : Members.Targets_)
    if (isOwn(Members, Key.second))
      Names.push_back(Key.first);
  for (const std::string &Name : Names)
    markTargetLeaving(Members, Name, Time);
  changeOwnState(Members, wire::SERVER_LEAVING, Time);
  sendOwnRecords(Members, Out);
}

void finishLeaving(Membership &Members, Now Time, Outbox &Out) {
  if (ownRow(Members).Record_.state() == wire::SERVER_LEFT)
    return;
  Members.Time_ = Time;
  changeOwnState(Members, wire::SERVER_LEFT, Time);
  sendOwnRecords(Members, Out);
}

void addSeeds(Membership &Members, std::span<const wire::ServerRecord> Seeds,
              Now Time) {
  MembershipEvents Events;
  MergeContext Context{Time, "", Events};
  for (const wire::ServerRecord &Seed : Seeds) {
    if (Seed.name().empty() || Members.Servers_.contains(Seed.name()))
      continue;
    wire::ServerRecord Record = Seed;
    Record.set_state(wire::SERVER_ALIVE);
    Record.set_version(0);
    Record.clear_buckets();
    mergeServer(Members, Record, Context);
    Members.GossipQueue_.erase({GossipKind::Server, Seed.name(), ""});
  }
  refreshOverlay(Members);
}

} // namespace sycamore

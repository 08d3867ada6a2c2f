// Queue of changed records, and the gossip rounds that send them.
#include "MembershipInternal.h"

#include <algorithm>
#include <bit>

namespace sycamore::membership {
namespace {

/// Limits a message to about 6 KB.
constexpr int MaxRecordsPerMessage = 60;

/// Sends saved for each duplicate of a queued record that is received.
constexpr std::uint32_t SendsSavedPerDuplicate = 2;

/// Gossip rounds for each message to another data centre. Records of several
/// rounds share one message, which saves envelopes.
constexpr std::uint32_t RoundsPerRemoteMessage = 3;

std::uint32_t ceilLog2(std::size_t Count) {
  return Count < 2 ? 1 : static_cast<std::uint32_t>(std::bit_width(Count - 1));
}

std::uint32_t remainingSends(std::uint32_t Limit, std::size_t Remote) {
  auto Used = static_cast<std::uint32_t>(Remote);
  return Limit > Used + 1 ? Limit - Used : 1;
}

bool originatesLocally(const Membership &Members, const GossipKey &Key) {
  const std::string &Server = Key.Owner_.empty() ? Key.Name_ : Key.Owner_;
  auto Found = Members.Servers_.find(Server);
  return Key.Kind_ == GossipKind::Quarantine ||
         (Found != Members.Servers_.end() &&
          Found->second.Record_.data_centre() == Members.Config_.DataCentre_);
}

/// Sets how often and to which data centres an item is sent. A reader sends
/// each change in its own data centre once to one reader of every other data
/// centre. An item is sent at most log2(servers) + GossipExtraSends_ times in
/// all, and inside the data centre log2 of its size + GossipExtraSends_ times.
void limitSends(const Membership &Members, const GossipKey &Key,
                GossipItem &Item) {
  const Overlay &Links = Members.Overlay_;
  Item.PendingDataCentres_.clear();
  if (!Links.RemoteReaders_.empty() && originatesLocally(Members, Key))
    for (const auto &[DataCentre, Names] : Links.Readers_)
      if (DataCentre != Members.Config_.DataCentre_ && !Names.empty())
        Item.PendingDataCentres_.insert(DataCentre);
  std::uint32_t Extra = Members.Config_.GossipExtraSends_;
  std::uint32_t Local = ceilLog2(Links.Ring_.size()) + Extra;
  std::uint32_t Total = ceilLog2(Members.Servers_.size()) + Extra;
  Item.SendsLeft_ =
      std::min(Local, remainingSends(Total, Item.PendingDataCentres_.size()));
}

bool addItem(Membership &Members, const GossipKey &Key, const GossipItem &Item,
             wire::Gossip &Out) {
  if (Key.Kind_ == GossipKind::Quarantine) {
    *Out.add_quarantine() = Item.Quarantine_;
    return true;
  }
  if (Key.Kind_ == GossipKind::Departure) {
    auto Found = Members.Departures_.find({Key.Owner_, Key.Name_});
    if (Found == Members.Departures_.end())
      return false;
    wire::DepartedTarget &Departure = *Out.add_departed();
    Departure.set_server(Key.Owner_);
    Departure.set_name(Key.Name_);
    Departure.set_started_unix_ms(Found->second.StartedUnixMs_);
    return true;
  }
  if (Key.Kind_ == GossipKind::Target) {
    auto Found = Members.Targets_.find({Key.Name_, Key.Owner_});
    if (Found == Members.Targets_.end())
      return false;
    *Out.add_targets() = Found->second.Record_;
    return true;
  }
  auto Found = Members.Servers_.find(Key.Name_);
  if (Found == Members.Servers_.end())
    return false;
  addServer(Found->second, true, Out);
  return true;
}

int recordsIn(const wire::Gossip &Gossip) {
  return Gossip.servers_size() + Gossip.targets_size() +
         Gossip.quarantine_size() + Gossip.departed_size();
}

void sendGossip(Membership &Members, const std::string &To,
                wire::Gossip &&Gossip, Outbox &Out) {
  if (recordsIn(Gossip) == 0)
    return;
  Members.Counters_.RecordsSent_ += recordsIn(Gossip);
  *appendMessage(Members, Out, To).mutable_gossip() = std::move(Gossip);
}

void gossipToNeighbour(Membership &Members, const std::string &To,
                       Outbox &Out) {
  wire::Gossip Gossip;
  for (auto &[Key, Item] : Members.GossipQueue_) {
    if (recordsIn(Gossip) >= MaxRecordsPerMessage)
      break;
    if (Item.SendsLeft_ == 0 || !Item.KnownBy_.insert(To).second)
      continue;
    addItem(Members, Key, Item, Gossip);
    // Once every neighbour has the item, its remaining sends are dropped.
    bool Pending =
        Item.KnownBy_.size() < Members.Overlay_.LocalNeighbours_.size();
    Item.SendsLeft_ = Pending ? Item.SendsLeft_ - 1 : 0;
  }
  sendGossip(Members, To, std::move(Gossip), Out);
}

void gossipToDataCentre(Membership &Members, const std::string &DataCentre,
                        const std::vector<std::string> &Readers, Random &Rng,
                        Outbox &Out) {
  wire::Gossip Gossip;
  for (auto &[Key, Item] : Members.GossipQueue_)
    if (recordsIn(Gossip) < MaxRecordsPerMessage &&
        Item.PendingDataCentres_.erase(DataCentre) > 0)
      addItem(Members, Key, Item, Gossip);
  sendGossip(Members, Readers[randomIndex(Rng, Readers.size())],
             std::move(Gossip), Out);
}

} // namespace

void enqueue(Membership &Members, const GossipKey &Key,
             const std::string &Source) {
  GossipItem &Item = Members.GossipQueue_[Key];
  Item.KnownBy_.clear();
  if (!Source.empty())
    Item.KnownBy_.insert(Source);
  limitSends(Members, Key, Item);
}

void noteDuplicate(Membership &Members, const GossipKey &Key,
                   const std::string &Source) {
  auto Found = Members.GossipQueue_.find(Key);
  if (Found == Members.GossipQueue_.end())
    return;
  GossipItem &Item = Found->second;
  Item.KnownBy_.insert(Source);
  Item.SendsLeft_ -= std::min(SendsSavedPerDuplicate, Item.SendsLeft_);
}

void tickGossip(Membership &Members, Random &Rng, Outbox &Out) {
  if (Members.Time_.Monotonic_ < Members.NextGossip_)
    return;
  Members.NextGossip_ =
      Members.Time_.Monotonic_ + Members.Config_.GossipInterval_;
  if (Members.GossipQueue_.empty())
    return;
  std::vector<std::string> Peers = Members.Overlay_.LocalNeighbours_;
  for (std::uint32_t I = 0; I < Members.Config_.GossipFanout_ && !Peers.empty();
       ++I) {
    std::size_t Chosen = randomIndex(Rng, Peers.size());
    gossipToNeighbour(Members, Peers[Chosen], Out);
    Peers.erase(Peers.begin() + static_cast<std::ptrdiff_t>(Chosen));
  }
  bool RemoteDue = Members.GossipRound_++ % RoundsPerRemoteMessage == 0;
  if (RemoteDue && !Members.Overlay_.RemoteReaders_.empty())
    for (const auto &[DataCentre, Readers] : Members.Overlay_.Readers_)
      if (DataCentre != Members.Config_.DataCentre_ && !Readers.empty())
        gossipToDataCentre(Members, DataCentre, Readers, Rng, Out);
  std::erase_if(Members.GossipQueue_, [](const auto &Entry) {
    return Entry.second.SendsLeft_ == 0 &&
           Entry.second.PendingDataCentres_.empty();
  });
}

void addServer(const ServerRow &Row, bool Short, wire::Gossip &Out) {
  wire::ServerRecord &Record = *Out.add_servers();
  wire::ServerState State = Row.Record_.state();
  if (!Short || State == wire::SERVER_ALIVE || State == wire::SERVER_LEAVING) {
    Record = Row.Record_;
    return;
  }
  Record.set_name(Row.Record_.name());
  Record.set_incarnation(Row.Record_.incarnation());
  Record.set_state(State);
}

void sendOwnRecords(Membership &Members, Outbox &Out) {
  wire::Gossip Gossip;
  *Gossip.add_servers() = ownRow(Members).Record_;
  for (const auto &[Key, Row] : Members.Targets_)
    if (isOwn(Members, Key.second))
      *Gossip.add_targets() = Row.Record_;
  for (const std::string &Neighbour : neighbours(Members)) {
    wire::Gossip Copy = Gossip;
    sendGossip(Members, Neighbour, std::move(Copy), Out);
  }
}

} // namespace sycamore::membership

namespace sycamore {

void gossipQuarantine(Membership &Members,
                      std::span<const wire::QuarantineRecord> Records) {
  for (const wire::QuarantineRecord &Each : Records) {
    GossipKey Key{GossipKind::Quarantine, std::to_string(Each.fingerprint()),
                  ""};
    membership::enqueue(Members, Key, "");
    Members.GossipQueue_[Key].Quarantine_ = Each;
  }
}

} // namespace sycamore

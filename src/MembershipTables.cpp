// Merges records into the tables, handles their timeouts and derives the
// overlay.
#include "MembershipInternal.h"

#include <algorithm>
#include <array>

namespace sycamore::membership {
namespace {

/// Least time between two refreshes of the overlay.
constexpr Duration OverlayInterval = milliseconds(100);

/// Most time between two table scans for expired records.
constexpr Duration MaxScanInterval = seconds(60);

/// Within one incarnation, a state of higher rank replaces one of lower rank.
/// Only the server itself can return to a lower rank, by a higher incarnation.
int stateRank(wire::ServerState State) {
  constexpr std::array<int, 5> Ranks = {0, 2, 1, 4, 3};
  auto Index = static_cast<std::size_t>(State);
  return Index < Ranks.size() ? Ranks[Index] : 0;
}

MembershipEventKind stateEvent(wire::ServerState State) {
  switch (State) {
  case wire::SERVER_SUSPECT:
    return MembershipEventKind::ServerSuspect;
  case wire::SERVER_LEAVING:
    return MembershipEventKind::ServerLeaving;
  case wire::SERVER_LEFT:
    return MembershipEventKind::ServerLeft;
  case wire::SERVER_DEAD:
    return MembershipEventKind::ServerDead;
  default:
    return MembershipEventKind::ServerAlive;
  }
}

void publishServerChange(Membership &Members, const std::string &Name,
                         MembershipEventKind Kind, MergeContext &Context) {
  if (Kind == MembershipEventKind::ServerSuspect)
    scheduleScan(Members, Members.Config_.SuspicionTimeout_);
  if (Kind == MembershipEventKind::ServerDead ||
      Kind == MembershipEventKind::ServerLeft)
    scheduleScan(Members, Members.Config_.DepartedRetention_);
  Context.Events_.push_back({Kind, Name});
  enqueue(Members, {GossipKind::Server, Name, ""}, Context.Source_);
}

/// A short record (of a suspect or departed server) carries no address.
bool isShort(const wire::ServerRecord &Record) {
  return Record.data_centre().empty();
}

void eraseTargetsBelowIncarnation(Membership &Members,
                                  const std::string &Server,
                                  std::uint64_t Incarnation) {
  std::erase_if(Members.Targets_, [&](const auto &Item) {
    return Item.first.second == Server &&
           Item.second.Record_.incarnation() < Incarnation;
  });
}

void mergeOwnServer(Membership &Members, const wire::ServerRecord &Record,
                    MergeContext &Context) {
  const wire::ServerRecord &Own = ownRow(Members).Record_;
  if (!Members.Config_.RefuteForTest_)
    return;
  bool EarlierProcess = Record.incarnation() > Own.incarnation() ||
                        (Record.incarnation() == Own.incarnation() &&
                         Record.version() > Own.version());
  bool NeedsRefutation = Record.incarnation() == Own.incarnation() &&
                         stateRank(Record.state()) > stateRank(Own.state());
  if (EarlierProcess || NeedsRefutation)
    raiseOwnIncarnation(Members, Record.incarnation(), EarlierProcess, Context);
}

void addNewServer(Membership &Members, const wire::ServerRecord &Record,
                  MergeContext &Context) {
  // A record of a departed server is relevant only where the server is known.
  // Elsewhere it would circulate for ever between tables that expire it at
  // different times.
  if (isShort(Record) || !isLive(Record)) {
    ++Members.Counters_.RecordsIgnored_;
    return;
  }
  ServerRow Row;
  Row.Record_ = Record;
  Row.RingHash_ = hash64(Record.name());
  Row.StateSince_ = Context.Time_.Monotonic_;
  Members.Servers_.emplace(Record.name(), std::move(Row));
  Members.OverlayStale_ = true;
  publishServerChange(Members, Record.name(), MembershipEventKind::ServerJoined,
                      Context);
}

/// Applies a record with a higher incarnation. It replaces the whole record,
/// except for the fields that a short record does not carry.
void replaceServer(Membership &Members, ServerRow &Row,
                   const wire::ServerRecord &Record, MergeContext &Context) {
  const std::string &Name = Record.name();
  if (isShort(Record)) {
    Row.Record_.set_incarnation(Record.incarnation());
    Row.Record_.set_state(Record.state());
    // The remaining fields stem from an older incarnation. Version 0 lets any
    // full record replace them.
    Row.Record_.set_version(0);
  } else {
    if (Record.started() != Row.Record_.started()) {
      Row.LastHeartbeat_.reset();
      Row.Ticket_ = Row.RejectedTicket_ = 0;
      eraseTargetsBelowIncarnation(Members, Name, Record.started());
    }
    Row.Record_ = Record;
  }
  Row.StateSince_ = Context.Time_.Monotonic_;
  Members.OverlayStale_ = true;
  publishServerChange(Members, Name, stateEvent(Record.state()), Context);
}

/// Merges a record of the same incarnation: state by rank, the other fields by
/// version.
void updateServer(Membership &Members, ServerRow &Row,
                  const wire::ServerRecord &Record, MergeContext &Context) {
  wire::ServerState Before = Row.Record_.state();
  bool HigherRank = stateRank(Record.state()) > stateRank(Before);
  bool NewerVersion =
      Record.version() > Row.Record_.version() && !isShort(Record);
  if (!HigherRank && !NewerVersion) {
    ++Members.Counters_.RecordsIgnored_;
    if (Record.state() == Before &&
        (isShort(Record) || Record.version() == Row.Record_.version()))
      noteDuplicate(Members, {GossipKind::Server, Record.name(), ""},
                    Context.Source_);
    return;
  }
  if (NewerVersion)
    Row.Record_ = Record;
  Row.Record_.set_state(HigherRank ? Record.state() : Before);
  if (HigherRank) {
    Row.StateSince_ = Context.Time_.Monotonic_;
    Members.OverlayStale_ = true;
  }
  publishServerChange(Members, Record.name(), stateEvent(Row.Record_.state()),
                      Context);
}

/// Only the owner changes its targets, so a record of an own target that is
/// newer or unknown here can only stem from an earlier process of this name.
void mergeOwnTarget(Membership &Members, const wire::TargetRecord &Record,
                    MergeContext &Context) {
  const wire::ServerRecord &Own = ownRow(Members).Record_;
  if (Record.incarnation() < Own.started())
    return;
  auto Found = Members.Targets_.find({Record.name(), Record.server()});
  bool Known = Found != Members.Targets_.end() &&
               std::pair(Found->second.Record_.incarnation(),
                         Found->second.Record_.version()) >=
                   std::pair(Record.incarnation(), Record.version());
  if (!Known)
    raiseOwnIncarnation(Members,
                        std::max(Own.incarnation(), Record.incarnation()), true,
                        Context);
}

void expireServers(Membership &Members, MergeContext &Context) {
  TimePoint Time = Context.Time_.Monotonic_;
  for (auto Item = Members.Servers_.begin(); Item != Members.Servers_.end();) {
    ServerRow &Row = Item->second;
    Duration Age = Time - Row.StateSince_;
    bool Suspect = Row.Record_.state() == wire::SERVER_SUSPECT;
    if (Suspect && Age < Members.Config_.SuspicionTimeout_)
      scheduleScan(Members, Members.Config_.SuspicionTimeout_ - Age);
    if (Suspect && Age >= Members.Config_.SuspicionTimeout_) {
      Row.Record_.set_state(wire::SERVER_DEAD);
      Row.StateSince_ = Time;
      Members.OverlayStale_ = true;
      ++Members.Counters_.Deaths_;
      publishServerChange(Members, Item->first, MembershipEventKind::ServerDead,
                          Context);
    }
    bool Expired = !isLive(Row.Record_) && !isOwn(Members, Item->first) &&
                   Time - Row.StateSince_ >= Members.Config_.DepartedRetention_;
    if (!Expired) {
      ++Item;
      continue;
    }
    eraseTargetsBelowIncarnation(Members, Item->first, UINT64_MAX);
    Members.LastCorrectionAt_.erase(Item->first);
    Members.LastRepairAt_.erase(Item->first);
    Item = Members.Servers_.erase(Item);
    Members.OverlayStale_ = true;
  }
}

void expireTargets(Membership &Members, TimePoint Time) {
  std::erase_if(Members.Targets_, [&](const auto &Item) {
    const TargetRow &Row = Item.second;
    return Row.Record_.gone() && !isOwn(Members, Item.first.second) &&
           Time - Row.LearnedAt_ >= Members.Config_.DepartedRetention_;
  });
}

} // namespace

void raiseOwnIncarnation(Membership &Members, std::uint64_t Above,
                         bool EarlierProcess, MergeContext &Context) {
  ServerRow &Own = ownRow(Members);
  auto Wall = static_cast<std::uint64_t>(
      Context.Time_.Wall_.time_since_epoch().count());
  std::uint64_t Raised = std::max(Above + 1, Wall);
  Own.Record_.set_incarnation(Raised);
  Own.Record_.set_version(Own.Record_.version() + 1);
  ++Members.Counters_.Refutations_;
  Context.Events_.push_back(
      {MembershipEventKind::OwnIncarnationRaised, Members.Config_.Name_});
  enqueue(Members, {GossipKind::Server, Members.Config_.Name_, ""}, "");
  if (!EarlierProcess)
    return;
  Own.Record_.set_started(Raised);
  for (auto &[Key, Row] : Members.Targets_) {
    if (!isOwn(Members, Key.second))
      continue;
    Row.Record_.set_incarnation(Raised);
    enqueue(Members, {GossipKind::Target, Key.first, Key.second}, "");
  }
}

void mergeServer(Membership &Members, const wire::ServerRecord &Record,
                 MergeContext &Context) {
  if (Record.name().empty())
    return;
  if (isOwn(Members, Record.name())) {
    mergeOwnServer(Members, Record, Context);
    return;
  }
  auto Found = Members.Servers_.find(Record.name());
  if (Found == Members.Servers_.end()) {
    addNewServer(Members, Record, Context);
    return;
  }
  ServerRow &Row = Found->second;
  if (Record.incarnation() > Row.Record_.incarnation())
    replaceServer(Members, Row, Record, Context);
  else if (Record.incarnation() == Row.Record_.incarnation())
    updateServer(Members, Row, Record, Context);
  else
    ++Members.Counters_.RecordsIgnored_;
}

void mergeTarget(Membership &Members, const wire::TargetRecord &Record,
                 MergeContext &Context) {
  if (Record.name().empty() || Record.server().empty())
    return;
  if (isOwn(Members, Record.server()) && Members.Config_.OwnerOnlyForTest_) {
    mergeOwnTarget(Members, Record, Context);
    return;
  }
  auto Owner = Members.Servers_.find(Record.server());
  TargetKey Key{Record.name(), Record.server()};
  auto Found = Members.Targets_.find(Key);
  bool Ignored = Owner == Members.Servers_.end() ||
                 (Record.incarnation() < Owner->second.Record_.started() &&
                  Members.Config_.OwnerOnlyForTest_) ||
                 (Record.gone() && Found == Members.Targets_.end());
  auto Order = std::pair(Record.incarnation(), Record.version());
  if (!Ignored && Found != Members.Targets_.end()) {
    const wire::TargetRecord &Known = Found->second.Record_;
    auto KnownOrder = std::pair(Known.incarnation(), Known.version());
    Ignored = Order <= KnownOrder;
    if (Order == KnownOrder)
      noteDuplicate(Members, {GossipKind::Target, Key.first, Key.second},
                    Context.Source_);
  }
  if (Ignored) {
    ++Members.Counters_.RecordsIgnored_;
    return;
  }
  Members.Targets_[Key] = TargetRow{Record, Context.Time_.Monotonic_};
  Context.Events_.push_back(
      {MembershipEventKind::TargetChanged, Record.name()});
  enqueue(Members, {GossipKind::Target, Key.first, Key.second},
          Context.Source_);
}

void scheduleScan(Membership &Members, Duration Delay) {
  Members.NextScan_ =
      std::min(Members.NextScan_, Members.Time_.Monotonic_ + Delay);
}

void scanTables(Membership &Members, MergeContext &Context) {
  TimePoint Time = Context.Time_.Monotonic_;
  if (Time >= Members.NextScan_) {
    Members.NextScan_ = Time + MaxScanInterval;
    expireServers(Members, Context);
    expireTargets(Members, Time);
    expireDepartures(Members, Time);
  }
  if (Members.OverlayStale_ && Time >= Members.NextOverlay_) {
    Members.NextOverlay_ = Time + OverlayInterval;
    refreshOverlay(Members);
  }
}

namespace {

/// Selects the readers of each data centre: those with the fastest links, and
/// by rendezvous hash among equals. Suspects rank last, so that if all readers
/// fail together, others watch the store before the failed ones are declared
/// dead.
void selectReaders(const Membership &Members, Overlay &Out) {
  using Rank = std::tuple<bool, int, std::uint64_t, std::string>;
  std::map<std::string, std::vector<Rank>> Ranked;
  for (const auto &[Name, Row] : Members.Servers_)
    if (isLive(Row.Record_) && Row.Record_.state() != wire::SERVER_LEAVING)
      Ranked[Row.Record_.data_centre()].emplace_back(
          Row.Record_.state() != wire::SERVER_SUSPECT, linkClass(Row.Record_),
          hash64(Name, hash64(Row.Record_.data_centre())), Name);
  for (auto &[DataCentre, Scores] : Ranked) {
    std::size_t Count = std::min<std::size_t>(
        Members.Config_.ReadersPerDataCentre_, Scores.size());
    std::partial_sort(Scores.begin(),
                      Scores.begin() + static_cast<std::ptrdiff_t>(Count),
                      Scores.end(), std::greater<>());
    for (std::size_t I = 0; I < Count; ++I)
      Out.Readers_[DataCentre].push_back(std::get<std::string>(Scores[I]));
  }
}

void buildRing(const Membership &Members, Overlay &Out) {
  std::vector<std::pair<std::uint64_t, std::string>> Ring;
  for (const auto &[Name, Row] : Members.Servers_)
    if ((isLive(Row.Record_) || isOwn(Members, Name)) &&
        Row.Record_.data_centre() == Members.Config_.DataCentre_)
      Ring.emplace_back(Row.RingHash_, Name);
  std::sort(Ring.begin(), Ring.end());
  for (auto &[Hash, Name] : Ring)
    Out.Ring_.push_back(std::move(Name));
}

void linkRing(const Membership &Members, Overlay &Out) {
  std::size_t Size = Out.Ring_.size();
  auto Own =
      std::find(Out.Ring_.begin(), Out.Ring_.end(), Members.Config_.Name_);
  auto Position = static_cast<std::size_t>(Own - Out.Ring_.begin());
  std::set<std::string> Local;
  for (std::size_t Distance = 1; Distance < Size; Distance *= 2) {
    Out.Fingers_.push_back(Out.Ring_[(Position + Distance) % Size]);
    Local.insert(Out.Fingers_.back());
    Local.insert(Out.Ring_[(Position + Size - Distance) % Size]);
  }
  Local.erase(Members.Config_.Name_);
  Out.LocalNeighbours_.assign(Local.begin(), Local.end());
}

void linkRemoteReaders(Membership &Members) {
  std::vector<std::string> &Remote = Members.Overlay_.RemoteReaders_;
  for (const auto &[DataCentre, Names] : Members.Overlay_.Readers_)
    if (DataCentre != Members.Config_.DataCentre_)
      Remote.insert(Remote.end(), Names.begin(), Names.end());
}

} // namespace

void refreshOverlay(Membership &Members) {
  Overlay Out;
  selectReaders(Members, Out);
  buildRing(Members, Out);
  linkRing(Members, Out);
  Members.Overlay_ = std::move(Out);
  Members.OverlayStale_ = false;
  if (isReader(Members))
    linkRemoteReaders(Members);
}

} // namespace sycamore::membership

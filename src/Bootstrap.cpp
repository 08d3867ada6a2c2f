// Establishes the floor of a starting daemon and answers the floor queries of
// peers.
#include "sycamore/Bootstrap.h"

#include <algorithm>
#include <array>

namespace sycamore {
namespace {

constexpr std::array<std::string_view, 4> BasisNames = {
    "none", "store", "verified_answer", "peers"};

Duration uniform(Duration Low, Duration High, Random &Rng) {
  return Low +
         std::chrono::duration_cast<Duration>((High - Low) * randomUnit(Rng));
}

void setFloor(Bootstrap &Boot, FloorBasis Basis, std::uint64_t Number,
              std::vector<BootstrapEvent> &Events) {
  Boot.Basis_ = Basis;
  Boot.Floor_ = Number;
  Events.push_back({BootstrapEventKind::FloorKnown, Basis, Number});
}

void checkFloorReached(Bootstrap &Boot, const ConfigReplica &Replica, Now Time,
                       std::vector<BootstrapEvent> &Events) {
  if (Boot.FloorReachedAt_ || Boot.Basis_ == FloorBasis::None ||
      Replica.Current_->Number_ < Boot.Floor_)
    return;
  Boot.FloorReachedAt_ = Time.Monotonic_;
  Boot.NextHead_ = Time.Monotonic_ + Boot.Config_.ReaderDelay_;
  Boot.NextSeeds_ = Boot.NextHead_;
  Boot.Peers_.clear();
  Events.push_back({BootstrapEventKind::FloorReached, Boot.Basis_,
                    Replica.Current_->Number_});
}

// Queries to peers.

/// Bootstrap peers and the readers of the data centre; after a failed store
/// read also all its alive servers and those that answers list as alive.
std::set<std::string> peersToQuery(const Bootstrap &Boot,
                                   const Membership &Members) {
  const std::string &DataCentre = Members.Config_.DataCentre_;
  std::set<std::string> Out(Boot.Config_.Peers_.begin(),
                            Boot.Config_.Peers_.end());
  for (std::string &Name : readersOf(Members, DataCentre))
    Out.insert(std::move(Name));
  if (Boot.StoreFailed_) {
    for (std::string &Name : aliveServers(Members, DataCentre))
      Out.insert(std::move(Name));
    for (const auto &[Name, Peer] : Boot.Peers_)
      Out.insert(Peer.AliveServers_.begin(), Peer.AliveServers_.end());
  }
  Out.erase(Members.Config_.Name_);
  return Out;
}

void queryPeers(Bootstrap &Boot, const Membership &Members, Now Time,
                Outbox &Out) {
  for (const std::string &Name : peersToQuery(Boot, Members)) {
    auto [Item, IsNew] = Boot.Peers_.try_emplace(Name);
    PeerFloor &Peer = Item->second;
    Duration Interval = Peer.AnsweredAt_ ? Boot.Config_.RefreshInterval_
                                         : Boot.Config_.QueryInterval_;
    if (!IsNew && Time.Monotonic_ - Peer.QueriedAt_ < Interval)
      continue;
    Peer.QueriedAt_ = Time.Monotonic_;
    Out.push_back({Name, {}, {}});
    wire::FloorQuery &Query = *Out.back().Message_.mutable_floor_query();
    Query.set_peer_address(Members.Config_.PeerAddress_);
    Query.set_question(Boot.QueryNonce_);
    ++Boot.Counters_.QueriesSent_;
  }
}

bool isDeadOrLeft(const Membership &Members, const std::string &Name) {
  const wire::ServerRecord *Record = findServer(Members, Name);
  return Record && (Record->state() == wire::SERVER_DEAD ||
                    Record->state() == wire::SERVER_LEFT);
}

/// Whether every server to query has answered, left or died.
bool allAnswered(const Bootstrap &Boot, const Membership &Members) {
  for (const std::string &Name : peersToQuery(Boot, Members)) {
    auto Found = Boot.Peers_.find(Name);
    bool Answered = Found != Boot.Peers_.end() && Found->second.AnsweredAt_;
    if (!Answered && !isDeadOrLeft(Members, Name))
      return false;
  }
  return true;
}

/// With the store down, takes the highest ticket among the peers' answers as
/// the floor. Conditions: a peer that has its floor has answered, the highest
/// ticket is unchanged for StableTime_, and every server to query has answered,
/// left or died.
void establishFloorByPeers(Bootstrap &Boot, const Membership &Members, Now Time,
                           std::vector<BootstrapEvent> &Events) {
  bool AnyHasFloor =
      std::any_of(Boot.Peers_.begin(), Boot.Peers_.end(), [](const auto &Item) {
        return Item.second.AnsweredAt_ && Item.second.HasFloor_;
      });
  if (!Boot.StoreFailed_ || !AnyHasFloor ||
      Time.Monotonic_ - Boot.HighestTicketSince_ < Boot.Config_.StableTime_)
    return;
  if (Boot.Config_.WaitForAllForTest_ && !allAnswered(Boot, Members))
    return;
  setFloor(Boot, FloorBasis::Peers, Boot.HighestTicket_, Events);
}

/// Takes the store's ticket as the floor, or a newer one that a peer has shown,
/// once a peer with a floor or every server to query has answered.
void establishFloorByStore(Bootstrap &Boot, const Membership &Members, Now Time,
                           std::vector<BootstrapEvent> &Events) {
  if (!Boot.StoreTicket_)
    return;
  bool PeerHasFloor =
      std::any_of(Boot.Peers_.begin(), Boot.Peers_.end(), [](const auto &Item) {
        return Item.second.AnsweredAt_ && Item.second.HasFloor_;
      });
  Duration Waited = Time.Monotonic_ - Boot.StoreTicket_->ReadAt_;
  if (Boot.Config_.PeersBeforeStoreForTest_ && !PeerHasFloor &&
      !allAnswered(Boot, Members) && Waited < Boot.Config_.PeerWait_)
    return;
  setFloor(Boot, FloorBasis::Store,
           std::max(Boot.StoreTicket_->Number_, Boot.HighestTicket_), Events);
  Boot.StoreTicket_.reset();
}

// Store reads.

void onReadFailed(Bootstrap &Boot, Now Time, Random &Rng) {
  Boot.ReadStartedAt_.reset();
  ++Boot.Counters_.StoreReadsFailed_;
  Boot.NextRead_ = Time.Monotonic_ + uniform(Boot.Config_.MinRetryDelay_,
                                             Boot.Config_.MaxRetryDelay_, Rng);
  if (!Boot.FloorReachedAt_ && !Boot.StoreFailed_) {
    Boot.StoreFailed_ = true;
    Boot.HighestTicketSince_ = Time.Monotonic_;
  }
}

void sendFloorAnswer(Bootstrap &Boot, const Membership &Members,
                     const ConfigReplica &Replica,
                     const PendingFloorQuery &Request, bool Verified,
                     Outbox &Out) {
  Out.push_back({Request.Requester_, {}, {}});
  wire::FloorAnswer &Answer = *Out.back().Message_.mutable_floor_answer();
  Answer.set_number(Replica.Current_->Number_);
  Answer.set_digest(Replica.Current_->Digest_);
  Answer.set_seen_number(highestTicketAt(Members, Request.PeerAddress_));
  Answer.set_has_floor(hasFloor(Boot));
  Answer.set_verified(Verified);
  Answer.set_question(Request.QueryNonce_);
  for (std::string &Name : aliveServers(Members, Members.Config_.DataCentre_))
    Answer.add_alive_servers(std::move(Name));
  for (wire::DepartedTarget &Departure :
       departuresOf(Members, Request.Requester_))
    *Answer.add_departed() = std::move(Departure);
  ++Boot.Counters_.AnswersSent_;
  Boot.Counters_.VerifiedAnswersSent_ += Verified ? 1 : 0;
}

/// A read verifies only queries that arrived before it began: it may have
/// missed a ticket that was accepted after its start.
void answerPendingQueries(Bootstrap &Boot, const Membership &Members,
                          const ConfigReplica &Replica,
                          const StoreReadResult &Read, Outbox &Out) {
  std::vector<PendingFloorQuery> Remaining;
  bool AnsweredOne = false;
  for (PendingFloorQuery &Request : Boot.PendingQueries_) {
    bool PrecedesRead = Request.ArrivedAt_ <= Read.StartedAt_;
    if (!PrecedesRead || (AnsweredOne && !Boot.Config_.CombineReadsForTest_)) {
      Remaining.push_back(std::move(Request));
      continue;
    }
    // If the head could not be applied here, the answer names an older ticket
    // than the store's and must not count as verified.
    bool Verified = Read.Number_ && Replica.Current_->Number_ >= *Read.Number_;
    sendFloorAnswer(Boot, Members, Replica, Request, Verified, Out);
    AnsweredOne = true;
  }
  Boot.PendingQueries_ = std::move(Remaining);
}

bool needsRead(const Bootstrap &Boot, Now Time) {
  if (Boot.ReadStartedAt_)
    return false;
  if (!Boot.FloorReachedAt_ && Time.Monotonic_ >= Boot.NextRead_)
    return true;
  return !Boot.PendingQueries_.empty() &&
         (Time.Monotonic_ >= Boot.NextVerification_ ||
          !Boot.Config_.CombineReadsForTest_);
}

void startRead(Bootstrap &Boot, Now Time) {
  Boot.ReadStartedAt_ = Time.Monotonic_;
  Boot.NextVerification_ = Time.Monotonic_ + Boot.Config_.VerifyInterval_;
  ++Boot.Counters_.StoreReadsRequested_;
}

} // namespace

std::string_view floorBasisName(FloorBasis Basis) {
  return BasisNames[static_cast<std::size_t>(Basis)];
}

Bootstrap makeBootstrap(BootstrapConfig Config, Now Time, Random &Rng) {
  Bootstrap Out;
  Out.Config_ = std::move(Config);
  Out.QueryNonce_ = Rng();
  Duration Delay = uniform(Duration(0), Out.Config_.MaxReadDelay_, Rng);
  Out.NextRead_ =
      Time.Monotonic_ + (Out.Config_.JitterForTest_ ? Delay : Duration(0));
  Out.HighestTicketSince_ = Time.Monotonic_;
  return Out;
}

BootstrapStep tickBootstrap(Bootstrap &Boot, const Membership &Members,
                            const ConfigReplica &Replica, Now Time, Random &Rng,
                            Outbox &Out) {
  BootstrapStep Step;
  if (Boot.ReadStartedAt_ &&
      Time.Monotonic_ - *Boot.ReadStartedAt_ >= Boot.Config_.ReadTimeout_) {
    answerPendingQueries(Boot, Members, Replica, {*Boot.ReadStartedAt_, {}, {}},
                         Out);
    onReadFailed(Boot, Time, Rng);
  }
  if (Boot.Basis_ == FloorBasis::None) {
    queryPeers(Boot, Members, Time, Out);
    establishFloorByPeers(Boot, Members, Time, Step.Events_);
    establishFloorByStore(Boot, Members, Time, Step.Events_);
  }
  checkFloorReached(Boot, Replica, Time, Step.Events_);
  if (needsRead(Boot, Time)) {
    startRead(Boot, Time);
    Step.ReadStore_ = true;
  }
  return Step;
}

std::vector<BootstrapEvent> receiveFloorAnswer(Bootstrap &Boot,
                                               const Membership &Members,
                                               const ConfigReplica &Replica,
                                               const wire::PeerMessage &Message,
                                               Now Time) {
  (void)Members;
  std::vector<BootstrapEvent> Events;
  if (Message.body_case() != wire::PeerMessage::kFloorAnswer ||
      Message.floor_answer().question() != Boot.QueryNonce_)
    return Events;
  const wire::FloorAnswer &Answer = Message.floor_answer();
  ++Boot.Counters_.AnswersReceived_;
  if (Boot.Basis_ != FloorBasis::None)
    return Events;
  PeerFloor &Peer = Boot.Peers_[Message.sender()];
  Peer.HasFloor_ = Answer.has_floor();
  Peer.Number_ = std::max(Answer.number(), Answer.seen_number());
  Peer.Digest_ = Answer.digest();
  Peer.AliveServers_.assign(Answer.alive_servers().begin(),
                            Answer.alive_servers().end());
  Peer.AnsweredAt_ = Time.Monotonic_;
  if (Peer.Number_ > Boot.HighestTicket_) {
    Boot.HighestTicket_ = Peer.Number_;
    Boot.HighestTicketSince_ = Time.Monotonic_;
  }
  if (Answer.verified()) {
    setFloor(Boot, FloorBasis::VerifiedAnswer, Answer.number(), Events);
    ++Boot.Counters_.StoreReadsAvoided_;
    // If the ticket does not arrive by then, this daemon reads the store.
    Boot.NextRead_ = Time.Monotonic_ + Boot.Config_.MinRetryDelay_;
  }
  checkFloorReached(Boot, Replica, Time, Events);
  return Events;
}

void answerFloorQuery(Bootstrap &Boot, const Membership &Members,
                      const ConfigReplica &Replica,
                      const wire::PeerMessage &Message, Now Time, Outbox &Out) {
  if (Message.body_case() != wire::PeerMessage::kFloorQuery)
    return;
  ++Boot.Counters_.QueriesReceived_;
  const wire::FloorQuery &Query = Message.floor_query();
  PendingFloorQuery Request{Message.sender(), Query.question(),
                            Query.peer_address(), Time.Monotonic_};
  if (!hasFloor(Boot) || !isReader(Members)) {
    sendFloorAnswer(Boot, Members, Replica, Request, false, Out);
    return;
  }
  if (!Boot.Config_.VerifyByReadForTest_) {
    sendFloorAnswer(Boot, Members, Replica, Request, true, Out);
    return;
  }
  // A repeated query keeps the arrival time of the first. A query from a later
  // start of the same server replaces the earlier one, whose answer is no
  // longer awaited.
  for (PendingFloorQuery &Pending : Boot.PendingQueries_) {
    if (Pending.Requester_ != Request.Requester_)
      continue;
    if (Pending.QueryNonce_ != Request.QueryNonce_)
      Pending = Request;
    return;
  }
  Boot.PendingQueries_.push_back(std::move(Request));
}

std::vector<BootstrapEvent> onStoreRead(Bootstrap &Boot,
                                        const Membership &Members,
                                        const ConfigReplica &Replica,
                                        const StoreReadResult &Read, Now Time,
                                        Random &Rng, Outbox &Out) {
  std::vector<BootstrapEvent> Events;
  Boot.ReadStartedAt_.reset();
  if (!Read.Number_) {
    onReadFailed(Boot, Time, Rng);
    answerPendingQueries(Boot, Members, Replica, Read, Out);
    return Events;
  }
  Boot.StoreFailed_ = false;
  if (!Boot.FloorReachedAt_) {
    // A floor that is known but not reached is that of a peer, which may have
    // ended before it sent the ticket.
    if (Boot.Basis_ == FloorBasis::None)
      Boot.StoreTicket_ = StoreTicket{*Read.Number_, Time.Monotonic_};
    else
      setFloor(Boot, FloorBasis::Store, *Read.Number_, Events);
    establishFloorByStore(Boot, Members, Time, Events);
    Boot.NextRead_ =
        Time.Monotonic_ +
        uniform(Boot.Config_.MinRetryDelay_, Boot.Config_.MaxRetryDelay_, Rng);
  }
  checkFloorReached(Boot, Replica, Time, Events);
  answerPendingQueries(Boot, Members, Replica, Read, Out);
  return Events;
}

void recordStoreRestored(Bootstrap &Boot, Now Time) {
  Boot.NextSeeds_ = Time.Monotonic_;
}

bool hasFloor(const Bootstrap &Boot) {
  return Boot.FloorReachedAt_.has_value();
}

} // namespace sycamore

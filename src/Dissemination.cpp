// Announces tickets, pulls and serves their bodies, and makes up for lost
// announcements by periodic offers.
#include "sycamore/Dissemination.h"

#include "Compression.h"

#include <algorithm>
#include <utility>

namespace sycamore {
namespace {

/// Hex digits of the digest in an offer. They only help to choose a source; the
/// body is checked against the full chain of digests.
constexpr std::size_t OfferDigestDigits = 8;

/// Hex digits of the digest in a pull. If two tickets with the same number
/// shared them, the body would fail the check against the chain.
constexpr std::size_t PullDigestDigits = 16;

/// Largest TicketBodies message after decompression.
constexpr std::size_t MaxDecompressedBytes = 2 * MaxStoreValueBytes;

/// Minimum time between two offers in reply to the same lagging server.
constexpr Duration MinOfferInterval = milliseconds(200);

/// A source whose body was rejected is not pulled from again for this long,
/// unless it offers a newer ticket.
constexpr Duration RejectedSourceDelay = seconds(60);

wire::PeerMessage &append(Outbox &Out, const std::string &To) {
  Out.push_back({To, {}, {}});
  return Out.back().Message_;
}

std::string offerDigest(const Snapshot &Current) {
  return Current.Digest_.substr(0, OfferDigestDigits);
}

void sendOffer(Dissemination &State, const ConfigReplica &Replica,
               const std::string &To, Now Time, Outbox &Out) {
  wire::TicketOffer &Offer = *append(Out, To).mutable_ticket_offer();
  Offer.set_number(Replica.Current_->Number_);
  Offer.set_digest(offerDigest(*Replica.Current_));
  State.OfferedAt_[To] = Time.Monotonic_;
  ++State.Counters_.OffersSent_;
}

/// Resets the state that belongs to one ticket once the replica has moved to
/// another ticket.
void resetOnNewTicket(Dissemination &State, const ConfigReplica &Replica,
                      Now Time) {
  std::uint64_t Number = Replica.Current_->Number_;
  if (Number == State.Number_)
    return;
  State.Number_ = Number;
  State.TokensTaken_ = 0;
  State.TokensRefilledAt_ = Time.Monotonic_;
  State.Holders_.clear();
  State.OfferedAt_.clear();
  State.Packed_ = {};
  State.PullFailed_ = false;
  State.RelayServed_ = false;
  State.LastArrival_ = std::exchange(State.NextArrival_, {});
  std::string Digest = offerDigest(*Replica.Current_);
  for (const TicketSource &Source : State.Sources_)
    if (Source.Number_ == Number && Source.Digest_ == Digest)
      State.Holders_.insert(Source.Server_);
  std::erase_if(State.Sources_, [Number](const TicketSource &Source) {
    return Source.Number_ <= Number;
  });
  if (!State.Sources_.empty())
    State.NextArrival_.OfferedAt_ = State.LastArrival_.OfferedAt_;
  if (State.Pull_ && State.Sources_.empty())
    State.Pull_.reset();
}

bool isRelay(const Dissemination &State, const std::string &Server) {
  return std::find(State.Relays_.begin(), State.Relays_.end(), Server) !=
         State.Relays_.end();
}

/// Whether no relay has the ticket from here while one may still need it.
/// Neighbours, which are nearer, would otherwise take every token first.
bool reservesTokenForRelays(const Dissemination &State) {
  return State.Config_.ReserveForTest_ && !State.RelayServed_ &&
         std::any_of(State.Relays_.begin(), State.Relays_.end(),
                     [&](const std::string &Relay) {
                       return !State.Holders_.contains(Relay);
                     });
}

/// Pulls that may be served at once.
std::uint32_t serveCapacity(const Dissemination &State) {
  const DisseminationConfig &Config = State.Config_;
  if (State.Packed_.Bytes_.empty())
    return Config.ServeBurst_;
  double Bodies = Config.LinkBytesPerSecond_ *
                  std::chrono::duration<double>(Config.ServeTime_).count() /
                  static_cast<double>(State.Packed_.Bytes_.size());
  return std::max(Config.ServeBurst_,
                  static_cast<std::uint32_t>(
                      std::min<double>(Bodies, Config.MaxServeBurst_)));
}

void refillTokens(Dissemination &State, std::uint32_t Capacity, Now Time) {
  auto FullSeconds =
      std::chrono::floor<seconds>(Time.Monotonic_ - State.TokensRefilledAt_);
  if (FullSeconds.count() <= 0)
    return;
  std::uint64_t Gained = std::max(1U, Capacity / 2) *
                         static_cast<std::uint64_t>(FullSeconds.count());
  State.TokensTaken_ -= static_cast<std::uint32_t>(
      std::min<std::uint64_t>(Gained, State.TokensTaken_));
  State.TokensRefilledAt_ += FullSeconds;
}

/// Takes one token for a served pull; false when none is left for this server.
bool consumeServeToken(Dissemination &State, const std::string &Requester,
                       Now Time) {
  std::uint32_t Capacity = serveCapacity(State);
  refillTokens(State, Capacity, Time);
  if (!State.Config_.ServeCapForTest_)
    return true;
  bool ForRelay = isRelay(State, Requester);
  std::uint32_t Reserved = !ForRelay && reservesTokenForRelays(State) ? 1 : 0;
  if (State.TokensTaken_ + Reserved >= Capacity)
    return false;
  ++State.TokensTaken_;
  State.RelayServed_ = State.RelayServed_ || ForRelay;
  return true;
}

/// The first source that may be pulled from; after a failed pull the last one,
/// because it has served the fewest pulls.
TicketSource *chooseSource(Dissemination &State, TimePoint Time) {
  auto IsAvailable = [Time](const TicketSource &Source) {
    return Source.RetryAt_ <= Time;
  };
  auto &Sources = State.Sources_;
  if (!State.Config_.OtherSourcesForTest_)
    return Sources.empty() ? nullptr : &Sources.front();
  if (State.PullFailed_) {
    auto Latest = std::find_if(Sources.rbegin(), Sources.rend(), IsAvailable);
    return Latest == Sources.rend() ? nullptr : &*Latest;
  }
  auto First = std::find_if(Sources.begin(), Sources.end(), IsAvailable);
  return First == Sources.end() ? nullptr : &*First;
}

void startPull(Dissemination &State, const ConfigReplica &Replica, Now Time,
               Outbox &Out) {
  if (State.Pull_)
    return;
  TicketSource *Source = chooseSource(State, Time.Monotonic_);
  if (!Source)
    return;
  State.Pull_ = PullInFlight{Source->Server_, Time.Monotonic_};
  wire::TicketPull &Pull = *append(Out, Source->Server_).mutable_ticket_pull();
  Pull.set_have_number(Replica.Current_->Number_);
  Pull.set_have_digest(Replica.Current_->Digest_.substr(0, PullDigestDigits));
  ++State.Counters_.PullsSent_;
  ++State.NextArrival_.Pulls_;
}

/// Blocks pulls from a source until a given time, so that the next pull goes to
/// another one.
void deferSource(Dissemination &State, const std::string &Server,
                 TimePoint Until) {
  for (TicketSource &Source : State.Sources_)
    if (Source.Server_ == Server)
      Source.RetryAt_ =
          State.Config_.OtherSourcesForTest_ ? Until : TimePoint::max();
  if (State.Pull_ && State.Pull_->Source_ == Server)
    State.Pull_.reset();
  State.PullFailed_ = true;
}

void recordSource(Dissemination &State, const std::string &Server,
                  std::uint64_t Number, const std::string &Digest) {
  auto Found = std::find_if(
      State.Sources_.begin(), State.Sources_.end(),
      [&](const TicketSource &Source) { return Source.Server_ == Server; });
  if (Found == State.Sources_.end()) {
    State.Sources_.push_back({Server, Number, Digest, {}});
    return;
  }
  if (Number <= Found->Number_)
    return;
  *Found = {Server, Number, Digest, {}};
}

void receiveOffer(Dissemination &State, const ConfigReplica &Replica,
                  const std::string &Sender, std::uint64_t Number,
                  const std::string &Digest, Now Time, Outbox &Out) {
  ++State.Counters_.OffersReceived_;
  const Snapshot &Current = *Replica.Current_;
  if (Number > Current.Number_) {
    recordSource(State, Sender, Number, Digest);
    if (!State.NextArrival_.OfferedAt_)
      State.NextArrival_.OfferedAt_ = Time.Monotonic_;
    startPull(State, Replica, Time, Out);
    return;
  }
  if (Number == Current.Number_) {
    State.Holders_.insert(Sender);
    return;
  }
  auto Offered = State.OfferedAt_.find(Sender);
  if (Offered == State.OfferedAt_.end() ||
      Time.Monotonic_ - Offered->second >= MinOfferInterval)
    sendOffer(State, Replica, Sender, Time, Out);
}

/// The tickets after the one that the peer has; unset if only a snapshot brings
/// it up to date.
std::optional<std::vector<std::string>>
ticketsFor(const Dissemination &State, const ConfigReplica &Replica,
           const wire::TicketPull &Pull) {
  auto Tickets = ticketsAfter(Replica, Pull.have_number(), Pull.have_digest());
  std::size_t Bytes = 0;
  if (Tickets)
    for (const std::string &Text : *Tickets)
      Bytes += Text.size();
  if (Bytes > State.Config_.MaxBodyBytes_)
    Tickets.reset();
  return Tickets;
}

/// The packed bodies for a pull. Most pulls for one ticket need the same ones.
const std::string &packedBodies(Dissemination &State,
                                const ConfigReplica &Replica,
                                const wire::TicketPull &Pull) {
  auto Tickets = ticketsFor(State, Replica, Pull);
  std::optional<std::string> HaveDigest;
  if (Tickets)
    HaveDigest = Pull.have_digest();
  State.Counters_.SnapshotsSent_ += Tickets ? 0 : 1;
  if (!State.Packed_.Bytes_.empty() && State.Packed_.HaveDigest_ == HaveDigest)
    return State.Packed_.Bytes_;
  wire::TicketBodies Bodies;
  if (Tickets)
    for (std::string &Text : *Tickets)
      Bodies.add_accepted(std::move(Text));
  else
    Bodies.set_snapshot(Replica.Document_.empty()
                            ? toJson(*Replica.Current_).dump()
                            : Replica.Document_);
  State.Packed_ = {compress(Bodies.SerializeAsString()), std::move(HaveDigest)};
  ++State.Counters_.BodiesPacked_;
  return State.Packed_.Bytes_;
}

void receivePull(Dissemination &State, const ConfigReplica &Replica,
                 const wire::PeerMessage &Message, Now Time, Outbox &Out) {
  const wire::TicketPull &Pull = Message.ticket_pull();
  if (Pull.have_number() >= Replica.Current_->Number_) {
    sendOffer(State, Replica, Message.sender(), Time, Out);
    return;
  }
  wire::TicketBodies &Answer =
      *append(Out, Message.sender()).mutable_ticket_bodies();
  if (!consumeServeToken(State, Message.sender(), Time)) {
    Answer.set_busy(true);
    ++State.Counters_.BusySent_;
    return;
  }
  Answer.set_packed(packedBodies(State, Replica, Pull));
  ++State.Counters_.PullsServed_;
}

/// Offers one accepted ticket in JSON to the replica.
OfferResult offerTicketJson(ConfigReplica &Replica, const std::string &Text,
                            const std::string &Source) {
  JsonLimits Limits;
  Limits.MaxBytes_ = MaxStoreValueBytes;
  OfferResult Failed;
  Failed.Outcome_ = OfferOutcome::Rejected;
  Failed.Number_ = Replica.Current_->Number_;
  auto Document = parseJson(Text, Source, Limits);
  if (!Document) {
    Failed.Error_ = Document.error();
    return Failed;
  }
  auto Accepted = parseAcceptedTicket(*Document, Source);
  if (!Accepted) {
    Failed.Error_ = Accepted.error();
    return Failed;
  }
  return offerTicket(Replica, *Accepted);
}

/// Offers the bodies to the replica in order, up to the first that is rejected
/// or leaves a gap. Returns the result of the last one offered.
OfferResult offerBodies(ConfigReplica &Replica, std::string_view Packed,
                        const std::string &Source, bool &IsSnapshot) {
  wire::TicketBodies Bodies;
  auto Bytes = decompress(Packed, MaxDecompressedBytes);
  if (!Bytes || !Bodies.ParseFromString(*Bytes)) {
    OfferResult Failed;
    Failed.Outcome_ = OfferOutcome::Rejected;
    Failed.Number_ = Replica.Current_->Number_;
    Failed.Error_ = Error{ErrorKind::InvalidData,
                          "ticket bodies from " + Source +
                              " cannot be decompressed or parsed",
                          "check that the server runs the same version"};
    return Failed;
  }
  IsSnapshot = !Bodies.snapshot().empty();
  if (IsSnapshot)
    return offerSnapshot(Replica, Bodies.snapshot(), Source);
  OfferResult Last;
  for (const std::string &Text : Bodies.accepted()) {
    Last = offerTicketJson(Replica, Text, Source);
    if (Last.Outcome_ == OfferOutcome::Rejected ||
        Last.Outcome_ == OfferOutcome::Gap)
      return Last;
  }
  return Last;
}

Duration jittered(Duration Mean, Random &Rng) {
  return std::chrono::duration_cast<Duration>(Mean *
                                              (0.75 + 0.5 * randomUnit(Rng)));
}

DisseminationEvents receiveBodies(Dissemination &State, ConfigReplica &Replica,
                                  std::span<const std::string> Neighbours,
                                  const wire::PeerMessage &Message, Now Time,
                                  Random &Rng, Outbox &Out) {
  const std::string &Sender = Message.sender();
  DisseminationEvents Events;
  if (Message.ticket_bodies().busy()) {
    ++State.Counters_.BusyReceived_;
    deferSource(State, Sender,
                Time.Monotonic_ + jittered(State.Config_.BusyDelay_, Rng));
    startPull(State, Replica, Time, Out);
    return Events;
  }
  SnapshotPointer Before = Replica.Current_;
  const std::string &Packed = Message.ticket_bodies().packed();
  bool IsSnapshot = false;
  OfferResult Result = offerBodies(Replica, Packed, Sender, IsSnapshot);
  if (Result.Outcome_ == OfferOutcome::Rejected) {
    ++State.Counters_.BodiesRejected_;
    deferSource(State, Sender, Time.Monotonic_ + RejectedSourceDelay);
    Events.push_back({DisseminationEventKind::Rejected, Result.Number_, Sender,
                      Result.Error_});
  } else if (Result.Outcome_ == OfferOutcome::Gap) {
    deferSource(State, Sender,
                Time.Monotonic_ + jittered(State.Config_.BusyDelay_, Rng));
  } else if (State.Pull_ && State.Pull_->Source_ == Sender) {
    State.Pull_.reset();
  }
  if (Replica.Current_->Number_ != Before->Number_) {
    Events.push_back({DisseminationEventKind::Applied,
                      Replica.Current_->Number_, Sender, std::nullopt});
    resetOnNewTicket(State, Replica, Time);
    State.Holders_.insert(Sender);
    if (Result.Outcome_ == OfferOutcome::Applied) {
      State.Packed_.Bytes_ = Packed;
      if (!IsSnapshot)
        State.Packed_.HaveDigest_ = Before->Digest_.substr(0, PullDigestDigits);
    }
    announceTicket(State, Replica, Neighbours, Time, Out);
  }
  startPull(State, Replica, Time, Out);
  return Events;
}

} // namespace

Dissemination makeDissemination(DisseminationConfig Config, Now Time) {
  Dissemination Out;
  Out.Config_ = Config;
  Out.TokensRefilledAt_ = Time.Monotonic_;
  Out.NextSync_ = Time.Monotonic_;
  return Out;
}

void announceTicket(Dissemination &State, const ConfigReplica &Replica,
                    std::span<const std::string> Neighbours, Now Time,
                    Outbox &Out) {
  resetOnNewTicket(State, Replica, Time);
  for (const std::string &Neighbour : Neighbours)
    if (!State.Holders_.contains(Neighbour))
      sendOffer(State, Replica, Neighbour, Time, Out);
}

DisseminationEvents
receiveDissemination(Dissemination &State, ConfigReplica &Replica,
                     std::span<const std::string> Neighbours,
                     const wire::PeerMessage &Message, Now Time, Random &Rng,
                     Outbox &Out) {
  resetOnNewTicket(State, Replica, Time);
  switch (Message.body_case()) {
  case wire::PeerMessage::kTicketOffer:
    receiveOffer(State, Replica, Message.sender(),
                 Message.ticket_offer().number(),
                 Message.ticket_offer().digest(), Time, Out);
    return {};
  case wire::PeerMessage::kFloorAnswer:
    // The ticket that the answer names counts as an offer. If the sender cannot
    // serve its body, the body is pulled from another source.
    if (Message.floor_answer().number() > Replica.Current_->Number_)
      receiveOffer(State, Replica, Message.sender(),
                   Message.floor_answer().number(),
                   Message.floor_answer().digest().substr(0, OfferDigestDigits),
                   Time, Out);
    return {};
  case wire::PeerMessage::kTicketPull:
    receivePull(State, Replica, Message, Time, Out);
    return {};
  case wire::PeerMessage::kTicketBodies:
    return receiveBodies(State, Replica, Neighbours, Message, Time, Rng, Out);
  default:
    return {};
  }
}

void tickDissemination(Dissemination &State, const ConfigReplica &Replica,
                       std::span<const std::string> Neighbours,
                       std::span<const std::string> Relays, Now Time,
                       Random &Rng, Outbox &Out) {
  if (!std::equal(Relays.begin(), Relays.end(), State.Relays_.begin(),
                  State.Relays_.end()))
    State.Relays_.assign(Relays.begin(), Relays.end());
  resetOnNewTicket(State, Replica, Time);
  if (State.Pull_ &&
      Time.Monotonic_ - State.Pull_->SentAt_ >= State.Config_.PullTimeout_) {
    ++State.Counters_.PullTimeouts_;
    ++State.NextArrival_.PullTimeouts_;
    std::string Source = State.Pull_->Source_;
    deferSource(State, Source,
                Time.Monotonic_ + jittered(State.Config_.PullTimeout_, Rng));
  }
  startPull(State, Replica, Time, Out);
  if (Time.Monotonic_ < State.NextSync_ || !State.Config_.AntiEntropyForTest_)
    return;
  State.NextSync_ =
      Time.Monotonic_ + jittered(State.Config_.SyncInterval_, Rng);
  for (std::span<const std::string> Peers : {Neighbours, Relays})
    if (!Peers.empty())
      sendOffer(State, Replica, Peers[randomIndex(Rng, Peers.size())], Time,
                Out);
}

} // namespace sycamore

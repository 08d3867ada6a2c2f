// Announces tickets, pulls and serves their bodies, and makes up for lost
// announcements by periodic offers.
#include "sycamore/Dissemination.h"

#include "Compression.h"

#include <algorithm>

namespace sycamore {
namespace {

/// Hex digits of the digest in an offer. They only help to choose a source; the
/// body is checked against the full chain of digests.
constexpr std::size_t OfferDigestDigits = 8;

/// Hex digits of the digest in a pull. If two tickets with the same number
/// shared them, the body would fail the check against the chain.
constexpr std::size_t PullDigestDigits = 16;

/// Largest TicketBodies message after decompression.
constexpr std::size_t MaxUnpackedBytes = 2 * MaxStoreValueBytes;

/// Minimum time between two offers in reply to the same lagging server.
constexpr Duration OfferGap = milliseconds(200);

/// A source whose body was rejected is not pulled from again for this long,
/// unless it offers a newer ticket.
constexpr Duration RefusedDelay = seconds(60);

wire::PeerMessage &append(Outbox &Out, const std::string &To) {
  Out.push_back({To, {}, {}});
  return Out.back().Message_;
}

std::string offerDigest(const Snapshot &Current) {
  return Current.Digest_.substr(0, OfferDigestDigits);
}

void sendOffer(Dissemination &Spread, const ConfigReplica &Replica,
               const std::string &To, Now Time, Outbox &Out) {
  wire::TicketOffer &Offer = *append(Out, To).mutable_ticket_offer();
  Offer.set_number(Replica.Current_->Number_);
  Offer.set_digest(offerDigest(*Replica.Current_));
  Spread.OfferedAt_[To] = Time.Monotonic_;
  ++Spread.Counters_.OffersSent_;
}

/// Resets the state that belongs to one ticket once the replica has moved to
/// another ticket.
void noteTicket(Dissemination &Spread, const ConfigReplica &Replica, Now Time) {
  std::uint64_t Number = Replica.Current_->Number_;
  if (Number == Spread.Number_)
    return;
  Spread.Number_ = Number;
  Spread.ServesLeft_ = Spread.Config_.FirstServes_;
  Spread.ServesAt_ = Time.Monotonic_;
  Spread.Holders_.clear();
  Spread.OfferedAt_.clear();
  Spread.SnapshotJson_.clear();
  Spread.PullFailed_ = false;
  std::string Digest = offerDigest(*Replica.Current_);
  for (const TicketSource &Source : Spread.Sources_)
    if (Source.Number_ == Number && Source.Digest_ == Digest)
      Spread.Holders_.insert(Source.Server_);
  std::erase_if(Spread.Sources_, [Number](const TicketSource &Source) {
    return Source.Number_ <= Number;
  });
  if (Spread.Pull_ && Spread.Sources_.empty())
    Spread.Pull_.reset();
}

/// Takes one token for a served pull; false when none is left.
bool takeServe(Dissemination &Spread, Now Time) {
  auto Whole = std::chrono::floor<seconds>(Time.Monotonic_ - Spread.ServesAt_);
  if (Whole.count() > 0) {
    std::uint64_t Left = Spread.ServesLeft_ + Whole.count();
    Spread.ServesLeft_ = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(Left, Spread.Config_.FirstServes_));
    Spread.ServesAt_ += Whole;
  }
  if (!Spread.Config_.ServeCapForTest_)
    return true;
  if (Spread.ServesLeft_ == 0)
    return false;
  --Spread.ServesLeft_;
  return true;
}

/// The first source that may be pulled from; after a failed pull the last one,
/// because it has served the fewest pulls.
TicketSource *chooseSource(Dissemination &Spread, TimePoint Time) {
  auto MayAsk = [Time](const TicketSource &Source) {
    return Source.RetryAt_ <= Time;
  };
  auto &Sources = Spread.Sources_;
  if (!Spread.Config_.OtherSourcesForTest_)
    return Sources.empty() ? nullptr : &Sources.front();
  if (Spread.PullFailed_) {
    auto Latest = std::find_if(Sources.rbegin(), Sources.rend(), MayAsk);
    return Latest == Sources.rend() ? nullptr : &*Latest;
  }
  auto First = std::find_if(Sources.begin(), Sources.end(), MayAsk);
  return First == Sources.end() ? nullptr : &*First;
}

void startPull(Dissemination &Spread, const ConfigReplica &Replica, Now Time,
               Outbox &Out) {
  if (Spread.Pull_)
    return;
  TicketSource *Source = chooseSource(Spread, Time.Monotonic_);
  if (!Source)
    return;
  Spread.Pull_ = PullInFlight{Source->Server_, Time.Monotonic_};
  wire::TicketPull &Pull = *append(Out, Source->Server_).mutable_ticket_pull();
  Pull.set_have_number(Replica.Current_->Number_);
  Pull.set_have_digest(Replica.Current_->Digest_.substr(0, PullDigestDigits));
  ++Spread.Counters_.PullsSent_;
}

/// Blocks pulls from a source until a given time, so that the next pull goes to
/// another one.
void putOff(Dissemination &Spread, const std::string &Server, TimePoint Until) {
  for (TicketSource &Source : Spread.Sources_)
    if (Source.Server_ == Server)
      Source.RetryAt_ =
          Spread.Config_.OtherSourcesForTest_ ? Until : TimePoint::max();
  if (Spread.Pull_ && Spread.Pull_->Source_ == Server)
    Spread.Pull_.reset();
  Spread.PullFailed_ = true;
}

void noteSource(Dissemination &Spread, const std::string &Server,
                std::uint64_t Number, const std::string &Digest) {
  auto Found = std::find_if(
      Spread.Sources_.begin(), Spread.Sources_.end(),
      [&](const TicketSource &Source) { return Source.Server_ == Server; });
  if (Found == Spread.Sources_.end()) {
    Spread.Sources_.push_back({Server, Number, Digest, {}});
    return;
  }
  if (Number <= Found->Number_)
    return;
  *Found = {Server, Number, Digest, {}};
}

void receiveOffer(Dissemination &Spread, const ConfigReplica &Replica,
                  const std::string &Sender, std::uint64_t Number,
                  const std::string &Digest, Now Time, Outbox &Out) {
  ++Spread.Counters_.OffersReceived_;
  const Snapshot &Current = *Replica.Current_;
  if (Number > Current.Number_) {
    noteSource(Spread, Sender, Number, Digest);
    startPull(Spread, Replica, Time, Out);
    return;
  }
  if (Number == Current.Number_) {
    Spread.Holders_.insert(Sender);
    return;
  }
  auto Offered = Spread.OfferedAt_.find(Sender);
  if (Offered == Spread.OfferedAt_.end() ||
      Time.Monotonic_ - Offered->second >= OfferGap)
    sendOffer(Spread, Replica, Sender, Time, Out);
}

/// The full-state document if there is one, else the snapshot in JSON, which is
/// built once for each ticket.
const std::string &snapshotJson(Dissemination &Spread,
                                const ConfigReplica &Replica) {
  if (!Replica.Document_.empty())
    return Replica.Document_;
  if (Spread.SnapshotJson_.empty())
    Spread.SnapshotJson_ = toJson(*Replica.Current_).dump();
  return Spread.SnapshotJson_;
}

void fillBodies(Dissemination &Spread, const ConfigReplica &Replica,
                const wire::TicketPull &Pull, wire::TicketBodies &Bodies) {
  auto Tickets = ticketsAfter(Replica, Pull.have_number(), Pull.have_digest());
  std::size_t Bytes = 0;
  if (Tickets)
    for (const std::string &Text : *Tickets)
      Bytes += Text.size();
  if (Tickets && Bytes <= Spread.Config_.MaxBodyBytes_) {
    for (std::string &Text : *Tickets)
      Bodies.add_accepted(std::move(Text));
    return;
  }
  Bodies.set_snapshot(snapshotJson(Spread, Replica));
  ++Spread.Counters_.SnapshotsSent_;
}

void receivePull(Dissemination &Spread, const ConfigReplica &Replica,
                 const wire::PeerMessage &Message, Now Time, Outbox &Out) {
  const wire::TicketPull &Pull = Message.ticket_pull();
  if (Pull.have_number() >= Replica.Current_->Number_) {
    sendOffer(Spread, Replica, Message.sender(), Time, Out);
    return;
  }
  wire::TicketBodies &Answer =
      *append(Out, Message.sender()).mutable_ticket_bodies();
  if (!takeServe(Spread, Time)) {
    Answer.set_busy(true);
    ++Spread.Counters_.BusySent_;
    return;
  }
  wire::TicketBodies Bodies;
  fillBodies(Spread, Replica, Pull, Bodies);
  Answer.set_packed(compress(Bodies.SerializeAsString()));
  ++Spread.Counters_.PullsServed_;
}

/// Offers one accepted ticket in JSON to the replica.
OfferResult offerText(ConfigReplica &Replica, const std::string &Text,
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
OfferResult offerBodies(ConfigReplica &Replica,
                        const wire::TicketBodies &Packed,
                        const std::string &Source) {
  wire::TicketBodies Bodies;
  auto Bytes = decompress(Packed.packed(), MaxUnpackedBytes);
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
  if (!Bodies.snapshot().empty())
    return offerSnapshot(Replica, Bodies.snapshot(), Source);
  OfferResult Last;
  for (const std::string &Text : Bodies.accepted()) {
    Last = offerText(Replica, Text, Source);
    if (Last.Outcome_ == OfferOutcome::Rejected ||
        Last.Outcome_ == OfferOutcome::Gap)
      return Last;
  }
  return Last;
}

Duration jittered(Duration Span, Random &Rng) {
  return std::chrono::duration_cast<Duration>(Span *
                                              (0.75 + 0.5 * randomUnit(Rng)));
}

DisseminationEvents receiveBodies(Dissemination &Spread, ConfigReplica &Replica,
                                  std::span<const std::string> Neighbours,
                                  const wire::PeerMessage &Message, Now Time,
                                  Random &Rng, Outbox &Out) {
  const std::string &Sender = Message.sender();
  DisseminationEvents Events;
  if (Message.ticket_bodies().busy()) {
    ++Spread.Counters_.BusyReceived_;
    putOff(Spread, Sender,
           Time.Monotonic_ + jittered(Spread.Config_.BusyDelay_, Rng));
    startPull(Spread, Replica, Time, Out);
    return Events;
  }
  std::uint64_t Before = Replica.Current_->Number_;
  OfferResult Result = offerBodies(Replica, Message.ticket_bodies(), Sender);
  if (Result.Outcome_ == OfferOutcome::Rejected) {
    ++Spread.Counters_.BodiesRejected_;
    putOff(Spread, Sender, Time.Monotonic_ + RefusedDelay);
    Events.push_back({DisseminationEventKind::Rejected, Result.Number_, Sender,
                      Result.Error_});
  } else if (Result.Outcome_ == OfferOutcome::Gap) {
    putOff(Spread, Sender,
           Time.Monotonic_ + jittered(Spread.Config_.BusyDelay_, Rng));
  } else if (Spread.Pull_ && Spread.Pull_->Source_ == Sender) {
    Spread.Pull_.reset();
  }
  if (Replica.Current_->Number_ != Before) {
    Events.push_back({DisseminationEventKind::Applied,
                      Replica.Current_->Number_, Sender, std::nullopt});
    noteTicket(Spread, Replica, Time);
    Spread.Holders_.insert(Sender);
    announceTicket(Spread, Replica, Neighbours, Time, Out);
  }
  startPull(Spread, Replica, Time, Out);
  return Events;
}

} // namespace

Dissemination makeDissemination(DisseminationConfig Config, Now Time) {
  Dissemination Out;
  Out.Config_ = Config;
  Out.ServesAt_ = Time.Monotonic_;
  Out.ServesLeft_ = Config.FirstServes_;
  Out.NextSync_ = Time.Monotonic_;
  return Out;
}

void announceTicket(Dissemination &Spread, const ConfigReplica &Replica,
                    std::span<const std::string> Neighbours, Now Time,
                    Outbox &Out) {
  noteTicket(Spread, Replica, Time);
  for (const std::string &Neighbour : Neighbours)
    if (!Spread.Holders_.contains(Neighbour))
      sendOffer(Spread, Replica, Neighbour, Time, Out);
}

DisseminationEvents
receiveDissemination(Dissemination &Spread, ConfigReplica &Replica,
                     std::span<const std::string> Neighbours,
                     const wire::PeerMessage &Message, Now Time, Random &Rng,
                     Outbox &Out) {
  noteTicket(Spread, Replica, Time);
  switch (Message.body_case()) {
  case wire::PeerMessage::kTicketOffer:
    receiveOffer(Spread, Replica, Message.sender(),
                 Message.ticket_offer().number(),
                 Message.ticket_offer().digest(), Time, Out);
    return {};
  case wire::PeerMessage::kFloorAnswer:
    // The ticket that the answer names counts as an offer. If the sender cannot
    // serve its body, the body is pulled from another source.
    if (Message.floor_answer().number() > Replica.Current_->Number_)
      receiveOffer(Spread, Replica, Message.sender(),
                   Message.floor_answer().number(),
                   Message.floor_answer().digest().substr(0, OfferDigestDigits),
                   Time, Out);
    return {};
  case wire::PeerMessage::kTicketPull:
    receivePull(Spread, Replica, Message, Time, Out);
    return {};
  case wire::PeerMessage::kTicketBodies:
    return receiveBodies(Spread, Replica, Neighbours, Message, Time, Rng, Out);
  default:
    return {};
  }
}

void tickDissemination(Dissemination &Spread, const ConfigReplica &Replica,
                       std::span<const std::string> Neighbours,
                       std::span<const std::string> RemoteReaders, Now Time,
                       Random &Rng, Outbox &Out) {
  noteTicket(Spread, Replica, Time);
  if (Spread.Pull_ &&
      Time.Monotonic_ - Spread.Pull_->SentAt_ >= Spread.Config_.PullTimeout_) {
    ++Spread.Counters_.PullTimeouts_;
    std::string Source = Spread.Pull_->Source_;
    putOff(Spread, Source,
           Time.Monotonic_ + jittered(Spread.Config_.PullTimeout_, Rng));
  }
  startPull(Spread, Replica, Time, Out);
  if (Time.Monotonic_ < Spread.NextSync_ || !Spread.Config_.AntiEntropyForTest_)
    return;
  Spread.NextSync_ =
      Time.Monotonic_ + jittered(Spread.Config_.SyncInterval_, Rng);
  for (std::span<const std::string> Peers : {Neighbours, RemoteReaders})
    if (!Peers.empty())
      sendOffer(Spread, Replica, Peers[randomIndex(Rng, Peers.size())], Time,
                Out);
}

} // namespace sycamore

// Distributes accepted tickets over the peer overlay: offers of new tickets,
// pulls of their bodies, and periodic anti-entropy.
#pragma once

#include "sycamore/ConfigReplica.h"
#include "sycamore/Outbox.h"
#include "sycamore/Random.h"
#include "sycamore/Time.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace sycamore {

struct DisseminationConfig {
  /// A pull that is not answered within this time is sent to another source.
  Duration PullTimeout_ = milliseconds(250);
  /// A source that answered `busy`, or whose tickets left a gap, is not pulled
  /// from again for this long, varied by up to 25%.
  Duration BusyDelay_ = milliseconds(100);
  /// Least capacity of the token bucket that limits served pulls: the pulls
  /// served in the first second after a ticket was applied. It gains half of
  /// its capacity a second.
  std::uint32_t ServeBurst_ = 2;
  /// With a rate of this server's link, the capacity is as many bodies as the
  /// link sends in ServeTime_, up to MaxServeBurst_.
  double LinkBytesPerSecond_ = 0; ///< 0 if not known.
  Duration ServeTime_ = milliseconds(250);
  std::uint32_t MaxServeBurst_ = 16;
  Duration SyncInterval_ = seconds(2); ///< Mean, between anti-entropy offers.
  /// Most bytes of accepted tickets in one answer; a snapshot is sent when the
  /// tickets are larger.
  std::size_t MaxBodyBytes_ = 1U << 20U;

  /// Only for tests: each switches one rule off, see test/mutations.txt.
  bool AntiEntropyForTest_ = true;
  bool ServeCapForTest_ = true;
  bool OtherSourcesForTest_ = true;
  bool ReserveForTest_ = true;
};

struct DisseminationCounters {
  std::uint64_t OffersSent_ = 0;
  std::uint64_t OffersReceived_ = 0;
  std::uint64_t PullsSent_ = 0;
  std::uint64_t PullTimeouts_ = 0;
  std::uint64_t PullsServed_ = 0;
  std::uint64_t BusySent_ = 0;
  std::uint64_t BusyReceived_ = 0;
  std::uint64_t SnapshotsSent_ = 0;
  std::uint64_t BodiesRejected_ = 0; ///< Includes bodies that do not parse.
  std::uint64_t BodiesPacked_ = 0;   ///< Bodies compressed for a peer.
};

/// How a ticket newer than the one in force reached this daemon.
struct TicketArrival {
  /// When a peer first offered a newer ticket; unset while none has.
  std::optional<TimePoint> OfferedAt_;
  std::uint32_t Pulls_ = 0; ///< Sent since the ticket in force was applied.
  std::uint32_t PullTimeouts_ = 0;
};

/// A peer that holds a newer ticket than this daemon.
struct TicketSource {
  std::string Server_;
  std::uint64_t Number_ = 0;
  std::string Digest_;
  TimePoint RetryAt_; ///< No pull is sent to it before this time.
};

struct PullInFlight {
  std::string Source_;
  TimePoint SentAt_;
};

/// The packed bodies of the ticket in force, as sent to peers.
struct PackedBodies {
  std::string Bytes_; ///< Empty while they have not been packed.
  /// Digest of the ticket that they follow, cut as in a pull; unset for a
  /// snapshot, which follows any ticket.
  std::optional<std::string> HaveDigest_;
};

struct Dissemination {
  DisseminationConfig Config_;
  std::vector<TicketSource> Sources_; ///< In the order of their offers.
  std::optional<PullInFlight> Pull_;
  bool PullFailed_ = false; ///< Since the ticket in force was applied.
  TicketArrival NextArrival_;
  TicketArrival LastArrival_; ///< Of the ticket in force.
  /// Ticket in force; the fields below are about it.
  std::uint64_t Number_ = 0;
  std::uint32_t TokensTaken_ = 0; ///< Of the capacity for served pulls.
  TimePoint TokensRefilledAt_;    ///< When TokensTaken_ was last lowered.
  std::set<std::string> Holders_; ///< Servers known to hold the ticket.
  bool RelayServed_ = false;      ///< A relay has pulled the ticket from here.
  std::map<std::string, TimePoint> OfferedAt_;
  PackedBodies Packed_; ///< As received, or packed when a peer first asks.
  /// As last passed to tickDissemination().
  std::vector<std::string> Relays_;
  TimePoint NextSync_;
  DisseminationCounters Counters_;
};

enum class DisseminationEventKind { Applied, Rejected };

struct DisseminationEvent {
  DisseminationEventKind Kind_ = DisseminationEventKind::Applied;
  std::uint64_t Number_ = 0;   ///< Ticket in force after the event.
  std::string Source_;         ///< Server that sent the body.
  std::optional<Error> Error_; ///< Set when Rejected.
};

using DisseminationEvents = std::vector<DisseminationEvent>;

Dissemination makeDissemination(DisseminationConfig Config, Now Time);

/// Offers the ticket in force to the neighbours that are not known to hold it.
/// Call it after the replica applied a ticket from the store;
/// receiveDissemination() announces tickets from peers itself.
void announceTicket(Dissemination &State, const ConfigReplica &Replica,
                    std::span<const std::string> Neighbours, Now Time,
                    Outbox &Out);

/// Handles TicketOffer, TicketPull, TicketBodies and the ticket that a
/// FloorAnswer names; ignores other messages.
DisseminationEvents
receiveDissemination(Dissemination &State, ConfigReplica &Replica,
                     std::span<const std::string> Neighbours,
                     const wire::PeerMessage &Message, Now Time, Random &Rng,
                     Outbox &Out);

/// Handles pull timeouts and anti-entropy; call it every 20 ms. Relays are the
/// servers that take tickets on to other data centres: remote readers, and the
/// readers for which this daemon watches the store. One of the first pulls that
/// this daemon serves is reserved for them.
void tickDissemination(Dissemination &State, const ConfigReplica &Replica,
                       std::span<const std::string> Neighbours,
                       std::span<const std::string> Relays, Now Time,
                       Random &Rng, Outbox &Out);

} // namespace sycamore

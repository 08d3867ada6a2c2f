// Declarations shared by the source files of Membership.
#pragma once

#include "sycamore/Membership.h"

namespace sycamore::membership {

/// Whether the server is neither dead nor left; suspect and leaving servers
/// count as live.
bool isLive(const wire::ServerRecord &Record);

ServerRow &ownRow(Membership &Members);
const ServerRow &ownRow(const Membership &Members);
bool isOwn(const Membership &Members, std::string_view Name);

std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed = 0);

/// Appends an empty message with sender and incarnation set.
wire::PeerMessage &appendMessage(const Membership &Members, Outbox &Out,
                                 const std::string &To);

/// Uniform between 0.75 and 1.25 times Span.
Duration jittered(Duration Span, Random &Rng);

// MembershipTables.cpp

/// Source of a record, and the events that merging it causes.
struct MergeContext {
  Now Time_;
  std::string Source_; ///< Sender; empty for settings and timeouts.
  MembershipEvents &Events_;
};

void mergeServer(Membership &Members, const wire::ServerRecord &Record,
                 MergeContext &Context);
void mergeTarget(Membership &Members, const wire::TargetRecord &Record,
                 MergeContext &Context);

/// Raises the own incarnation to more than Above, so that this server's record
/// supersedes those that other daemons hold of it. EarlierProcess also voids
/// the targets that an earlier process of this name announced.
void raiseOwnIncarnation(Membership &Members, std::uint64_t Above,
                         bool EarlierProcess, MergeContext &Context);

/// Schedules a table scan after Delay, for a timeout that a state change
/// starts.
void scheduleScan(Membership &Members, Duration Delay);

/// Handles suspicion timeouts, expires departed servers and removed targets,
/// and refreshes the overlay.
void scanTables(Membership &Members, MergeContext &Context);

/// Derives the overlay from the server table.
void refreshOverlay(Membership &Members);

// MembershipDepartures.cpp

/// Merges a departed target from gossip; one of an unknown server is ignored.
void mergeDeparture(Membership &Members, const wire::DepartedTarget &Departure,
                    MergeContext &Context);

/// Drops departures older than DepartedRetention_.
void expireDepartures(Membership &Members, TimePoint Time);

// MembershipGossip.cpp

/// Queues a record for bounded gossip. Source is the server that sent it,
/// or empty for a change made here.
void enqueue(Membership &Members, const GossipKey &Key,
             const std::string &Source);

/// Notes that Source sent a record that this daemon already has: Source needs
/// no copy, and fewer sends to others remain.
void noteDuplicate(Membership &Members, const GossipKey &Key,
                   const std::string &Source);

void tickGossip(Membership &Members, Random &Rng, Outbox &Out);

/// Adds the server's record to Out. With Short, a suspect or departed server is
/// reduced to name, incarnation and state, which is enough for receivers that
/// know the server.
void addServer(const ServerRow &Row, bool Short, wire::Gossip &Out);

/// Sends the records of this server and its targets to all neighbours.
void sendOwnRecords(Membership &Members, Outbox &Out);

// MembershipProbes.cpp

void tickProbes(Membership &Members, MergeContext &Context, Random &Rng,
                Outbox &Out);
/// A message from Sender has arrived.
void recordReaderHeard(Membership &Members, const std::string &Sender,
                       Random &Rng);
void receiveProbe(Membership &Members, const wire::PeerMessage &Message,
                  Outbox &Out);
void receiveProbeAck(Membership &Members, const wire::PeerMessage &Message,
                     Outbox &Out);
void receiveIndirectProbe(Membership &Members, const wire::PeerMessage &Message,
                          Outbox &Out);

// MembershipHeartbeats.cpp

void tickHeartbeats(Membership &Members, Outbox &Out);
void receiveHeartbeats(Membership &Members, const wire::SyncDigest &Digest);

// MembershipSync.cpp

void tickSync(Membership &Members, Random &Rng, Outbox &Out);
void receiveSync(Membership &Members, const wire::PeerMessage &Message,
                 Outbox &Out);

/// Sends the hashes of both tables for comparison, and the receiver's departed
/// targets.
void sendDigest(const Membership &Members, const std::string &To, Outbox &Out);

} // namespace sycamore::membership

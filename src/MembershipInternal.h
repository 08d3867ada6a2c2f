// Parts of Membership that its source files share.
#pragma once

#include "sycamore/Membership.h"

namespace sycamore::membership {

/// Neighbours of a row's state: suspects count, those that are gone do not.
bool isLive(const wire::ServerRecord &Record);

ServerRow &ownRow(Membership &Members);
const ServerRow &ownRow(const Membership &Members);
bool isOwn(const Membership &Members, std::string_view Name);

std::uint64_t hash64(std::string_view Bytes, std::uint64_t Seed = 0);

/// Appends an empty message with sender and incarnation set.
wire::PeerMessage &append(const Membership &Members, Outbox &Out,
                          const std::string &To);

Duration jittered(Duration Span, Random &Rng);

// MembershipTables.cpp

/// Where a record came from and what it changed.
struct MergeContext {
  Now Time_;
  std::string Source_; ///< Sender of the message; empty for settings.
  MembershipEvents &Events_;
};

void mergeServer(Membership &Members, const wire::ServerRecord &Record,
                 MergeContext &Context);
void mergeTarget(Membership &Members, const wire::TargetRecord &Record,
                 MergeContext &Context);

/// Takes a higher incarnation, so that records about this server that others
/// hold lose against the own one. NewLife voids the targets of an earlier
/// process of this name.
void raiseOwnIncarnation(Membership &Members, std::uint64_t Above, bool NewLife,
                         MergeContext &Context);

/// Plans a scan for the timer that a change of state starts.
void planScan(Membership &Members, Duration Delay);

/// Suspicion timers and the expiry of what is gone; refreshes the overlay.
void scanTables(Membership &Members, MergeContext &Context);

/// Derives the overlay from the server table.
void refreshOverlay(Membership &Members);

// MembershipGossip.cpp

/// Queues a record for bounded gossip. Source is the server that sent it.
void enqueue(Membership &Members, const GossipKey &Key,
             const std::string &Source);

/// A server sent what this daemon already knows: fewer sends are needed, and
/// none to it.
void noteDuplicate(Membership &Members, const GossipKey &Key,
                   const std::string &Source);

void tickGossip(Membership &Members, Random &Rng, Outbox &Out);

/// Adds the record as it is sent. Receivers that know the server need only
/// name, incarnation and state of one that is suspect or gone.
void addServer(const ServerRow &Row, bool Short, wire::Gossip &Out);

/// Sends the own record to all neighbours, the own targets with it.
void announceOwn(Membership &Members, Outbox &Out);

// MembershipProbes.cpp

void tickProbes(Membership &Members, MergeContext &Context, Random &Rng,
                Outbox &Out);
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

/// Sends the hashes of both tables for comparison.
void sendDigest(const Membership &Members, const std::string &To, Outbox &Out);

} // namespace sycamore::membership

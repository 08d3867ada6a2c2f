// Staleness bound of the configuration: how long ago the store is known to have
// held no ticket newer than the one in force, learned from own reads of the
// store and from peers.
#pragma once

#include "sycamore/Membership.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sycamore {

struct ConfigFreshnessConfig {
  /// A configuration whose last confirmation is older than this, less Margin_,
  /// is stale. 0 switches the bound off: nothing is sent or checked.
  Duration MaxAge_{0};
  /// For the drift of clocks and the time between the check and its effect.
  Duration Margin_ = milliseconds(200);
  /// A confirmation is passed on if it is newer by this than what the receiver
  /// is known to have, at most once in SendInterval_ to each peer.
  Duration MinGain_ = milliseconds(500);
  Duration SendInterval_ = seconds(1);
  /// Each neighbour receives a message at least this often, so that it can tell
  /// the age of later answers. Shorter than MaxEchoHold_.
  Duration EchoInterval_ = seconds(20);
  /// Older echoes are not used: clocks of two machines drift apart by up to
  /// 30 ms in this time.
  Duration MaxEchoHold_ = seconds(60);
  /// Start time of this process as its messages name it.
  std::uint64_t Process_ = 0;

  /// Only for tests: takes peers' ages without the time that the message was
  /// under way, see test/mutations.txt.
  bool CountTransitForTest_ = true;
};

/// A time at which no ticket newer than this one was in force.
struct Confirmation {
  std::uint64_t Ticket_ = 0;
  std::string Digest_; ///< Complete or its first digits.
  TimePoint At_;
};

/// The ticket in force at this daemon.
struct TicketInForce {
  std::uint64_t Number_ = 0;
  std::string_view Digest_;
};

struct FreshnessPeer {
  std::optional<TimePoint> SentAt_;
  /// Newest confirmation that this peer is known or expected to have.
  std::optional<TimePoint> KnownAt_;
  /// Last message of the peer, returned to it as an echo.
  std::uint64_t Process_ = 0;
  std::uint64_t SentUs_ = 0;
  TimePoint ReceivedAt_;
  bool Echoed_ = false;    ///< It has returned an echo of this process.
  bool AnswerDue_ = false; ///< It lacks an echo or a confirmation.
};

struct ConfigFreshnessCounters {
  std::uint64_t StoreConfirmations_ = 0;
  std::uint64_t PeerConfirmations_ = 0;
  std::uint64_t Sent_ = 0;
  std::uint64_t Received_ = 0;
  /// Messages whose age is unknown: no echo, or one of an earlier process.
  std::uint64_t Undated_ = 0;
  /// Confirmations of a ticket with another digest than the one in force.
  std::uint64_t Mismatched_ = 0;
};

struct ConfigFreshness {
  ConfigFreshnessConfig Config_;
  TimePoint StartedAt_;
  /// Newest confirmation that counts for the ticket in force.
  std::optional<Confirmation> Confirmed_;
  /// Newest confirmation of a ticket that this daemon has not applied yet.
  std::optional<Confirmation> Awaiting_;
  std::map<std::string, FreshnessPeer> Peers_;
  bool Stale_ = true; ///< As of the last tick.
  ConfigFreshnessCounters Counters_;
};

ConfigFreshness makeConfigFreshness(ConfigFreshnessConfig Config, Now Time);

/// Whether the bound is set.
bool isBounded(const ConfigFreshness &State);

/// Age of the last confirmation that counts; unset when there is none.
std::optional<Duration> confirmationAge(const ConfigFreshness &State,
                                        TimePoint Time);

/// Whether the bound is set and the configuration may not be used any more to
/// accept credentials.
bool isStale(const ConfigFreshness &State, TimePoint Time);

/// Records a confirmation. It counts at once if InForce is the confirmed ticket
/// or a newer one, and otherwise as soon as the confirmed ticket is applied.
/// Returns whether the newest confirmation changed.
bool confirm(ConfigFreshness &State, const Confirmation &Value,
             TicketInForce InForce);

/// Handles a message from a peer.
void receiveConfigFreshness(ConfigFreshness &State,
                            const wire::PeerMessage &Message,
                            TicketInForce InForce, Now Time);

/// Applies awaiting confirmations and sends messages to the neighbours and to
/// peers that wait for an answer. Call it every 20 ms. Returns true when the
/// configuration has become stale or has ceased to be.
bool tickConfigFreshness(ConfigFreshness &State, TicketInForce InForce,
                         std::span<const std::string> Neighbours, Now Time,
                         Outbox &Out);

} // namespace sycamore

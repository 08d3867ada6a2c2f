// Delegation of the store watch: a reader that the store does not answer asks
// other servers of its data centre to watch the store in its place.
#pragma once

#include "sycamore/Membership.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamore {

struct WatchDelegationConfig {
  /// A reader whose watch the store has not answered for this long asks other
  /// servers. Longer than the first retry of a watch that was cut.
  Duration DelegateAfter_ = milliseconds(200);
  /// Between two rounds of requests, and how many servers one round asks.
  Duration RoundInterval_ = milliseconds(150);
  std::uint32_t AskedPerRound_ = 2;
  /// Servers asked without success before a pause, so that an outage of the
  /// store does not make every daemon call it.
  std::uint32_t AskedPerPass_ = 16;
  Duration PassPause_ = seconds(3); ///< Varied by up to 25%.
  /// A delegate is asked again at this interval, and replaced if it has not
  /// reported for DelegateTimeout_.
  Duration RenewInterval_ = milliseconds(500);
  Duration DelegateTimeout_ = milliseconds(1500);
  /// A server watches for another one for this long after its last request.
  Duration Term_ = seconds(4);

  /// Only for tests: switches the delegation off, see test/mutations.txt.
  bool EnabledForTest_ = true;
};

struct WatchDelegationCounters {
  std::uint64_t RequestsSent_ = 0;
  std::uint64_t RequestsReceived_ = 0;
  std::uint64_t Delegations_ = 0;  ///< Delegates found.
  std::uint64_t PassesFailed_ = 0; ///< Passes that found no delegate.
};

/// A server that watches the store for this one.
struct WatchDelegate {
  std::string Server_;
  TimePoint ReportedAt_;
  TimePoint RequestedAt_;
};

/// A server for which this one watches the store.
struct WatchDelegator {
  TimePoint Until_;
  bool Reported_ = false; ///< It has been told that the store answers.
};

struct WatchDelegation {
  WatchDelegationConfig Config_;
  /// Since when the store has not answered this reader's watch; unset while it
  /// answers, and on other daemons.
  std::optional<TimePoint> UnansweredSince_;
  std::optional<WatchDelegate> Delegate_;
  std::set<std::string> Asked_; ///< Since the last pause.
  /// The last server asked; the next pass continues after it on the ring.
  std::string LastAsked_;
  TimePoint NextRound_;
  std::map<std::string, WatchDelegator> Delegators_;
  WatchDelegationCounters Counters_;
};

enum class WatchDelegationEventKind {
  DelegateFound,
  DelegateLost, ///< It stopped reporting, or the store stopped answering it.
  PassFailed,   ///< The store answers none of the servers asked.
  Resumed,      ///< The store answers this daemon, or it is no reader now.
};

struct WatchDelegationEvent {
  WatchDelegationEventKind Kind_ = WatchDelegationEventKind::DelegateFound;
  std::string Server_;    ///< The delegate, if there is one.
  Duration Unanswered_{}; ///< Time without an answer of the store here.
  std::uint32_t Asked_ = 0;
};

using WatchDelegationEvents = std::vector<WatchDelegationEvent>;

/// What this daemon knows of its own watch.
struct WatchState {
  bool IsReader_ = false;
  bool Answered_ = false; ///< The store has answered the current watch.
};

/// Asks for delegates, renews them, and reports to delegators whether the store
/// answers this daemon's watch; call it every 20 ms.
WatchDelegationEvents tickWatchDelegation(WatchDelegation &State,
                                          const Membership &Members,
                                          WatchState Watch, Now Time,
                                          Random &Rng, Outbox &Out);

/// Handles WatchRequest and WatchReport; ignores other messages.
WatchDelegationEvents receiveWatchDelegation(WatchDelegation &State,
                                             const wire::PeerMessage &Message,
                                             WatchState Watch, Now Time,
                                             Outbox &Out);

/// The own watch failed: tells the delegators, and no longer watches for them.
void reportWatchFailed(WatchDelegation &State, Outbox &Out);

/// Whether this daemon watches the store for other servers.
bool watchesForOthers(const WatchDelegation &State);

/// Servers for which this daemon watches.
std::vector<std::string> delegatorsOf(const WatchDelegation &State);

} // namespace sycamore

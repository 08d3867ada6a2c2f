// The table of the daemon's log events.
#include "sycamore/Events.h"

#include <array>
#include <xxhash.h>

namespace sycamore {
namespace {

constexpr auto Info = LogLevel::Info;
constexpr auto Warning = LogLevel::Warning;
constexpr auto ErrorLevel = LogLevel::Error;

/// Rate limits of log lines, for events that are rare and for those that a busy
/// fleet produces all the time.
constexpr std::uint32_t RarePerSecond = 50;
constexpr std::uint32_t FrequentPerSecond = 20;
/// One daemon's share of the refusals at peak load. Each refused request has a
/// line that lists all its attempts: at most about 450 KB per second.
constexpr std::uint32_t RefusalsPerSecond = 500;

constexpr std::array<EventType, static_cast<std::size_t>(LogEvent::Count)>
    Types = {{
        {LogEvent::Started, "started", Info, RarePerSecond, false,
         "the daemon listens; the effective settings without secrets"},
        {LogEvent::Leaving, "leaving", Info, RarePerSecond, false,
         "a planned stop began; calls still under way"},
        {LogEvent::Left, "left", Info, RarePerSecond, false,
         "the planned stop ended; cut_short: something was cut"},
        {LogEvent::SettingsReloaded, "settings-reloaded", Info, RarePerSecond,
         false, "SIGHUP: settings, keys and tokens were read again"},
        {LogEvent::SettingsNotReloaded, "settings-not-reloaded", ErrorLevel,
         RarePerSecond, false, "SIGHUP: the settings stay as they were"},
        {LogEvent::StoreReachable, "store-reachable", Info, RarePerSecond,
         false, "the store answers again; away_ms since the first failure"},
        {LogEvent::StoreUnreachable, "store-unreachable", Warning,
         RarePerSecond, false,
         "a call to the store failed after one that did not"},
        {LogEvent::StoreRestored, "store-restored", Warning, RarePerSecond,
         false,
         "the store came back from a copy and lacks what it acknowledged "
         "since; identity it states now, revision_before it had reached"},
        {LogEvent::PeerLinkSilent, "link-silent", Warning, RarePerSecond, false,
         "nothing came over a link with calls under way; it is replaced"},
        {LogEvent::PeerSocketFailed, "peer-socket-failed", Warning,
         RarePerSecond, false,
         "a call of ZeroMQ failed, for lack of descriptors for example; the "
         "message or the link is dropped"},
        {LogEvent::LinesDropped, "lines-dropped", Warning, RarePerSecond, false,
         "lines beyond the budget of their kind, by kind"},
        {LogEvent::TaskSlow, "task-slow", Warning, FrequentPerSecond, false,
         "one piece of work held the event loop; all requests waited"},
        {LogEvent::Totals, "totals", Info, RarePerSecond, false,
         "counters since the start, every 10 s"},
        {LogEvent::TicketApplied, "ticket-applied", Info, RarePerSecond, false,
         "this configuration is in force here from now on"},
        {LogEvent::TicketRejected, "ticket-rejected", Warning, RarePerSecond,
         false,
         "a configuration failed its checks; the one before stays in force"},
        {LogEvent::TicketSubstituted, "ticket-substituted", Warning,
         RarePerSecond, false,
         "routes have a kind of a later version; each request runs at most "
         "once"},
        {LogEvent::HeadUnreadable, "head-unreadable", ErrorLevel, RarePerSecond,
         false, "the store's head does not parse"},
        {LogEvent::SnapshotUnreadable, "snapshot-unreadable", ErrorLevel,
         RarePerSecond, false, "a stored snapshot does not parse"},
        {LogEvent::DepartureNotStored, "departure-not-stored", Warning,
         RarePerSecond, false,
         "the leaving of a target was acknowledged on the word of peers only; "
         "the write is tried again"},
        {LogEvent::DeparturesNotRestored, "departures-not-restored", Warning,
         RarePerSecond, false,
         "departures that a restored store lacks could not be written; they "
         "are written again"},
        {LogEvent::DeparturesNotRemoved, "departures-not-removed", Warning,
         RarePerSecond, false,
         "departures of more than 10 min ago stay in the store for now"},
        {LogEvent::SeedsSkipped, "seeds-skipped", Warning, RarePerSecond, false,
         "seeds in the store do not parse; used counts those that do"},
        {LogEvent::StoreItemsSkipped, "store-items-skipped", Warning,
         RarePerSecond, false,
         "items of the store do not parse; the others are used"},
        {LogEvent::FloorKnown, "floor-known", Info, RarePerSecond, false,
         "the lowest configuration that this start may run is known"},
        {LogEvent::FloorReached, "floor-reached", Info, RarePerSecond, false,
         "the configuration is at the floor: requests are served"},
        {LogEvent::ReaderBegan, "reader-began", Info, RarePerSecond, false,
         "this daemon watches the store for its data centre, or for itself "
         "when isolated; readers_silent when the readers do not answer it, "
         "unheard_ms since the last message of a peer"},
        {LogEvent::ReaderEnded, "reader-ended", Info, RarePerSecond, false,
         "other daemons watch the store for this data centre"},
        {LogEvent::WatchStarted, "watch-started", Info, RarePerSecond, false,
         "a watch of the configuration begins with a read; away_ms without"},
        {LogEvent::WatchEnded, "watch-ended", Warning, RarePerSecond, false,
         "the watch failed; lasted_ms, unanswered_ms since the store's last "
         "answer, retry_ms until the next one"},
        {LogEvent::WatchHistoryDropped, "watch-history-dropped", Warning,
         RarePerSecond, false,
         "the store has no history for the watch; the key is read again"},
        {LogEvent::WatchDelegated, "watch-delegated", Warning, RarePerSecond,
         false,
         "the store does not answer this reader; peer watches it instead"},
        {LogEvent::WatchDelegateLost, "watch-delegate-lost", Warning,
         RarePerSecond, false,
         "the store does not answer peer either, or peer is silent"},
        {LogEvent::WatchDelegateNotFound, "watch-delegate-not-found", Warning,
         RarePerSecond, false,
         "the store answers none of the servers asked; they are asked again"},
        {LogEvent::WatchResumed, "watch-resumed", Info, RarePerSecond, false,
         "the delegate peer is not needed any more"},
        {LogEvent::WatchRequested, "watch-requested", Info, RarePerSecond,
         false, "this daemon watches the store for the reader peer"},
        {LogEvent::ConfigurationStale, "configuration-stale", Warning,
         RarePerSecond, false,
         "the store's last confirmation of the ticket is age_ms old; requests "
         "with a credential are refused"},
        {LogEvent::ConfigurationConfirmed, "configuration-confirmed", Info,
         RarePerSecond, false,
         "the store has confirmed the ticket; requests with a credential are "
         "served"},
        {LogEvent::ServerJoined, "server-joined", Info, RarePerSecond, false,
         "a daemon was heard of for the first time"},
        {LogEvent::ServerAlive, "server-alive", Info, RarePerSecond, false,
         "a daemon came back or refuted a suspicion"},
        {LogEvent::ServerSuspect, "server-suspect", Warning, RarePerSecond,
         false, "a daemon does not answer probes"},
        {LogEvent::ServerLeaving, "server-leaving", Info, RarePerSecond, false,
         "a daemon announced a planned stop"},
        {LogEvent::ServerLeft, "server-left", Info, RarePerSecond, false,
         "a daemon ended its planned stop"},
        {LogEvent::ServerDead, "server-dead", Warning, RarePerSecond, false,
         "a suspected daemon did not refute in time"},
        {LogEvent::TargetChanged, "target-changed", Info, RarePerSecond, false,
         "a target of another host changed: usable, leaving or gone"},
        {LogEvent::IncarnationRaised, "own-incarnation-raised", Info,
         RarePerSecond, false, "this daemon refuted news about itself"},
        {LogEvent::WokeFromFreeze, "woke-from-freeze", Warning, RarePerSecond,
         false, "this process did not run for a while"},
        {LogEvent::TargetAnnounced, "target-announced", Info, RarePerSecond,
         false, "a target beside this daemon may be used"},
        {LogEvent::AnnouncementLate, "announcement-late", Info,
         FrequentPerSecond, false,
         "ignored: a delayed notice of a target's process that has left or "
         "restarted since"},
        {LogEvent::TargetReplaced, "target-replaced", Info, RarePerSecond,
         false, "another target took the address"},
        {LogEvent::TargetLeaving, "target-leaving", Info, RarePerSecond, false,
         "a target beside this daemon gets no new requests from now on"},
        {LogEvent::TargetSilent, "target-silent", Warning, RarePerSecond, false,
         "a target missed its announcements"},
        {LogEvent::TargetUnreachable, "target-unreachable", Warning,
         RarePerSecond, false,
         "a target refused a connection or is another process"},
        {LogEvent::HealthRejected, "health-rejected", Warning,
         FrequentPerSecond, false,
         "the answer to a status check is over its size limit; the target "
         "stays in use"},
        {LogEvent::NoticeRejected, "notice-rejected", Warning, RarePerSecond,
         false, "an announcement could not be read or is not of this host"},
        {LogEvent::TargetSlow, "target-slow", Info, RarePerSecond, false,
         "a target is much slower than the others of its service"},
        {LogEvent::TargetRecovered, "target-recovered", Info, RarePerSecond,
         false, "a slow target answers in the usual time"},
        {LogEvent::TargetEjected, "target-ejected", Info, RarePerSecond, false,
         "a target that refused connections is passed over for a while"},
        {LogEvent::TargetReadmitted, "target-readmitted", Info, RarePerSecond,
         false, "an ejected target answered"},
        {LogEvent::BucketTaken, "bucket-taken", Info, RarePerSecond, false,
         "this daemon holds a bucket of idempotency keys"},
        {LogEvent::BucketLost, "bucket-lost", Warning, RarePerSecond, false,
         "another daemon holds the bucket"},
        {LogEvent::LeaseLapsed, "lease-lapsed", Warning, RarePerSecond, false,
         "the lease on the held buckets is no longer certain"},
        {LogEvent::LeaseResumed, "lease-resumed", Info, RarePerSecond, false,
         "the lease is certain again"},
        {LogEvent::RequestSuspected, "request-suspected", Warning,
         RarePerSecond, false, "a target was lost while it ran this request"},
        {LogEvent::RequestQuarantined, "request-quarantined", Warning,
         RarePerSecond, false, "requests like this one are refused"},
        {LogEvent::QuarantineEnded, "quarantine-ended", Info, RarePerSecond,
         false, "requests like this one are served again"},
        {LogEvent::RolloutOrdered, "rollout-ordered", Info, RarePerSecond,
         false,
         "an operator ordered a roll-out; revision of the order in the store"},
        {LogEvent::RolloutOrderRejected, "rollout-order-rejected", Warning,
         RarePerSecond, false,
         "an order of a roll-out could not be read and changes nothing"},
        {LogEvent::RolloutHolderBegan, "rollout-holder-began", Info,
         RarePerSecond, false,
         "this daemon decides the roll-out from now on; former holder, if any"},
        {LogEvent::RolloutStep, "rollout-step", Info, RarePerSecond, false,
         "a share or a verdict is in force at this daemon"},
        {LogEvent::RolloutDecided, "rollout-decided", Info, RarePerSecond,
         false,
         "the verdict with its reason and the requests of both versions"},
        {LogEvent::RolloutStatusWritten, "rollout-status-written", Info,
         RarePerSecond, false, "the store states the verdict"},
        {LogEvent::RolloutStoreFailed, "rollout-store-failed", Warning,
         RarePerSecond, false,
         "the state of a roll-out could not be read or written; it is tried "
         "again"},
        {LogEvent::QuotaExceeded, "quota-exceeded", Warning, RarePerSecond,
         false, "requests of the tenant over its quota are refused here"},
        {LogEvent::QuotaKept, "quota-kept", Info, RarePerSecond, false,
         "the tenant has kept its quota here for 5 s"},
        {LogEvent::RequestNoRoute, "request-no-route", Info, FrequentPerSecond,
         false, "answered 404: no route of the ticket matches"},
        {LogEvent::RequestRefused, "request-refused", Info, RefusalsPerSecond,
         false, "answered 429 or 503 with proof that it did not run"},
        {LogEvent::RequestTimedOut, "request-timed-out", Info, RarePerSecond,
         false, "answered 504: its time ended before an answer came"},
        {LogEvent::RequestUnknown, "request-unknown", Warning, RarePerSecond,
         false, "answered 502: it may have run"},
        {LogEvent::RequestFailed, "request-failed", Info, RarePerSecond, false,
         "the target's own status of 500 or above was passed on"},
        {LogEvent::RequestAnswered, "request-answered", Info, RarePerSecond,
         true, "the target's answer was passed on"},
        {LogEvent::RequestAbandoned, "request-abandoned", Info,
         FrequentPerSecond, false,
         "the caller closed its connection first; the work is cancelled"},
        {LogEvent::RequestDropped, "request-dropped", Warning,
         FrequentPerSecond, false,
         "an unfinished request was over the limits for the memory of "
         "requests, "
         "or the process had few descriptors left; its connection was closed"},
        {LogEvent::AttemptSent, "attempt-sent", Info, RarePerSecond, true,
         "the first target was chosen"},
        {LogEvent::AttemptRepeated, "attempt-repeated", Info, RarePerSecond,
         true, "a further target was chosen: retry or hedge"},
        {LogEvent::AnswerPartRejected, "answer-part-rejected", Warning,
         FrequentPerSecond, false,
         "a part of an answer does not fit; the answer is requested again"},
        {LogEvent::AttemptRefused, "attempt-refused", Info, RarePerSecond, true,
         "the target's daemon did not admit the attempt"},
        {LogEvent::AttemptRunning, "attempt-running", Info, RarePerSecond, true,
         "the attempt was given to the target"},
        {LogEvent::AttemptAnswered, "attempt-answered", Info, RarePerSecond,
         true, "the target answered"},
        {LogEvent::AttemptFailed, "attempt-failed", Warning, RarePerSecond,
         false, "the target broke off, did not answer, or refused the request"},
        {LogEvent::AttemptCancelled, "attempt-cancelled", Info,
         FrequentPerSecond, false, "the entry daemon gave the attempt up"},
    }};

constexpr bool isOrdered() {
  for (std::size_t I = 0; I < Types.size(); ++I)
    if (static_cast<std::size_t>(Types[I].Event_) != I ||
        Types[I].Name_.empty())
      return false;
  return true;
}
static_assert(isOrdered(), "the rows must be in the order of the enumeration");

} // namespace

std::span<const EventType> eventTypes() { return Types; }

const EventType &eventTypeOf(LogEvent Kind) {
  return Types[static_cast<std::size_t>(Kind)];
}

bool isSampled(std::string_view RequestId) {
  return !RequestId.empty() &&
         XXH3_64bits(RequestId.data(), RequestId.size()) % SampleEvery == 0;
}

} // namespace sycamore

// All log events of the daemon: one row for each kind of line, with its level,
// its rate limit and its meaning. docs/OPERATIONS.md lists the same rows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace sycamore {

enum class LogLevel { Debug, Info, Warning, Error };

enum class LogEvent : std::size_t {
  // The process and what it depends on.
  Started,
  Leaving,
  Left,
  SettingsReloaded,
  SettingsNotReloaded,
  StoreReachable,
  StoreUnreachable,
  StoreRestored,
  PeerLinkSilent,
  PeerSocketFailed,
  LinesDropped,
  TaskSlow,
  Totals,
  // Configuration, membership, targets, buckets and quarantine.
  TicketApplied,
  TicketRejected,
  TicketSubstituted,
  HeadUnreadable,
  SnapshotUnreadable,
  DepartureNotStored,
  DeparturesNotRestored,
  DeparturesNotRemoved,
  SeedsSkipped,
  StoreItemsSkipped,
  FloorKnown,
  FloorReached,
  ReaderBegan,
  ReaderEnded,
  WatchStarted,
  WatchEnded,
  WatchHistoryDropped,
  WatchDelegated,
  WatchDelegateLost,
  WatchDelegateNotFound,
  WatchResumed,
  WatchRequested,
  ConfigurationStale,
  ConfigurationConfirmed,
  ServerJoined,
  ServerAlive,
  ServerSuspect,
  ServerLeaving,
  ServerLeft,
  ServerDead,
  TargetChanged,
  IncarnationRaised,
  WokeFromFreeze,
  TargetAnnounced,
  AnnouncementLate,
  TargetReplaced,
  TargetLeaving,
  TargetSilent,
  TargetUnreachable,
  HealthRejected,
  NoticeRejected,
  TargetSlow,
  TargetRecovered,
  TargetEjected,
  TargetReadmitted,
  BucketTaken,
  BucketLost,
  LeaseLapsed,
  LeaseResumed,
  RequestSuspected,
  RequestQuarantined,
  QuarantineEnded,
  RolloutOrdered,
  RolloutOrderRejected,
  RolloutHolderBegan,
  RolloutStep,
  RolloutDecided,
  RolloutStatusWritten,
  RolloutStoreFailed,
  QuotaExceeded,
  QuotaKept,
  // Requests at the entry daemon.
  RequestNoRoute,
  RequestRefused,
  RequestTimedOut,
  RequestUnknown,
  RequestFailed,
  RequestAnswered,
  RequestAbandoned,
  RequestDropped,
  AttemptSent,
  AttemptRepeated,
  AnswerPartRejected,
  // Requests at the daemon beside the target.
  AttemptRefused,
  AttemptRunning,
  AttemptAnswered,
  AttemptFailed,
  AttemptCancelled,
  Count
};

struct EventType {
  LogEvent Event_ = LogEvent::Count;
  std::string_view Name_; ///< Field "event" of the line.
  LogLevel Level_ = LogLevel::Info;
  /// Maximum lines of this kind per second; further lines are counted and
  /// dropped.
  std::uint32_t MaxLinesPerSecond_ = 20;
  /// Normal progress of a request: logged only for sampled request ids.
  bool SampledOnly_ = false;
  std::string_view Doc_; ///< Meaning, as in docs/OPERATIONS.md.
};

/// One row for each event, in the order of the enumeration.
std::span<const EventType> eventTypes();
const EventType &eventTypeOf(LogEvent Kind);

/// About one in this many requests is sampled.
inline constexpr std::uint64_t SampleEvery = 64;
/// Whether the normal progress of the request with this id is logged. Every
/// daemon samples the same ids; an empty id is never sampled.
bool isSampled(std::string_view RequestId);

} // namespace sycamore

// Everything that the daemon logs: one row for each kind of line, with its
// level, its budget and what it means. docs/OPERATIONS.md lists the same rows.
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
  PeerLinkSilent,
  LinesDropped,
  Totals,
  // Beliefs.
  TicketApplied,
  TicketRejected,
  HeadUnreadable,
  SnapshotUnreadable,
  FloorKnown,
  FloorReached,
  ReaderBegan,
  ReaderEnded,
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
  TargetReplaced,
  TargetLeaving,
  TargetSilent,
  TargetUnreachable,
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
  // Requests at the entry daemon.
  RequestNoRoute,
  RequestRefused,
  RequestTimedOut,
  RequestUnknown,
  RequestFailed,
  RequestAnswered,
  RequestAbandoned,
  AttemptSent,
  AttemptRepeated,
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
  /// Lines of this kind in one second; more are counted and dropped.
  std::uint32_t PerSecond_ = 20;
  /// Ordinary progress of a request: only sampled ids are logged.
  bool Routine_ = false;
  std::string_view Doc_;
};

/// One row for each event, in the order of the enumeration.
std::span<const EventType> eventTypes();
const EventType &typeOf(LogEvent Kind);

/// Whether the request with this id is among those whose ordinary progress is
/// logged: the same ones on every daemon. About one in SampleEvery.
inline constexpr std::uint64_t SampleEvery = 64;
bool isSampled(std::string_view RequestId);

} // namespace sycamore

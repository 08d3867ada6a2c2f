// Limits of the wait in a target's queue for the first attempts of a call.
//
// The target's daemon knows its queue exactly, an entry daemon only from old
// answers. The first attempts therefore ask for a slot that is free now or
// soon; a refusal costs one message each way, reaches no target and reports the
// present load. While nearly all targets refuse, further attempts would only
// multiply messages, so the limit is then used for a few calls only, which find
// out when that has changed.
#pragma once

#include "sycamore/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace sycamore {

struct WaitLimitOptions {
  /// Largest number of attempts of a call with a limit.
  std::uint32_t MaxAttempts_ = 2;
  /// The limit as a share of the expected time in the slot, and of the time
  /// left until the latency target after that.
  double CostShare_ = 0.1;
  double SlackShare_ = 0.1;
  /// Smallest limit: a shorter wait costs less than another attempt.
  Duration Least_ = milliseconds(5);
  /// With a larger share of recent refusals than this, only one call in
  /// TestInterval_ has a limit.
  double BusyShare_ = 0.7;
  std::uint32_t TestInterval_ = 8;
  double Gain_ = 0.1; ///< Weight of a new outcome in the share.
  std::size_t MaxServices_ = 1024;
};

/// Recent outcomes of attempts with a limit at the targets of a service.
struct WaitLimitStats {
  double RefusedShare_ = 0;
  std::uint32_t Skipped_ = 0; ///< Calls without a limit since the last test.
};

struct WaitLimitCounters {
  std::uint64_t Refused_ = 0;
  std::uint64_t Accepted_ = 0;
  std::uint64_t SkippedBusy_ = 0; ///< Calls without a limit: targets are busy.
};

struct WaitLimits {
  WaitLimitOptions Options_;
  WaitLimitCounters Counters_;
  std::unordered_map<std::string, WaitLimitStats> Services_;
};

/// Limit for the next attempt of a call, after Earlier ones with a limit;
/// nothing for no limit. Cost is the expected time in the slot. Slack is the
/// time until the latency target, if the route has one.
std::optional<Duration> waitLimit(WaitLimits &Table, const std::string &Service,
                                  std::uint32_t Earlier, Duration Cost,
                                  std::optional<Duration> Slack);

/// Records the end of an attempt with a limit.
void recordWaitLimited(WaitLimits &Table, const std::string &Service,
                       bool Refused);

} // namespace sycamore

// Discrete-event simulation of quarantine: entry daemons, targets, callers of a
// request that crashes every target that runs it, and innocent requests at the
// same time. Gossip is delayed; there is no I/O.
#pragma once

#include "sycamore/Quarantine.h"

namespace sycamore::bench {

struct QuarantineRunConfig {
  std::uint64_t Seed_ = 1;
  std::size_t Daemons_ = 13; ///< Each is an entry daemon beside one target.
  std::size_t Callers_ = 1;  ///< Of the crashing request.
  /// Interval at which a caller sends the request again, with or without a
  /// response. Unset: a caller resends after each response.
  std::optional<Duration> ResendInterval_;
  Duration GossipDelay_ = milliseconds(600); ///< Maximum; uniform from 0.
  Duration RestartDelay_ =
      seconds(10); ///< From the loss of a target to its next announcement.
  Duration Length_ = seconds(50);
  double InnocentRate_ = 200; ///< Requests per second.
  QuarantineOptions Options_;
  bool Enabled_ = true;             ///< False: the baseline without quarantine.
  bool OneSuspectTarget_ = true;    ///< False: suspects run on any target.
  std::optional<Duration> ClearAt_; ///< Operator's command at one daemon.
};

struct QuarantineRunResult {
  std::uint64_t Losses_ = 0;               ///< Targets lost in the whole run.
  Duration LastLoss_{0};                   ///< Time of the last one.
  std::uint64_t Innocents_ = 0;            ///< Innocent requests answered.
  std::uint64_t InnocentsDelayed_ = 0;     ///< Of these, refused at least once.
  Duration LongestDelay_{0};               ///< From first refusal to response.
  std::uint64_t InnocentsQuarantined_ = 0; ///< Events, summed over daemons.
  std::uint64_t CrashingRefused_ = 0;
};

QuarantineRunResult runQuarantine(const QuarantineRunConfig &Config);

} // namespace sycamore::bench

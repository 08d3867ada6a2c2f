// Event-driven run of the load-policy tables with fake targets and delays, on
// a fake clock. There is no I/O: a call costs its delays between data centres
// and its time in a slot.
#pragma once

#include "sycamore/Admission.h"
#include "sycamore/Placement.h"
#include "sycamore/RetryPolicy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::bench {

/// One of the two sizes of design.md.
struct Site {
  std::string Name_;
  std::vector<std::pair<std::string, std::size_t>> Services_; ///< Servers.
  std::uint32_t Slots_ = 6;
  Duration BetweenDataCentres_{0}; ///< One way.
};

Site daegu();
Site ashworth();

/// Which decisions are taken by the product; all false is the plain baseline:
/// round robin, unbounded queue in order of arrival, no cancellation, no
/// hedging, no reserved slots.
struct Policy {
  bool Placement_ = true;
  bool Admission_ = true;
  bool Retries_ = true;
  bool Hedging_ = true;
  PlacementOptions PlacementOptions_;
  AdmissionOptions AdmissionOptions_;
  HedgeOptions HedgeOptions_;
};

Policy product();
Policy baseline();

/// A kind of customer request.
struct Workload {
  std::string Route_;
  std::size_t Service_ = 0;          ///< Index into Site::Services_.
  double Rate_ = 0;                  ///< Requests per second at factor 1.
  Duration Work_ = milliseconds(10); ///< Mean time in the slot of one call.
  std::uint32_t Deepest_ = 0;        ///< Depth of the last nested call.
  std::size_t Partner_ = 0;          ///< Service of calls of odd depth.
  double LongShare_ = 0;
  double LongFactor_ = 50;
  bool LongKnown_ = false; ///< Long requests have a route of their own.
};

/// Demand as a factor of Workload::Rate_: from Before_ to Peak_ between
/// RiseFrom_ and RiseTo_, and back to Before_ at FallAt_.
struct Demand {
  double Before_ = 1;
  double Peak_ = 1;
  Duration RiseFrom_{0};
  Duration RiseTo_{0};
  Duration FallAt_{0};
};

/// A target that runs slower for a time.
struct Slowdown {
  std::size_t Service_ = 0;
  std::size_t Server_ = 0;
  double Factor_ = 10;
  Duration From_{0};
  Duration To_{0};
};

struct RunConfig {
  Site Site_;
  Policy Policy_;
  std::uint64_t Seed_ = 1;
  Duration Length_ = seconds(10);
  std::vector<Workload> Workloads_;
  Demand Demand_;
  std::vector<Slowdown> Slowdowns_;
  Duration ClientDelay_ = milliseconds(8); ///< One way.
  Duration Timeout_ = milliseconds(1000);
  /// Age of the load on every answer.
  Duration ReportDelay_{0};
  std::uint32_t Resends_ = 0; ///< By customers, after a refusal or timeout.
};

/// One customer request, with its resends.
struct Sample {
  TimePoint Sent_{}; ///< First send.
  TimePoint Ended_{};
  Duration Latency_{0}; ///< Of the attempt that was answered.
  std::size_t Workload_ = 0;
  bool Answered_ = false; ///< In time.
  bool Long_ = false;
};

struct RunResult {
  std::vector<Sample> Samples_;
  std::uint64_t Calls_ = 0; ///< At entry daemons, nested ones included.
  std::uint64_t Hedges_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t ConflictRefusals_ = 0;
  double SlotSeconds_ = 0; ///< Time in slots of all attempts.
  /// Of hedges, whether or not their answer was used. It is at least the work
  /// that hedging adds: without the hedge the first attempt would have run to
  /// its end.
  double HedgeSlotSeconds_ = 0;
};

RunResult run(const RunConfig &Config);

} // namespace sycamore::bench

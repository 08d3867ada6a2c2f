// Discrete-event simulation of the load policies with simulated targets,
// network delays and clock. There is no I/O: a call takes its delays between
// data centres and its time in a slot.
#pragma once

#include "sycamore/Admission.h"
#include "sycamore/Placement.h"
#include "sycamore/RetryPolicy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::bench {

/// One of the two deployment sizes of design.md.
struct Site {
  std::string Name_;
  /// Names of the services and their numbers of servers.
  std::vector<std::pair<std::string, std::size_t>> Services_;
  std::uint32_t Slots_ = 6;
  Duration InterDataCentreDelay_{0}; ///< One way.
};

Site daegu();
Site ashworth();

/// Which decisions the product code makes. All false is the baseline: round
/// robin, unbounded FIFO queue, no cancellation, no hedging, no reserved slots.
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

/// One class of customer requests.
struct Workload {
  std::string Route_;
  std::size_t Service_ = 0;          ///< Index into Site::Services_.
  double Rate_ = 0;                  ///< Requests per second at factor 1.
  Duration Work_ = milliseconds(10); ///< Mean time in the slot of one call.
  std::uint32_t MaxDepth_ = 0;       ///< Of nested calls; 0 for none.
  std::size_t OddDepthService_ = 0;  ///< Index, for calls of odd depth.
  double LongShare_ = 0;
  double LongFactor_ = 50;
  bool LongHaveOwnRoute_ = false; ///< Long requests use Route_ + "-long".
};

/// Demand as a factor of Workload::Rate_: from Base_ to Peak_ between
/// RiseFrom_ and RiseTo_, and back to Base_ at FallAt_.
struct Demand {
  double Base_ = 1;
  double Peak_ = 1;
  Duration RiseFrom_{0};
  Duration RiseTo_{0};
  Duration FallAt_{0};
};

/// Interval in which a target runs slower by a factor.
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
  /// Age of the load report in every response.
  Duration ReportDelay_{0};
  std::uint32_t MaxResends_ = 0; ///< By customers, after refusals or timeouts.
};

/// One customer request, with its resends.
struct Sample {
  TimePoint Sent_{}; ///< First send.
  TimePoint Ended_{};
  Duration Latency_{0}; ///< Of the last send.
  std::size_t Workload_ = 0;
  bool Answered_ = false; ///< Within the timeout.
  bool Long_ = false;
};

struct RunResult {
  std::vector<Sample> Samples_;
  std::uint64_t Calls_ = 0; ///< At entry daemons, including nested calls.
  std::uint64_t Hedges_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t ConflictRefusals_ = 0;
  double SlotSeconds_ = 0; ///< Slot time used by all attempts.
  /// Slot time used by hedges, whether or not their response was used. It is an
  /// upper bound of the work that hedging adds, because without the hedge the
  /// first attempt would have run to its end.
  double HedgeSlotSeconds_ = 0;
};

RunResult run(const RunConfig &Config);

} // namespace sycamore::bench

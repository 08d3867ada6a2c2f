// Expected run time of requests and size of their answers, learnt from observed
// ones.
#pragma once

#include "sycamore/RunningQuantile.h"
#include "sycamore/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sycamore {

struct RouteCostOptions {
  Duration DefaultCost_ = milliseconds(5); ///< Before any observation.
  double Gain_ = 0.02; ///< Weight of a new observation in the mean.
  /// A route is long when its median is more than this many times the median of
  /// all calls. The mean is unsuitable: a single request that ran 50 times
  /// longer raised it above this ratio, which closed most slots to the whole
  /// route.
  double LongRatio_ = 8.0;
  std::size_t MaxRoutes_ = 4096;
};

struct RouteCostEntry {
  double MeanUs_ = 0;
  double MeanAnswerBytes_ = 0;
  RunningQuantile Median_{0.5, 0.1};
  std::uint64_t Count_ = 0;
  std::uint64_t LastUse_ = 0; ///< Value of RouteCost::UseCounter_.
};

struct RouteCostCounters {
  std::uint64_t Observations_ = 0;
  std::uint64_t Forgotten_ = 0; ///< Entries evicted by MaxRoutes_.
};

/// Keys are chosen by the user of the table: a route, or a route together with
/// what its cost depends on, such as the path, the method or the depth.
struct RouteCost {
  RouteCostOptions Options_;
  RouteCostCounters Counters_;
  std::unordered_map<std::string, RouteCostEntry, std::hash<std::string>,
                     std::equal_to<>>
      Routes_;
  RunningQuantile OverallMedian_{0.5, 0.05}; ///< Median of all calls, in us.
  double OverallMeanUs_ = 0;
  std::uint64_t UseCounter_ = 0;
};

/// Mean time in the slot. For a key without observations, the mean of all
/// calls, or DefaultCost_ before the first call.
Duration expectedCost(const RouteCost &Table, const std::string &Key);

/// Adds the time for which one request held its slot.
void recordCost(RouteCost &Table, const std::string &Key, Duration ServiceTime);

/// Adds the mean that one of several targets reports for a key. Returns its
/// ratio to the mean of all reports for the key, or 0 if Reported is 0.
double recordReportedCost(RouteCost &Table, const std::string &Key,
                          Duration Reported);

/// Mean size of the answers' bodies; 0 for a key without observations.
std::uint64_t expectedAnswerBytes(const RouteCost &Table,
                                  const std::string &Key);

/// Adds the size of one answer's body. Call it after recordCost() of the same
/// request.
void recordAnswerBytes(RouteCost &Table, const std::string &Key,
                       std::uint64_t Bytes);

/// Whether the median of this key is more than LongRatio_ times the median of
/// all calls. False without observations.
bool isLong(const RouteCost &Table, const std::string &Key);

} // namespace sycamore

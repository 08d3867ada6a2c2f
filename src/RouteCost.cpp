// Expected run time of requests and size of their answers, learnt from observed
// ones.
#include "sycamore/RouteCost.h"

#include <algorithm>
#include <cmath>

namespace sycamore {
namespace {

RouteCostEntry &findOrCreateEntry(RouteCost &Table, const std::string &Key) {
  auto Found = Table.Routes_.find(Key);
  if (Found != Table.Routes_.end())
    return Found->second;
  if (Table.Routes_.size() >= Table.Options_.MaxRoutes_) {
    auto Oldest =
        std::min_element(Table.Routes_.begin(), Table.Routes_.end(),
                         [](const auto &Left, const auto &Right) {
                           return Left.second.LastUse_ < Right.second.LastUse_;
                         });
    Table.Routes_.erase(Oldest);
    ++Table.Counters_.Forgotten_;
  }
  return Table.Routes_[Key];
}

/// Updates an arithmetic mean for the first 1 / Gain values, and an
/// exponentially weighted mean from then on.
void addToMean(double &Mean, double Value, std::uint64_t Count, double Gain) {
  Mean += (Value - Mean) * std::max(Gain, 1.0 / static_cast<double>(Count));
}

} // namespace

Duration expectedCost(const RouteCost &Table, const std::string &Key) {
  auto Found = Table.Routes_.find(Key);
  if (Found != Table.Routes_.end())
    return Duration(std::llround(Found->second.MeanUs_));
  if (Table.Counters_.Observations_ > 0)
    return Duration(std::llround(Table.OverallMeanUs_));
  return Table.Options_.DefaultCost_;
}

void recordCost(RouteCost &Table, const std::string &Key,
                Duration ServiceTime) {
  auto Value = static_cast<double>(ServiceTime.count());
  RouteCostEntry &Entry = findOrCreateEntry(Table, Key);
  Entry.LastUse_ = ++Table.UseCounter_;
  ++Entry.Count_;
  ++Table.Counters_.Observations_;
  addToMean(Entry.MeanUs_, Value, Entry.Count_, Table.Options_.Gain_);
  addToMean(Table.OverallMeanUs_, Value, Table.Counters_.Observations_,
            Table.Options_.Gain_ / 10);
  addValue(Entry.Median_, Value);
  addValue(Table.OverallMedian_, Value);
}

double recordReportedCost(RouteCost &Table, const std::string &Key,
                          Duration Reported) {
  if (Reported <= Duration(0))
    return 0;
  // One target that reports false figures must not shift the mean of all.
  constexpr double MaxRatio = 4;
  constexpr std::uint64_t MinReports = 8;
  Duration Bounded = Reported;
  auto Found = Table.Routes_.find(Key);
  if (Found != Table.Routes_.end() && Found->second.Count_ >= MinReports) {
    double MedianUs = estimateOf(Found->second.Median_);
    Bounded = Duration(
        std::llround(std::clamp(static_cast<double>(Reported.count()),
                                MedianUs / MaxRatio, MedianUs * MaxRatio)));
  }
  recordCost(Table, Key, Bounded);
  return static_cast<double>(Reported.count()) / Table.Routes_.at(Key).MeanUs_;
}

std::uint64_t expectedAnswerBytes(const RouteCost &Table,
                                  const std::string &Key) {
  auto Found = Table.Routes_.find(Key);
  return Found == Table.Routes_.end() ? 0
                                      : static_cast<std::uint64_t>(std::llround(
                                            Found->second.MeanAnswerBytes_));
}

void recordAnswerBytes(RouteCost &Table, const std::string &Key,
                       std::uint64_t Bytes) {
  RouteCostEntry &Entry = findOrCreateEntry(Table, Key);
  addToMean(Entry.MeanAnswerBytes_, static_cast<double>(Bytes),
            std::max<std::uint64_t>(Entry.Count_, 1), Table.Options_.Gain_);
}

bool isLong(const RouteCost &Table, const std::string &Key) {
  auto Found = Table.Routes_.find(Key);
  return Found != Table.Routes_.end() &&
         estimateOf(Found->second.Median_) >
             estimateOf(Table.OverallMedian_) * Table.Options_.LongRatio_;
}

} // namespace sycamore

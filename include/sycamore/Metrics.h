// Duration histograms (Boost.Histogram) and the Prometheus text format. Each
// module keeps its counters in a struct of its own; the daemon formats them all
// when the metrics are requested.
#pragma once

#include "sycamore/Time.h"

#include <boost/histogram.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamore {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Durations from 10 us to 100 s on a logarithmic axis of 70 bins, ten for
/// each factor of ten.
class DurationHistogram {
public:
  DurationHistogram();

  void record(Duration Value);

  std::uint64_t count() const { return Count_; }
  Duration sum() const { return Sum_; }

  /// Upper edge of the bin that contains the quantile (0 to 1); 0 when empty.
  Duration quantile(double Quantile) const;

  /// Upper edge in seconds and cumulative count of each bin, without +Inf.
  std::vector<std::pair<double, std::uint64_t>> cumulative() const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(1, 1.0, 2.0))) Bins_;
  std::uint64_t Count_ = 0;
  Duration Sum_{0};
};

/// A page in the Prometheus text format.
struct MetricsPage {
  std::string Text_;
  /// HELP and TYPE lines are written once per name.
  std::string LastMetricName_;
};

void writeCounter(MetricsPage &Page, std::string_view Name,
                  std::string_view Help, std::uint64_t Value,
                  const MetricLabels &Labels = {});
void writeGauge(MetricsPage &Page, std::string_view Name, std::string_view Help,
                double Value, const MetricLabels &Labels = {});
void writeHistogram(MetricsPage &Page, std::string_view Name,
                    std::string_view Help, const DurationHistogram &Value,
                    const MetricLabels &Labels = {});

} // namespace sycamore

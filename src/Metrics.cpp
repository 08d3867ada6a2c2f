// Duration histograms and the Prometheus text format.
#include "sycamore/Metrics.h"

#include <array>
#include <cstdio>

namespace sycamore {
namespace {

constexpr unsigned BinCount = 70;
constexpr double LowestSeconds = 1e-5;
constexpr double HighestSeconds = 100.0;

std::string formatNumber(double Value) {
  std::array<char, 32> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.9g", Value);
  return Buffer.data();
}

std::string escapeLabel(std::string_view Value) {
  std::string Out;
  for (char Character : Value) {
    if (Character == '\\' || Character == '"')
      Out += '\\';
    if (Character == '\n')
      Out += "\\n";
    else
      Out += Character;
  }
  return Out;
}

std::string formatLabels(const MetricLabels &Labels) {
  if (Labels.empty())
    return {};
  std::string Out = "{";
  for (const auto &[Name, Value] : Labels) {
    if (Out.size() > 1)
      Out += ',';
    Out += Name + "=\"" + escapeLabel(Value) + "\"";
  }
  return Out + "}";
}

void writeMetadata(MetricsPage &Page, std::string_view Name,
                   std::string_view Help, std::string_view Type) {
  if (Page.LastMetricName_ == Name)
    return;
  Page.LastMetricName_ = Name;
  Page.Text_.append("# HELP ").append(Name).append(" ").append(Help);
  Page.Text_.append("\n# TYPE ").append(Name).append(" ").append(Type);
  Page.Text_ += '\n';
}

void writeSample(MetricsPage &Page, std::string_view Name,
                 const MetricLabels &Labels, const std::string &Value) {
  Page.Text_.append(Name).append(formatLabels(Labels)).append(" ");
  Page.Text_.append(Value).append("\n");
}

} // namespace

DurationHistogram::DurationHistogram()
    : Bins_(boost::histogram::make_histogram(
          Axis(BinCount, LowestSeconds, HighestSeconds))) {}

void DurationHistogram::record(Duration Value) {
  Bins_(std::chrono::duration<double>(Value).count());
  ++Count_;
  Sum_ += Value;
}

std::vector<std::pair<double, std::uint64_t>>
DurationHistogram::cumulative() const {
  std::vector<std::pair<double, std::uint64_t>> Out;
  // Index -1 is the underflow bin, for values below the lowest edge.
  auto Total = static_cast<std::uint64_t>(Bins_.at(-1));
  for (int Bin = 0; Bin < Bins_.axis().size(); ++Bin) {
    Total += static_cast<std::uint64_t>(Bins_.at(Bin));
    Out.emplace_back(Bins_.axis().bin(Bin).upper(), Total);
  }
  return Out;
}

Duration DurationHistogram::quantile(double Quantile) const {
  if (Count_ == 0)
    return Duration(0);
  double Rank = Quantile * static_cast<double>(Count_);
  for (const auto &[Edge, Total] : cumulative())
    if (static_cast<double>(Total) >= Rank)
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Edge));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(HighestSeconds));
}

void writeCounter(MetricsPage &Page, std::string_view Name,
                  std::string_view Help, std::uint64_t Value,
                  const MetricLabels &Labels) {
  writeMetadata(Page, Name, Help, "counter");
  writeSample(Page, Name, Labels, std::to_string(Value));
}

void writeGauge(MetricsPage &Page, std::string_view Name, std::string_view Help,
                double Value, const MetricLabels &Labels) {
  writeMetadata(Page, Name, Help, "gauge");
  writeSample(Page, Name, Labels, formatNumber(Value));
}

void writeHistogram(MetricsPage &Page, std::string_view Name,
                    std::string_view Help, const DurationHistogram &Value,
                    const MetricLabels &Labels) {
  writeMetadata(Page, Name, Help, "histogram");
  std::string BucketName = std::string(Name) + "_bucket";
  MetricLabels BucketLabels = Labels;
  BucketLabels.emplace_back("le", "");
  for (const auto &[Edge, Total] : Value.cumulative()) {
    BucketLabels.back().second = formatNumber(Edge);
    writeSample(Page, BucketName, BucketLabels, std::to_string(Total));
  }
  BucketLabels.back().second = "+Inf";
  writeSample(Page, BucketName, BucketLabels, std::to_string(Value.count()));
  writeSample(Page, std::string(Name) + "_sum", Labels,
              formatNumber(std::chrono::duration<double>(Value.sum()).count()));
  writeSample(Page, std::string(Name) + "_count", Labels,
              std::to_string(Value.count()));
}

} // namespace sycamore

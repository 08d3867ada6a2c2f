// Line plots as SVG documents.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace sycamore {

struct PlotSeries {
  std::string Name_;
  std::vector<std::pair<double, double>> Points_;
  bool Dashed_ = false;
};

struct PlotAxis {
  std::string Label_;
  std::vector<std::pair<double, std::string>> Ticks_;
  bool Logarithmic_ = false; ///< Values must then be positive.
};

/// Ticks at round numbers that cover 0 to Highest.
std::vector<std::pair<double, std::string>> linearTicks(double Highest);

/// Ticks at powers of ten that cover the range.
std::vector<std::pair<double, std::string>> decadeTicks(double Lowest,
                                                        double Highest);

/// Each axis reaches from its first to its last tick, so it needs at least two.
std::string renderPlot(const std::string &Title, const PlotAxis &X,
                       const PlotAxis &Y,
                       const std::vector<PlotSeries> &Series);

std::string escapeMarkup(std::string_view Text);

} // namespace sycamore

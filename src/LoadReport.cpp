// Report of load runs.
#include "LoadReport.h"

#include "LoadPlot.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace sycamore {
namespace {

std::string formatFixed(double Value, int Digits) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(Digits) << Value;
  return Out.str();
}

std::string formatMilliseconds(Duration Span) {
  return formatFixed(static_cast<double>(Span.count()) / 1000, 2);
}

double ratePerSecond(std::uint64_t Count, Duration Length) {
  std::chrono::duration<double> Span = Length;
  return Span.count() > 0 ? static_cast<double>(Count) / Span.count() : 0;
}

/// Replaces the characters that would end a Markdown table cell.
std::string sanitizeTableCell(std::string Text) {
  std::replace(Text.begin(), Text.end(), '|', '/');
  std::replace(Text.begin(), Text.end(), '\n', ' ');
  return Text;
}

constexpr const char *TableHeader =
    "| phase | request | sent | good | wrong | failed | not run | unknown | "
    "resends | goodput/s | p50 ms | p90 ms | p99 ms | p99.9 ms | max ms |\n"
    "| --- | --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | "
    "--: | --: | --: | --: |\n";

void writeRow(std::ostream &Out, const std::string &Phase,
              const std::string &Request, const RequestStats &Stats,
              Duration Length) {
  Out << "| " << sanitizeTableCell(Phase) << " | " << sanitizeTableCell(Request)
      << " | " << Stats.total();
  for (std::uint64_t Count : Stats.Outcomes_)
    Out << " | " << Count;
  Out << " | " << Stats.Resends_ << " | "
      << formatFixed(ratePerSecond(Stats.count(LoadOutcome::Good), Length), 1);
  for (double Fraction : {0.5, 0.9, 0.99, 0.999})
    Out << " | " << formatMilliseconds(Stats.Latency_.percentile(Fraction));
  Out << " | " << formatMilliseconds(Stats.Latency_.max()) << " |\n";
}

std::string phaseName(const LoadScenario &Scenario, std::size_t Index) {
  const LoadPhase &Phase = Scenario.Phases_[Index];
  std::string Name =
      Phase.Name_.empty() ? std::to_string(Index + 1) : Phase.Name_;
  return Phase.Warmup_ ? Name + " (warm-up)" : Name;
}

void writeScenario(std::ostream &Out, const LoadResult &Result) {
  const LoadScenario &Scenario = Result.Scenario_;
  Out << "## " << sanitizeTableCell(Scenario.Name_) << "\n\n"
      << Scenario.Addresses_.size() << " addresses, timeout "
      << toMilliseconds(Scenario.Timeout_) << " ms, "
      << (Scenario.EvenlySpaced_ ? "even" : "random") << " arrivals, seed "
      << Scenario.Seed_ << ". Send delay of the generator: p50 "
      << formatMilliseconds(Result.SendDelay_.percentile(0.5)) << " ms, p99 "
      << formatMilliseconds(Result.SendDelay_.percentile(0.99)) << " ms, max "
      << formatMilliseconds(Result.SendDelay_.max()) << " ms.\n\n"
      << TableHeader;
  for (std::size_t I = 0; I < Scenario.Phases_.size(); ++I) {
    Duration Length = Scenario.Phases_[I].Length_;
    for (std::size_t J = 0; J < Scenario.Requests_.size(); ++J)
      writeRow(Out, phaseName(Scenario, I), Scenario.Requests_[J].Name_,
               Result.Stats_[I][J], Length);
    if (Scenario.Requests_.size() > 1)
      writeRow(Out, phaseName(Scenario, I), "all", Result.phaseTotal(I),
               Length);
  }
  writeRow(Out, "all", "all", Result.total(), Result.totalLength());
  Out << "\n";
}

std::string ratio(double Value, double Base) {
  return Base > 0 ? formatFixed(Value / Base, 3) : "-";
}

void writeComparison(std::ostream &Out,
                     const std::vector<LoadResult> &Results) {
  Out << "## Comparison\n\nRatios are to the first scenario and exclude "
         "warm-up phases.\n\n"
      << "| scenario | goodput/s | ratio | good share | p50 ms | ratio | "
         "p99 ms | ratio | p99.9 ms | ratio |\n"
      << "| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: |\n";
  RequestStats Base = Results.front().total();
  double BaseRate = ratePerSecond(Base.count(LoadOutcome::Good),
                                  Results.front().totalLength());
  for (const LoadResult &Result : Results) {
    RequestStats Stats = Result.total();
    std::uint64_t Good = Stats.count(LoadOutcome::Good);
    double Rate = ratePerSecond(Good, Result.totalLength());
    Out << "| " << sanitizeTableCell(Result.Scenario_.Name_) << " | "
        << formatFixed(Rate, 1) << " | " << ratio(Rate, BaseRate) << " | "
        << ratio(static_cast<double>(Good), static_cast<double>(Stats.total()));
    for (double Fraction : {0.5, 0.99, 0.999}) {
      Duration Value = Stats.Latency_.percentile(Fraction);
      Out << " | " << formatMilliseconds(Value) << " | "
          << ratio(static_cast<double>(Value.count()),
                   static_cast<double>(
                       Base.Latency_.percentile(Fraction).count()));
    }
    Out << " |\n";
  }
  Out << "\n";
}

/// The x axis is logarithmic in 1 / (1 - percentile): 10 for p90, 100 for p99.
std::string latencyPlot(const std::vector<LoadResult> &Results) {
  std::vector<PlotSeries> Series;
  double Lowest = 1e9;
  double Highest = 0;
  for (const LoadResult &Result : Results) {
    RequestStats Stats = Result.total();
    PlotSeries Line{Result.Scenario_.Name_, {}, false};
    for (double InverseTail = 1; InverseTail <= 10000; InverseTail *= 1.1) {
      double Fraction = std::max(1 - 1 / InverseTail, 1e-9);
      double Value =
          static_cast<double>(Stats.Latency_.percentile(Fraction).count()) /
          1000;
      if (Value <= 0)
        continue;
      Line.Points_.emplace_back(InverseTail, Value);
      Lowest = std::min(Lowest, Value);
      Highest = std::max(Highest, Value);
    }
    Series.push_back(std::move(Line));
  }
  PlotAxis X{"percentile of good responses",
             {{1, "min"},
              {2, "50"},
              {10, "90"},
              {100, "99"},
              {1000, "99.9"},
              {10000, "99.99"}},
             true};
  PlotAxis Y{"latency in ms", decadeTicks(std::min(Lowest, 1e6), Highest),
             true};
  return renderPlot("Latency from the intended send time", X, Y, Series);
}

std::string ratePlot(const std::vector<LoadResult> &Results) {
  std::vector<PlotSeries> Series;
  double LastTime = 1;
  double Highest = 1;
  for (const LoadResult &Result : Results) {
    PlotSeries Offered{Result.Scenario_.Name_ + " offered", {}, true};
    PlotSeries Good{Result.Scenario_.Name_ + " good", {}, false};
    std::chrono::duration<double> Length = Result.SliceLength_;
    for (std::size_t I = 0; I < Result.Slices_.size(); ++I) {
      const LoadSlice &Slice = Result.Slices_[I];
      double At = static_cast<double>(I) * Length.count();
      Offered.Points_.emplace_back(
          At, ratePerSecond(Slice.Offered_, Result.SliceLength_));
      Good.Points_.emplace_back(
          At, ratePerSecond(Slice.Good_, Result.SliceLength_));
      Highest = std::max(
          {Highest, Offered.Points_.back().second, Good.Points_.back().second});
      LastTime = std::max(LastTime, At);
    }
    Series.push_back(std::move(Offered));
    Series.push_back(std::move(Good));
  }
  return renderPlot("Requests a second",
                    {"seconds from the start", linearTicks(LastTime), false},
                    {"requests a second", linearTicks(Highest), false}, Series);
}

void addPlot(LoadReport &Report, const std::string &Name,
             const std::string &Title, std::string Plot) {
  Report.Markdown_ += "![" + Title + "](" + Name + ")\n\n";
  Report.Files_.emplace_back(Name, std::move(Plot));
}

} // namespace

LoadReport makeLoadReport(const std::vector<LoadResult> &Results,
                          const std::string &FileNamePrefix) {
  LoadReport Out;
  std::ostringstream Text;
  Text << "# Load report\n\nOpen loop: each request has an intended send time "
          "that does not depend on earlier responses, and latencies count from "
          "it. Percentiles are of good responses; goodput is good responses a "
          "second of the phase.\n\n";
  if (Results.size() > 1)
    writeComparison(Text, Results);
  for (const LoadResult &Result : Results)
    writeScenario(Text, Result);
  Out.Markdown_ = Text.str();
  if (FileNamePrefix.empty() || Results.empty())
    return Out;
  addPlot(Out, FileNamePrefix + "-latency.svg", "Latency percentiles",
          latencyPlot(Results));
  addPlot(Out, FileNamePrefix + "-rate.svg", "Rate over time",
          ratePlot(Results));
  return Out;
}

} // namespace sycamore

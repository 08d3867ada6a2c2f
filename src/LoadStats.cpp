// Results of a load run.
#include "LoadStats.h"

#include <cmath>

namespace sycamore {
namespace {

constexpr double LowestUs = 1;
constexpr double HighestUs = 1e9;
constexpr int Bins = 2100; ///< 9 decades, so a bin is 0.99% wide.

constexpr std::size_t MaxSlices = 120;
constexpr Duration ShortestSlice = milliseconds(100);

} // namespace

std::string_view loadOutcomeName(LoadOutcome Outcome) {
  switch (Outcome) {
  case LoadOutcome::Good:
    return "good";
  case LoadOutcome::Wrong:
    return "wrong";
  case LoadOutcome::Failed:
    return "failed";
  case LoadOutcome::NotRun:
    return "not-run";
  case LoadOutcome::Unknown:
    return "unknown";
  }
  return "";
}

LoadOutcome classifyResponse(const HttpResponse &Response,
                             const LoadRequest &Request,
                             std::string_view Body) {
  if (Response.Outcome_ != HttpOutcome::Answered)
    return Response.Sent_ ? LoadOutcome::Unknown : LoadOutcome::NotRun;
  const std::string *Run = findHeader(Response.Headers_, "sycamore-run");
  if (Run && *Run == "not-run")
    return LoadOutcome::NotRun;
  if (Run && *Run == "unknown")
    return LoadOutcome::Unknown;
  if (Response.Status_ < 200 || Response.Status_ > 299)
    return LoadOutcome::Failed;
  if (Request.CheckEcho_ && Response.Body_ != Body)
    return LoadOutcome::Wrong;
  return LoadOutcome::Good;
}

LatencyHistogram::LatencyHistogram()
    : Bins_(boost::histogram::make_histogram(Axis(Bins, LowestUs, HighestUs))) {
}

void LatencyHistogram::add(Duration Latency) {
  Bins_(std::max(static_cast<double>(Latency.count()), LowestUs));
  Max_ = std::max(Max_, Latency);
  ++Count_;
}

void LatencyHistogram::merge(const LatencyHistogram &Other) {
  Bins_ += Other.Bins_;
  Max_ = std::max(Max_, Other.Max_);
  Count_ += Other.Count_;
}

Duration LatencyHistogram::percentile(double Fraction) const {
  double Rank = std::ceil(Fraction * static_cast<double>(Count_));
  double Cumulative = 0;
  for (int I = 0; I < Bins_.axis().size(); ++I) {
    Cumulative += Bins_.at(I);
    if (Cumulative >= Rank && Cumulative > 0)
      return std::min(Duration(std::llround(Bins_.axis().bin(I).upper())),
                      Max_);
  }
  return Max_;
}

std::uint64_t RequestStats::total() const {
  std::uint64_t Out = 0;
  for (std::uint64_t Count : Outcomes_)
    Out += Count;
  return Out;
}

void RequestStats::merge(const RequestStats &Other) {
  for (std::size_t I = 0; I < LoadOutcomeCount; ++I)
    Outcomes_[I] += Other.Outcomes_[I];
  Resends_ += Other.Resends_;
  Latency_.merge(Other.Latency_);
}

RequestStats LoadResult::phaseTotal(std::size_t Phase) const {
  RequestStats Out;
  for (const RequestStats &Stats : Stats_[Phase])
    Out.merge(Stats);
  return Out;
}

RequestStats LoadResult::total() const {
  RequestStats Out;
  for (std::size_t I = 0; I < Stats_.size(); ++I)
    if (!Scenario_.Phases_[I].Warmup_)
      Out.merge(phaseTotal(I));
  return Out;
}

Duration LoadResult::totalLength() const {
  Duration Out{0};
  for (const LoadPhase &Phase : Scenario_.Phases_)
    if (!Phase.Warmup_)
      Out += Phase.Length_;
  return Out;
}

LoadResult makeLoadResult(const LoadScenario &Scenario) {
  LoadResult Out;
  Out.Scenario_ = Scenario;
  Out.Stats_.assign(Scenario.Phases_.size(),
                    std::vector<RequestStats>(Scenario.Requests_.size()));
  Out.SliceLength_ = std::max(
      ShortestSlice, Scenario.length() / static_cast<Duration::rep>(MaxSlices));
  return Out;
}

} // namespace sycamore

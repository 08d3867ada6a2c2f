// Capacity of two services that call each other, and the scenario that
// saturates them.
#include "NestedCapacity.h"

#include "DecisionScenarios.h"

#include <algorithm>

namespace sycamore::bench {
namespace {

constexpr Duration NestedWork = milliseconds(2);

/// Round trip within a data centre, the minimum delay of a nested call.
constexpr Duration NestedRoundTrip = microseconds(200);

/// Slot time in seconds of one customer request, at the service that is called
/// first and at the other one.
std::pair<double, double> slotSeconds(std::uint32_t MaxDepth) {
  double HeldSeconds = 0;
  std::pair<double, double> Sum{0, 0};
  for (std::uint32_t Depth = MaxDepth + 1; Depth-- > 0;) {
    Duration Own = NestedWork;
    if (Depth < MaxDepth)
      Own += NestedRoundTrip;
    HeldSeconds += static_cast<double>(Own.count()) / 1e6;
    (Depth % 2 == 0 ? Sum.first : Sum.second) += HeldSeconds;
  }
  return Sum;
}

} // namespace

NestedCapacity nestedCapacity(const Site &TestSite, std::uint32_t MaxDepth) {
  auto [Own, Other] = slotSeconds(MaxDepth);
  double First =
      static_cast<double>(TestSite.Services_[1].second) * TestSite.Slots_;
  double Second =
      static_cast<double>(TestSite.Services_[2].second) * TestSite.Slots_;
  // The sum of rates is largest when both services are saturated, or when
  // customers call only one of them.
  double Determinant = Own * Own - Other * Other;
  NestedCapacity Both{(First * Own - Second * Other) / Determinant,
                      (Second * Own - First * Other) / Determinant};
  if (Both.FirstRate_ >= 0 && Both.SecondRate_ >= 0)
    return Both;
  NestedCapacity OnlyFirst{std::min(First / Own, Second / Other), 0};
  NestedCapacity OnlySecond{0, std::min(Second / Own, First / Other)};
  return OnlyFirst.FirstRate_ > OnlySecond.SecondRate_ ? OnlyFirst : OnlySecond;
}

std::vector<Workload> nestedWorkloads(const NestedCapacity &Capacity,
                                      std::uint32_t MaxDepth) {
  Workload First;
  First.Route_ = "reserve";
  First.Service_ = 1;
  First.OddDepthService_ = 2;
  First.Rate_ = Capacity.FirstRate_;
  First.Work_ = NestedWork;
  First.MaxDepth_ = MaxDepth;
  Workload Second = First;
  Second.Route_ = "issue";
  Second.Rate_ = Capacity.SecondRate_;
  std::swap(Second.Service_, Second.OddDepthService_);
  return {First, Second};
}

std::vector<Measure> nested(const Site &TestSite, std::uint32_t MaxDepth,
                            const ScenarioOptions &Options) {
  // Customers call both services at the same rate, so that calls of every depth
  // occur at both.
  NestedCapacity Capacity = nestedCapacity(TestSite, MaxDepth);
  double TotalRate = Capacity.FirstRate_ + Capacity.SecondRate_;
  Capacity = {TotalRate / 2, TotalRate / 2};
  std::string Name = "nested to depth " + std::to_string(MaxDepth);
  Measure Goodput{Name + ": goodput", TestSite.Name_, "of capacity", 0, 0, true,
                  std::nullopt};
  Measure LongestGap{Name + ": longest time without an answer",
                     TestSite.Name_,
                     "ms",
                     0,
                     0,
                     false,
                     std::nullopt};
  Measure Conflicts{Name + ": calls refused to end a circular wait",
                    TestSite.Name_,
                    "per second",
                    0,
                    0,
                    false,
                    std::nullopt};
  for (bool IsProduct : {true, false}) {
    RunConfig Config;
    Config.Site_ = TestSite;
    Config.Policy_ = IsProduct ? Options.Product_ : Options.Baseline_;
    Config.Seed_ = Options.Seed_;
    Config.Length_ = Options.Quick_ ? seconds(5) : seconds(12);
    Config.Demand_ = {4, 4, Duration{0}, Duration{0}, Duration{0}};
    Config.Workloads_ = nestedWorkloads(Capacity, MaxDepth);
    RunResult Result = run(Config);
    std::vector<Duration> EndTimes{seconds(2), Config.Length_};
    for (const Sample &Each : Result.Samples_)
      if (Each.Answered_ && Each.Ended_.time_since_epoch() >= seconds(2))
        EndTimes.push_back(Each.Ended_.time_since_epoch());
    std::sort(EndTimes.begin(), EndTimes.end());
    Duration LongestWait{0};
    for (std::size_t Index = 1; Index < EndTimes.size(); ++Index)
      LongestWait =
          std::max(LongestWait, EndTimes[Index] - EndTimes[Index - 1]);
    double MeasuredUs =
        static_cast<double>((Config.Length_ - seconds(2)).count());
    auto ResultMember = IsProduct ? &Measure::Product_ : &Measure::Baseline_;
    Goodput.*ResultMember =
        static_cast<double>(EndTimes.size() - 2) / MeasuredUs * 1e6 / TotalRate;
    LongestGap.*ResultMember = static_cast<double>(LongestWait.count()) / 1e3;
    Conflicts.*ResultMember = static_cast<double>(Result.ConflictRefusals_) *
                              1e6 / static_cast<double>(Config.Length_.count());
  }
  return {Goodput, LongestGap, Conflicts};
}

std::vector<Measure> allMeasures(const ScenarioOptions &Options,
                                 std::string_view Only) {
  std::vector<Measure> Out;
  auto Add = [&](std::string_view Name, const auto &Scenario) {
    if (Name.find(Only) == std::string_view::npos)
      return;
    std::vector<Measure> Measures = Scenario();
    Out.insert(Out.end(), Measures.begin(), Measures.end());
  };
  for (const Site &TestSite : {daegu(), ashworth()}) {
    Add("crest", [&] { return peakLoad(TestSite, Options); });
    Add("nested-crest", [&] { return nestedPeakLoad(TestSite, Options); });
    Add("head-of-line",
        [&] { return headOfLineBlocking(TestSite, true, Options); });
    Add("head-of-line",
        [&] { return headOfLineBlocking(TestSite, false, Options); });
    Add("tail", [&] { return tailLatency(TestSite, false, Options); });
    Add("tail", [&] { return tailLatency(TestSite, true, Options); });
    for (std::uint32_t MaxDepth : {1U, 3U, 5U, 8U, 9U})
      Add("nested", [&] { return nested(TestSite, MaxDepth, Options); });
  }
  return Out;
}

} // namespace sycamore::bench

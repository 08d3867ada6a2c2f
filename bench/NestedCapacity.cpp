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
std::pair<double, double> slotSeconds(std::uint32_t Deepest) {
  double Held = 0;
  std::pair<double, double> Sum{0, 0};
  for (std::uint32_t Depth = Deepest + 1; Depth-- > 0;) {
    Duration Own = NestedWork;
    if (Depth < Deepest)
      Own += NestedRoundTrip;
    Held += static_cast<double>(Own.count()) / 1e6;
    (Depth % 2 == 0 ? Sum.first : Sum.second) += Held;
  }
  return Sum;
}

} // namespace

NestedCapacity nestedCapacity(const Site &Where, std::uint32_t Deepest) {
  auto [Own, Other] = slotSeconds(Deepest);
  double First = static_cast<double>(Where.Services_[1].second) * Where.Slots_;
  double Second = static_cast<double>(Where.Services_[2].second) * Where.Slots_;
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
                                      std::uint32_t Deepest) {
  Workload First;
  First.Route_ = "reserve";
  First.Service_ = 1;
  First.Partner_ = 2;
  First.Rate_ = Capacity.FirstRate_;
  First.Work_ = NestedWork;
  First.Deepest_ = Deepest;
  Workload Second = First;
  Second.Route_ = "issue";
  Second.Rate_ = Capacity.SecondRate_;
  std::swap(Second.Service_, Second.Partner_);
  return {First, Second};
}

std::vector<Measure> nested(const Site &Where, std::uint32_t Deepest,
                            const ScenarioOptions &Options) {
  // Customers call both services at the same rate, so that calls of every depth
  // occur at both.
  NestedCapacity Capacity = nestedCapacity(Where, Deepest);
  double Total = Capacity.FirstRate_ + Capacity.SecondRate_;
  Capacity = {Total / 2, Total / 2};
  std::string Name = "nested to depth " + std::to_string(Deepest);
  Measure Goodput{Name + ": goodput", Where.Name_, "of capacity", 0, 0, true,
                  std::nullopt};
  Measure Gap{Name + ": longest time without an answer",
              Where.Name_,
              "ms",
              0,
              0,
              false,
              std::nullopt};
  Measure Conflicts{Name + ": calls refused to end a circular wait",
                    Where.Name_,
                    "per second",
                    0,
                    0,
                    false,
                    std::nullopt};
  for (bool IsProduct : {true, false}) {
    RunConfig Config;
    Config.Site_ = Where;
    Config.Policy_ = IsProduct ? Options.Product_ : Options.Baseline_;
    Config.Seed_ = Options.Seed_;
    Config.Length_ = Options.Quick_ ? seconds(5) : seconds(12);
    Config.Demand_ = {4, 4, Duration{0}, Duration{0}, Duration{0}};
    Config.Workloads_ = nestedWorkloads(Capacity, Deepest);
    RunResult Result = run(Config);
    std::vector<Duration> Ends{seconds(2), Config.Length_};
    for (const Sample &Each : Result.Samples_)
      if (Each.Answered_ && Each.Ended_.time_since_epoch() >= seconds(2))
        Ends.push_back(Each.Ended_.time_since_epoch());
    std::sort(Ends.begin(), Ends.end());
    Duration Longest{0};
    for (std::size_t Next = 1; Next < Ends.size(); ++Next)
      Longest = std::max(Longest, Ends[Next] - Ends[Next - 1]);
    double Span = static_cast<double>((Config.Length_ - seconds(2)).count());
    auto Set = IsProduct ? &Measure::Product_ : &Measure::Baseline_;
    Goodput.*Set = static_cast<double>(Ends.size() - 2) / Span * 1e6 / Total;
    Gap.*Set = static_cast<double>(Longest.count()) / 1e3;
    Conflicts.*Set = static_cast<double>(Result.ConflictRefusals_) * 1e6 /
                     static_cast<double>(Config.Length_.count());
  }
  return {Goodput, Gap, Conflicts};
}

std::vector<Measure> allMeasures(const ScenarioOptions &Options,
                                 std::string_view Only) {
  std::vector<Measure> Out;
  auto Add = [&](std::string_view Name, const auto &Take) {
    if (Name.find(Only) == std::string_view::npos)
      return;
    std::vector<Measure> More = Take();
    Out.insert(Out.end(), More.begin(), More.end());
  };
  for (const Site &Where : {daegu(), ashworth()}) {
    Add("crest", [&] { return crest(Where, Options); });
    Add("nested-crest", [&] { return nestedCrest(Where, Options); });
    Add("head-of-line", [&] { return headOfLine(Where, true, Options); });
    Add("head-of-line", [&] { return headOfLine(Where, false, Options); });
    Add("tail", [&] { return tail(Where, false, Options); });
    Add("tail", [&] { return tail(Where, true, Options); });
    for (std::uint32_t Deepest : {1U, 3U, 5U, 8U, 9U})
      Add("nested", [&] { return nested(Where, Deepest, Options); });
  }
  return Out;
}

} // namespace sycamore::bench

// Runs the load-policy scenarios and prints their measures as Markdown or JSON.
#include "DecisionScenarios.h"

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <popt.h>

using namespace sycamore::bench;

namespace {

nlohmann::json toJson(const Measure &Figure) {
  nlohmann::json Out = {
      {"name", Figure.Name_},         {"site", Figure.Site_},
      {"unit", Figure.Unit_},         {"product", Figure.Product_},
      {"baseline", Figure.Baseline_}, {"ratio", ratioOf(Figure)}};
  if (Figure.Bound_) {
    Out["bound"] = *Figure.Bound_;
    Out["at_least"] = Figure.AtLeast_;
    Out["met"] = isMet(Figure);
  }
  return Out;
}

void printMarkdown(const std::vector<Measure> &Measures) {
  std::puts(
      "| measure | site | unit | product | baseline | product/baseline "
      "| bound | met |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
  for (const Measure &Each : Measures) {
    std::string Bound = "-";
    if (Each.Bound_) {
      char Text[32];
      std::snprintf(Text, sizeof Text, "%s %.2f",
                    Each.AtLeast_ ? ">=" : "<=", *Each.Bound_);
      Bound = Text;
    }
    std::printf("| %s | %s | %s | %.3f | %.3f | %.2f | %s | %s |\n",
                Each.Name_.c_str(), Each.Site_.c_str(), Each.Unit_.c_str(),
                Each.Product_, Each.Baseline_, ratioOf(Each), Bound.c_str(),
                !Each.Bound_  ? "-"
                : isMet(Each) ? "yes"
                              : "**no**");
  }
}

} // namespace

int main(int Count, const char **Arguments) {
  int Json = 0;
  int Quick = 0;
  long Seed = 1;
  const char *Only = nullptr;
  poptOption Table[] = {
      {"json", 0, POPT_ARG_NONE, &Json, 0, "Print JSON instead of Markdown",
       nullptr},
      {"quick", 0, POPT_ARG_NONE, &Quick, 0, "Shorter runs", nullptr},
      {"seed", 0, POPT_ARG_LONG, &Seed, 0, "Seed of all runs (default 1)",
       "NUMBER"},
      {"only", 0, POPT_ARG_STRING, &Only, 0,
       "Run only the scenarios whose name contains this", "NAME"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context = poptGetContext(nullptr, Count, Arguments, Table, 0);
  int Code = poptGetNextOpt(Context);
  if (Code < -1) {
    std::cerr << "decision-bench: " << poptBadOption(Context, 0) << ": "
              << poptStrerror(Code) << "; see --help\n";
    poptFreeContext(Context);
    return 2;
  }
  poptFreeContext(Context);
  ScenarioOptions Options;
  Options.Seed_ = static_cast<std::uint64_t>(Seed);
  Options.Quick_ = Quick != 0;
  std::vector<Measure> Measures =
      allMeasures(Options, Only == nullptr ? "" : Only);
  if (Json == 0) {
    std::printf("Seed %ld%s\n\n", Seed, Quick != 0 ? ", quick" : "");
    printMarkdown(Measures);
    return 0;
  }
  nlohmann::json Out = {{"seed", Seed}, {"quick", Quick != 0}};
  for (const Measure &Each : Measures)
    Out["measures"].push_back(toJson(Each));
  std::cout << Out.dump(2) << '\n';
  return 0;
}

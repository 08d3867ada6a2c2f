// Guards against a change of a few routes that costs as much as the complete
// document: every daemon applies each change, and its event loop stands still
// meanwhile.
#include "ConfigDocument.h"
#include "sycamore/Clock.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::platform;

namespace {

/// A document of 1,500 routes; the first Changed ones go to another service.
std::string documentText(std::uint64_t Version, int Changed) {
  Json Out = {{"version", Version}};
  for (const char *Name : {"view", "desk"})
    Out["services"].push_back({{"name", Name}, {"connectionLimit", 130}});
  int Number = 0;
  for (int Host = 0; Host < 10; ++Host) {
    Json Paths = Json::array();
    for (int I = 0; I < 150; ++I, ++Number)
      Paths.push_back({{"name", "r-" + std::to_string(Number)},
                       {"prefix", "/p" + std::to_string(I) + "/"},
                       {"kind", "idempotent"},
                       {"timeoutMs", 1200},
                       {"targetLatencyMs", 200},
                       {"maxAttempts", 2},
                       {"service", Number < Changed ? "desk" : "view"}});
    Out["virtualHosts"].push_back(
        {{"host", "h" + std::to_string(Host)}, {"paths", Paths}});
  }
  return Out.dump();
}

/// Shortest of several runs, which other load on the machine lengthens least.
template <typename Function> Duration shortest(Function Run) {
  Duration Out = seconds(10);
  for (int I = 0; I < 9; ++I) {
    TimePoint Start = monotonicNow();
    Run();
    Out = std::min(Out, monotonicNow() - Start);
  }
  return Out;
}

} // namespace

TEST(ConfigDocumentCost, AChangeOfTwentyRoutesTakesAtMostHalfOfTheDocument) {
  std::string OldText = documentText(1, 0);
  std::string NewText = documentText(2, 20);
  auto Old = parseConfigDocument(OldText);
  ASSERT_TRUE(Old.has_value());
  Duration Whole =
      shortest([&] { ASSERT_TRUE(parseConfigDocument(NewText).has_value()); });
  Duration Change = shortest([&] {
    ASSERT_TRUE(
        parseConfigDocument(NewText, {OldText, &Old->State_}).has_value());
  });
  EXPECT_LE(Change.count(), Whole.count() / 2)
      << Change.count() << " us against " << Whole.count() << " us";
}

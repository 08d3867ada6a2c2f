// Guards against load runs that overstate the performance of the system under
// test, and against counts that do not add up.
#include "EventLoop.h"
#include "LoadPlan.h"
#include "LoadReport.h"
#include "LoadRunner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>
#include <sstream>

using namespace sycamore;

namespace {

constexpr const char *ScenarioText = R"({
  "name": "crest", "addresses": ["127.0.0.1:80"], "seed": 7,
  "phases": [
    {"name": "calm", "rate": 100, "seconds": 10},
    {"name": "rise", "rate": 0, "end_rate": 400, "seconds": 5}],
  "requests": [
    {"name": "stock", "weight": 9, "path": "/stock/{n}"},
    {"name": "issue", "weight": 1, "method": "POST", "body_bytes": 100,
     "idempotency_key": true, "resends": 2, "resend_delay_ms": 5}]})";

LoadScenario parseScenario(const std::string &Text) {
  return parseLoadScenario(*parseJson(Text, "test"), "test").value();
}

/// A scenario with one phase of evenly spaced arrivals and one address.
LoadScenario singlePhaseScenario(const std::string &Address, double Rate,
                                 Duration Length) {
  LoadScenario Out = parseScenario(ScenarioText);
  Out.Addresses_ = {Address};
  Out.EvenlySpaced_ = true;
  Out.Phases_ = {{"only", Rate, Rate, Length, false}};
  return Out;
}

HttpResponse makeResponse(int Status, const char *Run = nullptr) {
  HttpResponse Out;
  Out.Outcome_ = HttpOutcome::Answered;
  Out.Sent_ = true;
  Out.Status_ = Status;
  if (Run)
    Out.Headers_.push_back({"Sycamore-Run", Run});
  return Out;
}

} // namespace

TEST(LoadPlan, FollowsRatesAndWeights) {
  LoadScenario Scenario = parseScenario(ScenarioText);
  LoadPlan Plan(Scenario);
  LoadPlan SecondPlan(Scenario);
  Duration Last{0};
  std::size_t Calm = 0;
  std::size_t Rise = 0;
  std::size_t LateRise = 0;
  std::size_t Issue = 0;
  while (auto Next = Plan.next()) {
    EXPECT_EQ(SecondPlan.next()->At_, Next->At_);
    EXPECT_GE(Next->At_, Last);
    Last = Next->At_;
    ++(Next->Phase_ == 0 ? Calm : Rise);
    LateRise += Next->At_ > milliseconds(12500);
    Issue += Next->Request_ == 1;
  }
  EXPECT_LE(Last, seconds(15));
  EXPECT_NEAR(static_cast<double>(Calm), 1000, 130);
  EXPECT_NEAR(static_cast<double>(Rise), 1000, 130);
  EXPECT_NEAR(static_cast<double>(LateRise), 750, 110);
  EXPECT_NEAR(static_cast<double>(Issue), 200, 60);
}

TEST(LoadPlan, MakesDistinctKeysWithTimestamp) {
  Random Rng(1);
  std::set<std::string> Seen;
  WallTime Now{milliseconds(0x0123456789ab)};
  for (int I = 0; I < 1000; ++I) {
    std::string Key = uuidV7(Now, Rng);
    ASSERT_EQ(Key.size(), 36U);
    EXPECT_EQ(Key.substr(0, 15), "01234567-89ab-7");
    EXPECT_NE(std::string("89ab").find(Key[19]), std::string::npos);
    Seen.insert(Key);
  }
  EXPECT_EQ(Seen.size(), 1000U);
}

// Guards against load on other machines than the tester's own, and against load
// without a limit.
TEST(LoadScenario, RejectsValuesOutsideTheLimits) {
  auto IsRejected = [](const char *Field, Json Value) {
    Json Document = Json::parse(ScenarioText);
    Document[Json::json_pointer(Field)] = std::move(Value);
    return !parseLoadScenario(Document, "test").has_value();
  };
  EXPECT_TRUE(IsRejected("/addresses", {"192.0.2.1:80"}));
  EXPECT_TRUE(IsRejected("/addresses", {"localhost:80"}));
  EXPECT_FALSE(IsRejected("/addresses", {"[::1]:80"}));
  EXPECT_TRUE(IsRejected("/phases/0/seconds", 4000));
  EXPECT_TRUE(IsRejected("/phases/0/rate", 99999999));
  EXPECT_TRUE(IsRejected("/max_requests", 1000));
  EXPECT_TRUE(IsRejected("/phases", Json::array()));
  EXPECT_TRUE(IsRejected("/requests", Json::array()));
  EXPECT_TRUE(IsRejected("/requests/0/wieght", 1));
  EXPECT_TRUE(IsRejected("/arrivals", "odd"));
}

RC_GTEST_PROP(LoadScenario, SurvivesMutatedDocuments,
              (std::uint32_t Position, char Byte)) {
  std::string Text = ScenarioText;
  Text[Position % Text.size()] = Byte;
  if (auto Document = parseJson(Text, "test"))
    static_cast<void>(parseLoadScenario(*Document, "test"));
}

TEST(LoadStats, ClassifiesByRunHeaderAndStatus) {
  LoadRequest Request;
  auto Classify = [&](const HttpResponse &Response) {
    return classifyResponse(Response, Request, "body");
  };
  EXPECT_EQ(Classify(makeResponse(200)), LoadOutcome::Good);
  EXPECT_EQ(Classify(makeResponse(503, "not-run")), LoadOutcome::NotRun);
  EXPECT_EQ(Classify(makeResponse(502, "unknown")), LoadOutcome::Unknown);
  EXPECT_EQ(Classify(makeResponse(500, "done")), LoadOutcome::Failed);
  EXPECT_EQ(Classify(makeResponse(503)), LoadOutcome::Failed);
  EXPECT_EQ(Classify({}), LoadOutcome::NotRun);
  HttpResponse Broken;
  Broken.Outcome_ = HttpOutcome::Broken;
  Broken.Sent_ = true;
  EXPECT_EQ(Classify(Broken), LoadOutcome::Unknown);
  Request.CheckEcho_ = true;
  EXPECT_EQ(Classify(makeResponse(200)), LoadOutcome::Wrong);
}

TEST(LoadStats, PercentilesAreWithinOnePercent) {
  LatencyHistogram Histogram;
  EXPECT_EQ(Histogram.percentile(0.99), Duration(0));
  for (int I = 1; I <= 10000; ++I)
    Histogram.add(Duration(I * 10));
  for (double Fraction : {0.01, 0.5, 0.99, 0.999, 1.0})
    EXPECT_NEAR(static_cast<double>(Histogram.percentile(Fraction).count()),
                Fraction * 100000, Fraction * 1100);
  EXPECT_EQ(Histogram.max(), Duration(100000));
}

// Guards against coordinated omission: while the server stalls, requests keep
// their intended send times, and the time that they wait counts as latency.
TEST(LoadRun, LatencyIncludesTheWaitToBeSent) {
  HttpPair Pair;
  TimePoint StallEnd = monotonicNow() + milliseconds(500);
  std::vector<HttpExchangePointer> HeldExchanges;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    if (monotonicNow() >= StallEnd)
      Exchange->reply(200, {}, "");
    else
      HeldExchanges.push_back(Exchange);
  });
  LoadScenario Scenario =
      singlePhaseScenario(Pair.Address_, 100, milliseconds(500));
  Scenario.ConnectionsPerAddress_ = 1;
  // Completes the one request that the connection carries during the stall.
  timeval Wait{0, 550000};
  event_base_once(
      Pair.Loop_.base(), -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void *Argument) {
        for (auto &Exchange :
             *static_cast<std::vector<HttpExchangePointer> *>(Argument))
          Exchange->reply(200, {}, "");
      },
      &HeldExchanges, &Wait);
  auto Result = runLoad(Pair.Loop_.base(), Scenario);
  ASSERT_TRUE(Result.has_value());
  RequestStats Total = Result->total();
  EXPECT_EQ(Total.count(LoadOutcome::Good), 49U);
  EXPECT_GE(Total.Latency_.percentile(0.5), milliseconds(200));
  EXPECT_LT(Result->SendDelay_.percentile(0.5), milliseconds(100));
}

// Guards against resends with a new key, which would run an order twice, and
// against an unknown outcome that a later refusal hides.
TEST(LoadRun, ResendsWithTheSameKey) {
  HttpPair Pair;
  std::map<std::string, int> Seen;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    const std::string *Key =
        findHeader(Exchange->request().Headers_, "idempotency-key");
    int Attempt = ++Seen[Key ? *Key : ""];
    bool Done = Attempt == 3 && Seen.size() % 2 == 0;
    const char *Run = Attempt == 1 ? "unknown" : "not-run";
    Exchange->reply(Done ? 200 : 503, {{"sycamore-run", Done ? "done" : Run}},
                    "");
  });
  LoadScenario Scenario =
      singlePhaseScenario(Pair.Address_, 20, milliseconds(500));
  Scenario.Requests_.erase(Scenario.Requests_.begin());
  std::ostringstream History;
  auto Result = runLoad(Pair.Loop_.base(), Scenario, &History);
  ASSERT_TRUE(Result.has_value());
  RequestStats Total = Result->total();
  EXPECT_EQ(Total.total(), 9U);
  EXPECT_EQ(Total.Resends_, 18U);
  EXPECT_EQ(Seen.size(), 9U);
  EXPECT_EQ(Total.count(LoadOutcome::NotRun), 0U);
  EXPECT_EQ(Total.count(LoadOutcome::Good) + Total.count(LoadOutcome::Unknown),
            9U);
  std::istringstream Lines(History.str());
  int Count = 0;
  for (std::string Line; std::getline(Lines, Line); ++Count)
    EXPECT_EQ(Json::parse(Line)["attempts"], 3);
  EXPECT_EQ(Count, 9);
}

TEST(LoadReport, ComparesScenarios) {
  std::vector<LoadResult> Results;
  for (int Factor : {1, 3}) {
    LoadScenario Scenario = parseScenario(ScenarioText);
    Scenario.Name_ = "run <" + std::to_string(Factor) + ">";
    Scenario.Phases_[1].Warmup_ = true;
    LoadResult Result = makeLoadResult(Scenario);
    for (int I = 0; I < 100; ++I)
      Result.Stats_[0][0].Latency_.add(milliseconds(10 * Factor));
    Result.Stats_[0][0].Outcomes_[0] = 100;
    Result.Stats_[1][0].Outcomes_[4] = 100;
    Result.Slices_ = {{100, 90, 10}, {50, 50, 0}};
    Results.push_back(std::move(Result));
  }
  LoadReport Report = makeLoadReport(Results, "out");
  EXPECT_NE(Report.Markdown_.find("| run <3> | 10.0 | 1.000 | 1.000 | 30.00 | "
                                  "3.000 | 30.00 | 3.000 |"),
            std::string::npos)
      << Report.Markdown_;
  ASSERT_EQ(Report.Files_.size(), 2U);
  for (const auto &[Name, Content] : Report.Files_) {
    EXPECT_NE(Report.Markdown_.find("(" + Name + ")"), std::string::npos);
    EXPECT_NE(Content.find("run &lt;3&gt;"), std::string::npos);
    EXPECT_EQ(Content.find("nan"), std::string::npos);
  }
  EXPECT_TRUE(makeLoadReport(Results, "").Files_.empty());
}

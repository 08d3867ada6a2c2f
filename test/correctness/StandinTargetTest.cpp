// Guards against a stand-in target that does not behave as its options and
// faults say; the tests of the mesh rely on it.
#include "StandinTarget.h"
#include "ChildProcess.h"
#include "RawSocket.h"
#include "TargetAnswers.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::standin;

namespace {

/// A target on the test's event loop. The server of HttpPair acts as the
/// daemon.
struct TargetSetup : HttpPair {
  explicit TargetSetup(StandinTargetConfig Config = {}) {
    Config.Crash_ = [this] { Crashed_ = true; };
    Target_ = StandinTarget::create(Loop_.base(), Config).value();
  }

  HttpResponse get(const std::string &Path, HttpHeaders Headers = {}) {
    HttpClientRequest Request;
    Request.Path_ = Path;
    Request.Headers_ = std::move(Headers);
    return call(Request, Target_->address());
  }
  Json getJson(const std::string &Path) {
    return Json::parse(get(Path).Body_, nullptr, false);
  }
  void setFaults(const char *Document) {
    HttpClientRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/faults";
    Request.Body_ = Document;
    EXPECT_EQ(call(Request, Target_->address()).Status_, 200) << Document;
  }
  std::shared_ptr<HttpCall> sendRequest(HttpClientRequest Request) {
    return Client_->send(Target_->address(), std::move(Request),
                         [this](HttpResponse Response) { Last_ = Response; });
  }

  std::unique_ptr<StandinTarget> Target_;
  std::optional<HttpResponse> Last_;
  bool Crashed_ = false;
};

std::vector<Json> readLines(const std::string &Path) {
  std::vector<Json> Out;
  std::ifstream File(Path);
  for (std::string Line; std::getline(File, Line);)
    Out.push_back(Json::parse(Line));
  return Out;
}

HttpClientRequest slowRequest() {
  HttpClientRequest Out;
  Out.Path_ = "/stock/1?ms=60000";
  return Out;
}

} // namespace

TEST(StandinTarget, AnswersByPath) {
  TargetSetup Setup;
  HttpClientRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = "/stock/echo";
  Request.Body_ = randomBody(2000000);
  EXPECT_TRUE(Setup.call(Request, Setup.Target_->address()).Body_ ==
              Request.Body_);
  Request.Path_ += "?chunked";
  HttpResponse Chunked = Setup.call(Request, Setup.Target_->address());
  EXPECT_TRUE(Chunked.Body_ == Request.Body_);
  EXPECT_EQ(*findHeader(Chunked.Headers_, "transfer-encoding"), "chunked");
  EXPECT_TRUE(Setup.get("/a/bytes/100001").Body_ == patternBytes(100001));
  EXPECT_EQ(Setup.get("/a?status=404").Status_, 404);
  Json Described = Setup.getJson("/a?q=1");
  EXPECT_EQ(Described["method"], "GET");
  EXPECT_EQ(Described["path"], "/a?q=1");
  EXPECT_EQ(Described["target"], "target-1");
}

// Guards against requests that run although they were refused.
TEST(StandinTarget, RefusesWorkOverItsSlots) {
  StandinTargetConfig Config;
  Config.Slots_ = 2;
  TargetSetup Setup(Config);
  auto First = Setup.sendRequest(slowRequest());
  auto Second = Setup.sendRequest(slowRequest());
  ASSERT_TRUE(
      Setup.Loop_.runUntil([&] { return Setup.Target_->running() == 2; }));
  EXPECT_EQ(Setup.getJson("/load")["running"], 2);
  HttpResponse Refused = Setup.get("/x");
  EXPECT_EQ(Refused.Status_, 503);
  EXPECT_EQ(*findHeader(Refused.Headers_, "sycamore-run"), "not-run");
  First->cancel();
  ASSERT_TRUE(
      Setup.Loop_.runUntil([&] { return Setup.Target_->running() == 1; }));
  EXPECT_EQ(Setup.get("/x").Status_, 200);
  Setup.setFaults(R"({"lying_load": true})");
  EXPECT_EQ(Setup.getJson("/load")["running"], 0);
  Setup.setFaults(R"({"lying_load": false, "load_lag_ms": 60000})");
  EXPECT_EQ(Setup.getJson("/load")["running"], 0);
}

TEST(StandinTarget, HonoursDeadlines) {
  TargetSetup Setup;
  HttpResponse ExpiredResponse =
      Setup.get("/x?ms=60000", {{"sycamore-deadline-ms", "50"}});
  EXPECT_EQ(ExpiredResponse.Status_, 504);
  EXPECT_EQ(*findHeader(ExpiredResponse.Headers_, "sycamore-run"), "unknown");
  HttpResponse RefusedResponse =
      Setup.get("/x", {{"sycamore-deadline-ms", "0"}});
  EXPECT_EQ(*findHeader(RefusedResponse.Headers_, "sycamore-run"), "not-run");
}

TEST(StandinTarget, WaitsForColdStartAndWorkTime) {
  StandinTargetConfig Config;
  Config.ColdStart_ = milliseconds(150);
  Config.WorkTime_ = milliseconds(10);
  TargetSetup Setup(Config);
  TimePoint Start = monotonicNow();
  EXPECT_EQ(Setup.getJson("/health")["status"], "starting");
  EXPECT_EQ(Setup.get("/x").Status_, 200);
  EXPECT_GE(monotonicNow() - Start, milliseconds(150));
  EXPECT_EQ(Setup.getJson("/health")["status"], "ok");
  Setup.setFaults(R"({"slow_factor": 10})");
  Start = monotonicNow();
  EXPECT_EQ(Setup.get("/x").Status_, 200);
  EXPECT_GE(monotonicNow() - Start, milliseconds(100));
}

TEST(StandinTarget, InjectsFaults) {
  TargetSetup Setup;
  Setup.setFaults(R"({"cut": 2})");
  EXPECT_EQ(Setup.get("/bytes/1000").Outcome_, HttpOutcome::Broken);
  EXPECT_EQ(Setup.get("/bytes/1000?chunked").Outcome_, HttpOutcome::Broken);
  EXPECT_EQ(Setup.get("/bytes/1000").Status_, 200);
  Setup.setFaults(R"({"crash_marker": "poison"})");
  Setup.get("/ok");
  EXPECT_FALSE(Setup.Crashed_);
  Setup.get("/a-poison-path");
  EXPECT_TRUE(Setup.Crashed_);
  Setup.setFaults(R"({"silent": true})");
  HttpClientRequest Request;
  Request.Deadline_ = milliseconds(100);
  EXPECT_EQ(Setup.call(Request, Setup.Target_->address()).Outcome_,
            HttpOutcome::TimedOut);
  Setup.setFaults(R"({"silent": false, "draining": true})");
  EXPECT_EQ(Setup.getJson("/health")["status"], "draining");
  EXPECT_EQ(Setup.get("/x").Status_, 503);
}

// Guards against missing ledger entries, which would hide a request that runs
// twice.
TEST(StandinTarget, KeepsALedger) {
  std::string Path =
      (std::filesystem::temp_directory_path() / "sycamore-ledger-XXXXXX")
          .string();
  close(mkstemp(Path.data()));
  StandinTargetConfig Config;
  Config.Ledger_ = Path;
  TargetSetup Setup(Config);
  Setup.get("/x", {{"Idempotency-Key", "k1"}, {"sycamore-depth", "2"}});
  auto Call = Setup.sendRequest(slowRequest());
  ASSERT_TRUE(
      Setup.Loop_.runUntil([&] { return Setup.Target_->running() == 1; }));
  Call->cancel();
  ASSERT_TRUE(
      Setup.Loop_.runUntil([&] { return Setup.Target_->running() == 0; }));
  std::vector<Json> Lines = readLines(Path);
  std::filesystem::remove(Path);
  ASSERT_EQ(Lines.size(), 4U);
  EXPECT_EQ(Lines[0]["event"], "started");
  EXPECT_EQ(Lines[0]["key"], "k1");
  EXPECT_EQ(Lines[0]["ids"]["sycamore-depth"], "2");
  EXPECT_EQ(Lines[1]["event"], "finished");
  EXPECT_EQ(Lines[2]["event"], "started");
  EXPECT_EQ(Lines[3]["event"], "cancelled");
  EXPECT_EQ(Lines[3]["request"], Lines[2]["request"]);
}

// Guards against nested calls that lose the headers from which the mesh learns
// their depth.
TEST(StandinTarget, PassesHeadersOnToNestedCalls) {
  HttpPair Daemon;
  std::vector<HttpRequest> Seen;
  int Status = 200;
  Daemon.Server_->setHandler([&](HttpExchangePointer Exchange) {
    Seen.push_back(Exchange->request());
    Exchange->reply(Status, {}, "");
  });
  StandinTargetConfig Config;
  Config.NestedPath_ = "/issue";
  Config.NestedVia_ = Daemon.Address_;
  Config.NestedLevels_ = 3;
  auto Target = StandinTarget::create(Daemon.Loop_.base(), Config).value();
  HttpClientRequest Request;
  Request.Headers_ = {{"traceparent", "00-1-2-01"},
                      {"Sycamore-Depth", "1"},
                      {"sycamore-deadline-ms", "5000"},
                      {"x-other", "1"}};
  EXPECT_EQ(Daemon.call(Request, Target->address()).Status_, 200);
  ASSERT_EQ(Seen.size(), 1U);
  EXPECT_EQ(Seen[0].Path_, "/issue");
  EXPECT_EQ(*findHeader(Seen[0].Headers_, "traceparent"), "00-1-2-01");
  EXPECT_EQ(*findHeader(Seen[0].Headers_, "sycamore-depth"), "1");
  EXPECT_EQ(*findHeader(Seen[0].Headers_, "x-nested-levels"), "2");
  EXPECT_LE(std::stoi(*findHeader(Seen[0].Headers_, "sycamore-deadline-ms")),
            5000);
  EXPECT_FALSE(findHeader(Seen[0].Headers_, "x-other"));
  Status = 503;
  EXPECT_EQ(Daemon.call(Request, Target->address()).Status_, 502);
  Request.Headers_.push_back({"x-nested-levels", "0"});
  EXPECT_EQ(Daemon.call(Request, Target->address()).Status_, 200);
  EXPECT_EQ(Seen.size(), 2U);
}

// Guards against a planned stop that loses a request or the deregistration.
TEST(StandinTarget, DrainsOnSigterm) {
  HttpPair Daemon;
  std::vector<std::string> Seen;
  std::string Body;
  Daemon.Server_->setHandler([&](HttpExchangePointer Exchange) {
    Seen.push_back(Exchange->request().Method_ + Exchange->request().Path_);
    if (Exchange->request().Method_ == "POST")
      Body = Exchange->request().Body_;
    Exchange->reply(200, {}, "");
  });
  ChildProcess Target(Daemon.Loop_, "standin-target",
                      {"--announce", Daemon.Address_, "--name", "t-1",
                       "--slots", "3", "--service-ms", "700"});
  ASSERT_TRUE(Daemon.Loop_.runUntil([&] { return Seen.size() >= 2; }));
  EXPECT_EQ(Seen[1], "POST/announce");
  EXPECT_EQ(Json::parse(Body)["address"], Target.address());
  EXPECT_EQ(Json::parse(Body)["slots"], 3);
  std::optional<HttpResponse> Response;
  Daemon.Client_->send(Target.address(), {},
                       [&](HttpResponse Value) { Response = Value; });
  Daemon.Loop_.runFor(milliseconds(100));
  Target.terminate();
  ASSERT_TRUE(Daemon.Loop_.runUntil(
      [&] { return Seen.back() == "DELETE/announce/t-1"; }));
  Target.terminate();
  HttpResponse Refused = Daemon.call({}, Target.address());
  EXPECT_EQ(Refused.Status_, 503);
  ASSERT_TRUE(Daemon.Loop_.runUntil([&] { return Target.ended(); }));
  EXPECT_EQ(Target.exitStatus(), 0);
  ASSERT_TRUE(Daemon.Loop_.runUntil([&] { return Response.has_value(); }));
  EXPECT_EQ(Response->Status_, 200) << Response->Reason_;
}

TEST(StandinTarget, CrashesAndRefusesConnectionsAfterwards) {
  HttpPair Pair;
  ChildProcess Target(Pair.Loop_, "standin-target", {});
  HttpClientRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = "/faults";
  Request.Body_ = R"({"crash_marker": "poison"})";
  EXPECT_EQ(Pair.call(Request, Target.address()).Status_, 200);
  Request.Path_ = "/x";
  EXPECT_EQ(Pair.call(Request, Target.address()).Outcome_, HttpOutcome::Broken);
  // The kernel may close the connection a moment before the listening socket.
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Target.ended(); }));
  HttpResponse Refused = Pair.call(Request, Target.address());
  EXPECT_EQ(Refused.Outcome_, HttpOutcome::NotSent) << Refused.Reason_;
}

TEST(StandinStoreProgram, ServesAndEndsOnSigterm) {
  HttpPair Pair;
  ChildProcess Store(Pair.Loop_, "standin-store", {});
  HttpClientRequest Request;
  Request.Path_ = "/counters";
  EXPECT_EQ(Pair.call(Request, Store.address()).Status_, 200);
  Store.terminate();
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Store.ended(); }));
  EXPECT_EQ(Store.exitStatus(), 0);
}

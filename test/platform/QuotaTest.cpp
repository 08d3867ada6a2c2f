// Guards against requests of tenants that run over their quotas, and against
// quotas that do not follow the configuration, at a few real daemons.
#include "QuotaFleet.h"

using namespace sycamore;
using namespace sycamore::test;

TEST_F(QuotaRequests, RequestsOverTheQuotaAreRefusedWithoutRunning) {
  startWithTenants(
      Json::array({tenant("alder", 10, 10), tenant("birch", 0, 0)}));
  std::size_t Before = requestsAtTargets();
  TimePoint Start = monotonicNow();
  std::size_t Served = 0;
  std::size_t Others = 0;
  HttpResponse Refused;
  for (int I = 0; monotonicNow() < Start + seconds(4); ++I) {
    // Hedges would run a request twice on a route that permits them.
    HttpResponse Response = callAs("alder", I % 3, "POST", "/once/y");
    Served += Response.Status_ == 200;
    if (Response.Status_ != 200)
      Refused = Response;
    ASSERT_EQ(callAs("birch", I % 3, "POST", "/once/y").Status_, 200);
    ++Others;
    Loop_.runFor(milliseconds(5));
  }
  EXPECT_EQ(requestsAtTargets() - Before, Served + Others);
  EXPECT_LE(Served, (10 * 5 + 10) * 1.1 + 20);
  EXPECT_GE(Served, 30U);
  EXPECT_EQ(Refused.Status_, 429);
  EXPECT_NE(findHeader(Refused.Headers_, "retry-after"), nullptr);
  EXPECT_GT(total("sycamore_quota_denied_total"), 0);
  EXPECT_EQ(total("sycamore_quota_waiting"), 0);
}

// A lowered quota must not need another configuration or a restart, and a quota
// that is taken away must not leave requests waiting.
TEST_F(QuotaRequests, ANewConfigurationChangesTheQuota) {
  startWithTenants(Json::array({tenant("alder", 1000, 1000)}));
  for (int I = 0; I < 50; ++I)
    ASSERT_EQ(callAs("alder", I % 3).Status_, 200) << I;
  writeConfiguration(7, "view", Json::array({tenant("alder", 1, 0)}));
  ASSERT_TRUE(eventually([&] { return callAs("alder", 0).Status_ == 429; }));
  writeConfiguration(8, "view", Json::array({tenant("alder", 0, 0)}));
  ASSERT_TRUE(eventually([&] {
    for (int I = 0; I < 40; ++I)
      if (callAs("alder", I % 3).Status_ != 200)
        return false;
    return true;
  }));
}

TEST_F(QuotaRequests, NothingIsSentWithoutALimit) {
  startAll();
  writeConfiguration(6, "view", Json::array({tenant("alder", 0, 0)}));
  ASSERT_TRUE(
      eventually([&] { return call(0, "GET", "/x/y").Status_ == 401; }));
  for (int I = 0; I < 30; ++I)
    ASSERT_EQ(callAs("alder", 0).Status_, 200);
  EXPECT_EQ(total("sycamore_quota_questions_total"), 0);
  EXPECT_EQ(total("sycamore_quota_granted_total"), 0);
}

TEST_F(QuotaRequests, ACallerThatLeavesWhileItWaitsRunsNothing) {
  startWithTenants(Json::array({tenant("alder", 2, 0)}));
  std::size_t Before = requestsAtTargets();
  int Sent = 0;
  while (callAs("alder", 0).Status_ == 200 && ++Sent < 40) {
  }
  EXPECT_EQ(requestsAtTargets() - Before, std::size_t(Sent));
  for (int I = 0; I < 20; ++I) {
    auto Brief = HttpClient::create(Loop_.base()).value();
    HttpClientRequest Request;
    Request.Path_ = "/x/y";
    Request.Headers_ = {{"Host", "a.example"}, {"x-credential", "alder-key"}};
    Brief->send(Daemons_[1]->addresses().Caller_, std::move(Request),
                [](const HttpResponse &) {});
    Loop_.runFor(milliseconds(3));
  }
  EXPECT_TRUE(eventually([&] {
    return total("sycamore_quota_waiting") == 0 &&
           callAs("alder", 1).Status_ == 200;
  }));
}

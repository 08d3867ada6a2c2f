// Guards against requests within a quota that are refused, at a few real
// daemons.
#include "QuotaFleet.h"

using namespace sycamore;
using namespace sycamore::test;

TEST_F(QuotaRequests, RequestsWithinTheQuotaAreServedAtEachDaemon) {
  startWithTenants(Json::array({tenant("alder", 20, 5)}));
  // An owner that has just begun lends from an almost empty bucket.
  Loop_.runFor(seconds(2));
  for (int I = 0; I < 60; ++I) {
    ASSERT_EQ(callAs("alder", I % 3).Status_, 200) << I;
    Loop_.runFor(milliseconds(60));
  }
}

TEST_F(QuotaRequests, ADaemonServesWhileAnotherOneIsGone) {
  startWithTenants(Json::array({tenant("alder", 30, 10)}));
  killDaemon(2);
  int Served = 0;
  for (int I = 0; I < 60; ++I) {
    // The target beside the lost daemon may be chosen until it is found out.
    int Status = callAs("alder", I % 2).Status_;
    Served += Status == 200;
    EXPECT_NE(Status, 429) << I;
    Loop_.runFor(milliseconds(100));
  }
  EXPECT_GT(Served, 50);
}

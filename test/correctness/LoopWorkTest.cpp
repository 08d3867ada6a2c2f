// Guards against work on the event loop that delays requests without a trace in
// logs and metrics.
#include "LoopWork.h"

#include "sycamore/Log.h"

#include <gtest/gtest.h>

using namespace sycamore;

TEST(LoopWork, LongestTimesAreReportedOnceAndTotalsStay) {
  configureLog(LogLevel::Error, "", "test");
  LoopWork Work;
  recordTask(Work, LoopTask::TicketBodies, milliseconds(70));
  recordTask(Work, LoopTask::TicketBodies, milliseconds(10));
  recordTickDelay(Work, milliseconds(60));
  LoopWork First = takeLongest(Work);
  recordTask(Work, LoopTask::TicketBodies, milliseconds(5));
  LoopWork Second = takeLongest(Work);
  auto Bodies = static_cast<std::size_t>(LoopTask::TicketBodies);
  EXPECT_EQ(First.Tasks_[Bodies].Longest_, milliseconds(70));
  EXPECT_EQ(First.TickDelay_, milliseconds(60));
  EXPECT_EQ(Second.Tasks_[Bodies].Longest_, milliseconds(5));
  EXPECT_EQ(Second.Tasks_[Bodies].Total_, milliseconds(85));
  EXPECT_EQ(Second.Tasks_[Bodies].Count_, 3U);
  EXPECT_EQ(Second.TickDelay_, Duration(0));
}

TEST(LoopWork, EachTaskHasAName) {
  for (std::size_t I = 0; I < LoopTaskCount; ++I)
    EXPECT_FALSE(loopTaskName(static_cast<LoopTask>(I)).empty());
}

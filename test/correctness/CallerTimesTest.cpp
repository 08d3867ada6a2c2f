// Guards against treating a first request as a repeated one, which would
// queue it behind others, and against failing to detect a repeated one.
#include "sycamore/CallerTimes.h"

#include <gtest/gtest.h>

using namespace sycamore;

namespace {

TimePoint at(int Seconds) { return TimePoint{} + seconds(Seconds); }

} // namespace

TEST(CallerTimes, FirstRequestOfARouteHasNoMissingTime) {
  CallerTimes Table;
  EXPECT_EQ(recordCallerTime(Table, "a", milliseconds(300), at(0)),
            Duration(0));
}

TEST(CallerTimes, MissingTimeIsTheDifferenceFromTheLongest) {
  CallerTimes Table;
  recordCallerTime(Table, "a", milliseconds(1000), at(0));
  EXPECT_EQ(recordCallerTime(Table, "a", milliseconds(400), at(1)),
            milliseconds(600));
  EXPECT_EQ(recordCallerTime(Table, "b", milliseconds(400), at(1)),
            Duration(0));
}

// One caller with an unusually long time-out must not make the requests of all
// others count as repeated for ever.
TEST(CallerTimes, ForgetsALongTimeAfterTwoWindows) {
  CallerTimes Table;
  recordCallerTime(Table, "a", milliseconds(9000), at(0));
  for (int Second = 1; Second < 60; ++Second)
    recordCallerTime(Table, "a", milliseconds(1000), at(Second));
  EXPECT_EQ(recordCallerTime(Table, "a", milliseconds(1000), at(61)),
            Duration(0));
}

// After a pause the previous window says nothing about the present callers.
TEST(CallerTimes, ForgetsAWindowThatIsNotAdjacent) {
  CallerTimes Table;
  recordCallerTime(Table, "a", milliseconds(9000), at(0));
  EXPECT_EQ(recordCallerTime(Table, "a", milliseconds(1000), at(100)),
            Duration(0));
}

TEST(CallerTimes, TracksNoMoreRoutesThanMaxRoutes) {
  CallerTimes Table;
  Table.Options_.MaxRoutes_ = 2;
  for (const char *Route : {"a", "b", "c"})
    recordCallerTime(Table, Route, milliseconds(1000), at(0));
  EXPECT_EQ(Table.Routes_.size(), 2U);
  EXPECT_EQ(recordCallerTime(Table, "c", milliseconds(10), at(0)), Duration(0));
}

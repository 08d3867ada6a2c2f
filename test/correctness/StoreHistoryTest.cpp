// Guards against a restored store that is not noticed, noticed twice, or seen
// in answers that only arrived late.
#include "StoreHistory.h"

#include <gtest/gtest.h>

using namespace sycamore;

TEST(StoreHistory, AnotherIdentityShowsARestorationOnce) {
  StoreHistory History;
  HistoryMark Sent = markHistory(History);
  EXPECT_EQ(recordAnswer(History, Sent, "1", 100), AnswerAge::Current);
  Sent = markHistory(History);
  HistoryMark SentWithIt = Sent;
  // The revision may have passed the earlier one.
  EXPECT_EQ(recordAnswer(History, Sent, "2", 169), AnswerAge::Restored);
  EXPECT_EQ(recordAnswer(History, SentWithIt, "2", 168), AnswerAge::Current);
  EXPECT_EQ(History.Restored_, 1U);
}

TEST(StoreHistory, AnAnswerFromBeforeTheRestorationIsOutdated) {
  StoreHistory History;
  recordAnswer(History, markHistory(History), "1", 100);
  HistoryMark Late = markHistory(History);
  recordAnswer(History, markHistory(History), "2", 90);
  EXPECT_EQ(recordAnswer(History, Late, "1", 101), AnswerAge::Outdated);
  EXPECT_EQ(History.Identity_, "2");
  EXPECT_EQ(History.Revision_, 90);
}

TEST(StoreHistory, TwoRestorationsInARowAreTwo) {
  StoreHistory History;
  recordAnswer(History, markHistory(History), "1", 100);
  HistoryMark Late = markHistory(History);
  recordAnswer(History, markHistory(History), "2", 90);
  EXPECT_EQ(recordAnswer(History, markHistory(History), "3", 95),
            AnswerAge::Restored);
  EXPECT_EQ(recordAnswer(History, Late, "2", 96), AnswerAge::Outdated);
  EXPECT_EQ(History.Restored_, 2U);
}

TEST(StoreHistory, WithoutAnIdentityARevisionThatFellShowsIt) {
  StoreHistory History;
  recordAnswer(History, markHistory(History), "", 100);
  HistoryMark Earlier = markHistory(History);
  recordAnswer(History, markHistory(History), "", 120);
  // Sent before 120 was answered, so it may have been answered before, too.
  EXPECT_EQ(recordAnswer(History, Earlier, "", 110), AnswerAge::Current);
  EXPECT_EQ(recordAnswer(History, markHistory(History), "", 110),
            AnswerAge::Restored);
  EXPECT_EQ(recordAnswer(History, Earlier, "", 121), AnswerAge::Outdated);
}

TEST(StoreHistory, AnAnswerWithoutARevisionShowsNone) {
  StoreHistory History;
  recordAnswer(History, markHistory(History), "1", 100);
  EXPECT_EQ(recordAnswer(History, markHistory(History), "1", 0),
            AnswerAge::Current);
  EXPECT_EQ(recordAnswer(History, markHistory(History), "", 0),
            AnswerAge::Current);
}

// A store that states an identity from now on was only replaced by a later
// version.
TEST(StoreHistory, AFirstIdentityIsNoRestoration) {
  StoreHistory History;
  recordAnswer(History, markHistory(History), "", 100);
  EXPECT_EQ(recordAnswer(History, markHistory(History), "1", 101),
            AnswerAge::Current);
}

TEST(StoreHistory, AWatchMayBeAnsweredWithAnEarlierRevision) {
  StoreHistory History;
  recordAnswer(History, markHistory(History), "", 100);
  raiseRevision(History, markHistory(History), 90);
  EXPECT_EQ(History.Revision_, 100);
  raiseRevision(History, markHistory(History), 130);
  EXPECT_EQ(History.Revision_, 130);
  EXPECT_EQ(History.Restored_, 0U);
}

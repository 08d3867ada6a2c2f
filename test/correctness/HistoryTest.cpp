// Guards against a history checker that misses a violation.
#include "History.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;
using history::Event;
using history::EventKind;

namespace {

Event event(EventKind Kind, std::int64_t At, const std::string &Call,
            const char *Key) {
  Event Out;
  Out.Kind_ = Kind;
  Out.At_ = At;
  Out.Call_ = Call;
  Out.Key_ = Key;
  return Out;
}

Event sent(const std::string &Call, std::int64_t At) {
  Event Out = event(EventKind::Sent, At, Call, "k");
  Out.Request_ = "r";
  return Out;
}

Event ran(const std::string &Call, std::int64_t At, const char *Key = "k",
          const char *Request = "r") {
  Event Out = event(EventKind::Ran, At, Call, Key);
  Out.Request_ = Request;
  Out.Body_ = "b";
  return Out;
}

Event answered(const std::string &Call, const char *Run,
               bool NoEarlierRun = false, const char *Body = "b") {
  Event Out = event(EventKind::Answered, 9, Call, "k");
  Out.Run_ = Run;
  Out.NoEarlierRun_ = NoEarlierRun;
  Out.Body_ = Body;
  return Out;
}

Event ticket(EventKind Kind, std::int64_t At, std::uint64_t Number) {
  Event Out = event(Kind, At, "", "");
  Out.Proxy_ = "p";
  Out.Ticket_ = Number;
  return Out;
}

std::string firstRule(const std::vector<Event> &Events) {
  auto Found = history::check(Events);
  return Found.empty() ? "" : Found[0].Rule_;
}

} // namespace

TEST(History, EachRuleDetectsItsViolation) {
  auto ValidHistory =
      std::vector{sent("1", 1), ran("1", 2), answered("1", "done")};
  EXPECT_EQ(firstRule(ValidHistory), "");
  EXPECT_EQ(firstRule({ran("1", 2), ran("2", 3)}), "at-most-once-key");
  EXPECT_EQ(firstRule({ran("1", 2, ""), ran("1", 3, "")}), "at-most-once-call");
  EXPECT_EQ(firstRule({sent("1", 1), ran("1", 2), answered("1", "not-run")}),
            "not-run");
  auto KeyRanEarlier = {ran("1", 2), sent("2", 3),
                        answered("2", "not-run", true)};
  EXPECT_EQ(firstRule(KeyRanEarlier), "not-run-settled");
  EXPECT_EQ(firstRule({sent("1", 1), answered("1", "done")}), "done-ran");
  EXPECT_EQ(firstRule({sent("1", 1), ran("1", 2),
                       answered("1", "done", false, "half")}),
            "whole-answer");
  EXPECT_EQ(firstRule({sent("1", 1), ran("1", 2, "k", "other"),
                       answered("1", "done")}),
            "right-request");
  EXPECT_EQ(firstRule({answered("1", "unknown"), answered("1", "unknown")}),
            "one-answer");
  using enum EventKind;
  EXPECT_EQ(firstRule({ticket(Accepted, 1, 1), ticket(Accepted, 2, 2),
                       ticket(Ticket, 3, 2), ticket(Ticket, 4, 1)}),
            "older-ticket");
  EXPECT_EQ(firstRule({ticket(Accepted, 5, 2), ticket(Ticket, 3, 2)}),
            "ticket-not-accepted");
}

RC_GTEST_PROP(History, JsonLinesKeepEveryField,
              (bool Flag, std::int64_t At, std::uint32_t Status)) {
  Event Entry = answered("call", "done", Flag, "body \"\n");
  Entry.At_ = At;
  Entry.Status_ = Status;
  auto Parsed = history::parseJsonLines(history::toJsonLines({Entry, Entry}));
  RC_ASSERT(Parsed.has_value());
  RC_ASSERT(*Parsed == std::vector({Entry, Entry}));
}

TEST(History, RejectsInvalidLines) {
  EXPECT_FALSE(history::parseJsonLine("{\"event\":\"unknown\",\"at\":1}"));
  EXPECT_FALSE(history::parseJsonLine("{\"event\":\"sent\"}"));
  EXPECT_FALSE(history::parseJsonLine("[]"));
}

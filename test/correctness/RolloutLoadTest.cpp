// Guards against a bad version that gets too many requests or is completed, and
// against a good one that is rolled back or completed late.
#include "RolloutSim.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

constexpr Duration LatestStopAfterBad = milliseconds(5000);

std::string describe(const SimResult &Result) {
  return "phase " + std::to_string(Result.Phase_) + " after " +
         std::to_string(toMilliseconds(Result.VerdictAfter_)) + " ms (" +
         Result.Reason_ + "), " + std::to_string(Result.NewRequests_) + " of " +
         std::to_string(Result.Requests_) + " requests, bound " +
         std::to_string(Result.bound()) + ", " +
         std::to_string(Result.BadAnswers_) + " bad answers";
}

void expectRolledBack(const SimResult &Result, Duration Deadline) {
  SCOPED_TRACE(describe(Result));
  EXPECT_EQ(Result.Phase_, wire::ROLLOUT_ROLLED_BACK);
  EXPECT_LT(Result.VerdictAfter_, Deadline - milliseconds(500));
  EXPECT_LE(static_cast<double>(Result.NewRequests_), Result.bound());
  if (Result.FiftiethBad_)
    EXPECT_LE(Result.LastNewAt_, *Result.FiftiethBad_ + LatestStopAfterBad);
}

void expectCompleted(const SimResult &Result, Duration Deadline) {
  SCOPED_TRACE(describe(Result));
  EXPECT_EQ(Result.Phase_, wire::ROLLOUT_COMPLETED);
  EXPECT_LT(Result.VerdictAfter_, Deadline - milliseconds(500));
  EXPECT_EQ(Result.SentAfterCompletion_, 0U);
}

SimVersion goodVersion() {
  return [](const SimRequest &) { return SimAnswer{}; };
}

SimVersion failing(double Part, Duration After = Duration(0),
                   std::string Route = "", std::uint32_t MinRunning = 0) {
  return [=](const SimRequest &Request) {
    SimAnswer Out;
    Out.Failed_ = Request.Draw_ < Part && Request.SinceStart_ >= After &&
                  (Route.empty() || Request.Route_ == Route) &&
                  Request.Running_ >= MinRunning;
    return Out;
  };
}

SimVersion slow(std::string Route = "", Duration After = Duration(0)) {
  return [=](const SimRequest &Request) {
    SimAnswer Out;
    if (Request.SinceStart_ >= After &&
        (Route.empty() || Request.Route_ == Route))
      Out.TimeFactor_ = 8;
    return Out;
  };
}

struct Load {
  double RequestsPerS_;
  Duration Deadline_;
};

class RolloutLoad : public testing::TestWithParam<Load> {
protected:
  static constexpr std::uint64_t Seeds = 8;

  SimOptions options(std::uint64_t Seed) const {
    SimOptions Out;
    Out.RequestsPerS_ = GetParam().RequestsPerS_;
    Out.Deadline_ = GetParam().Deadline_;
    Out.Seed_ = Seed;
    return Out;
  }

  void expectAllRolledBack(const SimVersion &Version) {
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      SCOPED_TRACE("seed " + std::to_string(Seed));
      expectRolledBack(RolloutSim(options(Seed), Version).run(),
                       GetParam().Deadline_);
    }
  }
};

} // namespace

TEST_P(RolloutLoad, CompletesAGoodVersion) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    expectCompleted(RolloutSim(options(Seed), goodVersion()).run(),
                    GetParam().Deadline_);
  }
}

TEST_P(RolloutLoad, RollsBackAVersionThatFailsAtOnce) {
  expectAllRolledBack(failing(0.34));
}

TEST_P(RolloutLoad, RollsBackAVersionThatFailsLate) {
  expectAllRolledBack(failing(0.4, milliseconds(2800)));
}

TEST_P(RolloutLoad, RollsBackAVersionThatIsSlow) {
  expectAllRolledBack(slow());
}

TEST_P(RolloutLoad, RollsBackAVersionThatIsSlowLate) {
  expectAllRolledBack(slow("", milliseconds(2500)));
}

TEST_P(RolloutLoad, RollsBackAVersionThatFailsOnOneRoute) {
  expectAllRolledBack(failing(0.4, Duration(0), "show"));
}

TEST_P(RolloutLoad, RollsBackAVersionThatIsSlowOnOneRoute) {
  expectAllRolledBack(slow("show"));
}

INSTANTIATE_TEST_SUITE_P(
    Rates, RolloutLoad,
    testing::Values(Load{10, seconds(12)}, Load{100, seconds(12)},
                    Load{1000, seconds(12)}, Load{1000, seconds(16)},
                    Load{4000, seconds(12)}),
    [](const auto &Info) {
      return std::to_string(static_cast<int>(Info.param.RequestsPerS_)) +
             "PerS" + std::to_string(Info.param.Deadline_ / seconds(1)) + "S";
    });

namespace {

/// 16 old targets take about one request each at a time under 400 requests per
/// second of 40 ms, so a canary's targets are nearly idle.
SimOptions loaded(std::uint64_t Seed) {
  SimOptions Out;
  Out.RequestsPerS_ = 2000;
  Out.Seed_ = Seed;
  return Out;
}

} // namespace

TEST(RolloutLoadOnly, RollsBackAVersionThatFailsUnderLoadOnly) {
  // The new targets run about 13 requests each at the full share.
  for (std::uint32_t MinRunning : {3U, 5U, 8U})
    for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
      SCOPED_TRACE("from " + std::to_string(MinRunning) + " at a time, seed " +
                   std::to_string(Seed));
      expectRolledBack(
          RolloutSim(loaded(Seed), failing(0.4, Duration(0), "", MinRunning))
              .run(),
          seconds(12));
    }
}

TEST(RolloutLoadOnly, RollsBackAVersionThatFailsOnARareRoute) {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    SCOPED_TRACE("seed " + std::to_string(Seed));
    expectRolledBack(
        RolloutSim(loaded(Seed), failing(0.4, Duration(0), "buy")).run(),
        seconds(12));
  }
}

TEST(RolloutLoadOnly, DecidesAfterTheHolderDied) {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    SimOptions Options = loaded(Seed);
    Options.HolderDiesAfter_ = milliseconds(2000);
    expectCompleted(RolloutSim(Options, goodVersion()).run(), seconds(12));
    expectRolledBack(
        RolloutSim(Options, failing(0.4, milliseconds(1400))).run(),
        seconds(12));
  }
}

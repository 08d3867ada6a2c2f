// Guards against a tenant that runs more requests than its quota permits over
// all daemons, and against refusals of requests within a quota.
#include "QuotaWorld.h"

#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck/gtest.h>

namespace sycamore::test {
namespace {

/// A property simulates a fleet for a minute, so that a hundred runs would take
/// minutes. RC_PARAMS in the environment is kept.
const int RunsSet = setenv("RC_PARAMS", "max_success=8", 0);

constexpr std::size_t Servers = 73;
constexpr std::size_t Tenants = 79;
constexpr TimePoint Start = TimePoint{} + seconds(100);
/// Owners lend from 2 s after the start; small shares fill for some seconds.
constexpr TimePoint Calm = Start + seconds(10);

double refusedPart(const QuotaTenant &Tenant) {
  return Tenant.Sent_ == 0 ? 0 : double(Tenant.Refused_) / double(Tenant.Sent_);
}

double worstExcess(const QuotaWorld &World, TimePoint End) {
  double Out = -1e9;
  for (const QuotaTenant &Each : World.Tenants_)
    Out = std::max(Out, QuotaWorld::excess(Each, Each.Limit_, Start, End));
  return Out;
}

void printResult(const char *Name, const QuotaWorld &World, TimePoint End) {
  std::uint64_t Sent = 0;
  std::uint64_t Refused = 0;
  double Worst = 0;
  for (const QuotaTenant &Each : World.Tenants_) {
    if (Each.HotFactor_ > 1.6)
      continue;
    Sent += Each.Sent_;
    Refused += Each.Refused_;
    Worst = std::max(Worst, refusedPart(Each));
  }
  QuotaCounters Counters = World.counters();
  std::cout << Name << ": sent " << Sent << ", refused " << Refused
            << ", worst tenant " << Worst << ", above bound "
            << worstExcess(World, End) << ", messages " << World.Messages_
            << ", lapsed " << Counters.Lapsed_ << ", fallback "
            << Counters.Fallback_ << ", waited " << Counters.Waited_ << "\n";
}

std::vector<bool> some(Random &Rng, std::size_t Count) {
  std::vector<bool> Out(Servers);
  std::fill_n(Out.begin(), Count, true);
  std::shuffle(Out.begin(), Out.end(), Rng);
  return Out;
}

void expectBound(const QuotaWorld &World, TimePoint End) {
  for (const QuotaTenant &Each : World.Tenants_)
    EXPECT_LE(QuotaWorld::excess(Each, Each.Limit_, Start, End), 0)
        << Each.Name_;
}

/// A fleet with one tenant far over its quota, and a fault from 25 s on.
std::unique_ptr<QuotaWorld> makeWorld(QuotaFault::Kind Kind, double Affected,
                                      Duration Length) {
  auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  auto World = std::make_unique<QuotaWorld>(Servers, Tenants, Seed,
                                            *rc::gen::arbitrary<bool>());
  World->Tenants_[*rc::gen::inRange<std::size_t>(0, Tenants)].HotFactor_ = 7.5;
  World->HotFrom_ = Start + seconds(*rc::gen::inRange(5, 30));
  World->NotRunRate_ = *rc::gen::element(0.0, 0.3);
  World->LossRate_ = *rc::gen::element(0.0, 0.01);
  World->CountFrom_ = Calm;
  World->Fault_ = {Kind, Start + seconds(25), Start + seconds(25) + Length,
                   some(World->Rng_, std::size_t(Affected * Servers + 0.5))};
  return World;
}

/// Requests refused of all that were sent by tenants within their quota.
double refusedWithinQuota(const QuotaWorld &World) {
  double Sent = 0;
  double Refused = 0;
  for (const QuotaTenant &Each : World.Tenants_) {
    if (Each.HotFactor_ > 1)
      continue;
    Sent += double(Each.Sent_);
    Refused += double(Each.Refused_);
  }
  return Refused / Sent;
}

} // namespace

// Tokens that were lent before a window run in it. The page's first choice of a
// life of 1 s breaks this, because the tokens of 6 s may run in 5 s.
RC_GTEST_PROP(TenantQuota, LendsNoMoreInAWindowThanTheBound, ()) {
  QuotaLimit Limit{double(*rc::gen::inRange(1, 100'000)),
                   double(*rc::gen::inRange(0, 100'000))};
  QuotaFleet Fleet{"a", "x", {}, {}, 0};
  QuotaGroup Group{"x", {{"a", QuotaServerState::Alive, {}, true}}, {}, false};
  updateFleet(Fleet, {Group}, Start);
  QuotaOwner Owner;
  double Lent = 0;
  TimePoint Full = Start + seconds(200'000);
  for (Duration Passed{0}; Passed < seconds(5) + QuotaTokenLife;
       Passed += milliseconds(10)) {
    observeTime(Owner, Full + Passed);
    if (Passed == Duration(0))
      Owner.ResumedAt_ = {};
    Lent += lend(Owner, Fleet, "t", Limit, 1'000'000, Full + Passed).Granted_;
  }
  RC_ASSERT(Lent <= (Limit.Rate_ * 5 + Limit.Burst_) * 1.1 + 20);
  RC_ASSERT(Lent >= Limit.Rate_ * 5 + Limit.Burst_);
}

TEST(TenantQuota, ServesUsualDemandInCalmOperation) {
  for (bool WithBurst : {false, true}) {
    QuotaWorld World(Servers, Tenants, 1, WithBurst);
    World.CountFrom_ = Calm;
    World.run(Start, Start + seconds(100));
    printResult("calm", World, Start + seconds(100));
    expectBound(World, Start + seconds(100));
    for (const QuotaTenant &Each : World.Tenants_)
      EXPECT_LT(refusedPart(Each), 0.01) << Each.Name_;
    EXPECT_LT(refusedWithinQuota(World), 0.001);
  }
}

TEST(TenantQuota, LendsMostOfTheQuotaToATenantAboveIt) {
  for (double Factor : {1.8, 3.0, 7.5}) {
    QuotaWorld World(Servers, Tenants, 2, true);
    for (std::size_t I : {0, 10, 70})
      World.Tenants_[I].HotFactor_ = Factor;
    World.HotFrom_ = Start + seconds(10);
    World.CountFrom_ = Start + seconds(20);
    TimePoint End = Start + seconds(50);
    World.run(Start, End);
    printResult("hot", World, End);
    expectBound(World, End);
    EXPECT_LT(refusedWithinQuota(World), 0.001);
    for (std::size_t I : {0, 10, 70}) {
      const QuotaTenant &Hot = World.Tenants_[I];
      auto Runs =
          std::count_if(Hot.Runs_.begin(), Hot.Runs_.end(), [](TimePoint Each) {
            return Each >= Start + seconds(20);
          });
      std::cout << "  hot " << Factor << " " << Hot.Name_ << ": "
                << double(Runs) << " of " << Hot.Sent_ << ", quota "
                << 30 * Hot.Limit_.Rate_ << "\n";
      EXPECT_GT(double(Runs),
                0.95 * std::min(30 * Hot.Limit_.Rate_, double(Hot.Sent_)))
          << Hot.Name_;
    }
  }
}

RC_GTEST_PROP(TenantQuota, HoldsTheBoundWhenOwnersDie, ()) {
  auto World = makeWorld(QuotaFault::Dead, *rc::gen::element(0.02, 0.1, 0.4),
                         seconds(60));
  World->Fault_.Affected_[World->ownerOf(0)] = true;
  World->run(Start, Start + seconds(70));
  printResult("dead", *World, Start + seconds(70));
  RC_ASSERT(worstExcess(*World, Start + seconds(70)) <= 0);
}

RC_GTEST_PROP(TenantQuota, HoldsTheBoundWhenOwnersReturn, ()) {
  auto World = makeWorld(QuotaFault::Dead, *rc::gen::element(0.1, 0.3),
                         seconds(*rc::gen::inRange(1, 25)));
  World->run(Start, Start + seconds(60));
  printResult("returned", *World, Start + seconds(60));
  RC_ASSERT(worstExcess(*World, Start + seconds(60)) <= 0);
}

RC_GTEST_PROP(TenantQuota, HoldsTheBoundInAPartition, ()) {
  auto World = makeWorld(QuotaFault::Cut, 1.0 / 3,
                         seconds(*rc::gen::element(1, 5, 9, 12, 15, 20, 40)));
  if (*rc::gen::arbitrary<bool>())
    for (std::size_t I = 0; I < Servers; ++I)
      World->Fault_.Affected_[I] = I % 3 == 1;
  World->run(Start, Start + seconds(80));
  printResult("cut", *World, Start + seconds(80));
  RC_ASSERT(worstExcess(*World, Start + seconds(80)) <= 0);
}

RC_GTEST_PROP(TenantQuota, HoldsTheBoundWithFrozenDaemons, ()) {
  auto World = makeWorld(QuotaFault::Frozen, *rc::gen::element(0.02, 0.3),
                         seconds(*rc::gen::element(1, 3, 9, 20)));
  World->Fault_.Affected_[World->ownerOf(0)] = true;
  World->run(Start, Start + seconds(60));
  printResult("frozen", *World, Start + seconds(60));
  RC_ASSERT(worstExcess(*World, Start + seconds(60)) <= 0);
}

RC_GTEST_PROP(TenantQuota, HoldsTheBoundWithTwoOwners, ()) {
  auto World = makeWorld(QuotaFault::Accused, *rc::gen::element(0.1, 0.5),
                         seconds(*rc::gen::element(1, 4, 8)));
  World->run(Start, Start + seconds(60));
  printResult("accused", *World, Start + seconds(60));
  RC_ASSERT(worstExcess(*World, Start + seconds(60)) <= 0);
}

RC_GTEST_PROP(TenantQuota, HoldsALoweredLimitAfterOneWindow, ()) {
  auto World = makeWorld(QuotaFault::None, 0, seconds(0));
  World->LoweredAt_ = Start + seconds(30);
  for (QuotaTenant &Each : World->Tenants_) {
    Each.Lowered_ = {std::max(1.0, std::floor(Each.Limit_.Rate_ / 4)),
                     std::floor(Each.Limit_.Burst_ / 4)};
    Each.HotFactor_ = std::max(Each.HotFactor_, 2.0);
  }
  TimePoint End = Start + seconds(50);
  World->run(Start, End);
  TimePoint Binding = World->LoweredAt_ + milliseconds(2500) + seconds(5);
  double Worst = -1e9;
  for (const QuotaTenant &Each : World->Tenants_) {
    Worst = std::max(
        Worst, QuotaWorld::excess(Each, Each.Limit_, Start, World->LoweredAt_));
    Worst =
        std::max(Worst, QuotaWorld::excess(Each, Each.Lowered_, Binding, End));
  }
  std::cout << "lowered: above bound " << Worst << "\n";
  RC_ASSERT(Worst <= 0);
}

TEST(TenantQuota, ServesUsualDemandAfterAnOwnerDied) {
  QuotaWorld World(Servers, Tenants, 3, true);
  World.CountFrom_ = Calm;
  World.Fault_ = {QuotaFault::Dead, Start + seconds(20), Start + seconds(100),
                  std::vector<bool>(Servers)};
  World.Fault_.Affected_[World.ownerOf(0)] = true;
  World.run(Start, Start + seconds(60));
  printResult("owner died", World, Start + seconds(60));
  EXPECT_LT(refusedWithinQuota(World), 0.002);
}

TEST(TenantQuota, ServesUsualDemandWhileADataCentreIsCutOff) {
  QuotaWorld World(Servers, Tenants, 4, true);
  World.Fault_ = {QuotaFault::Cut, Start + seconds(20), Start + seconds(29),
                  std::vector<bool>(Servers)};
  for (std::size_t I = 0; I < Servers; ++I)
    World.Fault_.Affected_[I] = I % 3 == 1;
  World.CountFrom_ = Calm;
  World.run(Start, Start + seconds(50));
  printResult("data centre cut off", World, Start + seconds(50));
  EXPECT_LT(refusedWithinQuota(World), 0.01);
}

} // namespace sycamore::test

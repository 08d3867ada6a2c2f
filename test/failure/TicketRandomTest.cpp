// Guards against reported outcomes that differ from the content of the store,
// in random combinations of concurrent actions and faults that no other test
// covers. SYCAMORE_TEST_SEED=N repeats one run.
#include "TicketFixture.h"

#include <array>

using namespace sycamore;

namespace {

constexpr std::uint64_t RunCount = 1500;

/// Above the number of store calls of an action before its deadline.
constexpr std::size_t MaxOutageCalls = 200;

class TicketRandom : public TicketFixture {
public:
  void TestBody() override {}

  void run(std::uint64_t Seed) {
    Rng_.seed(Seed);
    if (chance(0.25))
      fillHead();
    for (int I = 0; I < 3; ++I)
      FiledNumbers_.push_back(
          std::get<TicketActionAccepted>(file(randomTicket(), "s")).Number_);
    Store_.resetFaults();
    Store_.LateByCalls_ = 1 + randomIndex(Rng_, 6);
    for (std::size_t Call = 1; Call <= 12; ++Call)
      if (chance(0.3))
        Store_.Faults_[Call] =
            static_cast<FakeStore::Fault>(1 + randomIndex(Rng_, 4));
    if (chance(0.3)) // The first call of an outage loses its answer.
      for (std::size_t Call = 1 + randomIndex(Rng_, 4), First = Call;
           Call <= MaxOutageCalls; ++Call)
        Store_.Faults_[Call] =
            Call == First
                ? static_cast<FakeStore::Fault>(2 + randomIndex(Rng_, 3))
                : FakeStore::Fault::Down;
    std::size_t FirstConcurrentCall = 1 + randomIndex(Rng_, 8);
    std::size_t SecondConcurrentCall = 1 + randomIndex(Rng_, 8);
    Store_.BeforeCall_ = [&](std::size_t Call) {
      if (Call == FirstConcurrentCall || Call == SecondConcurrentCall)
        runRandomAction("rival-" + std::to_string(Call));
    };
    runRandomAction("outer");
    bool NoFaults = Store_.Faults_.empty();
    Store_.resetFaults();
    Store_.applyPendingCalls();
    for (const auto &[Operator, ExpectedState, Outcome] : Actions_) {
      expectOutcomeMatchesStore(Outcome, Operator, ExpectedState);
      EXPECT_FALSE(NoFaults &&
                   std::holds_alternative<TicketActionUnknown>(Outcome));
    }
    expectValidChain();
    for (const auto &[Operator, ExpectedState, Outcome] : Actions_)
      ++OutcomeCounts_[Outcome.index()];
  }

  static inline std::array<std::size_t, 3> OutcomeCounts_{};

private:
  bool chance(double Probability) { return randomUnit(Rng_) < Probability; }

  Ticket randomTicket() {
    std::string Service = "s" + std::to_string(randomIndex(Rng_, 3));
    return serviceTicket(Service,
                         static_cast<std::uint32_t>(randomIndex(Rng_, 50)),
                         chance(0.2) ? LargeTitleBytes : 10);
  }

  void runRandomAction(const std::string &Operator) {
    std::uint64_t Number =
        FiledNumbers_[randomIndex(Rng_, FiledNumbers_.size())];
    switch (randomIndex(Rng_, 4)) {
    case 0:
      return recordOutcome(Operator, TicketState::Filed,
                           file(randomTicket(), Operator));
    case 1:
      return recordOutcome(Operator, TicketState::Withdrawn,
                           withdraw(Number, Operator));
    default:
      return recordOutcome(Operator, TicketState::Accepted,
                           approve(Number, Operator));
    }
  }

  void recordOutcome(const std::string &Operator, TicketState ExpectedState,
                     TicketActionOutcome Outcome) {
    Actions_.emplace_back(Operator, ExpectedState, std::move(Outcome));
  }

  std::vector<std::uint64_t> FiledNumbers_;
  std::vector<std::tuple<std::string, TicketState, TicketActionOutcome>>
      Actions_;
};

} // namespace

TEST(TicketRandomTest, OutcomesMatchTheStore) {
  std::vector<std::uint64_t> Seeds = testSeeds(RunCount);
  for (std::uint64_t Seed : Seeds) {
    SCOPED_TRACE("SYCAMORE_TEST_SEED=" + std::to_string(Seed));
    TicketRandom().run(Seed);
    if (testing::Test::HasFailure())
      break;
  }
  std::printf("%zu runs: %zu accepted, %zu not accepted, %zu unknown\n",
              Seeds.size(), TicketRandom::OutcomeCounts_[0],
              TicketRandom::OutcomeCounts_[1], TicketRandom::OutcomeCounts_[2]);
  for (std::size_t Count : TicketRandom::OutcomeCounts_)
    EXPECT_TRUE(Seeds.size() == 1 || Count > Seeds.size() / 50);
}

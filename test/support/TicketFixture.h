// Test fixture with a store and operators, and with the checks of the store's
// content that end every test of ticket actions.
#pragma once

#include "FakeStore.h"

#include <gtest/gtest.h>

namespace sycamore {

/// Seeds 1 to Count of randomised tests. SYCAMORE_TEST_SEED selects a single
/// seed, and SYCAMORE_TEST_RUNS replaces Count.
std::vector<std::uint64_t> testSeeds(std::uint64_t Count);

/// A ticket that sets one service and has a title of TitleBytes.
Ticket serviceTicket(const std::string &Service, std::uint32_t QueueLimit,
                     std::size_t TitleBytes = 0);

TicketOperator makeOperator(const std::string &Name);

bool isAccepted(const TicketActionOutcome &Outcome);
/// Kind of the error; fails the test if the action was accepted.
ErrorKind errorKindOf(const TicketActionOutcome &Outcome);
std::string describeOutcome(const TicketActionOutcome &Outcome);

/// A head holds two tickets with titles of this size inline, but not three.
inline constexpr std::size_t LargeTitleBytes = MaxRecentBytes * 2 / 5;

class TicketFixture : public testing::Test {
protected:
  TicketFixture();

  TicketActionOutcome file(const Ticket &Change,
                           const std::string &Operator = "ana");
  TicketActionOutcome approve(std::uint64_t Number,
                              const std::string &Operator = "bo");
  TicketActionOutcome withdraw(std::uint64_t Number,
                               const std::string &Operator = "cho");

  /// Files and approves a ticket, both of which must succeed; returns its
  /// number.
  std::uint64_t fileAndApprove(const Ticket &Change);
  /// Accepts large tickets, so that the next approval compacts the head.
  void fillHead();

  std::optional<TicketRecord> record(std::uint64_t Number) const;
  std::vector<TicketRecord> records() const;
  Head head() const;
  std::vector<std::string> snapshotKeys() const;

  /// Checks that the head resolves to the state of all accepted records, and
  /// that every earlier head had a higher number than its predecessor and could
  /// be resolved when it was written.
  void expectValidChain();
  /// Applies pending writes, then checks that the outcome of the only action of
  /// an operator agrees with the content of the store.
  void expectOutcomeMatchesStore(const TicketActionOutcome &Outcome,
                                 const std::string &Operator,
                                 TicketState ExpectedState);

  FakeStore Store_;
  Random Rng_{1};
  BlockingStoreClient StoreSession_ = Store_.session();
  TicketSession TicketSession_ = Store_.ticketSession(StoreSession_, Rng_);
  WallTime Now_{seconds(1'700'000'000)};

private:
  Result<Snapshot> resolve(const Head &Value) const;
  void checkHead(const KeyValue &Value);

  std::uint64_t LastHeadNumber_ = 0;
  std::vector<std::string> HeadProblems_;
  std::unique_ptr<WatchHandle> Watch_;
};

} // namespace sycamore

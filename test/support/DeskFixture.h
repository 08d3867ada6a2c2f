// Test fixture with a store and operators, and with the checks of the store's
// content that end every test of ticket actions.
#pragma once

#include "FakeStore.h"

#include <gtest/gtest.h>

namespace sycamore {

/// Seeds 1 to Count of randomised tests. SYCAMORE_TEST_SEED selects a single
/// seed, and SYCAMORE_TEST_RUNS replaces Count.
std::vector<std::uint64_t> testSeeds(std::uint64_t Count);

/// A ticket that sets one service and has a title of the given number of bytes.
Ticket serviceTicket(const std::string &Service, std::uint32_t QueueLimit,
                     std::size_t Bytes = 0);

DeskOperator operatorNamed(const std::string &Name);

bool isAccepted(const DeskOutcome &Outcome);
/// Kind of the error; fails the test if the action was accepted.
ErrorKind failureOf(const DeskOutcome &Outcome);
std::string textOf(const DeskOutcome &Outcome);

/// A head holds two tickets with titles of this size inline, but not three.
inline constexpr std::size_t LargeTitleBytes = MaxRecentBytes * 2 / 5;

class DeskFixture : public testing::Test {
protected:
  DeskFixture();

  DeskOutcome file(const Ticket &Change, const std::string &By = "ana");
  DeskOutcome approve(std::uint64_t Number, const std::string &By = "bo");
  DeskOutcome withdraw(std::uint64_t Number, const std::string &By = "cho");

  /// Files and approves a ticket, both of which must succeed; returns its
  /// number.
  std::uint64_t accept(const Ticket &Change);
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
  /// Completes late writes, then checks that the outcome of the only action of
  /// an operator agrees with the content of the store.
  void expectTruthful(const DeskOutcome &Outcome, const std::string &By,
                      TicketState Wanted);

  FakeStore Store_;
  Random Rng_{1};
  StoreSession Session_ = Store_.session();
  DeskSession Desk_ = Store_.desk(Session_, Rng_);
  WallTime Now_{seconds(1'700'000'000)};

private:
  Result<Snapshot> resolve(const Head &Value) const;
  void checkHead(const KeyValue &Value);

  std::uint64_t LastHead_ = 0;
  std::vector<std::string> HeadProblems_;
  std::unique_ptr<WatchHandle> Watch_;
};

} // namespace sycamore

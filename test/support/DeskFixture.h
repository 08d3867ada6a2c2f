// A store with operators, and the checks of its content that every test of
// ticket actions ends with.
#pragma once

#include "FakeStore.h"

#include <gtest/gtest.h>

namespace sycamore {

/// Seeds 1 to Count of random tests; SYCAMORE_TEST_SEED runs one alone and
/// SYCAMORE_TEST_RUNS replaces Count.
std::vector<std::uint64_t> testSeeds(std::uint64_t Count);

/// A ticket that sets one service; Bytes pads its title.
Ticket serviceTicket(const std::string &Service, std::uint32_t QueueLimit,
                     std::size_t Bytes = 0);

DeskOperator operatorNamed(const std::string &Name);

bool isAccepted(const DeskOutcome &Outcome);
/// Kind of the failure; fails the test for an accepted action.
ErrorKind failureOf(const DeskOutcome &Outcome);
std::string textOf(const DeskOutcome &Outcome);

/// Of two such tickets a head holds both inline, of three it does not.
inline constexpr std::size_t LargeTitleBytes = MaxRecentBytes * 2 / 5;

class DeskFixture : public testing::Test {
protected:
  DeskFixture();

  DeskOutcome file(const Ticket &Change, const std::string &By = "ana");
  DeskOutcome approve(std::uint64_t Number, const std::string &By = "bo");
  DeskOutcome withdraw(std::uint64_t Number, const std::string &By = "cho");

  /// Files and approves without faults; returns the number.
  std::uint64_t accept(const Ticket &Change);
  /// Accepts large tickets, so that the next approval compacts the head.
  void fillHead();

  std::optional<TicketRecord> record(std::uint64_t Number) const;
  std::vector<TicketRecord> records() const;
  Head head() const;
  std::vector<std::string> snapshotKeys() const;

  /// The head resolves to the fold of all accepted records, and every earlier
  /// head did so when it was written, with rising numbers.
  void expectValidChain();
  /// The outcome of an action by an operator who did nothing else agrees with
  /// the store, once no call is under way.
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

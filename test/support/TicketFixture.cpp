// Runs ticket actions on a FakeStore and compares outcomes with its content.
#include "TicketFixture.h"

#include <algorithm>
#include <cstdlib>

namespace sycamore {

std::vector<std::uint64_t> testSeeds(std::uint64_t Count) {
  if (const char *Text = std::getenv("SYCAMORE_TEST_SEED"))
    return {std::strtoull(Text, nullptr, 10)};
  if (const char *Text = std::getenv("SYCAMORE_TEST_RUNS"))
    Count = std::strtoull(Text, nullptr, 10);
  std::vector<std::uint64_t> Out(Count);
  for (std::uint64_t I = 0; I < Count; ++I)
    Out[I] = I + 1;
  return Out;
}

Ticket serviceTicket(const std::string &Service, std::uint32_t QueueLimit,
                     std::size_t TitleBytes) {
  Ticket Out;
  Out.Author_ = "ana";
  Out.Title_ = std::string(TitleBytes, 'x');
  Out.Services_[Service] = sycamore::Service{};
  Out.Services_[Service]->QueueLimit_ = QueueLimit;
  return Out;
}

TicketOperator makeOperator(const std::string &Name) {
  TicketOperator Out;
  Out.Name_ = Name;
  return Out;
}

bool isAccepted(const TicketActionOutcome &Outcome) {
  return std::holds_alternative<TicketActionAccepted>(Outcome);
}

ErrorKind errorKindOf(const TicketActionOutcome &Outcome) {
  if (const auto *Refused = std::get_if<TicketActionNotAccepted>(&Outcome))
    return Refused->Reason_.Kind_;
  if (const auto *Unknown = std::get_if<TicketActionUnknown>(&Outcome))
    return Unknown->Reason_.Kind_;
  ADD_FAILURE() << "expected a failure, but the action was accepted";
  return ErrorKind::Internal;
}

std::string describeOutcome(const TicketActionOutcome &Outcome) {
  if (const auto *Refused = std::get_if<TicketActionNotAccepted>(&Outcome))
    return "not accepted: " + describe(Refused->Reason_);
  if (const auto *Unknown = std::get_if<TicketActionUnknown>(&Outcome))
    return "unknown: " + describe(Unknown->Reason_);
  return "accepted";
}

TicketFixture::TicketFixture() {
  Watch_ = Store_.watch(
      headKey(), 0, [this](const KeyValue &Value) { checkHead(Value); },
      [](const Error &) {});
}

TicketActionOutcome TicketFixture::file(const Ticket &Change,
                                        const std::string &Operator) {
  return fileTicket(TicketSession_, makeOperator(Operator), Change, Now_);
}

TicketActionOutcome TicketFixture::approve(std::uint64_t Number,
                                           const std::string &Operator) {
  return approveTicket(TicketSession_, makeOperator(Operator), Number, Now_);
}

TicketActionOutcome TicketFixture::withdraw(std::uint64_t Number,
                                            const std::string &Operator) {
  return withdrawTicket(TicketSession_, makeOperator(Operator), Number, Now_);
}

std::uint64_t TicketFixture::fileAndApprove(const Ticket &Change) {
  TicketActionOutcome Filed = file(Change, "setup");
  EXPECT_TRUE(isAccepted(Filed)) << describeOutcome(Filed);
  std::uint64_t Number = std::get<TicketActionAccepted>(Filed).Number_;
  TicketActionOutcome Approved = approve(Number, "setup");
  EXPECT_TRUE(isAccepted(Approved)) << describeOutcome(Approved);
  return Number;
}

void TicketFixture::fillHead() {
  fileAndApprove(serviceTicket("fill-1", 1, LargeTitleBytes));
  fileAndApprove(serviceTicket("fill-2", 1, LargeTitleBytes));
}

std::optional<TicketRecord> TicketFixture::record(std::uint64_t Number) const {
  auto Found = Store_.values().find(ticketKey(Number));
  if (Found == Store_.values().end())
    return std::nullopt;
  return *parseTicketRecord(Found->second.Value_, Found->first);
}

std::vector<TicketRecord> TicketFixture::records() const {
  std::vector<TicketRecord> Out;
  for (const auto &[Key, Value] : Store_.values())
    if (Key.starts_with("/sycamore/tickets/"))
      Out.push_back(*parseTicketRecord(Value.Value_, Key));
  return Out;
}

Head TicketFixture::head() const {
  auto Found = Store_.values().find(headKey());
  return Found == Store_.values().end() ? Head{}
                                        : *parseHead(Found->second.Value_);
}

std::vector<std::string> TicketFixture::snapshotKeys() const {
  std::vector<std::string> Out;
  for (const auto &[Key, Value] : Store_.values())
    if (Key.starts_with("/sycamore/snapshots/"))
      Out.push_back(Key);
  return Out;
}

Result<Snapshot> TicketFixture::resolve(const Head &Value) const {
  if (Value.BaseNumber_ == 0)
    return resolveHead(Value, Snapshot{});
  std::string Key = snapshotKey(Value.BaseNumber_);
  auto Found = Store_.values().find(Key);
  if (Found == Store_.values().end())
    return fail(ErrorKind::NotFound, Key + " is missing", "");
  auto Base = parseSnapshot(*parseJson(Found->second.Value_, Key), Key);
  if (!Base)
    return Base;
  return resolveHead(Value, *Base);
}

void TicketFixture::checkHead(const KeyValue &Value) {
  auto Parsed = parseHead(Value.Value_);
  if (!Parsed)
    return HeadProblems_.push_back(describe(Parsed.error()));
  if (Parsed->Number_ <= LastHeadNumber_)
    HeadProblems_.push_back("head " + std::to_string(Parsed->Number_) +
                            " follows " + std::to_string(LastHeadNumber_));
  LastHeadNumber_ = Parsed->Number_;
  if (auto Current = resolve(*Parsed); !Current)
    HeadProblems_.push_back(describe(Current.error()));
}

void TicketFixture::expectValidChain() {
  Store_.applyPendingCalls();
  for (const std::string &Problem : HeadProblems_)
    ADD_FAILURE() << Problem;
  auto Current = resolve(head());
  ASSERT_TRUE(Current.has_value()) << describe(Current.error());
  State Replayed;
  std::uint64_t Highest = 0;
  for (const TicketRecord &Record : records()) {
    if (Record.State_ != TicketState::Accepted)
      continue;
    auto Next = applyToState(Replayed, Record.Ticket_);
    ASSERT_TRUE(Next.has_value()) << describe(Next.error());
    Replayed = *Next;
    Highest = Record.Ticket_.Number_;
  }
  EXPECT_EQ(Current->Number_, Highest);
  EXPECT_TRUE(Current->State_ == Replayed)
      << "the head differs from the accepted tickets";
}

void TicketFixture::expectOutcomeMatchesStore(
    const TicketActionOutcome &Outcome, const std::string &Operator,
    TicketState ExpectedState) {
  Store_.applyPendingCalls();
  std::vector<std::uint64_t> AppliedNumbers;
  for (const TicketRecord &Record : records()) {
    bool IsOwn =
        ExpectedState == TicketState::Filed
            ? Record.Filer_ == Operator
            : Record.State_ == ExpectedState && Record.Approver_ == Operator;
    if (IsOwn)
      AppliedNumbers.push_back(Record.Ticket_.Number_);
  }
  if (const auto *Accepted = std::get_if<TicketActionAccepted>(&Outcome)) {
    EXPECT_EQ(AppliedNumbers, std::vector<std::uint64_t>{Accepted->Number_})
        << Operator << ": the outcome says that the change took effect";
  } else if (std::holds_alternative<TicketActionNotAccepted>(Outcome)) {
    EXPECT_TRUE(AppliedNumbers.empty())
        << Operator << ": the outcome is " << describeOutcome(Outcome)
        << "; but ticket " << AppliedNumbers.front() << " took effect";
  } else {
    const auto &Unknown = std::get<TicketActionUnknown>(Outcome);
    EXPECT_LE(AppliedNumbers.size(), 1U);
    EXPECT_TRUE(AppliedNumbers.empty() ||
                AppliedNumbers.front() == Unknown.Number_);
    EXPECT_EQ(Unknown.StatusCommand_,
              "sycamorectl ticket status " + std::to_string(Unknown.Number_));
  }
}

} // namespace sycamore

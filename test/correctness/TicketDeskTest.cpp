// Guards against ticket actions that skip a check of numbers, rights,
// signatures or sizes, and against wrong results of the queries on which
// operators base their decisions.
#include "TicketFixture.h"

#include "sycamore/Signing.h"

using namespace sycamore;

namespace {

class TicketDesk : public TicketFixture {
protected:
  TicketActionOutcome approveAs(const TicketOperator &Operator,
                                std::uint64_t Number) {
    return approveTicket(TicketSession_, Operator, Number, Now_);
  }
  static std::uint64_t numberOf(const TicketActionOutcome &Outcome) {
    EXPECT_TRUE(isAccepted(Outcome)) << describeOutcome(Outcome);
    return isAccepted(Outcome) ? std::get<TicketActionAccepted>(Outcome).Number_
                               : 0;
  }
};

Ticket withNumber(std::uint64_t Number, Ticket Change) {
  Change.Number_ = Number;
  return Change;
}

} // namespace

TEST_F(TicketDesk, NumbersFollowTheHighestTicketAndHead) {
  EXPECT_EQ(numberOf(file(serviceTicket("a", 1))), 1U);
  EXPECT_EQ(numberOf(file(withNumber(9, serviceTicket("a", 1)))), 9U);
  EXPECT_EQ(numberOf(file(serviceTicket("a", 1))), 10U);
  EXPECT_EQ(record(10)->Ticket_.Number_, 10U);
  EXPECT_EQ(record(10)->FiledUnixUs_, Now_.time_since_epoch().count());
}

TEST_F(TicketDesk, NumbersFarAboveTheNextAreRefused) {
  EXPECT_EQ(errorKindOf(file(withNumber(1002, serviceTicket("a", 1)))),
            ErrorKind::InvalidTicket);
  EXPECT_EQ(numberOf(file(withNumber(1001, serviceTicket("a", 1)))), 1001U);
}

TEST_F(TicketDesk, NumbersAtOrBelowTheHeadAreRefused) {
  file(withNumber(5, serviceTicket("a", 1)));
  approve(5);
  for (std::uint64_t Number : {4, 5})
    EXPECT_EQ(errorKindOf(file(withNumber(Number, serviceTicket("a", 1)))),
              ErrorKind::Conflict);
}

TEST_F(TicketDesk, OvertakenTicketsAreRefused) {
  std::uint64_t Low = numberOf(file(serviceTicket("a", 1)));
  std::uint64_t High = numberOf(file(serviceTicket("b", 1)));
  EXPECT_TRUE(isAccepted(approve(High)));
  EXPECT_EQ(errorKindOf(approve(Low)), ErrorKind::Conflict);
  EXPECT_EQ(ticketStatus(TicketSession_, Low)->Standing_,
            TicketStanding::Overtaken);
  EXPECT_TRUE(isAccepted(withdraw(Low)));
}

TEST_F(TicketDesk, FilingRefusesWhatCouldNotBeApproved) {
  Ticket Dangling = serviceTicket("a", 1);
  Dangling.Targets_["t"] = TargetSpec{"missing", "", 6};
  EXPECT_EQ(errorKindOf(file(Dangling)), ErrorKind::InvalidTicket);
  Ticket WithDuplicateRoutes = serviceTicket("a", 1);
  for (const char *Name : {"r1", "r2"}) {
    WithDuplicateRoutes.Routes_[Name] = Route{};
    WithDuplicateRoutes.Routes_[Name]->Service_ = "a";
  }
  EXPECT_EQ(errorKindOf(file(WithDuplicateRoutes)), ErrorKind::InvalidTicket);
  WithDuplicateRoutes.Routes_["r2"]->Methods_ = {"GET"};
  EXPECT_TRUE(isAccepted(file(WithDuplicateRoutes)));
  EXPECT_EQ(records().size(), 1U);
}

TEST_F(TicketDesk, TicketsOverTheValueLimitAreRefused) {
  // The stored form writes out default values, so that many small entities
  // become several times larger.
  Ticket Large;
  Large.Author_ = "ana";
  for (int I = 0; I < 30'000; ++I)
    Large.Services_["s" + std::to_string(I)] = Service{};
  EXPECT_EQ(errorKindOf(file(Large)), ErrorKind::TooLarge);
  EXPECT_TRUE(Store_.values().empty());
}

TEST_F(TicketDesk, StateThatOutgrowsOneValueIsRefused) {
  std::optional<TicketActionOutcome> Refused;
  for (int Part = 0; Part < 12 && !Refused; ++Part) {
    Ticket Large;
    Large.Author_ = "ana";
    for (int I = 0; I < 4000; ++I)
      Large.Services_["s" + std::to_string(Part) + "-" + std::to_string(I)] =
          Service{};
    TicketActionOutcome Filed = file(Large);
    if (!isAccepted(Filed))
      Refused = Filed;
    else
      EXPECT_TRUE(
          isAccepted(approve(std::get<TicketActionAccepted>(Filed).Number_)));
  }
  ASSERT_TRUE(Refused.has_value());
  EXPECT_EQ(errorKindOf(*Refused), ErrorKind::TooLarge);
  for (const auto &[Key, Value] : Store_.values())
    EXPECT_LE(Value.Value_.size(), MaxStoreValueBytes) << Key;
  expectValidChain();
}

TEST_F(TicketDesk, RightsAndSecondOperatorAreChecked) {
  TicketOperator Filer = makeOperator("ana");
  Filer.Operators_ = {{"ana", std::string(64, 'a'), true, false}};
  EXPECT_TRUE(isAccepted(
      fileTicket(TicketSession_, Filer, serviceTicket("a", 1), Now_)));
  EXPECT_EQ(errorKindOf(approveAs(Filer, 1)), ErrorKind::PermissionDenied);
  Filer.Name_ = "stranger";
  EXPECT_EQ(errorKindOf(
                fileTicket(TicketSession_, Filer, serviceTicket("a", 1), Now_)),
            ErrorKind::PermissionDenied);
  EXPECT_EQ(errorKindOf(withdrawTicket(TicketSession_, Filer, 1, Now_)),
            ErrorKind::PermissionDenied);
  TicketOperator Same = makeOperator("ana");
  Same.RequireSecondOperator_ = true;
  EXPECT_EQ(errorKindOf(approveAs(Same, 1)), ErrorKind::PermissionDenied);
  Same.Name_ = "bo";
  EXPECT_TRUE(isAccepted(approveAs(Same, 1)));
}

TEST_F(TicketDesk, AcceptancesThatDaemonsWouldRefuseAreNotWritten) {
  SigningKeyPair Own = generateSigningKeyPair();
  SigningKeyPair Other = generateSigningKeyPair();
  TicketOperator Approver = makeOperator("bo");
  Approver.Operators_ = {{"bo", Own.PublicKey_, true, true}};
  file(serviceTicket("a", 1));
  EXPECT_EQ(errorKindOf(approveAs(Approver, 1)), ErrorKind::PermissionDenied);
  Approver.Sign_ = [&](std::string_view Digest) {
    return *signHex(Other.SecretKey_, Digest);
  };
  EXPECT_EQ(errorKindOf(approveAs(Approver, 1)), ErrorKind::PermissionDenied);
  EXPECT_EQ(record(1)->State_, TicketState::Filed);
  Approver.Sign_ = [&](std::string_view Digest) {
    return *signHex(Own.SecretKey_, Digest);
  };
  EXPECT_TRUE(isAccepted(approveAs(Approver, 1)));
  const AcceptedTicket Last = head().Recent_.back();
  EXPECT_TRUE(verifyHex(Own.PublicKey_, Last.Digest_, Last.Signature_));
}

TEST_F(TicketDesk, AbsentTicketsAreNotFound) {
  EXPECT_EQ(errorKindOf(approve(3)), ErrorKind::NotFound);
  EXPECT_EQ(errorKindOf(withdraw(3)), ErrorKind::NotFound);
  EXPECT_EQ(showTicket(TicketSession_, 3).error().Kind_, ErrorKind::NotFound);
  EXPECT_EQ(diffTicket(TicketSession_, 3).error().Kind_, ErrorKind::NotFound);
  EXPECT_EQ(ticketStatus(TicketSession_, 3)->Standing_,
            TicketStanding::NotFiled);
}

TEST_F(TicketDesk, StandingFollowsTheTicketState) {
  auto Standing = [&](std::uint64_t Number) {
    return ticketStatus(TicketSession_, Number)->Standing_;
  };
  file(serviceTicket("a", 1));
  EXPECT_EQ(Standing(1), TicketStanding::Filed);
  approve(1);
  EXPECT_EQ(Standing(1), TicketStanding::InForce);
  fileAndApprove(serviceTicket("b", 1));
  EXPECT_EQ(Standing(1), TicketStanding::Superseded);
  file(serviceTicket("c", 1));
  withdraw(3);
  EXPECT_EQ(Standing(3), TicketStanding::Withdrawn);
  EXPECT_EQ(errorKindOf(withdraw(1)), ErrorKind::Conflict);
  EXPECT_EQ(errorKindOf(withdraw(3)), ErrorKind::Conflict);
}

TEST_F(TicketDesk, ListIsNewestFirstAndBounded) {
  for (std::uint32_t I = 0; I < 5; ++I)
    file(serviceTicket("a", I));
  auto Page = listTickets(TicketSession_, 2, 0);
  ASSERT_EQ(Page->size(), 2U);
  EXPECT_EQ(Page->at(0).Ticket_.Number_, 5U);
  auto Next = listTickets(TicketSession_, 10, 4);
  ASSERT_EQ(Next->size(), 3U);
  EXPECT_EQ(Next->at(0).Ticket_.Number_, 3U);
}

TEST_F(TicketDesk, DiffShowsEachChangeOnce) {
  fileAndApprove(serviceTicket("a", 1));
  fileAndApprove(serviceTicket("b", 1));
  Ticket Change = serviceTicket("a", 2);
  Change.Services_["b"] = std::nullopt;
  Change.Services_["c"] = Service{};
  file(Change);
  auto Diff = diffTicket(TicketSession_, 3);
  ASSERT_TRUE(Diff.has_value());
  ASSERT_EQ(Diff->Changes_.size(), 3U);
  EXPECT_EQ(Diff->Changes_[0].Path_, "services.a");
  EXPECT_EQ(Diff->Changes_[0].After_["queue_limit"], 2);
  EXPECT_TRUE(Diff->Changes_[1].After_.is_null());
  EXPECT_TRUE(Diff->Changes_[2].Before_.is_null());
  approve(3);
  EXPECT_TRUE(diffTicket(TicketSession_, 3)->Changes_.empty());
  Ticket Removal;
  Removal.Author_ = "ana";
  Removal.Services_["a"] = std::nullopt;
  file(Removal);
  fileAndApprove(Removal);
  EXPECT_TRUE(diffTicket(TicketSession_, 4)->Problem_.has_value());
}

TEST_F(TicketDesk, DamagedValuesAreReportedAndNotOverwritten) {
  fileAndApprove(serviceTicket("a", 1));
  file(serviceTicket("b", 1));
  std::string ValidHead = Store_.values().at(headKey()).Value_;
  Store_.overwrite(ticketKey(2), Store_.values().at(ticketKey(1)).Value_);
  EXPECT_EQ(errorKindOf(approve(2)), ErrorKind::InvalidData);
  Json DamagedHead = Json::parse(ValidHead);
  DamagedHead["digest"] = "0";
  for (const std::string &Text : {std::string("{"), DamagedHead.dump()}) {
    Store_.overwrite(headKey(), Text);
    EXPECT_EQ(errorKindOf(file(serviceTicket("c", 1))), ErrorKind::InvalidData);
    EXPECT_EQ(readHead(TicketSession_).error().Kind_, ErrorKind::InvalidData);
    EXPECT_EQ(Store_.values().at(headKey()).Value_, Text);
  }
}

// Guards against a replica that goes back to an older ticket, applies part of
// an offer, or accepts a ticket without the signature of an operator.
#include "FleetSim.h"
#include "sycamore/Signing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

ConfigReplica makeReplica(ConfigReplicaConfig Config = {}) {
  FleetOptions Options;
  Options.Replica_ = std::move(Config);
  return makeConfigReplica(withMutation(Options).Replica_);
}

/// Accepted tickets 1 to Count, and the snapshot and head of each.
struct TicketChain {
  SimStore Store_;
  std::vector<AcceptedTicket> Tickets_;
  std::vector<std::string> Snapshots_;
  std::vector<Head> Heads_;

  explicit TicketChain(std::size_t Count,
                       const AcceptanceRequest &Request = {}) {
    for (std::size_t I = 1; I <= Count; ++I) {
      Tickets_.push_back(Store_.accept(makeChange(I, 200), 7, Request));
      Snapshots_.push_back(toJson(Store_.Current_).dump());
      Heads_.push_back(Store_.Head_);
    }
  }
};

SigningKeyPair signWithNewKey(AcceptanceRequest &Request) {
  SigningKeyPair Keys = generateSigningKeyPair();
  Request.Sign_ = [Keys](std::string_view Digest) {
    return signHex(Keys.SecretKey_, Digest).value();
  };
  return Keys;
}

} // namespace

TEST(ConfigReplica, ReportsAGapAndKeepsTicketsForPeers) {
  TicketChain Chain(3);
  ConfigReplica Replica = makeReplica();
  EXPECT_EQ(offerTicket(Replica, Chain.Tickets_[1]).Outcome_,
            OfferOutcome::Gap);
  for (const AcceptedTicket &Accepted : Chain.Tickets_)
    EXPECT_EQ(offerTicket(Replica, Accepted).Outcome_, OfferOutcome::Applied);
  EXPECT_EQ(offerTicket(Replica, Chain.Tickets_[0]).Outcome_,
            OfferOutcome::AlreadyHave);
  auto Retained = ticketsAfter(Replica, 1, Chain.Tickets_[0].Digest_);
  ASSERT_TRUE(Retained.has_value());
  EXPECT_EQ(Retained->size(), 2U);
  EXPECT_FALSE(ticketsAfter(Replica, 1, "0123").has_value());
}

TEST(ConfigReplica, RejectsATicketWithWrongContentAndKeepsItsState) {
  TicketChain Chain(2);
  ConfigReplica Replica = makeReplica();
  offerTicket(Replica, Chain.Tickets_[0]);
  AcceptedTicket Wrong = Chain.Tickets_[1];
  Wrong.Ticket_.Title_ = "another title";
  EXPECT_EQ(offerTicket(Replica, Wrong).Outcome_, OfferOutcome::Rejected);
  ASSERT_TRUE(Replica.Rejection_.has_value());
  EXPECT_EQ(Replica.Rejection_->Number_, 2U);
  EXPECT_EQ(Replica.Current_->Digest_, Chain.Tickets_[0].Digest_);
  EXPECT_EQ(offerTicket(Replica, Chain.Tickets_[1]).Outcome_,
            OfferOutcome::Applied);
  EXPECT_FALSE(Replica.Rejection_.has_value());
}

TEST(ConfigReplica, RequestsTheBaseOfAHead) {
  SimStore Store;
  for (std::uint64_t I = 1; I <= 4; ++I)
    Store.accept(makeChange(I, 60000), 7);
  ASSERT_GT(Store.Head_.BaseNumber_, 0U);
  ConfigReplica Replica = makeReplica();
  OfferResult First = offerHead(Replica, Store.Head_);
  EXPECT_EQ(First.Outcome_, OfferOutcome::Gap);
  EXPECT_EQ(First.RequiredBase_, Store.Head_.BaseNumber_);
  EXPECT_EQ(offerHead(Replica, Store.Head_, Store.base()).Outcome_,
            OfferOutcome::Applied);
  EXPECT_EQ(Replica.Current_->Digest_, Store.Head_.Digest_);
}

// Without the check any peer could put a ticket of its own in force.
TEST(ConfigReplica, RefusesOffersThatNoOperatorSigned) {
  AcceptanceRequest Request;
  SigningKeyPair Keys = signWithNewKey(Request);
  TicketChain Signed(1, Request);
  AcceptanceRequest OtherSigner;
  signWithNewKey(OtherSigner);
  TicketChain Forged(2, OtherSigner);
  ConfigReplicaConfig Config;
  Config.Operators_["bo"] = Keys.PublicKey_;
  ConfigReplica Replica = makeReplica(Config);
  EXPECT_EQ(offerTicket(Replica, Forged.Tickets_[0]).Outcome_,
            OfferOutcome::Rejected);
  EXPECT_EQ(offerHead(Replica, Forged.Heads_[1]).Outcome_,
            OfferOutcome::Rejected);
  EXPECT_EQ(offerSnapshot(Replica, Forged.Snapshots_[1], "peer").Outcome_,
            OfferOutcome::Rejected);
  EXPECT_EQ(Replica.Current_->Number_, 0U);
  EXPECT_EQ(offerTicket(Replica, Signed.Tickets_[0]).Outcome_,
            OfferOutcome::Applied);
}

// Whatever the order of offers, including repeated, damaged and old ones, the
// number never decreases and the state is that of the ticket in force.
RC_GTEST_PROP(ConfigReplica, IsMonotoneUnderAnyOffers, ()) {
  static const TicketChain Chain(6);
  ConfigReplica Replica = makeReplica();
  auto Steps = *rc::gen::container<std::vector<unsigned>>(
      rc::gen::inRange<unsigned>(0, 24));
  for (unsigned Step : Steps) {
    std::uint64_t Before = Replica.Current_->Number_;
    std::size_t I = Step % 6;
    if (Step < 6) {
      offerTicket(Replica, Chain.Tickets_[I]);
    } else if (Step < 12) {
      offerHead(Replica, Chain.Heads_[I]);
    } else if (Step < 18) {
      offerSnapshot(Replica, Chain.Snapshots_[I], "peer");
    } else {
      std::string Damaged = Chain.Snapshots_[I];
      Damaged[Damaged.size() / 2] ^= 1;
      RC_ASSERT(offerSnapshot(Replica, Damaged, "peer").Outcome_ ==
                OfferOutcome::Rejected);
    }
    const Snapshot &Current = *Replica.Current_;
    RC_ASSERT(Current.Number_ >= Before);
    if (Current.Number_ > 0)
      RC_ASSERT(stateDigest(Current.State_) ==
                Chain.Tickets_[Current.Number_ - 1].StateDigest_);
  }
}

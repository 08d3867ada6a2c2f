// Guards against a restarted daemon that serves below a ticket it ran before,
// and against restarts that overload the store.
#include "FleetSim.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

Now at(Duration Since) {
  return {TimePoint(Since), WallTime(std::chrono::hours(490000) + Since)};
}

/// One daemon whose replica runs the ticket with this number.
struct Node {
  SimStore Store_;
  Random Rng_{1};
  Outbox Out_;
  Membership Members_;
  ConfigReplica Replica_;
  Bootstrap Bootstrap_;

  explicit Node(const std::string &Name, std::uint64_t Number = 0) {
    MembershipConfig Config;
    Config.Name_ = Name;
    Config.DataCentre_ = "dalseo";
    Config.PeerAddress_ = Name + ":7400";
    Members_ = makeMembership(Config, at(seconds(1)));
    Bootstrap_ = makeBootstrap(withMutation(FleetOptions{}).BootstrapConfig_,
                               at(seconds(1)), Rng_);
    for (std::uint64_t I = 1; I <= Number; ++I)
      offerTicket(Replica_, Store_.accept(makeChange(I), 7));
  }

  void learnServer(const Node &Other) {
    std::vector<wire::ServerRecord> Records = {
        *findServer(Other.Members_, Other.Members_.Config_.Name_)};
    addSeeds(Members_, Records, at(seconds(1)));
  }

  BootstrapStep tick(Duration Since) {
    return tickBootstrap(Bootstrap_, Members_, Replica_, at(Since), Rng_, Out_);
  }

  void finishRead(Duration Started, Duration Since,
                  std::optional<std::uint64_t> Number) {
    onStoreRead(Bootstrap_, Members_, Replica_,
                {TimePoint(Started), Number, ""}, at(Since), Rng_, Out_);
  }

  /// Receives the answer of a peer that has its floor and runs this ticket.
  void receiveFloor(std::uint64_t Number, Duration Since) {
    wire::PeerMessage Message;
    Message.set_sender("p");
    wire::FloorAnswer &Answer = *Message.mutable_floor_answer();
    Answer.set_number(Number);
    Answer.set_has_floor(true);
    Answer.set_question(Bootstrap_.QueryNonce_);
    receiveFloorAnswer(Bootstrap_, Members_, Replica_, Message, at(Since));
  }

  /// Delivers the queued messages of another daemon that are for this one, and
  /// drops its others.
  void receiveFrom(Node &Other, Duration Since) {
    stampSender(Other.Members_, Other.Out_);
    for (const OutgoingMessage &Item : Other.Out_) {
      if (Item.To_ != Members_.Config_.Name_)
        continue;
      receiveFloorAnswer(Bootstrap_, Members_, Replica_, Item.Message_,
                         at(Since));
      answerFloorQuery(Bootstrap_, Members_, Replica_, Item.Message_, at(Since),
                       Out_);
    }
    Other.Out_.clear();
  }
};

/// A reader with a floor at Number.
Node makeReader(const std::string &Name, std::uint64_t Number) {
  Node Out(Name, Number);
  Out.finishRead(seconds(1), seconds(1), Number);
  return Out;
}

} // namespace

TEST(Bootstrap, ServesAfterItsOwnReadOnceTheTicketIsApplied) {
  Node StartingNode("a");
  EXPECT_FALSE(hasFloor(StartingNode.Bootstrap_));
  EXPECT_TRUE(StartingNode.tick(seconds(7)).ReadStore_);
  EXPECT_FALSE(StartingNode.tick(seconds(8)).ReadStore_);
  StartingNode.finishRead(seconds(7), seconds(8), 1);
  EXPECT_FALSE(hasFloor(StartingNode.Bootstrap_));
  SimStore Store;
  offerTicket(StartingNode.Replica_, Store.accept(makeChange(1), 7));
  StartingNode.tick(seconds(9));
  EXPECT_TRUE(hasFloor(StartingNode.Bootstrap_));
}

// A restored store may lack the ticket that the peers, and an earlier process
// of this daemon, have run.
TEST(Bootstrap, ANewerTicketOfAPeerGoesBeforeThatOfTheStore) {
  Node StartingNode("a", 1);
  StartingNode.learnServer(Node("p"));
  EXPECT_TRUE(StartingNode.tick(seconds(7)).ReadStore_);
  StartingNode.finishRead(seconds(7), seconds(7), 1);
  EXPECT_FALSE(hasFloor(StartingNode.Bootstrap_));
  StartingNode.receiveFloor(2, seconds(7));
  StartingNode.tick(seconds(7));
  EXPECT_EQ(StartingNode.Bootstrap_.Floor_, 2U);
  EXPECT_FALSE(hasFloor(StartingNode.Bootstrap_));
}

TEST(Bootstrap, ASilentPeerDelaysTheStoresTicketByTheWaitOnly) {
  Node StartingNode("a", 1);
  StartingNode.learnServer(Node("p"));
  EXPECT_TRUE(StartingNode.tick(seconds(7)).ReadStore_);
  StartingNode.finishRead(seconds(7), seconds(7), 1);
  StartingNode.tick(milliseconds(7400));
  EXPECT_FALSE(hasFloor(StartingNode.Bootstrap_));
  StartingNode.tick(milliseconds(7500));
  EXPECT_TRUE(hasFloor(StartingNode.Bootstrap_));
}

// The peer may have ended before it sent the ticket, and the store lost it.
TEST(Bootstrap, ATicketThatNobodyHasIsGivenUpAtTheNextRead) {
  Node StartingNode("a", 1);
  StartingNode.learnServer(Node("p"));
  EXPECT_TRUE(StartingNode.tick(seconds(7)).ReadStore_);
  StartingNode.receiveFloor(2, seconds(7));
  StartingNode.finishRead(seconds(7), seconds(7), 1);
  EXPECT_EQ(StartingNode.Bootstrap_.Floor_, 2U);
  EXPECT_TRUE(StartingNode.tick(seconds(20)).ReadStore_);
  StartingNode.finishRead(seconds(20), seconds(20), 1);
  EXPECT_TRUE(hasFloor(StartingNode.Bootstrap_));
}

// A store read that began before the query arrived may miss a ticket that the
// querying daemon ran just before it restarted.
TEST(Bootstrap, VerifiesOnlyByAReadThatBeganAfterTheQuestion) {
  Node Reader = makeReader("r", 1);
  Node StartingNode("a", 1);
  StartingNode.learnServer(Reader);
  StartingNode.tick(seconds(1));
  Reader.receiveFrom(StartingNode, seconds(2));
  EXPECT_TRUE(Reader.Out_.empty());
  EXPECT_TRUE(Reader.tick(seconds(2)).ReadStore_);
  Reader.finishRead(milliseconds(1900), seconds(3), 1);
  EXPECT_TRUE(Reader.Out_.empty());
  EXPECT_TRUE(Reader.tick(seconds(3)).ReadStore_);
  Reader.finishRead(seconds(3), seconds(3), 1);
  StartingNode.receiveFrom(Reader, seconds(3));
  EXPECT_EQ(StartingNode.Bootstrap_.Basis_, FloorBasis::VerifiedAnswer);
  EXPECT_TRUE(hasFloor(StartingNode.Bootstrap_));
}

// An answer to a query from before a restart proves nothing about tickets that
// the daemon ran after that query.
TEST(Bootstrap, IgnoresAnswersToQueriesFromBeforeARestart) {
  Node Reader = makeReader("r", 1);
  Node First("a", 1);
  First.learnServer(Reader);
  First.tick(seconds(1));
  Reader.receiveFrom(First, seconds(2));
  Node Second("a", 1);
  Second.Bootstrap_.QueryNonce_ = First.Bootstrap_.QueryNonce_ + 1;
  Reader.tick(seconds(3));
  Reader.finishRead(seconds(3), seconds(3), 1);
  Second.receiveFrom(Reader, seconds(3));
  EXPECT_EQ(Second.Bootstrap_.Basis_, FloorBasis::None);
}

TEST(Bootstrap, CombinesWaitingQuestionsIntoFiveReadsASecond) {
  Node Reader = makeReader("r", 1);
  int Reads = 0;
  for (int Since = 10000; Since < 11000; Since += 10) {
    wire::PeerMessage Query;
    Query.set_sender("s" + std::to_string(Since));
    Query.mutable_floor_query();
    answerFloorQuery(Reader.Bootstrap_, Reader.Members_, Reader.Replica_, Query,
                     at(milliseconds(Since)), Reader.Out_);
    if (Reader.tick(milliseconds(Since)).ReadStore_) {
      ++Reads;
      Reader.finishRead(milliseconds(Since), milliseconds(Since), 1);
    }
  }
  EXPECT_LE(Reads, 5);
  EXPECT_GE(Reader.Out_.size(), 80U);
}

// With the store down, a server that has not answered may run a newer ticket
// than all those that have.
TEST(Bootstrap, WaitsForAllServersOfItsDataCentreWhenTheStoreIsDown) {
  Node Old = makeReader("old", 1);
  Node Newer = makeReader("newer", 2);
  Node StartingNode("a", 1);
  StartingNode.learnServer(Old);
  StartingNode.learnServer(Newer);
  StartingNode.tick(seconds(7));
  StartingNode.finishRead(seconds(7), seconds(7), std::nullopt);
  auto Exchange = [&](Node &Peer, Duration Since) {
    Outbox Copy = StartingNode.Out_;
    Peer.receiveFrom(StartingNode, Since);
    Peer.tick(Since);
    Peer.finishRead(Since, Since, std::nullopt);
    StartingNode.receiveFrom(Peer, Since);
    StartingNode.Out_ = Copy;
  };
  StartingNode.tick(milliseconds(8100));
  Exchange(Old, milliseconds(8200));
  StartingNode.tick(seconds(14));
  EXPECT_EQ(StartingNode.Bootstrap_.Basis_, FloorBasis::None);
  Exchange(Newer, seconds(14));
  StartingNode.tick(milliseconds(15500));
  EXPECT_EQ(StartingNode.Bootstrap_.Basis_, FloorBasis::None);
  StartingNode.tick(milliseconds(16100));
  EXPECT_EQ(StartingNode.Bootstrap_.Basis_, FloorBasis::Peers);
  EXPECT_EQ(StartingNode.Bootstrap_.Floor_, 2U);
  EXPECT_FALSE(hasFloor(StartingNode.Bootstrap_));
}

TEST(Bootstrap, RefusesToServeWhenNoPeerHasAFloor) {
  Node Peer("p", 1);
  Node StartingNode("a", 1);
  StartingNode.learnServer(Peer);
  StartingNode.finishRead(seconds(1), seconds(1), std::nullopt);
  for (int Since = 2; Since < 120; ++Since) {
    StartingNode.tick(seconds(Since));
    Peer.receiveFrom(StartingNode, seconds(Since));
    StartingNode.receiveFrom(Peer, seconds(Since));
  }
  EXPECT_FALSE(hasFloor(StartingNode.Bootstrap_));
}

// Writing unchanged seeds would load the store for nothing.
TEST(Bootstrap, WritesSeedsRarelyAndOnlyWhenTheyChanged) {
  Node Reader = makeReader("r", 1);
  auto Writes = [&](int From, int To) {
    int Count = 0;
    for (int Since = From; Since < To; ++Since)
      Count += tickReader(Reader.Bootstrap_, Reader.Members_,
                          at(seconds(Since)), Reader.Rng_)
                       .WriteSeeds_
                   ? 1
                   : 0;
    return Count;
  };
  EXPECT_EQ(Writes(2, 300), 1);
  Reader.learnServer(Node("s"));
  EXPECT_EQ(Writes(300, 600), 1);
}

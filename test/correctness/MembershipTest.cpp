// Guards against records changed by others than their owner, unbounded gossip
// and messages that crash the receiver.
#include "FleetSim.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

Now at(Duration Since) {
  return {TimePoint(Since), WallTime(std::chrono::hours(490000) + Since)};
}

Membership makeMember(const std::string &Name, Duration Since = seconds(1)) {
  MembershipConfig Config = withMutation(FleetOptions{}).Membership_;
  Config.Name_ = Name;
  Config.DataCentre_ = "dalseo";
  return makeMembership(Config, at(Since));
}

wire::PeerMessage gossip(const std::string &Sender) {
  wire::PeerMessage Message;
  Message.set_sender(Sender);
  Message.mutable_gossip();
  return Message;
}

wire::ServerRecord record(const Membership &Members, const std::string &Name) {
  const wire::ServerRecord *Found = findServer(Members, Name);
  return Found ? *Found : wire::ServerRecord{};
}

struct Node {
  Membership Members_;
  Random Rng_{1};
  Outbox Out_{};

  MembershipEvents receive(const wire::PeerMessage &Message, Duration Since) {
    return receiveMembership(Members_, Message, at(Since), Rng_, Out_);
  }

  void learn(const wire::ServerRecord &Record, Duration Since) {
    wire::PeerMessage Message = gossip("peer");
    *Message.mutable_gossip()->add_servers() = Record;
    receive(Message, Since);
  }

  void learn(const wire::TargetRecord &Record, Duration Since) {
    wire::PeerMessage Message = gossip("peer");
    *Message.mutable_gossip()->add_targets() = Record;
    receive(Message, Since);
  }
};

} // namespace

TEST(Membership, LinksAboutTwoLogNeighbours) {
  Membership Members = makeMember("server-0");
  std::vector<wire::ServerRecord> Others(114);
  for (std::size_t I = 0; I < Others.size(); ++I) {
    Others[I].set_name("server-" + std::to_string(I + 1));
    Others[I].set_data_centre("dalseo");
  }
  addSeeds(Members, Others, at(seconds(1)));
  EXPECT_EQ(neighbours(Members).size(), 14U);
  EXPECT_EQ(readersOf(Members, "dalseo").size(), 2U);
}

// Without refutation, other daemons would keep the earlier records of a daemon
// that left or restarted.
// A reader receives each ticket whole from the store and passes it on first.
TEST(Membership, TheServersWithTheFastestLinksAreReaders) {
  Membership Members = makeMember("server-0");
  std::vector<wire::ServerRecord> Others;
  for (int I = 1; I < 24; ++I) {
    wire::ServerRecord Record;
    Record.set_name("server-" + std::to_string(I));
    Record.set_data_centre("dalseo");
    Record.set_link_mbps(I == 5 || I == 17 ? 140 : 7);
    Others.push_back(Record);
  }
  addSeeds(Members, Others, at(seconds(1)));
  Node Node{std::move(Members)};
  tickMembership(Node.Members_, at(seconds(2)), Node.Rng_, Node.Out_);
  std::vector<std::string> Readers = readersOf(Node.Members_, "dalseo");
  std::sort(Readers.begin(), Readers.end());
  EXPECT_EQ(Readers, (std::vector<std::string>{"server-17", "server-5"}));
}

TEST(Membership, RefutesASuspicionWithAHigherIncarnation) {
  Node Node{makeMember("a")};
  wire::ServerRecord Suspect = record(Node.Members_, "a");
  std::uint64_t Before = Suspect.incarnation();
  Suspect.set_state(wire::SERVER_SUSPECT);
  Node.learn(Suspect, seconds(1));
  EXPECT_GT(record(Node.Members_, "a").incarnation(), Before);
  EXPECT_EQ(record(Node.Members_, "a").state(), wire::SERVER_ALIVE);
}

// The clock of a replacement host may be behind that of the host it replaces.
TEST(Membership, RaisesItsIncarnationAboveItsOwnOldRecord) {
  Node Node{makeMember("a")};
  announceTarget(Node.Members_, "t", "shelfview", 6, at(seconds(1)));
  wire::ServerRecord Old = record(Node.Members_, "a");
  Old.set_incarnation(Old.incarnation() + 1000000000);
  Node.learn(Old, seconds(1));
  EXPECT_GT(record(Node.Members_, "a").incarnation(), Old.incarnation());
  EXPECT_GT(record(Node.Members_, "a").started(), Old.incarnation());
  EXPECT_EQ((Node.Members_.Targets_.at({"t", "a"}).Record_.incarnation()),
            record(Node.Members_, "a").incarnation());
}

// A target that restarts with other software under its old name must not be
// counted with its former version.
TEST(Membership, SpreadsTheVersionOfATargetsSoftware) {
  Node Owner{makeMember("a")};
  announceTarget(Owner.Members_, "t", "shelfview", 6, at(seconds(1)), "v1");
  std::uint64_t First =
      Owner.Members_.Targets_.at({"t", "a"}).Record_.version();
  announceTarget(Owner.Members_, "t", "shelfview", 6, at(seconds(2)), "v1");
  EXPECT_EQ((Owner.Members_.Targets_.at({"t", "a"}).Record_.version()), First);
  announceTarget(Owner.Members_, "t", "shelfview", 6, at(seconds(3)), "v2");
  Snapshot Current;
  Current.State_.Services_["shelfview"].AdmitAnnounced_ = true;
  auto Eligible = eligibleTargets(Owner.Members_, Current, "shelfview");
  ASSERT_EQ(Eligible.size(), 1U);
  EXPECT_EQ(Eligible.front().Version_, "v2");
}

// An outdated copy or another daemon must neither restore nor remove a target.
TEST(Membership, OnlyTheOwnerChangesATarget) {
  Node Owner{makeMember("a")};
  announceTarget(Owner.Members_, "t", "shelfview", 6, at(seconds(1)));
  wire::TargetRecord Claim = Owner.Members_.Targets_.at({"t", "a"}).Record_;
  Claim.set_gone(true);
  Claim.set_version(Claim.version() + 5);
  Owner.learn(Claim, seconds(1));
  EXPECT_FALSE((Owner.Members_.Targets_.at({"t", "a"}).Record_.gone()));

  Node Other{makeMember("b")};
  Other.learn(record(Owner.Members_, "a"), seconds(1));
  wire::TargetRecord Old = Owner.Members_.Targets_.at({"t", "a"}).Record_;
  Old.set_incarnation(record(Owner.Members_, "a").started() - 1);
  Other.learn(Old, seconds(1));
  EXPECT_TRUE(Other.Members_.Targets_.empty());
}

// A daemon that resumes after a freeze still holds the alive record of a server
// that has since left.
TEST(Membership, KeepsTheGoneFromComingBack) {
  Node Leaver{makeMember("a")};
  Node Other{makeMember("b")};
  wire::ServerRecord Alive = record(Leaver.Members_, "a");
  Other.learn(Alive, seconds(1));
  finishLeaving(Leaver.Members_, at(seconds(1)), Leaver.Out_);
  Other.learn(record(Leaver.Members_, "a"), seconds(1));
  for (int Since = 2; Since < 300; ++Since)
    tickMembership(Other.Members_, at(seconds(Since)), Other.Rng_, Other.Out_);
  Other.learn(Alive, seconds(300));
  EXPECT_EQ(aliveServers(Other.Members_), std::vector<std::string>{"b"});
}

TEST(Membership, NotifiesAllNeighboursOfADepartureAtOnce) {
  Node Leaver{makeMember("a")};
  for (const char *Name : {"b", "c", "d"})
    Leaver.learn(record(makeMember(Name), Name), seconds(1));
  tickMembership(Leaver.Members_, at(seconds(1)), Leaver.Rng_, Leaver.Out_);
  announceTarget(Leaver.Members_, "t", "shelfview", 6, at(seconds(1)));
  Leaver.Out_.clear();
  startLeaving(Leaver.Members_, at(seconds(2)), Leaver.Out_);
  ASSERT_EQ(Leaver.Out_.size(), neighbours(Leaver.Members_).size());
  for (const OutgoingMessage &Item : Leaver.Out_) {
    EXPECT_EQ(Item.Message_.gossip().servers(0).state(), wire::SERVER_LEAVING);
    EXPECT_TRUE(Item.Message_.gossip().targets(0).leaving());
  }
}

// Counts every send of one record in a fleet without loss, before comparisons
// of tables, whose repairs send it as well.
TEST(Membership, LimitsSendsOfAnItem) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    FleetOptions Options;
    Options.Seed_ = Seed;
    Options.PerDataCentre_ = 16;
    FleetSim Sim(Options);
    Sim.acceptTicket();
    ASSERT_TRUE(Sim.startAndConverge());
    Sim.run(seconds(20));
    for (SimDaemon &Daemon : Sim.Daemons_)
      Daemon.Members_.NextSync_ = Sim.time() + seconds(60);
    std::map<std::string, int> Sends;
    Sim.OnDelivery_ = [&](std::size_t, const wire::PeerMessage &Message) {
      for (const wire::TargetRecord &Record : Message.gossip().targets())
        Sends[Message.sender()] += Record.name() == "t1" ? 1 : 0;
    };
    announceTarget(Sim.Daemons_[0].Members_, "t1", "shelfview", 6,
                   Sim.now(Sim.Daemons_[0]));
    Sim.run(seconds(20));
    // log2(48) + 2, rounded up.
    for (const auto &[Sender, Count] : Sends)
      EXPECT_LE(Count, 8) << Sender << ", seed " << Seed;
    for (SimDaemon &Daemon : Sim.Daemons_)
      Daemon.Members_.NextSync_ = Sim.time();
    Sim.run(seconds(20));
    for (const SimDaemon &Daemon : Sim.Daemons_)
      EXPECT_TRUE(Daemon.Members_.Targets_.contains({"t1", "server-0"}));
  }
}

// Its own record of the departure is lost with the process; only peers that
// tell it can prevent that a delayed announcement is used.
TEST(Membership, ARestartedServerLearnsItsDeparturesFromAnyPeer) {
  Node Owner{makeMember("a")};
  Node Peer{makeMember("b")};
  Owner.learn(record(Peer.Members_, "b"), seconds(1));
  Peer.learn(record(Owner.Members_, "a"), seconds(1));
  tickMembership(Owner.Members_, at(seconds(1)), Owner.Rng_, Owner.Out_);
  Owner.Out_.clear();
  ASSERT_TRUE(
      recordDeparture(Owner.Members_, "t", 5000, at(seconds(2)), Owner.Out_));
  EXPECT_FALSE(
      recordDeparture(Owner.Members_, "t", 4000, at(seconds(2)), Owner.Out_));
  ASSERT_EQ(Owner.Out_.size(), 1U);
  Owner.Out_[0].Message_.set_sender("a");
  Peer.receive(Owner.Out_[0].Message_, seconds(2));

  Node Restarted{makeMember("a", seconds(3))};
  EXPECT_EQ(departedProcess(Restarted.Members_, "t"), std::nullopt);
  wire::PeerMessage Request;
  Request.set_sender("a");
  Request.mutable_sync_digest()->set_want_all(true);
  Peer.Out_.clear();
  Peer.receive(Request, seconds(3));
  for (const OutgoingMessage &Answer : Peer.Out_)
    Restarted.receive(Answer.Message_, seconds(3));
  EXPECT_EQ(departedProcess(Restarted.Members_, "t"), 5000);
}

// Peers could fill the memory otherwise.
TEST(Membership, DeparturesAreLimitedInNumberAndTime) {
  Node Node{makeMember("a")};
  Node.learn(record(makeMember("b"), "b"), seconds(1));
  wire::PeerMessage Message = gossip("b");
  for (const char *Server : {"b", "unknown"})
    for (int I = 0; I < 1000; ++I) {
      wire::DepartedTarget &Departure =
          *Message.mutable_gossip()->add_departed();
      Departure.set_server(Server);
      Departure.set_name("t-" + std::to_string(I));
      Departure.set_started_unix_ms(I);
    }
  Node.receive(Message, seconds(1));
  EXPECT_EQ(Node.Members_.Departures_.size(),
            Node.Members_.Config_.MaxDepartedTargets_);
  EXPECT_TRUE(Node.Members_.Departures_.contains({"b", "t-999"}));
  for (int Minute = 1; Minute <= 65; ++Minute)
    tickMembership(Node.Members_, at(std::chrono::minutes(Minute)), Node.Rng_,
                   Node.Out_);
  EXPECT_TRUE(Node.Members_.Departures_.empty());
}

RC_GTEST_PROP(Membership, SurvivesArbitraryBytes, (const std::string &Bytes)) {
  Node Node{makeMember("a")};
  Node.learn(record(makeMember("b"), "b"), seconds(1));
  wire::PeerMessage Message;
  Message.set_sender("b");
  (void)Message.mutable_sync_digest()->ParseFromString(Bytes);
  Node.receive(Message, seconds(1));
  (void)Message.mutable_gossip()->ParseFromString(Bytes);
  Node.receive(Message, seconds(1));
  RC_ASSERT(findServer(Node.Members_, "a") != nullptr);
}

// Records, which may repeat, lead to the same tables in any order.
RC_GTEST_PROP(Membership, MergesRecordsInAnyOrder, ()) {
  auto RandomRecord = [] {
    wire::ServerRecord Out;
    Out.set_name("b");
    Out.set_data_centre("dalseo");
    Out.set_incarnation(*rc::gen::inRange(1, 3));
    Out.set_version(*rc::gen::inRange(1, 4));
    Out.set_peer_address(std::to_string(Out.version()));
    Out.set_state(static_cast<wire::ServerState>(*rc::gen::inRange(0, 5)));
    return Out;
  };
  std::vector<wire::ServerRecord> Records;
  for (int I = 0; I < 6; ++I)
    Records.push_back(RandomRecord());
  wire::ServerRecord First = Records[0];
  First.set_incarnation(1);
  First.set_version(0);
  First.set_state(wire::SERVER_ALIVE);
  Node Left{makeMember("a")};
  Node Right{makeMember("a")};
  Left.learn(First, seconds(1));
  Right.learn(First, seconds(1));
  for (std::size_t I = 0; I < Records.size(); ++I) {
    Left.learn(Records[I], seconds(1));
    Right.learn(Records[Records.size() - 1 - I], seconds(1));
  }
  wire::ServerRecord One = record(Left.Members_, "b");
  wire::ServerRecord Two = record(Right.Members_, "b");
  RC_ASSERT(One.SerializeAsString() == Two.SerializeAsString());
}

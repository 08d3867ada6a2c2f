// Guards against pulls that overload the first holders of a ticket, pulls that
// wait for a silent source, and damage by bodies that cannot be decompressed.
#include "Compression.h"
#include "FleetSim.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

Now at(Duration Since) { return {TimePoint(Since), WallTime(Since)}; }

wire::PeerMessage messageFrom(const std::string &Sender) {
  wire::PeerMessage Message;
  Message.set_sender(Sender);
  return Message;
}

struct Node {
  ConfigReplica Replica_;
  Dissemination State_ = makeDissemination(
      withMutation(FleetOptions{}).DisseminationConfig_, at(seconds(1)));
  Random Rng_{1};
  Outbox Out_{};

  void receive(const wire::PeerMessage &Message, Now Time) {
    receiveDissemination(State_, Replica_, {}, Message, Time, Rng_, Out_);
  }

  void offer(const std::string &Sender, std::uint64_t Number, Now Time) {
    wire::PeerMessage Message = messageFrom(Sender);
    Message.mutable_ticket_offer()->set_number(Number);
    receive(Message, Time);
  }

  std::size_t sentBodies() const {
    return std::count_if(Out_.begin(), Out_.end(),
                         [](const OutgoingMessage &Item) {
                           return Item.Message_.has_ticket_bodies() &&
                                  !Item.Message_.ticket_bodies().busy();
                         });
  }

  std::vector<std::string> pulledSources() const {
    std::vector<std::string> Names;
    for (const OutgoingMessage &Item : Out_)
      if (Item.Message_.has_ticket_pull())
        Names.push_back(Item.To_);
    return Names;
  }
};

} // namespace

// A holder serves 2 pulls in the first second and one more each second after.
TEST(Dissemination, LimitsServedPulls) {
  SimStore Store;
  Node Holder;
  offerTicket(Holder.Replica_, Store.accept(makeChange(1), 7));
  announceTicket(Holder.State_, Holder.Replica_, {}, at(seconds(10)),
                 Holder.Out_);
  auto SendPulls = [&](Duration Since) {
    wire::PeerMessage Pull = messageFrom("requester");
    Pull.mutable_ticket_pull();
    for (int I = 0; I < 5; ++I)
      Holder.receive(Pull, at(Since));
  };
  SendPulls(milliseconds(10900));
  EXPECT_EQ(Holder.sentBodies(), 2U);
  SendPulls(milliseconds(11100));
  EXPECT_EQ(Holder.sentBodies(), 3U);
  SendPulls(milliseconds(12100));
  EXPECT_EQ(Holder.sentBodies(), 4U);
}

TEST(Dissemination, AServerWithAFastLinkServesMorePullsAtOnce) {
  SimStore Store;
  AcceptedTicket Large = Store.accept(makeChange(1, 100'000), 7);
  auto ServedWith = [&](double LinkMbps) {
    Node Holder;
    Holder.State_.Config_.LinkBytesPerSecond_ = LinkMbps * 125'000;
    offerTicket(Holder.Replica_, Large);
    announceTicket(Holder.State_, Holder.Replica_, {}, at(seconds(10)),
                   Holder.Out_);
    wire::PeerMessage Pull = messageFrom("requester");
    Pull.mutable_ticket_pull();
    for (int I = 0; I < 30; ++I)
      Holder.receive(Pull, at(seconds(10)));
    return Holder.sentBodies();
  };
  EXPECT_EQ(ServedWith(0), 2U);
  EXPECT_EQ(ServedWith(0.1), 2U);
  EXPECT_EQ(ServedWith(140), 16U);
}

TEST(Dissemination, PullsFromAnotherSourceAfterATimeout) {
  Node Node;
  Node.offer("first", 5, at(seconds(1)));
  Node.offer("second", 5, at(seconds(1)));
  EXPECT_EQ(Node.pulledSources(), std::vector<std::string>{"first"});
  tickDissemination(Node.State_, Node.Replica_, {}, {}, at(milliseconds(1450)),
                    Node.Rng_, Node.Out_);
  EXPECT_EQ(Node.pulledSources(),
            (std::vector<std::string>{"first", "second"}));
}

TEST(Dissemination, RecordsHowANewTicketArrived) {
  SimStore Store;
  AcceptedTicket First = Store.accept(makeChange(1), 7);
  Node Node;
  Node.offer("silent", 1, at(seconds(1)));
  tickDissemination(Node.State_, Node.Replica_, {}, {}, at(milliseconds(1450)),
                    Node.Rng_, Node.Out_);
  offerTicket(Node.Replica_, First);
  announceTicket(Node.State_, Node.Replica_, {}, at(seconds(2)), Node.Out_);
  const TicketArrival &Arrival = Node.State_.LastArrival_;
  EXPECT_EQ(Arrival.OfferedAt_, TimePoint(seconds(1)));
  EXPECT_EQ(Arrival.Pulls_, 1U);
  EXPECT_EQ(Arrival.PullTimeouts_, 1U);
  EXPECT_FALSE(Node.State_.NextArrival_.OfferedAt_.has_value());
}

TEST(Dissemination, SendsASnapshotWhenTheGapIsTooWide) {
  SimStore Store;
  FleetOptions Options;
  Options.Replica_.MaxRecentBytes_ = 1;
  Node Holder;
  Holder.Replica_ = makeConfigReplica(Options.Replica_);
  for (std::uint64_t I = 1; I <= 5; ++I)
    offerTicket(Holder.Replica_, Store.accept(makeChange(I, 500), 7));
  wire::PeerMessage Pull = messageFrom("late");
  Pull.mutable_ticket_pull();
  Holder.receive(Pull, at(seconds(10)));
  Node Lagging;
  wire::PeerMessage Answer = Holder.Out_.back().Message_;
  Answer.set_sender("holder");
  Lagging.receive(Answer, at(seconds(10)));
  EXPECT_EQ(Lagging.Replica_.Current_->Digest_, Store.Head_.Digest_);
  EXPECT_EQ(Holder.State_.Counters_.SnapshotsSent_, 1U);
}

// Packing a large ticket takes a slow server longer than sending it.
TEST(Dissemination, PacksATicketOnceInTheWholeFleet) {
  SimStore Store;
  Node Reader;
  offerTicket(Reader.Replica_, Store.accept(makeChange(1, 500), 7));
  announceTicket(Reader.State_, Reader.Replica_, {}, at(seconds(1)),
                 Reader.Out_);
  wire::PeerMessage Pull = messageFrom("next");
  Pull.mutable_ticket_pull();
  Reader.receive(Pull, at(seconds(1)));
  Reader.receive(Pull, at(seconds(1)));
  EXPECT_EQ(Reader.sentBodies(), 2U);
  EXPECT_EQ(Reader.State_.Counters_.BodiesPacked_, 1U);

  Node Next;
  wire::PeerMessage Answer = Reader.Out_.back().Message_;
  Answer.set_sender("reader");
  Next.receive(Answer, at(seconds(1)));
  Pull.set_sender("last");
  Next.receive(Pull, at(seconds(1)));
  EXPECT_EQ(Next.sentBodies(), 1U);
  EXPECT_EQ(Next.State_.Counters_.BodiesPacked_, 0U);
  Node Last;
  Answer = Next.Out_.back().Message_;
  Answer.set_sender("next");
  Last.receive(Answer, at(seconds(1)));
  EXPECT_EQ(Last.Replica_.Current_->Digest_, Store.Head_.Digest_);
}

// A server that missed more needs other bodies than most.
TEST(Dissemination, PacksAgainForAServerThatIsFurtherBehind) {
  SimStore Store;
  Node Holder;
  AcceptedTicket First = Store.accept(makeChange(1), 7);
  offerTicket(Holder.Replica_, First);
  offerTicket(Holder.Replica_, Store.accept(makeChange(2), 7));
  for (bool HasFirst : {true, false}) {
    wire::PeerMessage Pull = messageFrom("behind");
    Node Behind;
    if (HasFirst) {
      offerTicket(Behind.Replica_, First);
      Pull.mutable_ticket_pull()->set_have_number(1);
      Pull.mutable_ticket_pull()->set_have_digest(First.Digest_.substr(0, 16));
    } else {
      Pull.mutable_ticket_pull();
    }
    Holder.receive(Pull, at(seconds(1)));
    wire::PeerMessage Answer = Holder.Out_.back().Message_;
    Answer.set_sender("holder");
    Behind.receive(Answer, at(seconds(1)));
    EXPECT_EQ(Behind.Replica_.Current_->Digest_, Store.Head_.Digest_);
  }
}

RC_GTEST_PROP(Dissemination, IgnoresBodiesThatCannotBeDecompressed,
              (const std::string &Bytes)) {
  Node Node;
  wire::PeerMessage Message = messageFrom("peer");
  Message.mutable_ticket_bodies()->set_packed(Bytes);
  Node.receive(Message, at(seconds(1)));
  RC_ASSERT(Node.Replica_.Current_->Number_ == 0U);
}

RC_GTEST_PROP(Compression, RoundTripsAnyBytes, (const std::string &Bytes)) {
  RC_ASSERT(decompress(compress(Bytes), 1U << 20U).value() == Bytes);
}

// A small compressed message could otherwise exhaust the memory of its
// receiver.
TEST(Compression, StopsAtTheLimit) {
  auto Result = decompress(compress(std::string(1U << 20U, 'x')), 1000);
  ASSERT_FALSE(Result.has_value());
  EXPECT_EQ(Result.error().Kind_, ErrorKind::TooLarge);
}

// Guards against daemons that take a configuration for confirmed by the store
// later than it was, and so accept a withdrawn credential for too long.
#include "sycamore/ConfigFreshness.h"

#include "FleetSim.h"
#include "sycamore/Clock.h"
#include "sycamore/Random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

using namespace sycamore;
using namespace sycamore::test;

namespace {

constexpr Duration MaxAge = seconds(5);

ConfigFreshness makeState(std::uint64_t Process, TimePoint Time) {
  ConfigFreshnessConfig Config;
  Config.MaxAge_ = MaxAge;
  Config.Process_ = Process;
  Config.CountTransitForTest_ = !mutationEnabled("freshness-transit");
  return makeConfigFreshness(Config, {Time, {}});
}

struct Link {
  TimePoint DeliverAt_;
  std::size_t To_ = 0;
  wire::PeerMessage Message_;
};

struct Node {
  ConfigFreshness State_;
  std::uint64_t Ticket_ = 1;
  Duration ClockOffset_{
      0}; ///< Each machine's monotonic clock has its own zero.
  TimePoint FrozenUntil_;
  bool ReadsStore_ = false;
  std::vector<std::string> Neighbours_;
  std::uint64_t Process_ = 0;

  std::string digest() const { return "digest-" + std::to_string(Ticket_); }
};

/// Daemons on a ring, some of which read the store, with links that delay or
/// hold messages, and daemons that freeze. Messages to a frozen daemon wait.
class FreshnessFleet {
public:
  FreshnessFleet(std::size_t Count, std::uint64_t Seed) : Rng_(Seed) {
    for (std::size_t I = 0; I < Count; ++I) {
      Node &New = Nodes_.emplace_back();
      New.ClockOffset_ = seconds(randomIndex(Rng_, 100'000));
      New.Process_ = 1000 + I;
      New.State_ = makeState(New.Process_, local(New));
      for (std::size_t Step : {std::size_t{1}, std::size_t{2}, Count - 1})
        New.Neighbours_.push_back(std::to_string((I + Step) % Count));
    }
  }

  TimePoint local(const Node &Each) const { return Time_ + Each.ClockOffset_; }

  TimePoint time() const { return Time_; }

  void run(Duration Span) {
    for (TimePoint End = Time_ + Span; Time_ < End; Time_ += milliseconds(20))
      step();
  }

  /// The store acknowledges a ticket; daemons apply it at different times or
  /// not at all.
  void acknowledgeTicket() {
    ++StoreTicket_;
    AcknowledgedAt_[StoreTicket_] = Time_;
  }

  bool mayServe(const Node &Each) const {
    return !isStale(Each.State_, local(Each));
  }

  Duration MaxDelay_ = milliseconds(20);
  std::function<bool(std::size_t From, std::size_t To)> CutsLink_;
  std::vector<Node> Nodes_;
  std::uint64_t StoreTicket_ = 1;
  std::vector<std::string> Violations_;
  std::uint64_t Bytes_ = 0;
  Random Rng_;

private:
  void step() {
    auto Due = std::stable_partition(
        Links_.begin(), Links_.end(), [this](const Link &Each) {
          return Each.DeliverAt_ > Time_ ||
                 Nodes_[Each.To_].FrozenUntil_ > Time_;
        });
    std::vector<Link> Delivered(Due, Links_.end());
    Links_.erase(Due, Links_.end());
    for (const Link &Each : Delivered) {
      Node &To = Nodes_[Each.To_];
      receiveConfigFreshness(To.State_, Each.Message_,
                             {To.Ticket_, To.digest()}, {local(To), {}});
    }
    for (std::size_t I = 0; I < Nodes_.size(); ++I)
      if (Nodes_[I].FrozenUntil_ <= Time_)
        tick(I);
    check();
  }

  void tick(std::size_t I) {
    Node &Each = Nodes_[I];
    // A store call that was sent a second ago is answered.
    if (Each.ReadsStore_ && randomIndex(Rng_, 50) == 0) {
      auto Shown = StoreTicket_;
      while (Shown > 1 && AcknowledgedAt_[Shown] > Time_ - seconds(1))
        --Shown;
      confirm(
          Each.State_,
          {Shown, "digest-" + std::to_string(Shown), local(Each) - seconds(1)},
          {Each.Ticket_, Each.digest()});
    }
    if (Each.Ticket_ < StoreTicket_ && randomIndex(Rng_, 200) == 0)
      ++Each.Ticket_;
    Outbox Out;
    tickConfigFreshness(Each.State_, {Each.Ticket_, Each.digest()},
                        Each.Neighbours_, {local(Each), {}}, Out);
    for (OutgoingMessage &Sent : Out) {
      std::size_t To = std::stoul(Sent.To_);
      Sent.Message_.set_sender(std::to_string(I));
      Sent.Message_.set_process(Each.Process_);
      // Names, incarnations and processes are longer than here.
      constexpr std::uint64_t MissingBytes = 40;
      Bytes_ += MissingBytes;
      Bytes_ += Sent.Message_.ByteSizeLong();
      if (CutsLink_ && CutsLink_(I, To))
        continue;
      Duration Delay(randomIndex(Rng_, MaxDelay_.count() + 1));
      Links_.push_back({Time_ + Delay, To, Sent.Message_});
    }
  }

  /// The requirement: a daemon that still lacks a ticket serves no credential
  /// later than MaxAge after its acknowledgement.
  void check() {
    for (std::size_t I = 0; I < Nodes_.size(); ++I) {
      const Node &Each = Nodes_[I];
      if (Each.Ticket_ == StoreTicket_ || !mayServe(Each))
        continue;
      Duration Since = Time_ - AcknowledgedAt_[Each.Ticket_ + 1];
      if (Since > MaxAge)
        Violations_.push_back("daemon " + std::to_string(I) + " serves " +
                              std::to_string(toMilliseconds(Since)) +
                              " ms after ticket " +
                              std::to_string(Each.Ticket_ + 1));
    }
  }

  std::vector<Link> Links_;
  std::map<std::uint64_t, TimePoint> AcknowledgedAt_;
  TimePoint Time_{seconds(1000)};
};

/// State of a daemon whose peer "p" has returned an echo of it.
struct Pair {
  Pair() {
    Outbox Out;
    tickConfigFreshness(Own_, {1, "d"}, Names_, {Time_, {}}, Out);
    EXPECT_EQ(Out.size(), 1U);
    SentUs_ = Out.at(0).Message_.config_freshness().sent_us();
  }

  /// A message that the peer sent when it had held the last message of this
  /// daemon for Hold.
  wire::PeerMessage message(Duration Hold, Duration Age) const {
    wire::PeerMessage Out;
    Out.set_sender("p");
    Out.set_process(9);
    wire::ConfigFreshness &Stated = *Out.mutable_config_freshness();
    Stated.set_ticket(1);
    Stated.set_digest("d");
    Stated.set_age_us(static_cast<std::uint64_t>(Age.count()));
    Stated.set_sent_us(1);
    Stated.set_echo_us(SentUs_);
    Stated.set_echo_process(7);
    Stated.set_echo_hold_us(static_cast<std::uint64_t>(Hold.count()));
    return Out;
  }

  void receive(const wire::PeerMessage &Message) {
    receiveConfigFreshness(Own_, Message, {1, "d"}, {Time_, {}});
  }

  TimePoint Time_{seconds(100)};
  std::vector<std::string> Names_ = {"p"};
  ConfigFreshness Own_ = makeState(7, TimePoint(seconds(100)));
  std::uint64_t SentUs_ = 0;
};

} // namespace

TEST(ConfigFreshness, IsStaleFromTheStartUntilConfirmedAndAfterTheBound) {
  TimePoint Time{seconds(100)};
  ConfigFreshness State = makeState(1, Time);
  EXPECT_TRUE(isStale(State, Time));
  EXPECT_TRUE(confirm(State, {3, "d", Time}, {3, "d"}));
  EXPECT_FALSE(isStale(State, Time + MaxAge - milliseconds(200)));
  EXPECT_TRUE(isStale(State, Time + MaxAge - milliseconds(199)));
  // An answer to an earlier request does not make it younger or older.
  EXPECT_FALSE(confirm(State, {3, "d", Time - seconds(1)}, {3, "d"}));
  EXPECT_FALSE(isStale(State, Time + MaxAge - milliseconds(200)));
}

TEST(ConfigFreshness, WithoutABoundNothingIsSentOrRefused) {
  TimePoint Time{seconds(100)};
  ConfigFreshness State = makeConfigFreshness({}, {Time, {}});
  std::vector<std::string> Neighbours = {"a", "b"};
  Outbox Out;
  EXPECT_FALSE(
      tickConfigFreshness(State, {1, "d"}, Neighbours, {Time, {}}, Out));
  EXPECT_TRUE(Out.empty());
  EXPECT_FALSE(isStale(State, Time + seconds(1000)));
}

TEST(ConfigFreshness, ATicketThatIsNotAppliedConfirmsNothing) {
  TimePoint Time{seconds(100)};
  ConfigFreshness State = makeState(1, Time);
  EXPECT_FALSE(confirm(State, {4, "d4", Time}, {3, "d3"}));
  EXPECT_TRUE(isStale(State, Time));
  Outbox Out;
  EXPECT_TRUE(tickConfigFreshness(State, {4, "d4"}, {}, {Time, {}}, Out));
  EXPECT_FALSE(isStale(State, Time));
}

TEST(ConfigFreshness, AnotherTicketOfTheSameNumberConfirmsNothing) {
  TimePoint Time{seconds(100)};
  ConfigFreshness State = makeState(1, Time);
  EXPECT_FALSE(confirm(State, {3, "other", Time}, {3, "d3"}));
  EXPECT_FALSE(confirm(State, {3, "", Time}, {3, "d3"}));
  EXPECT_EQ(State.Counters_.Mismatched_, 2U);
  EXPECT_TRUE(confirm(State, {3, "d", Time}, {3, "d3"}));
}

// A process that was frozen finds the messages of that time in its buffers.
TEST(ConfigFreshness, AMessageThatWaitedInABufferIsNotTakenForFresh) {
  Pair Test;
  Test.Time_ += seconds(30);
  Test.receive(Test.message(milliseconds(10), milliseconds(50)));
  ASSERT_TRUE(confirmationAge(Test.Own_, Test.Time_).has_value());
  EXPECT_EQ(*confirmationAge(Test.Own_, Test.Time_), milliseconds(30'040));
  EXPECT_TRUE(isStale(Test.Own_, Test.Time_));
}

TEST(ConfigFreshness, AMessageWithoutAnEchoOfThisProcessIsNotUsed) {
  Pair Test;
  wire::PeerMessage None = Test.message(Duration(0), Duration(0));
  None.mutable_config_freshness()->set_echo_us(0);
  wire::PeerMessage Earlier = Test.message(Duration(0), Duration(0));
  Earlier.mutable_config_freshness()->set_echo_process(6);
  wire::PeerMessage Future = Test.message(Duration(0), Duration(0));
  Future.mutable_config_freshness()->set_echo_us(~std::uint64_t{0});
  wire::PeerMessage Held = Test.message(seconds(61), Duration(0));
  for (const wire::PeerMessage &Each : {None, Earlier, Future, Held})
    Test.receive(Each);
  EXPECT_EQ(Test.Own_.Counters_.Undated_, 4U);
  EXPECT_TRUE(isStale(Test.Own_, Test.Time_));
}

TEST(ConfigFreshness, OddNumbersOfAPeerDoNotConfirm) {
  Pair Test;
  wire::PeerMessage Old = Test.message(Duration(0), Duration(0));
  Old.mutable_config_freshness()->set_age_us(~std::uint64_t{0});
  Test.receive(Old);
  EXPECT_TRUE(isStale(Test.Own_, Test.Time_));
  // A stated holding time beyond the present does not reach into the future.
  Test.receive(Test.message(seconds(50), Duration(0)));
  EXPECT_EQ(*confirmationAge(Test.Own_, Test.Time_), Duration(0));
}

TEST(ConfigFreshness, ADaemonThatStartsIsConfirmedByItsNeighbours) {
  FreshnessFleet Fleet(9, testSeed(1));
  Fleet.Nodes_[0].ReadsStore_ = true;
  Fleet.run(seconds(6));
  for (const Node &Each : Fleet.Nodes_)
    EXPECT_TRUE(Fleet.mayServe(Each));
  Node &Restarted = Fleet.Nodes_[5];
  Restarted.Process_ = 2000;
  Restarted.State_ = makeState(Restarted.Process_, Fleet.local(Restarted));
  EXPECT_FALSE(Fleet.mayServe(Restarted));
  Fleet.run(milliseconds(1500));
  EXPECT_TRUE(Fleet.mayServe(Restarted));
}

TEST(ConfigFreshness, CalmDaemonsStayFreshAtLittleTraffic) {
  FleetOptions Options;
  Options.PerDataCentre_ = 27;
  FleetSim Overlay(Options);
  ASSERT_TRUE(Overlay.startAndConverge());
  FreshnessFleet Fleet(Overlay.Daemons_.size(), testSeed(2));
  for (std::size_t I = 0; I < Fleet.Nodes_.size(); ++I) {
    Node &Each = Fleet.Nodes_[I];
    const SimDaemon &Daemon = Overlay.Daemons_[I];
    Each.ReadsStore_ = isReader(Daemon.Members_);
    Each.Neighbours_.clear();
    for (const std::string &Name : neighbours(Daemon.Members_))
      Each.Neighbours_.push_back(Name.substr(Name.find('-') + 1));
  }
  Fleet.run(seconds(10));
  Fleet.Bytes_ = 0;
  Duration Oldest(0);
  for (int I = 0; I < 300; ++I) {
    Fleet.run(milliseconds(100));
    for (const Node &Each : Fleet.Nodes_)
      Oldest =
          std::max(Oldest, *confirmationAge(Each.State_, Fleet.local(Each)));
  }
  double PerDaemon =
      static_cast<double>(Fleet.Bytes_) / (30.0 * Fleet.Nodes_.size());
  std::cout << "oldest " << toMilliseconds(Oldest) << " ms, " << PerDaemon
            << " bytes/s sent by each daemon" << std::endl;
  EXPECT_LT(Oldest, MaxAge - milliseconds(200));
  // Ages and quotas together may take 3 KB/s.
  EXPECT_LT(PerDaemon, 1500);
}

RC_GTEST_PROP(ConfigFreshness, NoDaemonServesBeyondTheBound, ()) {
  auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  FreshnessFleet Fleet(6, Seed);
  Fleet.Nodes_[0].ReadsStore_ = true;
  Fleet.Nodes_[3].ReadsStore_ = true;
  Fleet.MaxDelay_ = milliseconds(randomIndex(Fleet.Rng_, 3000));
  for (int I = 0; I < 25; ++I) {
    std::size_t Subject = randomIndex(Fleet.Rng_, Fleet.Nodes_.size());
    switch (randomIndex(Fleet.Rng_, 5)) {
    case 0:
      Fleet.acknowledgeTicket();
      break;
    case 1:
      Fleet.Nodes_[Subject].FrozenUntil_ =
          Fleet.time() + milliseconds(randomIndex(Fleet.Rng_, 12'000));
      break;
    case 2:
      Fleet.Nodes_[Subject].ReadsStore_ ^= true;
      break;
    case 3:
      Fleet.CutsLink_ = [Subject](std::size_t From, std::size_t To) {
        return From == Subject || To == Subject;
      };
      break;
    default:
      Fleet.CutsLink_ = nullptr;
    }
    Fleet.run(milliseconds(randomIndex(Fleet.Rng_, 2500)));
  }
  RC_ASSERT(Fleet.Violations_ == std::vector<std::string>{});
}

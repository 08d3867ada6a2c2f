// Guards against messages that are lost, delivered late, or accepted from a
// server that is not the one it claims to be.
#include "sycamore/PeerTransport.h"
#include "sycamore/Clock.h"

#include <event2/event.h>
#include <gtest/gtest.h>

using namespace sycamore;

namespace {

class Loop {
public:
  Loop() : Base_(event_base_new()) {}
  ~Loop() { event_base_free(Base_); }

  /// Runs the loop until the condition holds; false after ten seconds.
  template <typename Condition> bool runUntil(Condition Holds) {
    TimePoint End = monotonicNow() + seconds(10);
    while (!Holds() && monotonicNow() < End) {
      timeval Pause{0, 2000};
      event_base_loopexit(Base_, &Pause);
      event_base_dispatch(Base_);
      if (OnEachIteration_)
        OnEachIteration_();
    }
    return Holds();
  }

  event_base *Base_;
  std::function<void()> OnEachIteration_;
};

struct Peer {
  std::vector<std::string> Bodies_;
  std::vector<std::pair<std::string, LinkCloseReason>> LinkCloseReasons_;
  std::map<std::string, PeerAddress> PeerAddresses_;
  bool Echo_ = false;
  std::unique_ptr<PeerTransport> Transport_;
  std::string Address_;

  void start(event_base *Base, PeerTransportConfig Config) {
    Config.ListenAddress_ = "127.0.0.1:0";
    PeerHandlers Handlers;
    Handlers.OnMessage_ = [this](wire::PeerMessage & /*Message*/,
                                 std::string &Body, const ReplyRoute &Route) {
      Bodies_.push_back(Body);
      wire::PeerMessage Answer;
      Answer.mutable_call_answer()->set_status(200);
      if (Echo_) {
        EXPECT_TRUE(Transport_->reply(Route, Answer, Body));
      }
    };
    Handlers.OnLinkClosed_ = [this](const std::string &Name,
                                    std::uint64_t /*Link*/,
                                    LinkCloseReason End) {
      LinkCloseReasons_.emplace_back(Name, End);
    };
    Handlers.Resolve_ =
        [this](const std::string &Name) -> std::optional<PeerAddress> {
      auto Found = PeerAddresses_.find(Name);
      if (Found == PeerAddresses_.end())
        return std::nullopt;
      return Found->second;
    };
    Transport_ =
        std::make_unique<PeerTransport>(Base, std::move(Config), Handlers);
    auto Bound = Transport_->listen();
    ASSERT_TRUE(Bound.has_value()) << describe(Bound.error());
    Address_ = *Bound;
  }
};

PeerTransportConfig plainConfig(const std::string &Name) {
  PeerTransportConfig Config;
  Config.Self_ = Name;
  Config.DialTimeout_ = milliseconds(300);
  return Config;
}

wire::PeerMessage callRequest() {
  wire::PeerMessage Message;
  Message.mutable_call_request()->set_service("shelfview");
  return Message;
}

} // namespace

TEST(PeerTransport, AnswersOverTheSameConnection) {
  Loop MainLoop;
  Peer Left;
  Peer Right;
  Left.start(MainLoop.Base_, plainConfig("left"));
  Right.start(MainLoop.Base_, plainConfig("right"));
  Right.Echo_ = true;
  Left.PeerAddresses_["right"] = {Right.Address_, {}};
  std::string Large(3U << 20U, 'x');
  for (int I = 0; I < 300; ++I) {
    wire::PeerMessage Message = callRequest();
    Left.Transport_->send("right", Message, I == 0 ? Large : std::to_string(I),
                          monotonicNow());
  }
  ASSERT_TRUE(MainLoop.runUntil([&] { return Left.Bodies_.size() == 300; }));
  EXPECT_EQ(Left.Bodies_[0], Large);
  EXPECT_EQ(Left.Bodies_[299], "299");
  EXPECT_EQ(Right.Transport_->linkCount(), 0U);
}

TEST(PeerTransport, ReportsNeverConnectedForAnUnreachablePeer) {
  Loop MainLoop;
  Peer Left;
  Left.start(MainLoop.Base_, plainConfig("left"));
  Left.PeerAddresses_["right"] = {"127.0.0.1:1", {}};
  wire::PeerMessage Message = callRequest();
  Left.Transport_->send("right", Message, "body", monotonicNow());
  MainLoop.OnEachIteration_ = [&] { Left.Transport_->tick(monotonicNow()); };
  ASSERT_TRUE(
      MainLoop.runUntil([&] { return !Left.LinkCloseReasons_.empty(); }));
  EXPECT_EQ(Left.LinkCloseReasons_[0].first, "right");
  EXPECT_EQ(Left.LinkCloseReasons_[0].second, LinkCloseReason::NeverConnected);
}

TEST(PeerTransport, ReportsALostLinkAndReconnects) {
  Loop MainLoop;
  Peer Left;
  Left.start(MainLoop.Base_, plainConfig("left"));
  auto Right = std::make_unique<Peer>();
  Right->start(MainLoop.Base_, plainConfig("right"));
  Left.PeerAddresses_["right"] = {Right->Address_, {}};
  wire::PeerMessage Message = callRequest();
  Left.Transport_->send("right", Message, "one", monotonicNow());
  ASSERT_TRUE(MainLoop.runUntil([&] { return Right->Bodies_.size() == 1; }));
  Right.reset();
  ASSERT_TRUE(
      MainLoop.runUntil([&] { return !Left.LinkCloseReasons_.empty(); }));
  EXPECT_EQ(Left.LinkCloseReasons_[0].second, LinkCloseReason::Lost);
  Peer Replacement;
  Replacement.start(MainLoop.Base_, plainConfig("right"));
  Left.PeerAddresses_["right"] = {Replacement.Address_, {}};
  Left.Transport_->send("right", Message, "two", monotonicNow());
  ASSERT_TRUE(
      MainLoop.runUntil([&] { return Replacement.Bodies_.size() == 1; }));
  EXPECT_EQ(Replacement.Bodies_[0], "two");
}

TEST(PeerTransport, RefusesUnknownKeysAndImpostors) {
  Loop MainLoop;
  CurveKeys ServerKeys = makeCurveKeys();
  CurveKeys KnownKeys = makeCurveKeys();
  PeerTransportConfig ServerConfig = plainConfig("right");
  ServerConfig.Curve_ = ServerKeys;
  ServerConfig.AllowedKeys_ = {{KnownKeys.PublicKey_, "left"}};
  Peer Right;
  Right.start(MainLoop.Base_, ServerConfig);

  auto Dial = [&](Peer &From, const std::string &Name, const CurveKeys &Keys) {
    PeerTransportConfig Config = plainConfig(Name);
    Config.Curve_ = Keys;
    From.start(MainLoop.Base_, Config);
    From.PeerAddresses_["right"] = {Right.Address_, ServerKeys.PublicKey_};
    wire::PeerMessage Message = callRequest();
    From.Transport_->send("right", Message, Name, monotonicNow());
  };
  Peer Left;
  Dial(Left, "left", KnownKeys);
  ASSERT_TRUE(MainLoop.runUntil([&] { return Right.Bodies_.size() == 1; }));
  Peer Unknown;
  Dial(Unknown, "unknown", makeCurveKeys());
  ASSERT_TRUE(
      MainLoop.runUntil([&] { return !Unknown.LinkCloseReasons_.empty(); }));
  EXPECT_EQ(Unknown.LinkCloseReasons_[0].second,
            LinkCloseReason::NeverConnected);
  Peer Impostor;
  Dial(Impostor, "other", KnownKeys);
  ASSERT_TRUE(MainLoop.runUntil(
      [&] { return Right.Transport_->counters().DroppedImpostor_ == 1; }));
  EXPECT_EQ(Right.Bodies_.size(), 1U);
}

TEST(PeerTransport, StaysWithinItsLinkLimit) {
  Loop MainLoop;
  PeerTransportConfig Config = plainConfig("left");
  Config.MaxLinks_ = 2;
  Peer Left;
  Left.start(MainLoop.Base_, Config);
  std::vector<std::unique_ptr<Peer>> Others;
  for (int I = 0; I < 5; ++I) {
    std::string Name = "other-" + std::to_string(I);
    Others.push_back(std::make_unique<Peer>());
    Others.back()->start(MainLoop.Base_, plainConfig(Name));
    Left.PeerAddresses_[Name] = {Others.back()->Address_, {}};
    wire::PeerMessage Message = callRequest();
    Left.Transport_->send(Name, Message, Name, monotonicNow());
    ASSERT_TRUE(
        MainLoop.runUntil([&] { return Others.back()->Bodies_.size() == 1; }));
    EXPECT_LE(Left.Transport_->linkCount(), 2U);
  }
}

// Guards against small answers that wait behind large ones on a slow link, and
// against requests that run although the link cannot carry their answers.
#include "sycamore/AnswerPacing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

using namespace sycamore;

namespace {

constexpr double MegabitsPerSecond = 1e6 / 8;

AnswerPacing pacing(double Mbps = 12) {
  AnswerPacing Out;
  Out.Options_.LinkRate_ = Mbps * MegabitsPerSecond;
  return Out;
}

std::shared_ptr<const std::string> body(std::size_t Bytes) {
  return std::make_shared<const std::string>(Bytes, 'x');
}

TimePoint at(std::int64_t Ms) {
  return TimePoint(seconds(100)) + milliseconds(Ms);
}

/// Takes all pieces that may be handed over and returns their bytes.
std::size_t handOver(AnswerPacing &Table, TimePoint Now,
                     std::vector<BodyPiece> *Pieces = nullptr) {
  std::size_t Out = 0;
  while (auto Piece = nextPiece(Table, Now)) {
    recordLinkBytes(Table, Piece->Size_, Now);
    Out += Piece->Size_;
    if (Pieces)
      Pieces->push_back(*Piece);
  }
  return Out;
}

} // namespace

TEST(AnswerPacing,
     ASmallMessageNeverWaitsBehindMoreThanOnePieceBeyondTheLimit) {
  AnswerPacing Table = pacing();
  for (std::uint64_t Id = 1; Id <= 20; ++Id)
    queueBody(Table, {Id, body(90'000), 0, 2});
  for (int Ms = 0; Ms < 2000; Ms += 5) {
    handOver(Table, at(Ms));
    EXPECT_LE(Table.LinkFreeAt_ - at(Ms),
              Table.Options_.MaxAhead_ +
                  timeOnLink(Table, Table.Options_.PieceBytes_));
  }
  EXPECT_TRUE(Table.Queue_.empty());
}

TEST(AnswerPacing, KeepsTheLinkBusyWhenPiecesAreTakenEvery20Ms) {
  AnswerPacing Table = pacing();
  for (std::uint64_t Id = 1; Id <= 40; ++Id)
    queueBody(Table, {Id, body(90'000), 0, 2});
  std::size_t Sent = 0;
  for (int Ms = 0; Ms < 1000; Ms += 20)
    Sent += handOver(Table, at(Ms));
  double Usable = Table.Options_.LinkRate_ * Table.Options_.RateShare_;
  EXPECT_GE(static_cast<double>(Sent), 0.95 * Usable);
}

TEST(AnswerPacing, OtherTrafficLeavesLessOfTheLinkToLargeBodies) {
  AnswerPacing Table = pacing();
  for (std::uint64_t Id = 1; Id <= 40; ++Id)
    queueBody(Table, {Id, body(90'000), 0, 2});
  double Usable = Table.Options_.LinkRate_ * Table.Options_.RateShare_;
  std::size_t Sent = 0;
  for (int Ms = 0; Ms < 1000; Ms += 20) {
    recordLinkBytes(Table, static_cast<std::uint64_t>(Usable / 100), at(Ms));
    Sent += handOver(Table, at(Ms));
  }
  EXPECT_NEAR(static_cast<double>(Sent), Usable / 2, Usable / 10);
}

TEST(AnswerPacing, FinishesOneBodyBeforeTheNextAndTakesUrgentOnesFirst) {
  AnswerPacing Table = pacing();
  queueBody(Table, {1, body(90'000), 0, 2});
  handOver(Table, at(0));
  queueBody(Table, {2, body(90'000), 0, 2});
  queueBody(Table, {3, body(90'000), 0, 1});
  std::vector<std::uint64_t> Finished;
  for (int Ms = 20; Ms < 1000; Ms += 20) {
    std::vector<BodyPiece> Pieces;
    handOver(Table, at(Ms), &Pieces);
    for (const BodyPiece &Each : Pieces)
      if (Each.Last_)
        Finished.push_back(Each.Id_);
  }
  EXPECT_EQ(Finished, (std::vector<std::uint64_t>{1, 3, 2}));
}

RC_GTEST_PROP(AnswerPacing, PiecesAreTheWholeBodyInOrder, ()) {
  AnswerPacing Table = pacing(*rc::gen::inRange(1, 1000));
  std::map<std::uint64_t, std::size_t> Sizes;
  std::map<std::uint64_t, std::size_t> Received;
  std::uint64_t Dropped = 0;
  std::uint64_t Id = 0;
  std::int64_t Ms = 0;
  int Steps = *rc::gen::inRange(1, 60);
  for (int Step = 0; Step < Steps; ++Step) {
    if (*rc::gen::inRange(0, 2) == 0) {
      Sizes[++Id] = *rc::gen::inRange<std::size_t>(1, 300'000);
      queueBody(Table, {Id, body(Sizes[Id]), 0, *rc::gen::inRange(0U, 3U)});
    }
    if (Id > 0 && *rc::gen::inRange(0, 8) == 0) {
      std::uint64_t Chosen = *rc::gen::inRange<std::uint64_t>(1, Id + 1);
      if (dropBody(Table, Chosen))
        Dropped += Sizes[Chosen] - Received[Chosen];
    }
    if (Id > 0 && *rc::gen::inRange(0, 8) == 0) {
      std::uint64_t Chosen = *rc::gen::inRange<std::uint64_t>(1, Id + 1);
      auto Open = std::any_of(
          Table.Queue_.begin(), Table.Queue_.end(),
          [&](const PacedBody &Each) { return Each.Id_ == Chosen; });
      restartBody(Table, Chosen);
      if (Open)
        Received[Chosen] = 0;
    }
    Ms += *rc::gen::inRange(1, 100);
    std::vector<BodyPiece> Pieces;
    handOver(Table, at(Ms), &Pieces);
    for (const BodyPiece &Each : Pieces) {
      RC_ASSERT(Each.Offset_ == Received[Each.Id_]);
      Received[Each.Id_] += Each.Size_;
      RC_ASSERT(Each.Last_ == (Received[Each.Id_] == Sizes[Each.Id_]));
    }
    std::uint64_t Left = 0;
    for (const PacedBody &Each : Table.Queue_)
      Left += Each.Body_->size() - Each.Offset_;
    RC_ASSERT(Left == Table.QueuedBytes_);
  }
}

TEST(AnswerPacing, RefusesAnAnswerThatTheLinkCannotCarryInTime) {
  AnswerPacing Table = pacing();
  AnswerDemand Demand{90'000, at(2500), at(1200)};
  EXPECT_EQ(checkAnswer(Table, Demand, at(0)), AnswerDecision::Accept);
  for (std::uint64_t Id = 1; Id <= 20; ++Id)
    queueBody(Table, {Id, body(90'000), 0, 2});
  EXPECT_EQ(checkAnswer(Table, Demand, at(0)),
            AnswerDecision::MissesLatencyTarget);
  // A retry that has missed its latency target does not lengthen the backlog of
  // answers in time.
  Demand.LatencyTargetAt_ = at(-100);
  EXPECT_EQ(checkAnswer(Table, Demand, at(0)),
            AnswerDecision::MissesLatencyTarget);
  Table.ReservedBytes_ = 40 * 90'000;
  EXPECT_EQ(checkAnswer(Table, Demand, at(0)), AnswerDecision::TooLate);
  EXPECT_EQ(checkAnswer(Table, {400, at(100), at(50)}, at(0)),
            AnswerDecision::Accept);
}

TEST(AnswerPacing, ServesALateRequestWhileTheLinkIsFree) {
  AnswerPacing Table = pacing();
  EXPECT_EQ(checkAnswer(Table, {90'000, at(2500), at(-100)}, at(0)),
            AnswerDecision::Accept);
}

TEST(AnswerPacing, RefusesAnswersBeyondTheBufferWhateverTheRate) {
  AnswerPacing Table = pacing(1'000'000);
  Table.Options_.MaxBytes_ = 1'000'000;
  Table.ReservedBytes_ = 950'000;
  EXPECT_EQ(checkAnswer(Table, {90'000, at(2500), std::nullopt}, at(0)),
            AnswerDecision::NoRoom);
  Table.ReservedBytes_ = 900'000;
  EXPECT_EQ(checkAnswer(Table, {90'000, at(2500), std::nullopt}, at(0)),
            AnswerDecision::Accept);
}

TEST(AnswerPacing, PacesNothingWhenTheRateIsNotKnown) {
  AnswerPacing Table = pacing(0);
  EXPECT_FALSE(isPaced(Table, 10'000'000));
  EXPECT_EQ(checkAnswer(Table, {10'000'000, at(1), at(1)}, at(0)),
            AnswerDecision::Accept);
  recordLinkBytes(Table, 10'000'000, at(0));
  EXPECT_EQ(linkBacklog(Table, at(0)), Duration(0));
}

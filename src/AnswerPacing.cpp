// Order and pace in which the bodies of large answers are handed to the link of
// this host.
#include "sycamore/AnswerPacing.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sycamore {
namespace {

auto findBody(AnswerPacing &Table, std::uint64_t Id) {
  return std::find_if(Table.Queue_.begin(), Table.Queue_.end(),
                      [Id](const PacedBody &Each) { return Each.Id_ == Id; });
}

std::uint64_t bytesLeft(const PacedBody &Each) {
  return Each.Body_->size() - Each.Offset_;
}

} // namespace

bool isPaced(const AnswerPacing &Table, std::uint64_t Bytes) {
  return Table.Options_.LinkRate_ > 0 && Bytes > Table.Options_.LargeBytes_;
}

Duration timeOnLink(const AnswerPacing &Table, std::uint64_t Bytes) {
  constexpr double MicrosecondsPerSecond = 1e6;
  const AnswerPacingOptions &Options = Table.Options_;
  if (Options.LinkRate_ <= 0)
    return Duration{0};
  return Duration(
      std::llround(static_cast<double>(Bytes) * MicrosecondsPerSecond /
                   (Options.LinkRate_ * Options.RateShare_)));
}

void recordLinkBytes(AnswerPacing &Table, std::uint64_t Bytes, TimePoint Now) {
  Table.LinkFreeAt_ =
      std::max(Table.LinkFreeAt_, Now) + timeOnLink(Table, Bytes);
}

void queueBody(AnswerPacing &Table, PacedBody Body) {
  ++Table.Counters_.BodiesPaced_;
  Table.QueuedBytes_ += bytesLeft(Body);
  auto Position = std::upper_bound(
      Table.Queue_.begin(), Table.Queue_.end(), Body,
      [](const PacedBody &New, const PacedBody &Each) {
        // A body under way is not interrupted.
        return Each.Offset_ == 0 && New.Priority_ < Each.Priority_;
      });
  Table.Queue_.insert(Position, std::move(Body));
}

std::optional<BodyPiece> nextPiece(AnswerPacing &Table, TimePoint Now) {
  if (Table.Queue_.empty() ||
      Table.LinkFreeAt_ - Now >= Table.Options_.MaxAhead_)
    return std::nullopt;
  PacedBody &Front = Table.Queue_.front();
  BodyPiece Out;
  Out.Id_ = Front.Id_;
  Out.Body_ = Front.Body_;
  Out.Offset_ = Front.Offset_;
  Out.Size_ =
      std::min<std::size_t>(Table.Options_.PieceBytes_, bytesLeft(Front));
  Front.Offset_ += Out.Size_;
  Out.Last_ = bytesLeft(Front) == 0;
  Table.QueuedBytes_ -= Out.Size_;
  ++Table.Counters_.Pieces_;
  if (Out.Last_)
    Table.Queue_.pop_front();
  return Out;
}

std::optional<Duration> timeToNextPiece(const AnswerPacing &Table,
                                        TimePoint Now) {
  if (Table.Queue_.empty())
    return std::nullopt;
  return std::max(Table.LinkFreeAt_ - Now - Table.Options_.MaxAhead_ +
                      Duration(1),
                  Duration{0});
}

bool dropBody(AnswerPacing &Table, std::uint64_t Id) {
  auto Found = findBody(Table, Id);
  if (Found == Table.Queue_.end())
    return false;
  Table.QueuedBytes_ -= bytesLeft(*Found);
  Table.Queue_.erase(Found);
  ++Table.Counters_.Dropped_;
  return true;
}

void restartBody(AnswerPacing &Table, std::uint64_t Id) {
  auto Found = findBody(Table, Id);
  if (Found == Table.Queue_.end())
    return;
  Table.QueuedBytes_ += Found->Offset_;
  Found->Offset_ = 0;
}

Duration linkBacklog(const AnswerPacing &Table, TimePoint Now) {
  return std::max(Table.LinkFreeAt_ - Now, Duration{0}) +
         timeOnLink(Table, Table.QueuedBytes_ + Table.ReservedBytes_);
}

std::string_view answerDecisionName(AnswerDecision Decision) {
  constexpr std::array<std::string_view, 4> Names = {
      "accept", "answer-buffer-full", "link-too-late",
      "link-misses-latency-target"};
  return Names[static_cast<std::size_t>(Decision)];
}

AnswerDecision checkAnswer(const AnswerPacing &Table,
                           const AnswerDemand &Demand, TimePoint Now) {
  if (!isPaced(Table, Demand.Bytes_))
    return AnswerDecision::Accept;
  if (Table.QueuedBytes_ + Table.ReservedBytes_ + Demand.Bytes_ >
      Table.Options_.MaxBytes_)
    return AnswerDecision::NoRoom;
  Duration Own = timeOnLink(Table, Demand.Bytes_);
  Duration Backlog = linkBacklog(Table, Now);
  if (Now + Backlog + Own > Demand.Deadline_)
    return AnswerDecision::TooLate;
  if (!Demand.LatencyTargetAt_ ||
      Now + Backlog + Own <= *Demand.LatencyTargetAt_)
    return AnswerDecision::Accept;
  bool InTimeWithoutBacklog = Now + Own <= *Demand.LatencyTargetAt_;
  return InTimeWithoutBacklog || Backlog > Table.Options_.MaxLateBacklog_
             ? AnswerDecision::MissesLatencyTarget
             : AnswerDecision::Accept;
}

} // namespace sycamore

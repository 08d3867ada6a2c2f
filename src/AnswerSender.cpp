// Sends answers to the daemons that asked, large bodies in pieces at the pace
// of this host's link.
#include "AnswerSender.h"

namespace sycamore {

AttemptKey attemptKeyOf(const wire::CallId &Id) {
  return {Id.entry(), Id.incarnation(), Id.ordinal()};
}

AnswerSender::AnswerSender(AnswerSenderConfig Config)
    : Config_(std::move(Config)) {
  Pacing_.Options_ = Config_.Pacing_;
}

void AnswerSender::send(wire::CallAnswer Answer,
                        std::shared_ptr<const std::string> Body,
                        const ReplyRoute &Route, std::uint32_t Priority,
                        TimePoint Now) {
  Answer.clear_body_offset();
  bool Local = Route.Link_ == Config_.Self_;
  if (Local || !Body || !isPaced(Pacing_, Body->size())) {
    wire::PeerMessage Message;
    *Message.mutable_call_answer() = std::move(Answer);
    Config_.Reply_(Route, Message,
                   Body ? std::string_view(*Body) : std::string_view());
    return;
  }
  std::uint64_t Id = NextId_++;
  IdByAttempt_[attemptKeyOf(Answer.id())] = Id;
  Outgoing_[Id] = {std::move(Answer), Route};
  queueBody(Pacing_, {Id, std::move(Body), 0, Priority});
  pump(Now);
}

void AnswerSender::sendQueryAnswer(const wire::CallQueryAnswer &Answer,
                                   const ReplyRoute &Route) {
  wire::PeerMessage Message;
  *Message.mutable_call_query_answer() = Answer;
  Config_.Reply_(Route, Message, {});
}

bool AnswerSender::resume(const wire::CallId &Id, const ReplyRoute &Route,
                          TimePoint Now) {
  auto Found = IdByAttempt_.find(attemptKeyOf(Id));
  if (Found == IdByAttempt_.end())
    return false;
  Outgoing &Current = Outgoing_.at(Found->second);
  if (Current.Route_.RoutingId_ != Route.RoutingId_ ||
      Current.Route_.Link_ != Route.Link_) {
    Current.Route_ = Route;
    restartBody(Pacing_, Found->second);
    pump(Now);
  }
  return true;
}

void AnswerSender::cancel(const wire::CallId &Id) {
  auto Found = IdByAttempt_.find(attemptKeyOf(Id));
  if (Found == IdByAttempt_.end())
    return;
  std::uint64_t PacingId = Found->second;
  dropBody(Pacing_, PacingId);
  forget(PacingId);
}

void AnswerSender::forget(std::uint64_t Id) {
  auto Found = Outgoing_.find(Id);
  if (Found == Outgoing_.end())
    return;
  IdByAttempt_.erase(attemptKeyOf(Found->second.Answer_.id()));
  Outgoing_.erase(Found);
}

void AnswerSender::syncLinkBytes(TimePoint Now) {
  std::uint64_t Sent = Config_.LinkBytes_();
  recordLinkBytes(Pacing_, Sent - LinkBytesSeen_, Now);
  LinkBytesSeen_ = Sent;
}

bool AnswerSender::sendPiece(const BodyPiece &Piece, const Outgoing &Current) {
  wire::PeerMessage Message;
  if (Piece.Last_) {
    *Message.mutable_call_answer() = Current.Answer_;
    Message.mutable_call_answer()->set_body_offset(Piece.Offset_);
  } else {
    wire::CallAnswerPart &Part = *Message.mutable_call_answer_part();
    *Part.mutable_id() = Current.Answer_.id();
    Part.set_offset(Piece.Offset_);
    Part.set_body_size(Piece.Body_->size());
  }
  return Config_.Reply_(
      Current.Route_, Message,
      std::string_view(*Piece.Body_).substr(Piece.Offset_, Piece.Size_));
}

void AnswerSender::pump(TimePoint Now) {
  syncLinkBytes(Now);
  while (auto Piece = nextPiece(Pacing_, Now)) {
    bool Sent = sendPiece(*Piece, Outgoing_.at(Piece->Id_));
    syncLinkBytes(Now);
    // The answer stays in the call records, from which a query of the entry
    // daemon gets it.
    if (!Sent && !Piece->Last_)
      dropBody(Pacing_, Piece->Id_);
    if (!Sent || Piece->Last_)
      forget(Piece->Id_);
  }
  if (auto Wait = timeToNextPiece(Pacing_, Now))
    Config_.Schedule_(*Wait);
}

void AnswerSender::reserve(std::uint64_t Bytes) {
  Pacing_.ReservedBytes_ += Bytes;
}

void AnswerSender::release(std::uint64_t Bytes) {
  Pacing_.ReservedBytes_ -= Bytes;
}

} // namespace sycamore

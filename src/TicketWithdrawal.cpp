// Withdraws filed tickets.
#include "DeskAction.h"
#include "TicketMutations.h"
#include "sycamore/Signing.h"

namespace sycamore {
namespace {

class Withdrawal {
public:
  Withdrawal(const DeskSession &Session, const DeskOperator &Operator,
             std::uint64_t Number, WallTime Now)
      : Action_(Session), Number_(Number) {
    Request_.Operator_ = Operator.Name_;
    Request_.WithdrawalId_ = randomId();
    Request_.NowUnixUs_ = unixMicroseconds(Now);
  }

  DeskOutcome run() {
    std::optional<DeskOutcome> Outcome;
    while (!Outcome)
      Outcome = step();
    return *Outcome;
  }

private:
  std::optional<DeskOutcome> step();

  DeskAction Action_;
  std::uint64_t Number_;
  WithdrawalRequest Request_;
  std::optional<Doubt> Pending_;
};

std::optional<DeskOutcome> Withdrawal::step() {
  if (Action_.expired())
    return giveUp(Pending_, Number_, Action_.lastError());
  auto Answer = Action_.read({oneKey(ticketKey(Number_))});
  if (!Answer)
    return giveUp(Pending_, Number_, Answer.error());
  if (Answer->Reads_[0].Values_.empty())
    return giveUp(Pending_, Number_, notFiled(Number_));
  const KeyValue &Stored = Answer->Reads_[0].Values_[0];
  auto Record = parseRecordAt(Stored, Number_);
  if (!Record)
    return giveUp(Pending_, Number_, Record.error());
  if (Record->WithdrawalId_ == Request_.WithdrawalId_ &&
      !mutated("desk-no-read-back"))
    return DeskAccepted{Number_, true};
  if (Pending_ && Pending_->RecordRevision_ != Stored.ModRevision_)
    Pending_.reset();
  auto After = planWithdrawal(*Record, Request_);
  if (!After)
    return giveUp(Pending_, Number_, After.error());
  Txn Request;
  if (!mutated("desk-skip-ticket-compare"))
    Request.Compares_ = {{ticketKey(Number_), Stored.ModRevision_}};
  Request.Puts_ = {Put{ticketKey(Number_), toJson(*After).dump(), 0}};
  switch (Action_.write(Request)) {
  case WriteEnd::Applied:
    return DeskAccepted{Number_, false};
  case WriteEnd::Mismatch:
    return std::nullopt;
  case WriteEnd::Refused:
    return endRefused(Pending_, Number_, Action_.lastError());
  case WriteEnd::Maybe:
    Pending_ = Doubt{Number_, 0, Stored.ModRevision_};
    break;
  case WriteEnd::NotRun:
    break;
  }
  Action_.backOff();
  return std::nullopt;
}

} // namespace

DeskOutcome withdrawTicket(const DeskSession &Session,
                           const DeskOperator &Operator, std::uint64_t Number,
                           WallTime Now) {
  if (auto Failure = checkRight(Operator, &OperatorEntry::MayFile_, "withdraw"))
    return refuse(Number, *Failure);
  return Withdrawal(Session, Operator, Number, Now).run();
}

} // namespace sycamore

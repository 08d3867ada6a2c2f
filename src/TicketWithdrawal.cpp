// Withdraws filed tickets.
#include "TicketActionContext.h"
#include "TicketMutations.h"
#include "sycamore/Signing.h"

namespace sycamore {
namespace {

class Withdrawal {
public:
  Withdrawal(const TicketSession &Session, const TicketOperator &Operator,
             std::uint64_t Number, WallTime Now)
      : Action_(Session), Number_(Number) {
    Request_.Operator_ = Operator.Name_;
    Request_.WithdrawalId_ = randomId();
    Request_.NowUnixUs_ = toUnixMicroseconds(Now);
  }

  TicketActionOutcome run() {
    std::optional<TicketActionOutcome> Outcome;
    while (!Outcome)
      Outcome = tryOnce();
    return *Outcome;
  }

private:
  std::optional<TicketActionOutcome> tryOnce();

  TicketAction Action_;
  std::uint64_t Number_;
  WithdrawalRequest Request_;
  std::optional<UncertainWrite> UncertainWrite_;
};

std::optional<TicketActionOutcome> Withdrawal::tryOnce() {
  if (Action_.expired())
    return finishWithError(UncertainWrite_, Number_, Action_.lastError());
  auto Answer = Action_.read({singleKeyRequest(ticketKey(Number_))});
  if (!Answer)
    return finishWithError(UncertainWrite_, Number_, Answer.error());
  if (Answer->Reads_[0].Values_.empty())
    return finishWithError(UncertainWrite_, Number_, notFiledError(Number_));
  const KeyValue &Stored = Answer->Reads_[0].Values_[0];
  auto Record = parseStoredRecord(Stored, Number_);
  if (!Record)
    return finishWithError(UncertainWrite_, Number_, Record.error());
  if (Record->WithdrawalId_ == Request_.WithdrawalId_ &&
      !mutationEnabled("desk-no-read-back"))
    return TicketActionAccepted{Number_, true};
  if (UncertainWrite_ &&
      UncertainWrite_->RecordRevision_ != Stored.ModRevision_)
    UncertainWrite_.reset();
  auto After = planWithdrawal(*Record, Request_);
  if (!After)
    return finishWithError(UncertainWrite_, Number_, After.error());
  Txn Request;
  if (!mutationEnabled("desk-skip-ticket-compare"))
    Request.Compares_ = {{ticketKey(Number_), Stored.ModRevision_}};
  Request.Puts_ = {Put{ticketKey(Number_), toJson(*After).dump(), 0}};
  switch (Action_.write(Request)) {
  case WriteOutcome::Applied:
    return TicketActionAccepted{Number_, false};
  case WriteOutcome::Mismatch:
    return std::nullopt;
  case WriteOutcome::Refused:
    return finishWithStoreRefusal(UncertainWrite_, Number_,
                                  Action_.lastError());
  case WriteOutcome::Unknown:
    UncertainWrite_ = UncertainWrite{Number_, 0, Stored.ModRevision_};
    break;
  case WriteOutcome::NotRun:
    break;
  }
  Action_.backOff();
  return std::nullopt;
}

} // namespace

TicketActionOutcome withdrawTicket(const TicketSession &Session,
                                   const TicketOperator &Operator,
                                   std::uint64_t Number, WallTime Now) {
  if (auto Failure =
          checkPermission(Operator, &OperatorEntry::MayFile_, "withdraw"))
    return notAccepted(Number, *Failure);
  return Withdrawal(Session, Operator, Number, Now).run();
}

} // namespace sycamore

// Files tickets under unused numbers.
#include "TicketActionContext.h"
#include "TicketMutations.h"
#include "sycamore/Signing.h"

#include <algorithm>

namespace sycamore {
namespace {

class Filing {
public:
  Filing(const TicketSession &Session, const TicketOperator &Operator,
         const Ticket &Change, WallTime Now)
      : Action_(Session), Change_(Change), ExplicitNumber_(Change.Number_) {
    Request_.Filer_ = Operator.Name_;
    Request_.FilingId_ = randomId();
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
  std::optional<TicketActionOutcome> createRecord(const HeadView &View);
  /// Handles a record that already exists under the number to file.
  std::optional<TicketActionOutcome>
  checkExistingRecord(const HeadView &View, const RangeResult &Found);
  std::optional<Error> checkNumberGap(std::uint64_t NextFree) const;
  /// A write with an unknown outcome is repeated under the same number.
  std::uint64_t numberToFile() const {
    return UncertainWrite_ ? UncertainWrite_->Number_ : ExplicitNumber_;
  }

  TicketAction Action_;
  Ticket Change_;
  std::uint64_t ExplicitNumber_; ///< 0 for the next free number.
  FilingRequest Request_;
  std::optional<UncertainWrite> UncertainWrite_;
};

std::optional<Error> Filing::checkNumberGap(std::uint64_t NextFree) const {
  if (ExplicitNumber_ <= NextFree + MaxNumberGap)
    return std::nullopt;
  return Error{ErrorKind::InvalidTicket,
               "number: " + std::to_string(ExplicitNumber_) + " is more than " +
                   std::to_string(MaxNumberGap) +
                   " above the next free number, " + std::to_string(NextFree),
               "leave the number out to take the next free one"};
}

std::optional<TicketActionOutcome>
Filing::checkExistingRecord(const HeadView &View, const RangeResult &Found) {
  std::uint64_t Number = numberToFile();
  if (Found.Values_.empty()) {
    if (UncertainWrite_ && UncertainWrite_->HeadRevision_ != View.HeadRevision_)
      UncertainWrite_.reset();
    return std::nullopt;
  }
  auto Record = parseStoredRecord(Found.Values_[0], Number);
  if (!Record)
    return finishWithError(UncertainWrite_, Number, Record.error());
  if (Record->FilingId_ == Request_.FilingId_ &&
      !mutationEnabled("desk-no-read-back"))
    return TicketActionAccepted{Number, true};
  UncertainWrite_.reset();
  if (ExplicitNumber_ == 0)
    return std::nullopt;
  return notAccepted(
      Number,
      Error{ErrorKind::Conflict,
            ticketName(Number) + " was already filed by " + Record->Filer_,
            "file it without a number, which takes the next "
            "free one"});
}

std::optional<TicketActionOutcome> Filing::createRecord(const HeadView &View) {
  auto Record = planFiling(View.Head_, View.Current_, Change_, Request_);
  if (!Record)
    return finishWithError(UncertainWrite_, Change_.Number_, Record.error());
  Txn Request;
  if (!mutationEnabled("desk-file-past-head"))
    Request.Compares_ = {{headKey(), View.HeadRevision_}};
  if (!mutationEnabled("desk-skip-absent-compare"))
    Request.Compares_.push_back({ticketKey(Change_.Number_), 0});
  Request.Puts_ = {Put{ticketKey(Change_.Number_), toJson(*Record).dump(), 0}};
  switch (Action_.write(Request)) {
  case WriteOutcome::Applied:
    return TicketActionAccepted{Change_.Number_, false};
  case WriteOutcome::Mismatch:
    return std::nullopt;
  case WriteOutcome::Refused:
    return finishWithStoreRefusal(UncertainWrite_, Change_.Number_,
                                  Action_.lastError());
  case WriteOutcome::Unknown:
    UncertainWrite_ = UncertainWrite{Change_.Number_, View.HeadRevision_, 0};
    break;
  case WriteOutcome::NotRun:
    break;
  }
  Action_.backOff();
  return std::nullopt;
}

std::optional<TicketActionOutcome> Filing::tryOnce() {
  if (Action_.expired())
    return finishWithError(UncertainWrite_, numberToFile(),
                           Action_.lastError());
  RangeRequest Newest{ticketKey(0),
                      prefixEnd(std::string(StoreKeyPrefix) + "tickets/")};
  Newest.Limit_ = 1;
  Newest.Descending_ = true;
  Newest.KeysOnly_ = true;
  std::vector<RangeRequest> ExtraReads = {Newest};
  if (numberToFile() != 0)
    ExtraReads.push_back(singleKeyRequest(ticketKey(numberToFile())));
  std::vector<RangeResult> ExtraResults;
  auto View = Action_.readHead(ExtraReads, &ExtraResults);
  if (!View)
    return finishWithError(UncertainWrite_, numberToFile(), View.error());
  if (ExtraReads.size() > 1)
    if (auto Outcome = checkExistingRecord(*View, ExtraResults[1]))
      return Outcome;
  std::uint64_t Highest = View->Head_.Number_;
  if (!ExtraResults[0].Values_.empty())
    Highest =
        std::max(Highest, ticketNumberOf(ExtraResults[0].Values_[0].Key_));
  if (auto Failure = checkNumberGap(Highest + 1))
    return finishWithError(UncertainWrite_, ExplicitNumber_, *Failure);
  Change_.Number_ = numberToFile() != 0 ? numberToFile() : Highest + 1;
  return createRecord(*View);
}

} // namespace

TicketActionOutcome fileTicket(const TicketSession &Session,
                               const TicketOperator &Operator,
                               const Ticket &Change, WallTime Now) {
  if (auto Failure =
          checkPermission(Operator, &OperatorEntry::MayFile_, "file"))
    return notAccepted(Change.Number_, *Failure);
  return Filing(Session, Operator, Change, Now).run();
}

} // namespace sycamore

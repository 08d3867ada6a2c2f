// Files tickets under unused numbers.
#include "DeskAction.h"
#include "TicketMutations.h"
#include "sycamore/Signing.h"

#include <algorithm>

namespace sycamore {
namespace {

class Filing {
public:
  Filing(const DeskSession &Session, const DeskOperator &Operator,
         const Ticket &Change, WallTime Now)
      : Action_(Session), Change_(Change), Explicit_(Change.Number_) {
    Request_.Filer_ = Operator.Name_;
    Request_.FilingId_ = randomId();
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
  std::optional<DeskOutcome> create(const HeadView &View);
  /// Handles a record that already exists under the number to file.
  std::optional<DeskOutcome> settle(const HeadView &View,
                                    const RangeResult &Found);
  std::optional<Error> checkGap(std::uint64_t NextFree) const;
  /// A write with an unknown outcome is repeated under the same number.
  std::uint64_t wanted() const {
    return Pending_ ? Pending_->Number_ : Explicit_;
  }

  DeskAction Action_;
  Ticket Change_;
  std::uint64_t Explicit_; ///< 0 for the next free number.
  FilingRequest Request_;
  std::optional<Doubt> Pending_;
};

std::optional<Error> Filing::checkGap(std::uint64_t NextFree) const {
  if (Explicit_ <= NextFree + MaxNumberGap)
    return std::nullopt;
  return Error{ErrorKind::InvalidTicket,
               "number: " + std::to_string(Explicit_) + " is more than " +
                   std::to_string(MaxNumberGap) +
                   " above the next free number, " + std::to_string(NextFree),
               "leave the number out to take the next free one"};
}

std::optional<DeskOutcome> Filing::settle(const HeadView &View,
                                          const RangeResult &Found) {
  std::uint64_t Number = wanted();
  if (Found.Values_.empty()) {
    if (Pending_ && Pending_->HeadRevision_ != View.HeadRevision_)
      Pending_.reset();
    return std::nullopt;
  }
  auto Record = parseRecordAt(Found.Values_[0], Number);
  if (!Record)
    return giveUp(Pending_, Number, Record.error());
  if (Record->FilingId_ == Request_.FilingId_ && !mutated("desk-no-read-back"))
    return DeskAccepted{Number, true};
  Pending_.reset();
  if (Explicit_ == 0)
    return std::nullopt;
  return refuse(Number, Error{ErrorKind::Conflict,
                              ticketName(Number) + " was already filed by " +
                                  Record->Filer_,
                              "file it without a number, which takes the next "
                              "free one"});
}

std::optional<DeskOutcome> Filing::create(const HeadView &View) {
  auto Record = planFiling(View.Head_, View.Current_, Change_, Request_);
  if (!Record)
    return giveUp(Pending_, Change_.Number_, Record.error());
  Txn Request;
  if (!mutated("desk-file-past-head"))
    Request.Compares_ = {{headKey(), View.HeadRevision_}};
  if (!mutated("desk-skip-absent-compare"))
    Request.Compares_.push_back({ticketKey(Change_.Number_), 0});
  Request.Puts_ = {Put{ticketKey(Change_.Number_), toJson(*Record).dump(), 0}};
  switch (Action_.write(Request)) {
  case WriteEnd::Applied:
    return DeskAccepted{Change_.Number_, false};
  case WriteEnd::Mismatch:
    return std::nullopt;
  case WriteEnd::Refused:
    return endRefused(Pending_, Change_.Number_, Action_.lastError());
  case WriteEnd::Maybe:
    Pending_ = Doubt{Change_.Number_, View.HeadRevision_, 0};
    break;
  case WriteEnd::NotRun:
    break;
  }
  Action_.backOff();
  return std::nullopt;
}

std::optional<DeskOutcome> Filing::step() {
  if (Action_.expired())
    return giveUp(Pending_, wanted(), Action_.lastError());
  RangeRequest Last{ticketKey(0),
                    prefixEnd(std::string(KeyPrefix) + "tickets/")};
  Last.Limit_ = 1;
  Last.Descending_ = true;
  Last.KeysOnly_ = true;
  std::vector<RangeRequest> Extra = {Last};
  if (wanted() != 0)
    Extra.push_back(oneKey(ticketKey(wanted())));
  std::vector<RangeResult> Answers;
  auto View = Action_.readHead(Extra, &Answers);
  if (!View)
    return giveUp(Pending_, wanted(), View.error());
  if (Extra.size() > 1)
    if (auto Outcome = settle(*View, Answers[1]))
      return Outcome;
  std::uint64_t Highest = View->Head_.Number_;
  if (!Answers[0].Values_.empty())
    Highest = std::max(Highest, ticketNumberOf(Answers[0].Values_[0].Key_));
  if (auto Failure = checkGap(Highest + 1))
    return giveUp(Pending_, Explicit_, *Failure);
  Change_.Number_ = wanted() != 0 ? wanted() : Highest + 1;
  return create(*View);
}

} // namespace

DeskOutcome fileTicket(const DeskSession &Session, const DeskOperator &Operator,
                       const Ticket &Change, WallTime Now) {
  if (auto Failure = checkRight(Operator, &OperatorEntry::MayFile_, "file"))
    return refuse(Change.Number_, *Failure);
  return Filing(Session, Operator, Change, Now).run();
}

} // namespace sycamore

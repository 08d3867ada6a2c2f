// Store calls of operator actions, with retries.
#include "DeskAction.h"

#include "TicketMutations.h"

#include <algorithm>
#include <charconv>

namespace sycamore {
namespace {

constexpr Duration FirstBackOff = milliseconds(50);
constexpr Duration MaxBackOff = seconds(1);
constexpr Duration MinCallDeadline = milliseconds(1);

/// Errors after which the store has not run the call and may run the next one.
bool isTransient(ErrorKind Kind) {
  return Kind == ErrorKind::Unavailable || Kind == ErrorKind::DeadlineExceeded;
}

/// Errors that repeating the same call cannot resolve.
bool isRefusal(ErrorKind Kind) {
  return Kind == ErrorKind::InvalidArgument || Kind == ErrorKind::TooLarge ||
         Kind == ErrorKind::PermissionDenied;
}

Error storeSilent(const Error &Last) {
  return Error{ErrorKind::Unavailable,
               "the store gave no valid answer before the deadline: " +
                   Last.Message_,
               "check that the store runs and try again, or allow more time "
               "with --timeout"};
}

Error storeRefused(const Error &Why) {
  return Error{Why.Kind_, "the store refused the write: " + Why.Message_,
               Why.Remedy_};
}

} // namespace

Duration DeskAction::callDeadline() const {
  Duration Left = End_ - Session_.Clock_();
  return std::clamp(Left, MinCallDeadline, Session_.Store_.Deadline_);
}

void DeskAction::backOff() {
  constexpr std::uint32_t MaxShift = 5;
  Duration Ceiling = std::min(
      MaxBackOff, FirstBackOff * (1U << std::min(Attempts_++, MaxShift)));
  if (mutated("desk-no-back-off"))
    Ceiling = milliseconds(1);
  auto Span = std::chrono::duration_cast<Duration>(
      Ceiling * (0.5 + 0.5 * randomUnit(Session_.Rng_)));
  Duration Left = End_ - Session_.Clock_();
  if (Left > Duration::zero())
    Session_.Wait_(std::min(Span, Left));
}

Result<TxnResult> DeskAction::read(const std::vector<RangeRequest> &Reads) {
  Txn Request;
  Request.Reads_ = Reads;
  while (!expired()) {
    StoreSession Call = Session_.Store_;
    Call.Deadline_ = callDeadline();
    auto Answer = Call.txn(Request);
    if (Answer && Answer->Reads_.size() == Reads.size())
      return Answer;
    if (!Answer && isRefusal(Answer.error().Kind_))
      return Answer;
    LastError_ = Answer ? Error{ErrorKind::InvalidData,
                                "the store returned too few results", ""}
                        : Answer.error();
    backOff();
  }
  return tl::unexpected<Error>(storeSilent(LastError_));
}

WriteEnd DeskAction::write(const Txn &Request) {
  StoreSession Call = Session_.Store_;
  Call.Deadline_ = callDeadline();
  auto Answer = Call.txn(Request);
  if (Answer)
    return Answer->Succeeded_ ? WriteEnd::Applied : WriteEnd::Mismatch;
  LastError_ = Answer.error();
  if (isTransient(LastError_.Kind_))
    return WriteEnd::NotRun;
  return isRefusal(LastError_.Kind_) ? WriteEnd::Refused : WriteEnd::Maybe;
}

Result<Snapshot> DeskAction::readBase(std::uint64_t Number) {
  if (Number == 0)
    return Snapshot{};
  if (Base_ && Base_->Number_ == Number)
    return *Base_;
  std::string Key = snapshotKey(Number);
  auto Answer = read({oneKey(Key)});
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->Reads_[0].Values_.empty())
    return fail(ErrorKind::NotFound, Key + ": the head's base is missing",
                "restore the snapshot from a backup of the store");
  JsonLimits Limits;
  Limits.MaxBytes_ = MaxStoreValueBytes;
  auto Document = parseJson(Answer->Reads_[0].Values_[0].Value_, Key, Limits);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  auto Parsed = parseSnapshot(*Document, Key);
  if (Parsed && Parsed->Number_ != Number)
    return fail(ErrorKind::InvalidData,
                Key + ": holds ticket " + std::to_string(Parsed->Number_),
                "restore the snapshot from a backup of the store");
  if (Parsed)
    Base_ = *Parsed;
  return Parsed;
}

Result<HeadView> DeskAction::readHead(const std::vector<RangeRequest> &Extra,
                                      std::vector<RangeResult> *Answers) {
  std::vector<RangeRequest> Reads = {oneKey(headKey())};
  Reads.insert(Reads.end(), Extra.begin(), Extra.end());
  std::optional<std::int64_t> MissingAt;
  for (;;) {
    auto Answer = read(Reads);
    if (!Answer)
      return tl::unexpected<Error>(Answer.error());
    HeadView Out;
    std::string_view Text;
    if (!Answer->Reads_[0].Values_.empty()) {
      Out.HeadRevision_ = Answer->Reads_[0].Values_[0].ModRevision_;
      Text = Answer->Reads_[0].Values_[0].Value_;
    }
    auto Parsed = parseHead(Text);
    if (!Parsed)
      return tl::unexpected<Error>(Parsed.error());
    Out.Head_ = std::move(*Parsed);
    auto Base = readBase(Out.Head_.BaseNumber_);
    // Two compactions after the head was read delete its base. The base is
    // known to be missing only if a second read returns the same head.
    if (!Base && Base.error().Kind_ == ErrorKind::NotFound &&
        MissingAt != Out.HeadRevision_) {
      MissingAt = Out.HeadRevision_;
      continue;
    }
    if (!Base)
      return tl::unexpected<Error>(Base.error());
    auto Current = resolveHead(Out.Head_, *Base);
    if (!Current)
      return tl::unexpected<Error>(Current.error());
    Out.Current_ = std::move(*Current);
    if (Answers)
      Answers->assign(Answer->Reads_.begin() + 1, Answer->Reads_.end());
    return Out;
  }
}

Result<TicketRecord> parseRecordAt(const KeyValue &Value,
                                   std::uint64_t Number) {
  auto Record = parseTicketRecord(Value.Value_, Value.Key_);
  if (Record && Record->Ticket_.Number_ != Number)
    return fail(ErrorKind::InvalidData,
                Value.Key_ + ": holds ticket " +
                    std::to_string(Record->Ticket_.Number_),
                "restore the record from a backup of the store");
  return Record;
}

RangeRequest oneKey(std::string Key) {
  RangeRequest Out;
  Out.Key_ = std::move(Key);
  return Out;
}

std::uint64_t ticketNumberOf(std::string_view Key) {
  std::string_view Digits = Key.substr(Key.rfind('/') + 1);
  std::uint64_t Number = 0;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Number);
  return Number;
}

std::string ticketName(std::uint64_t Number) {
  return "ticket " + std::to_string(Number);
}

std::int64_t unixMicroseconds(WallTime Now) {
  return Now.time_since_epoch().count();
}

DeskOutcome refuse(std::uint64_t Number, Error Why) {
  return DeskNotAccepted{Number, std::move(Why)};
}

DeskOutcome giveUp(const std::optional<Doubt> &Pending, std::uint64_t Number,
                   const Error &Why) {
  if (!Pending || mutated("desk-doubt-as-refusal"))
    return refuse(Number, Why);
  std::string Command =
      "sycamorectl ticket status " + std::to_string(Pending->Number_);
  return DeskUnknown{
      Pending->Number_,
      Error{ErrorKind::OutcomeUnknown,
            "the store's answer was lost and a later read did not determine "
            "the outcome: " +
                Why.Message_,
            "run `" + Command + "` once the store answers"},
      Command};
}

DeskOutcome endRefused(const std::optional<Doubt> &Pending,
                       std::uint64_t Number, const Error &Why) {
  return giveUp(Pending, Number, storeRefused(Why));
}

std::optional<Error> checkRight(const DeskOperator &Operator,
                                bool OperatorEntry::*Right,
                                std::string_view Action) {
  if (Operator.Operators_.empty())
    return std::nullopt;
  auto Found = std::find_if(
      Operator.Operators_.begin(), Operator.Operators_.end(),
      [&](const auto &Entry) { return Entry.Name_ == Operator.Name_; });
  if (Found != Operator.Operators_.end() && (*Found).*Right)
    return std::nullopt;
  return Error{ErrorKind::PermissionDenied,
               "operator \"" + Operator.Name_ + "\" may not " +
                   std::string(Action) + " tickets",
               "ask an operator whose entry under operators allows it"};
}

Error notFiled(std::uint64_t Number) {
  return Error{ErrorKind::NotFound,
               "ticket " + std::to_string(Number) + " is not filed",
               "see `sycamorectl ticket list`"};
}

} // namespace sycamore

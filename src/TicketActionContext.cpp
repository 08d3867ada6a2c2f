// Store calls of operator actions, with retries.
#include "TicketActionContext.h"

#include "TicketMutations.h"

#include <algorithm>
#include <charconv>

namespace sycamore {
namespace {

constexpr Duration InitialBackOff = milliseconds(50);
constexpr Duration MaxBackOff = seconds(1);
constexpr Duration MinCallTimeout = milliseconds(1);

/// Errors after which the store has not run the call and may run the next one.
bool isTransient(ErrorKind Kind) {
  return Kind == ErrorKind::Unavailable || Kind == ErrorKind::DeadlineExceeded;
}

/// Errors that repeating the same call cannot resolve.
bool isRefusal(ErrorKind Kind) {
  return Kind == ErrorKind::InvalidArgument || Kind == ErrorKind::TooLarge ||
         Kind == ErrorKind::PermissionDenied;
}

Error storeTimeoutError(const Error &LastFailure) {
  return Error{ErrorKind::Unavailable,
               "the store gave no valid answer before the deadline: " +
                   LastFailure.Message_,
               "check that the store runs and try again, or allow more time "
               "with --timeout"};
}

Error storeRefusalError(const Error &Reason) {
  return Error{Reason.Kind_, "the store refused the write: " + Reason.Message_,
               Reason.Remedy_};
}

} // namespace

Duration TicketAction::callTimeout() const {
  Duration Remaining = ExpiresAt_ - Session_.Clock_();
  return std::clamp(Remaining, MinCallTimeout, Session_.Store_.Deadline_);
}

void TicketAction::backOff() {
  constexpr std::uint32_t MaxShift = 5;
  Duration MaxDelay = std::min(
      MaxBackOff, InitialBackOff * (1U << std::min(Attempts_++, MaxShift)));
  if (mutationEnabled("desk-no-back-off"))
    MaxDelay = milliseconds(1);
  auto Delay = std::chrono::duration_cast<Duration>(
      MaxDelay * (0.5 + 0.5 * randomUnit(Session_.Rng_)));
  Duration Remaining = ExpiresAt_ - Session_.Clock_();
  if (Remaining > Duration::zero())
    Session_.Wait_(std::min(Delay, Remaining));
}

Result<TxnResult> TicketAction::read(const std::vector<RangeRequest> &Reads) {
  Txn Request;
  Request.Reads_ = Reads;
  while (!expired()) {
    BlockingStoreClient Call = Session_.Store_;
    Call.Deadline_ = callTimeout();
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
  return tl::unexpected<Error>(storeTimeoutError(LastError_));
}

WriteOutcome TicketAction::write(const Txn &Request) {
  BlockingStoreClient Call = Session_.Store_;
  Call.Deadline_ = callTimeout();
  auto Answer = Call.txn(Request);
  if (Answer)
    return Answer->Succeeded_ ? WriteOutcome::Applied : WriteOutcome::Mismatch;
  LastError_ = Answer.error();
  if (isTransient(LastError_.Kind_))
    return WriteOutcome::NotRun;
  return isRefusal(LastError_.Kind_) ? WriteOutcome::Refused
                                     : WriteOutcome::Unknown;
}

Result<Snapshot> TicketAction::readBase(std::uint64_t Number) {
  if (Number == 0)
    return Snapshot{};
  if (CachedBase_ && CachedBase_->Number_ == Number)
    return *CachedBase_;
  std::string Key = snapshotKey(Number);
  auto Answer = read({singleKeyRequest(Key)});
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
    CachedBase_ = *Parsed;
  return Parsed;
}

Result<HeadView>
TicketAction::readHead(const std::vector<RangeRequest> &ExtraReads,
                       std::vector<RangeResult> *ExtraResults) {
  std::vector<RangeRequest> Reads = {singleKeyRequest(headKey())};
  Reads.insert(Reads.end(), ExtraReads.begin(), ExtraReads.end());
  std::optional<std::int64_t> MissingBaseRevision;
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
        MissingBaseRevision != Out.HeadRevision_) {
      MissingBaseRevision = Out.HeadRevision_;
      continue;
    }
    if (!Base)
      return tl::unexpected<Error>(Base.error());
    auto Current = resolveHead(Out.Head_, *Base);
    if (!Current)
      return tl::unexpected<Error>(Current.error());
    Out.Current_ = std::move(*Current);
    if (ExtraResults)
      ExtraResults->assign(Answer->Reads_.begin() + 1, Answer->Reads_.end());
    return Out;
  }
}

Result<TicketRecord> parseStoredRecord(const KeyValue &Value,
                                       std::uint64_t Number) {
  auto Record = parseTicketRecord(Value.Value_, Value.Key_);
  if (Record && Record->Ticket_.Number_ != Number)
    return fail(ErrorKind::InvalidData,
                Value.Key_ + ": holds ticket " +
                    std::to_string(Record->Ticket_.Number_),
                "restore the record from a backup of the store");
  return Record;
}

RangeRequest singleKeyRequest(std::string Key) {
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

std::int64_t toUnixMicroseconds(WallTime Now) {
  return Now.time_since_epoch().count();
}

TicketActionOutcome notAccepted(std::uint64_t Number, Error Reason) {
  return TicketActionNotAccepted{Number, std::move(Reason)};
}

TicketActionOutcome
finishWithError(const std::optional<UncertainWrite> &Uncertain,
                std::uint64_t Number, const Error &Reason) {
  if (!Uncertain || mutationEnabled("desk-doubt-as-refusal"))
    return notAccepted(Number, Reason);
  std::string Command =
      "sycamorectl ticket status " + std::to_string(Uncertain->Number_);
  return TicketActionUnknown{
      Uncertain->Number_,
      Error{ErrorKind::OutcomeUnknown,
            "the store's answer was lost and a later read did not determine "
            "the outcome: " +
                Reason.Message_,
            "run `" + Command + "` once the store answers"},
      Command};
}

TicketActionOutcome
finishWithStoreRefusal(const std::optional<UncertainWrite> &Uncertain,
                       std::uint64_t Number, const Error &Reason) {
  return finishWithError(Uncertain, Number, storeRefusalError(Reason));
}

std::optional<Error> checkPermission(const TicketOperator &Operator,
                                     bool OperatorEntry::*Permission,
                                     std::string_view Action) {
  if (Operator.Operators_.empty())
    return std::nullopt;
  auto Found = std::find_if(
      Operator.Operators_.begin(), Operator.Operators_.end(),
      [&](const auto &Entry) { return Entry.Name_ == Operator.Name_; });
  if (Found != Operator.Operators_.end() && (*Found).*Permission)
    return std::nullopt;
  return Error{ErrorKind::PermissionDenied,
               "operator \"" + Operator.Name_ + "\" may not " +
                   std::string(Action) + " tickets",
               "ask an operator whose entry under operators allows it"};
}

Error notFiledError(std::uint64_t Number) {
  return Error{ErrorKind::NotFound,
               "ticket " + std::to_string(Number) + " is not filed",
               "see `sycamorectl ticket list`"};
}

} // namespace sycamore

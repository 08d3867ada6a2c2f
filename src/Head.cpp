// Encodes the head and ticket records, and plans filings, acceptances and
// withdrawals.
#include "sycamore/Head.h"

#include "TicketMutations.h"

#include <algorithm>
#include <array>

namespace sycamore {
namespace {

constexpr std::array<std::string_view, 3> StateNames = {"filed", "accepted",
                                                        "withdrawn"};

std::uint64_t readCount(ObjectReader &Reader, std::string_view Field) {
  std::uint64_t Value = 0;
  Reader.readUnsigned(Field, Value, 0, INT64_MAX);
  return Value;
}

std::string ticketName(std::uint64_t Number) {
  return "ticket " + std::to_string(Number);
}

/// The error of a ticket that cannot be accepted in its current state.
std::optional<Error> checkAcceptable(const Head &HeadBefore,
                                     const TicketRecord &Record,
                                     const AcceptanceRequest &Request) {
  std::uint64_t Number = Record.Ticket_.Number_;
  if (Record.State_ == TicketState::Withdrawn)
    return Error{ErrorKind::Conflict,
                 ticketName(Number) + " was withdrawn by " + Record.Approver_,
                 "file it again under a new number"};
  if (Record.State_ == TicketState::Accepted)
    return Error{ErrorKind::Conflict,
                 ticketName(Number) + " was already accepted by " +
                     Record.Approver_,
                 "nothing is left to do; see `sycamorectl ticket status`"};
  if (Number <= HeadBefore.Number_ && !mutationEnabled("head-allow-overtaken"))
    return Error{ErrorKind::Conflict,
                 ticketName(Number) + " was overtaken by " +
                     ticketName(HeadBefore.Number_) + ", which is in force",
                 "withdraw it and file it again under a new number"};
  if (Request.RequireSecondOperator_ && Request.Approver_ == Record.Filer_ &&
      !mutationEnabled("head-allow-own-approval"))
    return Error{ErrorKind::PermissionDenied,
                 ticketName(Number) + " was filed by " + Record.Filer_ +
                     ", who may not approve it",
                 "ask another operator to approve it"};
  return std::nullopt;
}

std::size_t recentBytes(std::span<const AcceptedTicket> Recent) {
  std::size_t Bytes = 0;
  for (const AcceptedTicket &Accepted : Recent)
    Bytes += toJson(Accepted).dump().size();
  return Bytes;
}

std::optional<Error> checkSize(const Put &Write) {
  if (Write.Value_.size() <= MaxStoreValueBytes ||
      mutationEnabled("head-skip-size-limit"))
    return std::nullopt;
  return Error{
      ErrorKind::TooLarge,
      Write.Key_ + " would hold " + std::to_string(Write.Value_.size()) +
          " bytes, the store takes " + std::to_string(MaxStoreValueBytes),
      "split the ticket or remove entities that are not needed"};
}

/// Builds the acceptance with its digests and signature.
AcceptedTicket makeAcceptance(const Snapshot &Current, const State &After,
                              const TicketRecord &Record,
                              const AcceptanceRequest &Request) {
  AcceptedTicket Out;
  Out.Ticket_ = Record.Ticket_;
  Out.Filer_ = Record.Filer_;
  Out.Approver_ = Request.Approver_;
  Out.AcceptanceId_ = Request.AcceptanceId_;
  Out.AcceptedUnixUs_ = Request.NowUnixUs_;
  Out.PreviousDigest_ = Current.Digest_;
  Out.StateDigest_ = stateDigest(After);
  Out.Digest_ = chainDigest(Out);
  if (Request.Sign_)
    Out.Signature_ = Request.Sign_(Out.Digest_);
  return Out;
}

/// Adds the acceptance to the head. If the recent tickets exceed
/// MaxRecentBytes, the current snapshot becomes the new base.
void extendHead(AcceptancePlan &Plan, const Head &HeadBefore,
                const Snapshot &Current) {
  const AcceptedTicket &Accepted = Plan.Accepted_;
  Plan.Head_ = HeadBefore;
  Plan.Head_.Number_ = Accepted.Ticket_.Number_;
  Plan.Head_.Digest_ = Accepted.Digest_;
  Plan.Head_.AcceptanceId_ = Accepted.AcceptanceId_;
  Plan.Head_.Recent_.push_back(Accepted);
  if (Plan.Head_.Recent_.size() == 1 ||
      recentBytes(Plan.Head_.Recent_) <= MaxRecentBytes)
    return;
  Plan.Snapshot_ = Put{snapshotKey(Current.Number_), toJson(Current).dump(), 0};
  Plan.Head_.BaseNumber_ = Current.Number_;
  Plan.Head_.Recent_ = {Accepted};
}

/// Detects inconsistent heads, which this program never writes.
void checkHead(const Head &Value, std::vector<std::string> &Problems) {
  std::uint64_t Previous = Value.BaseNumber_;
  for (const AcceptedTicket &Accepted : Value.Recent_) {
    if (Accepted.Ticket_.Number_ <= Previous)
      Problems.push_back("recent: " + ticketName(Accepted.Ticket_.Number_) +
                         " does not follow " + ticketName(Previous));
    Previous = Accepted.Ticket_.Number_;
  }
  const AcceptedTicket &Last = Value.Recent_.back();
  if (Last.Ticket_.Number_ != Value.Number_ || Last.Digest_ != Value.Digest_ ||
      Last.AcceptanceId_ != Value.AcceptanceId_)
    Problems.push_back("number, digest or acceptance_id differs from the last "
                       "recent ticket, " +
                       ticketName(Last.Ticket_.Number_));
}

constexpr std::string_view HeadRemedy =
    "compare the store's head with its backups";

/// The state after the ticket is applied; InvalidTicket if two of its routes
/// match the same requests.
Result<State> applyWithoutDuplicates(const State &Before,
                                     const Ticket &Change) {
  auto After = applyToState(Before, Change);
  if (!After)
    return After;
  if (auto Failure = problemsToError(
          ErrorKind::InvalidTicket, ticketName(Change.Number_),
          duplicateRoutes(*After), "change or remove one route of each pair"))
    return tl::unexpected<Error>(*Failure);
  return After;
}

bool haveCommonMethod(const Route &Left, const Route &Right) {
  // A route for every method has lower precedence than one that lists the
  // method, so the two do not compete.
  if (Left.Methods_.empty() || Right.Methods_.empty())
    return Left.Methods_.empty() && Right.Methods_.empty();
  return std::any_of(Left.Methods_.begin(), Left.Methods_.end(),
                     [&](const std::string &Method) {
                       return std::find(Right.Methods_.begin(),
                                        Right.Methods_.end(),
                                        Method) != Right.Methods_.end();
                     });
}

/// The base snapshot that a later compaction would write: the complete state
/// must fit into one value of the store.
Put snapshotAfter(const AcceptedTicket &Accepted, State After) {
  Snapshot Next;
  Next.State_ = std::move(After);
  Next.LastAcceptance_ = Accepted;
  return Put{snapshotKey(Accepted.Ticket_.Number_), toJson(Next).dump(), 0};
}

} // namespace

std::string_view ticketStateName(TicketState Value) {
  return StateNames[static_cast<std::size_t>(Value)];
}

Json toJson(const Head &Value) {
  Json Recent = Json::array();
  for (const AcceptedTicket &Accepted : Value.Recent_)
    Recent.push_back(toJson(Accepted));
  return {{"number", Value.Number_},
          {"digest", Value.Digest_},
          {"acceptance_id", Value.AcceptanceId_},
          {"base_number", Value.BaseNumber_},
          {"recent", Recent}};
}

Result<Head> parseHead(std::string_view Text) {
  Head Out;
  if (Text.empty())
    return Out;
  JsonLimits Limits;
  Limits.MaxBytes_ = MaxStoreValueBytes;
  auto Document = parseJson(Text, "head", Limits);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  std::vector<std::string> Problems;
  ObjectReader Reader(*Document, "", Problems);
  Out.Number_ = readCount(Reader, "number");
  Reader.readString("digest", Out.Digest_);
  Reader.readString("acceptance_id", Out.AcceptanceId_);
  Out.BaseNumber_ = readCount(Reader, "base_number");
  const Json *Recent = Reader.find("recent");
  if (!Recent || !Recent->is_array() || Recent->empty())
    Reader.reportProblem("recent", "is not an array of accepted tickets");
  Reader.reportUnknownFields();
  if (auto Failure = problemsToError(ErrorKind::InvalidData, "head", Problems,
                                     std::string(HeadRemedy)))
    return tl::unexpected<Error>(*Failure);
  for (const Json &Item : *Recent) {
    auto Accepted = parseAcceptedTicket(
        Item, "head: recent[" + std::to_string(Out.Recent_.size()) + "]");
    if (!Accepted)
      return tl::unexpected<Error>(Accepted.error());
    Out.Recent_.push_back(std::move(*Accepted));
  }
  checkHead(Out, Problems);
  if (auto Failure = problemsToError(ErrorKind::InvalidData, "head", Problems,
                                     std::string(HeadRemedy)))
    return tl::unexpected<Error>(*Failure);
  return Out;
}

Result<Snapshot> resolveHead(const Head &Value, const Snapshot &Base) {
  auto First = std::find_if(Value.Recent_.begin(), Value.Recent_.end(),
                            [&](const AcceptedTicket &Accepted) {
                              return Accepted.Ticket_.Number_ > Base.Number_;
                            });
  auto Applied = applyTickets(Base, std::span(First, Value.Recent_.end()));
  if (!Applied)
    return Applied;
  const Snapshot &Current = *Applied;
  if (Current.Number_ != Value.Number_ || Current.Digest_ != Value.Digest_)
    return fail(ErrorKind::InvalidData,
                "the head names " + ticketName(Value.Number_) +
                    " but its tickets lead to " + ticketName(Current.Number_),
                "read the head and its base snapshot again");
  return Applied;
}

Json toJson(const TicketRecord &Value) {
  return {{"state", ticketStateName(Value.State_)},
          {"ticket", toJson(Value.Ticket_)},
          {"filer", Value.Filer_},
          {"filing_id", Value.FilingId_},
          {"filed_unix_us", Value.FiledUnixUs_},
          {"approver", Value.Approver_},
          {"acceptance_id", Value.AcceptanceId_},
          {"withdrawal_id", Value.WithdrawalId_},
          {"decided_unix_us", Value.DecidedUnixUs_}};
}

Result<TicketRecord> parseTicketRecord(std::string_view Text,
                                       std::string_view Source) {
  JsonLimits Limits;
  Limits.MaxBytes_ = MaxStoreValueBytes;
  auto Document = parseJson(Text, Source, Limits);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  TicketRecord Out;
  std::vector<std::string> Problems;
  ObjectReader Reader(*Document, "", Problems);
  std::string State;
  Reader.readString("state", State);
  auto Found = std::find(StateNames.begin(), StateNames.end(), State);
  if (Found == StateNames.end())
    Reader.reportProblem("state", "is not filed, accepted or withdrawn");
  else
    Out.State_ = static_cast<TicketState>(Found - StateNames.begin());
  Reader.readString("filer", Out.Filer_);
  Reader.readString("filing_id", Out.FilingId_);
  Reader.readString("withdrawal_id", Out.WithdrawalId_);
  Out.FiledUnixUs_ =
      static_cast<std::int64_t>(readCount(Reader, "filed_unix_us"));
  Reader.readString("approver", Out.Approver_);
  Reader.readString("acceptance_id", Out.AcceptanceId_);
  Out.DecidedUnixUs_ =
      static_cast<std::int64_t>(readCount(Reader, "decided_unix_us"));
  const Json *TicketDocument =
      Reader.require("ticket") ? Reader.find("ticket") : nullptr;
  Reader.reportUnknownFields();
  if (auto Failure = problemsToError(ErrorKind::InvalidData, Source, Problems,
                                     "restore the record from a backup"))
    return tl::unexpected<Error>(*Failure);
  auto Parsed = parseTicket(*TicketDocument, std::string(Source) + ": ticket");
  if (!Parsed)
    return tl::unexpected<Error>(Parsed.error());
  Out.Ticket_ = std::move(*Parsed);
  return Out;
}

Result<AcceptancePlan> planAcceptance(const Head &HeadBefore,
                                      const Snapshot &Current,
                                      const TicketRecord &Record,
                                      const AcceptanceRequest &Request) {
  if (auto Failure = checkAcceptable(HeadBefore, Record, Request))
    return tl::unexpected<Error>(*Failure);
  auto After = applyWithoutDuplicates(Current.State_, Record.Ticket_);
  if (!After)
    return tl::unexpected<Error>(After.error());

  AcceptancePlan Plan;
  Plan.Accepted_ = makeAcceptance(Current, *After, Record, Request);
  extendHead(Plan, HeadBefore, Current);

  TicketRecord AcceptedRecord = Record;
  AcceptedRecord.State_ = TicketState::Accepted;
  AcceptedRecord.Approver_ = Request.Approver_;
  AcceptedRecord.AcceptanceId_ = Request.AcceptanceId_;
  AcceptedRecord.DecidedUnixUs_ = Request.NowUnixUs_;
  Plan.Puts_ = {Put{headKey(), toJson(Plan.Head_).dump(), 0},
                Put{ticketKey(AcceptedRecord.Ticket_.Number_),
                    toJson(AcceptedRecord).dump(), 0}};

  std::vector<Put> Writes = Plan.Puts_;
  if (Plan.Snapshot_)
    Writes.push_back(*Plan.Snapshot_);
  Writes.push_back(snapshotAfter(Plan.Accepted_, std::move(*After)));
  for (const Put &Write : Writes)
    if (auto Failure = checkSize(Write))
      return tl::unexpected<Error>(*Failure);
  return Plan;
}

Result<TicketRecord> planFiling(const Head &HeadBefore, const Snapshot &Current,
                                const Ticket &Change,
                                const FilingRequest &Request) {
  if (Change.Number_ <= HeadBefore.Number_)
    return fail(ErrorKind::Conflict,
                ticketName(Change.Number_) + " is not above " +
                    ticketName(HeadBefore.Number_) + ", which is in force",
                "file it without a number, which takes the next free one");
  TicketRecord Out;
  Out.Ticket_ = Change;
  Out.Filer_ = Request.Filer_;
  Out.FilingId_ = Request.FilingId_;
  Out.FiledUnixUs_ = Request.NowUnixUs_;
  // A trial acceptance finds the reasons for which an approval would be refused
  // now. The approver's name has the maximum length, and id and signature have
  // their usual lengths.
  AcceptanceRequest TrialRequest;
  TrialRequest.Approver_ = std::string(MaxNameBytes, 'x');
  TrialRequest.AcceptanceId_ = Request.FilingId_;
  TrialRequest.NowUnixUs_ = Request.NowUnixUs_;
  TrialRequest.Sign_ = [](std::string_view Digest) {
    return std::string(Digest) + std::string(Digest);
  };
  auto Plan = planAcceptance(HeadBefore, Current, Out, TrialRequest);
  if (!Plan)
    return tl::unexpected<Error>(Plan.error());
  return Out;
}

Result<TicketRecord> planWithdrawal(const TicketRecord &Record,
                                    const WithdrawalRequest &Request) {
  std::string Name = ticketName(Record.Ticket_.Number_);
  if (Record.State_ == TicketState::Accepted)
    return fail(ErrorKind::Conflict,
                Name + " was already accepted by " + Record.Approver_,
                "file a new ticket with the old content to revert it");
  if (Record.State_ == TicketState::Withdrawn)
    return fail(ErrorKind::Conflict,
                Name + " was already withdrawn by " + Record.Approver_,
                "nothing is left to do");
  TicketRecord Out = Record;
  Out.State_ = TicketState::Withdrawn;
  Out.Approver_ = Request.Operator_;
  Out.WithdrawalId_ = Request.WithdrawalId_;
  Out.DecidedUnixUs_ = Request.NowUnixUs_;
  return Out;
}

std::vector<std::string> duplicateRoutes(const State &Value) {
  using MatchKey = std::pair<std::string_view, std::string_view>;
  std::map<MatchKey, std::vector<const std::string *>> RoutesByMatch;
  std::vector<std::string> Problems;
  for (const auto &[Name, Entity] : Value.Routes_) {
    auto &Others = RoutesByMatch[{Entity.Host_, Entity.PathPrefix_}];
    for (const std::string *Other : Others)
      if (haveCommonMethod(Entity, Value.Routes_.at(*Other)))
        Problems.push_back("routes." + Name +
                           ": matches the same requests as routes." + *Other);
    Others.push_back(&Name);
  }
  return Problems;
}

} // namespace sycamore

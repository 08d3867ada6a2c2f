// Queries of operators: tickets, their status and their differences from the
// state in force.
#include "TicketActionContext.h"

#include <algorithm>
#include <array>

namespace sycamore {
namespace {

constexpr std::array<std::string_view, 6> StandingNames = {
    "not filed", "filed", "overtaken", "withdrawn", "in force", "superseded"};

template <typename T>
void appendEntityChanges(const std::map<std::string, T> &Current,
                         const Changes<T> &Change, std::string_view Kind,
                         std::vector<EntityChange> &Out) {
  for (const auto &[Name, NewState] : Change) {
    auto Found = Current.find(Name);
    EntityChange Entry;
    Entry.Path_ = std::string(Kind) + "." + Name;
    if (Found != Current.end())
      Entry.Before_ = toJson(Found->second);
    if (NewState)
      Entry.After_ = toJson(*NewState);
    Out.push_back(std::move(Entry));
  }
}

TicketStanding standingOf(const std::optional<TicketRecord> &Record,
                          const Head &Current) {
  if (!Record)
    return TicketStanding::NotFiled;
  std::uint64_t Number = Record->Ticket_.Number_;
  switch (Record->State_) {
  case TicketState::Withdrawn:
    return TicketStanding::Withdrawn;
  case TicketState::Accepted:
    return Number == Current.Number_ ? TicketStanding::InForce
                                     : TicketStanding::Superseded;
  case TicketState::Filed:
    break;
  }
  return Number > Current.Number_ ? TicketStanding::Filed
                                  : TicketStanding::Overtaken;
}

} // namespace

std::string_view ticketStandingName(TicketStanding Value) {
  return StandingNames[static_cast<std::size_t>(Value)];
}

std::vector<EntityChange> changesAgainst(const State &Current,
                                         const Ticket &Change) {
  std::vector<EntityChange> Out;
  appendEntityChanges(Current.Routes_, Change.Routes_, "routes", Out);
  appendEntityChanges(Current.Services_, Change.Services_, "services", Out);
  appendEntityChanges(Current.Targets_, Change.Targets_, "targets", Out);
  appendEntityChanges(Current.Tenants_, Change.Tenants_, "tenants", Out);
  return Out;
}

Result<HeadView> readHead(const TicketSession &Session) {
  return TicketAction(Session).readHead();
}

Result<TicketRecord> showTicket(const TicketSession &Session,
                                std::uint64_t Number) {
  auto Answer =
      TicketAction(Session).read({singleKeyRequest(ticketKey(Number))});
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->Reads_[0].Values_.empty())
    return tl::unexpected<Error>(notFiledError(Number));
  return parseStoredRecord(Answer->Reads_[0].Values_[0], Number);
}

Result<std::vector<TicketRecord>> listTickets(const TicketSession &Session,
                                              std::uint64_t Limit,
                                              std::uint64_t Before) {
  RangeRequest Request{
      ticketKey(0), Before != 0
                        ? ticketKey(Before)
                        : prefixEnd(std::string(StoreKeyPrefix) + "tickets/")};
  Request.Limit_ = static_cast<std::int64_t>(Limit);
  Request.Descending_ = true;
  auto Answer = TicketAction(Session).read({Request});
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  std::vector<TicketRecord> Out;
  for (const KeyValue &Value : Answer->Reads_[0].Values_) {
    auto Record = parseStoredRecord(Value, ticketNumberOf(Value.Key_));
    if (!Record)
      return tl::unexpected<Error>(Record.error());
    Out.push_back(std::move(*Record));
  }
  return Out;
}

Result<TicketStatus> ticketStatus(const TicketSession &Session,
                                  std::uint64_t Number) {
  auto Answer = TicketAction(Session).read(
      {singleKeyRequest(headKey()), singleKeyRequest(ticketKey(Number))});
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  const auto &HeadValues = Answer->Reads_[0].Values_;
  auto Current = parseHead(HeadValues.empty() ? "" : HeadValues[0].Value_);
  if (!Current)
    return tl::unexpected<Error>(Current.error());
  TicketStatus Out;
  Out.Number_ = Number;
  Out.HeadNumber_ = Current->Number_;
  if (!Answer->Reads_[1].Values_.empty()) {
    auto Record = parseStoredRecord(Answer->Reads_[1].Values_[0], Number);
    if (!Record)
      return tl::unexpected<Error>(Record.error());
    Out.Record_ = std::move(*Record);
  }
  Out.Standing_ = standingOf(Out.Record_, *Current);
  return Out;
}

Result<TicketDiff> diffTicket(const TicketSession &Session,
                              std::uint64_t Number) {
  TicketAction Action(Session);
  std::vector<RangeResult> ExtraResults;
  auto View =
      Action.readHead({singleKeyRequest(ticketKey(Number))}, &ExtraResults);
  if (!View)
    return tl::unexpected<Error>(View.error());
  if (ExtraResults[0].Values_.empty())
    return tl::unexpected<Error>(notFiledError(Number));
  auto Record = parseStoredRecord(ExtraResults[0].Values_[0], Number);
  if (!Record)
    return tl::unexpected<Error>(Record.error());
  TicketDiff Out;
  Out.HeadNumber_ = View->Head_.Number_;
  Out.Record_ = std::move(*Record);
  Out.Changes_ = changesAgainst(View->Current_.State_, Out.Record_.Ticket_);
  std::erase_if(Out.Changes_, [](const EntityChange &Change) {
    return Change.Before_ == Change.After_;
  });
  auto After = applyToState(View->Current_.State_, Out.Record_.Ticket_);
  if (!After && Out.Record_.State_ == TicketState::Filed)
    Out.Problem_ = After.error();
  return Out;
}

} // namespace sycamore

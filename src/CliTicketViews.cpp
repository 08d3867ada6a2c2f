// Commands that show tickets.
#include "CliOutput.h"
#include "CliTickets.h"

#include <ostream>

namespace sycamore {
namespace {

/// Longest title in a table, in bytes.
constexpr std::size_t MaxTitleBytes = 60;

std::string valueOrDash(const std::string &Text) {
  return Text.empty() ? "-" : toPrintable(Text);
}

std::string truncateTitle(const std::string &Title) {
  std::string Out = toPrintable(Title);
  if (Out.size() <= MaxTitleBytes)
    return valueOrDash(Out);
  std::size_t End = MaxTitleBytes;
  while (End > 0 && (static_cast<unsigned char>(Out[End]) & 0xC0U) == 0x80U)
    --End;
  return Out.substr(0, End) + "...";
}

void printRecord(std::ostream &Out, const TicketRecord &Record) {
  std::vector<std::vector<std::string>> Rows = {
      {"number:", std::to_string(Record.Ticket_.Number_)},
      {"state:", std::string(ticketStateName(Record.State_))},
      {"title:", valueOrDash(Record.Ticket_.Title_)},
      {"author:", valueOrDash(Record.Ticket_.Author_)},
      {"filed:",
       formatTime(Record.FiledUnixUs_) + " by " + valueOrDash(Record.Filer_)}};
  if (Record.State_ != TicketState::Filed)
    Rows.push_back({std::string(ticketStateName(Record.State_)) + ":",
                    formatTime(Record.DecidedUnixUs_) + " by " +
                        valueOrDash(Record.Approver_)});
  Out << formatTable(Rows);
}

/// Servers of the fleet, those that run a ticket at or above a number, and
/// those that rejected the ticket of that number.
struct FleetProgress {
  std::uint64_t Servers_ = 0;
  std::uint64_t Reached_ = 0;
  std::uint64_t Rejected_ = 0;
};

Result<FleetProgress> fetchFleetProgress(const CliRun &Run,
                                         const OperatorSettings &Settings,
                                         std::uint64_t Number) {
  auto Document = getFromDaemon(Run, Settings, "/fleet");
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  FleetProgress Out;
  const Json Servers = Document->is_object()
                           ? Document->value("servers", Json::array())
                           : Json::array();
  for (const Json &Server : Servers) {
    std::vector<std::string> Problems;
    ObjectReader Reader(Server, "servers", Problems);
    std::uint64_t Ticket = 0;
    std::uint64_t Rejected = 0;
    Reader.readUnsigned("ticket", Ticket, 0, INT64_MAX);
    Reader.readUnsigned("rejected_ticket", Rejected, 0, INT64_MAX);
    ++Out.Servers_;
    Out.Reached_ += Ticket >= Number ? 1 : 0;
    Out.Rejected_ += Rejected == Number ? 1 : 0;
  }
  return Out;
}

bool wasAccepted(TicketStanding Standing) {
  return Standing == TicketStanding::InForce ||
         Standing == TicketStanding::Superseded;
}

void printFleetLine(std::ostream &Out, const Result<FleetProgress> &Fleet,
                    std::uint64_t Number) {
  if (!Fleet) {
    Out << "fleet: unknown, " << toPrintable(Fleet.error().Message_) << '\n';
    return;
  }
  Out << "fleet: " << Fleet->Reached_ << " of " << Fleet->Servers_
      << " servers run ticket " << Number << " or a later one";
  if (Fleet->Rejected_ > 0)
    Out << ", " << Fleet->Rejected_ << " rejected it";
  Out << '\n';
}

Json statusToJson(const TicketStatus &Status,
                  const std::optional<Result<FleetProgress>> &Fleet) {
  Json Out = {{"number", Status.Number_},
              {"standing", ticketStandingName(Status.Standing_)},
              {"accepted", wasAccepted(Status.Standing_)},
              {"head_number", Status.HeadNumber_}};
  if (Status.Record_)
    Out["record"] = toJson(*Status.Record_);
  if (Fleet && Fleet->has_value())
    Out["fleet"] = {{"servers", (*Fleet)->Servers_},
                    {"reached", (*Fleet)->Reached_},
                    {"rejected", (*Fleet)->Rejected_}};
  else if (Fleet)
    Out["fleet"] = {{"error", errorToJson(Fleet->error())}};
  return Out;
}

std::string_view standingDescription(TicketStanding Standing) {
  switch (Standing) {
  case TicketStanding::NotFiled:
    return "no ticket has this number";
  case TicketStanding::Filed:
    return "it can be approved";
  case TicketStanding::Overtaken:
    return "a later ticket is in force; withdraw this one and file it again";
  case TicketStanding::Withdrawn:
    return "it will never be accepted";
  case TicketStanding::InForce:
    return "it is the last accepted ticket";
  case TicketStanding::Superseded:
    return "it was accepted, and later tickets are in force on top of it";
  }
  return "";
}

void printChange(std::ostream &Out, const EntityChange &Change) {
  auto Text = [](const Json &Value) { return toPrintable(Value.dump()); };
  if (Change.Before_.is_null()) {
    Out << "+ " << Change.Path_ << ' ' << Text(Change.After_) << '\n';
    return;
  }
  if (Change.After_.is_null()) {
    Out << "- " << Change.Path_ << ' ' << Text(Change.Before_) << '\n';
    return;
  }
  Out << "~ " << Change.Path_ << '\n';
  Json Fields = Change.Before_;
  Fields.update(Change.After_);
  for (const auto &[Name, Unused] : Fields.items()) {
    Json Before = Change.Before_.value(Name, Json());
    Json After = Change.After_.value(Name, Json());
    if (Before != After)
      Out << "    " << Name << ": " << Text(Before) << " -> " << Text(After)
          << '\n';
  }
}

Json diffToJson(const TicketDiff &Diff) {
  Json Changes = Json::array();
  for (const EntityChange &Change : Diff.Changes_)
    Changes.push_back({{"path", Change.Path_},
                       {"before", Change.Before_},
                       {"after", Change.After_}});
  Json Out = {{"number", Diff.Record_.Ticket_.Number_},
              {"state", ticketStateName(Diff.Record_.State_)},
              {"head_number", Diff.HeadNumber_},
              {"changes", Changes}};
  if (Diff.Problem_)
    Out["problem"] = errorToJson(*Diff.Problem_);
  return Out;
}

/// Parses the ticket number on the command line, connects to the store and
/// calls Callback with both.
template <typename Function>
ExitCode withTicketNumber(const CliRun &Run, Function Callback) {
  auto Number = parseTicketNumber(Run.Operands_[0]);
  if (!Number)
    return reportError(Run, Number.error());
  auto Context = openTicketContext(Run);
  if (!Context)
    return reportError(Run, Context.error());
  return Callback(*Context, *Number);
}

} // namespace

ExitCode runTicketShow(const CliRun &Run) {
  return withTicketNumber(Run,
                          [&](TicketContext &Context, std::uint64_t Number) {
                            auto Record = showTicket(Context.session(), Number);
                            if (!Record)
                              return reportError(Run, Record.error());
                            if (Run.Options_.Json_) {
                              printJson(Run, toJson(*Record));
                              return ExitCode::Success;
                            }
                            printRecord(Run.Environment_.Out_, *Record);
                            Run.Environment_.Out_ << '\n';
                            printJson(Run, toJson(Record->Ticket_));
                            return ExitCode::Success;
                          });
}

ExitCode runTicketList(const CliRun &Run) {
  auto Context = openTicketContext(Run);
  if (!Context)
    return reportError(Run, Context.error());
  auto Records = listTickets(Context->session(), Run.Options_.Limit_,
                             Run.Options_.Before_);
  if (!Records)
    return reportError(Run, Records.error());
  if (Run.Options_.Json_) {
    Json Tickets = Json::array();
    for (const TicketRecord &Record : *Records)
      Tickets.push_back(toJson(Record));
    printJson(Run, {{"tickets", Tickets}});
    return ExitCode::Success;
  }
  std::vector<std::vector<std::string>> Rows = {
      {"NUMBER", "STATE", "FILED", "FILER", "DECIDED", "DECIDED BY", "TITLE"}};
  for (const TicketRecord &Record : *Records)
    Rows.push_back({std::to_string(Record.Ticket_.Number_),
                    std::string(ticketStateName(Record.State_)),
                    formatTime(Record.FiledUnixUs_), valueOrDash(Record.Filer_),
                    formatTime(Record.DecidedUnixUs_),
                    valueOrDash(Record.Approver_),
                    truncateTitle(Record.Ticket_.Title_)});
  Run.Environment_.Out_ << formatTable(Rows);
  return ExitCode::Success;
}

ExitCode runTicketStatus(const CliRun &Run) {
  return withTicketNumber(Run, [&](TicketContext &Context,
                                   std::uint64_t Number) {
    auto Status = ticketStatus(Context.session(), Number);
    if (!Status)
      return reportError(Run, Status.error());
    std::optional<Result<FleetProgress>> Fleet;
    if (wasAccepted(Status->Standing_) && !Context.Settings_.Daemon_.empty())
      Fleet = fetchFleetProgress(Run, Context.Settings_, Number);
    if (Run.Options_.Json_) {
      printJson(Run, statusToJson(*Status, Fleet));
    } else {
      std::ostream &Out = Run.Environment_.Out_;
      Out << "ticket " << Number << ": "
          << ticketStandingName(Status->Standing_) << " ("
          << standingDescription(Status->Standing_) << ")\n"
          << "head: ticket " << Status->HeadNumber_ << '\n';
      if (Fleet)
        printFleetLine(Out, *Fleet, Number);
    }
    return wasAccepted(Status->Standing_) ? ExitCode::Success
                                          : ExitCode::NotAccepted;
  });
}

ExitCode runTicketDiff(const CliRun &Run) {
  return withTicketNumber(
      Run, [&](TicketContext &Context, std::uint64_t Number) {
        auto Diff = diffTicket(Context.session(), Number);
        if (!Diff)
          return reportError(Run, Diff.error());
        std::ostream &Out = Run.Environment_.Out_;
        if (Run.Options_.Json_) {
          printJson(Run, diffToJson(*Diff));
        } else {
          Out << "ticket " << Number << " ("
              << ticketStateName(Diff->Record_.State_) << ") against ticket "
              << Diff->HeadNumber_ << ", which is in force\n";
          for (const EntityChange &Change : Diff->Changes_)
            printChange(Out, Change);
          if (Diff->Changes_.empty())
            Out << "no differences\n";
          if (Diff->Problem_)
            Out << "cannot be approved: "
                << toPrintable(describe(*Diff->Problem_), true) << '\n';
        }
        return Diff->Problem_ ? ExitCode::NotAccepted : ExitCode::Success;
      });
}

} // namespace sycamore

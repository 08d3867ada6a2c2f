// Commands that change tickets.
#include "CliTickets.h"
#include "CliOutput.h"
#include "TicketMutations.h"

#include "sycamore/Signing.h"

#include <fstream>
#include <iostream>

namespace sycamore {
namespace {

Result<std::string> readTicketFile(const std::string &Path) {
  std::string Text(MaxTicketBytes + 1, '\0');
  auto Read = [&](std::istream &Input) {
    Input.read(Text.data(), static_cast<std::streamsize>(Text.size()));
    Text.resize(static_cast<std::size_t>(Input.gcount()));
  };
  if (Path == "-") {
    Read(std::cin);
    return Text;
  }
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return fail(ErrorKind::InvalidArgument, Path + ": cannot be opened",
                "check the path and its permissions");
  Read(File);
  return Text;
}

/// Every failure to read a ticket file is bad input.
Result<Ticket> readTicket(const std::string &Path) {
  return readTicketFile(Path)
      .and_then(
          [&](const std::string &Text) { return parseTicketText(Text, Path); })
      .and_then([&](const Ticket &Parsed) -> Result<Ticket> {
        if (auto Failure = problemsToError(
                ErrorKind::InvalidTicket, Path, lintTicket(Parsed),
                "correct these fields and run `sycamorectl ticket lint` again"))
          return tl::unexpected<Error>(*Failure);
        return Parsed;
      });
}

ExitCode refusalExitCode(const TicketActionNotAccepted &Outcome, bool Filing) {
  ErrorKind Kind = Outcome.Reason_.Kind_;
  // Only filing reads the ticket from the operator's file. Other actions read
  // it from the store, where an invalid ticket is not the operator's input.
  if (!Filing &&
      (Kind == ErrorKind::InvalidTicket || Kind == ErrorKind::TooLarge))
    return ExitCode::NotAccepted;
  return exitCodeOf(Kind);
}

ExitCode reportAccepted(const CliRun &Run, const TicketActionAccepted &Outcome,
                        std::string_view ActionName) {
  if (Run.Options_.Json_) {
    printJson(Run, {{"outcome", "accepted"},
                    {"action", ActionName},
                    {"number", Outcome.Number_},
                    {"found_by_reading", Outcome.FoundByReading_}});
    return ExitCode::Success;
  }
  Run.Environment_.Out_ << "ticket " << Outcome.Number_ << ' ' << ActionName;
  if (Outcome.FoundByReading_)
    Run.Environment_.Out_
        << " (the store's answer was lost; reading back shows "
           "that the change took effect)";
  Run.Environment_.Out_ << '\n';
  return ExitCode::Success;
}

ExitCode reportFailure(const CliRun &Run, std::string_view Outcome,
                       const Error &Why, Json Document, ExitCode Code) {
  if (Run.Options_.Json_) {
    Document["outcome"] = Outcome;
    Document["error"] = errorToJson(Why);
    printJson(Run, Document);
  } else {
    Run.Environment_.Err_ << "sycamorectl: " << Outcome << ": "
                          << toPrintable(describe(Why), true) << '\n';
  }
  return Code;
}

ExitCode reportOutcome(const CliRun &Run, const TicketActionOutcome &Outcome,
                       std::string_view ActionName, bool Filing) {
  if (const auto *Accepted = std::get_if<TicketActionAccepted>(&Outcome))
    return reportAccepted(Run, *Accepted, ActionName);
  if (const auto *Refused = std::get_if<TicketActionNotAccepted>(&Outcome)) {
    Json Document = Json::object();
    if (Refused->Number_ != 0)
      Document["number"] = Refused->Number_;
    return reportFailure(Run, "not accepted", Refused->Reason_, Document,
                         refusalExitCode(*Refused, Filing));
  }
  const auto &Unknown = std::get<TicketActionUnknown>(Outcome);
  return reportFailure(
      Run, "unknown", Unknown.Reason_,
      {{"number", Unknown.Number_}, {"command", Unknown.StatusCommand_}},
      mutationEnabled("cli-unknown-exits-zero") ? ExitCode::Success
                                                : ExitCode::Unknown);
}

} // namespace

Result<TicketContext> openTicketContext(const CliRun &Run) {
  auto Settings = loadCommandSettings(Run);
  if (!Settings)
    return tl::unexpected<Error>(Settings.error());
  TicketContext Out;
  Out.Settings_ = *Settings;
  Out.Operator_.Name_ = Settings->Operator_;
  Out.Operator_.Operators_ = Settings->Operators_;
  Out.Operator_.RequireSecondOperator_ = Settings->RequireSecondOperator_;
  if (!Settings->SigningKeyFile_.empty()) {
    auto Key = readKeyFile(Settings->SigningKeyFile_);
    if (!Key)
      return tl::unexpected<Error>(Key.error());
    if (auto Trial = signHex(*Key, "trial"); !Trial)
      return fail(ErrorKind::InvalidSettings,
                  Settings->SigningKeyFile_ + ": " + Trial.error().Message_,
                  Trial.error().Remedy_);
    Out.Operator_.Sign_ = [Secret = *Key](std::string_view Digest) {
      return signHex(Secret, Digest).value_or("");
    };
  }
  auto Store = Run.Environment_.ConnectStore_(Settings->Store_);
  if (!Store)
    return tl::unexpected<Error>(Store.error());
  Out.Store_ = std::make_unique<CliStore>(std::move(*Store));
  Out.Timeout_ = Run.Options_.Timeout_;
  return Out;
}

TicketSession TicketContext::session() {
  return TicketSession{Store_->Session_, Store_->Clock_, Store_->Wait_, Rng_,
                       Timeout_};
}

ExitCode runTicketLint(const CliRun &Run) {
  const std::string &Path = Run.Operands_[0];
  auto Parsed = readTicket(Path);
  if (!Parsed)
    return reportError(Run, Parsed.error(), ExitCode::BadInput);
  if (Run.Options_.Json_)
    printJson(Run, {{"valid", true}, {"file", Path}});
  else
    Run.Environment_.Out_ << Path << ": valid ticket\n";
  return ExitCode::Success;
}

ExitCode runTicketFile(const CliRun &Run) {
  auto Parsed = readTicket(Run.Operands_[0]);
  if (!Parsed)
    return reportError(Run, Parsed.error(), ExitCode::BadInput);
  auto Context = openTicketContext(Run);
  if (!Context)
    return reportError(Run, Context.error());
  return reportOutcome(Run,
                       fileTicket(Context->session(), Context->Operator_,
                                  *Parsed, Run.Environment_.WallNow_()),
                       "filed", true);
}

namespace {

using NumberAction = TicketActionOutcome (*)(const TicketSession &,
                                             const TicketOperator &,
                                             std::uint64_t, WallTime);

ExitCode runNumberAction(const CliRun &Run, NumberAction Action,
                         std::string_view ActionName) {
  auto Number = parseTicketNumber(Run.Operands_[0]);
  if (!Number)
    return reportError(Run, Number.error());
  auto Context = openTicketContext(Run);
  if (!Context)
    return reportError(Run, Context.error());
  return reportOutcome(Run,
                       Action(Context->session(), Context->Operator_, *Number,
                              Run.Environment_.WallNow_()),
                       ActionName, false);
}

} // namespace

ExitCode runTicketApprove(const CliRun &Run) {
  return runNumberAction(Run, approveTicket, "accepted");
}

ExitCode runTicketWithdraw(const CliRun &Run) {
  return runNumberAction(Run, withdrawTicket, "withdrawn");
}

} // namespace sycamore

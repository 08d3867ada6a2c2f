// Command table of sycamorectl, and the lookup and dispatch of commands.
#include "CliOutput.h"

#include <algorithm>
#include <ostream>

namespace sycamore {

std::span<const CliCommand> cliCommands() {
  static const std::vector<CliCommand> Commands = {
      {"ticket",
       "file",
       "FILE",
       1,
       1,
       "file a change ticket",
       "Checks the ticket in FILE (\"-\" for standard input) against the state "
       "in force and files it. The ticket takes the next free number unless it "
       "names one. Filing changes nothing on the daemons.",
       {},
       {{"sycamorectl ticket file raise-queue.json",
         "files the ticket and prints its number"}},
       runTicketFile},
      {"ticket",
       "approve",
       "NUMBER",
       1,
       1,
       "accept a filed ticket",
       "Puts the ticket in force. It is checked again against the state in "
       "force. The ticket is not accepted if a ticket with a higher number is "
       "already accepted, if it was withdrawn, or if another operator's "
       "ticket changes the same entities meanwhile.",
       {},
       {{"sycamorectl ticket diff 41 && sycamorectl ticket approve 41",
         "shows what changes and accepts it"}},
       runTicketApprove},
      {"ticket",
       "withdraw",
       "NUMBER",
       1,
       1,
       "withdraw a filed ticket",
       "A withdrawn ticket will never be accepted. A ticket that is already "
       "accepted cannot be withdrawn; file a new ticket with the old content.",
       {},
       {{"sycamorectl ticket withdraw 41", "withdraws ticket 41"}},
       runTicketWithdraw},
      {"ticket",
       "show",
       "NUMBER",
       1,
       1,
       "print a ticket and its record",
       "Prints who filed and decided the ticket, and its content.",
       {},
       {{"sycamorectl --json ticket show 41", "prints the stored record"}},
       runTicketShow},
      {"ticket",
       "list",
       "",
       0,
       0,
       "list the newest tickets",
       "Lists tickets of every state, newest first.",
       {"limit", "before"},
       {{"sycamorectl ticket list --limit 50", "prints the newest 50 tickets"},
        {"sycamorectl ticket list --before 300", "continues below ticket 300"}},
       runTicketList},
      {"ticket",
       "status",
       "NUMBER",
       1,
       1,
       "tell whether a ticket is in force",
       "Reads head and ticket in one transaction. For an accepted ticket it "
       "also queries the daemon named in the settings, if any, for how many "
       "servers run it. Exits 0 for a ticket that was accepted and 3 for any "
       "other. Use it to resolve an unknown outcome.",
       {},
       {{"sycamorectl ticket status 41", "prints the standing of ticket 41"}},
       runTicketStatus},
      {"ticket",
       "diff",
       "NUMBER",
       1,
       1,
       "compare a ticket with the state in force",
       "Prints each entity that the ticket adds (+), removes (-) or changes "
       "(~). Exits 3 when a filed ticket could not be approved now.",
       {},
       {{"sycamorectl ticket diff 41", "prints what ticket 41 would change"}},
       runTicketDiff},
      {"ticket",
       "lint",
       "FILE",
       1,
       1,
       "check a ticket file",
       "Checks FILE (\"-\" for standard input) without the store. References "
       "to entities outside the ticket are checked when it is filed.",
       {},
       {{"sycamorectl ticket lint raise-queue.json", "checks the file"}},
       runTicketLint},
      {"fleet",
       "status",
       "",
       0,
       0,
       "show which server runs which ticket",
       "Queries the daemon named in the settings for its view of the fleet: "
       "state, ticket in force, last rejected ticket, and the age of the "
       "latest report of each server.",
       {},
       {{"sycamorectl fleet status", "prints one row for each server"}},
       runFleetStatus},
      {"settings",
       "check",
       "FILE",
       1,
       1,
       "check a settings file",
       "Checks every field of a daemon's settings, or of an operator's with "
       "--operator, and the permission modes of the key files that it names.",
       {"operator"},
       {{"sycamorectl settings check sycamored.json",
         "checks settings of a daemon"},
        {"sycamorectl settings check --operator operator.json",
         "checks settings of an operator"}},
       runSettingsCheck},
      {"quarantine",
       "list",
       "",
       0,
       0,
       "list refused requests",
       "Lists the fingerprints of requests that were running when a target was "
       "lost.",
       {},
       {{"sycamorectl quarantine list", "prints one row for each entry"}},
       runQuarantineList},
      {"quarantine",
       "clear",
       "FINGERPRINT",
       1,
       1,
       "allow a request again",
       "Clears the entry in the whole fleet.",
       {},
       {{"sycamorectl quarantine clear 9a3f0c77d2e41b58", "clears one entry"}},
       runQuarantineClear},
      {"key",
       "make",
       "FILE",
       1,
       1,
       "make a key pair",
       "Writes the secret key to FILE and the public key to FILE.pub, both "
       "readable by the owner alone (mode 0600), and prints the public key. "
       "Existing files are never overwritten.",
       {"signing", "curve"},
       {{"sycamorectl key make --signing ana.key",
         "makes the key for signing_key_file"},
        {"sycamorectl key make --curve daemon.key",
         "makes the key for curve.secret_key_file"}},
       runKeyMake},
      {"key",
       "digest",
       "",
       0,
       0,
       "print the digest of a tenant's credential",
       "Reads a credential from the first line of standard input and prints "
       "its digest for key_digests of a tenant. The credential is not taken "
       "from the command line, which other users of the machine can see.",
       {},
       {{"sycamorectl key digest <alder.credential",
         "prints the digest of the credential in the file"}},
       runKeyDigest},
      {"completion",
       "bash",
       "",
       0,
       0,
       "print a completion script",
       "Prints a script that completes commands and options in bash.",
       {},
       {{"source <(sycamorectl completion bash)",
         "enables completion in the current shell"}},
       runCompletion},
  };
  return Commands;
}

namespace {

const CliCommand *findCommand(std::string_view Group, std::string_view Name) {
  for (const CliCommand &Command : cliCommands())
    if (Command.Group_ == Group && Command.Name_ == Name)
      return &Command;
  return nullptr;
}

/// Error for a command line whose first words name no command.
Error unknownCommand(const std::vector<std::string> &Positionals) {
  std::set<std::string, std::less<>> Groups;
  std::set<std::string, std::less<>> Names;
  for (const CliCommand &Command : cliCommands()) {
    Groups.emplace(Command.Group_);
    if (!Positionals.empty() && Command.Group_ == Positionals[0])
      Names.emplace(Command.Name_);
  }
  const auto &Candidates = Names.empty() ? Groups : Names;
  std::size_t UnknownIndex = Names.empty() ? 0 : 1;
  if (Positionals.size() <= UnknownIndex) {
    std::string Choices;
    for (const std::string &Name : Candidates)
      Choices += (Choices.empty() ? "" : ", ") + Name;
    return {ErrorKind::InvalidArgument, "a command is missing",
            "give one of: " + Choices};
  }
  std::string Message =
      "\"" + Positionals[UnknownIndex] + "\" is not a command";
  if (auto Hint = nearestName(Positionals[UnknownIndex], Candidates))
    Message += ", did you mean \"" + *Hint + "\"?";
  return {ErrorKind::InvalidArgument, Message, "see `sycamorectl --help`"};
}

/// Checks the number of operands and the options against the command table.
std::optional<Error> checkUsage(const CliCommand &Command,
                                const CliOptions &Options) {
  std::string Name =
      std::string(Command.Group_) + " " + std::string(Command.Name_);
  std::string Remedy = "see `sycamorectl " + Name + " --help`";
  std::size_t Operands = Options.Positionals_.size() - 2;
  if (Operands < Command.MinOperands_ || Operands > Command.MaxOperands_)
    return Error{
        ErrorKind::InvalidArgument,
        Name + ": takes " + std::to_string(Command.MinOperands_) +
            (Command.MinOperands_ == 1 ? " operand, " : " operands, ") +
            std::to_string(Operands) + " given",
        Remedy};
  for (const std::string &Option : Options.GivenOptions_) {
    bool Supported = std::any_of(
        cliOptionSpecs().begin(), cliOptionSpecs().end(),
        [&](const auto &Spec) { return Spec.Name_ == Option && Spec.Global_; });
    Supported =
        Supported || std::find(Command.Options_.begin(), Command.Options_.end(),
                               Option) != Command.Options_.end();
    if (!Supported)
      return Error{ErrorKind::InvalidArgument,
                   Name + ": takes no option --" + Option, Remedy};
  }
  return std::nullopt;
}

ExitCode dispatchCommand(CliRun &Run) {
  const CliOptions &Options = Run.Options_;
  std::string Group =
      Options.Positionals_.empty() ? "" : Options.Positionals_[0];
  std::string Name =
      Options.Positionals_.size() < 2 ? "" : Options.Positionals_[1];
  if (Options.Version_) {
    Run.Environment_.Out_ << "sycamorectl " << SYCAMORE_VERSION << '\n';
    return ExitCode::Success;
  }
  if (Options.Help_) {
    std::string Page = cliHelp(Group, Name);
    if (Page.empty())
      return reportError(Run, unknownCommand(Options.Positionals_));
    Run.Environment_.Out_ << Page;
    return ExitCode::Success;
  }
  const CliCommand *Command = findCommand(Group, Name);
  if (!Command)
    return reportError(Run, unknownCommand(Options.Positionals_));
  if (auto Failure = checkUsage(*Command, Options))
    return reportError(Run, *Failure);
  Run.Operands_.assign(Options.Positionals_.begin() + 2,
                       Options.Positionals_.end());
  return Command->Handler_(Run);
}

} // namespace

int runCli(const std::vector<std::string> &Arguments,
           const CliEnvironment &Environment) {
  CliRun Run{Environment, {}, {}};
  auto Options = parseCliOptions(Arguments);
  if (!Options) {
    Run.Options_.Json_ = std::find(Arguments.begin(), Arguments.end(),
                                   "--json") != Arguments.end();
    return static_cast<int>(reportError(Run, Options.error()));
  }
  Run.Options_ = std::move(*Options);
  return static_cast<int>(dispatchCommand(Run));
}

} // namespace sycamore

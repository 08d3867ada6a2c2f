// sycamorectl, the operators' command line: commands, options and exit codes.
#pragma once

#include "CliConnect.h"

#include <iosfwd>
#include <span>

namespace sycamore {

/// Exit codes of sycamorectl; every help page lists them.
enum class ExitCode {
  Success = 0,       ///< Completed, or the change was accepted.
  InternalError = 1, ///< Damaged data in the store, or an internal error.
  BadInput = 2,      ///< Invalid command line, ticket, settings or key file.
  NotAccepted = 3,   ///< Conflict or refusal; nothing took effect.
  /// The change may have taken effect. The error message names the command that
  /// shows whether it did.
  Unknown = 4,
  Unavailable = 5, ///< No response of store or daemon; nothing took effect.
};

/// Parsed options. Every option has a default, so a command reads the options
/// that it supports without checking which were given.
struct CliOptions {
  std::string Settings_;
  bool Json_ = false;
  Duration Timeout_ = seconds(10);
  bool Operator_ = false;
  bool Signing_ = false;
  bool Curve_ = false;
  std::uint64_t Limit_ = 20;
  std::uint64_t Before_ = 0; ///< Ticket number; 0 for no bound.
  bool Help_ = false;
  bool Version_ = false;
  std::vector<std::string> Positionals_;  ///< Group, command and operands.
  std::vector<std::string> GivenOptions_; ///< Long names of the given options.
};

/// One invocation of sycamorectl.
struct CliRun {
  const CliEnvironment &Environment_;
  CliOptions Options_;
  std::vector<std::string> Operands_;
};

struct CliExample {
  std::string_view Command_;
  std::string_view Explanation_;
};

struct CliCommand {
  std::string_view Group_; ///< Empty for a command of one word.
  std::string_view Name_;
  std::string_view Operands_; ///< For the synopsis.
  std::size_t MinOperands_;
  std::size_t MaxOperands_;
  std::string_view Summary_;
  std::string_view Description_;
  std::vector<std::string_view> Options_; ///< Long names, except global ones.
  std::vector<CliExample> Examples_;
  ExitCode (*Handler_)(const CliRun &);
};

struct CliOptionSpec {
  std::string_view Name_;
  char ShortName_; ///< 0 for none.
  std::string_view ArgumentName_;
  std::string_view HelpText_;
  bool Global_;
};

std::span<const CliCommand> cliCommands();
std::span<const CliOptionSpec> cliOptionSpecs();

/// Errors: InvalidArgument.
Result<CliOptions> parseCliOptions(const std::vector<std::string> &Arguments);

/// Help for the command line (both empty), for a group, or for a command. Empty
/// when there is no such group or command.
std::string cliHelp(std::string_view Group, std::string_view Name);

/// A completion script for bash.
std::string bashCompletion();

/// Runs one command line, given without the program's name, and returns the
/// exit code.
int runCli(const std::vector<std::string> &Arguments,
           const CliEnvironment &Environment);

ExitCode runTicketFile(const CliRun &Run);
ExitCode runTicketApprove(const CliRun &Run);
ExitCode runTicketWithdraw(const CliRun &Run);
ExitCode runTicketShow(const CliRun &Run);
ExitCode runTicketList(const CliRun &Run);
ExitCode runTicketStatus(const CliRun &Run);
ExitCode runTicketDiff(const CliRun &Run);
ExitCode runTicketLint(const CliRun &Run);
ExitCode runFleetStatus(const CliRun &Run);
ExitCode runSettingsCheck(const CliRun &Run);
ExitCode runQuarantineList(const CliRun &Run);
ExitCode runQuarantineClear(const CliRun &Run);
ExitCode runKeyMake(const CliRun &Run);
ExitCode runKeyDigest(const CliRun &Run);
ExitCode runCompletion(const CliRun &Run);

} // namespace sycamore

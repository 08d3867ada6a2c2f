// Tables, JSON documents and errors of the command line.
#pragma once

#include "Cli.h"

namespace sycamore {

/// Replaces control characters, so that a ticket's title cannot drive the
/// operator's terminal. KeepLines leaves line feeds.
std::string printable(std::string_view Text, bool KeepLines = false);

/// Rows with columns of equal width; the first row is the heading.
std::string formatTable(const std::vector<std::vector<std::string>> &Rows);

/// "2026-12-04T07:00:00Z", or "-" for 0.
std::string formatTime(std::int64_t UnixUs);

/// Span in the largest unit that fits, for example "340ms" or "12s".
std::string formatAge(std::uint64_t Milliseconds);

void printJson(const CliRun &Run, const Json &Document);

Json errorToJson(const Error &Value);

/// Prints an error in the form that the options ask for and returns Code.
ExitCode reportError(const CliRun &Run, const Error &Value, ExitCode Code);

/// Code for the error of a read.
ExitCode exitCodeOf(ErrorKind Kind);

inline ExitCode reportError(const CliRun &Run, const Error &Value) {
  return reportError(Run, Value, exitCodeOf(Value.Kind_));
}

/// Settings named by --settings or the environment.
Result<OperatorSettings> settingsOf(const CliRun &Run);

/// A ticket number from the command line.
Result<std::uint64_t> numberOperand(const std::string &Text);

/// A GET whose answer is a JSON document.
Result<Json> getFromDaemon(const CliRun &Run, const OperatorSettings &Settings,
                           const std::string &Path);

/// The error that a daemon's answer other than 2xx stands for.
Error daemonError(const AdminAnswer &Answer);

} // namespace sycamore

// Output of the command line: tables, JSON documents and errors.
#pragma once

#include "Cli.h"

namespace sycamore {

/// Replaces control characters by '?', so that a ticket's title cannot send
/// escape sequences to the operator's terminal. KeepLineFeeds keeps line feeds.
std::string toPrintable(std::string_view Text, bool KeepLineFeeds = false);

/// Pads the cells of each column to equal width; the first row is the heading.
std::string formatTable(const std::vector<std::vector<std::string>> &Rows);

/// UTC, for example "2026-12-04T07:00:00Z"; "-" for 0 and less.
std::string formatTime(std::int64_t UnixUs);

/// Whole milliseconds, seconds from 1 s, minutes from 2 min or hours from 2 h,
/// for example "340ms" or "12s".
std::string formatAge(std::uint64_t Milliseconds);

void printJson(const CliRun &Run, const Json &Document);

Json errorToJson(const Error &Value);

/// Prints an error, as JSON to standard output with --json and as text to
/// standard error otherwise, and returns Code.
ExitCode reportError(const CliRun &Run, const Error &Value, ExitCode Code);

/// Exit code for an error of a read.
ExitCode exitCodeOf(ErrorKind Kind);

inline ExitCode reportError(const CliRun &Run, const Error &Value) {
  return reportError(Run, Value, exitCodeOf(Value.Kind_));
}

/// Loads the settings file that --settings or the environment variable
/// SYCAMORECTL_SETTINGS names. Errors: InvalidSettings.
Result<OperatorSettings> loadCommandSettings(const CliRun &Run);

/// Parses a ticket number from the command line. Errors: InvalidArgument.
Result<std::uint64_t> parseTicketNumber(const std::string &Text);

/// Sends a GET and parses the JSON document of the response. A lost response is
/// Unavailable, because a GET changes nothing.
Result<Json> getFromDaemon(const CliRun &Run, const OperatorSettings &Settings,
                           const std::string &Path);

/// Converts a daemon's response with a status other than 2xx to an error.
Error daemonError(const AdminResponse &Response);

} // namespace sycamore

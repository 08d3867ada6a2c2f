// Shared by the stand-in programs: command line options, port file and
// termination.
#pragma once

#include "sycamore/Error.h"

#include <functional>
#include <popt.h>
#include <string>

struct event_base;

namespace sycamore::standin {

/// Parses the options into their variables; on an invalid command line, prints
/// the error with its remedy and returns false.
bool parseOptions(int Count, const char **Arguments, const poptOption *Options);

/// Writes the address to a temporary file and renames it to Path, so that a
/// reader never sees a partial address. Does nothing if Path is empty.
Result<void> writePortFile(const std::string &Path, const std::string &Address);

/// Creates an event loop with microsecond timers. By default timers are rounded
/// up to milliseconds, which would lengthen every work time.
event_base *makePreciseEventLoop();

/// Runs the loop until SIGTERM, SIGINT or the time limit. On a signal,
/// OnTerminate starts a graceful shutdown and must stop the loop when that is
/// complete; without OnTerminate, the loop stops at once.
void runUntilTerminated(event_base *Base, int ExitAfterSeconds,
                        std::function<void()> OnTerminate = nullptr);

/// Runs the pending events, in which HTTP servers and clients free their
/// connections, and then frees the loop.
void freeLoop(event_base *Base);

/// Prints the description of an error to standard error.
void printError(const Error &Failure);

} // namespace sycamore::standin

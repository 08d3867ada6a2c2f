// What the stand-in programs share: options, a port file, and an end.
#pragma once

#include "sycamore/Error.h"

#include <functional>
#include <popt.h>
#include <string>

struct event_base;

namespace sycamore::standin {

/// Reads the options into their variables; on a mistake it prints what is
/// wrong with the remedy and returns false.
bool readOptions(int Count, const char **Arguments, const poptOption *Options);

/// Writes the address into a file by way of a rename, so that a reader never
/// sees a part of it. An empty path does nothing.
Result<void> writePortFile(const std::string &Path, const std::string &Address);

/// A loop whose timers are exact to microseconds; by default they are rounded
/// up to milliseconds, which would lengthen every work time.
event_base *makeExactLoop();

/// Runs the loop until SIGTERM, SIGINT or the time limit. OnTerminate starts an
/// orderly end and must stop the loop; without it, the loop stops at once.
void runUntilEnd(event_base *Base, int ExitAfterSeconds,
                 std::function<void()> OnTerminate = nullptr);

/// Lets the adapters free their connections, and then frees the loop.
void freeLoop(event_base *Base);

/// Prints an error for people to standard error.
void printError(const Error &Failure);

} // namespace sycamore::standin

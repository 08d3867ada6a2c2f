// Structured logs by log4cxx: one JSON object a line. The volume is bounded for
// each kind of line, and a slow reader of the output never holds up the caller.
#pragma once

#include "sycamore/Events.h"
#include "sycamore/Json.h"

#include <string_view>

namespace sycamore {

/// Errors: InvalidSettings when the name is none of debug, info, warn, error.
Result<LogLevel> parseLogLevel(std::string_view Name);

/// File is empty for standard error and "-" for standard output.
void configureLog(LogLevel Level, const std::string &File,
                  std::string_view Server);

/// Whether a line of this kind about this request would be written, so that its
/// fields need not be made otherwise. Counts a line that the budget drops.
bool wantsEvent(LogEvent Kind, std::string_view RequestId = {});

/// Writes {"time", "level", "server", "event", ...Fields} if wantsEvent() says
/// so. Strings in Fields are escaped and cut to MaxLoggedText.
inline constexpr std::size_t MaxLoggedText = 300;
void logEvent(LogEvent Kind, const Json &Fields = {});

/// Writes the line although the budget was asked before.
void writeEvent(LogEvent Kind, const Json &Fields);

/// Reports lines that were dropped since the last report. Call it each second.
void reportDroppedLines();

} // namespace sycamore

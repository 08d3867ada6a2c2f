// Structured logging with log4cxx, one JSON object per line. Each kind of event
// has a rate limit, and a slow reader of the output never blocks the caller.
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

/// Returns whether to write an event of this kind about this request, so that
/// its fields are built only when needed. Consumes one line of the rate limit
/// of the kind; when the limit is reached, counts the line as dropped.
bool shouldLogEvent(LogEvent Kind, std::string_view RequestId = {});

/// Maximum length in bytes of a string in the fields of an event.
inline constexpr std::size_t MaxLoggedText = 300;

/// Writes {"time", "level", "server", "event", ...Fields} if shouldLogEvent()
/// returns true. Strings in Fields are escaped, and truncated to MaxLoggedText.
void logEvent(LogEvent Kind, const Json &Fields = {});

/// Writes the event without applying the rate limit, for callers that have
/// called shouldLogEvent().
void writeEvent(LogEvent Kind, const Json &Fields);

/// Logs the number of lines dropped since the last call, if any. Must be called
/// once per second.
void reportDroppedLines();

} // namespace sycamore

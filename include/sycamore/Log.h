// Structured logs by log4cxx: one JSON object a line, for changes of state.
#pragma once

#include "sycamore/Json.h"

#include <string_view>

namespace sycamore {

enum class LogLevel { Debug, Info, Warning, Error };

/// File is empty for standard error. Errors: InvalidSettings when the level's
/// name is none of debug, info, warn, error.
Result<LogLevel> parseLogLevel(std::string_view Name);
void configureLog(LogLevel Level, const std::string &File,
                  std::string_view Server);

/// Writes {"time", "level", "server", "event", ...Fields}.
void logEvent(LogLevel Level, std::string_view Event, const Json &Fields = {});

} // namespace sycamore

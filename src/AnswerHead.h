// Checks of a response's status line and framing that evhttp does not make.
#pragma once

#include "sycamore/HttpMessage.h"

#include <optional>
#include <string_view>

namespace sycamore {

enum class AnswerKind {
  Interim, ///< A final answer follows.
  Final,
  /// No status that HTTP defines, or 101, which this client never asks for.
  Invalid,
};

AnswerKind answerKind(int Status);

/// Longest part of a status line that statusLineIsValid() reads.
inline constexpr std::size_t StatusPrefixBytes = 13;

/// Whether the status in a line "HTTP/1.x NNN" has three digits and is not
/// Invalid; evhttp reads any number, also one that overflows. Nothing while
/// Start is too short to tell. Lines of another form are left to evhttp.
std::optional<bool> statusLineIsValid(std::string_view Start);

/// Why the length of the body cannot be trusted; empty if it can.
std::string_view invalidFraming(const HttpHeaders &Headers);

} // namespace sycamore

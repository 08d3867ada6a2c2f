// Typed errors with a message and a remedy.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sycamore {

enum class ErrorKind {
  InvalidArgument,  ///< A malformed command line or request.
  InvalidSettings,  ///< A settings file that fails its checks.
  InvalidTicket,    ///< A ticket that fails its checks.
  InvalidData,      ///< Bytes from a peer or the store that do not parse.
  Conflict,         ///< The entity was changed concurrently.
  NotFound,         ///< The named entity does not exist.
  TooLarge,         ///< A value exceeds its size limit.
  PermissionDenied, ///< Not allowed for this operator, key or file.
  Unavailable,      ///< The other side did not run the call.
  OutcomeUnknown,   ///< The call may or may not have taken effect.
  DeadlineExceeded, ///< The deadline passed before the call ran.
  Internal,         ///< A bug in this program.
};

/// Stable name for logs and JSON, for example "conflict".
std::string_view errorKindName(ErrorKind Kind);

struct Error {
  ErrorKind Kind_ = ErrorKind::Internal;
  std::string Message_; ///< What is wrong, including names and values.
  std::string Remedy_;  ///< What the reader can do about it.
};

/// "MESSAGE; REMEDY", for human readers.
std::string describe(const Error &Failure);

template <typename T> using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> fail(ErrorKind Kind, std::string Message,
                                  std::string Remedy) {
  return tl::unexpected<Error>(
      Error{Kind, std::move(Message), std::move(Remedy)});
}

} // namespace sycamore

// Conversions between HTTP messages and peer messages of calls.
#pragma once

#include "sycamore/Error.h"
#include "sycamore/HeaderNames.h"
#include "sycamore/HttpMessage.h"
#include "sycamore/PeerMessages.pb.h"
#include "sycamore/PeerTransport.h"
#include "sycamore/Time.h"

#include <functional>
#include <string>
#include <string_view>

namespace sycamore {

/// Sends a call message to a server by name, which may be this server.
using CallSender = std::function<SendResult(
    const std::string &Server, wire::PeerMessage &, std::string_view Body)>;

/// Answers a received call message; false when the connection is closed.
using CallReplier = std::function<bool(const ReplyRoute &, wire::PeerMessage &,
                                       std::string_view Body)>;

/// "not-run", "done" or "unknown".
std::string_view runOutcomeName(wire::RunOutcome Run);

/// Appends the end-to-end headers of a message. Headers that a daemon sets
/// itself are left out, so that no caller can set them.
void addEndToEndHeaders(google::protobuf::RepeatedPtrField<wire::Header> &Out,
                        const HttpHeaders &Headers, const HeaderNames &Names);

/// Appends a header unless its name is empty, which turns the header off.
void addHeader(HttpHeaders &Out, const std::string &Name, std::string Value);
HttpHeaders
toHttpHeaders(const google::protobuf::RepeatedPtrField<wire::Header> &Headers);

/// Key of the request in cost tables. It includes the depth, because a nested
/// call of a route has a different cost than the outermost call.
std::string costKey(const wire::CallRequest &Request);

/// An answer that carries an error in place of a target's answer.
wire::CallAnswer errorAnswer(const wire::CallId &Id, wire::RunOutcome Run,
                             std::uint32_t Status, const Error &Failure,
                             Duration RetryAfter = Duration(0));

/// The JSON body of an error response to a caller.
std::string errorBody(std::string_view Kind, std::string_view Message,
                      std::string_view Remedy, wire::RunOutcome Run,
                      std::string_view TraceId);

/// Whole seconds, rounded up, at least 1, as RFC 9110 defines Retry-After.
std::string retryAfterSeconds(Duration RetryAfter);

/// Seconds with three decimals, for callers that read fractions.
std::string fractionalSeconds(Duration RetryAfter);

/// Value of a header that is a non-negative integer; nothing when the header is
/// absent or malformed.
std::optional<std::uint64_t> numberHeader(const HttpHeaders &Headers,
                                          std::string_view Name);

} // namespace sycamore

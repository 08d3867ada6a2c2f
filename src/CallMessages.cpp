// Conversions between HTTP messages and peer messages of calls.
#include "CallMessages.h"

#include "sycamore/Json.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace sycamore {
namespace {

/// Whether each daemon sets this header itself or it applies to one connection
/// only.
bool isDaemonHeader(const HeaderNames &Names, std::string_view Name) {
  const std::array<std::string_view, 10> DaemonHeaders = {
      Names.Run_,           Names.Depth_,       Names.Deadline_,
      Names.Ticket_,        Names.Traceparent_, Names.ExpectedTarget_,
      Names.CallerService_, Names.Credential_,  Names.Tenant_,
      "content-length"};
  return std::any_of(DaemonHeaders.begin(), DaemonHeaders.end(),
                     [&](std::string_view Each) {
                       return !Each.empty() && equalHeaderNames(Each, Name);
                     });
}

/// Whether the Connection header lists this header as hop-by-hop.
bool isListedInConnection(const HttpHeaders &Headers, std::string_view Name) {
  const std::string *Connection = findHeader(Headers, "connection");
  if (!Connection)
    return false;
  std::string_view Rest = *Connection;
  while (!Rest.empty()) {
    std::size_t Comma = Rest.find(',');
    std::string_view Item = Rest.substr(0, Comma);
    Rest = Comma == std::string_view::npos ? "" : Rest.substr(Comma + 1);
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    while (!Item.empty() && Item.back() == ' ')
      Item.remove_suffix(1);
    if (equalHeaderNames(Item, Name))
      return true;
  }
  return false;
}

} // namespace

std::string_view runOutcomeName(wire::RunOutcome Run) {
  switch (Run) {
  case wire::RUN_NOT_RUN:
    return "not-run";
  case wire::RUN_DONE:
    return "done";
  default:
    return "unknown";
  }
}

void addEndToEndHeaders(google::protobuf::RepeatedPtrField<wire::Header> &Out,
                        const HttpHeaders &Headers, const HeaderNames &Names) {
  for (const HttpMessageHeader &Header : Headers) {
    if (isHopByHopHeader(Header.Name_) || isDaemonHeader(Names, Header.Name_) ||
        isListedInConnection(Headers, Header.Name_))
      continue;
    wire::Header *Added = Out.Add();
    Added->set_name(Header.Name_);
    Added->set_value(Header.Value_);
  }
}

void addHeader(HttpHeaders &Out, const std::string &Name, std::string Value) {
  if (!Name.empty())
    Out.push_back({Name, std::move(Value)});
}

HttpHeaders
toHttpHeaders(const google::protobuf::RepeatedPtrField<wire::Header> &Headers) {
  HttpHeaders Out;
  for (const wire::Header &Header : Headers)
    Out.push_back({Header.name(), Header.value()});
  return Out;
}

std::string costKey(const wire::CallRequest &Request) {
  return Request.route() + " " + Request.method() + " " +
         std::to_string(Request.depth());
}

wire::CallAnswer errorAnswer(const wire::CallId &Id, wire::RunOutcome Run,
                             std::uint32_t Status, const Error &Failure,
                             Duration RetryAfter) {
  wire::CallAnswer Out;
  *Out.mutable_id() = Id;
  Out.set_run(Run);
  Out.set_status(Status);
  Out.set_error_kind(std::string(errorKindName(Failure.Kind_)));
  Out.set_error_message(describe(Failure));
  Out.set_retry_after_ms(
      static_cast<std::uint32_t>(toMilliseconds(RetryAfter)));
  return Out;
}

std::string errorBody(std::string_view Kind, std::string_view Message,
                      std::string_view Remedy, wire::RunOutcome Run,
                      std::string_view TraceId) {
  Json Out = {{"error",
               {{"kind", Kind},
                {"message", Message},
                {"remedy", Remedy},
                {"run", runOutcomeName(Run)},
                {"trace_id", TraceId}}}};
  return Out.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string retryAfterSeconds(Duration RetryAfter) {
  auto WholeSeconds = std::chrono::ceil<seconds>(RetryAfter);
  return std::to_string(std::max<std::int64_t>(WholeSeconds.count(), 1));
}

std::string fractionalSeconds(Duration RetryAfter) {
  std::array<char, 32> Buffer{};
  double Seconds = std::chrono::duration<double>(RetryAfter).count();
  std::snprintf(Buffer.data(), Buffer.size(), "%.3f", Seconds);
  return Buffer.data();
}

std::optional<std::uint64_t> numberHeader(const HttpHeaders &Headers,
                                          std::string_view Name) {
  const std::string *Text = findHeader(Headers, Name);
  std::uint64_t Value = 0;
  if (!Text)
    return std::nullopt;
  const char *End = Text->data() + Text->size();
  auto Parsed = std::from_chars(Text->data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace sycamore

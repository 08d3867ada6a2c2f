// W3C Trace Context and the OTLP JSON encoding of spans.
#include "sycamore/Trace.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace sycamore {
namespace {

constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;
constexpr std::size_t TraceparentLength = 55; ///< Of traceparent version 00.

bool isNonZeroHex(std::string_view Text) {
  bool Hex = std::all_of(Text.begin(), Text.end(), [](char Character) {
    return (Character >= '0' && Character <= '9') ||
           (Character >= 'a' && Character <= 'f');
  });
  return Hex && Text.find_first_not_of('0') != std::string_view::npos;
}

std::string randomHex(Random &Rng, std::size_t Digits) {
  std::string Out;
  while (Out.size() < Digits) {
    std::array<char, 17> Buffer{};
    // An all-zero id is invalid; setting the low bit prevents it.
    std::snprintf(Buffer.data(), Buffer.size(), "%016llx",
                  static_cast<unsigned long long>(Rng() | 1U));
    Out += Buffer.data();
  }
  return Out;
}

Json stringAttribute(std::string_view Name, std::string_view Value) {
  return {{"key", Name}, {"value", {{"stringValue", Value}}}};
}

std::string unixNanoseconds(WallTime Time) {
  return std::to_string(
      std::chrono::nanoseconds(Time.time_since_epoch()).count());
}

Json spanToJson(const Span &Value) {
  Json Out = {{"traceId", Value.Context_.TraceId_},
              {"spanId", Value.Context_.SpanId_},
              {"name", Value.Name_},
              {"kind", static_cast<int>(Value.Kind_)},
              {"startTimeUnixNano", unixNanoseconds(Value.Start_)},
              {"endTimeUnixNano", unixNanoseconds(Value.End_)},
              {"status", {{"code", Value.Failed_ ? 2 : 1}}},
              {"attributes", Json::array()}};
  if (!Value.ParentSpanId_.empty())
    Out["parentSpanId"] = Value.ParentSpanId_;
  for (const auto &[Name, Text] : Value.Attributes_)
    Out["attributes"].push_back(stringAttribute(Name, Text));
  return Out;
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view Header) {
  if (Header.size() < TraceparentLength)
    return std::nullopt;
  std::string_view Version = Header.substr(0, 2);
  std::string_view TraceId = Header.substr(3, TraceIdDigits);
  std::string_view SpanId = Header.substr(36, SpanIdDigits);
  std::string_view Flags = Header.substr(53, 2);
  bool WellFormed = Header[2] == '-' && Header[35] == '-' &&
                    Header[52] == '-' &&
                    (Header.size() == TraceparentLength ||
                     (Version != "00" && Header[TraceparentLength] == '-'));
  auto IsHex = [](std::string_view Text) {
    return isNonZeroHex(std::string(Text) + "1");
  };
  if (!WellFormed || Version == "ff" || !IsHex(Version) || !IsHex(Flags) ||
      !isNonZeroHex(TraceId) || !isNonZeroHex(SpanId))
    return std::nullopt;
  // The lowest bit of the flags says whether the trace is sampled.
  constexpr std::string_view OddDigits = "13579bdf";
  return TraceContext{std::string(TraceId), std::string(SpanId),
                      OddDigits.find(Flags[1]) != std::string_view::npos};
}

std::string formatTraceparent(const TraceContext &Context) {
  return "00-" + Context.TraceId_ + "-" + Context.SpanId_ +
         (Context.Sampled_ ? "-01" : "-00");
}

TraceContext startTrace(Random &Rng, double SampleRatio) {
  bool Sampled = randomUnit(Rng) < SampleRatio;
  return {randomHex(Rng, TraceIdDigits), randomHex(Rng, SpanIdDigits), Sampled};
}

TraceContext childContext(const TraceContext &Parent, Random &Rng) {
  return {Parent.TraceId_, randomHex(Rng, SpanIdDigits), Parent.Sampled_};
}

void recordSpan(SpanBuffer &Buffer, Span FinishedSpan) {
  if (!FinishedSpan.Context_.Sampled_)
    return;
  ++Buffer.Recorded_;
  if (Buffer.Spans_.size() >= Buffer.Capacity_) {
    Buffer.Spans_.pop_front();
    ++Buffer.Dropped_;
  }
  Buffer.Spans_.push_back(std::move(FinishedSpan));
}

Json toOtlpJson(const SpanBuffer &Buffer, std::string_view Server) {
  Json Spans = Json::array();
  for (const Span &Value : Buffer.Spans_)
    Spans.push_back(spanToJson(Value));
  Json Resource = {{"attributes",
                    {stringAttribute("service.name", "sycamored"),
                     stringAttribute("service.instance.id", Server)}}};
  Json Scope = {{"name", "sycamoremount"}, {"version", SYCAMORE_VERSION}};
  Json ScopeSpans = {{"scope", Scope}, {"spans", Spans}};
  return {{"resourceSpans",
           {{{"resource", Resource}, {"scopeSpans", {ScopeSpans}}}}}};
}

} // namespace sycamore

// Spans for each hop of a call. Trace contexts are received and sent as W3C
// Trace Context; spans are exported in the OTLP JSON encoding.
#pragma once

#include "sycamore/Json.h"
#include "sycamore/Random.h"
#include "sycamore/Time.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore {

/// The traceparent header of W3C Trace Context, version 00.
struct TraceContext {
  std::string TraceId_; ///< 32 lower-case hex digits, not all zero.
  std::string SpanId_;  ///< 16 lower-case hex digits, not all zero.
  bool Sampled_ = false;

  bool operator==(const TraceContext &) const = default;
};

/// Unset if the header is invalid according to the specification.
std::optional<TraceContext> parseTraceparent(std::string_view Header);

std::string formatTraceparent(const TraceContext &Context);

TraceContext startTrace(Random &Rng, double SampleRatio);

/// A new span in the same trace.
TraceContext childContext(const TraceContext &Parent, Random &Rng);

enum class SpanKind { Internal = 1, Server = 2, Client = 3 };

struct Span {
  TraceContext Context_;
  std::string ParentSpanId_; ///< Empty for a root span.
  std::string Name_;
  SpanKind Kind_ = SpanKind::Internal;
  WallTime Start_;
  WallTime End_;
  bool Failed_ = false;
  std::vector<std::pair<std::string, std::string>> Attributes_;
};

/// Finished spans, oldest first; the oldest is dropped when the buffer is full.
struct SpanBuffer {
  std::size_t Capacity_ = 4096;
  std::deque<Span> Spans_;
  std::uint64_t Recorded_ = 0;
  std::uint64_t Dropped_ = 0;
};

/// Stores the span if its trace is sampled.
void recordSpan(SpanBuffer &Buffer, Span FinishedSpan);

/// One ExportTraceServiceRequest in the OTLP JSON encoding.
Json toOtlpJson(const SpanBuffer &Buffer, std::string_view Server);

} // namespace sycamore

// Load scenario: phases with request rates, and a weighted mix of requests.
#pragma once

#include "sycamore/HttpMessage.h"
#include "sycamore/Json.h"
#include "sycamore/Time.h"

namespace sycamore {

struct LoadPhase {
  std::string Name_;
  double Rate_ = 0;    ///< Requests a second at the start of the phase.
  double EndRate_ = 0; ///< At its end; the rate changes linearly.
  Duration Length_{0};
  bool Warmup_ = false; ///< Excluded from the totals.

  /// Expected number of requests in the phase.
  double expectedRequests() const;
};

struct LoadRequest {
  std::string Name_;
  double Weight_ = 1;
  std::string Method_ = "GET";
  std::string Path_ = "/"; ///< "{n}" is replaced by the request's number.
  HttpHeaders Headers_;
  std::size_t BodyBytes_ = 0;
  bool AddIdempotencyKey_ = false; ///< Adds an Idempotency-Key (UUIDv7).
  /// Limit of resends of a request whose outcome is NotRun or Unknown, that is,
  /// without a response of its target.
  std::uint64_t MaxResends_ = 0;
  Duration ResendDelay_ = milliseconds(100);
  bool CheckEcho_ = false; ///< The response must echo the request's body.
};

struct LoadScenario {
  std::string Name_;
  std::vector<std::string> Addresses_; ///< Round robin; loopback only.
  std::size_t ConnectionsPerAddress_ = 128;
  Duration Timeout_ = seconds(2); ///< Of each attempt.
  std::uint64_t Seed_ = 1;
  bool EvenlySpaced_ = false; ///< Random (Poisson) arrivals otherwise.
  std::vector<LoadPhase> Phases_;
  std::vector<LoadRequest> Requests_;
  std::uint64_t MaxRequests_ = 1'000'000;

  Duration length() const;
};

/// Errors: InvalidArgument, one line for each problem; also for addresses
/// outside loopback and for more load than the limits allow.
Result<LoadScenario> parseLoadScenario(const Json &Document,
                                       std::string_view Source);

/// Why an address cannot be used, or no value.
std::optional<std::string> loadAddressProblem(const std::string &Address);

} // namespace sycamore

// Ledger of the requests that a stand-in target received: one JSON line when a
// request starts, is refused or is left without a response, and one when it
// ends.
#pragma once

#include "sycamore/HttpServer.h"
#include "sycamore/Json.h"

#include <cstdio>

namespace sycamore::standin {

std::string bodyHash(std::string_view Body);

/// The path without its query, and the value of a query parameter.
std::string_view pathOnly(std::string_view Path);
std::optional<std::string> queryValue(std::string_view Path,
                                      std::string_view Name);

class TargetLedger {
public:
  /// An empty path keeps no ledger.
  TargetLedger(const std::string &Path, std::string Target);
  TargetLedger(const TargetLedger &) = delete;
  TargetLedger &operator=(const TargetLedger &) = delete;
  ~TargetLedger();

  /// Event is "started", "refused", "silent", "finished", "failed", "cancelled"
  /// or "expired". Sequence is the number of the request in this process.
  void write(std::string_view Event, std::uint64_t Sequence,
             const HttpRequest &Request);

private:
  FILE *File_ = nullptr;
  std::string Target_;
};

} // namespace sycamore::standin

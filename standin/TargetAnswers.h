// Responses of a stand-in target, selected by the last segments of the path, so
// that they work under any route.
//   .../echo       the request's body, byte for byte
//   .../bytes/N    N pseudo-random bytes, the same for the same N
//   anything else  method, path, headers and body as JSON
// Query parameters: chunked (chunked transfer encoding), status=N, and ms=N
// (work time instead of the configured one).
#pragma once

#include "sycamore/HttpServer.h"

namespace sycamore::standin {

struct TargetResponse {
  int Status_ = 200;
  HttpHeaders Headers_;
  std::string Body_;
  bool Chunked_ = false;
};

/// Pseudo-random bytes, the same for the same Count.
std::string patternBytes(std::size_t Count);

TargetResponse responseTo(const HttpRequest &Request,
                          const std::string &Target);

void sendResponse(const HttpExchangePointer &Exchange,
                  const TargetResponse &Response);

/// Sends the headers and the first half of the body. The caller of this
/// function then aborts the exchange.
void sendFirstHalf(const HttpExchangePointer &Exchange,
                   const TargetResponse &Response);

/// Refuses a request whose work has not started.
void refuse(const HttpExchangePointer &Exchange, const std::string &Target,
            std::string_view Reason);

} // namespace sycamore::standin

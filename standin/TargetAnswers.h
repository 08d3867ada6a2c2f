// What a stand-in target answers: by the last parts of the path, so that it
// works under any route.
//   .../echo       the request's body, byte for byte
//   .../bytes/N    N pseudo-random bytes, the same for the same N
//   anything else  method, path, headers and body as JSON
// The query may hold chunked (send the answer chunked), status=N, and ms=N
// (work time instead of the target's own).
#pragma once

#include "sycamore/HttpServer.h"

namespace sycamore::standin {

struct TargetAnswer {
  int Status_ = 200;
  HttpHeaders Headers_;
  std::string Body_;
  bool Chunked_ = false;
};

/// Pseudo-random bytes that a test can make again.
std::string patternBytes(std::size_t Count);

TargetAnswer answerTo(const HttpRequest &Request, const std::string &Target);

void sendAnswer(const HttpExchangePointer &Exchange,
                const TargetAnswer &Answer);

/// Sends the first half of the answer only; the caller then aborts.
void sendHalf(const HttpExchangePointer &Exchange, const TargetAnswer &Answer);

/// A refusal before the work started.
void refuse(const HttpExchangePointer &Exchange, const std::string &Target,
            std::string_view Reason);

} // namespace sycamore::standin

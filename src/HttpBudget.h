// Memory and descriptors that the listeners of a process share.
#pragma once

#include "sycamore/HttpServer.h"

#include <cstdint>
#include <vector>

namespace sycamore {

class HttpConnectionOwner;

struct HttpBudget {
  std::size_t MaxBytes_ = 0;
  /// Descriptors of the process up to which connections are accepted; 0: any
  /// number.
  std::size_t MaxDescriptors_ = 0;
  std::size_t Bytes_ = 0;
  std::uint64_t DroppedForBytes_ = 0;
  std::uint64_t ClosedForDescriptors_ = 0;
  std::vector<HttpConnectionOwner *> Owners_;
};

} // namespace sycamore

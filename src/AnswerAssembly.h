// Assembles the body of an answer that arrives in parts.
#pragma once

#include "sycamore/Error.h"
#include "sycamore/PeerMessages.pb.h"

#include <string>
#include <string_view>

namespace sycamore {

/// Parts received so far of one attempt's answer.
struct AnswerAssembly {
  std::string Bytes_;
  std::uint64_t Size_ = 0; ///< Of the whole body, as stated by the parts.
};

/// Appends a part. Errors: InvalidData when the part does not follow the bytes
/// received, exceeds the stated size, or states more than MaxBytes; the
/// assembly is then empty, so that the answer counts as damaged.
Result<void> addPart(AnswerAssembly &Assembly, const wire::CallAnswerPart &Part,
                     std::string_view Bytes, std::uint64_t MaxBytes);

/// The body of an answer whose last bytes are Last. Without all parts before
/// Offset it is Last only, which does not match the answer's size.
std::string takeBody(AnswerAssembly &Assembly, std::uint64_t Offset,
                     std::string Last);

} // namespace sycamore

// Assembles the body of an answer that arrives in parts.
#include "AnswerAssembly.h"

#include <utility>

namespace sycamore {

Result<void> addPart(AnswerAssembly &Assembly, const wire::CallAnswerPart &Part,
                     std::string_view Bytes, std::uint64_t MaxBytes) {
  auto Reject = [&](const std::string &Reason, const char *Remedy) {
    Assembly = {};
    return fail(ErrorKind::InvalidData, "part of an answer: " + Reason, Remedy);
  };
  if (Part.body_size() > MaxBytes)
    return Reject("its body of " + std::to_string(Part.body_size()) +
                      " bytes exceeds limits.max_body_bytes (" +
                      std::to_string(MaxBytes) + ")",
                  "raise limits.max_body_bytes on every daemon");
  if (Part.offset() == 0)
    Assembly = {{}, Part.body_size()};
  if (Part.offset() != Assembly.Bytes_.size() ||
      Part.body_size() != Assembly.Size_)
    return Reject("offset " + std::to_string(Part.offset()) + " of " +
                      std::to_string(Part.body_size()) + " bytes, expected " +
                      std::to_string(Assembly.Bytes_.size()) + " of " +
                      std::to_string(Assembly.Size_),
                  "the answer is requested again");
  if (Bytes.size() > Assembly.Size_ - Assembly.Bytes_.size())
    return Reject(std::to_string(Bytes.size()) + " bytes at offset " +
                      std::to_string(Part.offset()) +
                      " exceed the stated size of " +
                      std::to_string(Part.body_size()),
                  "the answer is requested again");
  if (Assembly.Bytes_.empty())
    Assembly.Bytes_.reserve(Assembly.Size_);
  Assembly.Bytes_ += Bytes;
  return {};
}

std::string takeBody(AnswerAssembly &Assembly, std::uint64_t Offset,
                     std::string Last) {
  AnswerAssembly Taken = std::exchange(Assembly, {});
  if (Offset == 0 || Taken.Bytes_.size() != Offset)
    return Last;
  Taken.Bytes_ += Last;
  return std::move(Taken.Bytes_);
}

} // namespace sycamore

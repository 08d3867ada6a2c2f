// Strict JSON parsing: duplicate keys, invalid UTF-8, deep nesting and
// oversized input are errors, and unknown fields are reported with the closest
// known name.
#pragma once

#include "sycamore/Error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore {

using Json = nlohmann::json;

struct JsonLimits {
  std::size_t MaxBytes_ = 1U << 20U; ///< Input size in bytes.
  std::size_t MaxDepth_ = 32;        ///< Nesting of arrays and objects.
};

/// Parses one JSON document. Errors are of kind InvalidData or TooLarge and
/// state the byte offset of invalid syntax and Source, such as a file name.
Result<Json> parseJson(std::string_view Text, std::string_view Source,
                       const JsonLimits &Limits = {});

/// Reads and parses a file of at most Limits.MaxBytes_. Adds InvalidArgument
/// for a directory and NotFound to the errors above.
Result<Json> parseJsonFile(const std::string &Path,
                           const JsonLimits &Limits = {});

/// Texts of the elements of a JSON array, so that one that cannot be parsed
/// does not hide the others. Unset if Text is not an array whose brackets and
/// strings are closed; the elements themselves are not checked.
std::optional<std::vector<std::string_view>>
arrayElements(std::string_view Text);

/// Reads the fields of one object and collects every problem found, each with
/// field path, value and what is allowed.
class ObjectReader {
public:
  /// Path is the path of Value inside the document, empty for its root.
  ObjectReader(const Json &Value, std::string Path,
               std::vector<std::string> &Problems);

  /// These leave Out unchanged when the field is absent or invalid.
  void readString(std::string_view Field, std::string &Out);
  void readBool(std::string_view Field, bool &Out);
  void readUnsigned(std::string_view Field, std::uint64_t &Out,
                    std::uint64_t Min, std::uint64_t Max);
  void readNumber(std::string_view Field, double &Out, double Min, double Max);
  void readStrings(std::string_view Field, std::vector<std::string> &Out);

  /// The raw value, or null when absent; marks the field as known.
  const Json *find(std::string_view Field);

  /// Reports a problem if the field is absent; returns whether it is present.
  bool require(std::string_view Field);

  /// Reports a problem with a field.
  void reportProblem(std::string_view Field, std::string_view What);

  /// Reports every field that no previous call has named; must be called last.
  void reportUnknownFields();

  std::string pathOf(std::string_view Field) const;

private:
  const Json &Value_;
  std::string Path_;
  std::vector<std::string> &Problems_;
  std::set<std::string, std::less<>> KnownFields_;
};

/// Combines the problems into one error of kind Kind, with one line for each of
/// the first 100; unset when there are none.
std::optional<Error> problemsToError(ErrorKind Kind, std::string_view Source,
                                     const std::vector<std::string> &Problems,
                                     std::string Remedy);

/// The candidate with the smallest edit distance to Word, if it is at most 2 or
/// one of them is a prefix of the other; unset when there is none.
std::optional<std::string>
nearestName(std::string_view Word,
            const std::set<std::string, std::less<>> &Candidates);

} // namespace sycamore

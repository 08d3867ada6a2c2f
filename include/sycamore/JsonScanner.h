// Divides the text of a JSON document into the texts of its parts in one pass,
// without building values.
#pragma once

#include <functional>
#include <optional>
#include <string_view>

namespace sycamore {

/// Reads a text from its start. Each function returns false or nothing when the
/// text is not what it reads; the position is then not defined. Texts of values
/// are delimited, not checked: use parseJson() for them.
class JsonScanner {
public:
  explicit JsonScanner(std::string_view Text) : Text_(Text) {}

  /// Reads an object. ReadMember must read the member's value. Names with
  /// escapes or other characters than printable ASCII end the reading.
  bool readObject(const std::function<bool(std::string_view Name)> &ReadMember);

  /// Reads an array. ReadElement must read one element.
  bool readArray(const std::function<bool()> &ReadElement);

  /// Reads a value of any kind and returns its text without space around it.
  std::optional<std::string_view> readValue();

  /// Whether only space is left.
  bool atEnd();

private:
  void skipSpace();
  bool consume(char Expected);
  /// Reads a string and returns what its quotes enclose, with escapes.
  std::optional<std::string_view> readString();
  bool skipContainer();

  std::string_view Text_;
  std::size_t Position_ = 0;
};

} // namespace sycamore

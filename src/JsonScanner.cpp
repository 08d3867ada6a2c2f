// Divides the text of a JSON document into the texts of its parts in one pass.
#include "sycamore/JsonScanner.h"

#include <algorithm>

namespace sycamore {
namespace {

constexpr std::string_view Space = " \t\r\n";

bool isPlain(std::string_view Name) {
  return std::all_of(Name.begin(), Name.end(), [](char Each) {
    return Each >= ' ' && Each <= '~' && Each != '\\';
  });
}

} // namespace

void JsonScanner::skipSpace() {
  while (Position_ < Text_.size() &&
         Space.find(Text_[Position_]) != std::string_view::npos)
    ++Position_;
}

bool JsonScanner::consume(char Expected) {
  skipSpace();
  if (Position_ >= Text_.size() || Text_[Position_] != Expected)
    return false;
  ++Position_;
  return true;
}

bool JsonScanner::atEnd() {
  skipSpace();
  return Position_ == Text_.size();
}

std::optional<std::string_view> JsonScanner::readString() {
  if (!consume('"'))
    return std::nullopt;
  std::size_t Start = Position_;
  std::size_t End = Text_.find('"', Start);
  while (End != std::string_view::npos) {
    std::size_t Backslashes = 0;
    while (End - Backslashes > Start && Text_[End - 1 - Backslashes] == '\\')
      ++Backslashes;
    if (Backslashes % 2 == 0)
      break;
    End = Text_.find('"', End + 1);
  }
  if (End == std::string_view::npos)
    return std::nullopt;
  Position_ = End + 1;
  return Text_.substr(Start, End - Start);
}

bool JsonScanner::skipContainer() {
  std::size_t Depth = 0;
  while (Position_ < Text_.size()) {
    char Character = Text_[Position_];
    if (Character == '"') {
      if (!readString())
        return false;
      continue;
    }
    ++Position_;
    if (Character == '{' || Character == '[')
      ++Depth;
    else if ((Character == '}' || Character == ']') && --Depth == 0)
      return true;
  }
  return false;
}

std::optional<std::string_view> JsonScanner::readValue() {
  skipSpace();
  std::size_t Start = Position_;
  if (Start >= Text_.size())
    return std::nullopt;
  char First = Text_[Start];
  bool Read = true;
  if (First == '"')
    Read = readString().has_value();
  else if (First == '{' || First == '[')
    Read = skipContainer();
  else
    Position_ =
        std::min(Text_.find_first_of(",]} \t\r\n", Start), Text_.size());
  if (!Read || Position_ == Start)
    return std::nullopt;
  return Text_.substr(Start, Position_ - Start);
}

bool JsonScanner::readObject(
    const std::function<bool(std::string_view Name)> &ReadMember) {
  if (!consume('{'))
    return false;
  if (consume('}'))
    return true;
  do {
    auto Name = readString();
    if (!Name || !isPlain(*Name) || !consume(':') || !ReadMember(*Name))
      return false;
  } while (consume(','));
  return consume('}');
}

bool JsonScanner::readArray(const std::function<bool()> &ReadElement) {
  if (!consume('['))
    return false;
  if (consume(']'))
    return true;
  do {
    if (!ReadElement())
      return false;
  } while (consume(','));
  return consume(']');
}

} // namespace sycamore

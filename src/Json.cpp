// Strict JSON parsing and field-by-field reading.
#include "sycamore/Json.h"

#include "TicketMutations.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <numeric>

namespace sycamore {
namespace {

/// Values and names quoted in messages are truncated to this many bytes.
constexpr std::size_t MaxQuotedBytes = 60;

/// Maximum length of a line of a message; only hostile field names exceed it.
constexpr std::size_t MaxLineBytes = 400;

/// Maximum number of problems listed in one error; a document with more is not
/// of the expected type.
constexpr std::size_t MaxListedProblems = 100;

/// Truncates valid UTF-8 between two characters.
std::string truncateText(std::string Text, std::size_t MaxBytes) {
  if (Text.size() <= MaxBytes)
    return Text;
  std::size_t End = MaxBytes;
  while (!mutationEnabled("json-cut-inside-character") && End > 0 &&
         (static_cast<unsigned char>(Text[End]) & 0xC0U) == 0x80U)
    --End;
  Text.resize(End);
  return Text + "...";
}

/// Shortens an error message of the JSON library, which quotes all that it read
/// of an invalid token, in arbitrary bytes. Keeps the end of the token, with
/// '?' for bytes other than printable ASCII.
std::string shortenParseError(std::string Text) {
  if (std::size_t Start = Text.find("] "); Start != std::string::npos)
    Text.erase(0, Start + 2);
  constexpr std::string_view Quote = "last read: '";
  if (std::size_t Start = Text.find(Quote); Start != std::string::npos) {
    Start += Quote.size();
    if (Text.size() - Start > MaxQuotedBytes)
      Text.replace(Start, Text.size() - Start - MaxQuotedBytes, "...");
  }
  for (char &Character : Text)
    if (Character < ' ' || Character > '~')
      Character = '?';
  return Text;
}

/// Builds a Json value from SAX events and stops at the first duplicate key and
/// at nesting deeper than the limit.
class StrictBuilder : public nlohmann::json_sax<Json> {
public:
  StrictBuilder(Json &Root, std::size_t MaxDepth)
      : DomParser_(Root, /*allow_exceptions=*/false), MaxDepth_(MaxDepth) {}

  bool null() override { return DomParser_.null(); }
  bool boolean(bool Value) override { return DomParser_.boolean(Value); }
  bool number_integer(number_integer_t Value) override {
    return DomParser_.number_integer(Value);
  }
  bool number_unsigned(number_unsigned_t Value) override {
    return DomParser_.number_unsigned(Value);
  }
  bool number_float(number_float_t Value, const string_t &Text) override {
    return DomParser_.number_float(Value, Text);
  }
  bool string(string_t &Value) override { return DomParser_.string(Value); }
  bool binary(binary_t &Value) override { return DomParser_.binary(Value); }

  bool start_object(std::size_t Size) override {
    Keys_.emplace_back();
    return enterContainer() && DomParser_.start_object(Size);
  }
  bool key(string_t &Name) override {
    if (!Keys_.back().insert(Name).second &&
        !mutationEnabled("json-allow-duplicate-keys")) {
      Message_ = "duplicate key \"" + truncateText(Name, MaxQuotedBytes) + "\"";
      return false;
    }
    return DomParser_.key(Name);
  }
  bool end_object() override {
    Keys_.pop_back();
    --Depth_;
    return DomParser_.end_object();
  }
  bool start_array(std::size_t Size) override {
    return enterContainer() && DomParser_.start_array(Size);
  }
  bool end_array() override {
    --Depth_;
    return DomParser_.end_array();
  }
  bool parse_error(std::size_t Position, const std::string & /*Token*/,
                   const nlohmann::detail::exception &Failure) override {
    Message_ = "at byte " + std::to_string(Position) + ": " +
               shortenParseError(Failure.what());
    return false;
  }

  const std::string &message() const { return Message_; }

private:
  bool enterContainer() {
    if (++Depth_ <= MaxDepth_ || mutationEnabled("json-allow-depth"))
      return true;
    Message_ = "nested deeper than " + std::to_string(MaxDepth_) + " levels";
    return false;
  }

  nlohmann::detail::json_sax_dom_parser<Json> DomParser_;
  std::size_t MaxDepth_;
  std::size_t Depth_ = 0;
  std::vector<std::set<std::string>> Keys_;
  std::string Message_;
};

std::size_t editDistance(std::string_view Left, std::string_view Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      std::size_t Substitution = Diagonal + (Left[I - 1] != Right[J - 1]);
      Diagonal = Row[J];
      Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Substitution});
    }
  }
  return Row.back();
}

std::string quoteValue(const Json &Value) {
  return truncateText(
      Value.dump(-1, ' ', false, Json::error_handler_t::replace),
      MaxQuotedBytes);
}

} // namespace

Result<Json> parseJson(std::string_view Text, std::string_view Source,
                       const JsonLimits &Limits) {
  if (Text.size() > Limits.MaxBytes_)
    return fail(ErrorKind::TooLarge,
                std::string(Source) + ": " + std::to_string(Text.size()) +
                    " bytes, at most " + std::to_string(Limits.MaxBytes_) +
                    " are allowed",
                "split the document or remove what is not needed");
  Json Root;
  StrictBuilder Builder(Root, Limits.MaxDepth_);
  if (!Json::sax_parse(Text.begin(), Text.end(), &Builder))
    return fail(ErrorKind::InvalidData,
                std::string(Source) + ": not valid JSON: " + Builder.message(),
                "correct the document at that place");
  return Root;
}

Result<Json> parseJsonFile(const std::string &Path, const JsonLimits &Limits) {
  std::error_code Ignored;
  if (std::filesystem::is_directory(Path, Ignored))
    return fail(ErrorKind::InvalidArgument, Path + ": is a directory",
                "name a file");
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return fail(ErrorKind::NotFound, Path + ": cannot be opened",
                "check the path and its permissions");
  std::string Text(Limits.MaxBytes_ + 1, '\0');
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(File.gcount()));
  return parseJson(Text, Path, Limits);
}

std::optional<std::vector<std::string_view>>
arrayElements(std::string_view Text) {
  constexpr std::string_view Space = " \t\r\n";
  std::size_t First = std::min(Text.find_first_not_of(Space), Text.size());
  Text.remove_prefix(First);
  Text = Text.substr(0, Text.find_last_not_of(Space) + 1);
  if (Text.size() < 2 || Text.front() != '[' || Text.back() != ']')
    return std::nullopt;
  Text = Text.substr(1, Text.size() - 2);
  std::vector<std::string_view> Out;
  std::size_t Depth = 0;
  std::size_t Start = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    char Character = Text[I];
    if (InString) {
      I += Character == '\\' ? 1 : 0;
      InString = Character != '"';
    } else if (Character == '"') {
      InString = true;
    } else if (Character == '[' || Character == '{') {
      ++Depth;
    } else if (Character == ']' || Character == '}') {
      if (Depth-- == 0)
        return std::nullopt;
    } else if (Character == ',' && Depth == 0) {
      Out.push_back(Text.substr(Start, I - Start));
      Start = I + 1;
    }
  }
  if (InString || Depth != 0)
    return std::nullopt;
  if (!Out.empty() || Text.find_first_not_of(Space) != std::string_view::npos)
    Out.push_back(Text.substr(Start));
  return Out;
}

ObjectReader::ObjectReader(const Json &Value, std::string Path,
                           std::vector<std::string> &Problems)
    : Value_(Value), Path_(std::move(Path)), Problems_(Problems) {
  if (!Value_.is_object())
    Problems_.push_back((Path_.empty() ? "document" : Path_) + ": " +
                        quoteValue(Value_) + " is not an object");
}

std::string ObjectReader::pathOf(std::string_view Field) const {
  return Path_.empty() ? std::string(Field) : Path_ + "." + std::string(Field);
}

const Json *ObjectReader::find(std::string_view Field) {
  KnownFields_.emplace(Field);
  if (!Value_.is_object())
    return nullptr;
  auto Found = Value_.find(std::string(Field));
  return Found == Value_.end() ? nullptr : &*Found;
}

void ObjectReader::reportProblem(std::string_view Field,
                                 std::string_view What) {
  const Json *Value = find(Field);
  std::string Text = pathOf(Field) + ": ";
  if (Value)
    Text += quoteValue(*Value) + " ";
  Problems_.push_back(Text + std::string(What));
}

bool ObjectReader::require(std::string_view Field) {
  if (find(Field))
    return true;
  if (Value_.is_object())
    Problems_.push_back(pathOf(Field) + ": is required");
  return false;
}

void ObjectReader::readString(std::string_view Field, std::string &Out) {
  const Json *Value = find(Field);
  if (!Value)
    return;
  if (Value->is_string())
    Out = Value->get<std::string>();
  else
    reportProblem(Field, "is not a string");
}

void ObjectReader::readBool(std::string_view Field, bool &Out) {
  const Json *Value = find(Field);
  if (!Value)
    return;
  if (Value->is_boolean())
    Out = Value->get<bool>();
  else
    reportProblem(Field, "is not true or false");
}

void ObjectReader::readUnsigned(std::string_view Field, std::uint64_t &Out,
                                std::uint64_t Min, std::uint64_t Max) {
  const Json *Value = find(Field);
  if (!Value)
    return;
  // Values built by this program may have a signed type without being negative.
  bool IsNonNegativeInteger =
      Value->is_number_unsigned() ||
      (Value->is_number_integer() && Value->get<std::int64_t>() >= 0);
  if (IsNonNegativeInteger && Value->get<std::uint64_t>() >= Min &&
      Value->get<std::uint64_t>() <= Max)
    Out = Value->get<std::uint64_t>();
  else
    reportProblem(Field, "is not a whole number from " + std::to_string(Min) +
                             " to " + std::to_string(Max));
}

void ObjectReader::readNumber(std::string_view Field, double &Out, double Min,
                              double Max) {
  const Json *Value = find(Field);
  if (!Value)
    return;
  if (Value->is_number() && Value->get<double>() >= Min &&
      Value->get<double>() <= Max)
    Out = Value->get<double>();
  else
    reportProblem(Field, "is not a number from " + Json(Min).dump() + " to " +
                             Json(Max).dump());
}

void ObjectReader::readStrings(std::string_view Field,
                               std::vector<std::string> &Out) {
  const Json *Value = find(Field);
  if (!Value)
    return;
  bool Valid = Value->is_array() &&
               std::all_of(Value->begin(), Value->end(),
                           [](const Json &Item) { return Item.is_string(); });
  if (Valid)
    Out = Value->get<std::vector<std::string>>();
  else
    reportProblem(Field, "is not an array of strings");
}

void ObjectReader::reportUnknownFields() {
  if (!Value_.is_object() || mutationEnabled("json-ignore-unknown-fields"))
    return;
  for (const auto &[Name, Value] : Value_.items()) {
    if (KnownFields_.contains(Name))
      continue;
    std::string Text = pathOf(Name) + ": unknown field";
    if (auto Hint = nearestName(Name, KnownFields_))
      Text += ", did you mean \"" + *Hint + "\"?";
    Problems_.push_back(Text);
  }
}

std::optional<Error> problemsToError(ErrorKind Kind, std::string_view Source,
                                     const std::vector<std::string> &Problems,
                                     std::string Remedy) {
  if (Problems.empty())
    return std::nullopt;
  std::string Message;
  std::size_t Listed = std::min(Problems.size(), MaxListedProblems);
  for (std::size_t I = 0; I < Listed; ++I) {
    if (!Message.empty())
      Message += "\n";
    Message +=
        std::string(Source) + ": " + truncateText(Problems[I], MaxLineBytes);
  }
  if (Listed < Problems.size())
    Message += "\n" + std::string(Source) + ": and " +
               std::to_string(Problems.size() - Listed) + " more problems";
  return Error{Kind, Message, std::move(Remedy)};
}

std::optional<std::string>
nearestName(std::string_view Word,
            const std::set<std::string, std::less<>> &Candidates) {
  constexpr std::size_t MaxDistance = 2;
  constexpr std::size_t MinPrefixLength = 4;
  std::optional<std::string> Best;
  std::size_t BestDistance = MaxDistance + 1;
  for (const std::string &Candidate : Candidates) {
    std::size_t Longer = std::max(Word.size(), Candidate.size());
    std::size_t Shorter = std::min(Word.size(), Candidate.size());
    std::size_t Distance = MaxDistance + 1;
    if (Longer - Shorter <= MaxDistance)
      Distance = editDistance(Word, Candidate);
    // A missing unit such as "_ms" is a common mistake, at a distance of three.
    bool IsPrefix =
        Shorter >= MinPrefixLength &&
        (Candidate.starts_with(Word) || Word.starts_with(Candidate));
    if (IsPrefix)
      Distance = std::min(Distance, MaxDistance);
    if (Distance < BestDistance) {
      Best = Candidate;
      BestDistance = Distance;
    }
  }
  return Best;
}

} // namespace sycamore

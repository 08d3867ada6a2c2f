// Reads typed settings fields and records their paths.
#include "SettingsReader.h"

#include "sycamore/Ticket.h"

#include <algorithm>

namespace sycamore {
namespace {

const Json EmptyObject = Json::object();

std::string quotedList(const std::vector<std::string> &Allowed) {
  std::string Out;
  for (const std::string &Item : Allowed)
    Out += (Out.empty() ? "\"" : ", \"") + Item + "\"";
  return Out;
}

} // namespace

SettingsReader::SettingsReader(const Json &Value, const std::string &Path,
                               const std::string &FieldPath,
                               Context &ParseContext)
    : Object_(Value, Path, ParseContext.Problems_), FieldPath_(FieldPath),
      Context_(ParseContext) {}

std::string SettingsReader::joinPath(const std::string &Path,
                                     std::string_view Field) const {
  return Path.empty() ? std::string(Field) : Path + "." + std::string(Field);
}

void SettingsReader::recordField(std::string_view Field) {
  if (!Context_.Fields_)
    return;
  std::string Path = joinPath(FieldPath_, Field);
  std::vector<std::string> &Fields = *Context_.Fields_;
  if (std::find(Fields.begin(), Fields.end(), Path) == Fields.end())
    Fields.push_back(Path);
}

const Json *SettingsReader::find(std::string_view Field) {
  recordField(Field);
  return Object_.find(Field);
}

void SettingsReader::reportProblem(std::string_view Field,
                                   std::string_view What) {
  Object_.reportProblem(Field, What);
}

void SettingsReader::require(std::string_view Field) {
  recordField(Field);
  Object_.require(Field);
}

void SettingsReader::string(std::string_view Field, std::string &Out) {
  recordField(Field);
  Object_.readString(Field, Out);
}

void SettingsReader::flag(std::string_view Field, bool &Out) {
  recordField(Field);
  Object_.readBool(Field, Out);
}

void SettingsReader::integer(std::string_view Field, std::uint64_t &Out,
                             std::uint64_t Min, std::uint64_t Max) {
  recordField(Field);
  Object_.readUnsigned(Field, Out, Min, Max);
}

void SettingsReader::number(std::string_view Field, double &Out, double Min,
                            double Max) {
  recordField(Field);
  Object_.readNumber(Field, Out, Min, Max);
}

void SettingsReader::name(std::string_view Field, std::string &Out,
                          bool Required) {
  if (Required)
    require(Field);
  string(Field, Out);
  const Json *Value = find(Field);
  if (Value && Value->is_string() && !isValidName(Out))
    reportProblem(Field,
                  "is not a name (1 to 128 letters, digits, '-', '_', '.')");
}

void SettingsReader::address(std::string_view Field, std::string &Out,
                             bool AllowPortZero) {
  string(Field, Out);
  const Json *Value = find(Field);
  if (!Value || !Value->is_string())
    return;
  auto Parsed = parseSocketAddress(Out);
  if (!Parsed)
    reportProblem(Field, "is not \"IPV4:PORT\" or \"[IPV6]:PORT\"");
  else if (Parsed->Port_ == 0 && !AllowPortZero)
    reportProblem(Field, "has port 0; allowed ports are 1 to 65535");
}

void SettingsReader::addresses(std::string_view Field,
                               std::vector<std::string> &Out) {
  recordField(Field);
  Object_.readStrings(Field, Out);
  const Json *Value = find(Field);
  if (!Value || !Value->is_array())
    return;
  if (Value->empty())
    reportProblem(Field, "is empty; at least one \"IP:PORT\" is required");
  for (const std::string &Item : Out) {
    auto Parsed = parseSocketAddress(Item);
    if (!Parsed || Parsed->Port_ == 0)
      reportProblem(Field,
                    "holds \"" + Item +
                        "\", which is not \"IPV4:PORT\" or \"[IPV6]:PORT\" "
                        "with a port from 1 to 65535");
  }
}

void SettingsReader::file(std::string_view Field, std::string &Out) {
  string(Field, Out);
  const Json *Value = find(Field);
  if (Value && Value->is_string() &&
      (Out.empty() || Out.find('\0') != std::string::npos))
    reportProblem(Field, "is not the path of a file");
}

void SettingsReader::oneOf(std::string_view Field, std::string &Out,
                           const std::vector<std::string> &Allowed) {
  string(Field, Out);
  const Json *Value = find(Field);
  if (Value && Value->is_string() &&
      std::find(Allowed.begin(), Allowed.end(), Out) == Allowed.end())
    reportProblem(Field, "is not one of " + quotedList(Allowed));
}

void SettingsReader::subsetOf(std::string_view Field,
                              std::vector<std::string> &Out,
                              const std::vector<std::string> &Allowed) {
  recordField(Field);
  Object_.readStrings(Field, Out);
  const Json *Value = find(Field);
  if (!Value || !Value->is_array())
    return;
  std::set<std::string> Seen;
  bool Valid = !Value->empty();
  for (const std::string &Item : Out)
    Valid = Valid && Seen.insert(Item).second &&
            std::find(Allowed.begin(), Allowed.end(), Item) != Allowed.end();
  if (!Valid)
    reportProblem(Field, "is not an array of one or more distinct items of " +
                             quotedList(Allowed));
}

void SettingsReader::errorStatuses(std::string_view Field,
                                   std::vector<std::uint32_t> &Out) {
  constexpr std::int64_t MinStatus = 400;
  constexpr std::int64_t MaxStatus = 599;
  recordField(Field);
  const Json *Value = find(Field);
  if (!Value)
    return;
  std::set<std::int64_t> Statuses;
  bool Valid = Value->is_array();
  for (std::size_t I = 0; Valid && I < Value->size(); ++I) {
    const Json &Item = (*Value)[I];
    std::int64_t Status =
        Item.is_number_integer() ? Item.get<std::int64_t>() : 0;
    Valid = Status >= MinStatus && Status <= MaxStatus &&
            Statuses.insert(Status).second;
  }
  if (Valid)
    Out.assign(Statuses.begin(), Statuses.end());
  else
    reportProblem(Field,
                  "is not an array of distinct HTTP statuses from 400 to 599");
}

bool SettingsReader::section(std::string_view Field, const Section &Read) {
  const Json *Value = find(Field);
  if (!Value && !Context_.Fields_)
    return false;
  SettingsReader Nested(Value ? *Value : EmptyObject, Object_.pathOf(Field),
                        joinPath(FieldPath_, Field), Context_);
  Read(Nested);
  Nested.reportUnknownFields();
  return Value != nullptr;
}

void SettingsReader::forEachObject(std::string_view Field,
                                   const Section &Read) {
  const Json *Value = find(Field);
  std::string Path = Object_.pathOf(Field);
  std::string FieldPath = joinPath(FieldPath_, Field) + "[]";
  if (!Value && Context_.Fields_) {
    SettingsReader Nested(EmptyObject, Path, FieldPath, Context_);
    Read(Nested);
  }
  if (!Value)
    return;
  if (!Value->is_array())
    return reportProblem(Field, "is not an array of objects");
  for (std::size_t I = 0; I < Value->size(); ++I) {
    SettingsReader Nested((*Value)[I], Path + "[" + std::to_string(I) + "]",
                          FieldPath, Context_);
    Read(Nested);
    Nested.reportUnknownFields();
  }
}

std::vector<std::string> listFields(const SettingsReader::Section &Read) {
  std::vector<std::string> Fields;
  SettingsReader::Context ParseContext;
  ParseContext.Fields_ = &Fields;
  SettingsReader Reader(EmptyObject, "", "", ParseContext);
  Read(Reader);
  return Fields;
}

} // namespace sycamore

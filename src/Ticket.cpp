// Reads and writes ticket documents.
#include "sycamore/Ticket.h"

#include <algorithm>
#include <cctype>

namespace sycamore {
namespace {

constexpr std::uint64_t MaxTimeoutMs = 600'000;
constexpr std::uint64_t MaxSlots = 10000;
constexpr std::uint64_t MaxQueue = 100000;
constexpr std::size_t MaxMethodBytes = 32;
/// Numbers are padded to 12 digits in store keys.
constexpr std::uint64_t MaxTicketNumber = 999'999'999'999;

void readName(ObjectReader &Reader, std::string_view Field, std::string &Out) {
  Reader.readString(Field, Out);
  const Json *Value = Reader.find(Field);
  if (Value && Value->is_string() && !isValidName(Out))
    Reader.problem(Field, "is not a name (1 to 128 letters, digits, '-', '_', "
                          "'.')");
}

/// Reads an array of strings without repetition.
void readDistinct(ObjectReader &Reader, std::string_view Field,
                  std::vector<std::string> &Out) {
  Reader.readStrings(Field, Out);
  if (std::set<std::string>(Out.begin(), Out.end()).size() != Out.size())
    Reader.problem(Field, "names the same item twice");
}

/// Methods are case-sensitive, so "get" would match no request.
void readMethods(ObjectReader &Reader, std::vector<std::string> &Out) {
  readDistinct(Reader, "methods", Out);
  for (const std::string &Method : Out)
    if (Method.empty() || Method.size() > MaxMethodBytes ||
        Method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ-_") !=
            std::string::npos)
      Reader.problem("methods", "holds a name that is not a method in capital "
                                "letters, such as \"GET\"");
}

template <typename T, typename ReadEntity>
void readChanges(ObjectReader &Reader, std::string_view Field, Changes<T> &Out,
                 std::vector<std::string> &Problems, ReadEntity Read) {
  const Json *Value = Reader.find(Field);
  if (!Value)
    return;
  if (!Value->is_object()) {
    Reader.problem(Field, "is not an object from names to entities");
    return;
  }
  for (const auto &[Name, Entity] : Value->items()) {
    std::string Path = Reader.pathOf(Field) + "." + Name;
    if (!isValidName(Name))
      Problems.push_back(Path + ": is not a name (1 to 128 letters, digits, "
                                "'-', '_', '.')");
    if (Entity.is_null())
      Out[Name] = std::nullopt;
    else
      Out[Name] = Read(Entity, Path, Problems);
  }
}

template <typename T> Json changesToJson(const Changes<T> &Entities) {
  Json Out = Json::object();
  for (const auto &[Name, Entity] : Entities)
    Out[Name] = Entity ? toJson(*Entity) : Json();
  return Out;
}

} // namespace

bool isValidName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         std::all_of(Name.begin(), Name.end(), [](unsigned char Character) {
           return std::isalnum(Character) || Character == '-' ||
                  Character == '_' || Character == '.';
         });
}

Route readRoute(const Json &Value, const std::string &Path,
                std::vector<std::string> &Problems) {
  Route Out;
  ObjectReader Reader(Value, Path, Problems);
  Reader.readString("host", Out.Host_);
  Reader.readString("path_prefix", Out.PathPrefix_);
  if (!Out.PathPrefix_.starts_with('/'))
    Reader.problem("path_prefix", "does not start with '/'");
  readMethods(Reader, Out.Methods_);
  Reader.require("service");
  readName(Reader, "service", Out.Service_);
  readDistinct(Reader, "targets", Out.Targets_);
  if (Reader.find("idempotent")) {
    bool Idempotent = false;
    Reader.readBool("idempotent", Idempotent);
    Out.Idempotent_ = Idempotent;
  }
  std::uint64_t TimeoutMs = 0;
  Reader.readUnsigned("timeout_ms", TimeoutMs, 1, MaxTimeoutMs);
  Out.Timeout_ = milliseconds(TimeoutMs);
  Reader.rejectUnknown();
  return Out;
}

Service readService(const Json &Value, const std::string &Path,
                    std::vector<std::string> &Problems) {
  Service Out;
  ObjectReader Reader(Value, Path, Problems);
  std::uint64_t TimeoutMs = static_cast<std::uint64_t>(Out.Timeout_.count());
  Reader.readUnsigned("timeout_ms", TimeoutMs, 1, MaxTimeoutMs);
  Out.Timeout_ = milliseconds(TimeoutMs);
  std::uint64_t QueueLimit = Out.QueueLimit_;
  Reader.readUnsigned("queue_limit", QueueLimit, 0, MaxQueue);
  Out.QueueLimit_ = static_cast<std::uint32_t>(QueueLimit);
  Reader.readBool("hedging", Out.Hedging_);
  Reader.rejectUnknown();
  return Out;
}

TargetSpec readTargetSpec(const Json &Value, const std::string &Path,
                          std::vector<std::string> &Problems) {
  TargetSpec Out;
  ObjectReader Reader(Value, Path, Problems);
  Reader.require("service");
  readName(Reader, "service", Out.Service_);
  readName(Reader, "data_centre", Out.DataCentre_);
  std::uint64_t Slots = Out.Slots_;
  Reader.readUnsigned("slots", Slots, 1, MaxSlots);
  Out.Slots_ = static_cast<std::uint32_t>(Slots);
  Reader.rejectUnknown();
  return Out;
}

Result<Ticket> parseTicket(const Json &Document, std::string_view Source) {
  Ticket Out;
  std::vector<std::string> Problems;
  ObjectReader Reader(Document, "", Problems);
  Reader.readUnsigned("number", Out.Number_, 1, MaxTicketNumber);
  Reader.require("author");
  readName(Reader, "author", Out.Author_);
  Reader.readString("title", Out.Title_);
  readChanges(Reader, "routes", Out.Routes_, Problems, readRoute);
  readChanges(Reader, "services", Out.Services_, Problems, readService);
  readChanges(Reader, "targets", Out.Targets_, Problems, readTargetSpec);
  Reader.rejectUnknown();
  if (Out.Routes_.empty() && Out.Services_.empty() && Out.Targets_.empty() &&
      Problems.empty())
    Problems.emplace_back("the ticket changes nothing");
  if (auto Failure = problemsToError(
          ErrorKind::InvalidTicket, Source, Problems,
          "correct these fields and run `sycamorectl ticket lint` again"))
    return tl::unexpected<Error>(*Failure);
  return Out;
}

Result<Ticket> parseTicketText(std::string_view Text, std::string_view Source) {
  JsonLimits Limits;
  Limits.MaxBytes_ = MaxTicketBytes;
  return parseJson(Text, Source, Limits).and_then([&](const Json &Document) {
    return parseTicket(Document, Source);
  });
}

std::vector<std::string> lintTicket(const Ticket &Value) {
  std::vector<std::string> Problems;
  auto CheckService = [&](const std::string &Path, const std::string &Service) {
    auto Found = Value.Services_.find(Service);
    if (Found != Value.Services_.end() && !Found->second)
      Problems.push_back(Path + ".service: \"" + Service +
                         "\" is removed by this ticket");
  };
  for (const auto &[Name, Entity] : Value.Targets_)
    if (Entity)
      CheckService("targets." + Name, Entity->Service_);
  for (const auto &[Name, Entity] : Value.Routes_) {
    if (!Entity)
      continue;
    CheckService("routes." + Name, Entity->Service_);
    for (const std::string &Target : Entity->Targets_) {
      auto Found = Value.Targets_.find(Target);
      if (Found == Value.Targets_.end())
        continue;
      std::string Path = "routes." + Name + ".targets: \"" + Target + "\" ";
      if (!Found->second)
        Problems.push_back(Path + "is removed by this ticket");
      else if (Found->second->Service_ != Entity->Service_)
        Problems.push_back(Path + "belongs to service \"" +
                           Found->second->Service_ + "\"");
    }
  }
  return Problems;
}

Json toJson(const Route &Value) {
  Json Out = {{"path_prefix", Value.PathPrefix_}, {"service", Value.Service_}};
  if (!Value.Host_.empty())
    Out["host"] = Value.Host_;
  if (!Value.Methods_.empty())
    Out["methods"] = Value.Methods_;
  if (!Value.Targets_.empty())
    Out["targets"] = Value.Targets_;
  if (Value.Idempotent_)
    Out["idempotent"] = *Value.Idempotent_;
  if (Value.Timeout_.count() > 0)
    Out["timeout_ms"] = Value.Timeout_.count();
  return Out;
}

Json toJson(const Service &Value) {
  return {{"timeout_ms", Value.Timeout_.count()},
          {"queue_limit", Value.QueueLimit_},
          {"hedging", Value.Hedging_}};
}

Json toJson(const TargetSpec &Value) {
  Json Out = {{"service", Value.Service_}, {"slots", Value.Slots_}};
  if (!Value.DataCentre_.empty())
    Out["data_centre"] = Value.DataCentre_;
  return Out;
}

Json toJson(const Ticket &Value) {
  Json Out = {{"author", Value.Author_}};
  if (Value.Number_ != 0)
    Out["number"] = Value.Number_;
  if (!Value.Title_.empty())
    Out["title"] = Value.Title_;
  if (!Value.Routes_.empty())
    Out["routes"] = changesToJson(Value.Routes_);
  if (!Value.Services_.empty())
    Out["services"] = changesToJson(Value.Services_);
  if (!Value.Targets_.empty())
    Out["targets"] = changesToJson(Value.Targets_);
  return Out;
}

} // namespace sycamore

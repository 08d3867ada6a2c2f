// Parses and encodes ticket documents.
#include "sycamore/Ticket.h"

#include <algorithm>
#include <cctype>

namespace sycamore {
namespace {

constexpr std::uint64_t MaxTimeoutMs = 600'000;
constexpr std::uint64_t MaxSlots = 10000;
constexpr std::uint64_t MaxQueueLimit = 100000;
constexpr std::size_t MaxMethodBytes = 32;
constexpr std::uint64_t MaxWeight = 1'000'000;
constexpr std::uint64_t MaxAttemptLimit = 16;
constexpr std::uint64_t MaxPriority = 1000;
/// Numbers are padded to 12 digits in store keys.
constexpr std::uint64_t MaxTicketNumber = 999'999'999'999;

void readName(ObjectReader &Reader, std::string_view Field, std::string &Out) {
  Reader.readString(Field, Out);
  const Json *Value = Reader.find(Field);
  if (Value && Value->is_string() && !isValidName(Out))
    Reader.reportProblem(Field,
                         "is not a name (1 to 128 letters, digits, '-', '_', "
                         "'.')");
}

/// Reads an array of distinct strings.
void readDistinctStrings(ObjectReader &Reader, std::string_view Field,
                         std::vector<std::string> &Out) {
  Reader.readStrings(Field, Out);
  if (std::set<std::string>(Out.begin(), Out.end()).size() != Out.size())
    Reader.reportProblem(Field, "names the same item twice");
}

/// Methods are case-sensitive, so "get" would match no request.
void readMethods(ObjectReader &Reader, std::vector<std::string> &Out) {
  readDistinctStrings(Reader, "methods", Out);
  for (const std::string &Method : Out)
    if (Method.empty() || Method.size() > MaxMethodBytes ||
        Method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ-_") !=
            std::string::npos)
      Reader.reportProblem("methods",
                           "holds a name that is not a method in capital "
                           "letters, such as \"GET\"");
}

void readShares(ObjectReader &Reader, std::vector<RouteShare> &Out,
                std::vector<std::string> &Problems) {
  const Json *Value = Reader.find("split");
  if (!Value)
    return;
  if (!Value->is_array() || Value->empty()) {
    Reader.reportProblem("split", "is not an array of services with weights");
    return;
  }
  for (std::size_t I = 0; I < Value->size(); ++I) {
    ObjectReader Item((*Value)[I],
                      Reader.pathOf("split") + "[" + std::to_string(I) + "]",
                      Problems);
    RouteShare Share;
    std::uint64_t Weight = 0;
    Item.require("service");
    readName(Item, "service", Share.Service_);
    Item.require("weight");
    Item.readUnsigned("weight", Weight, 1, MaxWeight);
    Item.reportUnknownFields();
    Share.Weight_ = static_cast<std::uint32_t>(Weight);
    Out.push_back(std::move(Share));
  }
}

template <typename T, typename ReadEntity>
void readChanges(ObjectReader &Reader, std::string_view Field, Changes<T> &Out,
                 std::vector<std::string> &Problems, ReadEntity Read) {
  const Json *Value = Reader.find(Field);
  if (!Value)
    return;
  if (!Value->is_object()) {
    Reader.reportProblem(Field, "is not an object from names to entities");
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

void lintTenants(const Changes<Tenant> &Tenants,
                 std::vector<std::string> &Problems) {
  std::map<std::string, std::string> Holders;
  for (const auto &[Name, Entity] : Tenants) {
    if (!Entity)
      continue;
    for (std::size_t I = 0; I < Entity->KeyDigests_.size(); ++I) {
      auto [Holder, Added] = Holders.emplace(Entity->KeyDigests_[I], Name);
      if (!Added && Holder->second != Name)
        Problems.push_back("tenants." + Name + ".key_digests[" +
                           std::to_string(I) + "]: is also a key of tenant \"" +
                           Holder->second + "\"");
    }
  }
}

template <typename T> Json changesToJson(const Changes<T> &Entities) {
  Json Out = Json::object();
  for (const auto &[Name, Entity] : Entities)
    Out[Name] = Entity ? toJson(*Entity) : Json();
  return Out;
}

} // namespace

std::vector<std::string> servicesOf(const Route &Value) {
  if (Value.Split_.empty())
    return {Value.Service_};
  std::vector<std::string> Out;
  for (const RouteShare &Share : Value.Split_)
    Out.push_back(Share.Service_);
  return Out;
}

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
    Reader.reportProblem("path_prefix", "does not start with '/'");
  readMethods(Reader, Out.Methods_);
  readShares(Reader, Out.Split_, Problems);
  if (Out.Split_.empty())
    Reader.require("service");
  else if (Reader.find("service"))
    Reader.reportProblem("service", "cannot be combined with split");
  readName(Reader, "service", Out.Service_);
  readDistinctStrings(Reader, "targets", Out.Targets_);
  if (Reader.find("idempotent")) {
    bool Idempotent = false;
    Reader.readBool("idempotent", Idempotent);
    Out.Idempotent_ = Idempotent;
  }
  std::uint64_t TimeoutMs = 0;
  Reader.readUnsigned("timeout_ms", TimeoutMs, 1, MaxTimeoutMs);
  Out.Timeout_ = milliseconds(TimeoutMs);
  std::uint64_t LatencyTargetMs = 0;
  Reader.readUnsigned("latency_target_ms", LatencyTargetMs, 1, MaxTimeoutMs);
  Out.LatencyTarget_ = milliseconds(LatencyTargetMs);
  std::uint64_t MaxAttempts = 0;
  Reader.readUnsigned("max_attempts", MaxAttempts, 1, MaxAttemptLimit);
  Out.MaxAttempts_ = static_cast<std::uint32_t>(MaxAttempts);
  std::uint64_t Priority = 0;
  Reader.readUnsigned("priority", Priority, 0, MaxPriority);
  Out.Priority_ = static_cast<std::uint32_t>(Priority);
  Reader.readBool("allow_anonymous", Out.AllowAnonymous_);
  Reader.reportUnknownFields();
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
  Reader.readUnsigned("queue_limit", QueueLimit, 0, MaxQueueLimit);
  Out.QueueLimit_ = static_cast<std::uint32_t>(QueueLimit);
  Reader.readBool("hedging", Out.Hedging_);
  Reader.readBool("admit_announced", Out.AdmitAnnounced_);
  Reader.reportUnknownFields();
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
  Reader.reportUnknownFields();
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
  readChanges(Reader, "tenants", Out.Tenants_, Problems, readTenant);
  Reader.reportUnknownFields();
  if (Out.Routes_.empty() && Out.Services_.empty() && Out.Targets_.empty() &&
      Out.Tenants_.empty() && Problems.empty())
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
    for (const std::string &Service : servicesOf(*Entity))
      CheckService("routes." + Name, Service);
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
  lintTenants(Value.Tenants_, Problems);
  return Problems;
}

Json toJson(const Route &Value) {
  Json Out = {{"path_prefix", Value.PathPrefix_}};
  if (Value.Split_.empty())
    Out["service"] = Value.Service_;
  for (const RouteShare &Share : Value.Split_)
    Out["split"].push_back(
        {{"service", Share.Service_}, {"weight", Share.Weight_}});
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
  if (Value.LatencyTarget_.count() > 0)
    Out["latency_target_ms"] = Value.LatencyTarget_.count();
  if (Value.MaxAttempts_ > 0)
    Out["max_attempts"] = Value.MaxAttempts_;
  if (Value.Priority_ > 0)
    Out["priority"] = Value.Priority_;
  if (Value.AllowAnonymous_)
    Out["allow_anonymous"] = true;
  return Out;
}

Json toJson(const Service &Value) {
  Json Out = {{"timeout_ms", Value.Timeout_.count()},
              {"queue_limit", Value.QueueLimit_},
              {"hedging", Value.Hedging_}};
  if (Value.AdmitAnnounced_)
    Out["admit_announced"] = true;
  return Out;
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
  if (!Value.Tenants_.empty())
    Out["tenants"] = changesToJson(Value.Tenants_);
  return Out;
}

} // namespace sycamore

// Applies accepted tickets to snapshots and matches requests to routes.
#include "sycamore/Snapshot.h"

#include "TicketMutations.h"

#include <algorithm>
#include <array>
#include <openssl/evp.h>

namespace sycamore {
namespace {

template <typename T>
void applyChanges(std::map<std::string, T> &Entities, const Changes<T> &Change,
                  std::string_view Kind, std::vector<std::string> &Problems) {
  for (const auto &[Name, NewState] : Change) {
    if (NewState) {
      Entities[Name] = *NewState;
    } else if (Entities.erase(Name) == 0) {
      Problems.push_back(std::string(Kind) + "." + Name +
                         ": is removed but is not in force");
    }
  }
}

template <typename T>
Json entitiesToJson(const std::map<std::string, T> &ByName) {
  Json Out = Json::object();
  for (const auto &[Name, Entity] : ByName)
    Out[Name] = toJson(Entity);
  return Out;
}

template <typename T, typename ReadEntity>
void readEntities(ObjectReader &Reader, std::string_view Field,
                  std::map<std::string, T> &Out,
                  std::vector<std::string> &Problems, ReadEntity Read) {
  const Json *Value = Reader.find(Field);
  if (!Value)
    return;
  if (!Value->is_object()) {
    Reader.reportProblem(Field, "is not an object from names to entities");
    return;
  }
  for (const auto &[Name, Entity] : Value->items())
    Out[Name] = Read(Entity, Reader.pathOf(Field) + "." + Name, Problems);
}

/// Key of a route in Snapshot::RoutesByKey_. The separator is unambiguous,
/// because a host contains no line break.
std::string routeKey(std::string_view Host, std::string_view Prefix) {
  std::string Out(Host);
  Out += '\n';
  Out += Prefix;
  return Out;
}

void indexSnapshot(Snapshot &Value) {
  auto HasMethods = [&](const std::string &Name) {
    return !Value.State_.Routes_.at(Name).Methods_.empty();
  };
  for (const auto &[Name, Entity] : Value.State_.Routes_) {
    auto &Names =
        Value.RoutesByKey_[routeKey(Entity.Host_, Entity.PathPrefix_)];
    Names.push_back(Name);
    std::stable_partition(Names.begin(), Names.end(), HasMethods);
  }
  for (const auto &[Name, Entity] : Value.State_.Targets_)
    Value.TargetsOfService_[Entity.Service_].push_back(Name);
  for (const auto &[Name, Entity] : Value.State_.Tenants_)
    for (const std::string &Digest : Entity.KeyDigests_)
      Value.TenantsByKey_.emplace(Digest, Name);
}

bool methodMatches(const Route &Entity, std::string_view Method) {
  return Entity.Methods_.empty() ||
         std::find(Entity.Methods_.begin(), Entity.Methods_.end(), Method) !=
             Entity.Methods_.end();
}

/// Name of the first matching route with exactly this host and prefix, or null.
const std::string *findRoute(const Snapshot &Current, std::string_view Host,
                             std::string_view Prefix, std::string_view Method) {
  auto Found = Current.RoutesByKey_.find(routeKey(Host, Prefix));
  if (Found == Current.RoutesByKey_.end())
    return nullptr;
  for (const std::string &Name : Found->second)
    if (methodMatches(Current.State_.Routes_.at(Name), Method))
      return &Name;
  return nullptr;
}

/// Name of the route of one host with the longest prefix that ends at a
/// boundary between path segments, or null. The time does not depend on the
/// number of routes.
const std::string *findLongestMatch(const Snapshot &Current,
                                    std::string_view Host,
                                    std::string_view Method,
                                    std::string_view Path) {
  Path = Path.substr(0, Path.find('?'));
  if (const std::string *Exact = findRoute(Current, Host, Path, Method))
    return Exact;
  for (std::size_t End = Path.rfind('/'); End != std::string_view::npos;
       End = End == 0 ? std::string_view::npos : Path.rfind('/', End - 1)) {
    if (const std::string *WithSlash =
            findRoute(Current, Host, Path.substr(0, End + 1), Method))
      return WithSlash;
    if (const std::string *WithoutSlash =
            findRoute(Current, Host, Path.substr(0, End), Method))
      return WithoutSlash;
  }
  return nullptr;
}

Error chainError(const AcceptedTicket &Accepted, const std::string &Reason) {
  return {ErrorKind::InvalidTicket,
          "ticket " + std::to_string(Accepted.Ticket_.Number_) + ": " + Reason,
          "fetch the tickets again from the store or another server"};
}

/// An error unless the acceptance directly follows ticket Number with the given
/// Digest.
std::optional<Error> checkSuccessor(std::uint64_t Number,
                                    std::string_view Digest,
                                    const AcceptedTicket &Accepted) {
  if (Accepted.Ticket_.Number_ <= Number)
    return chainError(Accepted, "its number is not above " +
                                    std::to_string(Number) +
                                    ", which is in force");
  if (Accepted.PreviousDigest_ != Digest)
    return chainError(Accepted,
                      "does not follow ticket " + std::to_string(Number));
  if (chainDigest(Accepted) != Accepted.Digest_ &&
      !mutationEnabled("snapshot-skip-chain-digest"))
    return chainError(Accepted, "its digest does not match its content");
  return std::nullopt;
}

} // namespace

std::string sha256Hex(std::string_view Bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Hash{};
  unsigned Length = 0;
  EVP_Digest(Bytes.data(), Bytes.size(), Hash.data(), &Length, EVP_sha256(),
             nullptr);
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  for (unsigned I = 0; I < Length; ++I) {
    Out += Digits[Hash[I] >> 4U];
    Out += Digits[Hash[I] & 15U];
  }
  return Out;
}

Json toJson(const AcceptedTicket &Value) {
  return {{"ticket", toJson(Value.Ticket_)},
          {"filer", Value.Filer_},
          {"approver", Value.Approver_},
          {"acceptance_id", Value.AcceptanceId_},
          {"accepted_unix_us", Value.AcceptedUnixUs_},
          {"previous_digest", Value.PreviousDigest_},
          {"state_digest", Value.StateDigest_},
          {"digest", Value.Digest_},
          {"signature", Value.Signature_}};
}

Result<AcceptedTicket> parseAcceptedTicket(const Json &Document,
                                           std::string_view Source) {
  AcceptedTicket Out;
  std::vector<std::string> Problems;
  ObjectReader Reader(Document, "", Problems);
  Reader.readString("filer", Out.Filer_);
  Reader.readString("approver", Out.Approver_);
  Reader.readString("acceptance_id", Out.AcceptanceId_);
  std::uint64_t AcceptedUnixUs = 0;
  Reader.readUnsigned("accepted_unix_us", AcceptedUnixUs, 0, INT64_MAX);
  Out.AcceptedUnixUs_ = static_cast<std::int64_t>(AcceptedUnixUs);
  Reader.readString("previous_digest", Out.PreviousDigest_);
  Reader.readString("state_digest", Out.StateDigest_);
  Reader.readString("digest", Out.Digest_);
  Reader.readString("signature", Out.Signature_);
  const Json *TicketDocument =
      Reader.require("ticket") ? Reader.find("ticket") : nullptr;
  Reader.reportUnknownFields();
  if (auto Failure = problemsToError(ErrorKind::InvalidData, Source, Problems,
                                     "fetch the acceptance again"))
    return tl::unexpected<Error>(*Failure);
  auto Parsed = parseTicket(*TicketDocument, std::string(Source) + ": ticket");
  if (!Parsed)
    return tl::unexpected<Error>(Parsed.error());
  Out.Ticket_ = std::move(*Parsed);
  return Out;
}

Json toJson(const State &Value) {
  Json Out = {{"routes", entitiesToJson(Value.Routes_)},
              {"services", entitiesToJson(Value.Services_)},
              {"targets", entitiesToJson(Value.Targets_)}};
  // Left out if empty: the digests of states without tenants stay the same.
  if (!Value.Tenants_.empty())
    Out["tenants"] = entitiesToJson(Value.Tenants_);
  return Out;
}

std::string stateDigest(const State &Value) {
  return sha256Hex(toJson(Value).dump());
}

std::string chainDigest(const AcceptedTicket &Value) {
  Json Fields = toJson(Value);
  Fields.erase("digest");
  Fields.erase("signature");
  return sha256Hex(Fields.dump());
}

namespace {

void checkTenants(const State &Value, std::vector<std::string> &Problems) {
  std::unordered_map<std::string_view, std::string_view> Holders;
  for (const auto &[Name, Entity] : Value.Tenants_) {
    std::string Path = "tenants." + Name;
    for (std::size_t I = 0; I < Entity.KeyDigests_.size(); ++I) {
      auto [Holder, Added] = Holders.emplace(Entity.KeyDigests_[I], Name);
      if (!Added && Holder->second != Name)
        Problems.push_back(Path + ": key " + std::to_string(I) +
                           " is also a key of tenant \"" +
                           std::string(Holder->second) + "\"");
    }
  }
}

} // namespace

std::vector<std::string> danglingReferences(const State &Value) {
  std::vector<std::string> Problems;
  checkTenants(Value, Problems);
  for (const auto &[Name, Entity] : Value.Routes_) {
    for (const std::string &Service : servicesOf(Entity))
      if (!Value.Services_.contains(Service))
        Problems.push_back("routes." + Name + ".service: \"" + Service +
                           "\" is not a service");
    for (const std::string &Target : Entity.Targets_) {
      auto Found = Value.Targets_.find(Target);
      if (Found == Value.Targets_.end())
        Problems.push_back("routes." + Name + ".targets: \"" + Target +
                           "\" is not a target");
      else if (Found->second.Service_ != Entity.Service_)
        Problems.push_back("routes." + Name + ".targets: \"" + Target +
                           "\" belongs to service \"" + Found->second.Service_ +
                           "\"");
    }
  }
  for (const auto &[Name, Entity] : Value.Targets_)
    if (!Value.Services_.contains(Entity.Service_))
      Problems.push_back("targets." + Name + ".service: \"" + Entity.Service_ +
                         "\" is not a service");
  return Problems;
}

Result<State> applyToState(const State &Before, const Ticket &Change) {
  State After = Before;
  std::vector<std::string> Problems;
  applyChanges(After.Routes_, Change.Routes_, "routes", Problems);
  applyChanges(After.Services_, Change.Services_, "services", Problems);
  applyChanges(After.Targets_, Change.Targets_, "targets", Problems);
  applyChanges(After.Tenants_, Change.Tenants_, "tenants", Problems);
  for (std::string &Problem : danglingReferences(After))
    Problems.push_back(std::move(Problem));
  if (auto Failure = problemsToError(
          ErrorKind::InvalidTicket, "ticket " + std::to_string(Change.Number_),
          Problems, "name existing entities or add them in the same ticket"))
    return tl::unexpected<Error>(*Failure);
  return After;
}

Result<Snapshot> applyTicket(const Snapshot &Before,
                             const AcceptedTicket &Accepted) {
  return applyTickets(Before, std::span(&Accepted, 1));
}

Result<Snapshot> applyTickets(const Snapshot &Before,
                              std::span<const AcceptedTicket> Chain) {
  if (Chain.empty())
    return Before;
  Snapshot Out;
  Out.Number_ = Before.Number_;
  Out.Digest_ = Before.Digest_;
  Out.State_ = Before.State_;
  for (const AcceptedTicket &Accepted : Chain) {
    if (auto Failure = checkSuccessor(Out.Number_, Out.Digest_, Accepted))
      return tl::unexpected<Error>(*Failure);
    auto After = applyToState(Out.State_, Accepted.Ticket_);
    if (!After)
      return tl::unexpected<Error>(After.error());
    Out.Number_ = Accepted.Ticket_.Number_;
    Out.Digest_ = Accepted.Digest_;
    Out.State_ = std::move(*After);
  }
  const AcceptedTicket &Last = Chain.back();
  if (stateDigest(Out.State_) != Last.StateDigest_ &&
      !mutationEnabled("snapshot-skip-state-digest"))
    return tl::unexpected<Error>(
        chainError(Last, "the resulting state has another digest"));
  Out.LastAcceptance_ = Last;
  indexSnapshot(Out);
  return Out;
}

Json toJson(const Snapshot &Value) {
  Json Out = {{"state", toJson(Value.State_)}};
  if (Value.LastAcceptance_)
    Out["last"] = toJson(*Value.LastAcceptance_);
  return Out;
}

Result<Snapshot> parseSnapshot(const Json &Document, std::string_view Source) {
  Snapshot Out;
  std::vector<std::string> Problems;
  ObjectReader Reader(Document, "", Problems);
  const Json *Last = Reader.require("last") ? Reader.find("last") : nullptr;
  const Json *StateDocument =
      Reader.require("state") ? Reader.find("state") : nullptr;
  Reader.reportUnknownFields();
  if (StateDocument) {
    ObjectReader Fields(*StateDocument, "state", Problems);
    readEntities(Fields, "routes", Out.State_.Routes_, Problems, readRoute);
    readEntities(Fields, "services", Out.State_.Services_, Problems,
                 readService);
    readEntities(Fields, "targets", Out.State_.Targets_, Problems,
                 readTargetSpec);
    readEntities(Fields, "tenants", Out.State_.Tenants_, Problems, readTenant);
    Fields.reportUnknownFields();
  }
  for (std::string &Problem : danglingReferences(Out.State_))
    Problems.push_back(std::move(Problem));
  if (auto Failure = problemsToError(ErrorKind::InvalidData, Source, Problems,
                                     "fetch the snapshot again"))
    return tl::unexpected<Error>(*Failure);
  auto Accepted = parseAcceptedTicket(*Last, std::string(Source) + ": last");
  if (!Accepted)
    return tl::unexpected<Error>(Accepted.error());
  if (chainDigest(*Accepted) != Accepted->Digest_ ||
      stateDigest(Out.State_) != Accepted->StateDigest_)
    return tl::unexpected<Error>(
        chainError(*Accepted, "the snapshot's digests do not match"));
  Out.Number_ = Accepted->Ticket_.Number_;
  Out.Digest_ = Accepted->Digest_;
  Out.LastAcceptance_ = std::move(*Accepted);
  indexSnapshot(Out);
  return Out;
}

const Route *matchRoute(const Snapshot &Current, std::string_view Host,
                        std::string_view Method, std::string_view Path,
                        std::string *RouteName) {
  const std::string *Found = findLongestMatch(Current, Host, Method, Path);
  if (!Found && !Host.empty())
    Found = findLongestMatch(Current, "", Method, Path);
  if (!Found)
    return nullptr;
  if (RouteName)
    *RouteName = *Found;
  return &Current.State_.Routes_.at(*Found);
}

const std::string *findTenant(const Snapshot &Current,
                              std::string_view Credential) {
  auto Found = Current.TenantsByKey_.find(credentialDigest(Credential));
  return Found == Current.TenantsByKey_.end() ? nullptr : &Found->second;
}

std::uint32_t requestPriority(const Snapshot &Current, const Route &Matched,
                              const std::string &TenantName) {
  if (Current.State_.Tenants_.empty())
    return Matched.Priority_;
  std::uint32_t First = Matched.Priority_;
  if (auto Found = Current.State_.Tenants_.find(TenantName);
      Found != Current.State_.Tenants_.end())
    First = Found->second.Priority_.value_or(First);
  constexpr std::uint32_t Ranks = 1001; // Of routes, 0 to 1000.
  return First * Ranks + Matched.Priority_;
}

bool isIdempotent(const Route &Matched, std::string_view Method) {
  if (Matched.Idempotent_)
    return *Matched.Idempotent_;
  constexpr std::array<std::string_view, 6> IdempotentMethods = {
      "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
  return std::find(IdempotentMethods.begin(), IdempotentMethods.end(),
                   Method) != IdempotentMethods.end();
}

milliseconds timeoutOf(const Snapshot &Current, const Route &Matched,
                       const std::string &Service) {
  if (Matched.Timeout_.count() > 0)
    return Matched.Timeout_;
  return Current.State_.Services_.at(Service).Timeout_;
}

const std::string &chooseService(const Route &Matched, double Draw) {
  if (Matched.Split_.empty())
    return Matched.Service_;
  double Total = 0;
  for (const RouteShare &Share : Matched.Split_)
    Total += Share.Weight_;
  double Remaining = Draw * Total;
  for (const RouteShare &Share : Matched.Split_) {
    if (Remaining < Share.Weight_)
      return Share.Service_;
    Remaining -= Share.Weight_;
  }
  return Matched.Split_.back().Service_;
}

Result<Snapshot> snapshotFromDocument(FullState Value, std::string_view Text) {
  Snapshot Out;
  Out.Number_ = Value.Number_;
  if (auto Failure = problemsToError(
          ErrorKind::InvalidTicket, "ticket " + std::to_string(Value.Number_),
          danglingReferences(Value.State_),
          "name existing services in the routes of the document"))
    return tl::unexpected<Error>(*Failure);
  Out.Digest_ = sha256Hex(Text);
  Out.State_ = std::move(Value.State_);
  indexSnapshot(Out);
  return Out;
}

} // namespace sycamore

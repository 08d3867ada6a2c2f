// Folds accepted tickets into snapshots and matches routes.
#include "sycamore/Snapshot.h"

#include "TicketMutations.h"

#include <algorithm>
#include <array>
#include <openssl/evp.h>

namespace sycamore {
namespace {

template <typename T>
void foldChanges(std::map<std::string, T> &Entities, const Changes<T> &Change,
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

template <typename T> Json entitiesToJson(const std::map<std::string, T> &All) {
  Json Out = Json::object();
  for (const auto &[Name, Entity] : All)
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
    Reader.problem(Field, "is not an object from names to entities");
    return;
  }
  for (const auto &[Name, Entity] : Value->items())
    Out[Name] = Read(Entity, Reader.pathOf(Field) + "." + Name, Problems);
}

void indexSnapshot(Snapshot &Value) {
  for (const auto &[Name, Entity] : Value.State_.Routes_)
    Value.RouteOrder_.push_back(Name);
  auto Rank = [&](const std::string &Name) {
    const Route &Entity = Value.State_.Routes_.at(Name);
    return std::tuple(Entity.Host_.empty(), ~Entity.PathPrefix_.size(),
                      Entity.Methods_.empty());
  };
  std::stable_sort(Value.RouteOrder_.begin(), Value.RouteOrder_.end(),
                   [&](const std::string &Left, const std::string &Right) {
                     return Rank(Left) < Rank(Right);
                   });
  for (const auto &[Name, Entity] : Value.State_.Targets_)
    Value.TargetsOfService_[Entity.Service_].push_back(Name);
}

/// Whether Path lies under Prefix at a boundary of path segments.
bool pathMatches(std::string_view Path, std::string_view Prefix) {
  if (!Path.starts_with(Prefix))
    return false;
  return Prefix.ends_with('/') || Path.size() == Prefix.size() ||
         Path[Prefix.size()] == '/' || Path[Prefix.size()] == '?';
}

bool methodMatches(const Route &Entity, std::string_view Method) {
  return Entity.Methods_.empty() ||
         std::find(Entity.Methods_.begin(), Entity.Methods_.end(), Method) !=
             Entity.Methods_.end();
}

Error badChain(const AcceptedTicket &Accepted, const std::string &What) {
  return {ErrorKind::InvalidTicket,
          "ticket " + std::to_string(Accepted.Ticket_.Number_) + ": " + What,
          "fetch the tickets again from the store or another server"};
}

/// Whether an acceptance follows the ticket Number with that digest.
std::optional<Error> checkLink(std::uint64_t Number, std::string_view Digest,
                               const AcceptedTicket &Accepted) {
  if (Accepted.Ticket_.Number_ <= Number)
    return badChain(Accepted, "its number is not above " +
                                  std::to_string(Number) +
                                  ", which is in force");
  if (Accepted.PreviousDigest_ != Digest)
    return badChain(Accepted,
                    "does not follow ticket " + std::to_string(Number));
  if (chainDigest(Accepted) != Accepted.Digest_ &&
      !mutated("snapshot-skip-chain-digest"))
    return badChain(Accepted, "its digest does not match its content");
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
  const Json *Inner =
      Reader.require("ticket") ? Reader.find("ticket") : nullptr;
  Reader.rejectUnknown();
  if (auto Failure = problemsToError(ErrorKind::InvalidData, Source, Problems,
                                     "fetch the acceptance again"))
    return tl::unexpected<Error>(*Failure);
  auto Parsed = parseTicket(*Inner, std::string(Source) + ": ticket");
  if (!Parsed)
    return tl::unexpected<Error>(Parsed.error());
  Out.Ticket_ = std::move(*Parsed);
  return Out;
}

Json toJson(const State &Value) {
  return {{"routes", entitiesToJson(Value.Routes_)},
          {"services", entitiesToJson(Value.Services_)},
          {"targets", entitiesToJson(Value.Targets_)}};
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

std::vector<std::string> danglingReferences(const State &Value) {
  std::vector<std::string> Problems;
  for (const auto &[Name, Entity] : Value.Routes_) {
    if (!Value.Services_.contains(Entity.Service_))
      Problems.push_back("routes." + Name + ".service: \"" + Entity.Service_ +
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

Result<State> foldTicket(const State &Before, const Ticket &Change) {
  State After = Before;
  std::vector<std::string> Problems;
  foldChanges(After.Routes_, Change.Routes_, "routes", Problems);
  foldChanges(After.Services_, Change.Services_, "services", Problems);
  foldChanges(After.Targets_, Change.Targets_, "targets", Problems);
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
    if (auto Failure = checkLink(Out.Number_, Out.Digest_, Accepted))
      return tl::unexpected<Error>(*Failure);
    auto After = foldTicket(Out.State_, Accepted.Ticket_);
    if (!After)
      return tl::unexpected<Error>(After.error());
    Out.Number_ = Accepted.Ticket_.Number_;
    Out.Digest_ = Accepted.Digest_;
    Out.State_ = std::move(*After);
  }
  const AcceptedTicket &Last = Chain.back();
  if (stateDigest(Out.State_) != Last.StateDigest_ &&
      !mutated("snapshot-skip-state-digest"))
    return tl::unexpected<Error>(
        badChain(Last, "the resulting state has another digest"));
  Out.Last_ = Last;
  indexSnapshot(Out);
  return Out;
}

Json toJson(const Snapshot &Value) {
  Json Out = {{"state", toJson(Value.State_)}};
  if (Value.Last_)
    Out["last"] = toJson(*Value.Last_);
  return Out;
}

Result<Snapshot> parseSnapshot(const Json &Document, std::string_view Source) {
  Snapshot Out;
  std::vector<std::string> Problems;
  ObjectReader Reader(Document, "", Problems);
  const Json *Last = Reader.require("last") ? Reader.find("last") : nullptr;
  const Json *Inner = Reader.require("state") ? Reader.find("state") : nullptr;
  Reader.rejectUnknown();
  if (Inner) {
    ObjectReader Fields(*Inner, "state", Problems);
    readEntities(Fields, "routes", Out.State_.Routes_, Problems, readRoute);
    readEntities(Fields, "services", Out.State_.Services_, Problems,
                 readService);
    readEntities(Fields, "targets", Out.State_.Targets_, Problems,
                 readTargetSpec);
    Fields.rejectUnknown();
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
        badChain(*Accepted, "the snapshot's digests do not match"));
  Out.Number_ = Accepted->Ticket_.Number_;
  Out.Digest_ = Accepted->Digest_;
  Out.Last_ = std::move(*Accepted);
  indexSnapshot(Out);
  return Out;
}

const Route *matchRoute(const Snapshot &Current, std::string_view Host,
                        std::string_view Method, std::string_view Path,
                        std::string *RouteName) {
  for (const std::string &Name : Current.RouteOrder_) {
    const Route &Entity = Current.State_.Routes_.at(Name);
    if (!Entity.Host_.empty() && Entity.Host_ != Host)
      continue;
    if (!pathMatches(Path, Entity.PathPrefix_) ||
        !methodMatches(Entity, Method))
      continue;
    if (RouteName)
      *RouteName = Name;
    return &Entity;
  }
  return nullptr;
}

bool isIdempotent(const Route &Matched, std::string_view Method) {
  if (Matched.Idempotent_)
    return *Matched.Idempotent_;
  constexpr std::array<std::string_view, 6> IdempotentMethods = {
      "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
  return std::find(IdempotentMethods.begin(), IdempotentMethods.end(),
                   Method) != IdempotentMethods.end();
}

milliseconds timeoutOf(const Snapshot &Current, const Route &Matched) {
  if (Matched.Timeout_.count() > 0)
    return Matched.Timeout_;
  return Current.State_.Services_.at(Matched.Service_).Timeout_;
}

} // namespace sycamore

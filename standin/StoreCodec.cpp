// Server side of the etcd v3 JSON gateway.
#include "StoreCodec.h"

#include "sycamore/Store.h"

#include "EtcdCodec.h"

#include <algorithm>
#include <charconv>

namespace sycamore::standin {
namespace {

constexpr int HttpBadRequest = 400;
constexpr int GrpcInvalidArgument = 3;

[[noreturn]] void throwInvalid(const std::string &Message) {
  throw GatewayFailure(HttpBadRequest, GrpcInvalidArgument,
                       "etcdserver: " + Message);
}

const Json &field(const Json &From, const char *Name) {
  static const Json None;
  if (!From.is_object())
    return None;
  auto Found = From.find(Name);
  return Found == From.end() ? None : *Found;
}

std::int64_t numberField(const Json &From, const char *Name) {
  const Json &Value = field(From, Name);
  if (Value.is_null())
    return 0;
  if (Value.is_number_integer())
    return Value.get<std::int64_t>();
  std::int64_t Out = 0;
  std::string Text = Value.is_string() ? Value.get<std::string>() : "";
  const char *End = Text.data() + Text.size();
  auto [Rest, Failure] = std::from_chars(Text.data(), End, Out);
  if (Failure != std::errc() || Rest != End)
    throwInvalid(std::string(Name) + " is not a number");
  return Out;
}

std::string stringField(const Json &From, const char *Name) {
  const Json &Value = field(From, Name);
  return Value.is_string() ? Value.get<std::string>() : "";
}

std::string bytesField(const Json &From, const char *Name) {
  auto Out = decodeBase64(stringField(From, Name));
  if (!Out)
    throwInvalid(std::string(Name) + " is not base64");
  return *Out;
}

bool boolField(const Json &From, const char *Name) {
  const Json &Value = field(From, Name);
  return Value.is_boolean() && Value.get<bool>();
}

std::string requiredKey(const Json &From) {
  std::string Key = bytesField(From, "key");
  if (Key.empty())
    throwInvalid("key is not provided");
  return Key;
}

Json header(const StoreModel &Model) {
  return {{"cluster_id", std::to_string(Model.clusterId())},
          {"member_id", "1"},
          {"revision", std::to_string(Model.revision())},
          {"raft_term", "1"}};
}

Json encodeItem(const std::string &Key, const StoredItem &Item, bool KeyOnly) {
  Json Out{{"key", encodeBase64(Key)},
           {"create_revision", std::to_string(Item.CreateRevision_)},
           {"mod_revision", std::to_string(Item.ModRevision_)},
           {"version", std::to_string(Item.Version_)}};
  if (!KeyOnly && !Item.Value_.empty())
    Out["value"] = encodeBase64(Item.Value_);
  if (Item.Lease_ != 0)
    Out["lease"] = std::to_string(Item.Lease_);
  return Out;
}

bool inRange(const std::string &Key, const std::string &Start,
             const std::string &End) {
  if (End.empty())
    return Key == Start;
  return Key >= Start && (End == std::string(1, '\0') || Key < End);
}

std::int64_t comparedValue(const StoredItem *Item, const Json &Compare,
                           std::int64_t &Expected) {
  std::string Target = stringField(Compare, "target");
  StoredItem None;
  const StoredItem &Value = Item ? *Item : None;
  if (Target == "MOD") {
    Expected = numberField(Compare, "mod_revision");
    return Value.ModRevision_;
  }
  if (Target == "CREATE") {
    Expected = numberField(Compare, "create_revision");
    return Value.CreateRevision_;
  }
  if (Target == "VERSION" || Target.empty()) {
    Expected = numberField(Compare, "version");
    return Value.Version_;
  }
  throwInvalid("compare target " + Target + " is not supported");
}

bool comparisonHolds(const StoreModel &Model, const Json &Compare) {
  std::int64_t Expected = 0;
  std::int64_t Actual =
      comparedValue(Model.find(requiredKey(Compare)), Compare, Expected);
  std::string Relation = stringField(Compare, "result");
  if (Relation == "GREATER")
    return Actual > Expected;
  if (Relation == "LESS")
    return Actual < Expected;
  if (Relation == "NOT_EQUAL")
    return Actual != Expected;
  return Actual == Expected;
}

StoreWrite parsePut(const StoreModel &Model, const Json &Body) {
  StoreWrite Out{requiredKey(Body), bytesField(Body, "value"),
                 numberField(Body, "lease")};
  if (Out.Value_->size() > MaxStoreValueBytes)
    throwInvalid("request is too large");
  if (Out.Lease_ != 0 && !Model.hasLease(Out.Lease_))
    throw GatewayFailure(404, 5, "etcdserver: requested lease not found");
  return Out;
}

std::vector<StoreWrite> parseWrites(const StoreModel &Model,
                                    const Json &Operations) {
  std::vector<StoreWrite> Out;
  std::set<std::string> Keys;
  for (const Json &Item : Operations) {
    if (Item.contains("request_put"))
      Out.push_back(parsePut(Model, Item["request_put"]));
    else if (Item.contains("request_delete_range"))
      Out.push_back(
          {requiredKey(Item["request_delete_range"]), std::nullopt, 0});
    else
      continue;
    if (!Keys.insert(Out.back().Key_).second)
      throwInvalid("duplicate key given in txn request");
  }
  return Out;
}

Json encodeResponses(const StoreModel &Model, const Json &Operations) {
  Json Out = Json::array();
  for (const Json &Item : Operations) {
    if (Item.contains("request_range"))
      Out.push_back(
          {{"response_range", runRange(Model, Item["request_range"])}});
    else if (Item.contains("request_put"))
      Out.push_back({{"response_put", {{"header", header(Model)}}}});
    else
      Out.push_back({{"response_delete_range", {{"header", header(Model)}}}});
  }
  return Out;
}

const Json &operations(const Json &Body, const char *Name) {
  static const Json None = Json::array();
  const Json &Out = field(Body, Name);
  if (Out.is_null())
    return None;
  if (!Out.is_array() ||
      !std::all_of(Out.begin(), Out.end(),
                   [](const Json &Item) { return Item.is_object(); }))
    throwInvalid(std::string(Name) + " is not an array of operations");
  return Out;
}

} // namespace

Json errorDocument(int Code, const std::string &Message) {
  return {{"error", Message}, {"code", Code}, {"message", Message}};
}

bool isReadOnlyTxn(const Json &Body) {
  for (const char *Branch : {"success", "failure"})
    for (const Json &Item : operations(Body, Branch))
      if (!Item.contains("request_range"))
        return false;
  return true;
}

Json runRange(const StoreModel &Model, const Json &Body) {
  std::string Start = requiredKey(Body);
  std::string End = bytesField(Body, "range_end");
  Json Found = Json::array();
  for (const auto &[Key, Item] : Model.items())
    if (inRange(Key, Start, End))
      Found.push_back(encodeItem(Key, Item, boolField(Body, "keys_only")));
  if (stringField(Body, "sort_order") == "DESCEND")
    std::reverse(Found.begin(), Found.end());
  std::size_t Count = Found.size();
  auto Limit = static_cast<std::size_t>(numberField(Body, "limit"));
  if (Limit > 0 && Found.size() > Limit)
    Found.erase(Found.begin() + static_cast<std::ptrdiff_t>(Limit),
                Found.end());
  Json Out{{"header", header(Model)}};
  if (Count == 0)
    return Out;
  if (Found.size() < Count)
    Out["more"] = true;
  Out["kvs"] = std::move(Found);
  Out["count"] = std::to_string(Count);
  return Out;
}

Json runTxn(StoreModel &Model, const Json &Body) {
  const Json &Compares = operations(Body, "compare");
  bool Succeeded =
      std::all_of(Compares.begin(), Compares.end(), [&](const Json &Item) {
        return comparisonHolds(Model, Item);
      });
  const Json &Chosen = operations(Body, Succeeded ? "success" : "failure");
  Model.apply(parseWrites(Model, Chosen));
  Json Out{{"header", header(Model)},
           {"responses", encodeResponses(Model, Chosen)}};
  if (Succeeded)
    Out["succeeded"] = true;
  return Out;
}

Json runLeaseGrant(StoreModel &Model, const Json &Body, TimePoint Now) {
  std::int64_t Ttl = numberField(Body, "TTL");
  if (Ttl <= 0)
    throwInvalid("TTL is not positive");
  std::int64_t Id = Model.grant(seconds(Ttl), Now);
  return {{"header", header(Model)},
          {"ID", std::to_string(Id)},
          {"TTL", std::to_string(Ttl)}};
}

Json runKeepAlive(StoreModel &Model, const Json &Body, TimePoint Now) {
  std::int64_t Id = numberField(Body, "ID");
  Json Out{{"header", header(Model)}, {"ID", std::to_string(Id)}};
  if (auto Ttl = Model.keepAlive(Id, Now))
    Out["TTL"] = std::to_string(Ttl->count());
  return {{"result", std::move(Out)}};
}

Json runLeaseRevoke(StoreModel &Model, const Json &Body) {
  if (!Model.revoke(numberField(Body, "ID")))
    throw GatewayFailure(404, 5, "etcdserver: requested lease not found");
  return {{"header", header(Model)}};
}

WatchRequest parseWatchRequest(const Json &Body) {
  const Json &Create = field(Body, "create_request");
  return {requiredKey(Create), bytesField(Create, "range_end"),
          numberField(Create, "start_revision"),
          boolField(Create, "progress_notify")};
}

bool matchesWatch(const WatchRequest &Request, const std::string &Key) {
  return inRange(Key, Request.Key_, Request.RangeEnd_);
}

Json encodeWatchCreated(const StoreModel &Model) {
  return {{"result", {{"header", header(Model)}, {"created", true}}}};
}

Json encodeWatchProgress(const StoreModel &Model) {
  return {{"result", {{"header", header(Model)}}}};
}

Json encodeWatchCancelled(const StoreModel &Model,
                          std::int64_t CompactRevision) {
  return {{"result",
           {{"header", header(Model)},
            {"canceled", true},
            {"compact_revision", std::to_string(CompactRevision)}}}};
}

Json encodeWatchEvents(const std::vector<StoreEvent> &Events,
                       const StoreModel &Model) {
  Json List = Json::array();
  for (const StoreEvent &Event : Events) {
    if (Event.Item_) {
      List.push_back({{"kv", encodeItem(Event.Key_, *Event.Item_, false)}});
      continue;
    }
    List.push_back({{"type", "DELETE"},
                    {"kv",
                     {{"key", encodeBase64(Event.Key_)},
                      {"mod_revision", std::to_string(Event.Revision_)}}}});
  }
  return {{"result", {{"header", header(Model)}, {"events", std::move(List)}}}};
}

} // namespace sycamore::standin

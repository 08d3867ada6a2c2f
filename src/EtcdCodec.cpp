// Requests and responses of the etcd v3 JSON gateway.
#include "EtcdCodec.h"

#include <charconv>

namespace sycamore {
namespace {

/// The response to a range over all tickets may be far larger than one value.
constexpr JsonLimits ResponseLimits{64U << 20U, 32};

Result<Json> parseResponse(std::string_view Text) {
  auto Root = parseJson(Text, "answer of the store", ResponseLimits);
  if (Root && !Root->is_object())
    return fail(ErrorKind::InvalidData, "answer of the store: not an object",
                "check that the endpoint speaks the etcd v3 JSON protocol");
  return Root;
}

/// Reads the fields of one object and records the first malformed one in
/// Problem.
class FieldReader {
public:
  FieldReader(const Json &Object, std::string &Problem)
      : Object_(Object), Problem_(Problem) {}

  const Json *find(const char *Name) const {
    if (!Object_.is_object())
      return nullptr;
    auto Found = Object_.find(Name);
    return Found == Object_.end() || Found->is_null() ? nullptr : &*Found;
  }

  std::int64_t number(const char *Name) const {
    const Json *Value = find(Name);
    if (!Value)
      return 0;
    if (Value->is_number_integer())
      return Value->get<std::int64_t>();
    std::int64_t Out = 0;
    if (Value->is_string()) {
      const auto &Text = Value->get_ref<const std::string &>();
      const char *End = Text.data() + Text.size();
      auto [Rest, Failure] = std::from_chars(Text.data(), End, Out);
      if (Failure == std::errc() && Rest == End)
        return Out;
    }
    reportProblem(Name, "a number");
    return 0;
  }

  bool flag(const char *Name) const {
    const Json *Value = find(Name);
    if (Value && !Value->is_boolean())
      reportProblem(Name, "true or false");
    return Value && Value->is_boolean() && Value->get<bool>();
  }

  std::string text(const char *Name) const {
    const Json *Value = find(Name);
    if (Value && !Value->is_string())
      reportProblem(Name, "a string");
    return Value && Value->is_string() ? Value->get<std::string>() : "";
  }

  std::string bytes(const char *Name) const {
    auto Out = decodeBase64(text(Name));
    if (!Out)
      reportProblem(Name, "base64");
    return Out.value_or("");
  }

  const Json &array(const char *Name) const {
    static const Json Empty = Json::array();
    const Json *Value = find(Name);
    if (Value && !Value->is_array())
      reportProblem(Name, "an array");
    return Value && Value->is_array() ? *Value : Empty;
  }

  const Json &object(const char *Name) const {
    static const Json Empty = Json::object();
    const Json *Value = find(Name);
    if (Value && Value->is_object())
      return *Value;
    reportProblem(Name, "an object");
    return Empty;
  }

  void reportProblem(const char *Name, const char *Expected) const {
    if (Problem_.empty())
      Problem_ = std::string(Name) + " is not " + Expected;
  }

private:
  const Json &Object_;
  std::string &Problem_;
};

template <typename T>
Result<T> valueOrError(T Value, const std::string &Problem) {
  if (!Problem.empty())
    return fail(ErrorKind::InvalidData, "answer of the store: " + Problem,
                "check that the endpoint speaks the etcd v3 JSON protocol");
  return Value;
}

std::int64_t headerRevision(const FieldReader &ResponseReader,
                            std::string &Problem) {
  return FieldReader(ResponseReader.object("header"), Problem)
      .number("revision");
}

void readHeader(const FieldReader &ResponseReader, AnswerHeader *Header,
                std::string &Problem) {
  if (!Header || !ResponseReader.find("header"))
    return;
  FieldReader Reader(ResponseReader.object("header"), Problem);
  const Json *Id = Reader.find("cluster_id");
  if (Id)
    Header->ClusterId_ = Id->is_string() ? Id->get<std::string>() : Id->dump();
  Header->Revision_ = Reader.number("revision");
}

KeyValue readKeyValue(const Json &Value, std::string &Problem) {
  FieldReader Reader(Value, Problem);
  KeyValue Out;
  Out.Key_ = Reader.bytes("key");
  Out.Value_ = Reader.bytes("value");
  Out.CreateRevision_ = Reader.number("create_revision");
  Out.ModRevision_ = Reader.number("mod_revision");
  Out.Lease_ = Reader.number("lease");
  if (Out.Key_.empty())
    Reader.reportProblem("key", "present");
  return Out;
}

RangeResult readRange(const Json &Value, std::string &Problem) {
  FieldReader Reader(Value, Problem);
  RangeResult Out;
  Out.Revision_ = headerRevision(Reader, Problem);
  for (const Json &Item : Reader.array("kvs"))
    Out.Values_.push_back(readKeyValue(Item, Problem));
  return Out;
}

Json encodeOperations(const Txn &Request, bool IncludeWrites) {
  Json Out = Json::array();
  if (IncludeWrites) {
    for (const Put &Item : Request.Puts_) {
      Json Body{{"key", encodeBase64(Item.Key_)},
                {"value", encodeBase64(Item.Value_)}};
      if (Item.Lease_ != 0)
        Body["lease"] = std::to_string(Item.Lease_);
      Out.push_back({{"request_put", std::move(Body)}});
    }
    for (const std::string &Key : Request.Deletes_)
      Out.push_back({{"request_delete_range", {{"key", encodeBase64(Key)}}}});
  }
  for (const RangeRequest &Read : Request.Reads_)
    Out.push_back({{"request_range", encodeRange(Read)}});
  return Out;
}

} // namespace

Json encodeRange(const RangeRequest &Request) {
  Json Out{{"key", encodeBase64(Request.Key_)}};
  if (!Request.RangeEnd_.empty())
    Out["range_end"] = encodeBase64(Request.RangeEnd_);
  if (Request.Limit_ > 0)
    Out["limit"] = std::to_string(Request.Limit_);
  if (Request.Descending_) {
    Out["sort_order"] = "DESCEND";
    Out["sort_target"] = "KEY";
  }
  if (Request.KeysOnly_)
    Out["keys_only"] = true;
  return Out;
}

Json encodeTxn(const Txn &Request) {
  Json Compares = Json::array();
  for (const Compare &Item : Request.Compares_)
    Compares.push_back({{"key", encodeBase64(Item.Key_)},
                        {"target", "MOD"},
                        {"result", "EQUAL"},
                        {"mod_revision", std::to_string(Item.Revision_)}});
  return {{"compare", std::move(Compares)},
          {"success", encodeOperations(Request, true)},
          {"failure", encodeOperations(Request, false)}};
}

Json encodeWatch(const std::string &Key, std::int64_t FromRevision) {
  Json Create{{"key", encodeBase64(Key)}, {"progress_notify", true}};
  if (isWatchedPrefix(Key))
    Create["range_end"] = encodeBase64(prefixEnd(Key));
  if (FromRevision > 0)
    Create["start_revision"] = std::to_string(FromRevision);
  return {{"create_request", std::move(Create)}};
}

Result<RangeResult> parseRangeResponse(std::string_view Text,
                                       AnswerHeader *Header) {
  auto Root = parseResponse(Text);
  if (!Root)
    return tl::unexpected(Root.error());
  std::string Problem;
  readHeader(FieldReader(*Root, Problem), Header, Problem);
  RangeResult Out = readRange(*Root, Problem);
  return valueOrError(std::move(Out), Problem);
}

Result<TxnResult> parseTxnResponse(std::string_view Text, std::size_t Reads,
                                   AnswerHeader *Header) {
  auto Root = parseResponse(Text);
  if (!Root)
    return tl::unexpected(Root.error());
  std::string Problem;
  FieldReader Reader(*Root, Problem);
  TxnResult Out;
  readHeader(Reader, Header, Problem);
  Out.Succeeded_ = Reader.flag("succeeded");
  Out.Revision_ = headerRevision(Reader, Problem);
  for (const Json &Item : Reader.array("responses"))
    if (FieldReader Response(Item, Problem); Response.find("response_range"))
      Out.Reads_.push_back(
          readRange(Response.object("response_range"), Problem));
  if (Out.Reads_.size() != Reads)
    Reader.reportProblem("responses", "as long as the reads of the request");
  return valueOrError(std::move(Out), Problem);
}

Result<Lease> parseLeaseGrantResponse(std::string_view Text,
                                      AnswerHeader *Header) {
  auto Root = parseResponse(Text);
  if (!Root)
    return tl::unexpected(Root.error());
  std::string Problem;
  FieldReader Reader(*Root, Problem);
  readHeader(Reader, Header, Problem);
  Lease Out{Reader.number("ID"), seconds(Reader.number("TTL"))};
  if (Out.Id_ == 0 || Out.Ttl_ <= seconds(0))
    Reader.reportProblem("ID or TTL", "positive");
  return valueOrError(Out, Problem);
}

Result<Lease> parseKeepAliveResponse(std::string_view Text,
                                     AnswerHeader *Header) {
  auto Root = parseResponse(Text);
  if (!Root)
    return tl::unexpected(Root.error());
  std::string Problem;
  FieldReader Reader(FieldReader(*Root, Problem).object("result"), Problem);
  readHeader(Reader, Header, Problem);
  Lease Out{Reader.number("ID"), seconds(Reader.number("TTL"))};
  if (Out.Id_ == 0 || Out.Ttl_ < seconds(0))
    Reader.reportProblem("ID or TTL", "valid");
  return valueOrError(Out, Problem);
}

Result<WatchResponse> parseWatchLine(std::string_view Text) {
  auto Root = parseResponse(Text);
  if (!Root)
    return tl::unexpected(Root.error());
  std::string Problem;
  WatchResponse Out;
  if (Root->contains("error")) {
    Out.Cancelled_ = true;
    Out.CancelReason_ = "the store returned an error";
    return Out;
  }
  FieldReader Reader(FieldReader(*Root, Problem).object("result"), Problem);
  Out.Revision_ = headerRevision(Reader, Problem);
  Out.Created_ = Reader.flag("created");
  Out.Cancelled_ = Reader.flag("canceled");
  Out.CancelReason_ = Reader.text("cancel_reason");
  if (Reader.number("compact_revision") != 0)
    Out.CancelReason_ = "the requested revision was compacted";
  for (const Json &Item : Reader.array("events")) {
    FieldReader Event(Item, Problem);
    KeyValue Change = readKeyValue(Event.object("kv"), Problem);
    if (Event.text("type") == "DELETE")
      Change.CreateRevision_ = 0;
    Out.Changes_.push_back(std::move(Change));
  }
  return valueOrError(std::move(Out), Problem);
}

GatewayError parseErrorResponse(std::string_view Text) {
  GatewayError Out;
  auto Root = parseResponse(Text);
  if (!Root)
    return Out;
  std::string Ignored;
  FieldReader Reader(*Root, Ignored);
  Out.Code_ = Reader.number("code");
  Out.Message_ = Reader.text("message");
  if (Out.Message_.empty())
    Out.Message_ = Reader.text("error");
  return Out;
}

} // namespace sycamore

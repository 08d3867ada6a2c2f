// Stand-in for the configuration store.
#include "StandinStore.h"

#include "sycamore/Clock.h"

#include <array>
#include <event2/event.h>
#include <limits>

namespace sycamore::standin {
namespace {

/// Interval for expiring leases and sending delayed responses.
constexpr timeval TickInterval{0, 2000};

constexpr int GrpcResourceExhausted = 8;

/// Keys of the operators, who write again what the store lost.
constexpr std::array<std::string_view, 3> RewrittenPrefixes = {
    "/sycamore/head", "/sycamore/tickets/", "/sycamore/snapshots/"};

std::string callKind(const std::string &Path) {
  static const std::map<std::string, std::string> Kinds = {
      {"/v3/kv/range", "range"},
      {"/v3/kv/txn", "txn"},
      {"/v3/lease/grant", "lease-grant"},
      {"/v3/lease/keepalive", "lease-keep-alive"},
      {"/v3/lease/revoke", "lease-revoke"},
      {"/v3/kv/lease/revoke", "lease-revoke"},
      {"/v3/watch", "watch"}};
  auto Found = Kinds.find(Path);
  return Found == Kinds.end() ? "" : Found->second;
}

/// Reads a number of calls, or true for all calls.
void readCount(ObjectReader &Reader, const char *Field, std::uint64_t &Out) {
  const Json *Value = Reader.find(Field);
  if (Value && Value->is_boolean())
    Out = Value->get<bool>() ? StoreFaults::AllCalls : 0;
  else
    Reader.readUnsigned(Field, Out, 0, StoreFaults::AllCalls);
}

} // namespace

StandinStore::StandinStore(event_base *Base, StandinStoreConfig Config)
    : Base_(Base), Config_(std::move(Config)),
      TickTimer_(event_new(Base, -1, EV_PERSIST, onTick, this)) {
  event_add(TickTimer_, &TickInterval);
}

StandinStore::~StandinStore() { event_free(TickTimer_); }

Result<std::unique_ptr<StandinStore>>
StandinStore::create(event_base *Base, const StandinStoreConfig &Config) {
  std::unique_ptr<StandinStore> Out(new StandinStore(Base, Config));
  if (auto Opened = Out->openGateway(Config.Listen_); !Opened)
    return tl::unexpected(Opened.error());
  if (Config.AdminListen_.empty())
    return Out;
  Out->Admin_ = *HttpServer::create(Base);
  Out->Admin_->setHandler(
      [Self = Out.get()](const HttpExchangePointer &Exchange) {
        Self->handleAdmin(Exchange);
      });
  auto Bound = Out->Admin_->listen(Config.AdminListen_);
  if (!Bound)
    return tl::unexpected(Bound.error());
  Out->AdminAddress_ = *Bound;
  return Out;
}

Result<void> StandinStore::openGateway(const std::string &Address) {
  Gateway_ = *HttpServer::create(Base_);
  Gateway_->setHandler(
      [this](const HttpExchangePointer &Exchange) { handle(Exchange); });
  auto Bound = Gateway_->listen(Address);
  if (!Bound)
    return tl::unexpected(Bound.error());
  Address_ = *Bound;
  return {};
}

std::optional<Error> StandinStore::setFaults(const Json &Document) {
  std::vector<std::string> Problems;
  ObjectReader Reader(Document, "", Problems);
  StoreFaults Next = Faults_;
  constexpr std::uint64_t MaxValue = std::numeric_limits<std::uint32_t>::max();
  Reader.readBool("down", Next.Down_);
  Reader.readBool("silent", Next.Silent_);
  Reader.readUnsigned("slow_ms", Next.SlowMs_, 0, MaxValue);
  readCount(Reader, "lose_answers", Next.LoseAnswers_);
  readCount(Reader, "refuse", Next.Refuse_);
  Reader.readBool("fault_reads", Next.FaultReads_);
  Reader.readUnsigned("reads_per_second", Next.ReadsPerSecond_, 0, MaxValue);
  Reader.readUnsigned("writes_per_second", Next.WritesPerSecond_, 0, MaxValue);
  Reader.reportUnknownFields();
  if (auto Failure = problemsToError(ErrorKind::InvalidArgument, "faults",
                                     Problems, "correct the fields"))
    return Failure;
  Faults_ = Next;
  if (Faults_.Down_) {
    for (OpenWatch &Watch : Watches_)
      Watch.Exchange_->abort();
    Watches_.clear();
    if (Admin_)
      Gateway_.reset();
  } else if (!Gateway_) {
    if (auto Opened = openGateway(Address_); !Opened)
      return Opened.error();
  }
  return std::nullopt;
}

void StandinStore::restore() {
  Model_.restoreCopy(RewrittenPrefixes);
  for (OpenWatch &Watch : Watches_)
    Watch.Exchange_->abort();
  Watches_.clear();
}

Json StandinStore::counters() {
  TimePoint Now = monotonicNow();
  Json Kinds = Json::object();
  for (auto &[Kind, Counter] : Counters_)
    Kinds[Kind] = Counter.toJson(Now);
  return {{"kinds", std::move(Kinds)},
          {"all", All_.toJson(Now)},
          {"refused_by_rate", RefusedByRate_},
          {"watches_open", Watches_.size()},
          {"revision", Model_.revision()}};
}

void StandinStore::handle(const HttpExchangePointer &Exchange) {
  if (Exchange->request().Path_.rfind("/v3/", 0) == 0)
    handleCall(Exchange);
  else
    handleAdmin(Exchange);
}

void StandinStore::handleAdmin(const HttpExchangePointer &Exchange) {
  const HttpRequest &Request = Exchange->request();
  std::string Endpoint = Request.Method_ + " " + Request.Path_;
  int Status = 200;
  Json Out = Json::object();
  if (Endpoint == "POST /faults") {
    auto Document = parseJson(Request.Body_, "faults");
    auto Failure = Document ? setFaults(*Document) : Document.error();
    Status = Failure ? 400 : 200;
    if (Failure)
      Out["error"] = describe(*Failure);
  } else if (Endpoint == "POST /copy") {
    Model_.keepCopy();
  } else if (Endpoint == "POST /restore") {
    restore();
  } else if (Endpoint == "GET /counters") {
    Out = counters();
  } else if (Endpoint == "POST /counters/reset") {
    Counters_.clear();
    All_ = {};
    RefusedByRate_ = 0;
  } else {
    Status = 404;
  }
  Exchange->reply(Status, {{"Content-Type", "application/json"}}, Out.dump());
}

void StandinStore::runAfterDelay(std::function<void()> Work) {
  if (Faults_.SlowMs_ == 0 && Delayed_.empty())
    Work();
  else
    Delayed_.emplace_back(monotonicNow() + milliseconds(Faults_.SlowMs_),
                          std::move(Work));
}

void StandinStore::send(const HttpExchangePointer &Exchange, int Status,
                        const Json &Document) {
  runAfterDelay([Exchange, Status, Text = Document.dump()] {
    Exchange->reply(Status, {{"Content-Type", "application/json"}}, Text);
  });
}

bool StandinStore::exceedsRateLimit(bool Read) {
  TimePoint Now = monotonicNow();
  RateCounter &Counter = Read ? Reads_ : Writes_;
  std::uint64_t Limit =
      Read ? Faults_.ReadsPerSecond_ : Faults_.WritesPerSecond_;
  if (Limit != 0 && Counter.current(Now) >= Limit)
    return true;
  Counter.add(Now);
  return false;
}

bool StandinStore::consumeFault(std::uint64_t &Count, bool Read) const {
  if (Count == 0 || (Read && !Faults_.FaultReads_))
    return false;
  if (Count != StoreFaults::AllCalls)
    --Count;
  return true;
}

void StandinStore::handleCall(const HttpExchangePointer &Exchange) {
  const HttpRequest &Request = Exchange->request();
  std::string Kind = callKind(Request.Path_);
  if (Kind.empty() || Request.Method_ != "POST") {
    send(Exchange, 404, errorDocument(5, "Not Found"));
    return;
  }
  Counters_[Kind].add(monotonicNow());
  All_.add(monotonicNow());
  if (Faults_.Down_) {
    Exchange->abort();
    return;
  }
  if (Faults_.Silent_) {
    Exchange->onClosed([Exchange] {});
    return;
  }
  auto Body = parseJson(Request.Body_, "request", {16U << 20U, 32});
  try {
    if (!Body)
      throw GatewayFailure(400, 3, describe(Body.error()));
    runCall(Exchange, Kind, *Body);
  } catch (const GatewayFailure &Failure) {
    send(Exchange, Failure.Status_,
         errorDocument(Failure.GrpcCode_, Failure.what()));
  }
}

void StandinStore::runCall(const HttpExchangePointer &Exchange,
                           const std::string &Kind, const Json &Body) {
  bool Read = Kind == "range" || Kind == "watch" ||
              (Kind == "txn" && isReadOnlyTxn(Body));
  if (exceedsRateLimit(Read)) {
    ++RefusedByRate_;
    throw GatewayFailure(429, GrpcResourceExhausted,
                         "etcdserver: too many requests");
  }
  if (consumeFault(Faults_.Refuse_, Read)) {
    Exchange->abort();
    return;
  }
  if (Kind == "watch") {
    openWatch(Exchange, Body);
    return;
  }
  bool LoseResponse = consumeFault(Faults_.LoseAnswers_, Read);
  Json Response = execute(Kind, Body);
  if (LoseResponse)
    runAfterDelay([Exchange] { Exchange->abort(); });
  else
    send(Exchange, 200, Response);
  updateWatches();
}

Json StandinStore::execute(const std::string &Kind, const Json &Body) {
  if (Kind == "range")
    return runRange(Model_, Body);
  if (Kind == "txn")
    return runTxn(Model_, Body);
  if (Kind == "lease-grant")
    return runLeaseGrant(Model_, Body, monotonicNow());
  if (Kind == "lease-keep-alive")
    return runKeepAlive(Model_, Body, monotonicNow());
  return runLeaseRevoke(Model_, Body);
}

void StandinStore::openWatch(const HttpExchangePointer &Exchange,
                             const Json &Body) {
  OpenWatch Watch{Exchange, parseWatchRequest(Body), 0,
                  monotonicNow() + Config_.ProgressInterval_};
  Watch.NextRevision_ = Watch.Request_.FromRevision_ > 0
                            ? Watch.Request_.FromRevision_
                            : Model_.revision() + 1;
  Exchange->startReply(200, {{"Content-Type", "application/json"}});
  Exchange->sendPart(encodeWatchCreated(Model_).dump() + "\n");
  Watches_.push_back(std::move(Watch));
  updateWatches();
}

bool StandinStore::updateWatch(OpenWatch &Watch) {
  if (!Watch.Exchange_->isOpen())
    return false;
  if (Watch.NextRevision_ > Model_.revision() &&
      monotonicNow() < Watch.NextProgressAt_)
    return true;
  auto Events = Model_.eventsFrom(Watch.NextRevision_);
  if (!Events) {
    Watch.Exchange_->sendPart(
        encodeWatchCancelled(Model_, Model_.revision()).dump() + "\n");
    Watch.Exchange_->endReply();
    return false;
  }
  Watch.NextRevision_ = std::max(Watch.NextRevision_, Model_.revision() + 1);
  std::erase_if(*Events, [&](const StoreEvent &Event) {
    return !matchesWatch(Watch.Request_, Event.Key_);
  });
  std::string Text;
  if (!Events->empty())
    Text = encodeWatchEvents(*Events, Model_).dump() + "\n";
  else if (Watch.Request_.ProgressNotify_ &&
           monotonicNow() >= Watch.NextProgressAt_)
    Text = encodeWatchProgress(Model_).dump() + "\n";
  if (Text.empty())
    return true;
  Watch.NextProgressAt_ = monotonicNow() + Config_.ProgressInterval_;
  runAfterDelay(
      [Exchange = Watch.Exchange_, Text] { Exchange->sendPart(Text); });
  return true;
}

void StandinStore::updateWatches() {
  if (!Faults_.Silent_)
    Watches_.remove_if(
        [this](OpenWatch &Watch) { return !updateWatch(Watch); });
}

void StandinStore::onTick(int /*Socket*/, short /*Events*/, void *Self) {
  auto *This = static_cast<StandinStore *>(Self);
  TimePoint Now = monotonicNow();
  This->Model_.expireLeases(Now);
  This->updateWatches();
  auto Pending = std::exchange(This->Delayed_, {});
  for (auto &Item : Pending) {
    if (Item.first <= Now)
      Item.second();
    else
      This->Delayed_.push_back(std::move(Item));
  }
}

} // namespace sycamore::standin

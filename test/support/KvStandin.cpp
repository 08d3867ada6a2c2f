// Stand-in for the platform's key-value store.
#include "KvStandin.h"

#include "Base64.h"
#include "sycamore/Clock.h"

#include <cstdlib>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace sycamore::test {
namespace {

constexpr timeval TickInterval{0, 20'000};

std::map<std::string, std::string> queryParameters(const std::string &Path) {
  std::map<std::string, std::string> Out;
  std::size_t QueryStart = Path.find('?');
  if (QueryStart == std::string::npos)
    return Out;
  evkeyvalq Fields;
  evhttp_parse_query_str(Path.c_str() + QueryStart + 1, &Fields);
  for (evkeyval *Each = Fields.tqh_first; Each; Each = Each->next.tqe_next)
    Out[Each->key] = Each->value;
  evhttp_clear_headers(&Fields);
  return Out;
}

std::int64_t integerParameter(const std::map<std::string, std::string> &Query,
                              const std::string &Name) {
  auto Found = Query.find(Name);
  return Found == Query.end()
             ? 0
             : std::strtoll(Found->second.c_str(), nullptr, 10);
}

Json itemJson(const std::string &Key, const KvItem &Item) {
  return {{"key", Key},
          {"value", encodeBase64(Item.Value_)},
          {"revision", Item.Revision_},
          {"createdAt", Item.CreateRevision_},
          {"lease", Item.Lease_}};
}

} // namespace

KvStandin::KvStandin(event_base *Base)
    : Server_(HttpServer::create(Base).value()),
      Tick_(event_new(Base, -1, EV_PERSIST, onTick, this)) {
  Server_->setHandler(
      [this](const HttpExchangePointer &Exchange) { handle(Exchange); });
  Address_ = Server_->listen("127.0.0.1:0").value();
  event_add(Tick_, &TickInterval);
}

KvStandin::~KvStandin() {
  event_free(Tick_);
  Watchers_.clear();
  Unanswered_.clear();
}

void KvStandin::reply(const HttpExchangePointer &Exchange, int Status,
                      const Json &Body) {
  replyText(Exchange, Status, Body.dump());
}

void KvStandin::replyText(const HttpExchangePointer &Exchange, int Status,
                          const std::string &Text) {
  HttpHeaders Headers = {{"Content-Type", "application/json"}};
  if (!Faults_.OmitsEra_)
    Headers.push_back({"Store-Era", std::to_string(Era_)});
  auto Send = [Exchange, Status, Headers, Text] {
    Exchange->reply(Status, Headers, Text);
  };
  if (Faults_.HoldResponses_)
    Held_.push_back(std::move(Send));
  else
    Send();
}

void KvStandin::sendHeldResponses() {
  for (const auto &Send : std::exchange(Held_, {}))
    Send();
}

void KvStandin::returnToCopy(bool CutsWatches) {
  Items_ = Copy_.Items_;
  Revision_ = Copy_.Revision_;
  ++Era_;
  Leases_.clear();
  std::erase_if(Items_,
                [](const auto &Entry) { return Entry.second.Lease_ != 0; });
  std::erase_if(History_, [this](const KvChange &Change) {
    return Change.Item_.Revision_ > Revision_;
  });
  if (!CutsWatches)
    return;
  for (const Watcher &Each : Watchers_)
    Each.Exchange_->abort();
  Watchers_.clear();
}

void KvStandin::onTick(int, short, void *Self) {
  static_cast<KvStandin *>(Self)->tick();
}

void KvStandin::tick() {
  TimePoint Now = monotonicNow();
  std::vector<std::int64_t> ExpiredLeases;
  for (const auto &[Id, Each] : Leases_)
    if (Each.ExpiresAt_ <= Now)
      ExpiredLeases.push_back(Id);
  for (std::int64_t Id : ExpiredLeases)
    expireLease(Id);
  respondToWatches();
}

void KvStandin::put(const std::string &Key, const std::string &Value) {
  ++Revision_;
  write(Key, Value, 0);
  respondToWatches();
}

void KvStandin::write(const std::string &Key, const std::string &Value,
                      std::int64_t Lease) {
  KvItem &Item = Items_[Key];
  Item.Value_ = Value;
  Item.Revision_ = Revision_;
  if (Item.CreateRevision_ == 0)
    Item.CreateRevision_ = Revision_;
  Item.Lease_ = Lease;
  History_.push_back({Key, Item, false});
}

void KvStandin::erase(const std::string &Key) {
  if (Items_.erase(Key) == 0)
    return;
  KvItem Deletion;
  Deletion.Revision_ = ++Revision_;
  History_.push_back({Key, Deletion, true});
  respondToWatches();
}

void KvStandin::compact() {
  CompactedTo_ = Revision_;
  History_.clear();
  respondToWatches();
}

void KvStandin::expireLease(std::int64_t Lease) {
  Leases_.erase(Lease);
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : Items_)
    if (Item.Lease_ == Lease)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    erase(Key);
}

void KvStandin::handle(const HttpExchangePointer &Exchange) {
  const HttpRequest &Request = Exchange->request();
  ++Calls_[Request.Method_ + " " +
           Request.Path_.substr(0, Request.Path_.find('?'))];
  if (Faults_.Silent_)
    Unanswered_.push_back(Exchange);
  else if (Faults_.Unavailable_)
    replyText(Exchange, 503, "");
  else
    dispatch(Exchange);
}

void KvStandin::dispatch(const HttpExchangePointer &Exchange) {
  const HttpRequest &Request = Exchange->request();
  std::string Path = Request.Path_.substr(0, Request.Path_.find('?'));
  constexpr std::string_view KeepAlivePrefix = "/v1/kv-keep/";
  constexpr std::string_view LeaseEndPrefix = "/v1/kv-lease-end/";
  if (Path == "/v1/kv-key") {
    readKey(Exchange);
  } else if (Path == "/v1/kv-range") {
    readRange(Exchange);
  } else if (Path == "/v1/kv-watch") {
    startWatch(Exchange);
  } else if (Path == "/v1/kv-txn") {
    runTxn(Exchange);
  } else if (Path == "/v1/kv-lease") {
    grantLease(Exchange);
  } else if (Path.starts_with(KeepAlivePrefix)) {
    keepLeaseAlive(Exchange, std::strtoll(Path.c_str() + KeepAlivePrefix.size(),
                                          nullptr, 10));
  } else if (Path.starts_with(LeaseEndPrefix)) {
    std::int64_t Lease =
        std::strtoll(Path.c_str() + LeaseEndPrefix.size(), nullptr, 10);
    bool Known = Leases_.contains(Lease);
    expireLease(Lease);
    replyText(Exchange, Known ? 200 : 404, "");
  } else {
    replyText(Exchange, 404, "");
  }
}

void KvStandin::readKey(const HttpExchangePointer &Exchange) {
  auto Query = queryParameters(Exchange->request().Path_);
  auto Found = Items_.find(Query["key"]);
  if (Found == Items_.end()) {
    reply(Exchange, 404, {{"at", Revision_}});
    return;
  }
  Json Body = itemJson(Found->first, Found->second);
  Body["at"] = Revision_;
  reply(Exchange, 200, Body);
}

void KvStandin::readRange(const HttpExchangePointer &Exchange) {
  auto Query = queryParameters(Exchange->request().Path_);
  Json Items = Json::array();
  bool More = false;
  for (const auto &[Key, Item] : Items_) {
    if (!Key.starts_with(Query["prefix"]) ||
        (Query.contains("after") && Key <= Query["after"]))
      continue;
    if (Items.size() == Faults_.PageItems_) {
      More = true;
      break;
    }
    Items.push_back(itemJson(Key, Item));
  }
  std::string Body =
      Json{{"items", Items}, {"hasMore", More}, {"at", Revision_}}.dump();
  if (!Faults_.OddRangeItem_.empty())
    Body.insert(Body.find("\"items\":[") + std::string("\"items\":[").size(),
                Faults_.OddRangeItem_ + (Items.empty() ? "" : ","));
  replyText(Exchange, 200, Body);
}

void KvStandin::startWatch(const HttpExchangePointer &Exchange) {
  auto Query = queryParameters(Exchange->request().Path_);
  if (Faults_.AbortWatches_) {
    Exchange->abort();
    return;
  }
  if (integerParameter(Query, "after") > Revision_) {
    reply(Exchange, 410, Json::object());
    return;
  }
  Watchers_.push_back(
      {Exchange, Query["prefix"], integerParameter(Query, "after"),
       monotonicNow() + milliseconds(integerParameter(Query, "waitMs"))});
  respondToWatches();
}

bool KvStandin::respondIfReady(Watcher &Waiting, bool Expired) {
  if (Waiting.AfterRevision_ < CompactedTo_) {
    reply(Waiting.Exchange_, 410, Json::object());
    return true;
  }
  Json Events = Json::array();
  for (const KvChange &Change : History_) {
    if (Change.Item_.Revision_ <= Waiting.AfterRevision_ ||
        !Change.Key_.starts_with(Waiting.Prefix_))
      continue;
    if (Change.Deleted_)
      Events.push_back({{"key", Change.Key_},
                        {"revision", Change.Item_.Revision_},
                        {"deleted", true}});
    else
      Events.push_back(itemJson(Change.Key_, Change.Item_));
  }
  if (Events.empty() && !Expired)
    return false;
  reply(Waiting.Exchange_, 200, {{"events", Events}, {"at", Revision_}});
  return true;
}

void KvStandin::respondToWatches() {
  TimePoint Now = monotonicNow();
  std::deque<Watcher> Waiting;
  std::swap(Waiting, Watchers_);
  for (Watcher &Each : Waiting)
    if (Each.Exchange_->isOpen() &&
        !respondIfReady(Each, Now >= Each.DeadlineAt_))
      Watchers_.push_back(std::move(Each));
}

void KvStandin::runTxn(const HttpExchangePointer &Exchange) {
  Json Body = Json::parse(Exchange->request().Body_);
  Json FailedCompares = Json::array();
  for (const Json &Row : Body["expected"]) {
    auto Found = Items_.find(Row["key"]);
    std::int64_t CurrentRevision =
        Found == Items_.end() ? 0 : Found->second.Revision_;
    if (CurrentRevision != Row["revision"].get<std::int64_t>())
      FailedCompares.push_back(Row);
  }
  if (!FailedCompares.empty()) {
    reply(Exchange, 412, {{"items", Json::array()}});
    return;
  }
  for (const Json &Row : Body["writes"])
    if (Row.value("lease", std::int64_t{0}) != 0 &&
        !Leases_.contains(Row["lease"])) {
      reply(Exchange, 404, Json::object());
      return;
    }
  ++Revision_;
  for (const Json &Row : Body["writes"])
    write(Row["key"], decodeBase64(Row["value"].get<std::string>()).value(),
          Row.value("lease", std::int64_t{0}));
  for (const Json &Key : Body["deletes"])
    erase(Key);
  if (Faults_.DropWriteResponses_)
    Exchange->abort();
  else
    reply(Exchange, 200, {{"revision", Revision_}});
  respondToWatches();
}

void KvStandin::grantLease(const HttpExchangePointer &Exchange) {
  Json Body = Json::parse(Exchange->request().Body_);
  milliseconds Ttl(Body["ttlMs"].get<std::int64_t>());
  std::int64_t Id = NextLease_++;
  Leases_[Id] = {Ttl, monotonicNow() + Ttl};
  reply(Exchange, 200, {{"lease", Id}, {"ttlMs", Ttl.count()}});
}

void KvStandin::keepLeaseAlive(const HttpExchangePointer &Exchange,
                               std::int64_t Lease) {
  auto Found = Leases_.find(Lease);
  if (Found == Leases_.end()) {
    reply(Exchange, 404, Json::object());
    return;
  }
  Found->second.ExpiresAt_ = monotonicNow() + Found->second.Ttl_;
  reply(Exchange, 200, {{"ttlMs", Found->second.Ttl_.count()}});
}

} // namespace sycamore::test

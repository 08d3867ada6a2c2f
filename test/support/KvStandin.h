// Stand-in for the platform's key-value store. Implements its published
// protocol and can inject the faults that the protocol's description names.
#pragma once

#include "sycamore/HttpServer.h"
#include "sycamore/Json.h"
#include "sycamore/Time.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct event;

namespace sycamore::test {

struct KvItem {
  std::string Value_; ///< Decoded.
  std::int64_t Revision_ = 0;
  std::int64_t CreateRevision_ = 0;
  std::int64_t Lease_ = 0;
};

struct KvChange {
  std::string Key_;
  KvItem Item_;
  bool Deleted_ = false;
};

struct KvLease {
  milliseconds Ttl_{0};
  TimePoint ExpiresAt_;
};

/// What the store loses when it comes back from a copy.
struct KvCopy {
  std::map<std::string, KvItem> Items_;
  std::int64_t Revision_ = 0;
};

struct KvFaults {
  bool Unavailable_ = false;        ///< Responds to every call with 503.
  bool Silent_ = false;             ///< Accepts calls and never responds.
  bool DropWriteResponses_ = false; ///< Applies writes, closes unanswered.
  bool AbortWatches_ = false;       ///< Closes watch requests at once.
  bool HoldResponses_ = false;      ///< See KvStandin::sendHeldResponses().
  bool OmitsEra_ = false;           ///< Responds without the header Store-Era.
  std::size_t PageItems_ = 500;
  std::string OddRangeItem_; ///< JSON text added to the items of each range.
};

class KvStandin {
public:
  explicit KvStandin(event_base *Base);
  KvStandin(const KvStandin &) = delete;
  KvStandin &operator=(const KvStandin &) = delete;
  ~KvStandin();

  const std::string &address() const { return Address_; }

  /// Writes as an operator or another daemon would.
  void put(const std::string &Key, const std::string &Value);
  void erase(const std::string &Key);
  /// Drops the history: watches from an earlier revision receive 410.
  void compact();
  void expireLease(std::int64_t Lease);

  /// Keeps a copy of the items for returnToCopy().
  void keepCopy() { Copy_ = {Items_, Revision_}; }
  /// Goes back to the copy and to its revision, without any lease, and raises
  /// the era. Watches that wait are not answered before their deadline, unless
  /// CutsWatches closes them.
  void returnToCopy(bool CutsWatches = false);
  std::int64_t revision() const { return Revision_; }

  /// Sends the responses that were held, as they were when they were made.
  void sendHeldResponses();
  std::size_t heldResponses() const { return Held_.size(); }

  KvFaults Faults_;
  std::map<std::string, KvItem> Items_;
  std::map<std::string, std::uint64_t> Calls_; ///< Counts by method and path.

private:
  struct Watcher {
    HttpExchangePointer Exchange_;
    std::string Prefix_;
    std::int64_t AfterRevision_ = 0;
    TimePoint DeadlineAt_;
  };

  void handle(const HttpExchangePointer &Exchange);
  void dispatch(const HttpExchangePointer &Exchange);
  void readKey(const HttpExchangePointer &Exchange);
  void readRange(const HttpExchangePointer &Exchange);
  void startWatch(const HttpExchangePointer &Exchange);
  void reply(const HttpExchangePointer &Exchange, int Status, const Json &Body);
  void replyText(const HttpExchangePointer &Exchange, int Status,
                 const std::string &Text);
  void runTxn(const HttpExchangePointer &Exchange);
  void grantLease(const HttpExchangePointer &Exchange);
  void keepLeaseAlive(const HttpExchangePointer &Exchange, std::int64_t Lease);
  void write(const std::string &Key, const std::string &Value,
             std::int64_t Lease);
  bool respondIfReady(Watcher &Waiting, bool Expired);
  void respondToWatches();
  void tick();
  static void onTick(int, short, void *Self);

  std::unique_ptr<HttpServer> Server_;
  std::string Address_;
  event *Tick_;
  std::int64_t Revision_ = 10;
  std::int64_t NextLease_ = 100;
  std::int64_t CompactedTo_ = 0;
  std::int64_t Era_ = 1;
  KvCopy Copy_;
  std::vector<KvChange> History_;
  std::map<std::int64_t, KvLease> Leases_;
  std::deque<Watcher> Watchers_;
  std::vector<std::function<void()>> Held_;
  std::vector<HttpExchangePointer> Unanswered_; ///< Kept open, see Silent_.
};

} // namespace sycamore::test

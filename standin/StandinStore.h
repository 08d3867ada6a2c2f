// Stand-in for the configuration store: a subset of the etcd v3 JSON gateway,
// with fault injection and call counters.
//
// POST /faults sets the given fields:
//   down            connections are closed without executing the call; with a
//                   separate admin listener, the gateway's port refuses
//                   connections
//   silent          calls and watches get no response, and connections stay
//                   open
//   slow_ms         delay of each response and watch event
//   lose_answers    number of writes (true for all) that are executed and whose
//                   connection is then closed without a response
//   refuse          number of writes (true for all) whose connection is closed
//                   without executing them
//   fault_reads     lose_answers and refuse apply to reads as well
//   reads_per_second, writes_per_second
//                   calls above this rate get status 429; 0 for no limit
// POST /copy keeps a copy of the items. POST /restore goes back to it as a
// cluster with another id: revisions are given out again, leases and open
// watches end, and the operators' keys are written again.
// GET /counters returns the calls by kind; POST /counters/reset resets them.
#pragma once

#include "CallCounters.h"
#include "StoreCodec.h"
#include "sycamore/HttpServer.h"

#include <list>

struct event;

namespace sycamore::standin {

struct StandinStoreConfig {
  std::string Listen_ = "127.0.0.1:0";
  std::string AdminListen_; ///< Empty: the same as Listen_.
  /// Interval between progress notices of watches.
  Duration ProgressInterval_ = seconds(5);
};

struct StoreFaults {
  static constexpr std::uint64_t AllCalls = UINT64_MAX;
  bool Down_ = false;
  bool Silent_ = false;
  std::uint64_t SlowMs_ = 0;
  std::uint64_t LoseAnswers_ = 0;
  std::uint64_t Refuse_ = 0;
  bool FaultReads_ = false;
  std::uint64_t ReadsPerSecond_ = 0;
  std::uint64_t WritesPerSecond_ = 0;
};

class StandinStore {
public:
  static Result<std::unique_ptr<StandinStore>>
  create(event_base *Base, const StandinStoreConfig &Config);
  StandinStore(const StandinStore &) = delete;
  StandinStore &operator=(const StandinStore &) = delete;
  ~StandinStore();

  const std::string &address() const { return Address_; }
  const std::string &adminAddress() const { return AdminAddress_; }
  StoreModel &model() { return Model_; }
  std::optional<Error> setFaults(const Json &Document);
  Json counters();
  /// Goes back to the copy that the model keeps.
  void restore();

private:
  struct OpenWatch {
    HttpExchangePointer Exchange_;
    WatchRequest Request_;
    std::int64_t NextRevision_ = 0;
    TimePoint NextProgressAt_;
  };

  StandinStore(event_base *Base, StandinStoreConfig Config);
  Result<void> openGateway(const std::string &Address);
  void handle(const HttpExchangePointer &Exchange);
  void handleAdmin(const HttpExchangePointer &Exchange);
  void handleCall(const HttpExchangePointer &Exchange);
  void runCall(const HttpExchangePointer &Exchange, const std::string &Kind,
               const Json &Body);
  Json execute(const std::string &Kind, const Json &Body);
  bool exceedsRateLimit(bool Read);
  /// Whether a fault with this number of remaining calls applies to a call; if
  /// so, decrements the number.
  bool consumeFault(std::uint64_t &Count, bool Read) const;
  void openWatch(const HttpExchangePointer &Exchange, const Json &Body);
  void updateWatches();
  bool updateWatch(OpenWatch &Watch);
  void send(const HttpExchangePointer &Exchange, int Status,
            const Json &Document);
  void runAfterDelay(std::function<void()> Work);
  static void onTick(int Socket, short Events, void *Self);

  event_base *Base_;
  StandinStoreConfig Config_;
  std::string Address_;
  std::string AdminAddress_;
  std::unique_ptr<HttpServer> Gateway_;
  std::unique_ptr<HttpServer> Admin_;
  StoreModel Model_;
  StoreFaults Faults_;
  std::list<OpenWatch> Watches_;
  std::map<std::string, RateCounter> Counters_;
  RateCounter All_;
  RateCounter Reads_;
  RateCounter Writes_;
  std::uint64_t RefusedByRate_ = 0;
  std::vector<std::pair<TimePoint, std::function<void()>>> Delayed_;
  event *TickTimer_;
};

} // namespace sycamore::standin

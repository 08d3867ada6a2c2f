// A watch over the etcd v3 JSON gateway: a streaming response with one JSON
// document per line.
#pragma once

#include "sycamore/HttpClient.h"
#include "sycamore/Store.h"

#include <event2/event.h>

namespace sycamore {

struct EtcdWatchCallbacks {
  std::function<void(const KeyValue &)> OnChange_;
  std::function<void(const Error &)> OnFailure_;
};

class EtcdWatch : public std::enable_shared_from_this<EtcdWatch> {
public:
  EtcdWatch(event_base *Base, Duration IdleTimeout,
            EtcdWatchCallbacks Callbacks);
  EtcdWatch(const EtcdWatch &) = delete;
  EtcdWatch &operator=(const EtcdWatch &) = delete;
  ~EtcdWatch();

  void start(HttpClient &Client, const std::string &Endpoint,
             std::string Request);
  /// Reports Failure from the event loop rather than from within this call.
  void failAsync(Error Failure);
  /// Ends the watch; no callback runs after this.
  void stop();

  std::optional<TimePoint> answeredAt() const { return AnsweredAt_; }

private:
  void onBodyPart(std::string_view Part);
  void onLine(std::string_view Line);
  void onEnd(const HttpResponse &Response);
  void failWith(const Error &Failure);
  void armTimer(Duration Wait);
  static void onTimer(evutil_socket_t Socket, short Events, void *Self);

  EtcdWatchCallbacks Callbacks_;
  Duration IdleTimeout_;
  event *Timer_;
  std::shared_ptr<HttpCall> Call_;
  std::string PartialLine_;
  std::unique_ptr<Error> PendingFailure_;
  std::optional<TimePoint> AnsweredAt_;
  bool Stopped_ = false;
};

/// Stops the watch when destroyed.
class EtcdWatchHandle : public WatchHandle {
public:
  explicit EtcdWatchHandle(std::shared_ptr<EtcdWatch> Watch)
      : Watch_(std::move(Watch)) {}
  EtcdWatchHandle(const EtcdWatchHandle &) = delete;
  EtcdWatchHandle &operator=(const EtcdWatchHandle &) = delete;
  ~EtcdWatchHandle() override { Watch_->stop(); }

  std::optional<TimePoint> answeredAt() const override {
    return Watch_->answeredAt();
  }

private:
  std::shared_ptr<EtcdWatch> Watch_;
};

} // namespace sycamore

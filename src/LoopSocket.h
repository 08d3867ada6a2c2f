// A ZeroMQ socket whose messages are delivered by the libevent loop.
#pragma once

#include <event2/event.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>
#include <zmq.hpp>

namespace sycamore {

class LoopSocket {
public:
  using Receiver = std::function<void(std::vector<zmq::message_t> &)>;

  LoopSocket(event_base *Base, zmq::socket_t Socket, Receiver Receive);
  ~LoopSocket();
  LoopSocket(const LoopSocket &) = delete;
  LoopSocket &operator=(const LoopSocket &) = delete;

  struct Frames {
    std::string_view First_;
    std::string_view Second_;
  };

  /// Sends one or two frames without blocking; false when the queue is full.
  bool send(const Frames &Value, bool Single);

  /// Sends to one connection of a ROUTER socket; false when that connection is
  /// closed or its queue is full.
  bool sendTo(std::string_view RoutingId, const Frames &Value, bool Single);

  /// Sends any number of frames, for inproc protocols.
  void sendParts(const std::vector<std::string> &Parts);

private:
  static void onReadable(evutil_socket_t Descriptor, short Events, void *Self);
  void drain();
  bool receiveAll(std::vector<zmq::message_t> &Parts);
  /// Schedules onReadable() if a message is waiting. The descriptor is
  /// edge-triggered, and a send may consume the event of a message that arrives
  /// meanwhile.
  void wakeIfReadable();

  zmq::socket_t Socket_;
  /// Shared, because the callback may destroy this object while it runs.
  std::shared_ptr<Receiver> Receive_;
  event *Event_ = nullptr;
  /// False when the callback has destroyed this object.
  std::shared_ptr<bool> Alive_;
};

} // namespace sycamore

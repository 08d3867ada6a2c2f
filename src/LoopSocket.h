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
  using MessageHandler = std::function<void(std::vector<zmq::message_t> &)>;

  LoopSocket(event_base *Base, zmq::socket_t Socket, MessageHandler OnMessage);
  ~LoopSocket();
  LoopSocket(const LoopSocket &) = delete;
  LoopSocket &operator=(const LoopSocket &) = delete;

  struct Frames {
    std::string_view Message_;
    std::string_view Body_;
  };

  /// Sends one or two frames without blocking; false when the queue is full.
  bool send(const Frames &Content, bool SingleFrame);

  /// Sends to one connection of a ROUTER socket; false when that connection is
  /// closed or its queue is full.
  bool sendTo(std::string_view RoutingId, const Frames &Content,
              bool SingleFrame);

  /// Sends any number of frames, for inproc protocols.
  void sendMultipart(const std::vector<std::string> &Parts);

private:
  static void onReadable(evutil_socket_t Descriptor, short Events, void *Self);
  void deliverPending();
  bool sendFrame(std::string_view Frame, bool MoreFollows);
  bool receiveMessage(std::vector<zmq::message_t> &Parts);
  /// Schedules onReadable() if a message is waiting. The descriptor is
  /// edge-triggered, and a send may consume the event of a message that arrives
  /// meanwhile.
  void wakeIfReadable();

  zmq::socket_t Socket_;
  /// Shared, because the callback may destroy this object while it runs.
  std::shared_ptr<MessageHandler> OnMessage_;
  event *Event_ = nullptr;
  /// False when the callback has destroyed this object.
  std::shared_ptr<bool> Alive_;
};

} // namespace sycamore

// Integrates the edge-triggered descriptor of a ZeroMQ socket with libevent.
#include "LoopSocket.h"

namespace sycamore {
namespace {

/// Messages handled before the loop processes other events.
constexpr int MaxMessagesPerWake = 128;

zmq::const_buffer bufferOf(std::string_view Text) {
  return zmq::buffer(Text.data(), Text.size());
}

} // namespace

LoopSocket::LoopSocket(event_base *Base, zmq::socket_t Socket, Receiver Receive)
    : Socket_(std::move(Socket)),
      Receive_(std::make_shared<Receiver>(std::move(Receive))),
      Alive_(std::make_shared<bool>(true)) {
  Event_ = event_new(Base, Socket_.get(zmq::sockopt::fd),
                     EV_READ | EV_PERSIST | EV_ET, onReadable, this);
  event_add(Event_, nullptr);
  wakeIfReadable();
}

LoopSocket::~LoopSocket() {
  *Alive_ = false;
  event_free(Event_);
}

void LoopSocket::onReadable(evutil_socket_t /*Descriptor*/, short /*Events*/,
                            void *Self) {
  static_cast<LoopSocket *>(Self)->drain();
}

bool LoopSocket::receiveAll(std::vector<zmq::message_t> &Parts) {
  Parts.clear();
  do {
    zmq::message_t Part;
    if (!Socket_.recv(Part, zmq::recv_flags::dontwait))
      return false;
    Parts.push_back(std::move(Part));
  } while (Parts.back().more());
  return true;
}

void LoopSocket::drain() {
  std::shared_ptr<bool> Alive = Alive_;
  std::shared_ptr<Receiver> Receive = Receive_;
  std::vector<zmq::message_t> Parts;
  for (int Count = 0; Count < MaxMessagesPerWake; ++Count) {
    if (!receiveAll(Parts))
      return;
    (*Receive)(Parts);
    if (!*Alive)
      return;
  }
  wakeIfReadable();
}

void LoopSocket::wakeIfReadable() {
  if ((Socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0)
    event_active(Event_, EV_READ, 0);
}

bool LoopSocket::send(const Frames &Value, bool Single) {
  auto Flags = Single ? zmq::send_flags::dontwait
                      : zmq::send_flags::dontwait | zmq::send_flags::sndmore;
  bool Sent = Socket_.send(bufferOf(Value.First_), Flags).has_value();
  if (Sent && !Single)
    Socket_.send(bufferOf(Value.Second_), zmq::send_flags::dontwait);
  wakeIfReadable();
  return Sent;
}

bool LoopSocket::sendTo(std::string_view RoutingId, const Frames &Value,
                        bool Single) {
  try {
    auto First =
        Socket_.send(bufferOf(RoutingId),
                     zmq::send_flags::dontwait | zmq::send_flags::sndmore);
    if (!First)
      return false;
  } catch (const zmq::error_t &) {
    // With ROUTER_MANDATORY, sending to a closed connection is an error.
    return false;
  }
  return send(Value, Single);
}

void LoopSocket::sendParts(const std::vector<std::string> &Parts) {
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    auto Flags = zmq::send_flags::dontwait;
    if (I + 1 < Parts.size())
      Flags = Flags | zmq::send_flags::sndmore;
    Socket_.send(bufferOf(Parts[I]), Flags);
  }
  wakeIfReadable();
}

} // namespace sycamore

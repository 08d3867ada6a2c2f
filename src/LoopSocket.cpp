// Integrates the edge-triggered descriptor of a ZeroMQ socket with libevent.
#include "LoopSocket.h"

namespace sycamore {
namespace {

/// Messages handled before the loop processes other events.
constexpr int MaxMessagesPerWake = 128;

zmq::const_buffer toBuffer(std::string_view Text) {
  return zmq::buffer(Text.data(), Text.size());
}

} // namespace

LoopSocket::LoopSocket(event_base *Base, zmq::socket_t Socket,
                       MessageHandler OnMessage)
    : Socket_(std::move(Socket)),
      OnMessage_(std::make_shared<MessageHandler>(std::move(OnMessage))),
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
  static_cast<LoopSocket *>(Self)->deliverPending();
}

bool LoopSocket::receiveMessage(std::vector<zmq::message_t> &Parts) {
  Parts.clear();
  do {
    zmq::message_t Part;
    if (!Socket_.recv(Part, zmq::recv_flags::dontwait))
      return false;
    Parts.push_back(std::move(Part));
  } while (Parts.back().more());
  return true;
}

void LoopSocket::deliverPending() {
  std::shared_ptr<bool> Alive = Alive_;
  std::shared_ptr<MessageHandler> OnMessage = OnMessage_;
  std::vector<zmq::message_t> Parts;
  for (int Count = 0; Count < MaxMessagesPerWake; ++Count) {
    if (!receiveMessage(Parts))
      return;
    (*OnMessage)(Parts);
    if (!*Alive)
      return;
  }
  wakeIfReadable();
}

void LoopSocket::wakeIfReadable() {
  if ((Socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0)
    event_active(Event_, EV_READ, 0);
}

bool LoopSocket::send(const Frames &Content, bool SingleFrame) {
  auto Flags = SingleFrame
                   ? zmq::send_flags::dontwait
                   : zmq::send_flags::dontwait | zmq::send_flags::sndmore;
  bool Sent = Socket_.send(toBuffer(Content.Message_), Flags).has_value();
  if (Sent && !SingleFrame)
    Socket_.send(toBuffer(Content.Body_), zmq::send_flags::dontwait);
  wakeIfReadable();
  return Sent;
}

bool LoopSocket::sendTo(std::string_view RoutingId, const Frames &Content,
                        bool SingleFrame) {
  try {
    auto RoutingIdSent =
        Socket_.send(toBuffer(RoutingId),
                     zmq::send_flags::dontwait | zmq::send_flags::sndmore);
    if (!RoutingIdSent)
      return false;
  } catch (const zmq::error_t &) {
    // With ROUTER_MANDATORY, sending to a closed connection is an error.
    return false;
  }
  return send(Content, SingleFrame);
}

void LoopSocket::sendMultipart(const std::vector<std::string> &Parts) {
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    auto Flags = zmq::send_flags::dontwait;
    if (I + 1 < Parts.size())
      Flags = Flags | zmq::send_flags::sndmore;
    Socket_.send(toBuffer(Parts[I]), Flags);
  }
  wakeIfReadable();
}

} // namespace sycamore

// Integrates the edge-triggered descriptor of a ZeroMQ socket with libevent.
#include "LoopSocket.h"

#include "sycamore/Log.h"

#include <cerrno>

namespace sycamore {
namespace {

/// Messages handled before the loop processes other events.
constexpr int MaxMessagesPerWake = 128;

/// Repeats a call of ZeroMQ that a signal interrupted; it did nothing. Call
/// runs below libevent's C code, through which no exception may pass, so any
/// other error becomes the value Failed.
template <typename Function>
auto callZmq(Function Call, decltype(Call()) Failed) -> decltype(Call()) {
  for (;;) {
    try {
      return Call();
    } catch (const zmq::error_t &Failure) {
      if (Failure.num() == EINTR)
        continue;
      // With ROUTER_MANDATORY, sending to a closed connection is an error.
      if (Failure.num() != EHOSTUNREACH)
        logEvent(LogEvent::PeerSocketFailed, {{"error", Failure.what()}});
      return Failed;
    }
  }
}

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
    auto Received =
        callZmq([&] { return Socket_.recv(Part, zmq::recv_flags::dontwait); },
                std::nullopt);
    if (!Received)
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
  int Events = callZmq([&] { return Socket_.get(zmq::sockopt::events); }, 0);
  if ((Events & ZMQ_POLLIN) != 0)
    event_active(Event_, EV_READ, 0);
}

bool LoopSocket::sendFrame(std::string_view Frame, bool MoreFollows) {
  auto Flags = MoreFollows
                   ? zmq::send_flags::dontwait | zmq::send_flags::sndmore
                   : zmq::send_flags::dontwait;
  return callZmq([&] { return Socket_.send(toBuffer(Frame), Flags); },
                 std::nullopt)
      .has_value();
}

bool LoopSocket::send(const Frames &Content, bool SingleFrame) {
  bool Sent = sendFrame(Content.Message_, !SingleFrame);
  if (Sent && !SingleFrame)
    sendFrame(Content.Body_, false);
  wakeIfReadable();
  return Sent;
}

bool LoopSocket::sendTo(std::string_view RoutingId, const Frames &Content,
                        bool SingleFrame) {
  return sendFrame(RoutingId, true) && send(Content, SingleFrame);
}

void LoopSocket::sendMultipart(const std::vector<std::string> &Parts) {
  for (std::size_t I = 0; I < Parts.size(); ++I)
    sendFrame(Parts[I], I + 1 < Parts.size());
  wakeIfReadable();
}

} // namespace sycamore

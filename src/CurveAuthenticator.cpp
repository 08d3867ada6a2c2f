// Answers the ZeroMQ authentication requests of the ROUTER socket.
#include "CurveAuthenticator.h"

#include <array>

namespace sycamore {
namespace {

// Frames of a request: version, request id, domain, address, identity,
// mechanism, credentials; preceded by the routing id and an empty frame.
constexpr std::size_t RequestFrameCount = 9;
constexpr std::size_t RequestIdFrame = 3;
constexpr std::size_t MechanismFrame = 7;
constexpr std::size_t CredentialsFrame = 8;
constexpr std::size_t KeyBytes = 32;

std::string encodeKey(const zmq::message_t &Key) {
  std::array<char, 41> Text{};
  if (Key.size() != KeyBytes ||
      !zmq_z85_encode(Text.data(), Key.data<std::uint8_t>(), Key.size()))
    return {};
  return Text.data();
}

} // namespace

CurveAuthenticator::CurveAuthenticator(event_base *Base,
                                       zmq::context_t &Context,
                                       AllowedKeys Keys)
    : AllowedKeys_(std::move(Keys)) {
  zmq::socket_t Socket(Context, ZMQ_ROUTER);
  Socket.set(zmq::sockopt::linger, 0);
  Socket.bind("inproc://zeromq.zap.01");
  Socket_ = std::make_unique<LoopSocket>(
      Base, std::move(Socket),
      [this](std::vector<zmq::message_t> &Frames) { onRequest(Frames); });
}

void CurveAuthenticator::onRequest(std::vector<zmq::message_t> &Frames) {
  if (Frames.size() < RequestFrameCount)
    return;
  std::string Name;
  if (Frames[MechanismFrame].to_string_view() == "CURVE") {
    auto Found = AllowedKeys_.find(encodeKey(Frames[CredentialsFrame]));
    if (Found != AllowedKeys_.end())
      Name = Found->second;
  }
  bool Allowed = !Name.empty();
  Socket_->sendMultipart(
      {Frames[0].to_string(), std::string(), "1.0",
       Frames[RequestIdFrame].to_string(), Allowed ? "200" : "400",
       Allowed ? "OK" : "key not allowed", Name, std::string()});
}

} // namespace sycamore

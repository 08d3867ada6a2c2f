// Decides which CURVE keys may connect, by the ZeroMQ Authentication Protocol
// (RFC 27).
#pragma once

#include "LoopSocket.h"
#include "sycamore/PeerTransport.h"

namespace sycamore {

class CurveAuthenticator {
public:
  CurveAuthenticator(event_base *Base, zmq::context_t &Context,
                     AllowedKeys Keys);

  void setAllowedKeys(AllowedKeys Keys) { AllowedKeys_ = std::move(Keys); }

private:
  void onRequest(std::vector<zmq::message_t> &Frames);

  AllowedKeys AllowedKeys_;
  std::unique_ptr<LoopSocket> Socket_;
};

} // namespace sycamore

// Messages between daemons over ZeroMQ sockets on the libevent loop.
#include "sycamore/PeerTransport.h"

#include "CurveAuthenticator.h"
#include "LoopSocket.h"
#include "sycamore/Log.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <vector>

namespace sycamore {
namespace {

struct Link {
  std::uint64_t Number_ = 0;
  std::string Peer_;
  PeerAddress Address_;
  std::unique_ptr<LoopSocket> Socket_;
  std::unique_ptr<LoopSocket> Monitor_;
  TimePoint OpenedAt_;
  TimePoint LastUsedAt_;
  bool Connected_ = false;
  bool Closing_ = false;
};

bool isCallTraffic(const wire::PeerMessage &Message) {
  switch (Message.body_case()) {
  case wire::PeerMessage::kCallRequest:
  case wire::PeerMessage::kCallAnswer:
  case wire::PeerMessage::kCallAnswerPart:
  case wire::PeerMessage::kCallCancel:
  case wire::PeerMessage::kCallQuery:
  case wire::PeerMessage::kCallQueryAnswer:
    return true;
  default:
    return false;
  }
}

constexpr int MaxQueuedMessages = 10000;

} // namespace

class PeerTransport::Impl {
public:
  Impl(event_base *Base, PeerTransportConfig Config, PeerHandlers Handlers)
      : Base_(Base), Config_(std::move(Config)), Handlers_(std::move(Handlers)),
        Context_(1), Authenticator_(Base, Context_, Config_.AllowedKeys_) {}

  Result<std::string> listen();
  SendResult send(const std::string &Peer, wire::PeerMessage &Message,
                  std::string_view Body, TimePoint Now);
  bool reply(const ReplyRoute &Route, wire::PeerMessage &Message,
             std::string_view Body);
  void closeLink(const std::string &Peer);
  void tick(TimePoint Now);

  event_base *Base_;
  PeerTransportConfig Config_;
  PeerHandlers Handlers_;
  PeerTransportCounters Counters_;
  zmq::context_t Context_;
  CurveAuthenticator Authenticator_;
  std::unique_ptr<LoopSocket> Router_;
  std::map<std::string, std::shared_ptr<Link>, std::less<>> Links_;
  /// Closed links whose socket monitor has not stopped yet.
  std::vector<std::shared_ptr<Link>> ClosingLinks_;
  std::uint64_t LastLinkNumber_ = 0;

private:
  void setCommonOptions(zmq::socket_t &Socket) const;
  std::shared_ptr<Link> openLink(const std::string &Peer,
                                 const PeerAddress &Address, TimePoint Now);
  std::shared_ptr<Link> dialLink(const std::string &Peer,
                                 const PeerAddress &Address, TimePoint Now);
  void evictLeastRecentlyUsedLink();
  void startClosing(const std::shared_ptr<Link> &ClosingLink);
  void onMonitorEvent(const std::weak_ptr<Link> &Observed,
                      std::vector<zmq::message_t> &Frames);
  void finishClosing(const std::shared_ptr<Link> &ClosingLink);
  void onFrames(std::vector<zmq::message_t> &Frames, std::size_t First,
                const ReplyRoute &Route);
  bool hasForgedSender(zmq::message_t &Frame, const wire::PeerMessage &Message);
  std::string encode(wire::PeerMessage &Message, std::string_view Body);
};

void PeerTransport::Impl::setCommonOptions(zmq::socket_t &Socket) const {
  Socket.set(zmq::sockopt::linger, 0);
  Socket.set(zmq::sockopt::sndhwm, MaxQueuedMessages);
  Socket.set(zmq::sockopt::rcvhwm, MaxQueuedMessages);
  Socket.set(zmq::sockopt::heartbeat_ivl,
             static_cast<int>(Config_.HeartbeatInterval_.count()));
  Socket.set(zmq::sockopt::heartbeat_timeout,
             static_cast<int>(Config_.HeartbeatTimeout_.count()));
  Socket.set(zmq::sockopt::handshake_ivl,
             static_cast<int>(Config_.DialTimeout_.count()));
  Socket.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(Config_.MaxMessageBytes_));
}

Result<std::string> PeerTransport::Impl::listen() {
  zmq::socket_t Socket(Context_, ZMQ_ROUTER);
  setCommonOptions(Socket);
  Socket.set(zmq::sockopt::router_mandatory, 1);
  if (!Config_.Curve_.SecretKey_.empty()) {
    Socket.set(zmq::sockopt::curve_server, 1);
    Socket.set(zmq::sockopt::curve_secretkey, Config_.Curve_.SecretKey_);
    Socket.set(zmq::sockopt::zap_domain, "sycamore");
  }
  try {
    Socket.bind("tcp://" + Config_.ListenAddress_);
  } catch (const zmq::error_t &Failure) {
    return fail(ErrorKind::Unavailable,
                "peer_listen: cannot bind " + Config_.ListenAddress_ + ": " +
                    Failure.what(),
                "choose a free address of this server");
  }
  std::string Endpoint = Socket.get(zmq::sockopt::last_endpoint);
  Router_ = std::make_unique<LoopSocket>(
      Base_, std::move(Socket), [this](std::vector<zmq::message_t> &Frames) {
        if (Frames.size() < 2) {
          ++Counters_.DroppedMalformed_;
          return;
        }
        onFrames(Frames, 1, ReplyRoute{Frames[0].to_string(), {}});
      });
  return Endpoint.substr(std::strlen("tcp://"));
}

// Opening takes descriptors, of which the process may have none left.
std::shared_ptr<Link> PeerTransport::Impl::openLink(const std::string &Peer,
                                                    const PeerAddress &Address,
                                                    TimePoint Now) {
  try {
    return dialLink(Peer, Address, Now);
  } catch (const zmq::error_t &Failure) {
    logEvent(LogEvent::PeerSocketFailed,
             {{"peer", Peer}, {"error", Failure.what()}});
    return nullptr;
  }
}

std::shared_ptr<Link> PeerTransport::Impl::dialLink(const std::string &Peer,
                                                    const PeerAddress &Address,
                                                    TimePoint Now) {
  zmq::socket_t Socket(Context_, ZMQ_DEALER);
  setCommonOptions(Socket);
  if (!Config_.Curve_.SecretKey_.empty()) {
    Socket.set(zmq::sockopt::curve_serverkey, Address.PublicKey_);
    Socket.set(zmq::sockopt::curve_publickey, Config_.Curve_.PublicKey_);
    Socket.set(zmq::sockopt::curve_secretkey, Config_.Curve_.SecretKey_);
  }
  // Disables reconnection. A lost link is closed and the next message opens a
  // new one, so that messages queued on the old link are dropped instead of
  // delivered late.
  Socket.set(zmq::sockopt::reconnect_ivl, -1);
  std::string MonitorEndpoint =
      "inproc://monitor-" + std::to_string(++LastLinkNumber_);
  if (zmq_socket_monitor(
          Socket.handle(), MonitorEndpoint.c_str(),
          ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED |
              ZMQ_EVENT_CLOSED | ZMQ_EVENT_CLOSE_FAILED |
              ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
              ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
              ZMQ_EVENT_HANDSHAKE_FAILED_AUTH | ZMQ_EVENT_MONITOR_STOPPED) != 0)
    return nullptr;
  zmq::socket_t Monitor(Context_, ZMQ_PAIR);
  Monitor.connect(MonitorEndpoint);
  auto NewLink = std::make_shared<Link>();
  NewLink->Number_ = LastLinkNumber_;
  NewLink->Peer_ = Peer;
  NewLink->Address_ = Address;
  NewLink->OpenedAt_ = Now;
  Socket.connect("tcp://" + Address.Address_);
  std::weak_ptr<Link> Weak = NewLink;
  NewLink->Monitor_ = std::make_unique<LoopSocket>(
      Base_, std::move(Monitor),
      [this, Weak](std::vector<zmq::message_t> &Frames) {
        onMonitorEvent(Weak, Frames);
      });
  NewLink->Socket_ = std::make_unique<LoopSocket>(
      Base_, std::move(Socket),
      [this, Peer](std::vector<zmq::message_t> &Frames) {
        onFrames(Frames, 0, ReplyRoute{{}, Peer});
      });
  ++Counters_.LinksOpened_;
  Links_[Peer] = NewLink;
  return NewLink;
}

void PeerTransport::Impl::evictLeastRecentlyUsedLink() {
  auto LeastRecentlyUsed = Links_.end();
  for (auto Entry = Links_.begin(); Entry != Links_.end(); ++Entry)
    if (LeastRecentlyUsed == Links_.end() ||
        Entry->second->LastUsedAt_ < LeastRecentlyUsed->second->LastUsedAt_)
      LeastRecentlyUsed = Entry;
  if (LeastRecentlyUsed == Links_.end())
    return;
  ++Counters_.LinksEvicted_;
  startClosing(LeastRecentlyUsed->second);
}

void PeerTransport::Impl::startClosing(
    const std::shared_ptr<Link> &ClosingLink) {
  if (ClosingLink->Closing_)
    return;
  ClosingLink->Closing_ = true;
  ++Counters_.LinksClosed_;
  ClosingLinks_.push_back(ClosingLink);
  auto Entry = Links_.find(ClosingLink->Peer_);
  if (Entry != Links_.end() && Entry->second == ClosingLink)
    Links_.erase(Entry);
  // The monitor reports that it has stopped after the last event of this
  // socket; only then is it known whether the link ever connected.
  ClosingLink->Socket_.reset();
}

void PeerTransport::Impl::onMonitorEvent(const std::weak_ptr<Link> &Observed,
                                         std::vector<zmq::message_t> &Frames) {
  std::shared_ptr<Link> Current = Observed.lock();
  std::uint16_t Event = 0;
  if (!Current || Frames.empty() || Frames[0].size() < sizeof(Event))
    return;
  std::memcpy(&Event, Frames[0].data(), sizeof(Event));
  switch (Event) {
  case ZMQ_EVENT_HANDSHAKE_SUCCEEDED:
    Current->Connected_ = true;
    break;
  case ZMQ_EVENT_MONITOR_STOPPED:
    finishClosing(Current);
    break;
  case ZMQ_EVENT_HANDSHAKE_FAILED_AUTH:
  case ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL:
    ++Counters_.HandshakesRefused_;
    startClosing(Current);
    break;
  default:
    startClosing(Current);
    break;
  }
}

void PeerTransport::Impl::finishClosing(
    const std::shared_ptr<Link> &ClosingLink) {
  auto Entry =
      std::find(ClosingLinks_.begin(), ClosingLinks_.end(), ClosingLink);
  if (Entry != ClosingLinks_.end())
    ClosingLinks_.erase(Entry);
  if (Handlers_.OnLinkClosed_)
    Handlers_.OnLinkClosed_(ClosingLink->Peer_, ClosingLink->Number_,
                            ClosingLink->Connected_
                                ? LinkCloseReason::Lost
                                : LinkCloseReason::NeverConnected);
}

std::string PeerTransport::Impl::encode(wire::PeerMessage &Message,
                                        std::string_view Body) {
  Message.set_sender(Config_.Self_);
  Message.set_process(Config_.Process_);
  std::string Bytes = Message.SerializeAsString();
  ++Counters_.MessagesSent_;
  Counters_.BytesSent_ += Bytes.size() + Body.size();
  if (!isCallTraffic(Message))
    Counters_.ControlBytesSent_ += Bytes.size() + Body.size();
  return Bytes;
}

SendResult PeerTransport::Impl::send(const std::string &Peer,
                                     wire::PeerMessage &Message,
                                     std::string_view Body, TimePoint Now) {
  auto Address = Handlers_.Resolve_(Peer);
  if (!Address) {
    ++Counters_.DroppedUnroutable_;
    return {SendOutcome::NoAddress, 0};
  }
  auto Entry = Links_.find(Peer);
  if (Entry != Links_.end() && Entry->second->Address_ != *Address) {
    startClosing(Entry->second);
    Entry = Links_.end();
  }
  std::shared_ptr<Link> Selected;
  if (Entry != Links_.end()) {
    Selected = Entry->second;
  } else {
    if (Links_.size() >= Config_.MaxLinks_)
      evictLeastRecentlyUsedLink();
    Selected = openLink(Peer, *Address, Now);
  }
  if (!Selected) {
    ++Counters_.DroppedUnroutable_;
    return {SendOutcome::NoAddress, 0};
  }
  Selected->LastUsedAt_ = Now;
  std::string Bytes = encode(Message, Body);
  if (Selected->Socket_->send({Bytes, Body}, Body.empty()))
    return {SendOutcome::Sent, Selected->Number_};
  ++Counters_.DroppedUnroutable_;
  return {SendOutcome::LinkFull, Selected->Number_};
}

bool PeerTransport::Impl::reply(const ReplyRoute &Route,
                                wire::PeerMessage &Message,
                                std::string_view Body) {
  std::string Bytes = encode(Message, Body);
  bool Sent = false;
  if (!Route.Link_.empty()) {
    auto Entry = Links_.find(Route.Link_);
    Sent = Entry != Links_.end() &&
           Entry->second->Socket_->send({Bytes, Body}, Body.empty());
  } else if (Router_) {
    Sent = Router_->sendTo(Route.RoutingId_, {Bytes, Body}, Body.empty());
  }
  if (!Sent)
    ++Counters_.DroppedUnroutable_;
  return Sent;
}

bool PeerTransport::Impl::hasForgedSender(zmq::message_t &Frame,
                                          const wire::PeerMessage &Message) {
  if (Config_.Curve_.SecretKey_.empty())
    return false;
  try {
    return Message.sender() != Frame.gets("User-Id");
  } catch (const zmq::error_t &) {
    // Messages on a dialled link carry no User-Id: there, the dialled server
    // key identifies the peer.
    return false;
  }
}

void PeerTransport::Impl::onFrames(std::vector<zmq::message_t> &Frames,
                                   std::size_t First, const ReplyRoute &Route) {
  wire::PeerMessage Message;
  std::size_t Parts = Frames.size() - First;
  if (Parts == 0 || Parts > 2 ||
      !Message.ParseFromArray(Frames[First].data(),
                              static_cast<int>(Frames[First].size())) ||
      Message.body_case() == wire::PeerMessage::BODY_NOT_SET) {
    ++Counters_.DroppedMalformed_;
    return;
  }
  if (hasForgedSender(Frames[First], Message) ||
      (!Route.Link_.empty() && Route.Link_ != Message.sender())) {
    ++Counters_.DroppedImpostor_;
    return;
  }
  std::string Body = Parts == 2 ? Frames[First + 1].to_string() : std::string();
  std::size_t Bytes = Frames[First].size() + Body.size();
  ++Counters_.MessagesReceived_;
  Counters_.BytesReceived_ += Bytes;
  if (!isCallTraffic(Message))
    Counters_.ControlBytesReceived_ += Bytes;
  Handlers_.OnMessage_(Message, Body, Route);
}

void PeerTransport::Impl::closeLink(const std::string &Peer) {
  auto Entry = Links_.find(Peer);
  if (Entry != Links_.end())
    startClosing(std::shared_ptr<Link>(Entry->second));
}

void PeerTransport::Impl::tick(TimePoint Now) {
  std::vector<std::shared_ptr<Link>> TimedOut;
  for (const auto &[Peer, Current] : Links_)
    if (!Current->Connected_ && Now - Current->OpenedAt_ > Config_.DialTimeout_)
      TimedOut.push_back(Current);
  for (const auto &Current : TimedOut)
    startClosing(Current);
}

PeerTransport::PeerTransport(event_base *Base, PeerTransportConfig Config,
                             PeerHandlers Handlers)
    : Impl_(std::make_unique<Impl>(Base, std::move(Config),
                                   std::move(Handlers))) {}

PeerTransport::~PeerTransport() = default;

Result<std::string> PeerTransport::listen() { return Impl_->listen(); }

SendResult PeerTransport::send(const std::string &Peer,
                               wire::PeerMessage &Message,
                               std::string_view Body, TimePoint Now) {
  return Impl_->send(Peer, Message, Body, Now);
}

bool PeerTransport::reply(const ReplyRoute &Route, wire::PeerMessage &Message,
                          std::string_view Body) {
  return Impl_->reply(Route, Message, Body);
}

void PeerTransport::closeLink(const std::string &Peer) {
  Impl_->closeLink(Peer);
}

void PeerTransport::setAllowedKeys(AllowedKeys Keys) {
  Impl_->Authenticator_.setAllowedKeys(std::move(Keys));
}

void PeerTransport::tick(TimePoint Now) { Impl_->tick(Now); }

std::size_t PeerTransport::linkCount() const { return Impl_->Links_.size(); }

const PeerTransportCounters &PeerTransport::counters() const {
  return Impl_->Counters_;
}

CurveKeys makeCurveKeys() {
  std::array<char, 41> Public{};
  std::array<char, 41> Secret{};
  zmq_curve_keypair(Public.data(), Secret.data());
  return {Public.data(), Secret.data()};
}

Result<std::string> curvePublicKey(const std::string &SecretKey) {
  std::array<char, 41> Public{};
  if (SecretKey.size() != 40 ||
      zmq_curve_public(Public.data(), SecretKey.c_str()) != 0)
    return fail(ErrorKind::InvalidSettings,
                "curve.secret_key_file: not a Z85 key of 40 characters",
                "make one with `sycamorectl key make --curve`");
  return std::string(Public.data());
}

} // namespace sycamore

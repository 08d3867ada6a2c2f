// Messages between daemons over ZeroMQ on the libevent loop: one ROUTER socket
// for connections from peers, one DEALER socket (a link) for each peer dialled.
#pragma once

#include "sycamore/Error.h"
#include "sycamore/PeerMessages.pb.h"
#include "sycamore/Time.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct event_base;

namespace sycamore {

/// Keys as Z85 text; both are empty if links are not encrypted.
struct CurveKeys {
  std::string PublicKey_;
  std::string SecretKey_;
};

CurveKeys makeCurveKeys();

/// The public key that belongs to a secret key. Errors: InvalidSettings.
Result<std::string> curvePublicKey(const std::string &SecretKey);

/// The servers that may connect: from public key (Z85) to server name.
using AllowedKeys = std::map<std::string, std::string, std::less<>>;

struct PeerAddress {
  std::string Address_;   ///< "IP:PORT".
  std::string PublicKey_; ///< Z85; empty without encryption.

  bool operator==(const PeerAddress &) const = default;
};

struct PeerTransportConfig {
  std::string Self_;
  std::uint64_t Process_ = 0; ///< Start time, microseconds since the epoch.
  std::string ListenAddress_; ///< "IP:PORT"; port 0 for any free one.
  CurveKeys Curve_;
  AllowedKeys AllowedKeys_;
  /// Dialled links open at the same time. One daemon keeps about 130
  /// connections at the intended fleet size.
  std::size_t MaxLinks_ = 110;
  std::size_t MaxMessageBytes_ = 64U << 20U;
  milliseconds HeartbeatInterval_{5000};
  milliseconds HeartbeatTimeout_{10000};
  milliseconds DialTimeout_{1000};
};

/// The connection that a message arrived on; its answer is sent back over it.
struct ReplyRoute {
  std::string RoutingId_; ///< Of the ROUTER socket; empty for dialled links.
  std::string Link_;      ///< Name of the dialled peer; empty if it dialled.
};

struct PeerTransportCounters {
  std::uint64_t MessagesSent_ = 0;
  std::uint64_t BytesSent_ = 0;
  std::uint64_t MessagesReceived_ = 0;
  std::uint64_t BytesReceived_ = 0;
  /// Bytes of all messages except calls and their answers.
  std::uint64_t ControlBytesSent_ = 0;
  std::uint64_t ControlBytesReceived_ = 0;
  std::uint64_t DroppedUnroutable_ = 0;
  std::uint64_t DroppedMalformed_ = 0;
  std::uint64_t DroppedImpostor_ = 0;
  std::uint64_t LinksOpened_ = 0;
  std::uint64_t LinksClosed_ = 0;
  std::uint64_t LinksEvicted_ = 0;
  std::uint64_t HandshakesRefused_ = 0;
};

enum class SendOutcome { Sent, NoAddress, LinkFull };

struct SendResult {
  SendOutcome Outcome_ = SendOutcome::NoAddress;
  std::uint64_t LinkNumber_ = 0; ///< Link used; see OnLinkClosed_.
};

/// Why a link was closed. NeverConnected means that no message given to it was
/// sent.
enum class LinkCloseReason { NeverConnected, Lost };

struct PeerHandlers {
  std::function<void(wire::PeerMessage &, std::string &Body,
                     const ReplyRoute &)>
      OnMessage_;
  /// Links are numbered from 1 in the order in which they were opened.
  std::function<void(const std::string &Peer, std::uint64_t Link,
                     LinkCloseReason)>
      OnLinkClosed_;
  std::function<std::optional<PeerAddress>(const std::string &Peer)> Resolve_;
};

class PeerTransport {
public:
  PeerTransport(event_base *Base, PeerTransportConfig Config,
                PeerHandlers Handlers);
  ~PeerTransport();

  /// Returns the bound address. Errors: Unavailable when it cannot be bound,
  /// for example because it is in use.
  Result<std::string> listen();

  /// Sends over the link to Peer, which is dialled first if there is none.
  SendResult send(const std::string &Peer, wire::PeerMessage &Message,
                  std::string_view Body, TimePoint Now);

  /// Sends an answer over the connection that the request came from. Returns
  /// false if that connection is closed or its queue is full.
  bool reply(const ReplyRoute &Route, wire::PeerMessage &Message,
             std::string_view Body);

  /// Closes the link to Peer, so that the next send() dials a new one.
  void closeLink(const std::string &Peer);

  /// Replaces the keys that may connect; open connections stay.
  void setAllowedKeys(AllowedKeys Keys);

  /// Closes links that have not connected within DialTimeout_.
  void tick(TimePoint Now);

  std::size_t linkCount() const;
  const PeerTransportCounters &counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace sycamore

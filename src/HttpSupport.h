// Addresses, TLS contexts and small helpers for the HTTP server and client.
#pragma once

#include "sycamore/Error.h"
#include "sycamore/HttpMessage.h"
#include "sycamore/Time.h"

#include <cstdint>
#include <event2/util.h>
#include <memory>
#include <openssl/ssl.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>

struct evkeyvalq;
struct evbuffer;
struct bufferevent;

namespace sycamore {

struct IpEndpoint {
  sockaddr_storage Storage_{};
  int Length_ = 0;
  std::string Ip_;
  std::uint16_t Port_ = 0;

  const sockaddr *get() const {
    return reinterpret_cast<const sockaddr *>(&Storage_);
  }
};

/// Parses "IP:PORT" or "[IP]:PORT". Errors: InvalidArgument.
Result<IpEndpoint> parseSocketAddress(const std::string &Text);

/// The address that a socket is bound to, in the form that
/// parseSocketAddress() accepts.
std::string boundAddress(evutil_socket_t Socket);

/// Disables Nagle's algorithm. With it, a body over 16 KiB waits for the other
/// side's delayed acknowledgement, which costs 44 ms or more.
void setNoDelay(evutil_socket_t Socket);

/// libevent writes without MSG_NOSIGNAL, so that SIGPIPE would terminate the
/// process when it writes to a closed connection.
void ignoreBrokenPipeSignal();

timeval toTimeval(Duration Span);

void copyHeaders(const evkeyvalq *From, HttpHeaders &To);

std::string drainBuffer(evbuffer *From);

/// Adds the headers except Content-Length and Transfer-Encoding.
void addHeaders(evkeyvalq *To, const HttpHeaders &From);

using TlsContext = std::shared_ptr<SSL_CTX>;

enum class TlsSide { Server, Client };

/// Loads the files. Errors: InvalidSettings, naming the file. A client verifies
/// the server against Ca_; a server requests certificates when Ca_ is set and
/// refuses connections without one when RequirePeerCertificate is set.
Result<TlsContext> makeTlsContext(const TlsFiles &Files, TlsSide Side,
                                  bool RequirePeerCertificate);

/// Subject common name of the other side's verified certificate, or empty.
std::string verifiedPeerName(bufferevent *Connection);

} // namespace sycamore

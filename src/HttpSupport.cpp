// Addresses, TLS contexts and small helpers for the HTTP server and client.
#include "HttpSupport.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <csignal>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/err.h>
#include <openssl/x509.h>

namespace sycamore {
namespace {

tl::unexpected<Error> tlsError(const std::string &FileKind,
                               const std::string &File) {
  std::array<char, 256> Text{};
  ERR_error_string_n(ERR_get_error(), Text.data(), Text.size());
  ERR_clear_error();
  return fail(ErrorKind::InvalidSettings,
              FileKind + " " + File + " cannot be used: " + Text.data(),
              "check that the file exists, is readable and holds PEM data");
}

std::string ipText(const sockaddr *Address) {
  std::array<char, INET6_ADDRSTRLEN> Text{};
  const void *Source =
      Address->sa_family == AF_INET6
          ? static_cast<const void *>(
                &reinterpret_cast<const sockaddr_in6 *>(Address)->sin6_addr)
          : &reinterpret_cast<const sockaddr_in *>(Address)->sin_addr;
  evutil_inet_ntop(Address->sa_family, Source, Text.data(), Text.size());
  return Text.data();
}

std::uint16_t portOf(const sockaddr *Address) {
  return ntohs(Address->sa_family == AF_INET6
                   ? reinterpret_cast<const sockaddr_in6 *>(Address)->sin6_port
                   : reinterpret_cast<const sockaddr_in *>(Address)->sin_port);
}

Result<void> loadOwnCertificate(SSL_CTX *Context, const TlsFiles &Files) {
  if (SSL_CTX_use_certificate_chain_file(Context, Files.Certificate_.c_str()) !=
      1)
    return tlsError("certificate", Files.Certificate_);
  if (SSL_CTX_use_PrivateKey_file(Context, Files.Key_.c_str(),
                                  SSL_FILETYPE_PEM) != 1)
    return tlsError("private key", Files.Key_);
  if (SSL_CTX_check_private_key(Context) != 1)
    return tlsError("private key", Files.Key_);
  return {};
}

int verifyMode(const TlsFiles &Files, TlsSide Side,
               bool RequirePeerCertificate) {
  if (Files.Ca_.empty())
    return SSL_VERIFY_NONE;
  if (Side == TlsSide::Server && RequirePeerCertificate)
    return SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT;
  return SSL_VERIFY_PEER;
}

} // namespace

// evutil_parse_sockaddr_port() rejects port 0, so it parses only the IP here.
Result<IpEndpoint> parseSocketAddress(const std::string &Text) {
  IpEndpoint Out;
  Out.Length_ = sizeof(Out.Storage_);
  auto *Address = reinterpret_cast<sockaddr *>(&Out.Storage_);
  std::size_t Colon = std::min(Text.rfind(':'), Text.size());
  std::string Ip = Text.substr(0, Colon);
  const char *End = Text.data() + Text.size();
  const char *Port = Text.data() + std::min(Colon + 1, Text.size());
  auto [Rest, Failure] = std::from_chars(Port, End, Out.Port_);
  bool Bracketed = !Ip.empty() && Ip.front() == '[';
  bool UnbracketedV6 = !Bracketed && Ip.find(':') != std::string::npos;
  if (Failure != std::errc() || Rest != End || UnbracketedV6 ||
      evutil_parse_sockaddr_port(Ip.c_str(), Address, &Out.Length_) != 0)
    return fail(ErrorKind::InvalidArgument,
                "address \"" + Text + "\" is not of the form IP:PORT",
                "write an IP address and a port, for example 127.0.0.1:8080");
  if (Address->sa_family == AF_INET6)
    reinterpret_cast<sockaddr_in6 *>(Address)->sin6_port = htons(Out.Port_);
  else
    reinterpret_cast<sockaddr_in *>(Address)->sin_port = htons(Out.Port_);
  Out.Ip_ = ipText(Address);
  return Out;
}

std::string boundAddress(evutil_socket_t Socket) {
  sockaddr_storage Storage{};
  socklen_t Length = sizeof(Storage);
  auto *Address = reinterpret_cast<sockaddr *>(&Storage);
  if (getsockname(Socket, Address, &Length) != 0)
    return {};
  std::string Ip = ipText(Address);
  if (Address->sa_family == AF_INET6)
    Ip = "[" + Ip + "]";
  return Ip + ":" + std::to_string(portOf(Address));
}

void setNoDelay(evutil_socket_t Socket) {
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

void ignoreBrokenPipeSignal() {
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
}

timeval toTimeval(Duration Span) {
  Span = std::max(Span, Duration(0));
  auto WholeSeconds = std::chrono::duration_cast<seconds>(Span);
  timeval Out{};
  Out.tv_sec = WholeSeconds.count();
  Out.tv_usec = (Span - WholeSeconds).count();
  return Out;
}

void copyHeaders(const evkeyvalq *From, HttpHeaders &To) {
  for (const evkeyval *Item = From->tqh_first; Item; Item = Item->next.tqe_next)
    To.push_back({Item->key, Item->value});
}

std::string drainBuffer(evbuffer *From) {
  std::string Out(evbuffer_get_length(From), '\0');
  evbuffer_remove(From, Out.data(), Out.size());
  return Out;
}

void addHeaders(evkeyvalq *To, const HttpHeaders &From) {
  for (const auto &[Name, Value] : From)
    if (!equalHeaderNames(Name, "content-length") &&
        !equalHeaderNames(Name, "transfer-encoding"))
      evhttp_add_header(To, Name.c_str(), Value.c_str());
}

Result<TlsContext> makeTlsContext(const TlsFiles &Files, TlsSide Side,
                                  bool RequirePeerCertificate) {
  ERR_clear_error();
  TlsContext Context(SSL_CTX_new(Side == TlsSide::Server ? TLS_server_method()
                                                         : TLS_client_method()),
                     SSL_CTX_free);
  SSL_CTX_set_min_proto_version(Context.get(), TLS1_2_VERSION);
  // Without session tickets, a server sends nothing but responses, so that the
  // client can tell a reusable idle connection, which has no input, from a
  // closed one.
  SSL_CTX_set_session_cache_mode(Context.get(), SSL_SESS_CACHE_OFF);
  SSL_CTX_set_options(Context.get(), SSL_OP_NO_TICKET);
  SSL_CTX_set_num_tickets(Context.get(), 0);
  if (!Files.Certificate_.empty() || Side == TlsSide::Server)
    if (auto Loaded = loadOwnCertificate(Context.get(), Files); !Loaded)
      return tl::unexpected(Loaded.error());
  if (!Files.Ca_.empty() && SSL_CTX_load_verify_locations(
                                Context.get(), Files.Ca_.c_str(), nullptr) != 1)
    return tlsError("CA file", Files.Ca_);
  SSL_CTX_set_verify(Context.get(),
                     verifyMode(Files, Side, RequirePeerCertificate), nullptr);
  return Context;
}

std::string verifiedPeerName(bufferevent *Connection) {
  SSL *Tls = bufferevent_openssl_get_ssl(Connection);
  if (!Tls || SSL_get_verify_result(Tls) != X509_V_OK)
    return {};
  std::unique_ptr<X509, decltype(&X509_free)> Certificate(
      SSL_get1_peer_certificate(Tls), X509_free);
  if (!Certificate)
    return {};
  std::array<char, 256> Name{};
  if (X509_NAME_get_text_by_NID(X509_get_subject_name(Certificate.get()),
                                NID_commonName, Name.data(), Name.size()) < 0)
    return {};
  return Name.data();
}

} // namespace sycamore

// A request on the server side, and the connection that it arrived on.
#include "HttpExchange.h"

#include "AnswerHead.h"
#include "HttpSupport.h"

#include <algorithm>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace sycamore {
namespace {

/// Limit for input that a caller sends before it has the response to its
/// current request; reading pauses above it.
constexpr std::size_t MaxPipelinedBytes = 64U << 10U;

/// Memory of a header field while the headers are read, beside its bytes: three
/// blocks of the heap. 16 KiB of the shortest fields took 371 KB.
constexpr std::size_t FieldBytes = 128;

/// Memory of a header field while its request is handled, with the copies for
/// the message to the target and for the target. 16 KiB of the shortest fields
/// took 1.6 MB.
constexpr std::size_t HandledFieldBytes = 512;

/// Requests that take at most this much memory are not refused for it.
constexpr std::size_t OrdinaryRequestBytes = 32U << 10U;

std::string requestPath(evhttp_request *Request) {
  const char *Uri = evhttp_request_get_uri(Request);
  if (*Uri == '/' || *Uri == '*')
    return Uri;
  const evhttp_uri *Parts = evhttp_request_get_evhttp_uri(Request);
  const char *Path = Parts ? evhttp_uri_get_path(Parts) : nullptr;
  const char *Query = Parts ? evhttp_uri_get_query(Parts) : nullptr;
  std::string Out = Path && *Path ? Path : "/";
  return Query ? Out + "?" + Query : Out;
}

HttpRequest readRequest(evhttp_request *Request) {
  HttpRequest Out;
  Out.Method_ = httpMethodName(evhttp_request_get_command(Request));
  Out.Path_ = requestPath(Request);
  if (const char *Host = evhttp_request_get_host(Request))
    Out.Host_ = Host;
  copyHeaders(evhttp_request_get_input_headers(Request), Out.Headers_);
  Out.Body_ = drainBuffer(evhttp_request_get_input_buffer(Request));
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  Out.PeerName_ =
      verifiedPeerName(evhttp_connection_get_bufferevent(Connection));
  char *Address = nullptr;
  std::uint16_t Port = 0;
  evhttp_connection_get_peer(Connection, &Address, &Port);
  if (Address)
    Out.PeerAddress_ = Address;
  return Out;
}

/// Whether evhttp would parse the request's body as the next request.
bool hasUnreadBody(const HttpRequest &Request) {
  if (Request.Method_ == "POST" || Request.Method_ == "PUT" ||
      Request.Method_ == "PATCH")
    return false;
  const std::string *Length = findHeader(Request.Headers_, "content-length");
  return (Length && *Length != "0") ||
         findHeader(Request.Headers_, "transfer-encoding") != nullptr;
}

constexpr int BadGateway = 502;

/// A status that came from another process may be any number.
int finalStatus(int Status) {
  return answerKind(Status) == AnswerKind::Final ? Status : BadGateway;
}

bool statusAllowsBody(int Status) {
  return Status >= 200 && Status != 204 && Status != 304;
}

} // namespace

std::string_view httpMethodName(evhttp_cmd_type Method) {
  switch (Method) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_OPTIONS:
    return "OPTIONS";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  default:
    return "";
  }
}

HttpServerConnection::HttpServerConnection(HttpConnectionOwner &Owner,
                                           evhttp_connection *Handle)
    : Owner_(Owner), Handle_(Handle),
      Stream_(evhttp_connection_get_bufferevent(Handle)),
      InputCallback_(
          evbuffer_add_cb(bufferevent_get_input(Stream_), onInput, this)) {
  evhttp_connection_set_closecb(Handle_, onClose, this);
}

void HttpServerConnection::onInput(evbuffer * /*Buffer*/,
                                   const evbuffer_cb_info *Info, void *Self) {
  if (Info->n_added > 0)
    static_cast<HttpServerConnection *>(Self)->received(Info->n_added);
}

// Lines of a body within the first MaxHeaderBytes_ count as well, since evhttp
// does not show where the headers end.
void HttpServerConnection::countLines(std::size_t Bytes) {
  if (InputBytesSinceReply_ > Owner_.config().MaxHeaderBytes_)
    return;
  evbuffer *Input = bufferevent_get_input(Stream_);
  evbuffer_ptr At{};
  evbuffer_ptr_set(Input, &At, evbuffer_get_length(Input) - Bytes,
                   EVBUFFER_PTR_SET);
  auto Length = static_cast<ev_ssize_t>(Bytes);
  std::vector<evbuffer_iovec> Blocks(
      static_cast<std::size_t>(evbuffer_peek(Input, Length, &At, nullptr, 0)));
  evbuffer_peek(Input, Length, &At, Blocks.data(),
                static_cast<int>(Blocks.size()));
  for (const evbuffer_iovec &Block : Blocks) {
    auto *Start = static_cast<const char *>(Block.iov_base);
    std::size_t Size = std::min(Bytes, Block.iov_len);
    HeaderLines_ +=
        static_cast<std::size_t>(std::count(Start, Start + Size, '\n'));
    Bytes -= Size;
  }
}

void HttpServerConnection::received(std::size_t Bytes) {
  countLines(Bytes);
  InputBytesSinceReply_ += Bytes;
  ProgressAt_ = monotonicNow();
  if (Dropped_)
    return;
  if (Busy_) {
    setHeldBytes(HeldBytes_ + Bytes);
    return;
  }
  const HttpServerConfig &Limits = Owner_.config();
  std::size_t MaxRequest = Limits.MaxHeaderBytes_ + Limits.MaxBodyBytes_;
  // evhttp limits headers and bodies, but not the size line of a chunk.
  std::size_t Unread = evbuffer_get_length(bufferevent_get_input(Stream_));
  if (Unread > MaxRequest + MaxPipelinedBytes)
    drop("the request is over the size limit");
  else
    setHeldBytes(std::min(InputBytesSinceReply_, MaxRequest) +
                 HeaderLines_ * FieldBytes);
}

bool HttpServerConnection::setHeldBytes(std::size_t Bytes) {
  return Owner_.changeHeldBytes(std::exchange(HeldBytes_, Bytes), Bytes);
}

// Called inside callbacks of evhttp's buffers, where the connection must not be
// closed.
void HttpServerConnection::drop(std::string Reason) {
  Dropped_ = true;
  bufferevent_disable(Stream_, EV_READ);
  DroppedRequest Dropped;
  char *Address = nullptr;
  std::uint16_t Port = 0;
  evhttp_connection_get_peer(Handle_, &Address, &Port);
  if (Address)
    Dropped.PeerAddress_ = Address;
  Dropped.HeldBytes_ = HeldBytes_;
  Dropped.Reason_ = std::move(Reason);
  setHeldBytes(0);
  if (Owner_.config().OnDropped_)
    Owner_.config().OnDropped_(Dropped);
  abort();
}

bool HttpServerConnection::idle() const {
  int UnreadBytes = 0;
  ioctl(bufferevent_getfd(Stream_), FIONREAD, &UnreadBytes);
  return !Busy_ && InputBytesSinceReply_ == 0 && UnreadBytes == 0;
}

bool HttpServerConnection::callerClosed() const {
  char Byte = 0;
  ssize_t Read =
      recv(bufferevent_getfd(Stream_), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Read == 0 || (Read < 0 && EVUTIL_SOCKET_ERROR() != EAGAIN &&
                       EVUTIL_SOCKET_ERROR() != EINTR);
}

// evhttp stops reading while a request is being handled, so that it would
// notice a closed connection only when it writes. Reading is therefore enabled
// here, but without evhttp's read callback, which aborts the process when data
// arrive in that state. Pipelined input waits in the buffer until evhttp sets
// its callbacks again after the response.
void HttpServerConnection::watchForClosure() {
  bufferevent_data_cb Read = nullptr;
  bufferevent_data_cb Write = nullptr;
  bufferevent_event_cb Event = nullptr;
  void *Argument = nullptr;
  bufferevent_getcb(Stream_, &Read, &Write, &Event, &Argument);
  bufferevent_setcb(Stream_, nullptr, Write, Event, Argument);
  bufferevent_setwatermark(Stream_, EV_READ, 0, MaxPipelinedBytes);
  timeval Limit = toTimeval(Owner_.config().IdleTimeout_);
  bufferevent_set_timeouts(Stream_, nullptr, &Limit);
  bufferevent_enable(Stream_, EV_READ);
}

void HttpServerConnection::start(evhttp_request *Request) {
  Busy_ = true;
  evhttp_request_set_on_complete_cb(Request, onComplete, this);
  auto Exchange =
      std::make_shared<HttpExchangeImpl>(*this, Request, readRequest(Request));
  CurrentExchange_ = Exchange;
  watchForClosure();
  bool Fits = setHeldBytes(HeldBytes_ + Exchange->request().Headers_.size() *
                                            HandledFieldBytes);
  // Ordinary requests are served while larger ones fill the budget.
  Fits = Fits || HeldBytes_ <= OrdinaryRequestBytes;
  // The last bytes of a request can be those that exceed the limit.
  if (Dropped_ || !Fits) {
    Exchange->reply(503, {{"Connection", "close"}},
                    "no memory for a request of this size; it did not run");
    return;
  }
  if (hasInvalidName(Exchange->request().Headers_)) {
    Exchange->reply(400, {{"Connection", "close"}},
                    "a header has no valid name");
    return;
  }
  if (hasUnreadBody(Exchange->request())) {
    Exchange->reply(400, {{"Connection", "close"}},
                    "a request with this method cannot have a body");
    return;
  }
  Owner_.dispatch(std::move(Exchange));
}

void HttpServerConnection::prepareReply(evhttp_request *Request,
                                        bool MorePartsFollow) {
  if (Owner_.isStopping())
    evhttp_add_header(evhttp_request_get_output_headers(Request), "Connection",
                      "close");
  if (MorePartsFollow)
    return;
  timeval Limit = toTimeval(Owner_.config().IdleTimeout_);
  bufferevent_set_timeouts(Stream_, &Limit, &Limit);
  bufferevent_setwatermark(Stream_, EV_READ, 0, 0);
}

void HttpServerConnection::onComplete(evhttp_request * /*Request*/,
                                      void *Self) {
  auto *This = static_cast<HttpServerConnection *>(Self);
  This->Busy_ = false;
  This->InputBytesSinceReply_ =
      evbuffer_get_length(bufferevent_get_input(This->Stream_));
  This->HeaderLines_ = 0;
  This->ProgressAt_ = monotonicNow();
  This->setHeldBytes(This->InputBytesSinceReply_);
  if (auto Exchange = std::exchange(This->CurrentExchange_, {}).lock())
    Exchange->markCompleted();
}

void HttpServerConnection::onClose(evhttp_connection * /*Connection*/,
                                   void *Self) {
  auto *This = static_cast<HttpServerConnection *>(Self);
  HttpConnectionOwner &Owner = This->Owner_;
  evhttp_connection *Handle = This->Handle_;
  This->detach();
  Owner.connectionClosed(Handle);
}

void HttpServerConnection::detach() {
  Busy_ = false;
  setHeldBytes(0);
  evbuffer_remove_cb_entry(bufferevent_get_input(Stream_), InputCallback_);
  if (auto Exchange = std::exchange(CurrentExchange_, {}).lock())
    Exchange->markDisconnected();
}

HttpExchangeImpl::~HttpExchangeImpl() {
  if (Handle_ && Started_)
    abort();
  else if (Handle_)
    reply(500, {}, "");
}

void HttpExchangeImpl::setHeaders(const HttpHeaders &Headers, bool KeepLength) {
  evkeyvalq *Output = evhttp_request_get_output_headers(Handle_);
  addHeaders(Output, Headers);
  if (const std::string *Length = findHeader(Headers, "content-length");
      Length && KeepLength)
    evhttp_add_header(Output, "Content-Length", Length->c_str());
}

void HttpExchangeImpl::reply(int Status, const HttpHeaders &Headers,
                             std::string_view Body) {
  if (!Handle_ || Started_)
    return;
  Started_ = true;
  if (finalStatus(Status) != Status) {
    Status = finalStatus(Status);
    Body = {};
  }
  setHeaders(Headers, isHead());
  evkeyvalq *Output = evhttp_request_get_output_headers(Handle_);
  if (isHead() && !evhttp_find_header(Output, "Content-Length"))
    evhttp_add_header(Output, "Content-Length",
                      std::to_string(Body.size()).c_str());
  Connection_->prepareReply(Handle_, false);
  evbuffer *Buffer = evhttp_request_get_output_buffer(Handle_);
  if (!isHead() && statusAllowsBody(Status))
    evbuffer_add(Buffer, Body.data(), Body.size());
  evhttp_send_reply(std::exchange(Handle_, nullptr), Status, nullptr, nullptr);
}

void HttpExchangeImpl::startReply(int Status, const HttpHeaders &Headers) {
  if (!Handle_ || Started_)
    return;
  Started_ = true;
  setHeaders(Headers, true);
  Connection_->prepareReply(Handle_, true);
  evhttp_send_reply_start(Handle_, finalStatus(Status), nullptr);
}

void HttpExchangeImpl::sendPart(std::string_view Part) {
  if (!Handle_ || !Started_ || Part.empty())
    return;
  evbuffer *Buffer = evbuffer_new();
  evbuffer_add(Buffer, Part.data(), Part.size());
  evhttp_send_reply_chunk(Handle_, Buffer);
  evbuffer_free(Buffer);
}

void HttpExchangeImpl::endReply() {
  if (!Handle_ || !Started_)
    return;
  Connection_->prepareReply(Handle_, false);
  evhttp_send_reply_end(std::exchange(Handle_, nullptr));
}

void HttpExchangeImpl::abort() {
  if (Connection_)
    Connection_->abort();
}

void HttpExchangeImpl::onClosed(std::function<void()> Callback) {
  OnClosed_ = std::move(Callback);
  if (Disconnected_ && OnClosed_)
    std::exchange(OnClosed_, nullptr)();
}

void HttpExchangeImpl::markCompleted() {
  Connection_ = nullptr;
  OnClosed_ = nullptr;
}

void HttpExchangeImpl::markDisconnected() {
  Disconnected_ = true;
  Connection_ = nullptr;
  // evhttp does not free a request that is still being handled.
  if (Handle_ && !evhttp_request_get_connection(Handle_))
    evhttp_request_free(Handle_);
  Handle_ = nullptr;
  if (OnClosed_)
    std::exchange(OnClosed_, nullptr)();
}

} // namespace sycamore

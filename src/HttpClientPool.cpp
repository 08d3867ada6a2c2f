// Connections and calls of the HTTP client.
#include "HttpClientPool.h"

#include "AnswerHead.h"
#include "sycamore/Clock.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <event2/bufferevent_ssl.h>
#include <event2/http_struct.h>
#include <sys/socket.h>
#include <utility>

namespace sycamore {
namespace {

/// Long enough that evhttp's own timeouts never expire; each call has its own
/// timer instead.
constexpr int EvhttpTimeoutSeconds = 86400;

std::optional<evhttp_cmd_type> parseMethod(std::string_view Name) {
  static constexpr std::array<std::pair<std::string_view, evhttp_cmd_type>, 7>
      Methods = {{{"GET", EVHTTP_REQ_GET},
                  {"POST", EVHTTP_REQ_POST},
                  {"HEAD", EVHTTP_REQ_HEAD},
                  {"PUT", EVHTTP_REQ_PUT},
                  {"DELETE", EVHTTP_REQ_DELETE},
                  {"OPTIONS", EVHTTP_REQ_OPTIONS},
                  {"PATCH", EVHTTP_REQ_PATCH}}};
  for (const auto &[Known, Method] : Methods)
    if (Known == Name)
      return Method;
  return std::nullopt;
}

/// False for spaces and control characters, which would end the path, or the
/// request line, early.
bool isValidPath(std::string_view Path) {
  for (char Character : Path)
    if (static_cast<unsigned char>(Character) <= ' ' || Character == '\x7f')
      return false;
  return !Path.empty();
}

std::string_view errorText(evhttp_request_error Error) {
  switch (Error) {
  case EVREQ_HTTP_TIMEOUT:
    return "the connection timed out";
  case EVREQ_HTTP_EOF:
    return "the connection was closed before the end of the answer";
  case EVREQ_HTTP_INVALID_HEADER:
    return "the answer's header is invalid";
  case EVREQ_HTTP_BUFFER_ERROR:
    return "reading or writing failed";
  case EVREQ_HTTP_REQUEST_CANCEL:
    return "the call was cancelled";
  case EVREQ_HTTP_DATA_TOO_LONG:
    return "the answer is over the size limit";
  }
  return "unknown failure";
}

constexpr int ContinueStatus = 100;
constexpr std::string_view InvalidStatus = "the answer's status is invalid";

/// Why a response may be incomplete; empty if it is complete.
std::string_view incompleteReason(const HttpResponse &Response,
                                  const HttpClientRequest &Request) {
  if (Request.Method_ == "HEAD" || Response.Status_ == 204 ||
      Response.Status_ == 304 ||
      findHeader(Response.Headers_, "transfer-encoding"))
    return {};
  const std::string *Length = findHeader(Response.Headers_, "content-length");
  if (!Length && Request.AcceptWithoutLength_)
    return {};
  if (!Length)
    return "the answer has no length, so it may have been cut";
  std::size_t Expected = 0;
  std::from_chars(Length->data(), Length->data() + Length->size(), Expected);
  if (!Request.OnBodyPart_ && Expected != Response.Body_.size())
    return "the answer is shorter than its Content-Length";
  return {};
}

} // namespace

ClientConnection::ClientConnection(ClientCore &Core, ClientPool &Pool)
    : Core_(Core), Pool_(Pool), Stream_(Core.newStream(Pool.Address_)),
      Handle_(evhttp_connection_base_bufferevent_new(
          Core.Base_, nullptr, Stream_, Pool.Address_.Ip_.c_str(),
          Pool.Address_.Port_)),
      OutputCallback_(
          evbuffer_add_cb(bufferevent_get_output(Stream_), onOutput, this)),
      InputCallback_(
          evbuffer_add_cb(bufferevent_get_input(Stream_), onInput, this)) {
  evhttp_connection_set_timeout(Handle_, EvhttpTimeoutSeconds);
  evhttp_connection_set_retries(Handle_, 0);
  // EVHTTP_CON_READ_ON_WRITE_ERROR stays off: with it, evhttp does not notice
  // that a connection closed before the end of the response.
  evhttp_connection_set_max_headers_size(
      Handle_, static_cast<ev_ssize_t>(Core.Config_.MaxHeaderBytes_));
  evhttp_connection_set_closecb(Handle_, onClose, this);
}

ClientConnection::~ClientConnection() {
  evbuffer_remove_cb_entry(bufferevent_get_output(Stream_), OutputCallback_);
  evbuffer_remove_cb_entry(bufferevent_get_input(Stream_), InputCallback_);
  evhttp_connection_set_closecb(Handle_, nullptr, nullptr);
  evhttp_connection_free(Handle_);
}

// Counts the bytes written to the socket. When a connection fails, evhttp also
// empties the buffer, but only after it has detached the socket.
void ClientConnection::onOutput(evbuffer * /*Buffer*/,
                                const evbuffer_cb_info *Info, void *Self) {
  auto *This = static_cast<ClientConnection *>(Self);
  if (bufferevent_getfd(This->Stream_) >= 0)
    This->BytesWritten_ += Info->n_deleted;
}

// evhttp limits heads and bodies, but neither the size line of a chunk nor
// empty lines and interim responses.
bool ClientConnection::exceedsLimits() const {
  // A chunk with one byte of the body takes six bytes.
  constexpr std::size_t FramingPerBodyByte = 5;
  std::size_t MaxHeader = Core_.Config_.MaxHeaderBytes_;
  std::size_t Unread = unreadBytes();
  if (Unread > MaxHeader + MaxBodyBytes_ || ChunkLines_.LineBytes_ > MaxHeader)
    return true;
  std::size_t Body = PartBytes_ + parsedBodyBytes();
  std::size_t Consumed = BytesRead_ - std::min(BytesRead_, Unread + Body);
  return Consumed > MaxHeader + Body * FramingPerBodyByte;
}

void ClientConnection::followChunks(std::size_t Bytes) {
  if (!ChunkLines_.Active_ || Bytes == 0)
    return;
  evbuffer *Input = bufferevent_get_input(Stream_);
  evbuffer_ptr At{};
  evbuffer_ptr_set(Input, &At, unreadBytes() - Bytes, EVBUFFER_PTR_SET);
  auto Length = static_cast<ev_ssize_t>(Bytes);
  std::vector<evbuffer_iovec> Blocks(
      static_cast<std::size_t>(evbuffer_peek(Input, Length, &At, nullptr, 0)));
  evbuffer_peek(Input, Length, &At, Blocks.data(),
                static_cast<int>(Blocks.size()));
  for (const evbuffer_iovec &Block : Blocks) {
    std::size_t Size = std::min(Bytes, Block.iov_len);
    addBytes(ChunkLines_, {static_cast<const char *>(Block.iov_base), Size});
    Bytes -= Size;
  }
}

void ClientConnection::checkStatusLine() {
  if (StatusLineChecked_)
    return;
  std::array<char, StatusPrefixBytes> Start{};
  ev_ssize_t Size = evbuffer_copyout(bufferevent_get_input(Stream_),
                                     Start.data(), Start.size());
  auto Valid = statusLineIsValid(
      {Start.data(), static_cast<std::size_t>(std::max<ev_ssize_t>(Size, 0))});
  StatusLineChecked_ = Valid.has_value();
  if (Valid && !*Valid)
    Invalid_ = InvalidStatus;
}

// evhttp reads the next answer after 100, but takes any other interim answer
// for the final one, and keeps the header fields of each.
void ClientConnection::skipInterim(evhttp_request *Request) {
  Request->response_code = ContinueStatus;
  evhttp_clear_headers(evhttp_request_get_input_headers(Request));
  StatusLineChecked_ = false;
  checkStatusLine();
}

int ClientConnection::onHeaders(evhttp_request *Request, void *Self) {
  constexpr int CloseConnection = -1;
  auto *This = static_cast<ClientConnection *>(Self);
  AnswerKind Kind = answerKind(evhttp_request_get_response_code(Request));
  HttpHeaders Headers;
  copyHeaders(evhttp_request_get_input_headers(Request), Headers);
  if (Kind == AnswerKind::Invalid)
    This->Invalid_ = InvalidStatus;
  else if (Kind == AnswerKind::Final && This->Invalid_.empty())
    This->Invalid_ = invalidFraming(Headers);
  if (!This->Invalid_.empty())
    return CloseConnection;
  if (Kind == AnswerKind::Interim) {
    This->skipInterim(Request);
  } else if (findHeader(Headers, "transfer-encoding")) {
    This->ChunkLines_ = startChunkLines();
    This->followChunks(This->unreadBytes());
  }
  return 0;
}

std::size_t ClientConnection::unreadBytes() const {
  return evbuffer_get_length(bufferevent_get_input(Stream_));
}

std::size_t ClientConnection::parsedBodyBytes() const {
  return evbuffer_get_length(evhttp_request_get_input_buffer(Request_));
}

void ClientConnection::setHeldBytes(std::size_t Bytes) {
  Core_.changeHeldBytes(std::exchange(HeldBytes_, Bytes), Bytes);
}

// Called inside callbacks of evhttp's buffers, where the connection must not be
// closed.
void ClientConnection::failOverLimit(const std::string &Reason) {
  Request_ = nullptr;
  OverLimit_ = true;
  bufferevent_disable(Stream_, EV_READ);
  releaseHeldBytes();
  Call_->failDeferred(Reason);
}

void ClientConnection::onInput(evbuffer * /*Buffer*/,
                               const evbuffer_cb_info *Info, void *Self) {
  auto *This = static_cast<ClientConnection *>(Self);
  if (Info->n_added == 0 || !This->Call_ || !This->Request_)
    return;
  This->BytesRead_ += Info->n_added;
  This->Call_->onProgress();
  This->checkStatusLine();
  This->followChunks(Info->n_added);
  if (This->exceedsLimits())
    This->failOverLimit("the answer is over the size limit");
  else
    This->setHeldBytes(This->unreadBytes() + This->parsedBodyBytes());
}

bool ClientConnection::isReusable() const {
  char Byte = 0;
  evutil_socket_t Socket = bufferevent_getfd(Stream_);
  return !Closed_ && Socket >= 0 &&
         evbuffer_get_length(bufferevent_get_input(Stream_)) == 0 &&
         recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         EVUTIL_SOCKET_ERROR() == EAGAIN;
}

evhttp_request *ClientConnection::makeRequest(const HttpClientRequest &From) {
  evhttp_request *Request = evhttp_request_new(onDone, this);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  addHeaders(Headers, From.Headers_);
  if (!findHeader(From.Headers_, "host")) {
    std::string Host = Pool_.Address_.Ip_.find(':') == std::string::npos
                           ? Pool_.Address_.Ip_
                           : "[" + Pool_.Address_.Ip_ + "]";
    Host += ":" + std::to_string(Pool_.Address_.Port_);
    evhttp_add_header(Headers, "Host", Host.c_str());
  }
  if (!From.Body_.empty())
    evhttp_add_header(Headers, "Content-Length",
                      std::to_string(From.Body_.size()).c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Request), From.Body_.data(),
               From.Body_.size());
  evhttp_request_set_error_cb(Request, onError);
  evhttp_request_set_header_cb(Request, onHeaders);
  if (From.OnBodyPart_)
    evhttp_request_set_chunked_cb(Request, onPart);
  return Request;
}

bool ClientConnection::start(const std::shared_ptr<ClientCall> &Call) {
  auto Method = parseMethod(Call->Request_.Method_);
  if (!Method || !isValidPath(Call->Request_.Path_)) {
    Failure_ = "the method or the path is not valid";
    return false;
  }
  Call_ = Call;
  Call->Connection_ = this;
  BytesWritten_ = 0;
  BytesRead_ = 0;
  PartBytes_ = 0;
  ChunkLines_ = {};
  Invalid_ = {};
  StatusLineChecked_ = false;
  Failure_.clear();
  MaxBodyBytes_ =
      std::min(Core_.Config_.MaxBodyBytes_, Call->Request_.MaxBodyBytes_);
  std::size_t Limit = Call->Request_.OnBodyPart_ ? EV_SSIZE_MAX : MaxBodyBytes_;
  evhttp_connection_set_max_body_size(Handle_, static_cast<ev_ssize_t>(Limit));
  evhttp_request *Request = makeRequest(Call->Request_);
  Request_ = Request;
  Starting_ = true;
  int Started = evhttp_make_request(Handle_, Request, *Method,
                                    Call->Request_.Path_.c_str());
  Starting_ = false;
  if (Started != 0) {
    Request_ = nullptr;
    Failure_ = "the connection could not be started";
    Call->Connection_ = nullptr;
    Call_ = nullptr;
    return false;
  }
  evutil_socket_t Socket = bufferevent_getfd(Stream_);
  if (Socket >= 0 && !std::exchange(NoDelay_, true))
    setNoDelay(Socket);
  return true;
}

void ClientConnection::onClose(evhttp_connection * /*Handle*/, void *Self) {
  auto *This = static_cast<ClientConnection *>(Self);
  This->Closed_ = true;
  if (!This->Call_)
    This->Core_.connectionClosed(*This);
}

void ClientConnection::onError(evhttp_request_error Error, void *Self) {
  auto *This = static_cast<ClientConnection *>(Self);
  This->Failure_ = This->Invalid_.empty() ? errorText(Error) : This->Invalid_;
  if (Error == EVREQ_HTTP_DATA_TOO_LONG)
    This->OverLimit_ = true;
}

void ClientConnection::onPart(evhttp_request *Request, void *Self) {
  auto *This = static_cast<ClientConnection *>(Self);
  std::shared_ptr<ClientCall> Call = This->Call_;
  std::string Part = drainBuffer(evhttp_request_get_input_buffer(Request));
  This->PartBytes_ += Part.size();
  if (Call && Call->Core_ && !Part.empty())
    Call->Request_.OnBodyPart_(Part);
}

void ClientConnection::onDone(evhttp_request *Request, void *Self) {
  auto *This = static_cast<ClientConnection *>(Self);
  This->Request_ = nullptr;
  std::shared_ptr<ClientCall> Call = This->Call_;
  if (!Call || This->Starting_)
    return;
  HttpResponse Response;
  Response.Sent_ = This->BytesWritten_ > 0;
  Response.OnKeptConnection_ = std::exchange(This->Kept_, true);
  Response.Status_ = Request ? evhttp_request_get_response_code(Request) : 0;
  std::string Reason =
      This->Failure_.empty() ? "the connection failed" : This->Failure_;
  if (answerKind(Response.Status_) == AnswerKind::Final) {
    copyHeaders(evhttp_request_get_input_headers(Request), Response.Headers_);
    Response.Body_ = drainBuffer(evhttp_request_get_input_buffer(Request));
    Reason = incompleteReason(Response, Call->Request_);
    if (Reason.empty() && Call->Request_.ValidateResponse_ &&
        !Call->Request_.ValidateResponse_(Response))
      Reason = "the answer belongs to another request";
    if (Reason.empty())
      Response.Outcome_ = HttpOutcome::Answered;
  }
  if (!Reason.empty()) {
    HttpResponse Failed;
    Failed.Outcome_ =
        Response.Sent_ ? HttpOutcome::Broken : HttpOutcome::NotSent;
    Failed.Sent_ = Response.Sent_;
    Failed.OnKeptConnection_ = Response.OnKeptConnection_;
    Failed.Reason_ = std::move(Reason);
    Failed.ServerRuns_ = This->OverLimit_ || !This->Invalid_.empty();
    Response = std::move(Failed);
  }
  bool Keep = Response.Outcome_ == HttpOutcome::Answered && !This->Closed_ &&
              !This->OverLimit_ &&
              (!Call->Request_.MayKeepConnection_ ||
               Call->Request_.MayKeepConnection_(Response));
  Call->Core_->finish(*Call, std::move(Response), Keep);
}

ClientCall::ClientCall(ClientCore &Core, HttpClientRequest Request,
                       HttpClient::Callback Done)
    : Request_(std::move(Request)), Done_(std::move(Done)),
      DeadlineAt_(monotonicNow() + Request_.Deadline_),
      LatestDeadlineAt_(DeadlineAt_ - Request_.Deadline_ +
                        Request_.MaxDuration_),
      ConnectDeadlineAt_(TimePoint::max()), Core_(&Core),
      Timer_(evtimer_new(Core.Base_, onTimer, this)) {}

ClientCall::~ClientCall() { event_free(Timer_); }

void ClientCall::cancel() {
  if (Core_)
    Core_->cancel(*this);
}

void ClientCall::armTimer() {
  timeval Wait =
      toTimeval(std::min(DeadlineAt_, ConnectDeadlineAt_) - monotonicNow());
  evtimer_add(Timer_, &Wait);
}

void ClientCall::onProgress() {
  if (Request_.MaxPause_ == Duration(0))
    return;
  TimePoint Extended =
      std::min(monotonicNow() + Request_.MaxPause_, LatestDeadlineAt_);
  DeadlineAt_ = std::max(DeadlineAt_, Extended);
}

void ClientCall::failDeferred(std::string Reason) {
  DeferredReason_ = std::move(Reason);
  timeval Wait{};
  evtimer_add(Timer_, &Wait);
}

void ClientCall::onTimer(evutil_socket_t /*Socket*/, short /*Events*/,
                         void *Self) {
  std::shared_ptr<ClientCall> This =
      static_cast<ClientCall *>(Self)->shared_from_this();
  if (!This->Core_)
    return;
  HttpResponse Response;
  Response.Sent_ = This->Connection_ && This->Connection_->bytesWritten() > 0;
  TimePoint Now = monotonicNow();
  if (!This->DeferredReason_.empty()) {
    if (Response.Sent_)
      Response.Outcome_ = HttpOutcome::Broken;
    Response.Reason_ = This->DeferredReason_;
    Response.ServerRuns_ = This->Connection_ && This->Connection_->overLimit();
  } else if (Now >= This->DeadlineAt_) {
    Response.Outcome_ = HttpOutcome::TimedOut;
    std::size_t Received =
        This->Connection_ ? This->Connection_->bytesRead() : 0;
    Response.Reason_ = "the deadline passed, " + std::to_string(Received) +
                       " bytes of the answer received";
  } else if (Now >= This->ConnectDeadlineAt_ && !Response.Sent_) {
    Response.Reason_ = "no connection within the time limit";
  } else {
    if (Now >= This->ConnectDeadlineAt_)
      This->ConnectDeadlineAt_ = TimePoint::max();
    This->armTimer();
    return;
  }
  This->Core_->finish(*This, std::move(Response), false);
}

} // namespace sycamore

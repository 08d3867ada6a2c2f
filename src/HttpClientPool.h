// Connections and calls of the HTTP client.
#pragma once

#include "ChunkLines.h"
#include "HttpSupport.h"
#include "sycamore/HttpClient.h"

#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <map>
#include <optional>
#include <vector>

namespace sycamore {

class ClientConnection;
class ClientCall;
class ClientCore;

/// The connections to one address, and the calls that wait for a connection.
struct ClientPool {
  IpEndpoint Address_;
  std::vector<std::unique_ptr<ClientConnection>> Connections_;
  std::deque<std::shared_ptr<ClientCall>> Waiting_;
};

/// An evhttp connection. It carries one call at a time and is not reused after
/// a failure.
class ClientConnection {
public:
  ClientConnection(ClientCore &Core, ClientPool &Pool);
  ClientConnection(const ClientConnection &) = delete;
  ClientConnection &operator=(const ClientConnection &) = delete;
  ~ClientConnection();

  /// Starts to send the request. Returns false, with the reason in Failure_, if
  /// that is not possible.
  bool start(const std::shared_ptr<ClientCall> &Call);

  bool idle() const { return !Call_ && !Closed_; }
  /// False if the connection was closed or has unexpected input, even when the
  /// event loop has not processed that yet.
  bool isReusable() const;
  bool closed() const { return Closed_; }
  std::size_t bytesWritten() const { return BytesWritten_; }
  /// Bytes received since the start of the call.
  std::size_t bytesRead() const { return BytesRead_; }
  /// Bytes of the unfinished response that are in memory.
  std::size_t heldBytes() const { return HeldBytes_; }
  void releaseHeldBytes() { setHeldBytes(0); }
  bool overLimit() const { return OverLimit_; }
  /// Stops reading, and ends the call as Broken in the next iteration of the
  /// event loop.
  void failOverLimit(const std::string &Reason);
  ClientPool &pool() { return Pool_; }

  std::shared_ptr<ClientCall> Call_;
  TimePoint IdleSince_;
  bool CloseAfterCall_ = false;
  std::string Failure_;

private:
  static void onOutput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                       void *Self);
  static void onInput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                      void *Self);
  /// Bytes received that are not parsed yet.
  std::size_t unreadBytes() const;
  /// Bytes of the body that are parsed and not handed over yet.
  std::size_t parsedBodyBytes() const;
  /// Whether what was received since the start of the call is more than a
  /// response within the limits takes, whatever its form.
  bool exceedsLimits() const;
  /// Follows the last bytes of the input, if the body is chunked.
  void followChunks(std::size_t Bytes);
  static void onClose(evhttp_connection *Handle, void *Self);
  static int onHeaders(evhttp_request *Request, void *Self);
  /// Checks the status line at the start of the input, once it has arrived.
  void checkStatusLine();
  /// Makes evhttp read the next answer in place of this interim one.
  void skipInterim(evhttp_request *Request);
  static void onDone(evhttp_request *Request, void *Self);
  static void onPart(evhttp_request *Request, void *Self);
  static void onError(evhttp_request_error Error, void *Self);
  evhttp_request *makeRequest(const HttpClientRequest &From);
  void setHeldBytes(std::size_t Bytes);

  ClientCore &Core_;
  ClientPool &Pool_;
  bufferevent *Stream_;
  evhttp_connection *Handle_;
  evbuffer_cb_entry *OutputCallback_;
  evbuffer_cb_entry *InputCallback_;
  std::size_t BytesWritten_ = 0;
  std::size_t MaxBodyBytes_ = 0; ///< For the current call.
  std::size_t HeldBytes_ = 0;
  evhttp_request *Request_ = nullptr; ///< Null between calls.
  /// Bytes received since the start of the call, and those of the body that
  /// OnBodyPart_ has received.
  std::size_t BytesRead_ = 0;
  std::size_t PartBytes_ = 0;
  ChunkLines ChunkLines_;
  /// Why the answer violates HTTP, empty while it does not.
  std::string_view Invalid_;
  bool StatusLineChecked_ = false;
  bool Closed_ = false;
  bool Kept_ = false;     ///< Has carried an earlier request.
  bool Starting_ = false; ///< Inside evhttp_make_request().
  bool NoDelay_ = false;
  bool OverLimit_ = false;
};

class ClientCall : public HttpCall,
                   public std::enable_shared_from_this<ClientCall> {
public:
  ClientCall(ClientCore &Core, HttpClientRequest Request,
             HttpClient::Callback Done);
  ClientCall(const ClientCall &) = delete;
  ClientCall &operator=(const ClientCall &) = delete;
  ~ClientCall() override;

  void cancel() override;
  void armTimer();
  /// A part of the response has arrived, which may extend the deadline.
  void onProgress();
  /// Fails the call in the next iteration of the event loop, as callbacks must
  /// not run inside send().
  void failDeferred(std::string Reason);

  HttpClientRequest Request_;
  HttpClient::Callback Done_;
  TimePoint DeadlineAt_;
  TimePoint LatestDeadlineAt_;  ///< No part of the response extends it further.
  TimePoint ConnectDeadlineAt_; ///< Set when the call gets a connection.
  ClientPool *Pool_ = nullptr;
  ClientConnection *Connection_ = nullptr;
  ClientCore *Core_; ///< Null once the call has ended.

private:
  static void onTimer(evutil_socket_t Socket, short Events, void *Self);

  event *Timer_;
  std::string DeferredReason_;
};

/// The state of a client. It is shared, so that a client may be destroyed
/// inside its callbacks.
class ClientCore : public std::enable_shared_from_this<ClientCore> {
public:
  ClientCore(event_base *Base, HttpClientConfig Config, TlsContext Tls);
  ClientCore(const ClientCore &) = delete;
  ClientCore &operator=(const ClientCore &) = delete;
  ~ClientCore();

  std::shared_ptr<HttpCall> send(const std::string &Address,
                                 HttpClientRequest Request,
                                 HttpClient::Callback Done);
  void closeConnections(const std::string &Address);
  std::size_t connections(const std::string &Address) const;
  /// Ends all calls without running their callbacks.
  void shutDown();

  /// Ends a call and runs its callback. KeepConnection returns its connection
  /// to the pool, unless that connection is to be closed.
  void finish(ClientCall &Call, HttpResponse Response, bool KeepConnection);
  void cancel(ClientCall &Call);
  void connectionClosed(ClientConnection &Connection);
  bufferevent *newStream(const IpEndpoint &Address);
  /// Accounts for the bytes of unfinished responses and ends the largest one
  /// when they exceed MaxUnfinishedBytes_.
  void changeHeldBytes(std::size_t Before, std::size_t After);

  event_base *Base_;
  HttpClientConfig Config_;

private:
  ClientPool *findOrCreatePool(const std::string &Address);
  void startWaitingCalls(ClientPool &Pool);
  ClientConnection *acquireConnection(ClientPool &Pool);
  void release(ClientCall &Call, bool KeepConnection);
  void discard(ClientConnection &Connection);
  void armSweep();
  void sweep();
  static void onDeletionTimer(evutil_socket_t Socket, short Events, void *Self);
  static void onSweepTimer(evutil_socket_t Socket, short Events, void *Self);

  TlsContext Tls_;
  event *DeletionTimer_;
  event *SweepTimer_;
  std::size_t HeldBytes_ = 0;
  std::map<std::string, std::unique_ptr<ClientPool>> Pools_;
  /// All calls in progress, so that shutDown() also reaches those that neither
  /// wait in a queue nor have a connection.
  std::map<ClientCall *, std::weak_ptr<ClientCall>> Calls_;
  /// Connections to be freed once evhttp's functions have returned.
  std::vector<std::unique_ptr<ClientConnection>> Discarded_;
};

} // namespace sycamore

// A TCP server and a TCP client for tests that need a peer that violates HTTP.
#pragma once

#include "EventLoop.h"

#include "HttpSupport.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <list>
#include <unistd.h>

namespace sycamore {

/// Accepts connections and calls OnInput when one of them receives input, with
/// the connection's number (from 0) and all bytes received on it so far.
class RawServer {
public:
  struct Peer {
    RawServer *Server_ = nullptr;
    int Number_ = 0;
    bufferevent *Stream_ = nullptr;
    std::string Input_;

    void write(std::string_view Data) {
      bufferevent_write(Stream_, Data.data(), Data.size());
    }
    /// Closes the connection when all written data have been sent.
    void closeAfterWrite() { shutdownAfterWrite(Stream_); }
    bool closed() const { return Stream_ == nullptr; }

  private:
    static void shutdownAfterWrite(bufferevent *Stream) {
      bufferevent_setcb(Stream, nullptr, closeStream, closeOnEvent, nullptr);
    }
    static void closeStream(bufferevent *Stream, void * /*Argument*/) {
      shutdown(bufferevent_getfd(Stream), SHUT_RDWR);
    }
    static void closeOnEvent(bufferevent * /*Stream*/, short /*Events*/,
                             void * /*Argument*/) {}
  };

  RawServer(event_base *Base, std::function<void(Peer &)> OnInput)
      : Base_(Base), OnInput_(std::move(OnInput)) {
    auto AnyPort = *parseSocketAddress(std::string("127.0.0.1:0"));
    Listener_ =
        evconnlistener_new_bind(Base, onAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                AnyPort.get(), AnyPort.Length_);
    Address_ = boundAddress(evconnlistener_get_fd(Listener_));
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;
  ~RawServer() {
    evconnlistener_free(Listener_);
    for (Peer &Remote : Peers_)
      bufferevent_free(Remote.Stream_);
  }

  std::string Address_;
  std::list<Peer> Peers_;

private:
  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self) {
    auto *This = static_cast<RawServer *>(Self);
    bufferevent *Stream =
        bufferevent_socket_new(This->Base_, Socket, BEV_OPT_CLOSE_ON_FREE);
    Peer &Remote = This->Peers_.emplace_back();
    Remote.Server_ = This;
    Remote.Number_ = static_cast<int>(This->Peers_.size()) - 1;
    Remote.Stream_ = Stream;
    bufferevent_setcb(Stream, onRead, nullptr, onEvent, &Remote);
    bufferevent_enable(Stream, EV_READ | EV_WRITE);
  }
  static void onRead(bufferevent *Stream, void *Self) {
    auto *Remote = static_cast<Peer *>(Self);
    Remote->Input_ += drainBuffer(bufferevent_get_input(Stream));
    Remote->Server_->OnInput_(*Remote);
  }
  static void onEvent(bufferevent *, short, void *) {}

  event_base *Base_;
  std::function<void(Peer &)> OnInput_;
  evconnlistener *Listener_;
};

/// Writes Start_ and then Repeated_ until the connection is closed or MaxBytes_
/// are written.
struct EndlessWriter {
  void start(bufferevent *Stream) {
    bufferevent_setcb(Stream, nullptr, onWritable, nullptr, this);
    bufferevent_write(Stream, Start_.data(), Start_.size());
    onWritable(Stream, this);
  }

  static void onWritable(bufferevent *Stream, void *Self) {
    auto *This = static_cast<EndlessWriter *>(Self);
    std::string Block;
    while (Block.size() < (64U << 10U))
      Block += This->Repeated_;
    This->WrittenBytes_ += Block.size();
    if (This->WrittenBytes_ < This->MaxBytes_)
      bufferevent_write(Stream, Block.data(), Block.size());
  }

  bool ended() const { return WrittenBytes_ >= MaxBytes_; }

  std::string Start_;
  std::string Repeated_;
  std::size_t MaxBytes_ = 256U << 20U;
  std::size_t WrittenBytes_ = 0;
};

/// A TCP client that sends the bytes it is given and collects received ones.
class RawClient {
public:
  RawClient(event_base *Base, const std::string &Address)
      : Stream_(bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE)) {
    auto Parsed = *parseSocketAddress(Address);
    bufferevent_setcb(Stream_, onRead, nullptr, onEvent, this);
    bufferevent_enable(Stream_, EV_READ | EV_WRITE);
    bufferevent_socket_connect(Stream_, Parsed.get(), Parsed.Length_);
  }
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;
  ~RawClient() { close(); }

  void write(std::string_view Data) {
    bufferevent_write(Stream_, Data.data(), Data.size());
  }
  void writeWithoutEnd(EndlessWriter &Writer) {
    Writer_ = &Writer;
    write(Writer.Start_);
    bufferevent_setcb(Stream_, onRead, onWritable, onEvent, this);
  }
  /// Leaves what the server sends unread.
  void stopReading() { bufferevent_disable(Stream_, EV_READ); }
  std::size_t unsentBytes() const {
    return evbuffer_get_length(bufferevent_get_output(Stream_));
  }
  void close() {
    if (Stream_)
      bufferevent_free(Stream_);
    Stream_ = nullptr;
  }

  std::string Input_;
  bool Closed_ = false;

private:
  static void onRead(bufferevent *Stream, void *Self) {
    static_cast<RawClient *>(Self)->Input_ +=
        drainBuffer(bufferevent_get_input(Stream));
  }
  static void onWritable(bufferevent *Stream, void *Self) {
    EndlessWriter::onWritable(Stream, static_cast<RawClient *>(Self)->Writer_);
  }
  static void onEvent(bufferevent *, short Events, void *Self) {
    if (Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
      static_cast<RawClient *>(Self)->Closed_ = true;
  }

  bufferevent *Stream_;
  EndlessWriter *Writer_ = nullptr;
};

} // namespace sycamore

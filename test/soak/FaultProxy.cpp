// Implementation of the fault-injecting TCP proxy, on libevent.
#include "FaultProxy.h"

#include "sycamore/Json.h"

#include "HttpSupport.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sycamore::test {
namespace {

sockaddr_in loopback() {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Out;
}

void resetOnClose(bufferevent *Stream) {
  linger Immediate{1, 0};
  setsockopt(bufferevent_getfd(Stream), SOL_SOCKET, SO_LINGER, &Immediate,
             sizeof(Immediate));
}

} // namespace

FaultProxy::FaultProxy(event_base *Base) : Base_(Base) {
  sockaddr_in BindAddress = loopback();
  Listener_ = evconnlistener_new_bind(
      Base, onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<sockaddr *>(&BindAddress), sizeof(BindAddress));
  sockaddr_in Bound{};
  socklen_t Size = sizeof(Bound);
  getsockname(evconnlistener_get_fd(Listener_),
              reinterpret_cast<sockaddr *>(&Bound), &Size);
  Address_ = "127.0.0.1:" + std::to_string(ntohs(Bound.sin_port));
}

FaultProxy::~FaultProxy() {
  while (!Connections_.empty())
    close(Connections_.front(), /*WithReset=*/false);
  evconnlistener_free(Listener_);
  if (ServerRate_)
    ev_token_bucket_cfg_free(ServerRate_);
}

void FaultProxy::limitServerRate(std::size_t BytesPerSecond) {
  constexpr std::size_t TicksPerSecond = 200;
  constexpr timeval Tick{0, 1'000'000 / TicksPerSecond};
  // A late turn of the event loop does not lower the mean rate.
  constexpr std::size_t BurstTicks = 10;
  std::size_t BytesPerTick = BytesPerSecond / TicksPerSecond;
  // Open connections refer to the limit that was set when they were opened.
  if (ServerRate_ && Connections_.empty())
    ev_token_bucket_cfg_free(ServerRate_);
  ServerRate_ =
      ev_token_bucket_cfg_new(BytesPerTick, BytesPerTick * BurstTicks,
                              EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &Tick);
}

void FaultProxy::onAccept(evconnlistener * /*Listener*/, evutil_socket_t Socket,
                          sockaddr * /*From*/, int /*Size*/, void *Self) {
  auto *This = static_cast<FaultProxy *>(Self);
  auto Destination = parseSocketAddress(This->Destination_);
  if (This->RefusesConnections_ || !Destination) {
    evutil_closesocket(Socket);
    return;
  }
  Connection &Conn = This->Connections_.emplace_back();
  Conn.Owner_ = This;
  Conn.Client_.Stream_ =
      bufferevent_socket_new(This->Base_, Socket, BEV_OPT_CLOSE_ON_FREE);
  Conn.Server_.Stream_ =
      bufferevent_socket_new(This->Base_, -1, BEV_OPT_CLOSE_ON_FREE);
  for (Side *Each : {&Conn.Client_, &Conn.Server_}) {
    Each->DelayTimer_ = evtimer_new(This->Base_, onDelayElapsed, &Conn);
    bufferevent_setcb(Each->Stream_, onRead, nullptr, onEnd, &Conn);
    bufferevent_enable(Each->Stream_, EV_READ | EV_WRITE);
  }
  if (This->ServerRate_)
    bufferevent_set_rate_limit(Conn.Server_.Stream_, This->ServerRate_);
  bufferevent_socket_connect(Conn.Server_.Stream_, Destination->get(),
                             Destination->Length_);
}

void FaultProxy::forward(Side &From, const Side &To) {
  evbuffer *Input = bufferevent_get_input(From.Stream_);
  if (From.Mode_ == ForwardMode::Discard)
    evbuffer_drain(Input, evbuffer_get_length(Input));
  else
    bufferevent_write_buffer(To.Stream_, Input);
}

void FaultProxy::onRead(bufferevent *Stream, void *Context) {
  auto &Conn = *static_cast<Connection *>(Context);
  bool FromClientSide = Stream == Conn.Client_.Stream_;
  Side &From = FromClientSide ? Conn.Client_ : Conn.Server_;
  if (Conn.Owner_->DelayMs_ == 0) {
    forward(From, FromClientSide ? Conn.Server_ : Conn.Client_);
    return;
  }
  timeval Delay{0, Conn.Owner_->DelayMs_ * 1000};
  if (!evtimer_pending(From.DelayTimer_, nullptr))
    evtimer_add(From.DelayTimer_, &Delay);
}

void FaultProxy::onDelayElapsed(evutil_socket_t /*Socket*/, short /*What*/,
                                void *Context) {
  auto &Conn = *static_cast<Connection *>(Context);
  forward(Conn.Client_, Conn.Server_);
  forward(Conn.Server_, Conn.Client_);
}

void FaultProxy::onEnd(bufferevent *Stream, short What, void *Context) {
  auto &Conn = *static_cast<Connection *>(Context);
  if (What & BEV_EVENT_CONNECTED) {
    int On = 1;
    setsockopt(bufferevent_getfd(Stream), IPPROTO_TCP, TCP_NODELAY, &On,
               sizeof(On));
    return;
  }
  bool Discards = Conn.Client_.Mode_ == ForwardMode::Discard ||
                  Conn.Server_.Mode_ == ForwardMode::Discard;
  if (!Discards)
    Conn.Owner_->close(Conn, (What & BEV_EVENT_ERROR) != 0);
}

void FaultProxy::close(Connection &Conn, bool WithReset) {
  for (Side *Each : {&Conn.Client_, &Conn.Server_}) {
    if (WithReset)
      resetOnClose(Each->Stream_);
    event_free(Each->DelayTimer_);
    bufferevent_free(Each->Stream_);
  }
  Connections_.remove_if(
      [&](const Connection &Each) { return &Each == &Conn; });
}

void FaultProxy::discardTraffic(bool FromClient, bool FromServer) {
  for (Connection &Each : Connections_) {
    if (FromClient)
      Each.Client_.Mode_ = ForwardMode::Discard;
    if (FromServer)
      Each.Server_.Mode_ = ForwardMode::Discard;
  }
}

void FaultProxy::reset() {
  while (!Connections_.empty())
    close(Connections_.front(), /*WithReset=*/true);
}

} // namespace sycamore::test

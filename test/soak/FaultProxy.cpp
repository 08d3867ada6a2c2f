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
  linger Now{1, 0};
  setsockopt(bufferevent_getfd(Stream), SOL_SOCKET, SO_LINGER, &Now,
             sizeof(Now));
}

} // namespace

FaultProxy::FaultProxy(event_base *Base) : Base_(Base) {
  sockaddr_in Any = loopback();
  Listener_ = evconnlistener_new_bind(
      Base, onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<sockaddr *>(&Any), sizeof(Any));
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
}

void FaultProxy::onAccept(evconnlistener * /*Listener*/, evutil_socket_t Socket,
                          sockaddr * /*From*/, int /*Size*/, void *Self) {
  auto *This = static_cast<FaultProxy *>(Self);
  auto Target = parseSocketAddress(This->Target_);
  if (This->Refusing_ || !Target) {
    evutil_closesocket(Socket);
    return;
  }
  Connection &Pair = This->Connections_.emplace_back();
  Pair.Owner_ = This;
  Pair.Dialler_.Stream_ =
      bufferevent_socket_new(This->Base_, Socket, BEV_OPT_CLOSE_ON_FREE);
  Pair.Server_.Stream_ =
      bufferevent_socket_new(This->Base_, -1, BEV_OPT_CLOSE_ON_FREE);
  for (Side *Each : {&Pair.Dialler_, &Pair.Server_}) {
    Each->Later_ = evtimer_new(This->Base_, onLater, &Pair);
    bufferevent_setcb(Each->Stream_, onRead, nullptr, onEnd, &Pair);
    bufferevent_enable(Each->Stream_, EV_READ | EV_WRITE);
  }
  bufferevent_socket_connect(Pair.Server_.Stream_, Target->get(),
                             Target->Length_);
}

void FaultProxy::pass(Side &From, const Side &To) {
  evbuffer *Input = bufferevent_get_input(From.Stream_);
  if (From.Passage_ == Passage::Silent)
    evbuffer_drain(Input, evbuffer_get_length(Input));
  else
    bufferevent_write_buffer(To.Stream_, Input);
}

void FaultProxy::onRead(bufferevent *Stream, void *Pair) {
  auto &Both = *static_cast<Connection *>(Pair);
  bool FromDialler = Stream == Both.Dialler_.Stream_;
  Side &From = FromDialler ? Both.Dialler_ : Both.Server_;
  if (Both.Owner_->DelayMs_ == 0) {
    pass(From, FromDialler ? Both.Server_ : Both.Dialler_);
    return;
  }
  timeval Wait{0, Both.Owner_->DelayMs_ * 1000};
  if (!evtimer_pending(From.Later_, nullptr))
    evtimer_add(From.Later_, &Wait);
}

void FaultProxy::onLater(evutil_socket_t /*Socket*/, short /*What*/,
                         void *Pair) {
  auto &Both = *static_cast<Connection *>(Pair);
  pass(Both.Dialler_, Both.Server_);
  pass(Both.Server_, Both.Dialler_);
}

void FaultProxy::onEnd(bufferevent *Stream, short What, void *Pair) {
  auto &Both = *static_cast<Connection *>(Pair);
  if (What & BEV_EVENT_CONNECTED) {
    int On = 1;
    setsockopt(bufferevent_getfd(Stream), IPPROTO_TCP, TCP_NODELAY, &On,
               sizeof(On));
    return;
  }
  bool Silent = Both.Dialler_.Passage_ == Passage::Silent ||
                Both.Server_.Passage_ == Passage::Silent;
  if (!Silent)
    Both.Owner_->close(Both, (What & BEV_EVENT_ERROR) != 0);
}

void FaultProxy::close(Connection &Pair, bool WithReset) {
  for (Side *Each : {&Pair.Dialler_, &Pair.Server_}) {
    if (WithReset)
      resetOnClose(Each->Stream_);
    event_free(Each->Later_);
    bufferevent_free(Each->Stream_);
  }
  Connections_.remove_if(
      [&](const Connection &Each) { return &Each == &Pair; });
}

void FaultProxy::silence(bool Towards, bool Back) {
  for (Connection &Each : Connections_) {
    if (Towards)
      Each.Dialler_.Passage_ = Passage::Silent;
    if (Back)
      Each.Server_.Passage_ = Passage::Silent;
  }
}

void FaultProxy::reset() {
  while (!Connections_.empty())
    close(Connections_.front(), /*WithReset=*/true);
}

} // namespace sycamore::test

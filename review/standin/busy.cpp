// A fast application server and a client that keeps many requests going, for
// cases that need a busy daemon.
//
// busy server IP:PORT ID       answers each request with its id and a seal; on
//                              SIGTERM prints the ids that it ran last
// busy client IP:PORT HOST PATH CONNECTIONS SECONDS
//                              one request at a time on each connection; prints
//                              a line for each request whose connection ended
//                              without an answer, then how many were answered,
//                              by status
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <string>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using Clock = std::chrono::steady_clock;

volatile std::sig_atomic_t Stopped = 0;

/// Ids that a server keeps, to show later which requests it ran.
constexpr std::size_t MaxKeptIds = 100000;

sockaddr_in parseAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(
      static_cast<std::uint16_t>(std::atoi(Text.substr(Colon + 1).c_str())));
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Out.sin_addr);
  return Out;
}

void setNoDelay(int Socket) {
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

void sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return;
    Sent += static_cast<std::size_t>(Count);
  }
}

std::string headerOf(const std::string &Head, const std::string &Name) {
  const char *At = strcasestr(Head.c_str(), ("\r\n" + Name + ":").c_str());
  if (!At)
    return {};
  auto Start = static_cast<std::size_t>(At - Head.c_str()) + Name.size() + 3;
  while (Head[Start] == ' ')
    ++Start;
  return Head.substr(Start, Head.find("\r\n", Start) - Start);
}

/// Length of the first complete message in Input, 0 if there is none.
std::size_t messageLength(const std::string &Input) {
  std::size_t End = Input.find("\r\n\r\n");
  if (End == std::string::npos)
    return 0;
  std::string Length = headerOf(Input.substr(0, End + 2), "Content-Length");
  std::size_t Total =
      End + 4 +
      (Length.empty() ? 0 : std::strtoul(Length.c_str(), nullptr, 10));
  return Input.size() >= Total ? Total : 0;
}

std::string answerTo(const std::string &Message, const std::string &Instance) {
  std::string Head = Message.substr(0, Message.find("\r\n\r\n") + 2);
  std::string Id = headerOf(Head, "Sycamoremount-Attempt-Id");
  if (Id.empty())
    return "HTTP/1.1 200 OK\r\nSycamoremount-Instance-Id: " + Instance +
           "\r\nContent-Length: 0\r\n\r\n";
  return "HTTP/1.1 200 OK\r\nSycamoremount-Attempt-Id: " + Id +
         "\r\nSycamoremount-Response-Seal: 1.2\r\nContent-Length: 2\r\n\r\nok";
}

int runServer(const std::string &Address, const std::string &Instance) {
  int Listener = socket(AF_INET, SOCK_STREAM, 0);
  int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Bound = parseAddress(Address);
  if (bind(Listener, reinterpret_cast<sockaddr *>(&Bound), sizeof(Bound)) !=
          0 ||
      listen(Listener, 512) != 0)
    return 2;
  int Poll = epoll_create1(0);
  epoll_event Event{EPOLLIN, {.fd = Listener}};
  epoll_ctl(Poll, EPOLL_CTL_ADD, Listener, &Event);
  std::map<int, std::string> Inputs;
  std::deque<std::string> Ran;
  epoll_event Ready[64];
  while (!Stopped) {
    int Count = epoll_wait(Poll, Ready, 64, 100);
    for (int I = 0; I < Count; ++I) {
      int Socket = Ready[I].data.fd;
      if (Socket == Listener) {
        int Accepted = accept(Listener, nullptr, nullptr);
        setNoDelay(Accepted);
        epoll_event New{EPOLLIN, {.fd = Accepted}};
        epoll_ctl(Poll, EPOLL_CTL_ADD, Accepted, &New);
        continue;
      }
      char Buffer[16384];
      ssize_t Read = recv(Socket, Buffer, sizeof(Buffer), 0);
      if (Read <= 0) {
        close(Socket);
        Inputs.erase(Socket);
        continue;
      }
      std::string &Input = Inputs[Socket];
      Input.append(Buffer, static_cast<std::size_t>(Read));
      while (std::size_t Length = messageLength(Input)) {
        std::string Message = Input.substr(0, Length);
        Ran.push_back(headerOf(Message, "Sycamoremount-Attempt-Id"));
        if (Ran.size() > MaxKeptIds)
          Ran.pop_front();
        sendAll(Socket, answerTo(Message, Instance));
        Input.erase(0, Length);
      }
    }
  }
  for (const std::string &Id : Ran)
    std::puts(Id.c_str());
  return 0;
}

/// One connection and the request that waits on it.
struct Caller {
  std::string Input_;
  std::string Id_;
};

int runClient(const std::string &Address, const std::string &Host,
              const std::string &Path, int Connections, double Seconds) {
  sockaddr_in Target = parseAddress(Address);
  int Poll = epoll_create1(0);
  std::map<int, Caller> Callers;
  std::map<int, long> Statuses;
  long Closed = 0;
  std::mt19937_64 Random(std::random_device{}());
  auto Send = [&](int Socket) {
    char Id[32];
    std::snprintf(Id, sizeof(Id), "%016lx",
                  static_cast<unsigned long>(Random()));
    Callers[Socket].Id_ = Id;
    sendAll(Socket, "GET " + Path + " HTTP/1.1\r\nHost: " + Host +
                        "\r\nSycamoremount-Attempt-Id: " + Id +
                        "\r\nSycamoremount-Deadline-Ms: 1500\r\n\r\n");
  };
  auto Open = [&] {
    int Socket = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                sizeof(Target)) != 0) {
      close(Socket);
      return false;
    }
    setNoDelay(Socket);
    epoll_event Event{EPOLLIN, {.fd = Socket}};
    epoll_ctl(Poll, EPOLL_CTL_ADD, Socket, &Event);
    Send(Socket);
    return true;
  };
  auto End = Clock::now() + std::chrono::duration<double>(Seconds);
  epoll_event Ready[64];
  while (Clock::now() < End && !Stopped) {
    while (static_cast<int>(Callers.size()) < Connections && Open())
      continue;
    int Count = epoll_wait(Poll, Ready, 64, 100);
    for (int I = 0; I < Count; ++I) {
      int Socket = Ready[I].data.fd;
      char Buffer[16384];
      ssize_t Read = recv(Socket, Buffer, sizeof(Buffer), 0);
      if (Read <= 0) {
        ++Closed;
        std::printf("cut %s\n", Callers[Socket].Id_.c_str());
        close(Socket);
        Callers.erase(Socket);
        continue;
      }
      std::string &Input = Callers[Socket].Input_;
      Input.append(Buffer, static_cast<std::size_t>(Read));
      if (std::size_t Length = messageLength(Input)) {
        ++Statuses[std::atoi(Input.c_str() + 9)];
        Input.erase(0, Length);
        Send(Socket);
      }
    }
  }
  for (auto [Status, Count] : Statuses)
    std::printf("%d:%ld ", Status, Count);
  std::printf("closed:%ld\n", Closed);
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { Stopped = 1; });
  std::string Mode = Count > 1 ? Arguments[1] : "";
  if (Mode == "server" && Count == 4)
    return runServer(Arguments[2], Arguments[3]);
  if (Mode == "client" && Count == 7)
    return runClient(Arguments[2], Arguments[3], Arguments[4],
                     std::atoi(Arguments[5]), std::atof(Arguments[6]));
  std::fputs("see the head of busy.cpp\n", stderr);
  return 2;
}

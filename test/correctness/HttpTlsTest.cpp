// Guards against TLS connections without verification of the other side, and
// against responses in plain text.
#include "RawSocket.h"
#include "TestCertificates.h"

#include <gtest/gtest.h>

using namespace sycamore;

namespace {

struct TlsSetup {
  TlsSetup() {
    Certificates_.issue("server", "server-1");
    Certificates_.issue("client", "client-7");
    Server_.Tls_ = {Certificates_.certificate("server"),
                    Certificates_.key("server"), Certificates_.ca()};
    Client_.Tls_ = {Certificates_.certificate("client"),
                    Certificates_.key("client"), Certificates_.ca()};
  }

  TestCertificates Certificates_;
  HttpServerConfig Server_;
  HttpClientConfig Client_;
};

/// Responds with the caller's name in a header and with the request's body.
void echoName(const HttpExchangePointer &Exchange) {
  Exchange->reply(200, {{"x-peer", Exchange->request().PeerName_}},
                  Exchange->request().Body_);
}

HttpClientRequest post(std::string Body) {
  HttpClientRequest Out;
  Out.Method_ = "POST";
  Out.Body_ = std::move(Body);
  return Out;
}

} // namespace

TEST(HttpTls, TransfersBodiesAndReportsTheCallerName) {
  TlsSetup Setup;
  Setup.Server_.RequireClientCertificate_ = true;
  HttpPair Pair(Setup.Server_, Setup.Client_);
  Pair.Server_->setHandler(echoName);
  for (std::size_t Size : {65536, 3000001, 1}) {
    std::string Body = randomBody(Size);
    HttpResponse Response = Pair.call(post(Body));
    ASSERT_EQ(Response.Outcome_, HttpOutcome::Answered) << Response.Reason_;
    EXPECT_TRUE(Response.Body_ == Body);
    EXPECT_EQ(*findHeader(Response.Headers_, "x-peer"), "client-7");
  }
  EXPECT_EQ(Pair.Client_->connections(Pair.Address_), 1U);
}

// Guards against callers without a certificate where one is required, and
// against a name for a caller that was not verified.
TEST(HttpTls, VerifiesTheCaller) {
  TlsSetup Setup;
  Setup.Client_.Tls_.Certificate_.clear();
  {
    HttpPair Pair(Setup.Server_, Setup.Client_);
    Pair.Server_->setHandler(echoName);
    HttpResponse Response = Pair.call(post("x"));
    ASSERT_EQ(Response.Status_, 200) << Response.Reason_;
    EXPECT_EQ(*findHeader(Response.Headers_, "x-peer"), "");
  }
  Setup.Server_.RequireClientCertificate_ = true;
  HttpPair Pair(Setup.Server_, Setup.Client_);
  Pair.Server_->setHandler(echoName);
  EXPECT_NE(Pair.call(post("x")).Outcome_, HttpOutcome::Answered);
}

TEST(HttpTls, RefusesACertificateOfAnotherAuthority) {
  TlsSetup Setup;
  TestCertificates Other;
  Other.issue("client", "client-7");
  Setup.Server_.RequireClientCertificate_ = true;
  HttpClientConfig Client = Setup.Client_;
  Client.Tls_.Certificate_ = Other.certificate("client");
  Client.Tls_.Key_ = Other.key("client");
  HttpPair Forged(Setup.Server_, Client);
  Forged.Server_->setHandler(echoName);
  EXPECT_NE(Forged.call(post("x")).Outcome_, HttpOutcome::Answered);

  Client = Setup.Client_;
  Client.Tls_.Ca_ = Other.ca();
  HttpPair Wrong(Setup.Server_, Client);
  Wrong.Server_->setHandler(echoName);
  EXPECT_EQ(Wrong.call(post("x")).Outcome_, HttpOutcome::NotSent);
}

TEST(HttpTls, DoesNotRespondInPlainText) {
  TlsSetup Setup;
  HttpPair Pair(Setup.Server_, Setup.Client_);
  Pair.Server_->setHandler(echoName);
  RawClient Caller(Pair.Loop_.base(), Pair.Address_);
  Caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(Pair.Loop_.runUntil([&] { return Caller.Closed_; }));
  EXPECT_EQ(Caller.Input_.find("HTTP"), std::string::npos);
}

// Guards against certificate renewals that need a restart or close open
// connections.
TEST(HttpTls, ReloadsCertificatesWithoutARestart) {
  TlsSetup Setup;
  HttpPair Pair(Setup.Server_, Setup.Client_);
  Pair.Server_->setHandler(echoName);
  EXPECT_EQ(Pair.call(post("x")).Status_, 200);

  TestCertificates Other;
  Other.issue("server", "server-1");
  using std::filesystem::copy_options;
  auto Replace = [&](const std::string &From, const std::string &To) {
    std::filesystem::copy_file(From, To, copy_options::overwrite_existing);
  };
  Replace(Other.certificate("server"), Setup.Server_.Tls_.Certificate_);
  EXPECT_FALSE(Pair.Server_->reloadTls().has_value()) << "key does not match";
  EXPECT_EQ(Pair.call(post("x")).Status_, 200);
  Replace(Other.key("server"), Setup.Server_.Tls_.Key_);
  ASSERT_TRUE(Pair.Server_->reloadTls().has_value());
  EXPECT_EQ(Pair.call(post("x")).Status_, 200) << "the connection stays";
  Pair.Client_->closeConnections(Pair.Address_);
  EXPECT_EQ(Pair.call(post("x")).Outcome_, HttpOutcome::NotSent)
      << "the old authority did not sign the new certificate";
  HttpClientConfig Client = Setup.Client_;
  Client.Tls_ = {"", "", Other.ca()};
  Pair.Client_ = HttpClient::create(Pair.Loop_.base(), Client).value();
  EXPECT_EQ(Pair.call(post("x")).Status_, 200);
}

TEST(HttpTls, ErrorNamesAFileThatCannotBeUsed) {
  EventLoop Loop;
  HttpServerConfig Config;
  Config.Tls_.Certificate_ = "/nonexistent/certificate.pem";
  auto Server = HttpServer::create(Loop.base(), Config);
  ASSERT_FALSE(Server.has_value());
  EXPECT_NE(Server.error().Message_.find(Config.Tls_.Certificate_),
            std::string::npos);
}

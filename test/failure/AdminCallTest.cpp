// Guards against admin calls over real connections that hang, drop the token,
// or trust a certificate that the settings do not name.
#include "CliConnect.h"

#include <atomic>
#include <event2/buffer.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/http.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <sstream>
#include <sys/stat.h>
#include <thread>

using namespace sycamore;

namespace {

/// A self-signed certificate for one IP address.
struct Certificate {
  EVP_PKEY *Key_ = EVP_EC_gen("P-256");
  X509 *Certificate_ = X509_new();

  explicit Certificate(const std::string &Ip) {
    X509_set_version(Certificate_, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(Certificate_), 1);
    X509_gmtime_adj(X509_getm_notBefore(Certificate_), -60);
    X509_gmtime_adj(X509_getm_notAfter(Certificate_), 3600);
    X509_set_pubkey(Certificate_, Key_);
    X509_NAME *Name = X509_get_subject_name(Certificate_);
    X509_NAME_add_entry_by_txt(Name, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>("admin"),
                               -1, -1, 0);
    X509_set_issuer_name(Certificate_, Name);
    X509_EXTENSION *Address = X509V3_EXT_conf_nid(
        nullptr, nullptr, NID_subject_alt_name, ("IP:" + Ip).c_str());
    X509_add_ext(Certificate_, Address, -1);
    X509_EXTENSION_free(Address);
    X509_sign(Certificate_, Key_, EVP_sha256());
  }
  Certificate(const Certificate &) = delete;
  Certificate &operator=(const Certificate &) = delete;
  ~Certificate() {
    X509_free(Certificate_);
    EVP_PKEY_free(Key_);
  }

  void write(const std::string &Path) const {
    FILE *File = std::fopen(Path.c_str(), "w");
    PEM_write_X509(File, Certificate_);
    std::fclose(File);
  }
};

/// An HTTP server on loopback in its own thread.
class AdminServer {
public:
  explicit AdminServer(const Certificate *Tls = nullptr, bool Silent = false)
      : Silent_(Silent) {
    Base_ = event_base_new();
    Http_ = evhttp_new(Base_);
    if (Tls) {
      Context_ = SSL_CTX_new(TLS_server_method());
      SSL_CTX_use_certificate(Context_, Tls->Certificate_);
      SSL_CTX_use_PrivateKey(Context_, Tls->Key_);
      evhttp_set_bevcb(Http_, makeSocket, Context_);
    }
    evhttp_set_allowed_methods(Http_, EVHTTP_REQ_GET | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(Http_, handleRequest, this);
    evhttp_bound_socket *Socket =
        evhttp_bind_socket_with_handle(Http_, "127.0.0.1", 0);
    sockaddr_in Bound{};
    socklen_t Size = sizeof(Bound);
    getsockname(evhttp_bound_socket_get_fd(Socket),
                reinterpret_cast<sockaddr *>(&Bound), &Size);
    Port_ = ntohs(Bound.sin_port);
    Thread_ = std::thread([this] {
      while (!Stop_) {
        event_base_loop(Base_, EVLOOP_NONBLOCK);
        std::this_thread::sleep_for(milliseconds(1));
      }
    });
  }
  AdminServer(const AdminServer &) = delete;
  AdminServer &operator=(const AdminServer &) = delete;
  ~AdminServer() {
    Stop_ = true;
    Thread_.join();
    evhttp_free(Http_);
    event_base_free(Base_);
    SSL_CTX_free(Context_);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }
  /// Method, path and token of the last request.
  std::string lastRequest() const { return LastRequest_; }

private:
  static bufferevent *makeSocket(event_base *Base, void *Context) {
    return bufferevent_openssl_socket_new(
        Base, -1, SSL_new(static_cast<SSL_CTX *>(Context)),
        BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE);
  }
  static void handleRequest(evhttp_request *Request, void *Argument) {
    auto *Self = static_cast<AdminServer *>(Argument);
    if (Self->Silent_)
      return;
    const char *Token = evhttp_find_header(
        evhttp_request_get_input_headers(Request), "Authorization");
    Self->LastRequest_ =
        (evhttp_request_get_command(Request) == EVHTTP_REQ_DELETE ? "DELETE "
                                                                  : "GET ") +
        std::string(evhttp_request_get_uri(Request)) + " " +
        (Token ? Token : "-");
    evbuffer *Body = evbuffer_new();
    evbuffer_add_printf(Body, "{\"ok\":true}");
    evhttp_send_reply(Request, 200, "OK", Body);
    evbuffer_free(Body);
  }

  event_base *Base_ = nullptr;
  evhttp *Http_ = nullptr;
  SSL_CTX *Context_ = nullptr;
  bool Silent_;
  std::uint16_t Port_ = 0;
  std::string LastRequest_;
  std::atomic<bool> Stop_ = false;
  std::thread Thread_;
};

class AdminCall : public testing::Test {
protected:
  AdminCall() { std::filesystem::create_directory(Folder_); }
  ~AdminCall() override { std::filesystem::remove_all(Folder_); }

  Result<AdminResponse> call(const AdminServer &Server,
                             std::string_view Method) {
    Settings_.Daemon_ = Server.address();
    return networkEnvironment(Out_, Out_)
        .CallDaemon_(Settings_, Method, "/quarantine/9a", seconds(1));
  }

  std::filesystem::path Folder_ =
      std::filesystem::temp_directory_path() /
      ("sycamore-admin-" + std::to_string(getpid()));
  OperatorSettings Settings_;
  std::ostringstream Out_;
};

} // namespace

TEST_F(AdminCall, SendsMethodPathAndToken) {
  AdminServer Server;
  auto Answer = call(Server, "GET");
  ASSERT_TRUE(Answer.has_value()) << describe(Answer.error());
  EXPECT_EQ(Answer->Status_, 200);
  EXPECT_EQ(Answer->Body_, "{\"ok\":true}");
  Settings_.AdminTokenFile_ = Folder_ / "token";
  std::ofstream(Settings_.AdminTokenFile_) << "secret\n";
  chmod(Settings_.AdminTokenFile_.c_str(), 0600);
  EXPECT_TRUE(call(Server, "DELETE").has_value());
  EXPECT_EQ(Server.lastRequest(), "DELETE /quarantine/9a Bearer secret");
  chmod(Settings_.AdminTokenFile_.c_str(), 0644);
  EXPECT_EQ(call(Server, "GET").error().Kind_, ErrorKind::PermissionDenied);
}

TEST_F(AdminCall, SilentDaemonEndsAtTheTimeout) {
  AdminServer Server(nullptr, true);
  auto Start = std::chrono::steady_clock::now();
  auto Answer = call(Server, "DELETE");
  ASSERT_FALSE(Answer.has_value());
  EXPECT_EQ(Answer.error().Kind_, ErrorKind::OutcomeUnknown);
  EXPECT_LT(std::chrono::steady_clock::now() - Start, seconds(20));
}

TEST_F(AdminCall, TrustsOnlyTheCertificateOfTheSettings) {
  Certificate Configured("127.0.0.1");
  Certificate Other("127.0.0.1");
  Certificate OtherAddress("10.1.2.3");
  AdminServer Server(&Configured);
  Settings_.DaemonCa_ = Folder_ / "ca.pem";
  Configured.write(Settings_.DaemonCa_);
  auto Answer = call(Server, "GET");
  ASSERT_TRUE(Answer.has_value()) << describe(Answer.error());
  EXPECT_EQ(Answer->Status_, 200);
  Other.write(Settings_.DaemonCa_);
  EXPECT_FALSE(call(Server, "GET").has_value());
  AdminServer OtherServer(&OtherAddress);
  OtherAddress.write(Settings_.DaemonCa_);
  EXPECT_FALSE(call(OtherServer, "GET").has_value())
      << "a certificate for another address is trusted";
  std::ofstream(Settings_.DaemonCa_) << "no certificate";
  EXPECT_EQ(call(Server, "GET").error().Kind_, ErrorKind::InvalidSettings);
}

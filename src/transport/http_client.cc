#include "transport/http_client.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

namespace hawthornbank::transport {
namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;

// A connection that went silent is noticed within about three seconds, also
// while a watch waits.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned kUserTimeoutMilliseconds = 2500;

template <class Value>
auto SetTcpOption(asio::ip::tcp::socket& socket, int name, Value value)
    -> void {
  // Without an option the deadline of the call still holds.
  (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value,
                     sizeof(value));
}

auto TuneSocket(asio::ip::tcp::socket& socket) -> void {
  asio::error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  SetTcpOption(socket, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetTcpOption(socket, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetTcpOption(socket, TCP_KEEPCNT, kKeepAliveProbes);
  SetTcpOption(socket, TCP_USER_TIMEOUT, kUserTimeoutMilliseconds);
}

}  // namespace

struct HttpClient::Call {
  std::string request;
  Handler handler;
  HttpReply reply;
  http_parser parser{};
  std::array<char, kReadBytes> buf{};
  bool reused = false;  ///< On a connection of an earlier call.
  bool answering = false;
  bool complete = false;
  /// Answered or given up. Its handlers then no longer touch the client, which
  /// may be gone.
  bool done = false;
  bool keep = false;  ///< The connection may serve another call.
};

HttpClient::HttpClient(asio::io_context& io, Endpoint server)
    : server_(server), socket_(io), deadline_(io) {}

HttpClient::~HttpClient() {
  Cancel();
}

auto HttpClient::busy() const -> bool {
  return call_ != nullptr;
}

auto HttpClient::CloseSocket() -> void {
  asio::error_code ec;
  socket_.close(ec);
}

auto HttpClient::Cancel() -> void {
  if (call_ != nullptr) {
    call_->done = true;
    call_.reset();
    CloseSocket();
  }
  deadline_.cancel();
}

auto HttpClient::Send(const HttpRequest& request,
                      Duration deadline,
                      Handler handler) -> void {
  Cancel();
  const auto call = std::make_shared<Call>();
  call->request = request.method + ' ' + request.target +
                  " HTTP/1.1\r\nHost: " + ToString(server_) + "\r\n";
  if (!request.body.empty()) {
    call->request += "Content-Type: application/json\r\nContent-Length: " +
                     std::to_string(request.body.size()) + "\r\n";
  }
  call->request += "\r\n" + request.body;
  call->handler = std::move(handler);
  call_ = call;
  deadline_.expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          deadline));
  deadline_.async_wait([this, call](const asio::error_code& ec) {
    if (!ec && !call->done) {
      call->reused = false;
      Fail(call, "deadline");
    }
  });
  Start(call);
}

auto HttpClient::Start(const std::shared_ptr<Call>& call) -> void {
  http_parser_init(&call->parser, HTTP_RESPONSE);
  call->parser.data = call.get();
  if (socket_.is_open()) {
    call->reused = true;
    Write(call);
  } else {
    call->reused = false;
    Connect(call);
  }
}

auto HttpClient::Connect(const std::shared_ptr<Call>& call) -> void {
  asio::error_code ec;
  socket_.open(asio::ip::tcp::v4(), ec);
  TuneSocket(socket_);
  socket_.async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4(server_.address),
                              server_.port),
      [this, call](const asio::error_code& error) {
        if (call->done) {
          return;
        }
        if (error) {
          Fail(call, "connect: " + error.message());
        } else {
          Write(call);
        }
      });
}

auto HttpClient::Write(const std::shared_ptr<Call>& call) -> void {
  asio::async_write(socket_, asio::buffer(call->request),
                    [this, call](const asio::error_code& ec, std::size_t) {
                      if (call->done) {
                        return;
                      }
                      if (ec) {
                        Fail(call, "send: " + ec.message());
                      } else {
                        Receive(call);
                      }
                    });
}

auto HttpClient::Receive(const std::shared_ptr<Call>& call) -> void {
  static const http_parser_settings settings = [] {
    http_parser_settings it{};
    it.on_body = [](http_parser* parser, const char* text, std::size_t n) {
      auto& body = static_cast<Call*>(parser->data)->reply.body;
      body.append(text, n);
      return body.size() > kMaxReplyBytes ? 1 : 0;
    };
    it.on_message_complete = [](http_parser* parser) {
      auto* const done = static_cast<Call*>(parser->data);
      done->complete = true;
      done->keep = http_should_keep_alive(parser) != 0;
      return 0;
    };
    return it;
  }();
  socket_.async_read_some(
      asio::buffer(call->buf),
      [this, call](const asio::error_code& ec, std::size_t n) {
        if (call->done) {
          return;
        }
        if (ec && ec != asio::error::eof) {
          Fail(call, "receive: " + ec.message());
          return;
        }
        call->answering = call->answering || n > 0;
        const std::size_t parsed =
            http_parser_execute(&call->parser, &settings, call->buf.data(), n);
        if (call->complete) {
          Finish(call);
        } else if (ec || parsed != n) {
          Fail(call, ec ? "connection closed" : "malformed answer");
        } else {
          Receive(call);
        }
      });
}

auto HttpClient::Fail(const std::shared_ptr<Call>& call,
                      const std::string& reason) -> void {
  CloseSocket();
  if (call->reused && !call->answering) {
    // The server had closed the idle connection; the call hasn't run.
    Start(call);
    return;
  }
  call->reply = HttpReply{.failure = reason};
  call->done = true;
  call_.reset();
  deadline_.cancel();
  call->handler(call->reply);
}

auto HttpClient::Finish(const std::shared_ptr<Call>& call) -> void {
  call->reply.status = static_cast<int>(call->parser.status_code);
  if (!call->keep) {
    CloseSocket();
  }
  call->done = true;
  call_.reset();
  deadline_.cancel();
  call->handler(call->reply);
}

}  // namespace hawthornbank::transport

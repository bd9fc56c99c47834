#include "transport/http_client.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

#include "transport/http_header.h"

namespace hawthornbank::transport {
namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;

// With these values, a dead connection is detected within about three seconds,
// even while a watch waits for a change.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned kUserTimeoutMilliseconds = 2500;

template <class Value>
auto SetTcpOption(asio::ip::tcp::socket& socket, int name, Value value)
    -> void {
  // If setting the option fails, the call's deadline still bounds the call.
  (void)::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value,
                     sizeof(value));
}

auto SetSocketOptions(asio::ip::tcp::socket& socket) -> void {
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
  HttpResponse reply;
  http_parser parser{};
  std::string wanted_header;
  HeaderReader type{.wanted = "Content-Type"};
  HeaderReader header;
  std::array<char, kReadBytes> buf{};
  bool reuses_connection = false;  ///< Sent on a connection of an earlier call.
  bool is_complete = false;
  /// Whether the call was answered, failed or was cancelled. After that, the
  /// call's handlers don't access the client, which may have been destroyed.
  bool is_done = false;
  bool keeps_connection = false;  ///< The server keeps the connection open.
};

HttpClient::HttpClient(asio::io_context& io, Endpoint server)
    : server_(server), socket_(io), deadline_timer_(io) {}

HttpClient::~HttpClient() {
  CancelCallInFlight();
}

auto HttpClient::HasCallInFlight() const -> bool {
  return call_ != nullptr;
}

auto HttpClient::received_bytes() const -> std::size_t {
  return call_ != nullptr ? call_->reply.received_bytes : 0;
}

auto HttpClient::CloseSocket() -> void {
  asio::error_code ec;
  socket_.close(ec);
}

auto HttpClient::CancelCallInFlight() -> void {
  if (call_ != nullptr) {
    call_->is_done = true;
    call_.reset();
    CloseSocket();
  }
  deadline_timer_.cancel();
}

auto HttpClient::SendHttpRequest(const HttpRequest& request,
                                 Duration deadline,
                                 Handler handler) -> void {
  CancelCallInFlight();
  const auto call = std::make_shared<Call>();
  call->request = request.method + ' ' + request.target +
                  " HTTP/1.1\r\nHost: " + ToString(server_) + "\r\n";
  if (!request.body.empty()) {
    call->request += "Content-Type: application/json\r\nContent-Length: " +
                     std::to_string(request.body.size()) + "\r\n";
  }
  if (!request.accept.empty()) {
    call->request += "Accept: " + request.accept + "\r\n";
  }
  call->request += "\r\n" + request.body;
  call->wanted_header = request.wanted_header;
  call->header.wanted = call->wanted_header;
  call->handler = std::move(handler);
  call_ = call;
  deadline_timer_.expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          deadline));
  deadline_timer_.async_wait([this, call](const asio::error_code& ec) {
    if (!ec && !call->is_done) {
      call->reuses_connection = false;
      RetryOrFailCall(call, "deadline");
    }
  });
  StartCall(call);
}

auto HttpClient::StartCall(const std::shared_ptr<Call>& call) -> void {
  http_parser_init(&call->parser, HTTP_RESPONSE);
  call->parser.data = call.get();
  if (socket_.is_open()) {
    call->reuses_connection = true;
    WriteRequestToSocket(call);
  } else {
    call->reuses_connection = false;
    ConnectToServer(call);
  }
}

auto HttpClient::ConnectToServer(const std::shared_ptr<Call>& call) -> void {
  asio::error_code ec;
  socket_.open(asio::ip::tcp::v4(), ec);
  SetSocketOptions(socket_);
  socket_.async_connect(
      asio::ip::tcp::endpoint(asio::ip::address_v4(server_.address),
                              server_.port),
      [this, call](const asio::error_code& error) {
        if (call->is_done) {
          return;
        }
        if (error) {
          RetryOrFailCall(call, "connect: " + error.message());
        } else {
          WriteRequestToSocket(call);
        }
      });
}

auto HttpClient::WriteRequestToSocket(const std::shared_ptr<Call>& call)
    -> void {
  asio::async_write(socket_, asio::buffer(call->request),
                    [this, call](const asio::error_code& ec, std::size_t) {
                      if (call->is_done) {
                        return;
                      }
                      if (ec) {
                        RetryOrFailCall(call, "send: " + ec.message());
                      } else {
                        ReceiveReply(call);
                      }
                    });
}

auto HttpClient::ReceiveReply(const std::shared_ptr<Call>& call) -> void {
  static const http_parser_settings settings = [] {
    http_parser_settings it{};
    it.on_header_field = [](http_parser* parser, const char* text,
                            std::size_t n) {
      auto& pending = *static_cast<Call*>(parser->data);
      OnHeaderName(pending.type, {text, n});
      OnHeaderName(pending.header, {text, n});
      return 0;
    };
    it.on_header_value = [](http_parser* parser, const char* text,
                            std::size_t n) {
      auto& pending = *static_cast<Call*>(parser->data);
      OnHeaderValue(pending.type, {text, n});
      OnHeaderValue(pending.header, {text, n});
      return 0;
    };
    it.on_headers_complete = [](http_parser* parser) {
      auto& pending = *static_cast<Call*>(parser->data);
      OnHeadersEnd(pending.type);
      OnHeadersEnd(pending.header);
      return 0;
    };
    it.on_body = [](http_parser* parser, const char* text, std::size_t n) {
      auto& body = static_cast<Call*>(parser->data)->reply.body;
      body.append(text, n);
      return body.size() > kMaxReplyBytes ? 1 : 0;
    };
    it.on_message_complete = [](http_parser* parser) {
      auto* const finished = static_cast<Call*>(parser->data);
      finished->is_complete = true;
      finished->keeps_connection = http_should_keep_alive(parser) != 0;
      return 0;
    };
    return it;
  }();
  socket_.async_read_some(
      asio::buffer(call->buf),
      [this, call](const asio::error_code& ec, std::size_t n) {
        if (call->is_done) {
          return;
        }
        if (ec && ec != asio::error::eof) {
          RetryOrFailCall(call, "receive: " + ec.message());
          return;
        }
        call->reply.received_bytes += n;
        const std::size_t parsed =
            http_parser_execute(&call->parser, &settings, call->buf.data(), n);
        if (call->is_complete) {
          FinishCall(call);
        } else if (ec || parsed != n) {
          RetryOrFailCall(call,
                          ec ? "connection closed" : "malformed response");
        } else {
          ReceiveReply(call);
        }
      });
}

auto HttpClient::RetryOrFailCall(const std::shared_ptr<Call>& call,
                                 const std::string& reason) -> void {
  CloseSocket();
  const std::size_t received_bytes = call->reply.received_bytes;
  if (call->reuses_connection && received_bytes == 0) {
    // The server had most likely closed the idle connection, so the request is
    // sent again.
    StartCall(call);
    return;
  }
  call->reply =
      HttpResponse{.failure = reason, .received_bytes = received_bytes};
  call->is_done = true;
  call_.reset();
  deadline_timer_.cancel();
  call->handler(call->reply);
}

auto HttpClient::FinishCall(const std::shared_ptr<Call>& call) -> void {
  call->reply.status = static_cast<int>(call->parser.status_code);
  call->reply.type = call->type.result;
  call->reply.header = call->header.result;
  if (!call->keeps_connection) {
    CloseSocket();
  }
  call->is_done = true;
  call_.reset();
  deadline_timer_.cancel();
  call->handler(call->reply);
}

}  // namespace hawthornbank::transport

#include "transport/http_server.h"

#include <http_parser.h>

#include <array>
#include <utility>

#include "transport/bind_error.h"
#include "transport/http_header.h"

namespace hawthornbank::transport {
namespace {

constexpr std::size_t kReadBytes = 2048;
constexpr std::string_view kAcceptHeader = "Accept";

auto GetStatusText(int status) -> const char* {
  return http_status_str(static_cast<http_status>(status));
}

// A connection, kept alive by the shared pointers in its pending handlers.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::ip::tcp::socket socket,
             HttpServer::Handler handler,
             std::shared_ptr<std::size_t> open)
      : socket_(std::move(socket)),
        idle_timer_(socket_.get_executor()),
        handler_(std::move(handler)),
        open_connections_(std::move(open)) {
    ++*open_connections_;
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }

  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;
  ~Connection() { --*open_connections_; }

  auto ReceiveRequest() -> void {
    idle_timer_.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            kConnectionIdleTimeout));
    idle_timer_.async_wait(
        [weak = weak_from_this()](const asio::error_code& ec) {
          const auto self = weak.lock();
          if (!ec && self != nullptr) {
            self->CloseConnection();
          }
        });
    socket_.async_read_some(
        asio::buffer(buf_),
        [self = shared_from_this()](const asio::error_code& ec, std::size_t n) {
          if (ec) {
            self->CloseConnection();
          } else {
            self->ParseReceivedBytes(n);
          }
        });
  }

 private:
  static auto GetConnection(http_parser* parser) -> Connection& {
    return *static_cast<Connection*>(parser->data);
  }

  static auto GetParserSettings() -> const http_parser_settings& {
    static const http_parser_settings settings = [] {
      http_parser_settings it{};
      it.on_url = [](http_parser* parser, const char* text, std::size_t n) {
        GetConnection(parser).request_.target.append(text, n);
        return 0;
      };
      it.on_header_field = [](http_parser* parser, const char* text,
                              std::size_t n) {
        OnHeaderName(GetConnection(parser).accept_, {text, n});
        return 0;
      };
      it.on_header_value = [](http_parser* parser, const char* text,
                              std::size_t n) {
        OnHeaderValue(GetConnection(parser).accept_, {text, n});
        return 0;
      };
      it.on_headers_complete = [](http_parser* parser) {
        OnHeadersEnd(GetConnection(parser).accept_);
        return 0;
      };
      it.on_body = [](http_parser* parser, const char* text, std::size_t n) {
        auto& body = GetConnection(parser).request_.body;
        body.append(text, n);
        return body.size() > kMaxRequestBodyBytes ? 1 : 0;
      };
      it.on_message_complete = [](http_parser* parser) {
        GetConnection(parser).AnswerRequest();
        return 0;
      };
      return it;
    }();
    return settings;
  }

  auto ParseReceivedBytes(std::size_t n) -> void {
    const std::size_t parsed =
        http_parser_execute(&parser_, &GetParserSettings(), buf_.data(), n);
    if (parsed != n || parser_.http_errno != HPE_OK) {
      response_ =
          "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
          "Content-Length: 0\r\n\r\n";
      closes_after_response_ = true;
    }
    if (response_.empty()) {
      ReceiveRequest();
    } else {
      SendResponse();
    }
  }

  auto AnswerRequest() -> void {
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    request_.accept = accept_.result;
    accept_ = {.wanted = kAcceptHeader};
    const HttpServerResponse answer = handler_(request_);
    closes_after_response_ = http_should_keep_alive(&parser_) == 0;
    response_ += "HTTP/1.1 " + std::to_string(answer.status) + ' ' +
                 GetStatusText(answer.status) +
                 "\r\nContent-Type: " + answer.type +
                 "\r\nContent-Length: " + std::to_string(answer.body.size()) +
                 (closes_after_response_ ? "\r\nConnection: close" : "") +
                 "\r\n" + answer.headers + "\r\n" + answer.body;
    request_ = {};
  }

  auto SendResponse() -> void {
    asio::async_write(
        socket_, asio::buffer(response_),
        [self = shared_from_this()](const asio::error_code& ec, std::size_t) {
          self->response_.clear();
          if (ec || self->closes_after_response_) {
            self->CloseConnection();
          } else {
            self->ReceiveRequest();
          }
        });
  }

  auto CloseConnection() -> void {
    idle_timer_.cancel();
    asio::error_code ec;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    socket_.close(ec);
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer idle_timer_;
  HttpServer::Handler handler_;
  std::shared_ptr<std::size_t> open_connections_;
  std::array<char, kReadBytes> buf_{};
  http_parser parser_{};
  HeaderReader accept_{.wanted = kAcceptHeader};
  HttpServerRequest request_;
  std::string response_;
  bool closes_after_response_ = false;
};

}  // namespace

HttpServer::HttpServer(asio::io_context& io, Endpoint local, Handler handler)
    : acceptor_(io), handler_(std::move(handler)) {
  asio::error_code ec;
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(local.address),
                                         local.port);
  acceptor_.open(endpoint.protocol(), ec);
  acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), ec);
  acceptor_.bind(endpoint, ec);
  if (!ec) {
    acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    throw BindError("can't listen on " + ToString(local) + ": " + ec.message());
  }
  AcceptConnection();
}

auto HttpServer::local_endpoint() const -> Endpoint {
  const auto endpoint = acceptor_.local_endpoint();
  return Endpoint{.address = endpoint.address().to_v4().to_uint(),
                  .port = endpoint.port()};
}

auto HttpServer::AcceptConnection() -> void {
  acceptor_.async_accept(
      [this](const asio::error_code& ec, asio::ip::tcp::socket socket) {
        if (ec == asio::error::operation_aborted) {
          return;
        }
        if (!ec && *open_connections_ < kMaxConnections) {
          asio::error_code ignored;
          socket.set_option(asio::ip::tcp::no_delay(true), ignored);
          std::make_shared<Connection>(std::move(socket), handler_,
                                       open_connections_)
              ->ReceiveRequest();
        }
        AcceptConnection();
      });
}

}  // namespace hawthornbank::transport

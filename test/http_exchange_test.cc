#include <CppUTest/TestHarness.h>

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "hawthornbank/types.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

using namespace hawthornbank;
using namespace hawthornbank::transport;
using namespace std::chrono_literals;

namespace {

const Endpoint kAnywhere{.address = 0x7F000001, .port = 0};

}  // namespace

TEST_GROUP(HttpExchange) {
  asio::io_context io;

  // Runs until a call is answered or given up.
  auto Call(HttpClient & client, const HttpRequest& request, Duration deadline)
      ->HttpReply {
    HttpReply reply{.status = -1};
    client.Send(request, deadline,
                [&reply](const HttpReply& it) { reply = it; });
    while (reply.status == -1 && io.run_one() > 0) {
    }
    return reply;
  }
};

TEST(HttpExchange, CallsAndAnswersShareAConnection) {
  int calls = 0;
  HttpServer server(io, kAnywhere, [&](const HttpCall& call) {
    ++calls;
    return HttpAnswer{.status = call.method == "PUT" ? 201 : 200,
                      .body = call.target + "|" + call.body};
  });
  HttpClient client(io, server.local());
  STRCMP_EQUAL("/a?b=1|", Call(client, {.target = "/a?b=1"}, 5s).body.c_str());
  const auto put =
      Call(client, {.method = "PUT", .target = "/x", .body = "{}"}, 5s);
  LONGS_EQUAL(201, put.status);
  STRCMP_EQUAL("/x|{}", put.body.c_str());
  LONGS_EQUAL(2, calls);
}

TEST(HttpExchange, AServerThatSaysNothingIsGivenUpAtTheDeadline) {
  asio::ip::tcp::acceptor silent(io,
                                 {asio::ip::address_v4(kAnywhere.address), 0});
  HttpClient client(io, Endpoint{.address = kAnywhere.address,
                                 .port = silent.local_endpoint().port()});
  const auto reply = Call(client, {.target = "/"}, 50ms);
  LONGS_EQUAL(0, reply.status);
  STRCMP_EQUAL("deadline", reply.failure.c_str());
  CHECK_FALSE(client.busy());
}

TEST(HttpExchange, APortWithoutAListenerFailsAtOnce) {
  Endpoint closed;
  {
    asio::ip::tcp::acceptor gone(io,
                                 {asio::ip::address_v4(kAnywhere.address), 0});
    closed = Endpoint{.address = kAnywhere.address,
                      .port = gone.local_endpoint().port()};
  }
  HttpClient client(io, closed);
  const auto reply = Call(client, {.target = "/"}, 5s);
  LONGS_EQUAL(0, reply.status);
  STRCMP_CONTAINS("connect", reply.failure.c_str());
}

TEST(HttpExchange, ACallThatIsCancelledIsNeverAnswered) {
  HttpServer server(io, kAnywhere,
                    [](const HttpCall&) { return HttpAnswer{}; });
  HttpClient client(io, server.local());
  client.Send({.target = "/"}, 5s, [](const HttpReply&) { FAIL("answered"); });
  client.Cancel();
  io.poll();
  CHECK_FALSE(client.busy());
}

TEST(HttpExchange, AClientMayBeDestroyedWhileItWaits) {
  HttpServer server(io, kAnywhere,
                    [](const HttpCall&) { return HttpAnswer{}; });
  auto client = std::make_unique<HttpClient>(io, server.local());
  client->Send({.target = "/"}, 5s, [](const HttpReply&) { FAIL("answered"); });
  client.reset();
  io.poll();  // Its handlers run now; the sanitizers watch them.
}

TEST(HttpExchange, NonsenseIsAnsweredWith400AndTheConnectionClosed) {
  HttpServer server(io, kAnywhere,
                    [](const HttpCall&) { return HttpAnswer{}; });
  asio::ip::tcp::socket socket(io);
  socket.connect(
      {asio::ip::address_v4(kAnywhere.address), server.local().port});
  const std::string nonsense = "what is this\r\n\r\n";
  asio::write(socket, asio::buffer(nonsense));
  std::string text;
  bool closed = false;
  std::array<char, 256> buf{};
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buf),
                           [&](const asio::error_code& ec, std::size_t n) {
                             text.append(buf.data(), n);
                             closed = static_cast<bool>(ec);
                             if (!closed) {
                               read();
                             }
                           });
  };
  read();
  while (!closed && io.run_one() > 0) {
  }
  STRCMP_CONTAINS("400", text.c_str());
}

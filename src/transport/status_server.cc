#include "transport/status_server.h"

#include <httplib.h>

#include <future>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>

#include "hawthornbank/error.h"
#include "transport/logging.h"

namespace hawthornbank::transport {
namespace {

constexpr std::chrono::seconds kSourceTimeout{2};

// Calls the source on the daemon's own thread, so that the source needs no
// locks. Returns std::nullopt when the daemon doesn't answer in time.
template <class Result>
auto CallStatusSource(asio::io_context& io,
                      const std::function<Result()>& source)
    -> std::optional<Result> {
  auto promise = std::make_shared<std::promise<Result>>();
  auto future = promise->get_future();
  asio::post(io, [promise, source]() { promise->set_value(source()); });
  if (future.wait_for(kSourceTimeout) != std::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

auto FormatMetricsText(const Metrics& metrics) -> std::string {
  std::ostringstream text;
  for (const auto& [name, value] : metrics) {
    text << "hawthornbank_" << name << ' ' << value << '\n';
  }
  return text.str();
}

auto RespondUnavailable(httplib::Response& response) -> void {
  response.status = 503;
  response.set_content("the process is stopping\n", "text/plain");
}

auto HandleLogLevelRequest(const httplib::Request& request,
                           httplib::Response& response) -> void {
  try {
    SetLogLevel(request.matches[1], request.matches[2]);
    response.set_content("ok\n", "text/plain");
  } catch (const Error& error) {
    response.status = 400;
    response.set_content(std::string(error.what()) + "\n", "text/plain");
  }
}

}  // namespace

auto ConvertMetricsToCounters(const Metrics& metrics)
    -> std::map<std::string, std::uint64_t> {
  std::map<std::string, std::uint64_t> counters;
  for (const auto& [name, value] : metrics) {
    counters[name] = static_cast<std::uint64_t>(value);
  }
  return counters;
}

struct StatusServer::Server {
  httplib::Server http;
  std::thread thread;
};

StatusServer::StatusServer(asio::io_context& io,
                           Endpoint local,
                           const StatusSource& source)
    : server_(std::make_unique<Server>()) {
  if (local.port == 0) {
    return;
  }
  auto& http = server_->http;
  http.Get("/status",
           [&io, source](const httplib::Request&, httplib::Response& response) {
             const auto status = CallStatusSource(io, source.status);
             status ? response.set_content(*status, "application/json")
                    : RespondUnavailable(response);
           });
  http.Get("/metrics",
           [&io, source](const httplib::Request&, httplib::Response& response) {
             const auto metrics = CallStatusSource(io, source.metrics);
             metrics ? response.set_content(FormatMetricsText(*metrics),
                                            "text/plain; version=0.0.4")
                     : RespondUnavailable(response);
           });
  http.Put(R"(/log/(\w+)/(\w+))", HandleLogLevelRequest);
  const auto address = ToString(Endpoint{.address = local.address});
  const auto host = address.substr(0, address.find(':'));
  if (!http.bind_to_port(host.c_str(), local.port)) {
    throw Error(ErrorKind::kInvalidSettings,
                "can't bind " + ToString(local) + " for metrics");
  }
  server_->thread =
      std::thread([this]() { server_->http.listen_after_bind(); });
}

StatusServer::~StatusServer() {
  if (server_->thread.joinable()) {
    server_->http.stop();
    server_->thread.join();
  }
}

}  // namespace hawthornbank::transport

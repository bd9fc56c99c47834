#include "transport/call_pool.h"

#include <algorithm>
#include <utility>

namespace hawthornbank::transport {

CallPool::CallPool(asio::io_context& io, PendingCalls& calls)
    : io_(io), calls_(calls) {}

auto CallPool::FindIdleConnection(Endpoint server) -> Connection& {
  std::erase_if(connections_, [&](const Connection& it) {
    return !it.client->HasCallInFlight() &&
           it.client->server_endpoint() != server;
  });
  const auto idle = std::find_if(
      connections_.begin(), connections_.end(),
      [](const Connection& it) { return !it.client->HasCallInFlight(); });
  if (idle != connections_.end()) {
    return *idle;
  }
  return connections_.emplace_back(
      Connection{.client = std::make_unique<HttpClient>(io_, server)});
}

auto CallPool::SendRequest(CallId id,
                           Endpoint server,
                           const HttpRequest& request,
                           HttpClient::Handler handler) -> void {
  Connection& connection = FindIdleConnection(server);
  connection.id = id;
  connection.client->SendHttpRequest(request, kMaxCallDuration,
                                     std::move(handler));
}

auto CallPool::RecordProgress(TimePoint now) -> void {
  for (const auto& it : connections_) {
    RecordReceivedBytes(calls_, it.id, it.client->received_bytes(), now);
  }
}

auto CallPool::ApplyLateCalls(const LateCalls& changes) -> void {
  for (const auto id : changes.cancelled) {
    for (const auto& it : connections_) {
      if (it.id == id) {
        it.client->CancelCallInFlight();
      }
    }
  }
  if (!changes.late.empty()) {
    CloseIdleConnections();
  }
}

auto CallPool::CloseIdleConnections() -> void {
  std::erase_if(connections_, [](const Connection& it) {
    return !it.client->HasCallInFlight();
  });
}

}  // namespace hawthornbank::transport

#ifndef HAWTHORNBANK_SRC_TRANSPORT_REGISTRY_CLIENT_H_
#define HAWTHORNBANK_SRC_TRANSPORT_REGISTRY_CLIENT_H_

#include <asio.hpp>
#include <functional>
#include <vector>

#include "hawthornbank/host_registry.h"
#include "transport/event_log.h"
#include "transport/http_client.h"
#include "transport/node_binding.h"

/// @file
/// Reads and mends the list of balancers in the platform's store.
namespace hawthornbank::transport {

/// Longest time for one call.
inline constexpr Duration kRegistryCallTime = std::chrono::milliseconds{700};

/// Calls about the list of balancers, one after the other.
class RegistryClient {
 public:
  using Handler = std::function<void(const std::vector<Endpoint>& hosts)>;

  /// @param io Where it runs.
  /// @param store The platform's store.
  /// @param codec Translations of the platform.
  /// @param log Where outcomes are noted.
  RegistryClient(asio::io_context& io,
                 Endpoint store,
                 const NodeCodec& codec,
                 EventLog& log);

  /// Reads the list.
  /// @param handler Called once with all of it; not at all when it can't be
  /// read.
  auto Read(Handler handler) -> void;

  /// Makes changes, as far as the store takes them.
  /// @param change Entries to add and to remove.
  auto Apply(const RegistryChange& change) -> void;

  /// @return Whether a call is under way.
  [[nodiscard]] auto busy() const -> bool { return client_.busy(); }

 private:
  auto ReadPage(const std::string& after) -> void;
  auto ApplyNext() -> void;

  HttpClient client_;
  const NodeCodec& codec_;
  EventLog& log_;
  Handler handler_;
  std::vector<Endpoint> hosts_;
  std::vector<HttpRequest> changes_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_REGISTRY_CLIENT_H_

#ifndef HAWTHORNBANK_SRC_TRANSPORT_REGISTRY_CLIENT_H_
#define HAWTHORNBANK_SRC_TRANSPORT_REGISTRY_CLIENT_H_

#include <asio.hpp>
#include <functional>
#include <vector>

#include "hawthornbank/call_timeout.h"
#include "hawthornbank/host_registry.h"
#include "transport/event_log.h"
#include "transport/http_client.h"
#include "transport/node_binding.h"
#include "transport/store_page_cursor.h"

/// @file
/// Reads and updates the list of balancers in the platform's store.
namespace hawthornbank::transport {

/// Limits of the timeout of one call to the store.
inline constexpr Duration kMinRegistryCallTimeout =
    std::chrono::milliseconds{700};
inline constexpr Duration kMaxRegistryCallTimeout = std::chrono::seconds{5};

/// Makes the calls that read and update the list of balancers, one at a time.
class RegistryClient {
 public:
  using Handler = std::function<void(const std::vector<Endpoint>& hosts)>;

  /// @param io Context on which the handlers run.
  /// @param store The platform's store.
  /// @param codec Encoders and decoders for the platform.
  /// @param log Log for the outcomes of calls.
  RegistryClient(asio::io_context& io,
                 Endpoint store,
                 const NodeCodec& codec,
                 EventLog& log);

  /// Reads all pages of the list.
  /// @param handler Called once with the whole list; never called when a page
  /// can't be read.
  auto RequestBalancerList(Handler handler) -> void;

  /// Sends changes of the list to the store, one at a time. Discards the
  /// changes of an earlier call that weren't sent yet. Failed changes are only
  /// logged.
  /// @param changes Entries to add and to remove.
  auto SendRegistryChanges(const RegistryChanges& changes) -> void;

  /// @return Whether a call is in flight.
  [[nodiscard]] auto HasCallInFlight() const -> bool {
    return client_.HasCallInFlight();
  }

 private:
  auto RequestBalancerPage() -> void;
  auto LogSkippedEntries(const std::string& skipped) -> void;
  auto SendNextChange() -> void;
  auto SendRequest(const HttpRequest& request, HttpClient::Handler handler)
      -> void;

  HttpClient client_;
  CallTimeout timeout_ =
      MakeCallTimeout(kMinRegistryCallTimeout, kMaxRegistryCallTimeout);
  const NodeCodec& codec_;
  EventLog& log_;
  Handler handler_;
  std::vector<Endpoint> balancers_;
  std::uint64_t era_ = 0;   // Of the first page of `balancers_`.
  StorePageCursor cursor_;  // Number of pages read of the list.
  std::string logged_skipped_;
  std::vector<HttpRequest> pending_changes_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_REGISTRY_CLIENT_H_

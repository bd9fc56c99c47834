#ifndef HAWTHORNBANK_SRC_TRANSPORT_CONFIGURATION_BINDING_H_
#define HAWTHORNBANK_SRC_TRANSPORT_CONFIGURATION_BINDING_H_

#include <asio.hpp>

#include <functional>
#include <memory>

#include <string>

#include <variant>
#include <vector>

#include "hawthornbank/configuration_store.h"

/// @file
/// Connects this process's ConfigurationStore to the platform and to peers.
namespace hawthornbank::transport {

/// Converts an endpoint to a host id. A ConfigurationStore identifies hosts by
/// number. The number contains the endpoint's address and port, so that no
/// lookup table is needed.
/// @param endpoint The host's endpoint for messages between processes.
/// @return The host's id.
auto ConvertEndpointToHostId(Endpoint endpoint) -> HostId;

/// Converts a host id back to the endpoint.
/// @param host An id made by ConvertEndpointToHostId.
/// @return The host's endpoint for messages between processes.
auto ConvertHostIdToEndpoint(HostId host) -> Endpoint;

/// Options of a ConfigurationBinding.
struct BindingOptions {
  Endpoint self;  ///< This process's endpoint for messages between processes.
  ConfigurationRole role = ConfigurationRole::kBalancer;
  std::string zone;
  std::string region;
  Endpoint platform;
};

/// Makes calls to the platform on a separate thread, one at a time.
class PlatformCaller {
 public:
  using Call = std::variant<ReadConfigurationObject, WatchConfigurationObject>;
  using Handler = std::function<void(const PlatformAnswer& answer)>;

  /// @param io Context on which the handler runs.
  /// @param options Region of the configuration and address of the platform.
  /// @param handler Called with the platform's answer to each call.
  PlatformCaller(asio::io_context& io,
                 const BindingOptions& options,
                 Handler handler);
  ~PlatformCaller();
  PlatformCaller(const PlatformCaller&) = delete;
  auto operator=(const PlatformCaller&) -> PlatformCaller& = delete;

  /// Passes a call to the thread. Replaces a call that was passed before and
  /// that the thread hasn't begun yet.
  /// @param call The read or watch to make.
  auto SetNextPlatformCall(const Call& call) -> void;

 private:
  struct SharedState;

  static auto RunPlatformCallLoop(const std::shared_ptr<SharedState>& shared)
      -> void;
  static auto ExecutePlatformCall(SharedState& shared, const Call& call)
      -> PlatformAnswer;

  // Shared with the thread, which may outlive this object, because the thread
  // can't be interrupted during a watch.
  std::shared_ptr<SharedState> shared_;
};

/// Keeps the configuration in force at this process up to date.
class ConfigurationBinding {
 public:
  using MessageSender =
      std::function<void(Endpoint to, const ConfigurationMessage& message)>;
  using ConfigurationHandler =
      std::function<void(const Configuration& configuration)>;

  /// @param io Context on which all handlers run.
  /// @param options Options of the binding.
  /// @param send Sends a message to a peer.
  /// @param apply_configuration Called with each configuration that comes into
  /// force.
  ConfigurationBinding(asio::io_context& io,
                       const BindingOptions& options,
                       MessageSender send,
                       ConfigurationHandler apply_configuration);

  /// Runs the tick of the ConfigurationStore. Must be called every
  /// kConfigurationTickInterval.
  auto RunBindingTick() -> void;

  /// Handles a configuration message of a peer.
  /// @param from The peer.
  /// @param message The message.
  auto HandleConfigurationMessage(Endpoint from,
                                  const ConfigurationMessage& message) -> void;

  /// Handles a configuration that the platform has accepted.
  /// @param value The configuration as JSON.
  auto HandleAcceptedConfiguration(const std::string& value) -> void;

  /// Replaces the list of balancers with which this process exchanges
  /// configurations.
  /// @param balancers Host ids and zones of the live balancers.
  auto SetBalancerPeers(std::vector<LiveBalancer> balancers) -> void;

  /// @return The ConfigurationStore of this process, for status and metrics.
  [[nodiscard]] auto configuration_store() const -> const ConfigurationStore& {
    return store_;
  }

 private:
  auto PerformConfigurationActions(ConfigurationActions& actions) -> void;

  Random random_;
  ConfigurationStore store_;
  MessageSender send_;
  ConfigurationHandler apply_configuration_;
  PlatformCaller platform_caller_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_CONFIGURATION_BINDING_H_

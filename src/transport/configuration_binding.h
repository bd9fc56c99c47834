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
/// Binds the configuration's decisions to the platform and to peers.
namespace hawthornbank::transport {

/// The configuration's decisions name hosts by number; here that number is
/// the endpoint between processes, so that no table is needed.
/// @param endpoint Endpoint between processes.
/// @return The host's number.
auto ToHostId(Endpoint endpoint) -> HostId;

/// @param host A number made by ToHostId.
/// @return The endpoint.
auto ToEndpoint(HostId host) -> Endpoint;

/// Settings of a binding.
struct BindingOptions {
  Endpoint self;  ///< Endpoint between processes.
  ConfigurationRole role = ConfigurationRole::kBalancer;
  std::string zone;
  std::string region;
  Endpoint platform;
};

/// Makes the calls to the platform on a thread of its own, one at a time.
class PlatformCaller {
 public:
  using Call = std::variant<CallPlatformGet, CallPlatformWatch>;
  using Handler = std::function<void(const PlatformAnswer& answer)>;

  /// @param io Where the handler runs.
  /// @param options Which object to read, where.
  /// @param handler Called with the answer of each call.
  PlatformCaller(asio::io_context& io,
                 const BindingOptions& options,
                 Handler handler);
  ~PlatformCaller();
  PlatformCaller(const PlatformCaller&) = delete;
  auto operator=(const PlatformCaller&) -> PlatformCaller& = delete;

  /// Begins a call.
  /// @param call What to ask.
  auto Begin(const Call& call) -> void;

 private:
  struct Shared;

  static auto Run(const std::shared_ptr<Shared>& shared) -> void;
  static auto Perform(Shared& shared, const Call& call) -> PlatformAnswer;

  // A watch can't be cut short, so the thread may outlive this object.
  std::shared_ptr<Shared> shared_;
};

/// The configuration in force at this process.
class ConfigurationBinding {
 public:
  using SendHandler =
      std::function<void(Endpoint to, const ConfigurationMessage& message)>;
  using ForceHandler = std::function<void(const Configuration& configuration)>;

  /// @param io Where everything runs.
  /// @param options Settings.
  /// @param send Sends a message to a peer.
  /// @param put_in_force Called with each configuration in force.
  ConfigurationBinding(asio::io_context& io,
                       const BindingOptions& options,
                       SendHandler send,
                       ForceHandler put_in_force);

  /// Does what is due; call it every kConfigurationTick.
  auto Tick() -> void;

  /// Takes a peer's message.
  /// @param from The peer.
  /// @param message The message.
  auto HandleMessage(Endpoint from, const ConfigurationMessage& message)
      -> void;

  /// Takes a value that the platform has accepted.
  /// @param value The value, as JSON.
  auto TakeAccepted(const std::string& value) -> void;

  /// Takes the live balancers.
  /// @param balancers Their endpoints and zones.
  auto SetPeers(std::vector<BalancerPeer> balancers) -> void;

  /// @return The decisions' state, for status and metrics.
  [[nodiscard]] auto store() const -> const ConfigurationStore& {
    return store_;
  }

 private:
  auto Perform(ConfigurationActions& actions) -> void;

  Random random_;
  ConfigurationStore store_;
  SendHandler send_;
  ForceHandler put_in_force_;
  PlatformCaller caller_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_CONFIGURATION_BINDING_H_

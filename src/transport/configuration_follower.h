#ifndef HAWTHORNBANK_SRC_TRANSPORT_CONFIGURATION_FOLLOWER_H_
#define HAWTHORNBANK_SRC_TRANSPORT_CONFIGURATION_FOLLOWER_H_

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "hawthornbank/configuration.h"
#include "hawthornbank/types.h"

/// @file
/// Follows the configuration object of a region on the platform.
namespace hawthornbank::transport {

/// Settings of a follower.
struct FollowerOptions {
  Endpoint platform;
  std::string region;
  std::chrono::milliseconds poll_interval{1000};
};

/// Reads the configuration on a thread of its own and posts each newer one.
class ConfigurationFollower {
 public:
  using Handler = std::function<void(const Configuration&)>;

  /// @param io Where the handler runs.
  /// @param options What to follow.
  /// @param handler Called with each newer generation, never an older one.
  ConfigurationFollower(asio::io_context& io,
                        FollowerOptions options,
                        Handler handler);
  ~ConfigurationFollower();
  ConfigurationFollower(const ConfigurationFollower&) = delete;
  auto operator=(const ConfigurationFollower&)
      -> ConfigurationFollower& = delete;

 private:
  auto Run() -> void;

  asio::io_context& io_;
  FollowerOptions options_;
  Handler handler_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_CONFIGURATION_FOLLOWER_H_

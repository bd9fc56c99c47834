#include "transport/configuration_follower.h"

#include <utility>

#include "hawthornbank/error.h"
#include "transport/logging.h"
#include "transport/platform_client.h"

namespace hawthornbank::transport {
namespace {

// The thread looks this often whether it is told to stop.
constexpr std::chrono::milliseconds kStopInterval{50};

}  // namespace

ConfigurationFollower::ConfigurationFollower(asio::io_context& io,
                                             FollowerOptions options,
                                             Handler handler)
    : io_(io),
      options_(std::move(options)),
      handler_(std::move(handler)),
      thread_([this]() { Run(); }) {}

ConfigurationFollower::~ConfigurationFollower() {
  stopped_ = true;
  thread_.join();
}

auto ConfigurationFollower::Run() -> void {
  PlatformClient client({.address = options_.platform});
  Generation generation{};
  while (!stopped_) {
    try {
      const auto object = client.Get("configuration", options_.region);
      if (object) {
        auto configuration = DecodeConfiguration(object->value);
        if (configuration.generation > generation) {
          generation = configuration.generation;
          asio::post(io_,
                     [handler = handler_, next = std::move(configuration)]() {
                       handler(next);
                     });
        }
      }
    } catch (const Error& error) {
      Log(Layer::kTransport, LogLevel::kWarn, "configuration_unread",
          {{"reason", error.what()}});
    }
    const auto wait = options_.poll_interval / kStopInterval;
    for (int n = 0; n < wait && !stopped_; ++n) {
      std::this_thread::sleep_for(kStopInterval);
    }
  }
}

}  // namespace hawthornbank::transport

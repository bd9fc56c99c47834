#include "soak/caller_ports.h"

namespace hawthornbank::soak {
namespace {

constexpr std::uint32_t kFlowsPerReuseAtOnce = 4;
constexpr std::uint32_t kMinReuseMs = 1000;
constexpr std::uint32_t kReuseSpreadMs = 12'000;

}  // namespace

auto CallerPorts::TakePort(TimePoint now) -> std::uint16_t {
  const auto it = released_.begin();
  if (it == released_.end() || it->first > now) {
    return next_port_++;
  }
  const std::uint16_t port = it->second;
  released_.erase(it);
  return port;
}

auto CallerPorts::ReleasePort(std::uint16_t port, TimePoint now) -> bool {
  if (!reuses_) {
    return false;
  }
  const bool at_once = random_() % kFlowsPerReuseAtOnce == 0;
  // The start of the clock sorts the port before all others.
  released_.emplace(
      at_once ? TimePoint{}
              : now + std::chrono::milliseconds{kMinReuseMs +
                                                random_() % kReuseSpreadMs},
      port);
  return at_once && has_late_copies_;
}

}  // namespace hawthornbank::soak

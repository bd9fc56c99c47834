#include <fmt/format.h>

#include <charconv>
#include <csignal>

#include "soak/world.h"
#include "transport/clock.h"

/// @file
/// What the platform asks of processes: readiness, metrics, and to read their
/// settings again.
namespace hawthornbank::soak {
namespace {

using transport::GetMonotonicTime;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr std::chrono::milliseconds kProbeTimeout{450};
constexpr int kMaxFailedProbes = 2;
// Time after its start in which a process may still be loaded, so that any
// program ends by SIGHUP, and by SIGTERM instead of with an exit code.
constexpr std::chrono::milliseconds kLoadTime{50};

auto ParseRoutesVersion(const std::string& metrics)
    -> std::optional<std::uint64_t> {
  constexpr std::string_view kName = "hawthornbank_routes_version ";
  const auto at = metrics.find(kName);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  std::uint64_t version = 0;
  const char* const start = metrics.data() + at + kName.size();
  std::from_chars(start, metrics.data() + metrics.size(), version);
  return version;
}

}  // namespace

auto SoakEnvironment::ProbeBalancerReadiness() -> void {
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    Node& node = GetBalancer(n);
    if (node.readiness_client->HasCallInFlight()) {
      continue;
    }
    node.readiness_client->SendHttpRequest(
        HttpRequest{.target = "/api/readyz"}, kProbeTimeout,
        [this, n](const HttpResponse& reply) {
          Node& probed = GetBalancer(n);
          probed.failed_probes =
              reply.status == 200 ? 0 : probed.failed_probes + 1;
          probed.is_in_rotation = probed.failed_probes == 0 ||
                                  (probed.is_in_rotation &&
                                   probed.failed_probes < kMaxFailedProbes);
          std::vector<bool> in_rotation;
          for (std::size_t it = 0; it < options_.balancers; ++it) {
            in_rotation.push_back(GetBalancer(it).is_in_rotation);
          }
          callers_->SetBalancersInRotation(std::move(in_rotation));
        });
  }
}

auto SoakEnvironment::CheckRoutesVersions() -> void {
  for (std::size_t n = 0; n < options_.balancers; ++n) {
    const Node& node = GetBalancer(n);
    const auto client = std::make_shared<transport::HttpClient>(
        io_, Endpoint{.address = node.parameters.host, .port = ports_.ready});
    client->SendHttpRequest(
        HttpRequest{.target = "/metrics"}, kProbeTimeout,
        [this, n, client,
         start_count = node.start_count](const HttpResponse& reply) {
          const Node& asked = GetBalancer(n);
          const auto version = ParseRoutesVersion(reply.body);
          if (version.has_value() && asked.start_count == start_count) {
            OnRoutesVersionReported(
                checker_, fmt::format("{}#{}", asked.subject, start_count),
                asked.subject, *version, GetMonotonicTime());
          }
        });
  }
}

// Sends a signal, to a process that may still be loaded after kLoadTime.
auto SoakEnvironment::SendSignalWhenLoaded(Node& node, int signal) -> void {
  if (GetMonotonicTime() - node.started_at >= kLoadTime) {
    node.process->SendSignal(signal);
    return;
  }
  RunAfterDelay(kLoadTime, [&node, signal, start_count = node.start_count] {
    if (node.process != nullptr && node.start_count == start_count) {
      node.process->SendSignal(signal);
    }
  });
}

}  // namespace hawthornbank::soak

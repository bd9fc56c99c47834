#include "transport/configuration_binding.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "hawthornbank/error.h"
#include "transport/clock.h"
#include "transport/logging.h"
#include "transport/platform_client.h"

namespace hawthornbank::transport {
namespace {

constexpr auto kConfigurationKind = "configuration";

auto MakeHostConfigurationStore(const BindingOptions& options, Random& random)
    -> ConfigurationStore {
  return MakeConfigurationStore({.self = ConvertEndpointToHostId(options.self),
                                 .role = options.role,
                                 .zone = options.zone},
                                GetMonotonicTime(), random);
}

}  // namespace

auto ConvertEndpointToHostId(Endpoint endpoint) -> HostId {
  return HostId{(std::uint64_t{endpoint.address} << 16U) | endpoint.port};
}

auto ConvertHostIdToEndpoint(HostId host) -> Endpoint {
  const std::uint64_t number = ToInteger(host);
  return Endpoint{.address = static_cast<std::uint32_t>(number >> 16U),
                  .port = static_cast<std::uint16_t>(number)};
}

struct PlatformCaller::SharedState {
  asio::io_context& io;
  std::string region;
  PlatformClient client;
  Handler handler;
  // Guards `call` and `stopped`; a thread that holds the lock takes no other.
  std::mutex mutex;
  std::condition_variable wake;
  std::optional<Call> call;
  bool stopped = false;
};

PlatformCaller::PlatformCaller(asio::io_context& io,
                               const BindingOptions& options,
                               Handler handler)
    : shared_(new SharedState{
          .io = io,
          .region = options.region,
          .client = PlatformClient({.address = options.platform}),
          .handler = std::move(handler)}) {
  std::thread([shared = shared_]() { RunPlatformCallLoop(shared); }).detach();
}

PlatformCaller::~PlatformCaller() {
  {
    const std::lock_guard lock(shared_->mutex);
    shared_->stopped = true;
  }
  shared_->wake.notify_one();
}

auto PlatformCaller::SetNextPlatformCall(const Call& call) -> void {
  {
    const std::lock_guard lock(shared_->mutex);
    shared_->call = call;
  }
  shared_->wake.notify_one();
}

auto PlatformCaller::RunPlatformCallLoop(
    const std::shared_ptr<SharedState>& shared) -> void {
  std::unique_lock lock(shared->mutex);
  while (true) {
    shared->wake.wait(lock, [&shared]() {
      return shared->stopped || shared->call.has_value();
    });
    if (shared->stopped) {
      return;
    }
    const Call call = *std::exchange(shared->call, std::nullopt);
    lock.unlock();
    const auto answer = ExecutePlatformCall(*shared, call);
    lock.lock();
    if (shared->stopped) {
      return;
    }
    asio::post(shared->io, [shared, answer]() { shared->handler(answer); });
  }
}

auto PlatformCaller::ExecutePlatformCall(SharedState& shared, const Call& call)
    -> PlatformAnswer {
  try {
    if (const auto* watch = std::get_if<WatchConfigurationObject>(&call)) {
      const auto result = shared.client.WatchObjects(
          kConfigurationKind, watch->from, watch->timeout);
      PlatformAnswer answer{.was_answered = true,
                            .history_expired = result.history_expired,
                            .version = result.version};
      for (const auto& it : result.objects) {
        if (it.name == shared.region) {
          answer.value = it.value;
        }
      }
      return answer;
    }
    const auto object =
        shared.client.ReadObject(kConfigurationKind, shared.region);
    return object ? PlatformAnswer{.was_answered = true,
                                   .version = object->version,
                                   .value = object->value}
                  : PlatformAnswer{.was_answered = true};
  } catch (const Error& error) {
    LogEvent(Layer::kTransport, LogLevel::kWarn, "platform_call_failed",
             {{"reason", error.what()}});
    return {};
  }
}

ConfigurationBinding::ConfigurationBinding(
    asio::io_context& io,
    const BindingOptions& options,
    MessageSender send,
    ConfigurationHandler apply_configuration)
    : random_(ToInteger(MakeIncarnation()) ^
              ToInteger(ConvertEndpointToHostId(options.self))),
      store_(MakeHostConfigurationStore(options, random_)),
      send_(std::move(send)),
      apply_configuration_(std::move(apply_configuration)),
      platform_caller_(io, options, [this](const PlatformAnswer& answer) {
        ConfigurationActions actions;
        OnPlatformAnswer(store_, answer, GetMonotonicTime(), random_, actions);
        PerformConfigurationActions(actions);
      }) {}

auto ConfigurationBinding::RunBindingTick() -> void {
  ConfigurationActions actions;
  OnConfigurationTick(store_, GetMonotonicTime(), random_, actions);
  PerformConfigurationActions(actions);
}

auto ConfigurationBinding::HandleConfigurationMessage(
    Endpoint from,
    const ConfigurationMessage& message) -> void {
  ConfigurationActions actions;
  OnConfigurationMessage(store_, ConvertEndpointToHostId(from), message,
                         GetMonotonicTime(), random_, actions);
  PerformConfigurationActions(actions);
}

auto ConfigurationBinding::HandleAcceptedConfiguration(const std::string& value)
    -> void {
  ConfigurationActions actions;
  OnConfigurationAcceptedByPlatform(store_, value, GetMonotonicTime(), random_,
                                    actions);
  PerformConfigurationActions(actions);
}

auto ConfigurationBinding::SetBalancerPeers(std::vector<LiveBalancer> balancers)
    -> void {
  SetLiveBalancers(store_, std::move(balancers));
}

auto ConfigurationBinding::PerformConfigurationActions(
    ConfigurationActions& actions) -> void {
  for (const auto& action : actions) {
    if (const auto* send = std::get_if<SendConfigurationMessage>(&action)) {
      send_(ConvertHostIdToEndpoint(send->to), send->message);
    } else if (const auto* force = std::get_if<ApplyConfiguration>(&action)) {
      apply_configuration_(*force->configuration);
    } else if (const auto* watch =
                   std::get_if<WatchConfigurationObject>(&action)) {
      platform_caller_.SetNextPlatformCall(*watch);
    } else if (const auto* get =
                   std::get_if<ReadConfigurationObject>(&action)) {
      platform_caller_.SetNextPlatformCall(*get);
    }
  }
}

}  // namespace hawthornbank::transport

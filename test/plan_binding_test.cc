#include "transport/plan_binding.h"

#include <cstdlib>
#include <ctime>
#include <memory>
#include <thread>

#include "../standins/platform_standin.h"
#include "transport/platform_client.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;
using transport::ConvertToLocalTime;
using transport::Metrics;
using transport::PlanBinding;
using transport::PlanBindingOptions;
using transport::PlatformClient;

namespace {

constexpr std::uint32_t kLoopback = 0x7F000001;
constexpr ServiceId kId{1};

/// Runs the platform stand-in on an ephemeral port in a separate thread.
struct RunningPlatformStandin {
  RunningPlatformStandin() {
    port = standin.BindServer("127.0.0.1", 0);
    thread = std::thread([this] { standin.Run(); });
    while (!standin.is_running()) {
      std::this_thread::yield();
    }
  }
  ~RunningPlatformStandin() {
    standin.StopServer();
    thread.join();
  }
  auto address() const -> Endpoint {
    return {.address = kLoopback, .port = static_cast<std::uint16_t>(port)};
  }

  standins::PlatformStandin standin;
  std::thread thread;
  int port = -1;
};

auto MakeFirstConfiguration() -> Configuration {
  return Configuration{
      .generation = Generation{1},
      .services = {Service{.id = kId, .name = "a", .target_count = 4}},
      // The peak starts at 24:00, later than any time of day, so the current
      // demand is always zero.
      .demand = {DemandRow{.service = kId, .day = "daily"},
                 DemandRow{.service = kId,
                           .day = "daily",
                           .start = 24h,
                           .requests_per_second = 100}}};
}

auto MakeTestPlanView(bool with_targets) -> PlanView {
  PlanView view{.is_membership_ready = true, .is_lease_candidate = true};
  for (const auto* name : {"a-1", "a-2", "a-3", "a-4"}) {
    if (with_targets) {
      view.targets.push_back(TargetRecord{
          .id = TargetId{HashName(name)}, .name = name, .service = kId});
    }
  }
  return view;
}

auto MakeFastPlanOptions(const std::string& self) -> PlanExecutorOptions {
  return {.self = self,
          .lease = {.duration = 1200ms,
                    .renew_interval = 300ms,
                    .margin = 300ms,
                    .watch_interval = 200ms},
          .tick_interval = 100ms,
          .start_delay = 0ms,
          .surplus_hold = 200ms,
          .rest_interval = 100ms};
}

auto HoldsPlanLeaseByMetrics(const PlanBinding& binding) -> bool {
  Metrics metrics;
  binding.AddPlanMetrics(metrics);
  return metrics.at("plan_lease_held") > 0;
}

}  // namespace

/// Two balancers share one configuration in force, which each configuration
/// that the platform accepts replaces.
TEST_GROUP(PlanBinding) {
  RunningPlatformStandin standin;
  PlatformClient client{{.address = standin.address()}};
  asio::io_context io;
  Configuration in_force = MakeFirstConfiguration();
  std::unique_ptr<PlanBinding> first_binding;
  std::unique_ptr<PlanBinding> second_binding;

  void setup() override {
    client.WriteObject("configuration", "main", 0, "first",
                       EncodeConfiguration(in_force));
    first_binding = MakePlanBinding("one");
    second_binding = MakePlanBinding("other");
  }

  auto MakePlanBinding(const std::string& self)->std::unique_ptr<PlanBinding> {
    return std::make_unique<PlanBinding>(
        io,
        PlanBindingOptions{.region = "main",
                           .platform = standin.address(),
                           .executor = MakeFastPlanOptions(self)},
        MakeTestPlanView, [this](const std::string& value) {
          in_force = DecodeConfiguration(value);
        });
  }

  auto RunBindingsUntil(const std::function<bool()>& done)->bool {
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!done() && std::chrono::steady_clock::now() < end) {
      for (auto* it : {first_binding.get(), second_binding.get()}) {
        if (it != nullptr) {
          it->RunPlanTick(in_force);
        }
      }
      io.restart();
      io.run_for(20ms);
    }
    return done();
  }

  auto ReadStoredConfiguration()->Configuration {
    return DecodeConfiguration(
        client.ReadObject("configuration", "main")->value);
  }
};

TEST(PlanBinding, LeaseHolderWritesRestingTargetsToThePlatform) {
  CHECK(RunBindingsUntil([this] { return in_force.resting.size() == 2; }));
  CHECK(ReadStoredConfiguration().resting == in_force.resting);
  CHECK(Epoch{} != ReadStoredConfiguration().plan_epoch);
  STRCMP_EQUAL("plan", ReadStoredConfiguration().author.c_str());
  CHECK(HoldsPlanLeaseByMetrics(*first_binding) !=
        HoldsPlanLeaseByMetrics(*second_binding));
}

TEST(PlanBinding, OtherBalancerTakesOverWithAHigherEpoch) {
  CHECK(RunBindingsUntil([this] { return in_force.resting.size() == 2; }));
  const auto epoch = ReadStoredConfiguration().plan_epoch;
  (HoldsPlanLeaseByMetrics(*first_binding) ? first_binding : second_binding)
      .reset();
  CHECK(RunBindingsUntil([&] { return in_force.plan_epoch > epoch; }));
  LONGS_EQUAL(2, ReadStoredConfiguration().resting.size());
}

TEST(PlanBinding, LocalTimeIncludesDaylightSavingTime) {
  const char* const before = std::getenv("TZ");
  const std::string kept = before == nullptr ? "" : before;
  // Central Europe as a POSIX TZ rule, so that no time zone data are needed.
  setenv("TZ", "CET-1CEST,M3.5.0,M10.5.0/3", 1);
  tzset();
  const WallTime instant =
      std::chrono::sys_days{ParseDate("2026-03-29")} + std::chrono::minutes{50};
  const auto local = ConvertToLocalTime(instant);
  const auto ahead = ConvertToLocalTime(instant + 15min);
  before == nullptr ? unsetenv("TZ") : setenv("TZ", kept.c_str(), 1);
  tzset();
  CHECK(ParseDate("2026-03-29") == local.date);
  LONGS_EQUAL(110, local.time.count());
  LONGS_EQUAL(185, ahead.time.count());
}

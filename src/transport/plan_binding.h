#ifndef HAWTHORNBANK_SRC_TRANSPORT_PLAN_BINDING_H_
#define HAWTHORNBANK_SRC_TRANSPORT_PLAN_BINDING_H_

#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>

#include "hawthornbank/plan_executor.h"
#include "transport/status_server.h"

/// @file
/// Connects the execution of the plan to the platform and the host's clock.
namespace hawthornbank::transport {

/// Converts a time to the host's time zone, including daylight saving time.
/// @param time A wall-clock time.
/// @return The local date and time of day.
auto ConvertToLocalTime(WallTime time) -> LocalTime;

/// Options of a PlanBinding.
struct PlanBindingOptions {
  std::string region;  ///< Name of the configuration object.
  Endpoint platform;
  PlanExecutorOptions executor;
};

/// Executes the plan while this balancer holds the plan's lease. A separate
/// thread makes the calls to the platform, one at a time.
class PlanBinding {
 public:
  /// Returns what the balancer knows of its membership and, if `with_targets`,
  /// of the targets. The binding fills in the view's local times.
  using PlanViewSource = std::function<PlanView(bool with_targets)>;
  using AcceptedHandler = std::function<void(const std::string& value)>;

  /// @param io Context on which all handlers run.
  /// @param options Options of the binding.
  /// @param view Returns the balancer's view for the plan's executor.
  /// @param accepted Called with each configuration that the plan wrote and the
  ///        platform accepted.
  PlanBinding(asio::io_context& io,
              const PlanBindingOptions& options,
              PlanViewSource view,
              AcceptedHandler accepted);
  ~PlanBinding();
  PlanBinding(const PlanBinding&) = delete;
  auto operator=(const PlanBinding&) -> PlanBinding& = delete;

  /// Runs a tick of the plan's executor, at most every 250 ms.
  /// @param in_force The configuration in force.
  auto RunPlanTick(const Configuration& in_force) -> void;

  /// Adds the plan's counters to the balancer's metrics.
  /// @param metrics Receives the counters by name.
  auto AddPlanMetrics(Metrics& metrics) const -> void;

 private:
  class PlatformCallQueue;

  auto PerformPlanActions(const PlanActions& actions) -> void;
  template <class Call, class AnswerHandler>
  auto BeginPlatformCall(Call call, AnswerHandler handle_answer) -> void;
  auto PerformPlanAction(const LeaseRead& action) -> void;
  auto PerformPlanAction(const LeaseWrite& action) -> void;
  auto PerformPlanAction(const ReadForUpdate& action) -> void;
  auto PerformPlanAction(const WriteForUpdate& action) -> void;
  auto PerformPlanAction(const ReadChangesForUpdate& action) -> void;
  auto PerformPlanAction(const PlanUpdateAccepted& action) -> void;
  // The actions LeaseAcquired, LeaseLost and PlanUpdateAbandoned are only
  // logged.
  auto PerformPlanAction(const LeaseAcquired& /*action*/) -> void {}
  auto PerformPlanAction(const LeaseLost& /*action*/) -> void {}
  auto PerformPlanAction(const PlanUpdateAbandoned& /*action*/) -> void {}
  auto MakeCurrentPlanView(bool with_targets) const -> PlanView;

  Random random_;
  PlanExecutor executor_;
  PlanViewSource view_;
  AcceptedHandler on_accepted_;
  TimePoint next_tick_;
  std::shared_ptr<PlatformCallQueue> call_queue_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_PLAN_BINDING_H_

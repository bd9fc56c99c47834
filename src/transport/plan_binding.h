#ifndef HAWTHORNBANK_SRC_TRANSPORT_PLAN_BINDING_H_
#define HAWTHORNBANK_SRC_TRANSPORT_PLAN_BINDING_H_

#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>

#include "hawthornbank/plan_executor.h"
#include "transport/status_server.h"

/// @file
/// Binds the execution of the plan to the platform and the host's clock.
namespace hawthornbank::transport {

/// Converts to the host's time zone, with its daylight saving.
/// @param time A wall-clock time.
/// @return The local date and time of day.
auto ToLocalTime(WallTime time) -> LocalTime;

/// Settings of a binding.
struct PlanBindingOptions {
  std::string region;  ///< Names the configuration object.
  Endpoint platform;
  PlanExecutorOptions executor;
};

/// The execution of the plan at this balancer. Calls to the platform are made
/// one at a time on a thread of its own.
class PlanBinding {
 public:
  /// What the balancer sees; local times are filled in by the binding.
  using ViewSource = std::function<PlanView(bool with_targets)>;
  using AcceptedHandler = std::function<void(const std::string& value)>;

  /// @param io Where everything runs.
  /// @param options Settings.
  /// @param view Gives the view.
  /// @param accepted Called with each configuration that an act made.
  PlanBinding(asio::io_context& io,
              const PlanBindingOptions& options,
              ViewSource view,
              AcceptedHandler accepted);
  ~PlanBinding();
  PlanBinding(const PlanBinding&) = delete;
  auto operator=(const PlanBinding&) -> PlanBinding& = delete;

  /// Does what is due.
  /// @param in_force The configuration in force.
  auto Tick(const Configuration& in_force) -> void;

  /// @param metrics Receives the counters.
  auto AddMetrics(Metrics& metrics) const -> void;

 private:
  class Caller;

  auto Perform(const PlanActions& actions) -> void;
  template <class Call, class Take>
  auto Begin(Call call, Take take) -> void;
  auto Do(const LeaseRead& action) -> void;
  auto Do(const LeaseWrite& action) -> void;
  auto Do(const UpdateRead& action) -> void;
  auto Do(const UpdateWrite& action) -> void;
  auto Do(const UpdateReadBack& action) -> void;
  auto Do(const PlanActed& action) -> void;
  // The others are only logged.
  auto Do(const LeaseGained& /*action*/) -> void {}
  auto Do(const LeaseLost& /*action*/) -> void {}
  auto Do(const PlanRefused& /*action*/) -> void {}
  auto ViewNow(bool with_targets) const -> PlanView;

  Random random_;
  PlanExecutor executor_;
  ViewSource view_;
  AcceptedHandler accepted_;
  TimePoint next_tick_;
  std::shared_ptr<Caller> caller_;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_PLAN_BINDING_H_

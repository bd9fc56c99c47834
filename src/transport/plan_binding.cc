#include "transport/plan_binding.h"

#include <condition_variable>
#include <ctime>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

#include "transport/clock.h"
#include "transport/logging.h"
#include "transport/platform_client.h"

namespace hawthornbank::transport {
namespace {

constexpr auto kConfigurationKind = "configuration";

/// Minimum interval between two ticks of the plan's executor.
constexpr std::chrono::milliseconds kPlanTickInterval{250};

auto JoinNamesWithCommas(const std::vector<std::string>& names) -> std::string {
  std::string text;
  for (const auto& it : names) {
    text += (text.empty() ? "" : ",") + it;
  }
  return text;
}

auto LogPlanAction(const PlanAction& action) -> void {
  const auto log = [](const char* event, const std::vector<LogField>& fields) {
    LogEvent(Layer::kCoordination, LogLevel::kInfo, event, fields);
  };
  const auto text = [](Epoch epoch) {
    return std::to_string(ToInteger(epoch));
  };
  if (const auto* gained = std::get_if<LeaseAcquired>(&action)) {
    log("plan_lease_gained", {{"epoch", text(gained->epoch)}});
  } else if (const auto* lost = std::get_if<LeaseLost>(&action)) {
    log("plan_lease_lost", {{"epoch", text(lost->epoch)}});
  } else if (const auto* acted = std::get_if<PlanUpdateAccepted>(&action)) {
    log("plan_acted", {{"epoch", text(acted->epoch)},
                       {"rested", JoinNamesWithCommas(acted->rested)},
                       {"returned", JoinNamesWithCommas(acted->returned)}});
  } else if (const auto* refused = std::get_if<PlanUpdateAbandoned>(&action)) {
    log("plan_refused",
        {{"reason", std::string(LookUpErrorAnswer(refused->reason).name)}});
  }
}

auto ClassifyWriteError(ErrorKind kind) -> UpdateWriteAnswer {
  return kind == ErrorKind::kConflict ? UpdateWriteAnswer::kConflict
                                      : UpdateWriteAnswer::kUnknown;
}

}  // namespace

auto ConvertToLocalTime(WallTime time) -> LocalTime {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  localtime_r(&seconds, &parts);
  constexpr int kTmYearOffset = 1900;
  const std::chrono::year_month_day date{
      std::chrono::year{kTmYearOffset + parts.tm_year},
      std::chrono::month{static_cast<unsigned>(parts.tm_mon + 1)},
      std::chrono::day{static_cast<unsigned>(parts.tm_mday)}};
  return LocalTime{.date = date,
                   .time = std::chrono::hours{parts.tm_hour} +
                           std::chrono::minutes{parts.tm_min}};
}

/// Queue of platform calls. A thread makes the calls in the order of the queue
/// and posts the handlers of the answers to the io_context.
class PlanBinding::PlatformCallQueue {
 public:
  /// Handles the platform's answer to a call; runs on the io_context.
  using AnswerTask = std::function<void()>;
  /// Makes a call to the platform; runs on the queue's thread.
  using CallTask = std::function<AnswerTask(PlatformClient& client)>;

  PlatformCallQueue(asio::io_context& io, PlanBindingOptions options)
      : io_(io),
        options_(std::move(options)),
        client_({.address = options_.platform}) {}

  static auto StartCallThread(const std::shared_ptr<PlatformCallQueue>& queue)
      -> void {
    // The thread may outlive the PlanBinding, because the thread can't be
    // interrupted during a call.
    std::thread([queue]() { queue->RunPlatformCallLoop(); }).detach();
  }

  auto EnqueueCall(CallTask call_task) -> void {
    {
      const std::lock_guard lock(mutex_);
      call_tasks_.push_back(std::move(call_task));
    }
    wake_.notify_one();
  }

  auto StopCallThread() -> void {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    wake_.notify_one();
  }

  auto options() const -> const PlanBindingOptions& { return options_; }

 private:
  auto RunPlatformCallLoop() -> void {
    std::unique_lock lock(mutex_);
    while (true) {
      wake_.wait(lock, [this]() { return stopped_ || !call_tasks_.empty(); });
      if (stopped_) {
        return;
      }
      const CallTask call_task = std::move(call_tasks_.front());
      call_tasks_.pop_front();
      lock.unlock();
      AnswerTask answer = call_task(client_);
      lock.lock();
      if (stopped_) {
        return;
      }
      asio::post(io_, std::move(answer));
    }
  }

  asio::io_context& io_;
  PlanBindingOptions options_;
  PlatformClient client_;
  // Guards call_tasks_ and stopped_; a thread that holds the lock takes no
  // other.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<CallTask> call_tasks_;
  bool stopped_ = false;
};

namespace {

/// @return Name of the lease object. The configuration object is named after
///         the region alone.
auto MakeLeaseObjectName(const PlanBindingOptions& options) -> std::string {
  return options.region + "-" + kPlanLease;
}

auto ReadLeaseObject(PlatformClient& client, const PlanBindingOptions& options)
    -> LeaseReadAnswer {
  try {
    const auto object =
        client.ReadObject(kLeaseKind, MakeLeaseObjectName(options));
    return object ? LeaseReadAnswer{.was_answered = true,
                                    .version = object->version,
                                    .record = DecodeLeaseRecord(object->value)}
                  : LeaseReadAnswer{.was_answered = true};
  } catch (const Error&) {
    return LeaseReadAnswer{};
  }
}

/// Outcome of a write of the lease, and the object's new version if the
/// platform accepted the write.
struct LeaseWriteResult {
  LeaseWriteOutcome answer = LeaseWriteOutcome::kUnknown;
  std::uint64_t version = 0;
};

auto WriteLeaseObject(PlatformClient& client,
                      const PlanBindingOptions& options,
                      const LeaseWrite& write) -> LeaseWriteResult {
  try {
    return {.answer = LeaseWriteOutcome::kAccepted,
            .version = client.WriteObject(
                kLeaseKind, MakeLeaseObjectName(options), write.if_version,
                write.record.operation, EncodeLeaseRecord(write.record))};
  } catch (const Error& error) {
    return {.answer = error.kind() == ErrorKind::kConflict
                          ? LeaseWriteOutcome::kConflict
                          : LeaseWriteOutcome::kUnknown};
  }
}

auto ReadStoredConfiguration(PlatformClient& client,
                             const PlanBindingOptions& options)
    -> PlanReadAnswer {
  try {
    PlanReadAnswer stored{.was_answered = true};
    if (const auto object =
            client.ReadObject(kConfigurationKind, options.region)) {
      stored.object = StoredConfigurationObject{.version = object->version,
                                                .value = object->value};
    }
    return stored;
  } catch (const Error&) {
    return PlanReadAnswer{};
  }
}

auto WriteStoredConfiguration(PlatformClient& client,
                              const PlanBindingOptions& options,
                              const WriteForUpdate& write)
    -> UpdateWriteAnswer {
  try {
    client.WriteObject(kConfigurationKind, options.region, write.if_version,
                       write.operation, write.value);
    return UpdateWriteAnswer::kAccepted;
  } catch (const Error& error) {
    return ClassifyWriteError(error.kind());
  }
}

auto ReadConfigurationChanges(PlatformClient& client,
                              const PlanBindingOptions& options,
                              std::uint64_t from) -> ReadChangesAnswer {
  try {
    const auto result = client.WatchObjects(kConfigurationKind, from,
                                            std::chrono::milliseconds{0});
    ReadChangesAnswer answer{.was_answered = true,
                             .history_expired = result.history_expired};
    for (const auto& it : result.objects) {
      if (it.name == options.region) {
        answer.changes.push_back({.version = it.version, .value = it.value});
      }
    }
    return answer;
  } catch (const Error&) {
    return ReadChangesAnswer{};
  }
}

}  // namespace

PlanBinding::PlanBinding(asio::io_context& io,
                         const PlanBindingOptions& options,
                         PlanViewSource view,
                         AcceptedHandler accepted)
    : random_(HashName(options.executor.self)),
      executor_(
          MakePlanExecutor(options.executor, GetMonotonicTime(), random_)),
      view_(std::move(view)),
      on_accepted_(std::move(accepted)),
      call_queue_(std::make_shared<PlatformCallQueue>(io, options)) {
  PlatformCallQueue::StartCallThread(call_queue_);
}

PlanBinding::~PlanBinding() {
  call_queue_->StopCallThread();
}

auto PlanBinding::RunPlanTick(const Configuration& in_force) -> void {
  const TimePoint now = GetMonotonicTime();
  if (now < next_tick_) {
    return;
  }
  next_tick_ = now + kPlanTickInterval;
  const bool decides =
      now >= executor_.next_tick && !executor_.update_in_progress;
  PlanActions actions;
  OnPlanTick(executor_, in_force, MakeCurrentPlanView(decides), now, random_,
             actions);
  PerformPlanActions(actions);
}

auto PlanBinding::MakeCurrentPlanView(bool with_targets) const -> PlanView {
  PlanView view = view_(with_targets);
  const WallTime now = GetWallTime();
  view.local_time = ConvertToLocalTime(now);
  view.local_after_warm_up =
      ConvertToLocalTime(now + executor_.options.plan.warm_up);
  return view;
}

auto PlanBinding::PerformPlanActions(const PlanActions& actions) -> void {
  for (const auto& action : actions) {
    LogPlanAction(action);
    std::visit([this](const auto& it) { PerformPlanAction(it); }, action);
  }
}

template <class Call, class AnswerHandler>
auto PlanBinding::BeginPlatformCall(Call call, AnswerHandler handle_answer)
    -> void {
  call_queue_->EnqueueCall(
      [this, call, handle_answer, options = call_queue_->options()](
          PlatformClient& client) -> PlatformCallQueue::AnswerTask {
        // Capturing `this` requires that the io_context runs no posted
        // handlers of answers after this object is destroyed.
        return [this, handle_answer, answer = call(client, options)]() {
          PlanActions next;
          handle_answer(answer, GetMonotonicTime(), next);
          PerformPlanActions(next);
        };
      });
}

auto PlanBinding::PerformPlanAction(const LeaseRead& /*action*/) -> void {
  BeginPlatformCall(ReadLeaseObject, [this](const auto& seen, TimePoint now,
                                            PlanActions& out) {
    OnPlanLeaseReadAnswered(executor_, seen, now, random_, out);
  });
}

auto PlanBinding::PerformPlanAction(const LeaseWrite& action) -> void {
  const auto call = [action](auto& client, const auto& options) {
    return WriteLeaseObject(client, options, action);
  };
  BeginPlatformCall(call,
                    [this](const auto& done, TimePoint now, PlanActions& out) {
                      OnPlanLeaseWriteAnswered(executor_, done.answer,
                                               done.version, now, random_, out);
                    });
}

auto PlanBinding::PerformPlanAction(const ReadForUpdate& /*action*/) -> void {
  BeginPlatformCall(ReadStoredConfiguration, [this](const auto& stored,
                                                    TimePoint now,
                                                    PlanActions& out) {
    OnPlanReadAnswered(executor_, stored, MakeCurrentPlanView(true), now, out);
  });
}

auto PlanBinding::PerformPlanAction(const WriteForUpdate& action) -> void {
  const auto call = [action](auto& client, const auto& options) {
    return WriteStoredConfiguration(client, options, action);
  };
  BeginPlatformCall(call, [this](auto answer, TimePoint now, PlanActions& out) {
    OnPlanWriteAnswered(executor_, answer, now, out);
  });
}

auto PlanBinding::PerformPlanAction(const ReadChangesForUpdate& action)
    -> void {
  const auto call = [action](auto& client, const auto& options) {
    return ReadConfigurationChanges(client, options, action.from);
  };
  BeginPlatformCall(
      call, [this](const auto& answer, TimePoint now, PlanActions& out) {
        OnPlanReadChangesAnswered(executor_, answer, now, out);
      });
}

auto PlanBinding::PerformPlanAction(const PlanUpdateAccepted& action) -> void {
  on_accepted_(action.value);
}

auto PlanBinding::AddPlanMetrics(Metrics& metrics) const -> void {
  const auto& counters = executor_.counters;
  const auto add = [&metrics](const char* name, std::uint64_t count) {
    metrics[name] = static_cast<double>(count);
  };
  add("plan_lease_held", HoldsPlanLease(executor_, GetMonotonicTime()) ? 1 : 0);
  add("plan_acts", counters.acts);
  add("plan_rested", counters.rested);
  add("plan_returned", counters.returned);
  add("plan_refused_fenced", counters.refused_fenced);
  add("plan_lease_lapsed", counters.lease_losses);
  add("plan_conflicts", counters.conflicts);
  add("plan_unknown", counters.unknown);
  add("plan_malformed", counters.malformed);
  add("plan_platform_failures",
      counters.platform_failures + executor_.lease.platform_failures);
}

}  // namespace hawthornbank::transport

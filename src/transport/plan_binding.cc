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

/// Between two ticks of the lease.
constexpr std::chrono::milliseconds kTick{250};

auto JoinNames(const std::vector<std::string>& names) -> std::string {
  std::string text;
  for (const auto& it : names) {
    text += (text.empty() ? "" : ",") + it;
  }
  return text;
}

auto LogChange(const PlanAction& action) -> void {
  const auto log = [](const char* event, const std::vector<LogField>& fields) {
    Log(Layer::kCoordination, LogLevel::kInfo, event, fields);
  };
  const auto text = [](Epoch epoch) {
    return std::to_string(ToInteger(epoch));
  };
  if (const auto* gained = std::get_if<LeaseGained>(&action)) {
    log("plan_lease_gained", {{"epoch", text(gained->epoch)}});
  } else if (const auto* lost = std::get_if<LeaseLost>(&action)) {
    log("plan_lease_lost", {{"epoch", text(lost->epoch)}});
  } else if (const auto* acted = std::get_if<PlanActed>(&action)) {
    log("plan_acted", {{"epoch", text(acted->epoch)},
                       {"rested", JoinNames(acted->rested)},
                       {"returned", JoinNames(acted->returned)}});
  } else if (const auto* refused = std::get_if<PlanRefused>(&action)) {
    log("plan_refused",
        {{"reason", std::string(AnswerFor(refused->reason).name)}});
  }
}

auto WriteOutcome(ErrorKind kind) -> UpdateWritten {
  return kind == ErrorKind::kConflict ? UpdateWritten::kConflict
                                      : UpdateWritten::kUnknown;
}

}  // namespace

auto ToLocalTime(WallTime time) -> LocalTime {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  localtime_r(&seconds, &parts);
  constexpr int kFirstYear = 1900;
  const std::chrono::year_month_day date{
      std::chrono::year{kFirstYear + parts.tm_year},
      std::chrono::month{static_cast<unsigned>(parts.tm_mon + 1)},
      std::chrono::day{static_cast<unsigned>(parts.tm_mday)}};
  return LocalTime{.date = date,
                   .time = std::chrono::hours{parts.tm_hour} +
                           std::chrono::minutes{parts.tm_min}};
}

/// Makes the calls in their order and hands the answers to the io_context.
class PlanBinding::Caller {
 public:
  /// Takes an answer on the io_context.
  using Answer = std::function<void()>;
  /// Makes a call on the thread.
  using Job = std::function<Answer(PlatformClient& client)>;

  Caller(asio::io_context& io, PlanBindingOptions options)
      : io_(io),
        options_(std::move(options)),
        client_({.address = options_.platform}) {}

  static auto Start(const std::shared_ptr<Caller>& caller) -> void {
    // A call can't be cut short, so the thread may outlive the binding.
    std::thread([caller]() { caller->Run(); }).detach();
  }

  auto Begin(Job job) -> void {
    {
      const std::lock_guard lock(mutex_);
      jobs_.push_back(std::move(job));
    }
    wake_.notify_one();
  }

  auto Stop() -> void {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    wake_.notify_one();
  }

  auto options() const -> const PlanBindingOptions& { return options_; }

 private:
  auto Run() -> void {
    std::unique_lock lock(mutex_);
    while (true) {
      wake_.wait(lock, [this]() { return stopped_ || !jobs_.empty(); });
      if (stopped_) {
        return;
      }
      const Job job = std::move(jobs_.front());
      jobs_.pop_front();
      lock.unlock();
      Answer answer = job(client_);
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
  std::mutex mutex_;  // Guards jobs_ and stopped_; a leaf lock.
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  bool stopped_ = false;
};

namespace {

/// @return Name of the lease object; the configuration's is the region itself.
auto LeaseName(const PlanBindingOptions& options) -> std::string {
  return options.region + "-" + kPlanLease;
}

auto ReadLease(PlatformClient& client, const PlanBindingOptions& options)
    -> LeaseSeen {
  try {
    const auto object = client.Get(kLeaseKind, LeaseName(options));
    return object ? LeaseSeen{.reached = true,
                              .version = object->version,
                              .record = DecodeLease(object->value)}
                  : LeaseSeen{.reached = true};
  } catch (const Error&) {
    return LeaseSeen{};
  }
}

/// How a write of the lease ended.
struct LeaseOutcome {
  LeaseWritten answer = LeaseWritten::kUnknown;
  std::uint64_t version = 0;
};

auto WriteLease(PlatformClient& client,
                const PlanBindingOptions& options,
                const LeaseWrite& write) -> LeaseOutcome {
  try {
    return {.answer = LeaseWritten::kAccepted,
            .version =
                client.Put(kLeaseKind, LeaseName(options), write.if_version,
                           write.record.operation, EncodeLease(write.record))};
  } catch (const Error& error) {
    return {.answer = error.kind() == ErrorKind::kConflict
                          ? LeaseWritten::kConflict
                          : LeaseWritten::kUnknown};
  }
}

auto ReadStored(PlatformClient& client, const PlanBindingOptions& options)
    -> PlanStored {
  try {
    PlanStored stored{.reached = true};
    if (const auto object = client.Get(kConfigurationKind, options.region)) {
      stored.object =
          UpdateObject{.version = object->version, .value = object->value};
    }
    return stored;
  } catch (const Error&) {
    return PlanStored{};
  }
}

auto WriteStored(PlatformClient& client,
                 const PlanBindingOptions& options,
                 const UpdateWrite& write) -> UpdateWritten {
  try {
    client.Put(kConfigurationKind, options.region, write.if_version,
               write.operation, write.value);
    return UpdateWritten::kAccepted;
  } catch (const Error& error) {
    return WriteOutcome(error.kind());
  }
}

auto ReadBack(PlatformClient& client,
              const PlanBindingOptions& options,
              std::uint64_t from) -> UpdateHistory {
  try {
    const auto result =
        client.Watch(kConfigurationKind, from, std::chrono::milliseconds{0});
    UpdateHistory history{.reached = true, .gone = result.gone};
    for (const auto& it : result.objects) {
      if (it.name == options.region) {
        history.changes.push_back({.version = it.version, .value = it.value});
      }
    }
    return history;
  } catch (const Error&) {
    return UpdateHistory{};
  }
}

}  // namespace

PlanBinding::PlanBinding(asio::io_context& io,
                         const PlanBindingOptions& options,
                         ViewSource view,
                         AcceptedHandler accepted)
    : random_(HashName(options.executor.self)),
      executor_(MakePlanExecutor(options.executor, MonotonicNow(), random_)),
      view_(std::move(view)),
      accepted_(std::move(accepted)),
      caller_(std::make_shared<Caller>(io, options)) {
  Caller::Start(caller_);
}

PlanBinding::~PlanBinding() {
  caller_->Stop();
}

auto PlanBinding::Tick(const Configuration& in_force) -> void {
  const TimePoint now = MonotonicNow();
  if (now < next_tick_) {
    return;
  }
  next_tick_ = now + kTick;
  const bool decides = now >= executor_.next_tick && !executor_.act;
  PlanActions actions;
  TickPlan(executor_, in_force, ViewNow(decides), now, random_, actions);
  Perform(actions);
}

auto PlanBinding::ViewNow(bool with_targets) const -> PlanView {
  PlanView view = view_(with_targets);
  const WallTime now = WallNow();
  view.local = ToLocalTime(now);
  view.local_ahead = ToLocalTime(now + executor_.options.plan.warm_up);
  return view;
}

auto PlanBinding::Perform(const PlanActions& actions) -> void {
  for (const auto& action : actions) {
    LogChange(action);
    std::visit([this](const auto& it) { Do(it); }, action);
  }
}

template <class Call, class Take>
auto PlanBinding::Begin(Call call, Take take) -> void {
  caller_->Begin([this, call, take, options = caller_->options()](
                     PlatformClient& client) -> Caller::Answer {
    // Answers run on the io_context, which doesn't run without this object.
    return [this, take, answer = call(client, options)]() {
      PlanActions next;
      take(answer, MonotonicNow(), next);
      Perform(next);
    };
  });
}

auto PlanBinding::Do(const LeaseRead& /*action*/) -> void {
  Begin(ReadLease, [this](const auto& seen, TimePoint now, PlanActions& out) {
    OnPlanLeaseSeen(executor_, seen, now, random_, out);
  });
}

auto PlanBinding::Do(const LeaseWrite& action) -> void {
  const auto call = [action](auto& client, const auto& options) {
    return WriteLease(client, options, action);
  };
  Begin(call, [this](const auto& done, TimePoint now, PlanActions& out) {
    OnPlanLeaseWritten(executor_, done.answer, done.version, now, random_, out);
  });
}

auto PlanBinding::Do(const UpdateRead& /*action*/) -> void {
  Begin(ReadStored,
        [this](const auto& stored, TimePoint now, PlanActions& out) {
          OnPlanStored(executor_, stored, ViewNow(true), now, out);
        });
}

auto PlanBinding::Do(const UpdateWrite& action) -> void {
  const auto call = [action](auto& client, const auto& options) {
    return WriteStored(client, options, action);
  };
  Begin(call, [this](auto answer, TimePoint now, PlanActions& out) {
    OnPlanWritten(executor_, answer, now, out);
  });
}

auto PlanBinding::Do(const UpdateReadBack& action) -> void {
  const auto call = [action](auto& client, const auto& options) {
    return ReadBack(client, options, action.from);
  };
  Begin(call, [this](const auto& history, TimePoint now, PlanActions& out) {
    OnPlanReadBack(executor_, history, now, out);
  });
}

auto PlanBinding::Do(const PlanActed& action) -> void {
  accepted_(action.value);
}

auto PlanBinding::AddMetrics(Metrics& metrics) const -> void {
  const auto& counters = executor_.counters;
  const auto add = [&metrics](const char* name, std::uint64_t count) {
    metrics[name] = static_cast<double>(count);
  };
  add("plan_lease_held", HoldsPlan(executor_, MonotonicNow()) ? 1 : 0);
  add("plan_acts", counters.acts);
  add("plan_rested", counters.rested);
  add("plan_returned", counters.returned);
  add("plan_refused_fenced", counters.refused_fenced);
  add("plan_lease_lapsed", counters.lease_lapsed);
  add("plan_conflicts", counters.conflicts);
  add("plan_unknown", counters.unknown);
  add("plan_malformed", counters.malformed);
  add("plan_platform_failures",
      counters.platform_failures + executor_.lease.platform_failures);
}

}  // namespace hawthornbank::transport

#include "in_force.h"

#include <httplib.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <optional>
#include <thread>

#include "hawthornbank/error.h"
#include "transport/http_failure.h"

namespace hawthornbank::hawthornctl {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::seconds kCallTimeout{2};
constexpr std::chrono::milliseconds kPollInterval{250};
constexpr int kHttpOk = 200;

auto JoinNamesWithCommas(const std::vector<std::string>& names) -> std::string {
  std::string text;
  for (const auto& it : names) {
    text += (text.empty() ? "" : ", ") + it;
  }
  return text;
}

/// Fetches each balancer's status once and computes a generation's progress.
/// @return The progress, or nothing when no balancer answers.
auto FetchRolloutProgress(const std::vector<Endpoint>& balancers,
                          Generation generation)
    -> std::optional<RolloutProgress> {
  const auto pages = FetchStatusPages(balancers);
  return pages.pages.empty()
             ? std::nullopt
             : std::optional(ComputeRolloutProgress(pages, generation));
}

auto FormatRolloutCount(std::size_t done,
                        std::size_t total,
                        const std::string& host_kind,
                        const std::vector<std::string>& lagging)
    -> std::string {
  return std::to_string(done) + " of " + std::to_string(total) + ' ' +
         host_kind +
         (lagging.empty() ? "" : "; missing: " + JoinNamesWithCommas(lagging));
}

auto DescribeRolloutProgress(const std::optional<RolloutProgress>& progress)
    -> std::string {
  if (!progress) {
    return "no balancer answers";
  }
  const auto& [balancers, hosts] = *progress;
  std::string text =
      "in force on " +
      FormatRolloutCount(balancers.total - balancers.lagging.size(),
                         balancers.total, "balancers", balancers.lagging);
  if (hosts.total > 0) {
    text += ", on " + FormatRolloutCount(hosts.in_force, hosts.total,
                                         "balancers and agents", hosts.lagging);
  }
  return text;
}

}  // namespace

auto FetchHttpBody(Endpoint process, const std::string& path) -> std::string {
  const std::string text = ToString(process);
  httplib::Client client(text.substr(0, text.find(':')), process.port);
  client.set_connection_timeout(kCallTimeout);
  client.set_read_timeout(kCallTimeout);
  const auto result = client.Get(path);
  if (!result || result->status != kHttpOk) {
    throw Error(ErrorKind::kFailed, text + " does not answer: " +
                                        transport::DescribeHttpFailure(result));
  }
  return result->body;
}

// Fetches the status of a process, and warns of entries that can't be used.
auto FetchStatus(Endpoint process) -> ProcessStatus {
  ProcessStatus status = DecodeStatus(FetchHttpBody(process, "/status"));
  if (!status.skipped.empty()) {
    std::cerr << "warning: status of " << ToString(process)
              << ": entries left out: " << status.skipped << '\n';
  }
  return status;
}

auto FetchStatusOfAnyBalancer(const std::vector<Endpoint>& balancers)
    -> ProcessStatus {
  std::string failures;
  for (const auto& it : balancers) {
    try {
      return FetchStatus(it);
    } catch (const Error& error) {
      failures += (failures.empty() ? "" : "\n") + std::string(error.what());
    }
  }
  throw Error(ErrorKind::kFailed, failures);
}

auto FetchStatusPages(const std::vector<Endpoint>& processes) -> StatusPages {
  StatusPages pages;
  for (const auto& it : processes) {
    try {
      pages.pages.push_back(FetchStatus(it));
    } catch (const Error& error) {
      pages.fetch_errors.emplace_back(error.what());
    }
  }
  return pages;
}

auto FindRootBalancer(const StatusPages& pages) -> const ProcessStatus* {
  for (const auto& it : pages.pages) {
    if (it.hosts.total > 0 && it.hosts.root == it.name) {
      return &it;
    }
  }
  return nullptr;
}

auto ListTargetNames(const ProcessStatus& status) -> std::vector<std::string> {
  std::vector<std::string> names;
  names.reserve(status.targets.size());
  for (const auto& it : status.targets) {
    names.push_back(it.name);
  }
  return names;
}

auto ListBalancerNames(const ProcessStatus& status)
    -> std::vector<std::string> {
  std::vector<std::string> names = {status.name};
  for (const auto& it : status.balancers) {
    names.push_back(it.name);
  }
  return names;
}

auto ComputeBalancerProgress(const ProcessStatus& status, Generation generation)
    -> BalancerProgress {
  BalancerProgress in_force;
  bool includes_self = false;
  const auto count = [&](const std::string& name, Generation reached) {
    ++in_force.total;
    if (reached < generation) {
      in_force.lagging.push_back(name + " (generation " +
                                 std::to_string(ToInteger(reached)) + ")");
    }
  };
  for (const auto& it : status.balancers) {
    const bool self = it.name == status.name;
    includes_self = includes_self || self;
    if (self || (it.state != "dead" && it.state != "left")) {
      count(it.name, self ? status.generation : it.generation);
    }
  }
  if (!includes_self) {
    count(status.name, status.generation);
  }
  return in_force;
}

auto ComputeRolloutProgress(const StatusPages& pages, Generation generation)
    -> RolloutProgress {
  RolloutProgress progress{
      .balancers = ComputeBalancerProgress(pages.pages.front(), generation)};
  if (const auto* const root = FindRootBalancer(pages)) {
    progress.hosts = root->hosts;
    if (root->hosts.generation < generation) {
      progress.hosts.in_force = 0;
    }
  }
  return progress;
}

auto IsGenerationInForceEverywhere(const RolloutProgress& progress) -> bool {
  return progress.balancers.lagging.empty() &&
         progress.hosts.in_force == progress.hosts.total;
}

auto FindNewestGeneration(const ProcessStatus& status) -> Generation {
  Generation newest = status.generation;
  for (const auto& it : status.balancers) {
    newest = std::max(newest, it.generation);
  }
  return newest;
}

auto WaitUntilGenerationInForce(const std::vector<Endpoint>& balancers,
                                Generation generation,
                                std::chrono::seconds limit) -> int {
  const auto start = SteadyClock::now();
  std::string last;
  while (true) {
    const auto progress = FetchRolloutProgress(balancers, generation);
    const std::chrono::duration<double> elapsed = SteadyClock::now() - start;
    const std::string description = DescribeRolloutProgress(progress);
    if (description != last) {
      std::cerr << std::fixed << std::setprecision(1) << elapsed.count()
                << " s: " << description << '\n';
      last = description;
    }
    if (progress && IsGenerationInForceEverywhere(*progress)) {
      return 0;
    }
    if (elapsed > limit) {
      std::cerr << "hawthornctl: accepted, but not in force everywhere after "
                << limit.count() << " s: " << description << '\n';
      return LookUpErrorAnswer(ErrorKind::kDeadlineExpired).exit_code;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace hawthornbank::hawthornctl

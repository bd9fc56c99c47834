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
constexpr int kOk = 200;

auto Join(const std::vector<std::string>& names) -> std::string {
  std::string text;
  for (const auto& it : names) {
    text += (text.empty() ? "" : ", ") + it;
  }
  return text;
}

/// Asks once.
/// @return Who lags, or nothing when no balancer answers.
auto AskOnce(const std::vector<Endpoint>& balancers, Generation generation)
    -> std::optional<Progress> {
  const auto pages = FetchPages(balancers);
  return pages.pages.empty() ? std::nullopt
                             : std::optional(ReadProgress(pages, generation));
}

auto DescribePart(std::size_t done,
                  std::size_t total,
                  const std::string& of,
                  const std::vector<std::string>& lagging) -> std::string {
  return std::to_string(done) + " of " + std::to_string(total) + ' ' + of +
         (lagging.empty() ? "" : "; missing: " + Join(lagging));
}

auto DescribeProgress(const std::optional<Progress>& progress) -> std::string {
  if (!progress) {
    return "no balancer answers";
  }
  const auto& [balancers, hosts] = *progress;
  std::string text =
      "in force on " + DescribePart(balancers.total - balancers.lagging.size(),
                                    balancers.total, "balancers",
                                    balancers.lagging);
  if (hosts.total > 0) {
    text += ", on " + DescribePart(hosts.in_force, hosts.total,
                                   "balancers and agents", hosts.lagging);
  }
  return text;
}

}  // namespace

auto FetchText(Endpoint balancer, const std::string& path) -> std::string {
  const std::string text = ToString(balancer);
  httplib::Client client(text.substr(0, text.find(':')), balancer.port);
  client.set_connection_timeout(kCallTimeout);
  client.set_read_timeout(kCallTimeout);
  const auto result = client.Get(path);
  if (!result || result->status != kOk) {
    throw Error(ErrorKind::kFailed, text + " does not answer: " +
                                        transport::DescribeFailure(result));
  }
  return result->body;
}

auto FetchStatus(const std::vector<Endpoint>& balancers) -> ProcessStatus {
  std::string failures;
  for (const auto& it : balancers) {
    try {
      return DecodeStatus(FetchText(it, "/status"));
    } catch (const Error& error) {
      failures += (failures.empty() ? "" : "\n") + std::string(error.what());
    }
  }
  throw Error(ErrorKind::kFailed, failures);
}

auto FetchPages(const std::vector<Endpoint>& processes) -> StatusPages {
  StatusPages pages;
  for (const auto& it : processes) {
    try {
      pages.pages.push_back(DecodeStatus(FetchText(it, "/status")));
    } catch (const Error& error) {
      pages.unanswered.emplace_back(error.what());
    }
  }
  return pages;
}

auto FindRoot(const StatusPages& pages) -> const ProcessStatus* {
  for (const auto& it : pages.pages) {
    if (it.hosts.total > 0 && it.hosts.root == it.name) {
      return &it;
    }
  }
  return nullptr;
}

auto TargetNames(const ProcessStatus& status) -> std::vector<std::string> {
  std::vector<std::string> names;
  names.reserve(status.targets.size());
  for (const auto& it : status.targets) {
    names.push_back(it.name);
  }
  return names;
}

auto BalancerNames(const ProcessStatus& status) -> std::vector<std::string> {
  std::vector<std::string> names = {status.name};
  for (const auto& it : status.balancers) {
    names.push_back(it.name);
  }
  return names;
}

auto CountInForce(const ProcessStatus& status, Generation generation)
    -> InForce {
  InForce in_force;
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

auto ReadProgress(const StatusPages& pages, Generation generation) -> Progress {
  Progress progress{.balancers = CountInForce(pages.pages.front(), generation)};
  if (const auto* const root = FindRoot(pages)) {
    progress.hosts = root->hosts;
    if (root->hosts.generation < generation) {
      progress.hosts.in_force = 0;
    }
  }
  return progress;
}

auto IsEverywhere(const Progress& progress) -> bool {
  return progress.balancers.lagging.empty() &&
         progress.hosts.in_force == progress.hosts.total;
}

auto NewestGeneration(const ProcessStatus& status) -> Generation {
  Generation newest = status.generation;
  for (const auto& it : status.balancers) {
    newest = std::max(newest, it.generation);
  }
  return newest;
}

auto WaitUntilInForce(const std::vector<Endpoint>& balancers,
                      Generation generation,
                      std::chrono::seconds limit) -> int {
  const auto start = SteadyClock::now();
  std::string last;
  while (true) {
    const auto in_force = AskOnce(balancers, generation);
    const std::chrono::duration<double> elapsed = SteadyClock::now() - start;
    const std::string progress = DescribeProgress(in_force);
    if (progress != last) {
      std::cerr << std::fixed << std::setprecision(1) << elapsed.count()
                << " s: " << progress << '\n';
      last = progress;
    }
    if (in_force && IsEverywhere(*in_force)) {
      return 0;
    }
    if (elapsed > limit) {
      std::cerr << "hawthornctl: accepted, but not in force everywhere after "
                << limit.count() << " s: " << progress << '\n';
      return AnswerFor(ErrorKind::kDeadlineExpired).exit_code;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace hawthornbank::hawthornctl

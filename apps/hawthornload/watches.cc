#include "watches.h"

#include <algorithm>
#include <sstream>

namespace hawthornbank::load {
namespace {

constexpr std::chrono::seconds kSilenceLimit{3};
constexpr std::chrono::seconds kReopenDelay{1};
constexpr std::uint8_t kSuccessClass = 2;

auto WatchNeedsReopening(const Watch& watch, Clock::time_point now) -> bool {
  const auto silence = now - watch.last_activity;
  if (watch.failed) {
    return watch.established || silence >= kReopenDelay;
  }
  return silence >= kSilenceLimit;
}

auto OpenWatch(Watches& watches, Watch& watch, coap_context_t* context)
    -> void {
  watch.flow = OpenFlow(context, watch.service->address);
  watch.established = false;
  watch.failed = false;
  watch.target.clear();
  watch.last_activity = Clock::now();
  watch.flow->on_response = [&watches, &watch](const CoapResponse& response) {
    if (response.code_class == kSuccessClass) {
      RecordNotification(watches, watch, response.payload, Clock::now());
    } else {
      watch.failed = true;
    }
  };
  watch.flow->on_failure = [&watch](FlowFailure) { watch.failed = true; };
  const auto& workload = watch.service->workload;
  SendCoapRequest(*watch.flow, {.method = COAP_REQUEST_CODE_GET,
                                .path = workload.watch_path,
                                .queries = {"kind=" + workload.service},
                                .observe = true});
}

}  // namespace

auto RecordNotification(Watches& watches,
                        Watch& watch,
                        const std::string& payload,
                        Clock::time_point now) -> void {
  auto& counters = watches.counters;
  std::istringstream words(payload);
  std::string service;
  std::string target;
  std::uint64_t number = 0;
  words >> service >> target >> number;
  ++counters.notifications;
  watch.last_activity = now;
  if (service != watch.service->workload.service) {
    ++counters.wrong_service;
  }
  if (!watch.established) {
    watch.established = true;
    ++counters.opened;
  } else if (target != watch.target) {
    ++counters.moved;
  } else if (number > watch.last_number + 1) {
    counters.gaps += number - watch.last_number - 1;
  }
  watch.last_number =
      target == watch.target ? std::max(watch.last_number, number) : number;
  watch.target = target;
}

auto OpenWatches(Watches& watches,
                 coap_context_t* context,
                 const LoadOptions& options) -> void {
  std::vector<const ServiceUnderLoad*> services;
  for (const auto& it : options.services) {
    if (!it.workload.watch_path.empty()) {
      services.push_back(&it);
    }
  }
  for (std::uint32_t n = 0; n < options.watches && !services.empty(); ++n) {
    auto watch = std::make_unique<Watch>();
    watch->service = services[n % services.size()];
    OpenWatch(watches, *watch, context);
    watches.all.push_back(std::move(watch));
  }
}

auto ReopenFailedOrSilentWatches(Watches& watches,
                                 coap_context_t* context,
                                 Clock::time_point now) -> void {
  for (const auto& it : watches.all) {
    if (!WatchNeedsReopening(*it, now)) {
      continue;
    }
    if (it->established) {
      ++watches.counters.broken;
    } else {
      ++watches.counters.refused;
    }
    OpenWatch(watches, *it, context);
  }
}

}  // namespace hawthornbank::load

#include <algorithm>
#include <utility>
#include <vector>

#include "transport/clock.h"
#include "transport/node_gossip.h"
#include "transport/node_host.h"

namespace hawthornbank::transport {

// Returns the seeds that aren't known, or only as having shut down: they may
// have started again. While no balancer is known, the result also contains the
// balancers that the store lists.
auto NodeGossip::ListUnknownSeeds(TimePoint now) const
    -> std::vector<Endpoint> {
  std::vector<Endpoint> unknown;
  const auto add = [&](Endpoint it) {
    if (it != fleet_.self.control && !KnowsHost(fleet_, it, now)) {
      unknown.push_back(it);
    }
  };
  const auto& seeds = host_.settings().seeds;
  std::for_each(seeds.begin(), seeds.end(), add);
  if (!KnowsAnyBalancer(now)) {
    std::for_each(listed_balancers_.begin(), listed_balancers_.end(), add);
  }
  return unknown;
}

// Announces this node to the seeds that it doesn't know. While it knows no
// balancer, it asks one of them at a time for records.
auto NodeGossip::SendToUnknownSeeds(TimePoint now) -> void {
  const std::vector<Endpoint> seeds = ListUnknownSeeds(now);
  HostAnnouncement announcement = MakeAnnouncement(now);
  const bool is_searching = !KnowsAnyBalancer(now);
  for (std::size_t n = 0; n < seeds.size(); ++n) {
    announcement.wants_roster =
        is_searching &&
        n == (search_round_ + fleet_.self.control.address) % seeds.size();
    host_.SendControlDatagram(DatagramKind::kAnnouncement, seeds[n],
                              EncodeNodeMessage(announcement));
  }
  ++search_round_;
}

// Reads the store's list of balancers if a read is due, because all seeds may
// stay down for a long time while other balancers run.
auto NodeGossip::RequestBalancersFromRegistry(TimePoint now) -> void {
  RegistryClient& registry = host_.registry_client();
  if (now < next_registry_read_ || registry.HasCallInFlight()) {
    return;
  }
  next_registry_read_ = now + kRegistryRetryInterval;
  has_asked_registry_ = true;
  registry.RequestBalancerList([this](const std::vector<Endpoint>& hosts) {
    const TimePoint then = GetMonotonicTime();
    host_.event_log().WriteEvent(EventKind::kStateChange, then,
                                 "registry_read balancers={}", hosts.size());
    has_read_registry_ = true;
    listed_balancers_ = hosts;
    AnnounceSelf(then);
    if (IsBalancer()) {
      JoinListedBalancers(then);
    }
  });
}

// Whether a starting balancer that already knows others still has to read the
// list of balancers.
auto NodeGossip::MustReadRegistry(TimePoint now) const -> bool {
  return !has_read_registry_ &&
         now - host_.start_time() < ComputeSettlingTime(size_);
}

// Announces this balancer to some of the listed balancers that it doesn't know
// yet, and asks the first of them for records.
auto NodeGossip::JoinListedBalancers(TimePoint now) -> void {
  HostAnnouncement announcement = MakeAnnouncement(now);
  const auto receivers =
      ListBalancersToJoin(fleet_, listed_balancers_, host_.random());
  for (std::size_t n = 0; n < receivers.size(); ++n) {
    announcement.wants_roster = n < kRostersAtJoin;
    host_.SendControlDatagram(DatagramKind::kAnnouncement, receivers[n],
                              EncodeNodeMessage(announcement));
  }
}

}  // namespace hawthornbank::transport

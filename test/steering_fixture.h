#ifndef HAWTHORNBANK_TEST_STEERING_FIXTURE_H_
#define HAWTHORNBANK_TEST_STEERING_FIXTURE_H_

#include <cstdint>

#include "hawthornbank/steering.h"

/// @file
/// A balancer's steering with one route to one service, for tests.
namespace hawthornbank::test {

inline constexpr std::uint32_t kService = 77;
inline constexpr Endpoint kAddress{.address = 0xC6120001, .port = 443};

/// @param n Number of an agent, from 1 on.
/// @return The agent's control endpoint.
inline auto MakeAgentEndpoint(std::uint32_t n) -> Endpoint {
  return Endpoint{.address = 0x0A010000 + n, .port = 7000};
}

/// Sets the balancer's own record and a route from kAddress to kService, and
/// merges the records of agents whose targets are ready.
/// @param steering State of a balancer.
/// @param agents Number of agents.
/// @param now Current time.
inline auto SetUpSteering(Steering& steering,
                          std::uint32_t agents,
                          TimePoint now) -> void {
  steering.fleet.self = {
      .control = {.address = 1, .port = 7000}, .zone = "a", .incarnation = 1};
  steering.fleet.knows_agents_since = now - 2 * kFlowLifetime;
  steering.routes.version = 3;
  steering.routes.routes[kAddress] = Route{.shares = {{.service = kService}}};
  for (std::uint32_t n = 1; n <= agents; ++n) {
    MergeHostRecord(steering.fleet,
                    HostRecord{.control = MakeAgentEndpoint(n),
                               .role = HostRole::kAgent,
                               .service = kService,
                               .zone = "a",
                               .incarnation = 1,
                               .revision = 1,
                               .target = {.state = TargetState::kReady,
                                          .started_at_ms = 5,
                                          .slots = 3}},
                    Duration::zero(), now);
  }
}

}  // namespace hawthornbank::test

#endif  // HAWTHORNBANK_TEST_STEERING_FIXTURE_H_

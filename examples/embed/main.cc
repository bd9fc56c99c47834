#include <hawthornbank/routing.h>

#include <iostream>

using namespace hawthornbank;

// Routes one packet without a socket or a clock.
auto main() -> int {
  const Endpoint address = ParseEndpoint("10.0.0.1:5683");
  const Endpoint agent = ParseEndpoint("10.1.0.1:7000");
  const TimePoint now{std::chrono::seconds{100}};

  RoutingTable table{.generation = Generation{1}};
  table.live_agents.emplace(agent, TimePoint{});
  table.services.emplace(
      ServiceAddress{.address = address, .transport = Transport::kUdp},
      RoutedService{.id = ServiceId{1},
                    .candidates = {{.id = TargetId{1}, .agent = agent}}});

  FlowCache cache(1000);
  Counters counters;
  const Bytes bytes =
      BuildUdpPacket(ParseEndpoint("10.9.0.1:4000"), address, Bytes(4, 0));
  const auto decision = RoutePacket(table, cache, {.last_contact = now},
                                    ParsePacket(bytes), now, counters);
  std::cout << "to " << ToString(decision.agent) << '\n';
  return decision.agent == agent ? 0 : 1;
}

#include "protocol/configuration_diff.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

auto MakeConfiguration() -> Configuration {
  return Configuration{
      .services = {Service{.id = ServiceId{1},
                           .name = "fitquote",
                           .address = ParseEndpoint("10.0.0.1:5"),
                           .zones = {"a", "b"},
                           .target_count = 7}},
      .draining = {"fitquote-1"},
      .demand = {DemandRow{.service = ServiceId{1},
                           .day = "daily",
                           .start = std::chrono::minutes{450},
                           .requests_per_second = 12.5}}};
}

auto DiffText(const Configuration& before, const Configuration& after)
    -> std::string {
  std::string text;
  for (const auto& it : DiffConfigurations(before, after)) {
    text += ToText(it) + "\n";
  }
  return text;
}

}  // namespace

TEST_GROUP(ConfigurationDiff){};

TEST(ConfigurationDiff, OfEqualsIsEmpty) {
  auto other = MakeConfiguration();
  other.generation = Generation{9};
  other.author = "ana";
  STRCMP_EQUAL("", DiffText(MakeConfiguration(), other).c_str());
}

TEST(ConfigurationDiff, NamesEachDifference) {
  const auto before = MakeConfiguration();
  auto after = before;
  after.services[0].target_count = 8;
  after.draining = {"fitquote-2"};
  after.stopping = {"entry-1"};
  after.demand[0].requests_per_second = 13;
  after.demand.push_back(after.demand[0]);
  after.demand[1].day = "2026-12-25";
  STRCMP_EQUAL(
      "~ service fitquote: targets 7 -> 8\n"
      "+ service fitquote: demand 2026-12-25 07:30 13\n"
      "~ service fitquote: demand daily 07:30 12.5 -> 13\n"
      "~ target fitquote-1: state draining -> serving\n"
      "~ target fitquote-2: state serving -> draining\n"
      "~ balancer entry-1: state serving -> stopping\n",
      DiffText(before, after).c_str());
}

TEST(ConfigurationDiff, NamesDroppedServices) {
  const std::string text = DiffText(MakeConfiguration(), {});
  CHECK(text.find("- service fitquote: address 10.0.0.1:5\n") !=
        std::string::npos);
  CHECK(text.find("- service fitquote: demand daily 07:30 12.5\n") !=
        std::string::npos);
}

TEST(ConfigurationDiff, NamesRestingTargetsAndZonesOfAHoliday) {
  const Configuration before{.resting = {"fitquote-1"}};
  Configuration after{.services = {Service{.id = ServiceId{1}, .name = "a"}},
                      .resting = {"fitquote-2"}};
  after.demand = {DemandRow{.service = ServiceId{1},
                            .day = "2026-12-25",
                            .start = std::chrono::hours{7},
                            .requests_per_second = 3,
                            .zones = {"x", "y"}}};
  const std::string text = DiffText(before, after);
  for (const auto* line : {"~ target fitquote-1: plan resting -> serving\n",
                           "~ target fitquote-2: plan serving -> resting\n",
                           "+ service a: demand 2026-12-25 07:00 3 in x,y\n"}) {
    STRCMP_CONTAINS(line, text.c_str());
  }
}

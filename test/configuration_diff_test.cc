#include "protocol/configuration_diff.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

namespace {

auto MakeExampleConfiguration() -> Configuration {
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

auto FormatConfigurationDiff(const Configuration& before,
                             const Configuration& after) -> std::string {
  std::string text;
  for (const auto& it : DiffConfigurations(before, after)) {
    text += FormatConfigurationChange(it) + "\n";
  }
  return text;
}

}  // namespace

TEST_GROUP(ConfigurationDiff){};

TEST(ConfigurationDiff, IgnoresGenerationAndAuthor) {
  auto other = MakeExampleConfiguration();
  other.generation = Generation{9};
  other.author = "ana";
  STRCMP_EQUAL(
      "", FormatConfigurationDiff(MakeExampleConfiguration(), other).c_str());
}

TEST(ConfigurationDiff, ListsChangedFieldsDemandAndStates) {
  const auto before = MakeExampleConfiguration();
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
      FormatConfigurationDiff(before, after).c_str());
}

TEST(ConfigurationDiff, ListsFieldsAndDemandOfARemovedService) {
  const std::string text =
      FormatConfigurationDiff(MakeExampleConfiguration(), {});
  CHECK(text.find("- service fitquote: address 10.0.0.1:5\n") !=
        std::string::npos);
  CHECK(text.find("- service fitquote: demand daily 07:30 12.5\n") !=
        std::string::npos);
}

TEST(ConfigurationDiff, ListsRestingTargetsAndHolidayZones) {
  const Configuration before{.resting = {"fitquote-1"}};
  Configuration after{.services = {Service{.id = ServiceId{1}, .name = "a"}},
                      .resting = {"fitquote-2"}};
  after.demand = {DemandRow{.service = ServiceId{1},
                            .day = "2026-12-25",
                            .start = std::chrono::hours{7},
                            .requests_per_second = 3,
                            .zones = {"x", "y"}}};
  const std::string text = FormatConfigurationDiff(before, after);
  for (const auto* line : {"~ target fitquote-1: plan resting -> serving\n",
                           "~ target fitquote-2: plan serving -> resting\n",
                           "+ service a: demand 2026-12-25 07:00 3 in x,y\n"}) {
    STRCMP_CONTAINS(line, text.c_str());
  }
}

TEST(ConfigurationDiff, ListsEachChangedServiceField) {
  const auto before = MakeExampleConfiguration();
  const auto diff = [&before](auto edit) {
    auto after = before;
    edit(after.services[0]);
    return FormatConfigurationDiff(before, after);
  };
  STRCMP_EQUAL(
      "~ service fitquote: id 1 -> 2\n",
      FormatConfigurationDiff(
          {.services = {Service{.id = ServiceId{1}, .name = "fitquote"}}},
          {.services = {Service{.id = ServiceId{2}, .name = "fitquote"}}})
          .c_str());
  STRCMP_EQUAL(
      "~ service fitquote: transport udp -> tcp\n",
      diff([](Service& it) { it.transport = Transport::kTcp; }).c_str());
  STRCMP_EQUAL("~ service fitquote: address 10.0.0.1:5 -> 10.0.0.1:6\n",
               diff([](Service& it) {
                 it.address = ParseEndpoint("10.0.0.1:6");
               }).c_str());
  STRCMP_EQUAL("~ service fitquote: zones a,b -> a\n",
               diff([](Service& it) { it.zones = {"a"}; }).c_str());
  STRCMP_EQUAL("~ service fitquote: slots 3 -> 4\n",
               diff([](Service& it) { it.slots = 4; }).c_str());
  STRCMP_EQUAL("~ service fitquote: connections 2000 -> 9\n",
               diff([](Service& it) { it.max_connections = 9; }).c_str());
  STRCMP_EQUAL("~ service fitquote: weight 100 -> 50\n",
               diff([](Service& it) { it.weight = 50; }).c_str());
  STRCMP_EQUAL("~ service fitquote: counts_double no -> yes\n",
               diff([](Service& it) {
                 it.non_idempotent_counts_double = true;
               }).c_str());
  STRCMP_EQUAL("~ service fitquote: drain_limit_s 3600 -> 60\n",
               diff([](Service& it) {
                 it.drain_limit = std::chrono::seconds{60};
               }).c_str());
}

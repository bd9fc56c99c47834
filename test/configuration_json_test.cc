#include "hawthornbank/configuration.h"
#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

TEST_GROUP(ConfigurationJson){};

TEST(ConfigurationJson, RoundTripKeepsEveryField) {
  const Configuration configuration{
      .generation = Generation{7},
      .operation = "op-1",
      .author = "ana",
      .services = {Service{.id = ServiceId{1},
                           .name = "fitquote",
                           .address = ParseEndpoint("10.0.0.1:5683"),
                           .zones = {"civic-hall"}}},
      .draining = {"fitquote-3"},
      .stopping = {"entry-1"},
      .resting = {"fitquote-2", "fitquote-4"},
      .plan_epoch = Epoch{6},
      .demand = {DemandRow{.service = ServiceId{1},
                           .day = "daily",
                           .start = std::chrono::minutes{420},
                           .requests_per_second = 12.5,
                           .zones = {"civic-hall"}}},
      .last_service_id = 1,
  };
  CHECK(configuration ==
        DecodeConfiguration(EncodeConfiguration(configuration)));
}

TEST(ConfigurationJson, RejectsInvalidInput) {
  for (const auto* text : {"", "{}", "[]", "{\"generation\":\"x\"}"}) {
    CHECK_THROWS(Error, DecodeConfiguration(text));
  }
}

TEST(ConfigurationJson, ReadsOldConfigurationsWithoutPlanFields) {
  const auto configuration = DecodeConfiguration(
      R"({"generation":3,"operation":"o","author":"a","services":[],)"
      R"("draining":["t-1"],"stopping":[],"demand":[{"service":1,)"
      R"("day":"daily","start_min":0,"requests_per_second":1}],)"
      R"("last_service_id":1})");
  CHECK(configuration.resting.empty());
  CHECK(Epoch{} == configuration.plan_epoch);
  CHECK(configuration.demand.at(0).zones.empty());
}

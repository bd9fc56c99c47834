#include "hawthornbank/configuration.h"
#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

TEST_GROUP(ConfigurationJson){};

TEST(ConfigurationJson, RoundTrip) {
  const Configuration configuration{
      .generation = Generation{7},
      .operation = "op-1",
      .author = "ana",
      .services = {Service{.id = ServiceId{1},
                           .name = "fitquote",
                           .address = ParseEndpoint("10.0.0.1:5683"),
                           .zones = {"civic-hall"}}},
      .draining = {"fitquote-3"},
      .demand = {DemandRow{.service = ServiceId{1},
                           .day = "daily",
                           .start = std::chrono::minutes{420},
                           .requests_per_second = 12.5}},
      .last_service_id = 1,
  };
  CHECK(configuration ==
        DecodeConfiguration(EncodeConfiguration(configuration)));
}

TEST(ConfigurationJson, RejectsWrongInput) {
  for (const auto* text : {"", "{}", "[]", "{\"generation\":\"x\"}"}) {
    CHECK_THROWS(Error, DecodeConfiguration(text));
  }
}

#include "protocol/status_json.h"

#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

TEST_GROUP(StatusJson){};

TEST(StatusJson, RoundTripKeepsEveryField) {
  const ProcessStatus status{
      .role = "balancer",
      .name = "entry-1",
      .zone = "civic-hall",
      .generation = Generation{4},
      .confirmed = true,
      .targets = {{.name = "fitquote-1",
                   .service = "fitquote",
                   .state = "serving",
                   .connections = 12,
                   .slots_busy = 2}},
      .balancers = {{.name = "entry-1", .generation = Generation{4}}},
      .hosts = {.root = "entry-1",
                .generation = Generation{4},
                .total = 13,
                .in_force = 12,
                .lagging = {"fitquote-2"}},
      .counters = {{"refused.overloaded", 3}},
  };
  const auto copy = DecodeStatus(EncodeStatus(status));
  STRCMP_EQUAL(EncodeStatus(status).c_str(), EncodeStatus(copy).c_str());
  LONGS_EQUAL(2, copy.targets[0].slots_busy);
  LONGS_EQUAL(3, copy.counters.at("refused.overloaded"));
  LONGS_EQUAL(12, copy.hosts.in_force);
  STRCMP_EQUAL("fitquote-2", copy.hosts.lagging.at(0).c_str());
}

TEST(StatusJson, ReadsOldStatusWithoutHosts) {
  const auto status = DecodeStatus(
      R"({"role":"balancer","name":"entry-1","zone":"","generation":1,
          "confirmed":true,"targets":[],"balancers":[],"counters":{}})");
  LONGS_EQUAL(0, status.hosts.total);
}

TEST(StatusJson, RejectsInvalidInput) {
  for (const auto* text : {"", "{}", "[]", "{\"role\":1}"}) {
    CHECK_THROWS(Error, DecodeStatus(text));
  }
}

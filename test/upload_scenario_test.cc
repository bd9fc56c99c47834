#include "common/upload_scenario.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank::bench;

TEST_GROUP(UploadScenario) {
  UploadScenario scenario{.seed = 5, .uploads = 20, .parts = 6};
};

TEST(UploadScenario, UploadsThroughAGateCompleteOrFailWithoutCorruption) {
  const auto result = RunUploadScenario(scenario);
  LONGS_EQUAL(20, result.whole + result.errors);
  LONGS_EQUAL(0, result.broken);
  LONGS_EQUAL(0, result.mixed);
  LONGS_EQUAL(0, result.doubled_parts);
  CHECK(result.resumed >= 15);
}

TEST(UploadScenario, WithoutAGatePartsRunTwiceAndMostUploadsFail) {
  scenario.has_gate = false;
  const auto result = RunUploadScenario(scenario);
  CHECK(result.doubled_parts > 0);
  CHECK(result.errors > 10);
}

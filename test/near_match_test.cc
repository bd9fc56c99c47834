#include "protocol/near_match.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

TEST_GROUP(NearMatch){};

TEST(NearMatch, FindsTheNearestName) {
  const std::vector<std::string> known = {"packets", "peer", "metrics"};
  STRCMP_EQUAL("packets", NearMatch("packet", known).c_str());
  STRCMP_EQUAL("peer", NearMatch("per", known).c_str());
  STRCMP_EQUAL("metrics", NearMatch("metircs", known).c_str());
  STRCMP_EQUAL("metrics", NearMatch("met", known).c_str());
}

TEST(NearMatch, SuggestsNothingWhenNoneIsNear) {
  STRCMP_EQUAL("", NearMatch("colour", {"packets", "peer"}).c_str());
  STRCMP_EQUAL("", Suggestion("", {"packets"}).c_str());
}

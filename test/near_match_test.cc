#include "protocol/near_match.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;

TEST_GROUP(NearMatch){};

TEST(NearMatch, FindsTheNameWithTheSmallestEditDistanceOrTheTypedPrefix) {
  const std::vector<std::string> known = {"packets", "peer", "metrics"};
  STRCMP_EQUAL("packets", FindNearestName("packet", known).c_str());
  STRCMP_EQUAL("peer", FindNearestName("per", known).c_str());
  STRCMP_EQUAL("metrics", FindNearestName("metircs", known).c_str());
  STRCMP_EQUAL("metrics", FindNearestName("met", known).c_str());
}

TEST(NearMatch, SuggestsNothingWhenNoNameIsSimilar) {
  STRCMP_EQUAL("", FindNearestName("colour", {"packets", "peer"}).c_str());
  STRCMP_EQUAL("", FormatSuggestion("", {"packets"}).c_str());
}

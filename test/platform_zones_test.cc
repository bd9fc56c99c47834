#include <CppUTest/TestHarness.h>

#include "zones.h"

using namespace hawthornbank;

namespace {

auto Decode(std::string body, std::string era = "4")
    -> transport::ZonesResponse {
  return platform::DecodeZonesResponse(transport::HttpResponse{
      .status = 200, .header = std::move(era), .body = std::move(body)});
}

}  // namespace

TEST_GROUP(PlatformZones){};

TEST(PlatformZones, EntryTakesAZoneOutUntilItIsBeingDeleted) {
  const auto answer = Decode(
      R"({"items":[{"meta":{"name":"b","revision":3},"spec":{}},)"
      R"({"meta":{"name":"a","is_deleting":false},"spec":{},"status":{}},)"
      R"({"meta":{"name":"c","is_deleting":true},"spec":{}}],)"
      R"("has_more":false,"as_of":31})");
  CHECK(answer.is_decoded);
  CHECK(answer.zones.position == (StorePosition{.era = 4, .revision = 31}));
  CHECK(answer.zones.zones == (std::vector<std::string>{"a", "b"}));
  STRCMP_EQUAL("", answer.skipped.c_str());
}

TEST(PlatformZones, EmptyListTellsThePosition) {
  const auto answer = Decode(R"({"items":[],"has_more":false,"as_of":31})");
  CHECK(answer.is_decoded);
  CHECK(answer.zones.zones.empty());
  CHECK(AreZonesKnown(answer.zones));
}

TEST(PlatformZones, MalformedEntriesAreNamedAndTheOthersHold) {
  const auto answer = Decode(
      R"({"items":[7,{"meta":{"name":5}},{"meta":{"name":""}},{"spec":{}},)"
      R"({"meta":{"name":"d","is_deleting":"no"}},)"
      R"({"meta":{"name":"b"},"spec":"x"}],"as_of":31})");
  CHECK(answer.is_decoded);
  CHECK(answer.zones.zones == (std::vector<std::string>{"b"}));
  STRCMP_CONTAINS("without a name", answer.skipped.c_str());
  STRCMP_CONTAINS("d: is_deleting", answer.skipped.c_str());
}

// Guards against zones that stay in service because another writer left an
// entry that can't be parsed.
TEST(PlatformZones, EntryThatCantBeParsedCostsOnlyItself) {
  for (const std::string& odd : std::vector<std::string>{
           R"({"meta":{"name":"odd","revision":1e999}})",
           R"({"meta":{"name":"odd\n"}})",
           "{\"meta\":{\"name\":\"odd\"},\"spec\":\"\xff\"}",
           R"({"meta":{"name":"odd"},"spec":)" + std::string(300'000, '[') +
               std::string(300'000, ']') + "}"}) {
    const auto answer = Decode(R"({"items":[)" + odd +
                               R"(,{"meta":{"name":"b"}}],"as_of":31})");
    CHECK(answer.is_decoded);
    CHECK(answer.zones.zones == (std::vector<std::string>{"b"}));
    STRCMP_CONTAINS("odd", answer.skipped.c_str());
  }
}

// Guards against an order on a further page that isn't read.
TEST(PlatformZones, NextPageBeginsAfterTheLastReadableName) {
  const auto answer = Decode(
      R"({"items":[{"meta":{"name":"a"}},{"meta":{"name":"b\u00f8","x":1e999}},)"
      R"({"spec":{}}],"has_more":true,"as_of":31})");
  STRCMP_EQUAL("b\u00f8", answer.next_after.c_str());
  CHECK(
      Decode(R"({"items":[{"meta":{"name":"a"}}],"has_more":false,"as_of":3})")
          .next_after.empty());
  CHECK(
      Decode(R"({"items":[{"meta":{"name":"a"}}],"has_more":"yes","as_of":3})")
          .next_after.empty());
  CHECK(Decode(R"({"items":[],"has_more":true,"as_of":3})").next_after.empty());
}

TEST(PlatformZones, NamesMayBeAnyText) {
  const auto answer =
      Decode(R"({"items":[{"meta":{"name":"førde 2"}}],"as_of":31})");
  CHECK(answer.zones.zones == (std::vector<std::string>{"førde 2"}));
  STRCMP_EQUAL("", answer.skipped.c_str());
}

TEST(PlatformZones, UnreadableResponsesAreFailures) {
  CHECK_FALSE(Decode(R"({"items":[],"as_of":"31"})").is_decoded);
  CHECK_FALSE(Decode(R"({"items":7,"as_of":31})").is_decoded);
  CHECK_FALSE(Decode(R"({"as_of":31})").is_decoded);
  CHECK_FALSE(Decode("[").is_decoded);
  CHECK_FALSE(Decode(R"({"items":[],"as_of":31})", "x").is_decoded);
  CHECK_FALSE(
      platform::DecodeZonesResponse(transport::HttpResponse{.status = 503})
          .is_decoded);
}

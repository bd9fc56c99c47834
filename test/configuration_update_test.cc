#include "hawthornbank/configuration_update.h"

#include "common/configuration_fixture.h"
#include "protocol/configuration_diff.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using bench::ConfigurationFixture;

namespace {

auto MakeWeightUpdate(const std::string& author, std::uint32_t weight)
    -> ConfigurationUpdate {
  return ConfigurationUpdate{
      .options = {.operation = author,
                  .author = author,
                  .edit = [weight](Configuration& configuration) {
                    configuration.services.at(0).weight = weight;
                  }}};
}

/// Makes the platform calls of an update, beginning with `step`, until the
/// update has ended or 50 steps are done.
auto RunUpdateToEnd(ConfigurationFixture& fixture,
                    ConfigurationUpdate& update,
                    UpdateStep step) -> UpdateResult {
  for (int n = 0; n < 50; ++n) {
    if (std::holds_alternative<ReadForUpdate>(step)) {
      step = OnConfigurationObjectRead(update, fixture.ReadCurrentObject());
    } else if (const auto* write = std::get_if<WriteForUpdate>(&step)) {
      step =
          OnUpdateWriteAnswered(update, fixture.WriteIfVersionMatches(*write));
    } else if (const auto* back = std::get_if<ReadChangesForUpdate>(&step)) {
      step = OnUpdateChangesRead(update, fixture.ReadStoredChanges(back->from));
    } else {
      return std::get<UpdateResult>(step);
    }
  }
  FAIL("the update has not ended after 50 steps");
  return {};
}

}  // namespace

TEST_GROUP(ConfigurationUpdate) {
  ConfigurationFixture fixture{{}};
  ConfigurationUpdate ana = MakeWeightUpdate("ana", 50);
  ConfigurationUpdate ben = MakeWeightUpdate("ben", 70);

  void setup() override {
    fixture.StoreOnPlatform(EncodeConfiguration(
        {.generation = Generation{1},
         .operation = "op-0",
         .author = "eve",
         .services = {Service{.id = ServiceId{1}, .name = "fitquote"}}}));
  }
};

TEST(ConfigurationUpdate, UpdateRaisesTheGenerationByOne) {
  const auto done = RunUpdateToEnd(fixture, ana, ReadForUpdate{});
  CHECK(done.outcome == UpdateOutcome::kAccepted);
  const auto stored = DecodeConfiguration(fixture.platform.history[1].value);
  CHECK(stored.generation == Generation{2});
  STRCMP_EQUAL("ana", stored.author.c_str());
  LONGS_EQUAL(50, stored.services[0].weight);
}

TEST(ConfigurationUpdate, WriteWithALostAnswerIsReadBackInsteadOfRepeated) {
  fixture.platform.lose_next_answer = true;
  const auto done = RunUpdateToEnd(fixture, ana, ReadForUpdate{});
  CHECK(done.outcome == UpdateOutcome::kAccepted);
  LONGS_EQUAL(2, fixture.platform.history.size());
}

TEST(ConfigurationUpdate, WriteWithALostAnswerIsFoundDespiteALaterWrite) {
  auto step = OnConfigurationObjectRead(ana, fixture.ReadCurrentObject());
  fixture.platform.lose_next_answer = true;
  step = OnUpdateWriteAnswered(
      ana, fixture.WriteIfVersionMatches(std::get<WriteForUpdate>(step)));
  RunUpdateToEnd(fixture, ben, ReadForUpdate{});
  const auto done = RunUpdateToEnd(fixture, ana, step);
  CHECK(done.outcome == UpdateOutcome::kAccepted);
  LONGS_EQUAL(3, fixture.platform.history.size());
}

TEST(ConfigurationUpdate, LosingUpdateReportsTheWinningChange) {
  const auto step = OnConfigurationObjectRead(ana, fixture.ReadCurrentObject());
  RunUpdateToEnd(fixture, ben, ReadForUpdate{});
  const auto done = RunUpdateToEnd(fixture, ana, step);
  CHECK(done.outcome == UpdateOutcome::kConflict);
  STRCMP_EQUAL("ben", done.configuration.author.c_str());
  STRCMP_EQUAL("ben", done.configuration.operation.c_str());
  LONGS_EQUAL(1, done.winner_changes.size());
  STRCMP_EQUAL("~ service fitquote: weight 100 -> 70",
               done.winner_changes[0].c_str());
  LONGS_EQUAL(2, fixture.platform.history.size());
}

TEST(ConfigurationUpdate, LostWriteRequestIsSentAgain) {
  const auto step = OnConfigurationObjectRead(ana, fixture.ReadCurrentObject());
  CHECK(std::holds_alternative<WriteForUpdate>(step));
  const auto done = RunUpdateToEnd(
      fixture, ana, OnUpdateWriteAnswered(ana, UpdateWriteAnswer::kUnknown));
  CHECK(done.outcome == UpdateOutcome::kAccepted);
  LONGS_EQUAL(2, fixture.platform.history.size());
}

TEST(ConfigurationUpdate, WriteDuringAnOutageEndsAsUnknown) {
  const auto step = OnConfigurationObjectRead(ana, fixture.ReadCurrentObject());
  fixture.platform.down = true;
  CHECK(RunUpdateToEnd(fixture, ana, step).outcome == UpdateOutcome::kUnknown);
}

TEST(ConfigurationUpdate, ExpiredHistoryEndsAsUnknownOnlyAfterALostAnswer) {
  OnConfigurationObjectRead(ana, fixture.ReadCurrentObject());
  OnUpdateWriteAnswered(ana, UpdateWriteAnswer::kUnknown);
  const auto unknown = OnUpdateChangesRead(
      ana, ReadChangesAnswer{.was_answered = true, .history_expired = true});
  CHECK(std::get<UpdateResult>(unknown).outcome == UpdateOutcome::kUnknown);
  OnConfigurationObjectRead(ben, fixture.ReadCurrentObject());
  OnUpdateWriteAnswered(ben, UpdateWriteAnswer::kConflict);
  const auto lost = OnUpdateChangesRead(
      ben, ReadChangesAnswer{.was_answered = true, .history_expired = true});
  CHECK(std::get<UpdateResult>(lost).outcome == UpdateOutcome::kConflict);
}

TEST(ConfigurationUpdate, DescriptionListsServiceDrainingAndRestingChanges) {
  const Configuration before{
      .services = {Service{.name = "a"},
                   Service{.name = "b", .zones = {"civic-hall"}}}};
  Configuration after = before;
  after.services[1].name = std::string("c");
  after.draining = {"a-1"};
  after.resting = {"a-2"};
  const auto lines = DescribeConfigurationChanges(before, after);
  const auto fields = ListServiceFields(Service{}).size();
  LONGS_EQUAL(2 * fields + 2, lines.size());
  for (std::size_t n = 0; n < fields; ++n) {
    STRCMP_CONTAINS("- service b: ", lines[n].c_str());
    STRCMP_CONTAINS("+ service c: ", lines[fields + n].c_str());
  }
  STRCMP_EQUAL("~ target a-1: state serving -> draining",
               lines[2 * fields].c_str());
  STRCMP_EQUAL("~ target a-2: plan serving -> resting", lines.back().c_str());
}

TEST(ConfigurationUpdate, OutageAfterARejectedWriteEndsAsConflict) {
  OnConfigurationObjectRead(ana, fixture.ReadCurrentObject());
  RunUpdateToEnd(fixture, ben, ReadForUpdate{});
  const auto step = OnUpdateWriteAnswered(ana, UpdateWriteAnswer::kConflict);
  fixture.platform.down = true;
  const auto done = RunUpdateToEnd(fixture, ana, step);
  CHECK(done.outcome == UpdateOutcome::kConflict);
  CHECK(done.configuration.generation == Generation{});
}

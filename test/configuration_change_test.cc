#include "transport/configuration_change.h"

#include <utility>

#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::transport;

namespace {

/// In-memory platform that keeps every version of one object and simulates
/// failures.
struct FakePlatform {
  std::vector<PlatformObject> history;
  int writes = 0;
  int failing_reads = 0;    ///< Number of reads that fail after a write.
  bool lose_write = false;  ///< Whether every write is lost.
  bool lose_first_write = false;
  /// Whether writes take effect but get no answer.
  bool lose_answer = false;
  bool is_history_expired = false;  ///< Whether watch() has no history.
  std::function<void()> before_write = [] {};
  std::function<void()> after_write = [] {};
  std::chrono::milliseconds waited{0};
};

auto StoreConfiguration(FakePlatform& platform,
                        const Configuration& configuration) -> void {
  platform.history.push_back({.kind = "configuration",
                              .name = "main",
                              .version = platform.history.size() + 1,
                              .value = EncodeConfiguration(configuration)});
}

auto WriteConfiguration(FakePlatform& platform,
                        std::uint64_t version,
                        const std::string& text) -> std::uint64_t {
  ++platform.writes;
  std::exchange(platform.before_write, [] {})();
  if (platform.lose_write || std::exchange(platform.lose_first_write, false)) {
    throw Error(ErrorKind::kPlatformUnavailable, "no answer");
  }
  if (platform.history.size() != version) {
    throw Error(ErrorKind::kConflict, "newer");
  }
  StoreConfiguration(platform, DecodeConfiguration(text));
  platform.after_write();
  if (platform.lose_answer) {
    throw Error(ErrorKind::kPlatformUnavailable, "no answer");
  }
  return platform.history.size();
}

auto ThrowIfReadsFail(FakePlatform& platform) -> void {
  if (platform.writes > 0 && platform.failing_reads-- > 0) {
    throw Error(ErrorKind::kPlatformUnavailable, "down");
  }
}

auto MakeFakeObjectStore(FakePlatform& platform) -> ObjectStore {
  return ObjectStore{
      .get = [&platform](const auto&,
                         const auto&) -> std::optional<PlatformObject> {
        ThrowIfReadsFail(platform);
        if (platform.history.empty()) {
          return std::nullopt;
        }
        return platform.history.back();
      },
      .put =
          [&platform](const auto&, const auto&, auto version, const auto&,
                      const auto& value) {
            return WriteConfiguration(platform, version, value);
          },
      .watch =
          [&platform](const auto&, auto from, auto) {
            ThrowIfReadsFail(platform);
            WatchResult result{.history_expired = platform.is_history_expired};
            for (const auto& it : platform.history) {
              if (it.version > from && !platform.is_history_expired) {
                result.objects.push_back(it);
              }
            }
            return result;
          },
      .wait = [&platform](auto time) { platform.waited += time; },
  };
}

/// Stores a change of another operator on top of the accepted configuration.
auto StoreRacingChange(FakePlatform& platform) -> void {
  auto other = platform.history.empty()
                   ? Configuration{}
                   : DecodeConfiguration(platform.history.back().value);
  other.generation = Generation{ToInteger(other.generation) + 1};
  other.operation = "other";
  other.author = "bela";
  other.draining.emplace_back("fitquote-2");
  StoreConfiguration(platform, other);
}

auto DrainOnlyFitquote1(const Configuration& before) -> Configuration {
  auto after = before;
  after.draining = {"fitquote-1"};
  return after;
}

auto AttemptDrainChange(FakePlatform& platform) -> ChangeOutcome {
  return ChangeConfiguration(
      MakeFakeObjectStore(platform),
      {.region = "main", .author = "ana", .operation = "mine"},
      DrainOnlyFitquote1);
}

auto RetryDrainChange(FakePlatform& platform) -> ChangeOutcome {
  return ChangeConfiguration(MakeFakeObjectStore(platform),
                             {.region = "main",
                              .author = "ana",
                              .operation = "mine",
                              .is_retry = true},
                             DrainOnlyFitquote1);
}

}  // namespace

TEST_GROUP(ConfigurationChange){};

TEST(ConfigurationChange, AcceptedChangeRaisesTheGenerationByOne) {
  FakePlatform platform;
  CHECK(ChangeState::kAccepted == AttemptDrainChange(platform).state);
  const auto stored = DecodeConfiguration(platform.history.back().value);
  CHECK(Generation{1} == stored.generation);
  STRCMP_EQUAL("mine", stored.operation.c_str());
  STRCMP_EQUAL("ana", stored.author.c_str());
}

TEST(ConfigurationChange, UnchangedConfigurationIsNotWritten) {
  FakePlatform platform;
  StoreConfiguration(platform, DrainOnlyFitquote1({}));
  CHECK(ChangeState::kUnchanged == AttemptDrainChange(platform).state);
  LONGS_EQUAL(0, platform.writes);
}

TEST(ConfigurationChange, SameOperationIsNotWrittenTwice) {
  FakePlatform platform;
  AttemptDrainChange(platform);
  CHECK(ChangeState::kAccepted == AttemptDrainChange(platform).state);
  LONGS_EQUAL(1, platform.writes);
}

TEST(ConfigurationChange, ChangeThatLosesTheRaceReportsTheWinner) {
  FakePlatform platform;
  platform.before_write = [&platform] { StoreRacingChange(platform); };
  const auto outcome = AttemptDrainChange(platform);
  CHECK(ChangeState::kLostRace == outcome.state);
  STRCMP_EQUAL("bela", outcome.winning_configuration.author.c_str());
  LONGS_EQUAL(1, platform.history.size());
}

TEST(ConfigurationChange, WriteIsFoundWhenItsAnswerIsLost) {
  FakePlatform platform{.failing_reads = 3, .lose_answer = true};
  const auto outcome = AttemptDrainChange(platform);
  CHECK(ChangeState::kAccepted == outcome.state);
  CHECK(outcome.was_looked_up);
  LONGS_EQUAL(1, platform.writes);
}

TEST(ConfigurationChange, UnansweredWriteIsFoundBeforeALaterChange) {
  FakePlatform platform{.lose_answer = true};
  platform.after_write = [&platform] { StoreRacingChange(platform); };
  CHECK(ChangeState::kAccepted == AttemptDrainChange(platform).state);
}

TEST(ConfigurationChange, UnansweredWriteThatLostTheRaceIsDetected) {
  FakePlatform platform{.lose_write = true};
  platform.before_write = [&platform] { StoreRacingChange(platform); };
  CHECK(ChangeState::kLostRace == AttemptDrainChange(platform).state);
  FakePlatform twice{.lose_write = true};
  twice.before_write = [&twice] {
    StoreRacingChange(twice);
    StoreRacingChange(twice);
  };
  CHECK(ChangeState::kLostRace == AttemptDrainChange(twice).state);
}

TEST(ConfigurationChange, OutcomeIsUnknownWhenItCannotBeLookedUp) {
  FakePlatform down{.failing_reads = 1000, .lose_answer = true};
  const auto outcome = AttemptDrainChange(down);
  CHECK(ChangeState::kOutcomeUnknown == outcome.state);
  CHECK(!outcome.was_unchanged_at_last_lookup);
  CHECK(down.waited >= std::chrono::seconds{5});
  FakePlatform late{.lose_write = true};
  const auto unseen = AttemptDrainChange(late);
  CHECK(ChangeState::kOutcomeUnknown == unseen.state);
  CHECK(unseen.was_unchanged_at_last_lookup);
  FakePlatform without_history{.lose_answer = true, .is_history_expired = true};
  without_history.after_write = [&without_history] {
    StoreRacingChange(without_history);
  };
  CHECK(ChangeState::kOutcomeUnknown ==
        AttemptDrainChange(without_history).state);
}

TEST(ConfigurationChange, WriteIsRepeatedWhenItsRequestWasLost) {
  FakePlatform platform{.lose_first_write = true};
  CHECK(ChangeState::kAccepted == AttemptDrainChange(platform).state);
  LONGS_EQUAL(2, platform.writes);
  LONGS_EQUAL(1, platform.history.size());
}

TEST(ConfigurationChange, RetryFindsItsFirstAttemptBeforeALaterChange) {
  FakePlatform platform;
  AttemptDrainChange(platform);
  StoreRacingChange(platform);
  const auto outcome = RetryDrainChange(platform);
  CHECK(ChangeState::kAccepted == outcome.state);
  CHECK(Generation{1} == outcome.requested_configuration.generation);
  LONGS_EQUAL(1, platform.writes);
}

TEST(ConfigurationChange, RetryWritesNothingWhenTheHistoryHasExpired) {
  FakePlatform platform;
  AttemptDrainChange(platform);
  StoreRacingChange(platform);
  platform.is_history_expired = true;
  const auto outcome = RetryDrainChange(platform);
  CHECK(ChangeState::kOutcomeUnknown == outcome.state);
  CHECK(outcome.is_history_expired);
  LONGS_EQUAL(1, platform.writes);
}

TEST(ConfigurationChange, RetryWithoutAnEarlierAttemptIsWritten) {
  FakePlatform platform;
  StoreRacingChange(platform);
  CHECK(ChangeState::kAccepted == RetryDrainChange(platform).state);
  LONGS_EQUAL(2, platform.history.size());
}

TEST(ConfigurationChange, LostRaceIsReportedWhenTheWinnerCannotBeRead) {
  FakePlatform platform{.failing_reads = 1000};
  platform.before_write = [&platform] { StoreRacingChange(platform); };
  const auto outcome = AttemptDrainChange(platform);
  CHECK(ChangeState::kLostRace == outcome.state);
  CHECK(Generation{} == outcome.winning_configuration.generation);
}

TEST(ConfigurationChange, NewestValueDecidesWhenTheHistoryHasExpired) {
  FakePlatform mine{.lose_answer = true, .is_history_expired = true};
  CHECK(ChangeState::kAccepted == AttemptDrainChange(mine).state);
  FakePlatform theirs{.lose_write = true, .is_history_expired = true};
  theirs.before_write = [&theirs] { StoreRacingChange(theirs); };
  const auto lost = AttemptDrainChange(theirs);
  CHECK(ChangeState::kLostRace == lost.state);
  STRCMP_EQUAL("bela", lost.winning_configuration.author.c_str());
  FakePlatform unchanged{.lose_first_write = true, .is_history_expired = true};
  CHECK(ChangeState::kAccepted == AttemptDrainChange(unchanged).state);
}

#include "transport/configuration_change.h"

#include <utility>

#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace hawthornbank::transport;

namespace {

/// Keeps every version of one object; fails as it is told.
struct FakePlatform {
  std::vector<PlatformObject> history;
  int writes = 0;
  int failing_reads = 0;
  bool lose_write = false;  ///< No answer; the write had no effect.
  bool lose_first_write = false;
  bool lose_answer = false;  ///< No answer; the write took effect.
  bool forget = false;       ///< The history is gone.
  std::function<void()> before_write = [] {};
  std::function<void()> after_write = [] {};
  std::chrono::milliseconds waited{0};
};

auto Store(FakePlatform& platform, const Configuration& configuration) -> void {
  platform.history.push_back({.kind = "configuration",
                              .name = "main",
                              .version = platform.history.size() + 1,
                              .value = EncodeConfiguration(configuration)});
}

auto Put(FakePlatform& platform, std::uint64_t version, const std::string& text)
    -> std::uint64_t {
  ++platform.writes;
  std::exchange(platform.before_write, [] {})();
  if (platform.lose_write || std::exchange(platform.lose_first_write, false)) {
    throw Error(ErrorKind::kPlatformUnavailable, "no answer");
  }
  if (platform.history.size() != version) {
    throw Error(ErrorKind::kConflict, "newer");
  }
  Store(platform, DecodeConfiguration(text));
  platform.after_write();
  if (platform.lose_answer) {
    throw Error(ErrorKind::kPlatformUnavailable, "no answer");
  }
  return platform.history.size();
}

auto FailIfTold(FakePlatform& platform) -> void {
  if (platform.writes > 0 && platform.failing_reads-- > 0) {
    throw Error(ErrorKind::kPlatformUnavailable, "down");
  }
}

auto StoreOf(FakePlatform& platform) -> ObjectStore {
  return ObjectStore{
      .get = [&platform](const auto&,
                         const auto&) -> std::optional<PlatformObject> {
        FailIfTold(platform);
        if (platform.history.empty()) {
          return std::nullopt;
        }
        return platform.history.back();
      },
      .put = [&platform](
                 const auto&, const auto&, auto version, const auto&,
                 const auto& value) { return Put(platform, version, value); },
      .watch =
          [&platform](const auto&, auto from, auto) {
            FailIfTold(platform);
            WatchResult result{.gone = platform.forget};
            for (const auto& it : platform.history) {
              if (it.version > from && !platform.forget) {
                result.objects.push_back(it);
              }
            }
            return result;
          },
      .wait = [&platform](auto time) { platform.waited += time; },
  };
}

/// Another operator's change on top of what is accepted.
auto Race(FakePlatform& platform) -> void {
  auto other = platform.history.empty()
                   ? Configuration{}
                   : DecodeConfiguration(platform.history.back().value);
  other.generation = Generation{ToInteger(other.generation) + 1};
  other.operation = "other";
  other.author = "bela";
  other.draining.emplace_back("fitquote-2");
  Store(platform, other);
}

auto Drain(const Configuration& before) -> Configuration {
  auto after = before;
  after.draining = {"fitquote-1"};
  return after;
}

auto Change(FakePlatform& platform) -> ChangeOutcome {
  return ChangeConfiguration(
      StoreOf(platform),
      {.region = "main", .author = "ana", .operation = "mine"}, Drain);
}

auto Retry(FakePlatform& platform) -> ChangeOutcome {
  return ChangeConfiguration(StoreOf(platform),
                             {.region = "main",
                              .author = "ana",
                              .operation = "mine",
                              .is_retry = true},
                             Drain);
}

}  // namespace

TEST_GROUP(ConfigurationChange){};

TEST(ConfigurationChange, RaisesTheGenerationByOne) {
  FakePlatform platform;
  CHECK(ChangeState::kAccepted == Change(platform).state);
  const auto stored = DecodeConfiguration(platform.history.back().value);
  CHECK(Generation{1} == stored.generation);
  STRCMP_EQUAL("mine", stored.operation.c_str());
  STRCMP_EQUAL("ana", stored.author.c_str());
}

TEST(ConfigurationChange, WritesNothingWhenNothingChanges) {
  FakePlatform platform;
  Store(platform, Drain({}));
  CHECK(ChangeState::kUnchanged == Change(platform).state);
  LONGS_EQUAL(0, platform.writes);
}

TEST(ConfigurationChange, IsNotRepeatedUnderTheSameOperation) {
  FakePlatform platform;
  Change(platform);
  CHECK(ChangeState::kAccepted == Change(platform).state);
  LONGS_EQUAL(1, platform.writes);
}

TEST(ConfigurationChange, LosesARaceAndNamesTheWinner) {
  FakePlatform platform;
  platform.before_write = [&platform] { Race(platform); };
  const auto outcome = Change(platform);
  CHECK(ChangeState::kLost == outcome.state);
  STRCMP_EQUAL("bela", outcome.winner.author.c_str());
  LONGS_EQUAL(1, platform.history.size());
}

TEST(ConfigurationChange, FindsItsWriteWhenTheAnswerIsLost) {
  FakePlatform platform{.failing_reads = 3, .lose_answer = true};
  const auto outcome = Change(platform);
  CHECK(ChangeState::kAccepted == outcome.state);
  CHECK(outcome.looked_up);
  LONGS_EQUAL(1, platform.writes);
}

TEST(ConfigurationChange, FindsItsWriteUnderALaterOne) {
  FakePlatform platform{.lose_answer = true};
  platform.after_write = [&platform] { Race(platform); };
  CHECK(ChangeState::kAccepted == Change(platform).state);
}

TEST(ConfigurationChange, KnowsThatAnUnansweredWriteLost) {
  FakePlatform platform{.lose_write = true};
  platform.before_write = [&platform] { Race(platform); };
  CHECK(ChangeState::kLost == Change(platform).state);
  FakePlatform twice{.lose_write = true};
  twice.before_write = [&twice] {
    Race(twice);
    Race(twice);
  };
  CHECK(ChangeState::kLost == Change(twice).state);
}

TEST(ConfigurationChange, GuessesNeitherWayWhenItCannotKnow) {
  FakePlatform down{.failing_reads = 1000, .lose_answer = true};
  const auto outcome = Change(down);
  CHECK(ChangeState::kUnknown == outcome.state);
  CHECK(!outcome.seen_unchanged);
  CHECK(down.waited >= std::chrono::seconds{5});
  FakePlatform late{.lose_write = true};
  const auto unseen = Change(late);
  CHECK(ChangeState::kUnknown == unseen.state);
  CHECK(unseen.seen_unchanged);
  FakePlatform forgetful{.lose_answer = true, .forget = true};
  forgetful.after_write = [&forgetful] { Race(forgetful); };
  CHECK(ChangeState::kUnknown == Change(forgetful).state);
}

TEST(ConfigurationChange, RepeatsARequestThatWasLost) {
  FakePlatform platform{.lose_first_write = true};
  CHECK(ChangeState::kAccepted == Change(platform).state);
  LONGS_EQUAL(2, platform.writes);
  LONGS_EQUAL(1, platform.history.size());
}

TEST(ConfigurationChange, ARetryFindsItsFirstTryUnderALaterChange) {
  FakePlatform platform;
  Change(platform);
  Race(platform);
  const auto outcome = Retry(platform);
  CHECK(ChangeState::kAccepted == outcome.state);
  CHECK(Generation{1} == outcome.after.generation);
  LONGS_EQUAL(1, platform.writes);
}

TEST(ConfigurationChange, ARetryThatCannotBeLookedUpWritesNothing) {
  FakePlatform platform;
  Change(platform);
  Race(platform);
  platform.forget = true;
  const auto outcome = Retry(platform);
  CHECK(ChangeState::kUnknown == outcome.state);
  CHECK(outcome.history_gone);
  LONGS_EQUAL(1, platform.writes);
}

TEST(ConfigurationChange, ARetryWithoutAFirstTryIsMade) {
  FakePlatform platform;
  Race(platform);
  CHECK(ChangeState::kAccepted == Retry(platform).state);
  LONGS_EQUAL(2, platform.history.size());
}

TEST(ConfigurationChange, KnowsThatItLostWhenTheWinnerCannotBeRead) {
  FakePlatform platform{.failing_reads = 1000};
  platform.before_write = [&platform] { Race(platform); };
  const auto outcome = Change(platform);
  CHECK(ChangeState::kLost == outcome.state);
  CHECK(Generation{} == outcome.winner.generation);
}

TEST(ConfigurationChange, ThePresentValueTellsWhereTheHistoryIsGone) {
  FakePlatform mine{.lose_answer = true, .forget = true};
  CHECK(ChangeState::kAccepted == Change(mine).state);
  FakePlatform theirs{.lose_write = true, .forget = true};
  theirs.before_write = [&theirs] { Race(theirs); };
  const auto lost = Change(theirs);
  CHECK(ChangeState::kLost == lost.state);
  STRCMP_EQUAL("bela", lost.winner.author.c_str());
  FakePlatform unchanged{.lose_first_write = true, .forget = true};
  CHECK(ChangeState::kAccepted == Change(unchanged).state);
}

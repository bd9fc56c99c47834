#include "hawthornbank/lease.h"

#include <array>
#include <map>

#include "common/virtual_network.h"
#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

constexpr Duration kCall = 5ms;

/// Rivals for one lease, and a receiver of their acts every 50 ms.
struct Rivals {
  struct Rival {
    Lease lease;
    Random random;
    std::uint64_t acts = 0;
    std::uint64_t fenced = 0;
  };

  explicit Rivals(std::uint64_t seed) : network(seed) {
    for (std::size_t n = 0; n < rivals.size(); ++n) {
      auto& rival = rivals[n];
      rival.random = Random(seed, n);
      rival.lease =
          MakeLease({.name = "plan", .self = "host-" + std::to_string(n)}, {},
                    rival.random);
      Step(n);
    }
  }

  auto Step(std::size_t n) -> void {
    auto& rival = rivals[n];
    LeaseActions actions;
    TickLease(rival.lease, network.now(), rival.random, actions);
    Perform(n, actions);
    Act(n);
    network.AtHost(n, network.now() + 50ms, [this, n] { Step(n); });
  }

  auto Act(std::size_t n) -> void {
    auto& rival = rivals[n];
    const auto epoch = EpochForAct(rival.lease, network.now());
    if (!epoch) {
      return;
    }
    ++rival.acts;
    // An act may be on its way for a second.
    const auto delay = Duration{rival.random(1000) * 1000000LL};
    network.At(network.now() + delay, [this, n, epoch] {
      try {
        CheckFence(fence, *epoch);
        holders[ToInteger(*epoch)] |= 1U << n;
      } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::kFenced);
        ++rivals[n].fenced;
      }
    });
  }

  auto Perform(std::size_t n, const LeaseActions& actions) -> void {
    for (const auto& action : actions) {
      if (const auto* write = std::get_if<LeaseWrite>(&action)) {
        Put(n, *write);
      } else if (std::holds_alternative<LeaseRead>(action)) {
        const LeaseSeen seen{
            .reached = !down, .version = version, .record = stored};
        network.AtHost(n, network.now() + kCall, [this, n, seen] {
          LeaseActions next;
          OnLeaseSeen(rivals[n].lease, seen, network.now(), rivals[n].random,
                      next);
          Perform(n, next);
        });
      } else if (std::holds_alternative<LeaseGained>(action)) {
        ++gains;
      }
    }
  }

  auto Put(std::size_t n, const LeaseWrite& write) -> void {
    auto answer = LeaseWritten::kUnknown;
    if (!down) {
      const bool current = write.if_version == version;
      answer = current ? LeaseWritten::kAccepted : LeaseWritten::kConflict;
      version += current ? 1 : 0;
      stored = current ? write.record : stored;
    }
    if (lose_answers > 0) {
      --lose_answers;
      answer = LeaseWritten::kUnknown;
    }
    network.AtHost(n, network.now() + kCall, [this, n, answer, v = version] {
      LeaseActions next;
      OnLeaseWritten(rivals[n].lease, answer, v, network.now(),
                     rivals[n].random, next);
      Perform(n, next);
    });
  }

  auto RunFor(Duration duration) -> void {
    network.RunUntil(network.now() + duration);
  }
  /// @return The one that may act, or -1; fails when there are two.
  auto Holder() -> int {
    int holder = -1;
    for (std::size_t n = 0; n < rivals.size(); ++n) {
      if (EpochForAct(rivals[n].lease, network.now())) {
        CHECK(holder == -1);
        holder = static_cast<int>(n);
      }
    }
    return holder;
  }

  bench::VirtualNetwork network;
  std::array<Rival, 3> rivals;
  bool down = false;
  int lose_answers = 0;
  std::uint64_t version = 0;
  LeaseRecord stored;
  LeaseFence fence;
  std::uint64_t gains = 0;
  std::map<std::uint64_t, unsigned> holders;  ///< Who acted, by epoch.
};

}  // namespace

TEST_GROUP(Lease){};

TEST(Lease, OneHolderThatStays) {
  Rivals rivals(1);
  rivals.RunFor(3s);
  const auto holder = rivals.Holder();
  CHECK(holder >= 0);
  for (int n = 0; n < 600; ++n) {
    rivals.RunFor(100ms);
    LONGS_EQUAL(holder, rivals.Holder());
  }
  LONGS_EQUAL(1, rivals.gains);
}

TEST(Lease, MovesInSecondsWhenTheHolderDies) {
  Rivals rivals(2);
  rivals.RunFor(3s);
  const auto dead = rivals.Holder();
  rivals.network.Kill(static_cast<std::uint64_t>(dead));
  rivals.RunFor(10s);
  const auto holder = rivals.Holder();
  CHECK(holder >= 0);
  CHECK(holder != dead);
  LONGS_EQUAL(2, rivals.gains);
}

TEST(Lease, PausedHolderDoesNoHarm) {
  Rivals rivals(3);
  rivals.RunFor(3s);
  const auto paused = static_cast<std::uint64_t>(rivals.Holder());
  auto& lease = rivals.rivals[paused].lease;
  const auto old_epoch = EpochForAct(lease, rivals.network.now());
  rivals.network.Freeze(paused);
  rivals.RunFor(20s);
  // It wakes, checks the time before it acts, and does not act.
  CHECK(!EpochForAct(lease, rivals.network.now()));
  // An act that it had sent before the pause arrives only now.
  CHECK_THROWS(Error, CheckFence(rivals.fence, *old_epoch));
  rivals.network.Thaw(paused);
  rivals.RunFor(5s);
  CHECK(rivals.Holder() != static_cast<int>(paused));
  LONGS_EQUAL(2, rivals.gains);
}

TEST(Lease, HolderStopsBeforeARivalStarts) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Rivals rivals(seed);
    for (int round = 0; round < 8; ++round) {
      rivals.RunFor(4s);
      const auto n = static_cast<std::uint64_t>(round % 3);
      rivals.network.Freeze(n);
      for (int step = 0; step < 100; ++step) {
        rivals.RunFor(100ms);
        rivals.Holder();
      }
      rivals.network.Thaw(n);
    }
    // Each epoch had one holder, and no act came from a superseded one.
    for (const auto& [epoch, mask] : rivals.holders) {
      CHECK(mask == 1 || mask == 2 || mask == 4);
    }
    for (const auto& rival : rivals.rivals) {
      LONGS_EQUAL(0, rival.fenced);
    }
  }
}

TEST(Lease, LostAnswersAreReadBack) {
  Rivals rivals(4);
  rivals.RunFor(3s);
  const auto holder = rivals.Holder();
  for (int n = 0; n < 20; ++n) {
    rivals.lose_answers = 1;
    rivals.RunFor(3s);
    LONGS_EQUAL(holder, rivals.Holder());
  }
  LONGS_EQUAL(1, rivals.gains);
}

TEST(Lease, OutageEndsTheDutyAndNobodyElseTakesIt) {
  Rivals rivals(5);
  rivals.RunFor(3s);
  const auto epoch = rivals.stored.epoch;
  rivals.down = true;
  rivals.RunFor(6s);
  for (int n = 0; n < 600; ++n) {
    rivals.RunFor(100ms);
    LONGS_EQUAL(-1, rivals.Holder());
  }
  rivals.down = false;
  rivals.RunFor(10s);
  CHECK(rivals.Holder() >= 0);
  CHECK(rivals.stored.epoch > epoch);
}

TEST(Lease, FenceRefusesOlderEpochs) {
  LeaseFence fence;
  CheckFence(fence, Epoch{3});
  CheckFence(fence, Epoch{3});
  CHECK_THROWS(Error, CheckFence(fence, Epoch{2}));
  LONGS_EQUAL(1, fence.refused);
}

TEST(Lease, CountsFromTheSendingAndStopsAMarginEarly) {
  Random random(1);
  Lease lease = MakeLease({.name = "plan", .self = "host-1"}, {}, random);
  LeaseActions actions;
  OnLeaseSeen(lease, {.reached = true}, TimePoint{1s}, random, actions);
  // The answer takes three seconds.
  OnLeaseWritten(lease, LeaseWritten::kAccepted, 1, TimePoint{4s}, random,
                 actions);
  const auto& times = lease.options.times;
  const auto end = TimePoint{1s} + times.duration - times.margin;
  CHECK(EpochForAct(lease, end - 1ms).has_value());
  CHECK(!EpochForAct(lease, end));
}

TEST(Lease, EpochsGoOnAboveThoseThatReceiversHaveSeen) {
  Rivals rivals(6);
  rivals.RunFor(3s);
  // The lease object was lost once: receivers know higher epochs.
  rivals.fence.highest = Epoch{1000};
  const auto holder = static_cast<std::size_t>(rivals.Holder());
  auto& lease = rivals.rivals[holder].lease;
  LeaseActions actions;
  RaiseEpoch(lease, Epoch{1000}, rivals.network.now(), actions);
  CHECK(std::holds_alternative<LeaseLost>(actions.at(0)));
  CHECK(!EpochForAct(lease, rivals.network.now()));
  rivals.RunFor(5s);
  LONGS_EQUAL(holder, rivals.Holder());
  CHECK(rivals.stored.epoch == Epoch{1001});
}

TEST(Lease, ASupersededHolderCannotRaiseTheEpoch) {
  Rivals rivals(7);
  rivals.RunFor(3s);
  const auto paused = static_cast<std::size_t>(rivals.Holder());
  rivals.network.Freeze(paused);
  rivals.RunFor(20s);
  const auto holder = rivals.Holder();
  const auto epoch = rivals.stored.epoch;
  LeaseActions actions;
  RaiseEpoch(rivals.rivals[paused].lease, epoch, rivals.network.now(), actions);
  rivals.network.Thaw(paused);
  rivals.RunFor(20s);
  LONGS_EQUAL(holder, rivals.Holder());
  CHECK(epoch == rivals.stored.epoch);
}

TEST(Lease, RecordRoundTrip) {
  const LeaseRecord record{
      .holder = "host-1", .operation = "host-1/7", .epoch = Epoch{4}};
  CHECK(record == DecodeLease(EncodeLease(record)));
  CHECK_THROWS(Error, DecodeLease("{}"));
}

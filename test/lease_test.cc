#include "hawthornbank/lease.h"

#include <array>
#include <map>

#include "common/virtual_network.h"
#include "hawthornbank/error.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

constexpr Duration kCallTime = 5ms;

/// Processes that compete for one lease, and a receiver of the fenced writes
/// that the holder sends every 50 ms.
struct LeaseCandidates {
  struct Candidate {
    Lease lease;
    Random random;
    std::uint64_t write_count = 0;
    std::uint64_t fenced_count = 0;
  };

  explicit LeaseCandidates(std::uint64_t seed) : network(seed) {
    for (std::size_t n = 0; n < processes.size(); ++n) {
      auto& candidate = processes[n];
      candidate.random = Random(seed, n);
      candidate.lease =
          MakeLeaseState({.name = "plan", .self = "host-" + std::to_string(n)},
                         {}, candidate.random);
      RunCandidateEvery50Ms(n);
    }
  }

  auto RunCandidateEvery50Ms(std::size_t n) -> void {
    auto& candidate = processes[n];
    LeaseActions actions;
    OnLeaseTick(candidate.lease, network.now(), candidate.random, actions);
    PerformLeaseActions(n, actions);
    SendFencedWriteIfLeaseHeld(n);
    network.ScheduleActionOnHost(n, network.now() + 50ms,
                                 [this, n] { RunCandidateEvery50Ms(n); });
  }

  auto SendFencedWriteIfLeaseHeld(std::size_t n) -> void {
    auto& candidate = processes[n];
    const auto epoch = GetEpochIfLeaseHeld(candidate.lease, network.now());
    if (!epoch) {
      return;
    }
    ++candidate.write_count;
    // A write is in flight for up to a second before reaching the receiver.
    const auto delay = Duration{candidate.random(1000) * 1000000LL};
    network.ScheduleAction(network.now() + delay, [this, n, epoch] {
      try {
        CheckAndRecordEpoch(fence, *epoch);
        writers_by_epoch[ToInteger(*epoch)] |= 1U << n;
      } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::kFenced);
        ++processes[n].fenced_count;
      }
    });
  }

  auto PerformLeaseActions(std::size_t n, const LeaseActions& actions) -> void {
    for (const auto& action : actions) {
      if (const auto* write = std::get_if<LeaseWrite>(&action)) {
        ApplyAndAnswerLeaseWrite(n, *write);
      } else if (std::holds_alternative<LeaseRead>(action)) {
        const LeaseReadAnswer answer{
            .was_answered = !down, .version = version, .record = stored};
        network.ScheduleActionOnHost(
            n, network.now() + kCallTime, [this, n, answer] {
              LeaseActions next;
              OnLeaseReadAnswered(processes[n].lease, answer, network.now(),
                                  processes[n].random, next);
              PerformLeaseActions(n, next);
            });
      } else if (std::holds_alternative<LeaseAcquired>(action)) {
        ++acquisitions;
      }
    }
  }

  auto ApplyAndAnswerLeaseWrite(std::size_t n, const LeaseWrite& write)
      -> void {
    auto answer = LeaseWriteOutcome::kUnknown;
    if (!down) {
      const bool current = write.if_version == version;
      answer =
          current ? LeaseWriteOutcome::kAccepted : LeaseWriteOutcome::kConflict;
      version += current ? 1 : 0;
      stored = current ? write.record : stored;
    }
    if (lose_answers > 0) {
      --lose_answers;
      answer = LeaseWriteOutcome::kUnknown;
    }
    network.ScheduleActionOnHost(
        n, network.now() + kCallTime, [this, n, answer, v = version] {
          LeaseActions next;
          OnLeaseWriteAnswered(processes[n].lease, answer, v, network.now(),
                               processes[n].random, next);
          PerformLeaseActions(n, next);
        });
  }

  auto RunFor(Duration duration) -> void {
    network.RunUntil(network.now() + duration);
  }
  /// Finds the process that holds the lease; the test fails if two processes
  /// hold the lease.
  /// @return Index of the process, or -1 if no process holds the lease.
  auto FindHolder() -> int {
    int holder = -1;
    for (std::size_t n = 0; n < processes.size(); ++n) {
      if (GetEpochIfLeaseHeld(processes[n].lease, network.now())) {
        CHECK(holder == -1);
        holder = static_cast<int>(n);
      }
    }
    return holder;
  }

  bench::VirtualNetwork network;
  std::array<Candidate, 3> processes;
  bool down = false;
  int lose_answers = 0;
  std::uint64_t version = 0;
  LeaseRecord stored;
  LeaseFence fence;
  std::uint64_t acquisitions = 0;
  /// For each epoch, a bit mask of the processes whose writes were accepted.
  std::map<std::uint64_t, unsigned> writers_by_epoch;
};

}  // namespace

TEST_GROUP(Lease){};

TEST(Lease, OneProcessAcquiresTheLeaseAndKeepsIt) {
  LeaseCandidates candidates(1);
  candidates.RunFor(3s);
  const auto holder = candidates.FindHolder();
  CHECK(holder >= 0);
  for (int n = 0; n < 600; ++n) {
    candidates.RunFor(100ms);
    LONGS_EQUAL(holder, candidates.FindHolder());
  }
  LONGS_EQUAL(1, candidates.acquisitions);
}

TEST(Lease, OtherProcessTakesOverWithinTenSecondsWhenTheHolderDies) {
  LeaseCandidates candidates(2);
  candidates.RunFor(3s);
  const auto dead = candidates.FindHolder();
  candidates.network.KillHost(static_cast<std::uint64_t>(dead));
  candidates.RunFor(10s);
  const auto holder = candidates.FindHolder();
  CHECK(holder >= 0);
  CHECK(holder != dead);
  LONGS_EQUAL(2, candidates.acquisitions);
}

TEST(Lease, PausedHolderStopsAndItsLateWriteIsFenced) {
  LeaseCandidates candidates(3);
  candidates.RunFor(3s);
  const auto paused = static_cast<std::uint64_t>(candidates.FindHolder());
  auto& lease = candidates.processes[paused].lease;
  const auto old_epoch = GetEpochIfLeaseHeld(lease, candidates.network.now());
  candidates.network.FreezeHost(paused);
  candidates.RunFor(20s);
  // A holder that resumes checks the lease before a write, and does not write.
  CHECK(!GetEpochIfLeaseHeld(lease, candidates.network.now()));
  // A write that the holder sent before the pause arrives late.
  CHECK_THROWS(Error, CheckAndRecordEpoch(candidates.fence, *old_epoch));
  candidates.network.ThawHost(paused);
  candidates.RunFor(5s);
  CHECK(candidates.FindHolder() != static_cast<int>(paused));
  LONGS_EQUAL(2, candidates.acquisitions);
}

TEST(Lease, HolderStopsBeforeACandidateTakesOver) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LeaseCandidates candidates(seed);
    for (int round = 0; round < 8; ++round) {
      candidates.RunFor(4s);
      const auto n = static_cast<std::uint64_t>(round % 3);
      candidates.network.FreezeHost(n);
      for (int step = 0; step < 100; ++step) {
        candidates.RunFor(100ms);
        candidates.FindHolder();
      }
      candidates.network.ThawHost(n);
    }
    // Each epoch had one holder, and no write came from a superseded holder.
    for (const auto& [epoch, mask] : candidates.writers_by_epoch) {
      CHECK(mask == 1 || mask == 2 || mask == 4);
    }
    for (const auto& candidate : candidates.processes) {
      LONGS_EQUAL(0, candidate.fenced_count);
    }
  }
}

TEST(Lease, HolderKeepsTheLeaseWhenWriteAnswersAreLost) {
  LeaseCandidates candidates(4);
  candidates.RunFor(3s);
  const auto holder = candidates.FindHolder();
  for (int n = 0; n < 20; ++n) {
    candidates.lose_answers = 1;
    candidates.RunFor(3s);
    LONGS_EQUAL(holder, candidates.FindHolder());
  }
  LONGS_EQUAL(1, candidates.acquisitions);
}

TEST(Lease, PlatformOutageLeavesTheLeaseWithoutHolder) {
  LeaseCandidates candidates(5);
  candidates.RunFor(3s);
  const auto epoch = candidates.stored.epoch;
  candidates.down = true;
  candidates.RunFor(6s);
  for (int n = 0; n < 600; ++n) {
    candidates.RunFor(100ms);
    LONGS_EQUAL(-1, candidates.FindHolder());
  }
  candidates.down = false;
  candidates.RunFor(10s);
  CHECK(candidates.FindHolder() >= 0);
  CHECK(candidates.stored.epoch > epoch);
}

TEST(Lease, FenceRejectsOlderEpochs) {
  LeaseFence fence;
  CheckAndRecordEpoch(fence, Epoch{3});
  CheckAndRecordEpoch(fence, Epoch{3});
  CHECK_THROWS(Error, CheckAndRecordEpoch(fence, Epoch{2}));
  LONGS_EQUAL(1, fence.refused);
}

TEST(Lease, LeaseIsHeldUntilAMarginBeforeExpiryCountedFromSending) {
  Random random(1);
  Lease lease = MakeLeaseState({.name = "plan", .self = "host-1"}, {}, random);
  LeaseActions actions;
  OnLeaseReadAnswered(lease, {.was_answered = true}, TimePoint{1s}, random,
                      actions);
  // The answer arrives three seconds after the write was sent.
  OnLeaseWriteAnswered(lease, LeaseWriteOutcome::kAccepted, 1, TimePoint{4s},
                       random, actions);
  const auto& times = lease.options.times;
  const auto end = TimePoint{1s} + times.duration - times.margin;
  CHECK(GetEpochIfLeaseHeld(lease, end - 1ms).has_value());
  CHECK(!GetEpochIfLeaseHeld(lease, end));
}

TEST(Lease, HolderThatStepsDownTakesAHigherEpochThanReceiversHaveSeen) {
  LeaseCandidates candidates(6);
  candidates.RunFor(3s);
  // Receivers know higher epochs because the lease object was lost before.
  candidates.fence.highest_epoch = Epoch{1000};
  const auto holder = static_cast<std::size_t>(candidates.FindHolder());
  auto& lease = candidates.processes[holder].lease;
  LeaseActions actions;
  StepDownForHigherEpoch(lease, Epoch{1000}, candidates.network.now(), actions);
  CHECK(std::holds_alternative<LeaseLost>(actions.at(0)));
  CHECK(!GetEpochIfLeaseHeld(lease, candidates.network.now()));
  candidates.RunFor(5s);
  LONGS_EQUAL(holder, candidates.FindHolder());
  CHECK(candidates.stored.epoch == Epoch{1001});
}

TEST(Lease, SupersededHolderCannotRaiseTheEpoch) {
  LeaseCandidates candidates(7);
  candidates.RunFor(3s);
  const auto paused = static_cast<std::size_t>(candidates.FindHolder());
  candidates.network.FreezeHost(paused);
  candidates.RunFor(20s);
  const auto holder = candidates.FindHolder();
  const auto epoch = candidates.stored.epoch;
  LeaseActions actions;
  StepDownForHigherEpoch(candidates.processes[paused].lease, epoch,
                         candidates.network.now(), actions);
  candidates.network.ThawHost(paused);
  candidates.RunFor(20s);
  LONGS_EQUAL(holder, candidates.FindHolder());
  CHECK(epoch == candidates.stored.epoch);
}

TEST(Lease, RecordIsUnchangedByEncodingAndDecoding) {
  const LeaseRecord record{
      .holder = "host-1", .operation = "host-1/7", .epoch = Epoch{4}};
  CHECK(record == DecodeLeaseRecord(EncodeLeaseRecord(record)));
  CHECK_THROWS(Error, DecodeLeaseRecord("{}"));
}

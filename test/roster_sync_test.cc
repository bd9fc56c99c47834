#include "hawthornbank/roster_sync.h"

#include <CppUTest/TestHarness.h>

#include "hawthornbank/random.h"
#include "protocol/node_message.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{std::chrono::seconds{1000}};

auto MakeRecord(std::uint32_t n, std::uint32_t revision = 1) -> HostRecord {
  return HostRecord{.control = {.address = 0x0A010000 + n, .port = 7000},
                    .role = n % 10 < 3 ? HostRole::kBalancer : HostRole::kAgent,
                    .service = 77,
                    .zone = "depot-north",
                    .incarnation = 1777777777777,
                    .revision = revision,
                    .target = {.state = TargetState::kReady,
                               .started_at_ms = 1777777777000,
                               .slots = 3}};
}

auto MakeFleet(std::uint32_t self, std::uint32_t hosts) -> Fleet {
  Fleet fleet{.self = MakeRecord(self)};
  fleet.digest = ComputeRecordDigest(fleet.self);
  for (std::uint32_t n = 0; n < hosts; ++n) {
    if (n != self) {
      MergeHostRecord(fleet, MakeRecord(n), 0s, kNow);
    }
  }
  return fleet;
}

// Lets `fleet` compare its records with a peer's, whose datagrams are lost with
// the probability `loss`. Returns the bytes sent.
auto CompareWithPeer(Fleet& fleet,
                     const Fleet& peer,
                     double loss,
                     Random& random) -> std::size_t {
  const RosterComparison comparison{.buckets = ComputeRosterBuckets(fleet)};
  std::size_t bytes = EncodeNodeMessage(comparison).size();
  if (DrawRandomFraction(random) < loss) {
    return bytes;
  }
  RosterPart part;
  const auto deliver = [&] {
    bytes += EncodeNodeMessage(part).size();
    if (DrawRandomFraction(random) >= loss) {
      for (const auto& it : part.records) {
        MergeHostRecord(fleet, it.record, std::chrono::milliseconds{it.age_ms},
                        kNow);
      }
    }
    part.records.clear();
  };
  for (const auto& it : ListDifferingRecords(peer, comparison.buckets, kNow)) {
    part.records.push_back(it);
    if (part.records.size() == kMaxRecordsPerRosterPart) {
      deliver();
    }
  }
  deliver();
  return bytes;
}

}  // namespace

TEST_GROUP(RosterSync) {
  Random random{3};
};

TEST(RosterSync, EqualRecordsGiveEqualChecksumsInAnyOrder) {
  const Fleet first = MakeFleet(0, 200);
  const Fleet second = MakeFleet(1, 200);
  CHECK(first.digest == second.digest);
  CHECK(ComputeRosterBuckets(first) == ComputeRosterBuckets(second));
  CHECK(
      ListDifferingRecords(second, ComputeRosterBuckets(first), kNow).empty());
}

// Load pattern: one record of a large fleet changed and the datagram that told
// so was lost. Before, the whole list was sent: 40 KB at 1,000 hosts.
TEST(RosterSync, OneMissedChangeCostsAFewRecords) {
  for (const std::uint32_t hosts : {30U, 100U, 300U, 1000U}) {
    Fleet fleet = MakeFleet(0, hosts);
    Fleet peer = MakeFleet(1, hosts);
    MergeHostRecord(peer, MakeRecord(20, 2), 0s, kNow);
    CHECK(fleet.digest != peer.digest);
    CHECK(CompareWithPeer(fleet, peer, 0, random) <= 2000);
    CHECK(fleet.digest == peer.digest);
  }
}

// A new balancer resets flows that no agent holds after 3 s at the earliest. In
// that time it compares its records fifteen times.
TEST(RosterSync,
     NewBalancerIsCompleteBeforeItResetsFlowsThoughDatagramsAreLost) {
  constexpr int kComparisons = 15;
  for (const std::uint32_t hosts : {17U, 300U, 1000U, 5170U}) {
    const Fleet peer = MakeFleet(1, hosts);
    Fleet fleet = MakeFleet(0, 1);
    for (int n = 0; n < kComparisons; ++n) {
      CompareWithPeer(fleet, peer, 0.1, random);
    }
    CHECK(fleet.digest == peer.digest);
  }
}

TEST(RosterSync, ReplyIsBounded) {
  const Fleet fleet = MakeFleet(0, 1);
  const Fleet peer = MakeFleet(1, 3000);
  LONGS_EQUAL(
      kMaxSyncRecords,
      ListDifferingRecords(peer, ComputeRosterBuckets(fleet), kNow).size());
}

TEST(RosterSync, RecordsCarryTheTimeSinceTheLastContact) {
  Fleet peer = MakeFleet(1, 20);
  MergeHostRecord(peer, MakeRecord(25), 5s, kNow);
  const auto records =
      ListDifferingRecords(peer, ComputeRosterBuckets(MakeFleet(0, 20)), kNow);
  bool found = false;
  for (const auto& it : records) {
    if (it.record.control == MakeRecord(25).control) {
      LONGS_EQUAL(5000, it.age_ms);
      found = true;
    }
  }
  CHECK(found);
}

TEST(RosterSync, IgnoresListsOfAnInvalidSize) {
  const Fleet peer = MakeFleet(1, 20);
  CHECK(ListDifferingRecords(peer, {}, kNow).empty());
  CHECK(
      ListDifferingRecords(peer, std::vector<std::uint32_t>(17), kNow).empty());
  CHECK(ListDifferingRecords(peer, std::vector<std::uint32_t>(512), kNow)
            .empty());
}

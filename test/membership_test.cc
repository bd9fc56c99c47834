#include "hawthornbank/membership.h"

#include <algorithm>
#include <cereal/archives/binary.hpp>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

auto MakeTargetRecord(const std::string& name,
                      std::uint64_t incarnation,
                      std::uint64_t sequence) -> TargetRecord {
  return TargetRecord{.id = TargetId{HashName(name)},
                      .name = name,
                      .service = ServiceId{1},
                      .agent = Endpoint{.address = 2, .port = 2},
                      .zone = "a",
                      .incarnation = Incarnation{incarnation},
                      .sequence = sequence};
}

auto MakeLoneMembership() -> Membership {
  return MakeMembership(
      MembershipOptions{.self =
                            BalancerRecord{.id = HostId{1},
                                           .name = "b",
                                           .peer = {.address = 1, .port = 1},
                                           .zone = "a",
                                           .region = "r",
                                           .incarnation = Incarnation{1}}},
      TimePoint{});
}

auto CountEvents(const std::vector<MembershipAction>& actions,
                 MembershipEvent event) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      actions.begin(), actions.end(), [event](const MembershipAction& it) {
        const auto* count = std::get_if<CountMembershipEvent>(&it);
        return count != nullptr && count->event == event;
      }));
}

}  // namespace

TEST_GROUP(MembershipMessages){};

TEST(MembershipMessages, EncodedSizeMatchesTheEncoding) {
  Digest digest{.sender = HostId{1},
                .incarnation = Incarnation{300},
                .sequence = 70000,
                .first_bucket = 200,
                .bucket_checksums = {1, 2},
                .beacons = {{.zone = 7, .beacon = 1000}},
                .targets = {MakeTargetRecord("t", 9, 1000)},
                .balancers = {BalancerRecord{.name = "bb", .zone = "z"}}};
  std::ostringstream stream;
  cereal::BinaryOutputArchive archive(stream);
  archive(digest);
  LONGS_EQUAL(stream.str().size(), ComputeEncodedSize(digest));
  std::istringstream input(stream.str());
  Digest read;
  cereal::BinaryInputArchive{input}(read);
  CHECK(read.sequence == 70000);
  CHECK(read.targets.at(0).sequence == 1000);
  STRCMP_EQUAL("bb", read.balancers.at(0).name.c_str());
}

TEST(MembershipMessages, DecodingRejectsOverlongLists) {
  std::istringstream input(std::string("\xFF\xFF\xFF\x7F", 4));
  cereal::BinaryInputArchive archive(input);
  std::vector<ZoneBeacon> list;
  CHECK_THROWS(Error, wire::SerializeList(archive, list));
}

TEST_GROUP(MembershipRules){};

TEST(MembershipRules, StaleAnnouncementIsIgnoredAndCounted) {
  auto membership = MakeLoneMembership();
  std::vector<MembershipAction> out;
  const Endpoint from{.address = 2, .port = 2};
  OnAnnouncement(membership, from,
                 Announcement{.target = MakeTargetRecord("t", 5, 10)},
                 TimePoint{1s}, out);
  auto drained = MakeTargetRecord("t", 5, 9);
  drained.state = TargetState::kDraining;
  out.clear();
  OnAnnouncement(membership, from, Announcement{.target = drained},
                 TimePoint{2s}, out);
  LONGS_EQUAL(1, CountEvents(out, MembershipEvent::kStaleAnnounce));
  drained.incarnation = Incarnation{4};
  drained.sequence = 99;
  OnAnnouncement(membership, from, Announcement{.target = drained},
                 TimePoint{2s}, out);
  LONGS_EQUAL(2, CountEvents(out, MembershipEvent::kStaleAnnounce));
  LONGS_EQUAL(1, ListRoutableTargets(membership, ServiceId{1}).size());
}

TEST(MembershipRules, RestartReplacesTheRecordAndResetsTheFirstSeenTime) {
  auto membership = MakeLoneMembership();
  std::vector<MembershipAction> out;
  OnAnnouncement(membership, {},
                 Announcement{.target = MakeTargetRecord("t", 5, 10)},
                 TimePoint{1s}, out);
  auto restarted = MakeTargetRecord("t", 6, 1);
  restarted.agent.port = 77;
  OnAnnouncement(membership, {}, Announcement{.target = restarted},
                 TimePoint{9s}, out);
  const auto targets = ListRoutableTargets(membership, ServiceId{1});
  LONGS_EQUAL(1, targets.size());
  LONGS_EQUAL(77, targets[0].agent.port);
  CHECK(GetFirstSeenTime(membership, restarted.id) == TimePoint{9s});
}

TEST(MembershipRules, AnnouncedDeathIsIgnoredAndExcessWeightIsReduced) {
  auto membership = MakeLoneMembership();
  std::vector<MembershipAction> out;
  auto target = MakeTargetRecord("t", 1, 1);
  target.load.weight_percent = 5000;
  OnAnnouncement(membership, {}, Announcement{.target = target}, TimePoint{1s},
                 out);
  LONGS_EQUAL(100,
              ListTargets(membership, ServiceId{1})[0].load.weight_percent);
  target.state = TargetState::kDead;
  target.sequence = 2;
  OnAnnouncement(membership, {}, Announcement{.target = target}, TimePoint{1s},
                 out);
  LONGS_EQUAL(1, CountEvents(out, MembershipEvent::kMalformedAnnounce));
  LONGS_EQUAL(1, ListRoutableTargets(membership, ServiceId{1}).size());
}

TEST(MembershipRules, DrainingTargetsDoNotBringAServiceBelowItsFloor) {
  auto membership = MakeLoneMembership();
  std::vector<MembershipAction> out;
  Digest digest{.sender = HostId{2}};
  for (int n = 0; n < 7; ++n) {
    auto target = MakeTargetRecord("t-" + std::to_string(n), 1, 1);
    target.state = n < 2 ? TargetState::kServing : TargetState::kDraining;
    OnAnnouncement(membership, {}, Announcement{.target = target},
                   TimePoint{1s}, out);
  }
  digest.targets = {MakeTargetRecord("t-0", 1, 1)};
  digest.targets[0].state = TargetState::kSuspect;
  OnDigestReceived(membership, {}, digest, TimePoint{2s}, out);
  const auto targets = ListRoutableTargets(membership, ServiceId{1});
  LONGS_EQUAL(1, targets.size());
  STRCMP_EQUAL("t-1", targets[0].name.c_str());
}

TEST(MembershipRules, TombstoneOfAnUnknownTargetIsNotAdopted) {
  auto membership = MakeLoneMembership();
  std::vector<MembershipAction> out;
  auto dead = MakeTargetRecord("t", 1, 1);
  dead.state = TargetState::kDead;
  OnDigestReceived(membership, {},
                   Digest{.sender = HostId{2}, .targets = {dead}},
                   TimePoint{1s}, out);
  LONGS_EQUAL(0, ListTargets(membership, ServiceId{1}).size());
}

TEST_GROUP(MembershipLocalHealth) {
  Membership membership = MakeLoneMembership();
  Random random{1};
  std::vector<MembershipAction> out;
  std::uint64_t sequence = 0;

  /// Runs membership ticks while the named targets announce every second.
  auto RunWithAnnouncingTargets(Duration from, Duration to,
                                const std::vector<std::string>& names)
      ->void {
    for (auto now = from; now < to; now += 100ms) {
      if (now % 1s == 0s) {
        ++sequence;
        for (const auto& it : names) {
          OnAnnouncement(
              membership, {},
              Announcement{.target = MakeTargetRecord(it, 1, sequence)},
              TimePoint{now}, out);
        }
      }
      OnMembershipTick(membership, TimePoint{now}, random, out);
    }
  }
};

TEST(MembershipLocalHealth, OneSilentTargetIsSuspectedAfterTheTimeout) {
  RunWithAnnouncingTargets(0s, 10s, {"a", "b", "c", "d", "e", "f"});
  RunWithAnnouncingTargets(10s, 11400ms, {"a", "b", "c", "d", "e"});
  LONGS_EQUAL(6, ListRoutableTargets(membership, ServiceId{1}).size());
  RunWithAnnouncingTargets(11400ms, 12s, {"a", "b", "c", "d", "e"});
  LONGS_EQUAL(5, ListRoutableTargets(membership, ServiceId{1}).size());
}

TEST(MembershipLocalHealth, MostTargetsSilentAtOnceAreSuspectedLater) {
  RunWithAnnouncingTargets(0s, 10s, {"a", "b", "c", "d", "e", "f"});
  RunWithAnnouncingTargets(10s, 13500ms, {"a", "b"});
  LONGS_EQUAL(6, ListRoutableTargets(membership, ServiceId{1}).size());
  CHECK(CountEvents(out, MembershipEvent::kLocalHealthWorsened) > 0);
  RunWithAnnouncingTargets(14s, 20s, {"a", "b"});
  LONGS_EQUAL(2, ListRoutableTargets(membership, ServiceId{1}).size());
}

TEST(MembershipLocalHealth, WrongSuspicionDelaysTheNextSuspicion) {
  const std::vector<std::string> others = {"a", "b", "c"};
  RunWithAnnouncingTargets(0s, 10s, {"a", "b", "c", "d"});
  RunWithAnnouncingTargets(10s, 13s, others);
  LONGS_EQUAL(1, CountEvents(out, MembershipEvent::kSuspected));
  // Another watcher has since received announcements of target d; this balancer
  // still receives no announcement of target d.
  OnDigestReceived(
      membership, {},
      Digest{.sender = HostId{2}, .targets = {MakeTargetRecord("d", 1, 13)}},
      TimePoint{13s}, out);
  RunWithAnnouncingTargets(13s, 16s, others);
  LONGS_EQUAL(1, CountEvents(out, MembershipEvent::kSuspected));
  LONGS_EQUAL(4, ListRoutableTargets(membership, ServiceId{1}).size());
}

TEST(MembershipRules, SenderOfAStaleSuspicionIsSentTheNewerRecord) {
  auto membership = MakeLoneMembership();
  std::vector<MembershipAction> out;
  OnAnnouncement(membership, {},
                 Announcement{.target = MakeTargetRecord("t", 1, 10)},
                 TimePoint{1s}, out);
  auto accused = MakeTargetRecord("t", 1, 9);
  accused.state = TargetState::kSuspect;
  out.clear();
  const Endpoint from{.address = 9, .port = 9};
  OnDigestReceived(membership, from,
                   Digest{.sender = HostId{2}, .targets = {accused}},
                   TimePoint{1s}, out);
  bool corrected = false;
  for (const auto& it : out) {
    const auto* send = std::get_if<SendDigest>(&it);
    corrected = corrected || (send != nullptr && send->to == from &&
                              send->digest.targets.size() == 1 &&
                              send->digest.targets[0].sequence == 10);
  }
  CHECK(corrected);
}

// The clock of a balancer's host has gone back between two of its starts.
TEST(MembershipRules, BalancerWhoseHeartbeatIsOfAnEarlierStartIsSentItsRecord) {
  auto membership = MakeLoneMembership();
  std::vector<MembershipAction> out;
  const Endpoint from{.address = 9, .port = 9};
  const BalancerRecord stopped{.id = HostId{2},
                               .name = "c",
                               .peer = from,
                               .zone = "a",
                               .region = "r",
                               .incarnation = Incarnation{70}};
  OnDigestReceived(membership, from,
                   Digest{.sender = HostId{2},
                          .incarnation = Incarnation{70},
                          .balancers = {stopped}},
                   TimePoint{1s}, out);
  out.clear();
  OnDigestReceived(membership, from,
                   Digest{.sender = HostId{2}, .incarnation = Incarnation{50}},
                   TimePoint{2s}, out);
  const auto sent =
      std::find_if(out.begin(), out.end(), [](const MembershipAction& it) {
        return std::holds_alternative<SendDigest>(it);
      });
  CHECK(sent != out.end());
  const auto& digest = std::get<SendDigest>(*sent).digest;
  CHECK(std::get<SendDigest>(*sent).to == from);
  LONGS_EQUAL(1, digest.balancers.size());
  CHECK(digest.balancers[0].incarnation == Incarnation{70});
}

// Guards against a balancer that ends, or ignores all others, because a peer
// sent one record with values out of range.
TEST(MembershipRules, RecordWithValuesOutOfRangeCostsOnlyItself) {
  Membership membership = MakeLoneMembership();
  std::vector<MembershipAction> out;
  Digest digest{.sender = HostId{2}, .incarnation = Incarnation{1}};
  digest.targets = {MakeTargetRecord("state", 1, 1),
                    MakeTargetRecord("incarnation", UINT64_MAX, 1),
                    MakeTargetRecord("good", 1, 1)};
  digest.targets[0].state = static_cast<TargetState>(99);
  digest.balancers = {
      BalancerRecord{
          .id = HostId{1}, .name = "b", .incarnation = Incarnation{UINT64_MAX}},
      BalancerRecord{.id = HostId{3},
                     .name = "c",
                     .state = static_cast<BalancerState>(9)}};
  OnDigestReceived(membership, Endpoint{.address = 9, .port = 9}, digest,
                   TimePoint{1s}, out);
  LONGS_EQUAL(1, membership.targets.size());
  CHECK(membership.targets.contains(TargetId{HashName("good")}));
  CHECK_FALSE(membership.balancers.contains(HostId{3}));
  LONGS_EQUAL(1, ToInteger(membership.self.incarnation));
  LONGS_EQUAL(4, CountEvents(out, MembershipEvent::kMalformedRecord));
  OnAnnouncement(membership, Endpoint{.address = 9, .port = 9},
                 Announcement{.target = digest.targets[0]}, TimePoint{1s}, out);
  LONGS_EQUAL(1, membership.targets.size());
}

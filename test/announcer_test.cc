#include "hawthornbank/announcer.h"

#include <CppUTest/TestHarness.h>

using namespace hawthornbank;
using namespace std::chrono_literals;

namespace {

const Endpoint kSeed{.address = 1, .port = 1};
const Endpoint kWatcher{.address = 2, .port = 2};

auto MakeTestAnnouncer() -> Announcer {
  return MakeAnnouncer(
      AnnouncerOptions{.self = TargetRecord{.id = TargetId{7},
                                            .service = ServiceId{1},
                                            .incarnation = Incarnation{5}},
                       .seeds = {kSeed}});
}

auto ListSentAnnouncements(const std::vector<AnnouncerAction>& actions)
    -> std::vector<SendAnnounce> {
  std::vector<SendAnnounce> sent;
  for (const auto& it : actions) {
    if (const auto* send = std::get_if<SendAnnounce>(&it)) {
      sent.push_back(*send);
    }
  }
  return sent;
}

auto MakeAck(TargetState state, std::uint64_t sequence) -> AnnouncementAck {
  return AnnouncementAck{.target = TargetId{7},
                         .state = state,
                         .incarnation = Incarnation{5},
                         .sequence = sequence,
                         .watchers = {kWatcher}};
}

}  // namespace

TEST_GROUP(Announcer) {
  Announcer announcer = MakeTestAnnouncer();
  Random random{1};
  std::vector<AnnouncerAction> out;

  /// Sends the first announcement and acknowledges the announcement at time
  /// `now`; clears `out`.
  auto SendAndAcknowledgeFirstAnnouncement(TimePoint now)->void {
    OnAnnouncerTick(announcer, now, random, out);
    OnAnnouncementAckReceived(announcer, kSeed,
                              MakeAck(TargetState::kServing, 1), now, out);
    out.clear();
  }
};

TEST(Announcer, AnnouncesToSeedsUntilAcknowledged) {
  const auto next = OnAnnouncerTick(announcer, TimePoint{1s}, random, out);
  CHECK(next == TimePoint{1200ms});
  OnAnnouncerTick(announcer, next, random, out);
  LONGS_EQUAL(2, ListSentAnnouncements(out).size());
  CHECK(ListSentAnnouncements(out)[1].to == kSeed);
  CHECK(ListSentAnnouncements(out)[1].announcement.wants_ack);
}

TEST(Announcer, AnnouncesToTheWatchersThatABalancerNames) {
  SendAndAcknowledgeFirstAnnouncement(TimePoint{1s});
  OnAnnouncerTick(announcer, TimePoint{2s}, random, out);
  LONGS_EQUAL(1, ListSentAnnouncements(out).size());
  CHECK(ListSentAnnouncements(out)[0].to == kWatcher);
}

TEST(Announcer, SequenceGrowsWithEachAnnouncement) {
  SendAndAcknowledgeFirstAnnouncement(TimePoint{1s});
  OnAnnouncerTick(announcer, TimePoint{2s}, random, out);
  OnAnnouncerTick(announcer, TimePoint{4s}, random, out);
  CHECK(ListSentAnnouncements(out)[0].announcement.target.sequence <
        ListSentAnnouncements(out)[1].announcement.target.sequence);
}

TEST(Announcer, SuspicionIsRefutedAtOnceToTheSuspectingBalancer) {
  SendAndAcknowledgeFirstAnnouncement(TimePoint{1s});
  OnAnnouncementAckReceived(announcer, kSeed,
                            MakeAck(TargetState::kSuspect, 40),
                            TimePoint{1100ms}, out);
  LONGS_EQUAL(1, ListSentAnnouncements(out).size());
  CHECK(ListSentAnnouncements(out)[0].to == kSeed);
  LONGS_EQUAL(41, ListSentAnnouncements(out)[0].announcement.target.sequence);
}

TEST(Announcer, DrainIsAnnouncedAtOnceAndRepeated) {
  SendAndAcknowledgeFirstAnnouncement(TimePoint{1s});
  OnAnnouncerTick(announcer, TimePoint{2s}, random, out);
  out.clear();
  BeginDrain(announcer, TimePoint{2100ms}, out);
  LONGS_EQUAL(1, ListSentAnnouncements(out).size());
  CHECK(ListSentAnnouncements(out)[0].announcement.target.state ==
        TargetState::kDraining);
  OnAnnouncerTick(announcer, TimePoint{2300ms}, random, out);
  LONGS_EQUAL(2, ListSentAnnouncements(out).size());
}

TEST(Announcer, AnnouncesToSeedsWhenWatchersStaySilent) {
  SendAndAcknowledgeFirstAnnouncement(TimePoint{1s});
  bool announced_to_seed = false;
  for (auto now = TimePoint{2s}; now < TimePoint{16s}; now += 1s) {
    OnAnnouncerTick(announcer, now, random, out);
    announced_to_seed =
        announced_to_seed || ListSentAnnouncements(out).back().to == kSeed;
  }
  CHECK(announced_to_seed);
}

TEST(Announcer, LaterIncarnationSupersedesTheAnnouncer) {
  auto ack = MakeAck(TargetState::kServing, 1);
  ack.incarnation = Incarnation{6};
  OnAnnouncementAckReceived(announcer, kSeed, ack, TimePoint{1s}, out);
  LONGS_EQUAL(1, out.size());
  CHECK(std::get<Superseded>(out[0]).incarnation == Incarnation{6});
}

TEST(Announcer, NewViewIsReportedOnce) {
  auto ack = MakeAck(TargetState::kServing, 1);
  ack.has_view = true;
  ack.view = ServiceView{.service = ServiceId{1}, .version = 3};
  OnAnnouncementAckReceived(announcer, kSeed, ack, TimePoint{1s}, out);
  OnAnnouncementAckReceived(announcer, kSeed, ack, TimePoint{1s}, out);
  LONGS_EQUAL(1, out.size());
  LONGS_EQUAL(3, std::get<ViewChanged>(out[0]).view.version);
}

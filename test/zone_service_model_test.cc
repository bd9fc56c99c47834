#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "hawthornbank/gossip_plan.h"
#include "hawthornbank/random.h"
#include "hawthornbank/route_follower.h"
#include "hawthornbank/zone_service.h"

using namespace hawthornbank;
using namespace std::chrono_literals;

/// @file
/// Random histories of a fleet whose zones are taken out of service and
/// returned, in virtual time. Between the operator's orders, processes restart,
/// the store is down, rejects some balancers or returns from a copy, and
/// messages are lost. No balancer that has been in touch with the store for a
/// while may use a zone later than the bound after the order, and in the end
/// all processes agree with the store.

namespace {

constexpr Duration kStep = 10ms;
constexpr Duration kBound = 5s;  // After the order's acknowledgement.
constexpr Duration kStableWindow = 5s;
constexpr Duration kFaults = 60s;  // Orders and faults end here.
constexpr Duration kSettling = 15s;
constexpr int kZones = 3;
constexpr int kBalancersPerZone = 3;
constexpr int kAgentsPerZone = 4;

// Whether a process, or any process, reaches the store.
struct Reach {
  bool is_up = true;
  TimePoint changed{};  // When `is_up` changed.
};

struct Store {
  StorePosition position{.era = 1, .revision = 5};
  std::map<std::string, TimePoint> out;  // With the time of the order.
  Reach reach;
};

struct Report {
  std::size_t from = 0;
  std::size_t to = 0;
  TimePoint arrives{};
  Duration age{};
  ZonesOutOfService zones;
};

struct Answer {
  std::size_t to = 0;
  TimePoint arrives{};
  StoreCall call;
  bool is_failure = false;
  ZonesOutOfService zones;
  std::uint64_t incarnation = 0;
};

struct Process {
  HostRecord record;
  Fleet fleet;
  RouteFollower follower;
  ZonesOutOfService zones;
  TimePoint next_heartbeat{};
  std::uint64_t round = 0;
  Reach reach;
};

auto IsBalancer(const Process& process) -> bool {
  return process.record.role == HostRole::kBalancer;
}

class Model {
 public:
  explicit Model(std::uint64_t seed) : random_(seed) {
    for (int zone = 0; zone < kZones; ++zone) {
      for (int n = 0; n < kBalancersPerZone + kAgentsPerZone; ++n) {
        const auto address = 0x0A000001U + processes_.size();
        processes_.push_back(Process{
            .record = {
                .control = {.address = static_cast<std::uint32_t>(address),
                            .port = 7000},
                .role = n < kBalancersPerZone ? HostRole::kBalancer
                                              : HostRole::kAgent,
                .zone = MakeZoneName(zone)}});
      }
    }
    for (std::size_t n = 0; n < processes_.size(); ++n) {
      Restart(n);
    }
    snapshot_ = store_;
  }

  auto Run() -> void {
    const TimePoint start = now_;
    for (; now_ - start < kFaults; Step()) {
      MakeRandomEvent();
    }
    loss_ = 0;
    SetUp(store_.reach, true);
    for (auto& it : processes_) {
      SetUp(it.reach, true);
    }
    while (now_ - start < kFaults + kSettling) {
      Step();
    }
    CheckAllAgree();
  }

 private:
  static auto MakeZoneName(int zone) -> std::string {
    return std::string(1, static_cast<char>('a' + zone));
  }

  auto Draw(double probability) -> bool {
    return DrawRandomFraction(random_) < probability;
  }

  auto DrawIndex(std::size_t count) -> std::size_t {
    return static_cast<std::size_t>(DrawRandomFraction(random_) *
                                    static_cast<double>(count));
  }

  auto Restart(std::size_t n) -> void {
    Process& process = processes_[n];
    ++process.record.incarnation;
    process.record.revision = 1;
    process.fleet = {};
    process.fleet.self = process.record;
    process.follower = RouteFollower{.lists_zones = true, .started = now_};
    process.zones = {};
    process.next_heartbeat = now_;
    process.reach.changed = now_;
    for (const auto& it : processes_) {
      if (it.record.control != process.record.control) {
        MergeHostRecord(process.fleet, it.record, 0ms, now_);
      }
    }
  }

  auto SetUp(Reach& reach, bool is_up) -> void {
    if (reach.is_up != is_up) {
      reach = {.is_up = is_up, .changed = now_};
    }
  }

  auto ChangeOrder(const std::string& zone) -> void {
    ++store_.position.revision;
    if (store_.out.erase(zone) == 0) {
      store_.out[zone] = now_;
    }
  }

  // The store loses what was written after the snapshot.
  auto ReturnFromCopy() -> void {
    auto out = snapshot_.out;
    for (auto& [zone, since] : out) {
      since =
          store_.out.contains(zone) ? std::max(since, store_.out[zone]) : now_;
    }
    store_.out = out;
    store_.position = {.era = store_.position.era + 1,
                       .revision = snapshot_.position.revision + 1};
    snapshot_ = store_;
  }

  auto MakeRandomEvent() -> void {
    constexpr double kPerStep = 0.01;
    if (Draw(2 * kPerStep)) {
      ChangeOrder(MakeZoneName(static_cast<int>(DrawIndex(kZones))));
    }
    if (Draw(kPerStep)) {
      ++store_.position.revision;  // Another writer.
    }
    if (Draw(kPerStep / 4)) {
      snapshot_ = store_;
    }
    if (Draw(kPerStep / 8)) {
      ReturnFromCopy();
    }
    if (Draw(kPerStep / 2)) {
      Restart(DrawIndex(processes_.size()));
    }
    if (Draw(kPerStep / 4)) {
      Process& process = processes_[DrawIndex(processes_.size())];
      SetUp(process.reach, !process.reach.is_up);
    }
    if (Draw(store_.reach.is_up ? kPerStep / 20 : kPerStep / 3)) {
      SetUp(store_.reach, !store_.reach.is_up);
    }
    if (Draw(kPerStep / 5)) {
      loss_ = Draw(0.5) ? 0 : DrawRandomFraction(random_);
    }
  }

  auto Step() -> void {
    now_ += kStep;
    Deliver();
    for (std::size_t n = 0; n < processes_.size(); ++n) {
      if (IsBalancer(processes_[n])) {
        CallStoreIfDue(n);
      }
      SendHeartbeatIfDue(n);
    }
    CheckBound();
  }

  auto ListZones() const -> ZonesOutOfService {
    std::vector<std::string> out;
    for (const auto& [zone, since] : store_.out) {
      out.push_back(zone);
    }
    return MakeZonesOutOfService(store_.position, std::move(out));
  }

  auto CallStoreIfDue(std::size_t n) -> void {
    Process& process = processes_[n];
    MarkLateStoreCalls(process.follower, now_, random_);
    const StoreCall call = BeginStoreCallIfDue(
        process.follower, ComputeReaderRank(process.fleet, now_), now_);
    if (call.kind == StoreCallKind::kNone) {
      return;
    }
    const bool is_failure = !store_.reach.is_up || !process.reach.is_up;
    if (is_failure && Draw(0.5)) {
      return;  // No answer.
    }
    answers_.push_back(Answer{.to = n,
                              .arrives = now_ + kStep * (1 + DrawIndex(10)),
                              .call = call,
                              .is_failure = is_failure,
                              .zones = ListZones(),
                              .incarnation = process.record.incarnation});
  }

  auto SendReport(std::size_t from, Endpoint to) -> void {
    if (Draw(loss_)) {
      return;
    }
    const Process& process = processes_[from];
    reports_.push_back(Report{
        .from = from,
        .to = to.address - 0x0A000001U,
        .arrives = now_ + kStep,
        .age = IsBalancer(process) ? now_ - process.follower.confirmed_at : 1h,
        .zones = process.zones});
  }

  auto SendNews(std::size_t from, bool from_store) -> void {
    Process& process = processes_[from];
    process.follower.news_sent_at = now_;
    for (const auto it :
         ListRoutesNewsReceivers(process.fleet, from_store, now_)) {
      SendReport(from, it);
    }
    NotifyAgents(from);
  }

  auto NotifyAgents(std::size_t from) -> void {
    Process& process = processes_[from];
    if (!AreZonesKnown(process.zones)) {
      return;
    }
    for (const auto it : ListAgentsToNotifyOfZones(
             process.fleet, ComputeZonesDigest(process.zones), process.round++,
             now_)) {
      SendReport(from, it);
    }
  }

  auto SendHeartbeatIfDue(std::size_t n) -> void {
    Process& process = processes_[n];
    if (now_ < process.next_heartbeat) {
      return;
    }
    process.next_heartbeat =
        now_ + kMinHeartbeatInterval + kStep * DrawIndex(10);
    for (const auto it :
         ListHeartbeatReceivers(process.fleet, process.round++, now_)) {
      SendReport(n, it);
    }
    if (IsBalancer(process)) {
      NotifyAgents(n);
    }
  }

  template <class Message, class Handler>
  auto DeliverDue(std::vector<Message>& messages, Handler&& handle) -> void {
    std::vector<Message> due;
    std::erase_if(messages, [&](const Message& it) {
      if (it.arrives <= now_) {
        due.push_back(it);
      }
      return it.arrives <= now_;
    });
    for (const auto& it : due) {
      handle(it);
    }
  }

  auto Deliver() -> void {
    DeliverDue(answers_, [this](const Answer& it) { OnAnswer(it); });
    DeliverDue(reports_, [this](const Report& it) { OnReport(it); });
  }

  auto OnAnswer(const Answer& answer) -> void {
    Process& process = processes_[answer.to];
    RouteFollower& follower = process.follower;
    if (answer.incarnation != process.record.incarnation) {
      return;
    }
    if (answer.is_failure) {
      OnStoreFailure(follower, answer.call.id, now_, random_);
      return;
    }
    const StorePosition before = follower.newest_position;
    if (answer.call.kind == StoreCallKind::kRoutes) {
      OnStoreRoutes(follower, answer.call.id, answer.zones.position);
    } else if (OnStoreRevision(follower, answer.call.id,
                               answer.zones.position) &&
               ReplaceZonesByStore(
                   process.zones, answer.zones,
                   HasStoreLostChanges(before, answer.zones.position))) {
      SendNews(answer.to, true);
    }
    if (follower.is_current && BeginRoutesNewsIfDue(follower, now_)) {
      SendNews(answer.to, true);
    }
  }

  auto OnReport(const Report& report) -> void {
    Process& process = processes_[report.to];
    const Process& sender = processes_[report.from];
    const auto outcome = ReplaceZonesIfNewer(process.zones, report.zones);
    const auto host = process.fleet.hosts.find(sender.record.control);
    if (host != process.fleet.hosts.end()) {
      RecordHostContact(host->second, now_);
      host->second.zones_digest = ComputeZonesDigest(report.zones);
    }
    if (!IsBalancer(process)) {
      SendReport(report.to, sender.record.control);
      return;
    }
    OnPeerRoutesVersion(process.follower, sender.record.control, 1,
                        outcome.is_same ? report.age : 1h, 1, now_);
    if (outcome.has_changed && sender.record.zone != process.record.zone) {
      SendNews(report.to, false);
    }
  }

  auto IsInTouch(const Process& process) const -> bool {
    const auto is_stable = [this](const Reach& it) {
      return it.is_up && now_ - it.changed >= kStableWindow;
    };
    return is_stable(store_.reach) && is_stable(process.reach);
  }

  auto CheckBound() const -> void {
    for (const auto& process : processes_) {
      if (!IsBalancer(process) || !IsInTouch(process)) {
        continue;
      }
      for (const auto& [zone, since] : store_.out) {
        CHECK(now_ - since <= kBound || IsOutOfService(process.zones, zone));
      }
    }
  }

  auto CheckAllAgree() const -> void {
    for (const auto& process : processes_) {
      CHECK(process.zones.zones == ListZones().zones);
    }
  }

  Random random_;
  TimePoint now_{std::chrono::hours{24}};
  Store store_;
  Store snapshot_;
  std::vector<Process> processes_;
  std::vector<Report> reports_;
  std::vector<Answer> answers_;
  double loss_ = 0;  // Share of lost messages between processes.
};

}  // namespace

TEST_GROUP(ZoneServiceModel){};

TEST(ZoneServiceModel, BoundHoldsInTouchAndAllProcessesAgreeInTheEnd) {
  constexpr std::uint64_t kHistories = 30;
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    Model(seed).Run();
  }
}

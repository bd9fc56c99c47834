#ifndef HAWTHORNBANK_ANNOUNCER_H_
#define HAWTHORNBANK_ANNOUNCER_H_

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

#include "hawthornbank/membership_messages.h"
#include "hawthornbank/random.h"
#include "hawthornbank/types.h"

/// @file
/// Agent side of membership: announces a target to its watchers, the balancers
/// that monitor the target.
namespace hawthornbank {

/// Settings of an agent's announcer.
struct AnnouncerOptions {
  TargetRecord self;            ///< Must have a new incarnation at each start.
  std::vector<Endpoint> seeds;  ///< Balancers to contact at the start.
  Duration announcement_interval = std::chrono::seconds{1};
  Duration fast_announcement_interval = std::chrono::milliseconds{200};
  Duration ack_timeout = std::chrono::seconds{6};
};

/// Action: send an announcement to a balancer.
struct SendAnnounce {
  Endpoint to;
  Announcement announcement;
};

/// Action: report a changed view (list of targets) of the agent's service.
struct ViewChanged {
  ServiceView view;
};

/// Action: report that a process of a later incarnation announces the same
/// target.
struct Superseded {
  Incarnation incarnation{};
};

using AnnouncerAction = std::variant<SendAnnounce, ViewChanged, Superseded>;

namespace detail {

struct WatcherEntry {
  Endpoint endpoint;
  /// Send time of the oldest announcement that asked for an acknowledgement and
  /// received none.
  TimePoint ack_requested_at{};
  bool awaits_ack = false;
};

}  // namespace detail

/// State of an agent's announcer. Use the functions below; the members of this
/// type are not part of the interface.
struct Announcer {
  AnnouncerOptions options;
  TargetRecord self;
  std::vector<detail::WatcherEntry> watchers;
  ServiceView view;
  TimePoint last_announcement_at{};
  /// Number of announcements left to send at `fast_announcement_interval`.
  std::uint32_t fast_announcements_left = 0;
  /// Whether a balancer has named the target's watchers since the announcer
  /// last started to use seeds as watchers.
  bool was_acknowledged = false;
  bool has_announced = false;
};

/// Creates an announcer.
/// @param options Settings; self needs id, name, service, agent, zone and
///   incarnation.
/// @return The state to pass to the other functions.
auto MakeAnnouncer(const AnnouncerOptions& options) -> Announcer;

/// Handles an acknowledgement or a probe from a balancer: adopts the named
/// watchers and the view, and announces the target to a balancer
/// that reports the target as suspect or dead.
/// @param announcer State of the announcer.
/// @param from Address of the balancer.
/// @param ack The acknowledgement or probe.
/// @param now Current time.
/// @param out Actions are appended to it.
auto OnAnnouncementAckReceived(Announcer& announcer,
                               Endpoint from,
                               const AnnouncementAck& ack,
                               TimePoint now,
                               std::vector<AnnouncerAction>& out) -> void;

/// When an announcement is due, drops the watchers that don't acknowledge and
/// announces the target to the other watchers, or to seeds if no watcher is
/// known.
/// @param announcer State of the announcer.
/// @param now Current time.
/// @param random Random number generator for the choice of seeds.
/// @param out Actions are appended to it.
/// @return When to call this function again.
auto OnAnnouncerTick(Announcer& announcer,
                     TimePoint now,
                     Random& random,
                     std::vector<AnnouncerAction>& out) -> TimePoint;

/// Sets the load that the next announcement reports.
/// @param announcer State of the announcer.
/// @param load Current load of the target.
auto SetTargetLoad(Announcer& announcer, const TargetLoad& load) -> void;

/// Starts to drain a serving target: announces the drain at once and repeats
/// the announcement at the fast interval.
/// @param announcer State of the announcer.
/// @param now Current time.
/// @param out Actions are appended to it.
auto BeginDrain(Announcer& announcer,
                TimePoint now,
                std::vector<AnnouncerAction>& out) -> void;

/// Ends the drain of a draining target and announces that the target takes new
/// flows again.
/// @param announcer State of the announcer.
/// @param now Current time.
/// @param out Actions are appended to it.
auto CancelDrain(Announcer& announcer,
                 TimePoint now,
                 std::vector<AnnouncerAction>& out) -> void;

/// Announces that the process is shutting down. Carry out the actions before
/// the process ends.
/// @param announcer State of the announcer.
/// @param now Current time.
/// @param out Actions are appended to it.
auto AnnounceShutdown(Announcer& announcer,
                      TimePoint now,
                      std::vector<AnnouncerAction>& out) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ANNOUNCER_H_

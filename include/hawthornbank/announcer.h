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
/// Agent side of membership: announces one target to its watchers.
namespace hawthornbank {

/// Settings of an agent's announcer.
struct AnnouncerOptions {
  TargetRecord self;            ///< The incarnation must be new at each start.
  std::vector<Endpoint> seeds;  ///< Balancers to ask at start.
  Duration announce_interval = std::chrono::seconds{1};
  Duration hurry_interval = std::chrono::milliseconds{200};
  Duration ack_timeout = std::chrono::seconds{6};
};

/// Send an announce to a balancer.
struct SendAnnounce {
  Endpoint to;
  Announce announce;
};

/// The targets of the agent's service changed.
struct ViewChanged {
  ServiceView view;
};

/// A process of a later incarnation announces the same target.
struct Superseded {
  Incarnation incarnation{};
};

using AnnouncerAction = std::variant<SendAnnounce, ViewChanged, Superseded>;

namespace detail {

struct WatcherEntry {
  Endpoint endpoint;
  TimePoint asked{};  ///< First unanswered request for an answer.
  bool waiting = false;
};

}  // namespace detail

/// State of an agent's announcer. Use the functions below; the members are
/// not part of the interface.
struct Announcer {
  AnnouncerOptions options;
  TargetRecord self;
  std::vector<detail::WatcherEntry> watchers;
  ServiceView view;
  TimePoint last_announce{};
  std::uint32_t hurried = 0;  ///< Announces left at the hurry interval.
  bool answered = false;      ///< A watcher has answered since the start.
  bool announced = false;
};

/// Starts an announcer.
/// @param options Settings; self needs id, name, service, agent, zone and
///   incarnation.
/// @return The state to pass to the other functions.
auto MakeAnnouncer(const AnnouncerOptions& options) -> Announcer;

/// Takes a balancer's answer or probe.
/// @param announcer State.
/// @param from Where it came from.
/// @param ack The message.
/// @param now Present instant.
/// @param out Actions are appended.
auto OnAnnounceAck(Announcer& announcer,
                   Endpoint from,
                   const AnnounceAck& ack,
                   TimePoint now,
                   std::vector<AnnouncerAction>& out) -> void;

/// Announces when it is due.
/// @param announcer State.
/// @param now Present instant.
/// @param random Chooses a seed and spreads the announces.
/// @param out Actions are appended.
/// @return When to call again.
auto OnAnnouncerTick(Announcer& announcer,
                     TimePoint now,
                     Random& random,
                     std::vector<AnnouncerAction>& out) -> TimePoint;

/// Sets the load that the next announce reports.
/// @param announcer State.
/// @param load Present load.
auto SetLoad(Announcer& announcer, const TargetLoad& load) -> void;

/// Begins to drain: announces it at once and repeats it soon.
/// @param announcer State.
/// @param now Present instant.
/// @param out Actions are appended.
auto BeginDrain(Announcer& announcer,
                TimePoint now,
                std::vector<AnnouncerAction>& out) -> void;

/// Ends draining: the target takes new flows again.
/// @param announcer State.
/// @param now Present instant.
/// @param out Actions are appended.
auto CancelDrain(Announcer& announcer,
                 TimePoint now,
                 std::vector<AnnouncerAction>& out) -> void;

/// Says that the process ends. Send the actions before it does.
/// @param announcer State.
/// @param now Present instant.
/// @param out Actions are appended.
auto BeginLeave(Announcer& announcer,
                TimePoint now,
                std::vector<AnnouncerAction>& out) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_ANNOUNCER_H_

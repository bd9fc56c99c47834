#ifndef HAWTHORNBANK_SRC_TRANSPORT_STORE_READER_H_
#define HAWTHORNBANK_SRC_TRANSPORT_STORE_READER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "hawthornbank/route_follower.h"
#include "transport/call_pool.h"
#include "transport/latency_histogram.h"
#include "transport/node_binding.h"
#include "transport/store_page_cursor.h"

/// @file
/// Makes a balancer's calls that read the platform's store, as the route
/// follower decides.
namespace hawthornbank::transport {

class NodeHost;

/// Functions that a StoreReader calls.
struct StoreReaderCallbacks {
  /// Called with the store's position at each answer.
  std::function<void(const StorePosition& position)> on_position;
  /// Called with the routes and the platform's document.
  std::function<void(const RouteSet& routes, const std::string& document)>
      on_routes;
  /// Called with the zones out of service at each answer that lists them.
  std::function<void(ZonesOutOfService zones, bool has_lost_changes)> on_zones;
  /// Called at the end of each answer.
  std::function<void()> on_answer_handled;
};

/// Reads the store's revision, the zones out of service and the routes.
class StoreReader {
 public:
  /// @param host Node host of this process.
  /// @param follower Decides when to call; must outlive this object.
  /// @param callbacks Called from the handlers of answers.
  StoreReader(NodeHost& host,
              RouteFollower& follower,
              StoreReaderCallbacks callbacks);

  /// Finds late calls and makes the call that is due, if any. Not to be called
  /// from a callback.
  /// @param rank Place of this balancer among those that read the store.
  /// @param now Current time.
  auto MakeCallIfDue(const ReaderRank& rank, TimePoint now) -> void;

  /// Changes the store's endpoint and cancels calls to the former one.
  /// @param store The store's endpoint.
  auto SetStore(Endpoint store) -> void;

  /// @return Metrics of the calls.
  [[nodiscard]] auto FormatMetrics() const -> std::string;

 private:
  auto MarkLateCalls(TimePoint now) -> void;
  // A list that is read page by page, and what its pages so far had.
  struct RoutesRead {
    StorePageCursor cursor;
    RoutesResponse answer;
  };
  struct ZonesRead {
    StorePageCursor cursor;
    ZonesResponse answer;
  };

  auto SendRevisionRequest(CallId id) -> void;
  auto RequestRoutesPage(CallId id, RoutesRead read) -> void;
  auto RequestZonesPage(CallId id, ZonesRead read) -> void;
  auto OnRevisionResponse(CallId id, const HttpResponse& reply) -> void;
  auto OnRoutesPage(CallId id, RoutesRead& read, const HttpResponse& reply)
      -> void;
  auto OnZonesPage(CallId id, ZonesRead& read, const HttpResponse& reply)
      -> void;
  auto ApplyRoutes(CallId id, const RoutesResponse& answer) -> void;
  auto ApplyZones(CallId id, ZonesResponse& answer) -> void;
  auto LogSkippedEntries(std::string_view list,
                         const std::string& skipped,
                         std::string& logged) -> void;
  auto OnCallFailed(CallId id,
                    const HttpResponse& reply,
                    const std::string& reason) -> void;
  auto RecordFailure(const HttpResponse& reply,
                     const std::string& reason,
                     Duration took,
                     TimePoint now) -> void;
  auto RecordAnswer(CallId id, const StorePosition& position) -> void;
  auto LogStoreLoss(const StorePosition& before) const -> void;
  [[nodiscard]] auto ComputeCallTime(CallId id, TimePoint now) const
      -> Duration;

  NodeHost& host_;
  RouteFollower& follower_;
  StoreReaderCallbacks callbacks_;
  Endpoint store_;
  CallPool calls_;
  LatencyHistogram latency_;
  // Malformed entries that were logged.
  std::string skipped_zones_;
  std::string skipped_configurations_;
  std::uint64_t failures_ = 0;
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_STORE_READER_H_

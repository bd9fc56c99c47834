#include "transport/store_reader.h"

#include <algorithm>
#include <utility>

#include "protocol/json_list.h"
#include "transport/clock.h"
#include "transport/node_host.h"

namespace hawthornbank::transport {
namespace {

constexpr const char* kLossBetweenPages =
    "the store returned from a copy between two pages";
constexpr const char* kListNotReadToItsEnd = "list not read to its end";

// Adds the entries that were skipped on a further page.
auto AppendSkippedPage(std::string& skipped, const std::string& page) -> void {
  if (!page.empty() && skipped.size() < kMaxSkippedText) {
    skipped += skipped.empty() ? "" : "; ";
    skipped += page;
  }
}

}  // namespace

StoreReader::StoreReader(NodeHost& host,
                         RouteFollower& follower,
                         StoreReaderCallbacks callbacks)
    : host_(host),
      follower_(follower),
      callbacks_(std::move(callbacks)),
      store_(host.settings().store),
      calls_(host.io_context(), follower.store_calls) {}

auto StoreReader::MakeCallIfDue(const ReaderRank& rank, TimePoint now) -> void {
  MarkLateCalls(now);
  const StoreCall call = BeginStoreCallIfDue(follower_, rank, now);
  switch (call.kind) {
    case StoreCallKind::kRevision:
      if (follower_.lists_zones) {
        RequestZonesPage(call.id, {});
      } else {
        SendRevisionRequest(call.id);
      }
      break;
    case StoreCallKind::kRoutes:
      RequestRoutesPage(call.id, {});
      break;
    case StoreCallKind::kNone:
      break;
  }
}

auto StoreReader::SendRevisionRequest(CallId id) -> void {
  calls_.SendRequest(
      id, store_, host_.codec().make_read_revision_request(),
      [this, id](const HttpResponse& reply) { OnRevisionResponse(id, reply); });
}

auto StoreReader::RequestRoutesPage(CallId id, RoutesRead read) -> void {
  const HttpRequest request =
      host_.codec().make_list_routes_request(read.cursor.after);
  calls_.SendRequest(
      id, store_, request,
      [this, id, read = std::move(read)](const HttpResponse& reply) mutable {
        OnRoutesPage(id, read, reply);
      });
}

auto StoreReader::RequestZonesPage(CallId id, ZonesRead read) -> void {
  const HttpRequest request =
      host_.codec().make_list_zones_request(read.cursor.after);
  calls_.SendRequest(
      id, store_, request,
      [this, id, read = std::move(read)](const HttpResponse& reply) mutable {
        OnZonesPage(id, read, reply);
      });
}

auto StoreReader::SetStore(Endpoint store) -> void {
  if (store != store_) {
    store_ = store;
    calls_.ApplyLateCalls(CancelPendingCalls(follower_.store_calls));
  }
}

auto StoreReader::MarkLateCalls(TimePoint now) -> void {
  calls_.RecordProgress(now);
  const LateCalls changes = MarkLateStoreCalls(follower_, now, host_.random());
  calls_.ApplyLateCalls(changes);
  for (const auto& it : changes.late) {
    RecordFailure(
        HttpResponse{.failure = "late", .received_bytes = it.received_bytes},
        {}, now - it.started, now);
  }
}

auto StoreReader::OnRevisionResponse(CallId id, const HttpResponse& reply)
    -> void {
  const auto position = host_.codec().decode_store_position(reply);
  if (!position.has_value()) {
    OnCallFailed(id, reply, {});
    return;
  }
  RecordAnswer(id, *position);
  const StorePosition before = follower_.newest_position;
  OnStoreRevision(follower_, id, *position);
  LogStoreLoss(before);
  callbacks_.on_answer_handled();
}

// A list of several pages has the position of the first one: later changes may
// be missing in it.
auto StoreReader::OnZonesPage(CallId id,
                              ZonesRead& read,
                              const HttpResponse& reply) -> void {
  const auto& known_zones = host_.settings().zones;
  ZonesResponse page = host_.codec().decode_zones_response(reply, known_zones);
  if (!page.is_decoded) {
    OnCallFailed(id, reply, page.failure);
    return;
  }
  const std::string next_after = std::move(page.next_after);
  ZonesResponse& answer = read.answer;
  if (read.cursor.pages == 0) {
    answer = std::move(page);
  } else if (HasStoreLostChanges(answer.zones.position, page.zones.position)) {
    OnCallFailed(id, reply, kLossBetweenPages);
    return;
  } else {
    std::vector<std::string> zones = std::move(answer.zones.zones);
    zones.insert(zones.end(), page.zones.zones.begin(), page.zones.zones.end());
    answer.zones = MakeZonesOutOfService(answer.zones.position,
                                         std::move(zones), known_zones);
    AppendSkippedPage(answer.skipped, page.skipped);
  }
  if (MoveToNextPage(read.cursor, next_after)) {
    BeginNextResponse(follower_.store_calls, id, GetMonotonicTime());
    RequestZonesPage(id, std::move(read));
    return;
  }
  if (!next_after.empty()) {
    AppendSkippedEntry(answer.skipped, "list", kListNotReadToItsEnd);
  }
  ApplyZones(id, answer);
}

auto StoreReader::ApplyZones(CallId id, ZonesResponse& answer) -> void {
  const StorePosition position = answer.zones.position;
  RecordAnswer(id, position);
  const StorePosition before = follower_.newest_position;
  const bool is_newest = OnStoreRevision(follower_, id, position);
  LogStoreLoss(before);
  LogSkippedEntries("zones_out_of_service", answer.skipped, skipped_zones_);
  if (is_newest) {
    callbacks_.on_zones(std::move(answer.zones),
                        HasStoreLostChanges(before, position));
  }
  callbacks_.on_answer_handled();
}

// Logs malformed entries once, as each answer lists them again.
auto StoreReader::LogSkippedEntries(std::string_view list,
                                    const std::string& skipped,
                                    std::string& logged) -> void {
  if (skipped == logged) {
    return;
  }
  logged = skipped;
  if (!skipped.empty()) {
    host_.event_log().WriteEvent(EventKind::kMalformedInput, GetMonotonicTime(),
                                 "{}_malformed skipped=\"{}\"", list, skipped);
  }
}

// A list that can't be read to its end may have the routes further on, so it
// doesn't count as read.
auto StoreReader::OnRoutesPage(CallId id,
                               RoutesRead& read,
                               const HttpResponse& reply) -> void {
  RoutesResponse page = host_.codec().decode_routes_response(reply);
  if (!page.is_decoded) {
    OnCallFailed(id, reply, page.failure);
    return;
  }
  const std::string next_after = std::move(page.next_after);
  RoutesResponse& answer = read.answer;
  if (read.cursor.pages > 0) {
    if (HasStoreLostChanges(answer.position, page.position)) {
      OnCallFailed(id, reply, kLossBetweenPages);
      return;
    }
    page.position = answer.position;
    AppendSkippedPage(answer.skipped, page.skipped);
    page.skipped = std::move(answer.skipped);
  }
  answer = std::move(page);
  if (MoveToNextPage(read.cursor, next_after)) {
    BeginNextResponse(follower_.store_calls, id, GetMonotonicTime());
    RequestRoutesPage(id, std::move(read));
    return;
  }
  if (!next_after.empty()) {
    OnCallFailed(id, reply, kListNotReadToItsEnd);
    return;
  }
  ApplyRoutes(id, answer);
}

auto StoreReader::ApplyRoutes(CallId id, const RoutesResponse& answer) -> void {
  RecordAnswer(id, answer.position);
  const StorePosition before = follower_.newest_position;
  OnStoreRoutes(follower_, id, answer.position);
  LogStoreLoss(before);
  LogSkippedEntries("configuration", answer.skipped, skipped_configurations_);
  for (const auto& it : answer.ignored) {
    host_.event_log().WriteEvent(
        EventKind::kMalformedInput, GetMonotonicTime(),
        "setting_ignored service=\"{}\" field={} value=\"{}\"", it.owner,
        it.field, it.value);
  }
  if (answer.routes.has_value()) {
    callbacks_.on_routes(*answer.routes, answer.document);
  }
  callbacks_.on_answer_handled();
}

auto StoreReader::OnCallFailed(CallId id,
                               const HttpResponse& reply,
                               const std::string& reason) -> void {
  const TimePoint now = GetMonotonicTime();
  const Duration took = ComputeCallTime(id, now);
  const auto failures = follower_.failures;
  OnStoreFailure(follower_, id, now, host_.random());
  if (follower_.failures != failures) {
    RecordFailure(reply, reason, took, now);
  }
}

// Counts and logs a call that failed or became late.
auto StoreReader::RecordFailure(const HttpResponse& reply,
                                const std::string& reason,
                                Duration took,
                                TimePoint now) -> void {
  ++failures_;
  host_.event_log().WriteEvent(
      EventKind::kDependency, now,
      "{} status={} reason=\"{}{}\" era=\"{}\" bytes={} took_ms={}",
      follower_.failures == 1 ? "store_lost" : "store_call_failed",
      reply.status, reply.failure, reason, reply.header, reply.received_bytes,
      std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
}

auto StoreReader::RecordAnswer(CallId id, const StorePosition& position)
    -> void {
  const TimePoint now = GetMonotonicTime();
  callbacks_.on_position(position);
  latency_.AddSample(ComputeCallTime(id, now));
  if (follower_.failures > 0) {
    host_.event_log().WriteEvent(EventKind::kDependency, now,
                                 "store_regained failures={} revision={}",
                                 follower_.failures, position.revision);
  }
}

// Logs that the store has returned from a copy since `before`, if it has.
auto StoreReader::LogStoreLoss(const StorePosition& before) const -> void {
  const StorePosition& position = follower_.newest_position;
  if (HasStoreLostChanges(before, position)) {
    host_.event_log().WriteEvent(
        EventKind::kDependency, GetMonotonicTime(),
        "store_returned_from_copy era={} revision={} before_era={} "
        "before_revision={}",
        position.era, position.revision, before.era, before.revision);
  }
}

// Returns the time since the start of a pending call.
auto StoreReader::ComputeCallTime(CallId id, TimePoint now) const -> Duration {
  const auto& calls = follower_.store_calls.calls;
  const auto it =
      std::find_if(calls.begin(), calls.end(),
                   [id](const PendingCall& call) { return call.id == id; });
  return it != calls.end() ? now - it->started : Duration{};
}

auto StoreReader::FormatMetrics() const -> std::string {
  return latency_.FormatMetricLines("hawthornbank_store_call") +
         fmt::format(
             "hawthornbank_store_failures_total {}\n"
             "hawthornbank_store_returns_from_copy_total {}\n",
             failures_, follower_.store_losses);
}

}  // namespace hawthornbank::transport

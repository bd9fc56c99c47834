#ifndef HAWTHORNBANK_STANDINS_PLATFORM_STANDIN_H_
#define HAWTHORNBANK_STANDINS_PLATFORM_STANDIN_H_

#include <httplib.h>

#include <charconv>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>

/// @file
/// Stand-in for the platform's object API that can inject failures.
namespace hawthornbank::standins {

/// Failures that the stand-in injects.
struct PlatformFaults {
  bool down = false;                   ///< Every call is answered with a 503.
  std::chrono::milliseconds delay{0};  ///< Delay before each answer.
  /// Number of further writes that are applied but answered with 503.
  std::uint32_t lose_answers = 0;
  /// Number of further reads that are answered with previous object versions.
  std::uint32_t stale_reads = 0;
};

/// HTTP server that keeps versioned objects in memory.
class PlatformStandin {
 public:
  /// Maximum size of an object's value, in bytes.
  static constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20U;
  /// Maximum number of changes kept. A watch can resume from an older version
  /// if all later changes are kept.
  static constexpr std::size_t kHistoryLength = 1000;
  /// Number of server threads. Each waiting watch occupies one thread.
  static constexpr std::size_t kThreads = 128;

  PlatformStandin() {
    server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    server_.set_payload_max_length(4 * kMaxValueBytes);
    server_.set_tcp_nodelay(true);
    AddHttpRoutes();
  }

  /// Binds the listening socket.
  /// @param host IPv4 address.
  /// @param port Port, or 0 for a port that the system chooses.
  /// @return The bound port, or -1 on failure.
  auto BindServer(const std::string& host, int port) -> int {
    if (port == 0) {
      return server_.bind_to_any_port(host);
    }
    return server_.bind_to_port(host, port) ? port : -1;
  }

  /// Serves requests until Stop() is called.
  auto Run() -> void { server_.listen_after_bind(); }

  /// @return Whether Run() accepts connections.
  [[nodiscard]] auto is_running() const -> bool { return server_.is_running(); }

  /// Ends the waiting watches and makes Run() return.
  auto StopServer() -> void {
    {
      const std::lock_guard lock(mutex_);
      ++watch_epoch_;
    }
    changed_.notify_all();
    server_.stop();
  }

 private:
  using Json = nlohmann::json;
  using Key = std::pair<std::string, std::string>;
  using Request = httplib::Request;
  using Response = httplib::Response;

  struct Object {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    std::string operation;
    Json value;
  };

  static constexpr int kOk = 200;
  static constexpr int kBadRequest = 400;
  static constexpr int kNotFound = 404;
  static constexpr int kConflict = 409;
  static constexpr int kGone = 410;
  static constexpr int kTooLarge = 413;
  static constexpr int kUnavailable = 503;

  static auto ToJson(const Object& object) -> Json {
    return Json{{"kind", object.kind},
                {"name", object.name},
                {"version", object.version},
                {"operation", object.operation},
                {"value", object.value}};
  }

  static auto SetJsonResponse(Response& response, int status, const Json& body)
      -> void {
    response.status = status;
    response.set_content(body.dump(), "application/json");
  }

  static auto SetErrorResponse(Response& response,
                               int status,
                               const std::string& reason) -> void {
    SetJsonResponse(response, status, Json{{"error", reason}});
  }

  static auto ReadNumberParameter(const Request& request, const char* name)
      -> std::optional<std::uint64_t> {
    const auto text = request.get_param_value(name);
    std::uint64_t n = 0;
    const auto* const end = text.data() + text.size();
    const auto [next, ec] = std::from_chars(text.data(), end, n);
    if (text.empty() || ec != std::errc() || next != end) {
      return std::nullopt;
    }
    return n;
  }

  auto AddHttpRoutes() -> void {
    server_.Get(R"(/v1/objects/([^/]+)/(.+))",
                [this](const Request& request, Response& response) {
                  if (CountAndAdmitCall("get", request.matches[1], response)) {
                    GetObject(request, response);
                  }
                });
    server_.Put(R"(/v1/objects/([^/]+)/(.+))",
                [this](const Request& request, Response& response) {
                  if (CountAndAdmitCall("put", request.matches[1], response)) {
                    PutObject(request, response);
                  }
                });
    server_.Get(R"(/v1/objects/([^/]+))",
                [this](const Request& request, Response& response) {
                  if (CountAndAdmitCall("list", request.matches[1], response)) {
                    ListObjects(request, response);
                  }
                });
    server_.Get(R"(/v1/watch/([^/]+))", [this](const Request& request,
                                               Response& response) {
      if (CountAndAdmitCall("watch", request.matches[1], response)) {
        WatchObjects(request, response);
      }
    });
    server_.Post("/v1/faults",
                 [this](const Request& request, Response& response) {
                   HandleFaultsRequest(request, response);
                 });
    server_.Get("/v1/stats", [this](const Request&, Response& response) {
      const std::lock_guard lock(mutex_);
      SetJsonResponse(response, kOk,
                      Json{{"calls", calls_}, {"objects", calls_by_kind_}});
    });
  }

  /// Counts a call and applies the injected delay and outage.
  /// @return Whether the call may proceed; if not, `response` has status 503.
  auto CountAndAdmitCall(const std::string& call,
                         const std::string& kind,
                         Response& response) -> bool {
    std::unique_lock lock(mutex_);
    ++calls_[call];
    ++calls_by_kind_[kind][call];
    const auto delay = faults_.delay;
    if (delay.count() > 0) {
      lock.unlock();
      std::this_thread::sleep_for(delay);
      lock.lock();
    }
    if (faults_.down) {
      ++calls_["refused"];
      SetErrorResponse(response, kUnavailable, "the platform is down");
      return false;
    }
    return true;
  }

  /// Decrements the number of further stale reads, unless the number is 0.
  /// Requires the lock.
  /// @return Whether the read must be answered from `previous_objects_`.
  auto ConsumeStaleRead() -> bool {
    if (faults_.stale_reads == 0) {
      return false;
    }
    --faults_.stale_reads;
    return true;
  }

  auto GetObject(const Request& request, Response& response) -> void {
    const std::lock_guard lock(mutex_);
    const Key key{request.matches[1], request.matches[2]};
    const auto& objects = ConsumeStaleRead() ? previous_objects_ : objects_;
    const auto it = objects.find(key);
    if (it == objects.end()) {
      SetErrorResponse(response, kNotFound, "no such object");
      return;
    }
    SetJsonResponse(response, kOk, ToJson(it->second));
  }

  auto ListObjects(const Request& request, Response& response) -> void {
    const std::lock_guard lock(mutex_);
    const auto& objects = ConsumeStaleRead() ? previous_objects_ : objects_;
    Json items = Json::array();
    for (const auto& [key, object] : objects) {
      if (key.first == request.matches[1].str()) {
        items.push_back(ToJson(object));
      }
    }
    SetJsonResponse(response, kOk,
                    Json{{"version", version_}, {"items", items}});
  }

  auto PutObject(const Request& request, Response& response) -> void {
    if (request.body.size() > kMaxValueBytes) {
      SetErrorResponse(response, kTooLarge, "a value holds 1 MiB at most");
      return;
    }
    const auto if_version = ReadNumberParameter(request, "if_version");
    const auto value = Json::parse(request.body, nullptr, false);
    if (!if_version || value.is_discarded()) {
      SetErrorResponse(response, kBadRequest,
                       "needs if_version and a JSON body");
      return;
    }
    const std::lock_guard lock(mutex_);
    const Key key{request.matches[1], request.matches[2]};
    const auto it = objects_.find(key);
    const auto current_version = it == objects_.end() ? 0 : it->second.version;
    if (current_version != *if_version) {
      SetJsonResponse(response, kConflict,
                      current_version == 0 ? Json() : ToJson(it->second));
      return;
    }
    StoreObject(Object{.kind = key.first,
                       .name = key.second,
                       .version = version_ + 1,
                       .operation = request.get_param_value("operation"),
                       .value = value});
    if (faults_.lose_answers > 0) {
      --faults_.lose_answers;
      SetErrorResponse(response, kUnavailable, "the answer was lost");
      return;
    }
    SetJsonResponse(response, kOk, Json{{"version", version_}});
  }

  /// Stores an object, adds the change to the history and wakes the waiting
  /// watches. Requires the lock.
  auto StoreObject(Object object) -> void {
    const Key key{object.kind, object.name};
    version_ = object.version;
    if (const auto it = objects_.find(key); it != objects_.end()) {
      previous_objects_[key] = it->second;
    }
    history_.push_back(object);
    objects_[key] = std::move(object);
    if (history_.size() > kHistoryLength) {
      last_dropped_version_ = history_.front().version;
      history_.pop_front();
    }
    changed_.notify_all();
  }

  /// Collects the changes in the history to objects of a kind that are newer
  /// than version `from`. Requires the lock.
  /// @return JSON array of the changed objects.
  auto CollectEventsAfterVersion(const std::string& kind,
                                 std::uint64_t from) const -> Json {
    Json events = Json::array();
    for (const auto& object : history_) {
      if (object.kind == kind && object.version > from) {
        events.push_back(ToJson(object));
      }
    }
    return events;
  }

  auto WatchObjects(const Request& request, Response& response) -> void {
    const auto from = ReadNumberParameter(request, "from");
    const auto timeout = ReadNumberParameter(request, "timeout_ms");
    if (!from || !timeout) {
      SetErrorResponse(response, kBadRequest, "needs from and timeout_ms");
      return;
    }
    const std::string kind = request.matches[1];
    std::unique_lock lock(mutex_);
    const auto start_epoch = watch_epoch_;
    const auto is_gone = [this, &from] {
      return *from < last_dropped_version_ || *from > version_;
    };
    Json events = CollectEventsAfterVersion(kind, *from);
    changed_.wait_for(lock, std::chrono::milliseconds(*timeout), [&] {
      events = CollectEventsAfterVersion(kind, *from);
      return !events.empty() || is_gone() || start_epoch != watch_epoch_;
    });
    if (faults_.down || (start_epoch != watch_epoch_ && events.empty())) {
      SetErrorResponse(response, kUnavailable, "the watch was ended");
    } else if (is_gone()) {
      SetErrorResponse(response, kGone, "the version is no longer kept");
    } else {
      SetJsonResponse(response, kOk,
                      Json{{"version", version_}, {"events", events}});
    }
  }

  auto HandleFaultsRequest(const Request& request, Response& response) -> void {
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      SetErrorResponse(response, kBadRequest, "needs a JSON object");
      return;
    }
    const std::lock_guard lock(mutex_);
    try {
      ApplyRequestedFaults(body);
    } catch (const Json::exception& error) {
      SetErrorResponse(response, kBadRequest, error.what());
      return;
    }
    SetJsonResponse(response, kOk, Json::object());
  }

  /// Sets the faults that the body names and keeps the other faults. Clears the
  /// history and ends the waiting watches if the body asks for that; an outage
  /// also ends the watches. Requires the lock.
  auto ApplyRequestedFaults(const Json& body) -> void {
    faults_.down = body.value("down", faults_.down);
    faults_.delay = std::chrono::milliseconds(
        body.value("delay_ms", faults_.delay.count()));
    faults_.lose_answers = body.value("lose_answers", faults_.lose_answers);
    faults_.stale_reads = body.value("stale_reads", faults_.stale_reads);
    if (body.value("forget_history", false)) {
      history_.clear();
      last_dropped_version_ = version_;
    }
    if (faults_.down || body.value("end_watches", false)) {
      ++watch_epoch_;
      changed_.notify_all();
    }
  }

  httplib::Server server_;
  std::mutex mutex_;  ///< Guards all members below.
  std::condition_variable changed_;
  std::uint64_t watch_epoch_ = 0;  ///< Increased to end waiting watches.
  PlatformFaults faults_;
  std::uint64_t version_ = 0;
  /// Newest version that `history_` no longer holds.
  std::uint64_t last_dropped_version_ = 0;
  std::map<Key, Object> objects_;
  /// Version before the last change of each object, for stale reads.
  std::map<Key, Object> previous_objects_;
  std::deque<Object> history_;
  std::map<std::string, std::uint64_t> calls_;
  std::map<std::string, std::map<std::string, std::uint64_t>> calls_by_kind_;
};

}  // namespace hawthornbank::standins

#endif  // HAWTHORNBANK_STANDINS_PLATFORM_STANDIN_H_

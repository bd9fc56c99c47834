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
/// Stand-in of the platform's object API, with failures on request.
namespace hawthornbank::standins {

/// Failures that the stand-in brings about.
struct PlatformFaults {
  bool down = false;                   ///< Every call gets a 503.
  std::chrono::milliseconds delay{0};  ///< Before each answer.
  std::uint32_t lose_answers = 0;      ///< Writes to answer with a 503.
  std::uint32_t stale_reads = 0;       ///< Reads that show the past.
};

/// Versioned objects in memory, served over HTTP.
class PlatformStandin {
 public:
  /// Largest value of an object, in bytes.
  static constexpr std::size_t kMaxValueBytes = std::size_t{1} << 20U;
  /// Changes kept for watches that resume.
  static constexpr std::size_t kHistoryLength = 1000;
  /// Threads of the server; a waiting watch holds one.
  static constexpr std::size_t kThreads = 128;

  PlatformStandin() {
    server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    server_.set_payload_max_length(4 * kMaxValueBytes);
    server_.set_tcp_nodelay(true);
    AddRoutes();
  }

  /// Binds the listening socket.
  /// @param host IPv4 address.
  /// @param port Port, or 0 for one that the system chooses.
  /// @return The bound port, or -1.
  auto Bind(const std::string& host, int port) -> int {
    if (port == 0) {
      return server_.bind_to_any_port(host);
    }
    return server_.bind_to_port(host, port) ? port : -1;
  }

  /// Serves until Stop().
  auto Run() -> void { server_.listen_after_bind(); }

  /// @return Whether Run() accepts connections.
  [[nodiscard]] auto running() const -> bool { return server_.is_running(); }

  /// Ends waiting watches and Run().
  auto Stop() -> void {
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

  static auto Answer(Response& response, int status, const Json& body) -> void {
    response.status = status;
    response.set_content(body.dump(), "application/json");
  }

  static auto Fail(Response& response, int status, const std::string& why)
      -> void {
    Answer(response, status, Json{{"error", why}});
  }

  static auto Number(const Request& request, const char* name)
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

  auto AddRoutes() -> void {
    server_.Get(R"(/v1/objects/([^/]+)/(.+))",
                [this](const Request& request, Response& response) {
                  if (Admit("get", request.matches[1], response)) {
                    Get(request, response);
                  }
                });
    server_.Put(R"(/v1/objects/([^/]+)/(.+))",
                [this](const Request& request, Response& response) {
                  if (Admit("put", request.matches[1], response)) {
                    Put(request, response);
                  }
                });
    server_.Get(R"(/v1/objects/([^/]+))",
                [this](const Request& request, Response& response) {
                  if (Admit("list", request.matches[1], response)) {
                    List(request, response);
                  }
                });
    server_.Get(R"(/v1/watch/([^/]+))",
                [this](const Request& request, Response& response) {
                  if (Admit("watch", request.matches[1], response)) {
                    Watch(request, response);
                  }
                });
    server_.Post("/v1/faults",
                 [this](const Request& request, Response& response) {
                   SetFaults(request, response);
                 });
    server_.Get("/v1/stats", [this](const Request&, Response& response) {
      const std::lock_guard lock(mutex_);
      Answer(response, kOk,
             Json{{"calls", calls_}, {"objects", calls_by_kind_}});
    });
  }

  /// Counts a call and applies delay and outage.
  auto Admit(const std::string& call,
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
      Fail(response, kUnavailable, "the platform is down");
      return false;
    }
    return true;
  }

  /// @return Whether the next read shows the past. Needs the lock.
  auto TakeStaleRead() -> bool {
    if (faults_.stale_reads == 0) {
      return false;
    }
    --faults_.stale_reads;
    return true;
  }

  auto Get(const Request& request, Response& response) -> void {
    const std::lock_guard lock(mutex_);
    const Key key{request.matches[1], request.matches[2]};
    const auto& objects = TakeStaleRead() ? previous_ : objects_;
    const auto it = objects.find(key);
    if (it == objects.end()) {
      Fail(response, kNotFound, "no such object");
      return;
    }
    Answer(response, kOk, ToJson(it->second));
  }

  auto List(const Request& request, Response& response) -> void {
    const std::lock_guard lock(mutex_);
    const auto& objects = TakeStaleRead() ? previous_ : objects_;
    Json items = Json::array();
    for (const auto& [key, object] : objects) {
      if (key.first == request.matches[1].str()) {
        items.push_back(ToJson(object));
      }
    }
    Answer(response, kOk, Json{{"version", version_}, {"items", items}});
  }

  auto Put(const Request& request, Response& response) -> void {
    if (request.body.size() > kMaxValueBytes) {
      Fail(response, kTooLarge, "a value holds 1 MiB at most");
      return;
    }
    const auto if_version = Number(request, "if_version");
    const auto value = Json::parse(request.body, nullptr, false);
    if (!if_version || value.is_discarded()) {
      Fail(response, kBadRequest, "needs if_version and a JSON body");
      return;
    }
    const std::lock_guard lock(mutex_);
    const Key key{request.matches[1], request.matches[2]};
    const auto it = objects_.find(key);
    const auto present = it == objects_.end() ? 0 : it->second.version;
    if (present != *if_version) {
      Answer(response, kConflict, present == 0 ? Json() : ToJson(it->second));
      return;
    }
    Store(Object{.kind = key.first,
                 .name = key.second,
                 .version = version_ + 1,
                 .operation = request.get_param_value("operation"),
                 .value = value});
    if (faults_.lose_answers > 0) {
      --faults_.lose_answers;
      Fail(response, kUnavailable, "the answer was lost");
      return;
    }
    Answer(response, kOk, Json{{"version", version_}});
  }

  /// Puts an object in place and wakes the watches. Needs the lock.
  auto Store(Object object) -> void {
    const Key key{object.kind, object.name};
    version_ = object.version;
    if (const auto it = objects_.find(key); it != objects_.end()) {
      previous_[key] = it->second;
    }
    history_.push_back(object);
    objects_[key] = std::move(object);
    if (history_.size() > kHistoryLength) {
      forgotten_ = history_.front().version;
      history_.pop_front();
    }
    changed_.notify_all();
  }

  /// @return Changes of a kind after a version. Needs the lock.
  auto EventsAfter(const std::string& kind, std::uint64_t from) const -> Json {
    Json events = Json::array();
    for (const auto& object : history_) {
      if (object.kind == kind && object.version > from) {
        events.push_back(ToJson(object));
      }
    }
    return events;
  }

  auto Watch(const Request& request, Response& response) -> void {
    const auto from = Number(request, "from");
    const auto timeout = Number(request, "timeout_ms");
    if (!from || !timeout) {
      Fail(response, kBadRequest, "needs from and timeout_ms");
      return;
    }
    const std::string kind = request.matches[1];
    std::unique_lock lock(mutex_);
    const auto epoch = watch_epoch_;
    const auto gone = [this, &from] {
      return *from < forgotten_ || *from > version_;
    };
    Json events = EventsAfter(kind, *from);
    changed_.wait_for(lock, std::chrono::milliseconds(*timeout), [&] {
      events = EventsAfter(kind, *from);
      return !events.empty() || gone() || epoch != watch_epoch_;
    });
    if (faults_.down || (epoch != watch_epoch_ && events.empty())) {
      Fail(response, kUnavailable, "the watch was ended");
    } else if (gone()) {
      Fail(response, kGone, "the version is no longer kept");
    } else {
      Answer(response, kOk, Json{{"version", version_}, {"events", events}});
    }
  }

  auto SetFaults(const Request& request, Response& response) -> void {
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      Fail(response, kBadRequest, "needs a JSON object");
      return;
    }
    const std::lock_guard lock(mutex_);
    try {
      ApplyFaults(body);
    } catch (const Json::exception& error) {
      Fail(response, kBadRequest, error.what());
      return;
    }
    Answer(response, kOk, Json::object());
  }

  /// Applies the faults that are named; others stay. Needs the lock.
  auto ApplyFaults(const Json& body) -> void {
    faults_.down = body.value("down", faults_.down);
    faults_.delay = std::chrono::milliseconds(
        body.value("delay_ms", faults_.delay.count()));
    faults_.lose_answers = body.value("lose_answers", faults_.lose_answers);
    faults_.stale_reads = body.value("stale_reads", faults_.stale_reads);
    if (body.value("forget_history", false)) {
      history_.clear();
      forgotten_ = version_;
    }
    if (faults_.down || body.value("end_watches", false)) {
      ++watch_epoch_;
      changed_.notify_all();
    }
  }

  httplib::Server server_;
  std::mutex mutex_;  ///< Guards everything below.
  std::condition_variable changed_;
  std::uint64_t watch_epoch_ = 0;  ///< Grows when waiting watches must end.
  PlatformFaults faults_;
  std::uint64_t version_ = 0;
  std::uint64_t forgotten_ = 0;  ///< Newest change that is no longer kept.
  std::map<Key, Object> objects_;
  std::map<Key, Object> previous_;  ///< What stale reads show.
  std::deque<Object> history_;
  std::map<std::string, std::uint64_t> calls_;
  std::map<std::string, std::map<std::string, std::uint64_t>> calls_by_kind_;
};

}  // namespace hawthornbank::standins

#endif  // HAWTHORNBANK_STANDINS_PLATFORM_STANDIN_H_

#include "transport/platform_client.h"

#include <httplib.h>

#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "hawthornbank/error.h"
#include "transport/http_failure.h"

namespace hawthornbank::transport {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooLarge = 413;

auto HostOf(Endpoint address) -> std::string {
  const auto text = ToString(address);
  return text.substr(0, text.find(':'));
}

auto Escape(const std::string& text) -> std::string {
  return httplib::detail::encode_query_param(text);
}

auto ObjectPath(const std::string& kind, const std::string& name)
    -> std::string {
  return "/v1/objects/" + Escape(kind) + "/" + Escape(name);
}

auto ObjectFromJson(const json& value) -> PlatformObject {
  return PlatformObject{
      .kind = value.at("kind").get<std::string>(),
      .name = value.at("name").get<std::string>(),
      .version = value.at("version").get<std::uint64_t>(),
      .value = value.at("value").dump(),
  };
}

auto ObjectsFromJson(const json& items) -> std::vector<PlatformObject> {
  std::vector<PlatformObject> objects;
  for (const auto& it : items) {
    objects.push_back(ObjectFromJson(it));
  }
  return objects;
}

/// Turns a missing or unexpected answer into an error.
[[noreturn]] auto ThrowUnavailable(const std::string& call,
                                   const httplib::Result& result) -> void {
  throw Error(ErrorKind::kPlatformUnavailable,
              "platform " + call + ": " + DescribeFailure(result));
}

/// Reads a body; one that can't be read counts as no answer.
template <class Reader>
auto ReadBody(const std::string& call,
              const httplib::Result& result,
              Reader reader) -> decltype(reader(json())) {
  if (!result || result->status != kOk) {
    ThrowUnavailable(call, result);
  }
  try {
    return reader(json::parse(result->body));
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kPlatformUnavailable,
                "platform " + call + ": " + error.what());
  }
}

auto Prepare(httplib::Client& client, std::chrono::milliseconds timeout)
    -> void {
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
}

}  // namespace

struct PlatformClient::Connections {
  explicit Connections(Endpoint address)
      : calls(HostOf(address), address.port),
        watches(HostOf(address), address.port) {}

  std::mutex calls_mutex;    ///< Guards calls.
  std::mutex watches_mutex;  ///< Guards watches; never held with the other.
  httplib::Client calls;
  httplib::Client watches;
};

PlatformClient::PlatformClient(PlatformClientOptions options)
    : options_(options),
      connections_(std::make_unique<Connections>(options.address)) {
  Prepare(connections_->calls, options.timeout);
  Prepare(connections_->watches, options.timeout);
}

PlatformClient::~PlatformClient() = default;

auto PlatformClient::Get(const std::string& kind, const std::string& name)
    -> std::optional<PlatformObject> {
  const std::lock_guard lock(connections_->calls_mutex);
  const auto result = connections_->calls.Get(ObjectPath(kind, name));
  if (result && result->status == kNotFound) {
    return std::nullopt;
  }
  return ReadBody("get", result, ObjectFromJson);
}

auto PlatformClient::List(const std::string& kind)
    -> std::vector<PlatformObject> {
  const std::lock_guard lock(connections_->calls_mutex);
  const auto result = connections_->calls.Get("/v1/objects/" + Escape(kind));
  return ReadBody("list", result, [](const json& body) {
    return ObjectsFromJson(body.at("items"));
  });
}

auto PlatformClient::Put(const std::string& kind,
                         const std::string& name,
                         std::uint64_t if_version,
                         const std::string& operation,
                         const std::string& value) -> std::uint64_t {
  const auto path = ObjectPath(kind, name) +
                    "?if_version=" + std::to_string(if_version) +
                    "&operation=" + Escape(operation);
  const std::lock_guard lock(connections_->calls_mutex);
  const auto result = connections_->calls.Put(path, value, "application/json");
  if (result && result->status == kConflict) {
    throw Error(ErrorKind::kConflict, kind + "/" + name +
                                          " is no longer at version " +
                                          std::to_string(if_version));
  }
  if (result && result->status == kTooLarge) {
    throw Error(ErrorKind::kTooLarge,
                kind + "/" + name + " is over the platform's size limit");
  }
  return ReadBody("put", result, [](const json& body) {
    return body.at("version").get<std::uint64_t>();
  });
}

auto PlatformClient::Watch(const std::string& kind,
                           std::uint64_t from,
                           std::chrono::milliseconds timeout) -> WatchResult {
  const auto path = "/v1/watch/" + Escape(kind) +
                    "?from=" + std::to_string(from) +
                    "&timeout_ms=" + std::to_string(timeout.count());
  const std::lock_guard lock(connections_->watches_mutex);
  connections_->watches.set_read_timeout(options_.timeout + timeout);
  const auto result = connections_->watches.Get(path);
  if (result && result->status == kGone) {
    return WatchResult{.version = 0, .gone = true, .objects = {}};
  }
  return ReadBody("watch", result, [](const json& body) {
    return WatchResult{.version = body.at("version").get<std::uint64_t>(),
                       .gone = false,
                       .objects = ObjectsFromJson(body.at("events"))};
  });
}

}  // namespace hawthornbank::transport

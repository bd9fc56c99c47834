#include "transport/platform_client.h"

#include <httplib.h>

#include <array>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "hawthornbank/call_timeout.h"
#include "hawthornbank/error.h"
#include "protocol/json_list.h"
#include "protocol/log_text.h"
#include "transport/clock.h"
#include "transport/http_failure.h"
#include "transport/logging.h"

namespace hawthornbank::transport {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooLarge = 413;

auto ExtractHostAddress(Endpoint address) -> std::string {
  const auto text = ToString(address);
  return text.substr(0, text.find(':'));
}

auto EscapeQueryComponent(const std::string& text) -> std::string {
  return httplib::detail::encode_query_param(text);
}

auto MakeObjectPath(const std::string& kind, const std::string& name)
    -> std::string {
  return "/v1/objects/" + EscapeQueryComponent(kind) + "/" +
         EscapeQueryComponent(name);
}

constexpr std::size_t kMaxReasonBytes = 160;

/// Objects of an answer, and the answer's other members.
struct ObjectPage {
  json members;
  std::vector<PlatformObject> objects;
};

auto DecodeObject(const json& value) -> PlatformObject {
  if (!value.at("version").is_number_unsigned()) {
    throw Error(ErrorKind::kMalformed, "version isn't a whole number");
  }
  return PlatformObject{
      .kind = value.at("kind").get<std::string>(),
      .name = value.at("name").get<std::string>(),
      .version = value.at("version").get<std::uint64_t>(),
      .value = value.at("value").dump(),
  };
}

/// Decodes an answer with a list of objects that other writers may write, too.
/// An object that can't be used is left out and logged.
auto DecodeObjects(const std::string& call,
                   const std::string& body,
                   std::string_view list) -> ObjectPage {
  constexpr std::array<std::string_view, 1> kNamePath = {"name"};
  auto page = ParseJsonPage(body, list, kNamePath);
  if (!page.has_value() || !page->has_list) {
    throw Error(ErrorKind::kPlatformUnavailable,
                "platform " + call + ": no list in the answer");
  }
  ObjectPage decoded{.members = std::move(page->members)};
  std::string skipped;
  for (const auto& it : page->entries) {
    std::string failure = it.failure;
    try {
      if (it.value.has_value()) {
        decoded.objects.push_back(DecodeObject(*it.value));
      }
    } catch (const std::exception& error) {
      failure = FormatForLog(error.what(), kMaxReasonBytes);
    }
    if (!failure.empty()) {
      AppendSkippedEntry(skipped, it.name, failure);
    }
  }
  if (!skipped.empty()) {
    LogEvent(Layer::kTransport, LogLevel::kWarn, "platform_objects_malformed",
             {{"call", call}, {"skipped", skipped}});
  }
  return decoded;
}

/// Throws an Error that describes a missing or unexpected answer.
[[noreturn]] auto ThrowCallFailed(const std::string& call,
                                  const httplib::Result& result) -> void {
  throw Error(ErrorKind::kPlatformUnavailable,
              "platform " + call + ": " + DescribeHttpFailure(result));
}

/// Decodes the body of an answer. A body that can't be decoded is treated like
/// a missing answer.
template <class Reader>
auto DecodeAnswerBody(const std::string& call,
                      const httplib::Result& result,
                      Reader reader) -> decltype(reader(std::string())) {
  if (!result || result->status != kOk) {
    ThrowCallFailed(call, result);
  }
  try {
    return reader(result->body);
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kPlatformUnavailable,
                "platform " + call + ": " + error.what());
  } catch (const Error& error) {
    throw Error(ErrorKind::kPlatformUnavailable,
                "platform " + call + ": " + error.what());
  }
}

}  // namespace

/// A connection, used by one thread at a time.
struct PlatformClient::Connection {
  explicit Connection(const PlatformClientOptions& options)
      : client(ExtractHostAddress(options.address), options.address.port),
        timeout(MakeCallTimeout(options.timeout, options.max_timeout)) {
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
  }

  /// Makes a call.
  /// @param hold Time for which the platform may hold the call.
  /// @param call Makes the call with the client.
  /// @return The call's result.
  template <class Call>
  auto MakeCall(std::chrono::milliseconds hold, Call call) -> httplib::Result {
    const std::lock_guard lock(mutex);
    const auto limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout.current);
    client.set_connection_timeout(limit);
    client.set_read_timeout(limit + hold);
    client.set_write_timeout(limit);
    const TimePoint started = GetMonotonicTime();
    auto result = call(client);
    const Duration took = GetMonotonicTime() - started;
    if (result) {
      OnCallAnswered(timeout, took - Duration{hold});
    } else if (took >= Duration{limit + hold}) {
      OnCallTimedOut(timeout);
    }
    return result;
  }

  std::mutex mutex;  ///< Guards the members below.
  httplib::Client client;
  CallTimeout timeout;
};

/// The connections. No thread holds both mutexes.
struct PlatformClient::Connections {
  explicit Connections(const PlatformClientOptions& options)
      : calls(options), watches(options) {}

  Connection calls;
  Connection watches;
};

PlatformClient::PlatformClient(PlatformClientOptions options)
    : connections_(std::make_unique<Connections>(options)) {}

PlatformClient::~PlatformClient() = default;

auto PlatformClient::ReadObject(const std::string& kind,
                                const std::string& name)
    -> std::optional<PlatformObject> {
  const auto result =
      connections_->calls.MakeCall({}, [&](httplib::Client& client) {
        return client.Get(MakeObjectPath(kind, name));
      });
  if (result && result->status == kNotFound) {
    return std::nullopt;
  }
  return DecodeAnswerBody("get", result, [](const std::string& body) {
    return DecodeObject(ParseJsonEntry(body));
  });
}

auto PlatformClient::ListObjects(const std::string& kind)
    -> std::vector<PlatformObject> {
  const auto result =
      connections_->calls.MakeCall({}, [&](httplib::Client& client) {
        return client.Get("/v1/objects/" + EscapeQueryComponent(kind));
      });
  return DecodeAnswerBody("list", result, [](const std::string& body) {
    return DecodeObjects("list", body, "items").objects;
  });
}

auto PlatformClient::WriteObject(const std::string& kind,
                                 const std::string& name,
                                 std::uint64_t if_version,
                                 const std::string& operation,
                                 const std::string& value) -> std::uint64_t {
  const auto path = MakeObjectPath(kind, name) +
                    "?if_version=" + std::to_string(if_version) +
                    "&operation=" + EscapeQueryComponent(operation);
  const auto result =
      connections_->calls.MakeCall({}, [&](httplib::Client& client) {
        return client.Put(path, value, "application/json");
      });
  if (result && result->status == kConflict) {
    throw Error(ErrorKind::kConflict, kind + "/" + name +
                                          " is no longer at version " +
                                          std::to_string(if_version));
  }
  if (result && result->status == kTooLarge) {
    throw Error(ErrorKind::kTooLarge,
                kind + "/" + name + " is over the platform's size limit");
  }
  return DecodeAnswerBody("put", result, [](const std::string& body) {
    return ParseJsonEntry(body).at("version").get<std::uint64_t>();
  });
}

auto PlatformClient::WatchObjects(const std::string& kind,
                                  std::uint64_t from,
                                  std::chrono::milliseconds timeout)
    -> WatchResult {
  const auto path = "/v1/watch/" + EscapeQueryComponent(kind) +
                    "?from=" + std::to_string(from) +
                    "&timeout_ms=" + std::to_string(timeout.count());
  const auto result = connections_->watches.MakeCall(
      timeout, [&](httplib::Client& client) { return client.Get(path); });
  if (result && result->status == kGone) {
    return WatchResult{.version = 0, .history_expired = true, .objects = {}};
  }
  return DecodeAnswerBody("watch", result, [](const std::string& body) {
    ObjectPage page = DecodeObjects("watch", body, "events");
    return WatchResult{
        .version = page.members.at("version").get<std::uint64_t>(),
        .history_expired = false,
        .objects = std::move(page.objects)};
  });
}

}  // namespace hawthornbank::transport

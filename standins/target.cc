/// @file
/// Stand-in for a target: a CoAP server that runs requests in slots, serves
/// observable resources and accepts uploads.
#include <coap3/coap.h>
#include <tclap/CmdLine.h>
#include <xxhash.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "hawthornbank/error.h"
#include "hawthornbank/types.h"
#include "protocol/name.h"
#include "stats_server.h"
#include "transport/command_line.h"

namespace hawthornbank::standins {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kNotificationInterval{500};
constexpr milliseconds kPollInterval{5};

struct Options {
  Endpoint listen;
  Endpoint stats;
  std::string name;
  std::string kind;  ///< Name of the service that the target belongs to.
  std::uint32_t slots = 3;
  milliseconds service_time{20};
};

/// A non-idempotent request that is waiting for a slot or running.
struct PendingRequest {
  coap_session_t* session = nullptr;
  std::vector<std::uint8_t> token;
  std::string request_id;
  /// Time of completion, set when the request starts to run.
  steady_clock::time_point end;
};

/// Counters, guarded by Target::mutex because the statistics thread reads them.
struct Counters {
  std::map<std::string, std::uint64_t> runs;  ///< Number of runs by request ID.
  std::uint64_t runs_total = 0;
  std::uint64_t uploads = 0;
  std::uint64_t upload_bytes = 0;
  std::uint64_t board_reads = 0;
  std::uint64_t wrong_service = 0;
  std::uint64_t max_waiting = 0;
  std::uint64_t busy = 0;
};

struct Target {
  Options options;
  std::deque<PendingRequest> waiting;
  std::vector<PendingRequest> running;
  std::uint64_t notification_number = 0;
  steady_clock::time_point next_notification;
  std::mutex mutex;
  Counters counters;
};

/// @return The value of the "name=value" item of a query, or an empty string.
auto FindQueryValue(const coap_string_t* query, std::string_view name)
    -> std::string {
  if (query == nullptr) {
    return {};
  }
  std::string_view rest(reinterpret_cast<const char*>(query->s), query->length);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto item = rest.substr(0, end);
    if (item.starts_with(name) && item.substr(name.size()).starts_with('=')) {
      return std::string(item.substr(name.size() + 1));
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return {};
}

auto GetTargetOfSession(coap_session_t* session) -> Target& {
  return *static_cast<Target*>(
      coap_get_app_data(coap_session_get_context(session)));
}

/// Compares the service that a request names with the target's service, and
/// counts requests that name another service as mismatches.
/// @return Whether the request names the target's service or no service.
auto AcceptServiceOrCountMismatch(Target& target, const coap_string_t* query)
    -> bool {
  const auto kind = FindQueryValue(query, "kind");
  if (kind.empty() || kind == target.options.kind) {
    return true;
  }
  const std::lock_guard lock(target.mutex);
  ++target.counters.wrong_service;
  return false;
}

auto AddTextPayload(coap_pdu_t* pdu, const std::string& text) -> void {
  coap_add_data(pdu, text.size(),
                reinterpret_cast<const std::uint8_t*>(text.data()));
}

/// Answers a finished request with a separate response (RFC 7252, section
/// 5.2.2) and releases its session.
auto AnswerFinishedRequest(const Target& target, const PendingRequest& pending)
    -> void {
  auto* const pdu = coap_pdu_init(COAP_MESSAGE_CON, COAP_RESPONSE_CODE_CHANGED,
                                  coap_new_message_id(pending.session),
                                  coap_session_max_pdu_size(pending.session));
  if (pdu != nullptr) {
    coap_add_token(pdu, pending.token.size(), pending.token.data());
    AddTextPayload(pdu, target.options.name + " " + pending.request_id);
    coap_send(pending.session, pdu);
  }
  coap_session_release(pending.session);
}

/// Finishes running requests that are due and starts waiting requests while
/// slots are free.
auto FinishAndStartRequests(Target& target) -> void {
  const auto now = steady_clock::now();
  std::vector<PendingRequest> still_running;
  for (auto& it : target.running) {
    if (it.end <= now) {
      AnswerFinishedRequest(target, it);
    } else {
      still_running.push_back(std::move(it));
    }
  }
  target.running = std::move(still_running);
  while (!target.waiting.empty() &&
         target.running.size() < target.options.slots) {
    auto pending = std::move(target.waiting.front());
    target.waiting.pop_front();
    pending.end = now + target.options.service_time;
    const std::lock_guard lock(target.mutex);
    ++target.counters.runs[pending.request_id];
    ++target.counters.runs_total;
    target.running.push_back(std::move(pending));
  }
  const std::lock_guard lock(target.mutex);
  target.counters.busy = target.running.size();
  target.counters.max_waiting = std::max<std::uint64_t>(
      target.counters.max_waiting, target.waiting.size());
}

/// @return Whether a request with the same session and token is already waiting
/// or running.
auto IsDuplicateRequest(const Target& target, const PendingRequest& pending)
    -> bool {
  const auto same = [&pending](const PendingRequest& it) {
    return it.session == pending.session && it.token == pending.token;
  };
  return std::any_of(target.waiting.begin(), target.waiting.end(), same) ||
         std::any_of(target.running.begin(), target.running.end(), same);
}

auto HandleQuoteOrPermitRequest(coap_resource_t* /*resource*/,
                                coap_session_t* session,
                                const coap_pdu_t* request,
                                const coap_string_t* query,
                                coap_pdu_t* response) -> void {
  auto& target = GetTargetOfSession(session);
  const auto token = coap_pdu_get_token(request);
  PendingRequest pending{.session = session,
                         .token = {token.s, token.s + token.length},
                         .request_id = FindQueryValue(query, "rid")};
  if (!AcceptServiceOrCountMismatch(target, query)) {
    coap_pdu_set_code(response, COAP_RESPONSE_CODE_FORBIDDEN);
    return;
  }
  // Half of the 2 s that RFC 7252 specifies, because callers wait a few seconds
  // at most. libcoap's minimum is 1 s.
  constexpr coap_fixed_point_t kAckTimeout = {.integer_part = 1,
                                              .fractional_part = 0};
  coap_session_set_ack_timeout(session, kAckTimeout);
  // A libcoap 4.3.1 client doesn't acknowledge a retransmitted response, so
  // later responses of the flow must not wait for this acknowledgement.
  constexpr std::uint16_t kOutstandingResponses = 8;
  coap_session_set_nstart(session, kOutstandingResponses);
  // A response without a code makes libcoap send an empty acknowledgement.
  if (!IsDuplicateRequest(target, pending)) {
    coap_session_reference(session);
    target.waiting.push_back(std::move(pending));
    FinishAndStartRequests(target);
  }
}

auto HandleObservableRead(coap_resource_t* /*resource*/,
                          coap_session_t* session,
                          const coap_pdu_t* /*request*/,
                          const coap_string_t* query,
                          coap_pdu_t* response) -> void {
  auto& target = GetTargetOfSession(session);
  if (!AcceptServiceOrCountMismatch(target, query)) {
    coap_pdu_set_code(response, COAP_RESPONSE_CODE_FORBIDDEN);
    return;
  }
  {
    const std::lock_guard lock(target.mutex);
    ++target.counters.board_reads;
  }
  coap_pdu_set_code(response, COAP_RESPONSE_CODE_CONTENT);
  AddTextPayload(response, target.options.kind + " " + target.options.name +
                               " " +
                               std::to_string(target.notification_number));
}

auto HandleUpload(coap_resource_t* /*resource*/,
                  coap_session_t* session,
                  const coap_pdu_t* request,
                  const coap_string_t* query,
                  coap_pdu_t* response) -> void {
  auto& target = GetTargetOfSession(session);
  if (!AcceptServiceOrCountMismatch(target, query)) {
    coap_pdu_set_code(response, COAP_RESPONSE_CODE_FORBIDDEN);
    return;
  }
  std::size_t length = 0;
  std::size_t offset = 0;
  std::size_t total = 0;
  const std::uint8_t* data = nullptr;
  coap_get_data_large(request, &length, &data, &offset, &total);
  {
    const std::lock_guard lock(target.mutex);
    ++target.counters.uploads;
    target.counters.upload_bytes += length;
  }
  coap_pdu_set_code(response, COAP_RESPONSE_CODE_CHANGED);
  AddTextPayload(response, std::to_string(length) + " " +
                               std::to_string(XXH3_64bits(data, length)));
}

auto HandleHealthRead(coap_resource_t* /*resource*/,
                      coap_session_t* session,
                      const coap_pdu_t* /*request*/,
                      const coap_string_t* /*query*/,
                      coap_pdu_t* response) -> void {
  const auto& target = GetTargetOfSession(session);
  coap_pdu_set_code(response, COAP_RESPONSE_CODE_CONTENT);
  AddTextPayload(response, "ok " + std::to_string(target.running.size()) + "/" +
                               std::to_string(target.options.slots));
}

auto AddResource(coap_context_t* context,
                 const char* path,
                 coap_request_t method,
                 coap_method_handler_t handler) -> coap_resource_t* {
  auto* const resource = coap_resource_init(coap_make_str_const(path), 0);
  coap_register_request_handler(resource, method, handler);
  coap_add_resource(context, resource);
  return resource;
}

auto ListenOnEndpoint(coap_context_t* context, Endpoint listen) -> void {
  coap_address_t address;
  coap_address_init(&address);
  address.size = sizeof(address.addr.sin);
  address.addr.sin.sin_family = AF_INET;
  address.addr.sin.sin_addr.s_addr = htonl(listen.address);
  address.addr.sin.sin_port = htons(listen.port);
  if (coap_new_endpoint(context, &address, COAP_PROTO_UDP) == nullptr) {
    throw Error(ErrorKind::kInvalidSettings,
                "can't listen on " + ToString(listen));
  }
}

auto FormatCountersAsJson(Target& target) -> std::string {
  const std::lock_guard lock(target.mutex);
  const auto& counters = target.counters;
  nlohmann::json doubled = nlohmann::json::object();
  nlohmann::json request_ids = nlohmann::json::array();
  for (const auto& [request_id, n] : counters.runs) {
    request_ids.push_back(request_id);
    if (n > 1 && !request_id.empty()) {
      doubled[request_id] = n;
    }
  }
  return nlohmann::json{{"name", target.options.name},
                        {"kind", target.options.kind},
                        {"runs", counters.runs_total},
                        {"doubled", doubled},
                        {"request_ids", request_ids},
                        {"uploads", counters.uploads},
                        {"upload_bytes", counters.upload_bytes},
                        {"board_reads", counters.board_reads},
                        {"wrong_service", counters.wrong_service},
                        {"busy", counters.busy},
                        {"max_waiting", counters.max_waiting}}
      .dump();
}

// Releases the sessions of unfinished requests, since libcoap doesn't free a
// session that is still referenced.
auto ReleaseRequestSessions(Target& target) -> void {
  for (const auto& it : target.waiting) {
    coap_session_release(it.session);
  }
  for (const auto& it : target.running) {
    coap_session_release(it.session);
  }
}

std::atomic<bool> stop_requested = false;

auto RequestShutdown(int /*signal*/) -> void {
  stop_requested = true;
}

auto RunTargetStandin(const Options& options) -> void {
  Target target{.options = options};
  coap_startup();
  const std::unique_ptr<coap_context_t, decltype(&coap_free_context)> context(
      coap_new_context(nullptr), coap_free_context);
  coap_set_app_data(context.get(), &target);
  coap_context_set_block_mode(context.get(),
                              COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
  ListenOnEndpoint(context.get(), options.listen);
  std::vector<coap_resource_t*> boards;
  for (const auto* const path : {"board", "feed"}) {
    boards.push_back(AddResource(context.get(), path, COAP_REQUEST_GET,
                                 HandleObservableRead));
    coap_resource_set_get_observable(boards.back(), 1);
  }
  AddResource(context.get(), "quote", COAP_REQUEST_POST,
              HandleQuoteOrPermitRequest);
  AddResource(context.get(), "permit", COAP_REQUEST_POST,
              HandleQuoteOrPermitRequest);
  AddResource(context.get(), "plan", COAP_REQUEST_PUT, HandleUpload);
  AddResource(context.get(), "upload", COAP_REQUEST_PUT, HandleUpload);
  AddResource(context.get(), "health", COAP_REQUEST_GET, HandleHealthRead);
  const StatsServer stats(options.stats,
                          [&target] { return FormatCountersAsJson(target); });
  while (!stop_requested) {
    coap_io_process(context.get(), kPollInterval.count());
    FinishAndStartRequests(target);
    const auto now = steady_clock::now();
    if (now < target.next_notification) {
      continue;
    }
    target.next_notification = now + kNotificationInterval;
    ++target.notification_number;
    for (auto* const board : boards) {
      coap_resource_notify_observers(board, nullptr);
    }
  }
  ReleaseRequestSessions(target);
}

auto ParseOptions(int argc, char** argv) -> Options {
  const std::string address_form = "127.0.0.1:PORT";
  TCLAP::CmdLine line("Stand-in of a target");
  TCLAP::ValueArg<std::string> listen("", "listen", "CoAP over UDP", true, "",
                                      address_form, line);
  TCLAP::ValueArg<std::string> stats("", "stats", "where counters are served",
                                     true, "", address_form, line);
  TCLAP::ValueArg<std::string> name("", "name", "name of the target", true, "",
                                    "NAME", line);
  TCLAP::ValueArg<std::string> kind("", "kind", "service it belongs to", true,
                                    "", "SERVICE", line);
  TCLAP::ValueArg<std::uint32_t> slots("", "slots", "requests run at once",
                                       false, 3, "N", line);
  TCLAP::ValueArg<int> service_time("", "service-ms", "time a request runs",
                                    false, 20, "ms", line);
  using transport::ReadEndpointOption;
  transport::ParseCommandLine(
      line, transport::ConvertArgumentsToWords("standin_target", argc, argv));
  if (slots.getValue() == 0) {
    throw Error(ErrorKind::kInvalidSettings, "--slots: must be above 0");
  }
  return Options{.listen = ReadEndpointOption(listen.getValue(), "listen"),
                 .stats = ReadEndpointOption(stats.getValue(), "stats"),
                 .name = ValidateName(name.getValue()),
                 .kind = ValidateName(kind.getValue()),
                 .slots = slots.getValue(),
                 .service_time = milliseconds(service_time.getValue())};
}

}  // namespace
}  // namespace hawthornbank::standins

auto main(int argc, char** argv) -> int {
  using namespace hawthornbank;
  return transport::RunAndReportErrors("standin_target", [argc, argv] {
    std::signal(SIGTERM, standins::RequestShutdown);
    std::signal(SIGINT, standins::RequestShutdown);
    standins::RunTargetStandin(standins::ParseOptions(argc, argv));
  });
}

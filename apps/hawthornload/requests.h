#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_REQUESTS_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_REQUESTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flow.h"
#include "latency.h"
#include "options.h"

/// @file
/// Callers that send non-idempotent requests and uploads. A caller tracks each
/// request until it is answered, refused or given up.
namespace hawthornbank::load {

using Clock = std::chrono::steady_clock;

/// Outcome of a request, seen by the caller that sent it.
enum class Outcome : std::uint8_t {
  kAnswered,  ///< A response with a 2.xx code arrived.
  kRefused,   ///< A response said that the request has not run.
  kUnknown,   ///< A response or a reset leaves open whether the request ran.
  kLost,      ///< No response with the expected text arrived.
};

/// One request or upload with all its attempts.
struct Request {
  const ServiceUnderLoad* service = nullptr;
  std::string id;
  Message message;
  std::string expected_text;  ///< Text that the answer must contain.
  std::unique_ptr<Flow> flow;
  std::optional<std::uint32_t> steady_caller;  ///< Steady caller, if any.
  Clock::time_point start;
  Clock::time_point deadline;
  std::optional<Clock::time_point> retry_at;
  std::uint32_t attempts = 0;
  std::uint32_t echoes = 0;
  std::optional<Outcome> outcome;
  std::string last_code;  ///< Code of the latest response, for example "5.03".
};

/// A request or upload with outcome kUnknown or kLost: its ID, caller and time.
struct UnsettledRequest {
  std::string id;
  std::string caller;  ///< Address and port of the last flow used.
  std::chrono::milliseconds start{0};  ///< Time since the start of the run.
};

/// Counters of the requests or of the uploads of one service.
struct RequestCounters {
  std::uint64_t started = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t lost = 0;
  std::uint64_t crossed = 0;  ///< 2.xx responses without the expected text.
  std::uint64_t retries = 0;
  std::uint64_t echoes = 0;
  /// Number of responses by code, without 2.xx codes.
  std::map<std::string, std::uint64_t> codes;
  std::vector<std::string> answered_ids;
  std::vector<std::string> refused_ids;
  std::vector<UnsettledRequest> unsettled;  ///< Unknown or lost requests.
  LatencyAccumulator latency;
};

/// Outstanding requests and uploads of a run, reusable flows and counters.
struct Requests {
  Clock::time_point start = Clock::now();
  std::vector<std::unique_ptr<Request>> active;
  std::map<std::string, std::vector<std::unique_ptr<Flow>>> idle_flows;
  /// Flow of each steady caller.
  std::map<std::uint32_t, std::unique_ptr<Flow>> steady_flows;
  /// Counters of the requests by service.
  std::map<std::string, RequestCounters> request_counters;
  /// Counters of the uploads by service.
  std::map<std::string, RequestCounters> upload_counters;
};

/// Applies a response to its request: sets the outcome, the time of a retry or
/// the Echo option to repeat. Sends nothing.
/// @param request The request.
/// @param response The response.
/// @param now Current time.
/// @return Whether to send the request again at once, with the Echo option.
auto ApplyResponseToRequest(Request& request,
                            const CoapResponse& response,
                            Clock::time_point now) -> bool;

/// Sends a non-idempotent request.
/// @param requests Receives the request.
/// @param context libcoap client context.
/// @param service Service to send the request to.
/// @param id ID of the request, unique in the run.
/// @param deadline Time from now within which the request must be answered.
/// @param steady_caller Steady caller that sends the request, always on the
/// same flow while requests are answered; empty for other callers.
auto StartRequest(Requests& requests,
                  coap_context_t* context,
                  const ServiceUnderLoad& service,
                  const std::string& id,
                  std::chrono::milliseconds deadline,
                  std::optional<std::uint32_t> steady_caller = {}) -> void;

/// Starts a block-wise upload.
/// @param requests Receives the upload.
/// @param context libcoap client context.
/// @param service Service to send the upload to.
/// @param id ID of the upload, unique in the run.
/// @param bytes Size of the upload, in bytes.
auto StartUpload(Requests& requests,
                 coap_context_t* context,
                 const ServiceUnderLoad& service,
                 const std::string& id,
                 std::size_t bytes) -> void;

/// Sends the retries that are due, gives up requests one second after their
/// deadline, and counts and removes the requests that have ended.
/// @param requests The outstanding requests and uploads.
/// @param context libcoap client context.
/// @param now Current time.
auto AdvanceRequests(Requests& requests,
                     coap_context_t* context,
                     Clock::time_point now) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_REQUESTS_H_

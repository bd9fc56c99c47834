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
/// Callers that send non-idempotent requests and uploads, and that track each
/// of them until it is answered, refused or given up.
namespace hawthornbank::load {

using Clock = std::chrono::steady_clock;

/// Outcome of a request as its caller sees it.
enum class Outcome : std::uint8_t {
  kAnswered,  ///< A response with a 2.xx code arrived.
  kRefused,   ///< A response said that the request has not run.
  kUnknown,   ///< A response or a reset leaves open whether the request ran.
  kLost,      ///< No usable response arrived.
};

/// One request or upload with all its attempts.
struct Request {
  const ServiceUnderLoad* service = nullptr;
  std::string id;
  Message message;
  std::string expected_text;  ///< Text that the answer must contain.
  std::unique_ptr<Flow> flow;
  std::optional<std::uint32_t> steady_caller;  ///< Caller that owns the flow.
  Clock::time_point start;
  Clock::time_point deadline;
  std::optional<Clock::time_point> retry_at;
  std::uint32_t attempts = 0;
  std::uint32_t echoes = 0;
  std::optional<Outcome> outcome;
  std::string last_code;  ///< Code of the latest response, for example "5.03".
};

/// A request that ended as unknown or lost, with what is needed to trace it.
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
  std::map<std::string, std::uint64_t> codes;  ///< Responses other than 2.xx.
  std::vector<std::string> answered_ids;
  std::vector<std::string> refused_ids;
  std::vector<UnsettledRequest> unsettled;  ///< Unknown or lost requests.
  LatencyAccumulator latency;
};

/// Outstanding requests, the idle flows to reuse and the counters of a run.
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
/// @return Whether the request must be sent again at once, with the Echo
/// option.
auto ApplyResponse(Request& request,
                   const CoapResponse& response,
                   Clock::time_point now) -> bool;

/// Starts a non-idempotent request.
/// @param requests The request is added to it.
/// @param context Client context.
/// @param service Service to send the request to.
/// @param id ID of the request, unique in the run.
/// @param deadline Time from now within which the request must be answered.
/// @param steady_caller Steady caller that sends the request on its existing
/// flow; empty for other callers.
auto StartRequest(Requests& requests,
                  coap_context_t* context,
                  const ServiceUnderLoad& service,
                  const std::string& id,
                  std::chrono::milliseconds deadline,
                  std::optional<std::uint32_t> steady_caller = {}) -> void;

/// Starts a block-wise upload.
/// @param requests The upload is added to it.
/// @param context Client context.
/// @param service Service to send the upload to.
/// @param id ID of the upload, unique in the run.
/// @param bytes Size of the upload, in bytes.
auto StartUpload(Requests& requests,
                 coap_context_t* context,
                 const ServiceUnderLoad& service,
                 const std::string& id,
                 std::size_t bytes) -> void;

/// Sends the retries that are due, gives up requests past their deadline and
/// counts the requests that have ended.
/// @param requests The requests.
/// @param context Client context.
/// @param now Current time.
auto AdvanceRequests(Requests& requests,
                     coap_context_t* context,
                     Clock::time_point now) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_REQUESTS_H_

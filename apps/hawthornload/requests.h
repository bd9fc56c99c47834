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
/// Callers that send non-idempotent requests and uploads, each to its end.
namespace hawthornbank::load {

using Clock = std::chrono::steady_clock;

/// How a request ended for its caller.
enum class Outcome : std::uint8_t {
  kAnswered,
  kRefused,  ///< The system said that it was not run.
  kUnknown,  ///< The system said that it may have run, or the flow was reset.
  kLost,     ///< Nobody said anything.
};

/// One request or upload, over all its tries.
struct Request {
  const ServiceUnderLoad* service = nullptr;
  std::string id;
  Message message;
  std::string expected;  ///< The answer must contain it.
  std::unique_ptr<Flow> flow;
  std::optional<std::uint32_t> steady_caller;  ///< Whose flow it keeps.
  Clock::time_point start;
  Clock::time_point deadline;
  std::optional<Clock::time_point> retry_at;
  std::uint32_t tries = 0;
  std::uint32_t echoes = 0;
  std::optional<Outcome> outcome;
  std::string last_code;  ///< Response code of the latest reply, "5.03".
};

/// A request that ended without a definite answer, for the search for its
/// cause.
struct Unsettled {
  std::string id;
  std::string caller;                  ///< Address of its last flow.
  std::chrono::milliseconds start{0};  ///< Since the start of the run.
};

/// Figures over the requests or the uploads of one service.
struct RequestCounters {
  std::uint64_t started = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t lost = 0;
  std::uint64_t crossed = 0;  ///< Answers to something else.
  std::uint64_t retries = 0;
  std::uint64_t echoes = 0;
  std::map<std::string, std::uint64_t> codes;  ///< Of replies but 2.xx.
  std::vector<std::string> answered_ids;
  std::vector<std::string> refused_ids;
  std::vector<Unsettled> unsettled;  ///< Unknown and lost ones.
  Latency latency;
};

/// Requests under way and the flows that wait for the next one.
struct Requests {
  Clock::time_point start = Clock::now();
  std::vector<std::unique_ptr<Request>> active;
  std::map<std::string, std::vector<std::unique_ptr<Flow>>> idle_flows;
  std::map<std::uint32_t, std::unique_ptr<Flow>> steady_flows;  ///< By caller.
  std::map<std::string, RequestCounters> requests;              ///< By service.
  std::map<std::string, RequestCounters> uploads;               ///< By service.
};

/// Decides what a reply means for its request. Sends nothing.
/// @param request The request; outcome, retry or echo is noted in it.
/// @param reply The response.
/// @param now When it came.
/// @return Whether the request must be sent again at once, with its Echo.
auto Judge(Request& request, const Reply& reply, Clock::time_point now) -> bool;

/// Starts a non-idempotent request.
/// @param requests Where to keep it.
/// @param context Client context.
/// @param service Service to ask.
/// @param id Identity of the request, unique in the run.
/// @param deadline Time from now in which it must be answered.
/// @param steady_caller Caller whose kept flow to use, if it is one's.
auto StartRequest(Requests& requests,
                  coap_context_t* context,
                  const ServiceUnderLoad& service,
                  const std::string& id,
                  std::chrono::milliseconds deadline,
                  std::optional<std::uint32_t> steady_caller = {}) -> void;

/// Starts an upload in parts.
/// @param requests Where to keep it.
/// @param context Client context.
/// @param service Service to send it to.
/// @param id Identity of the upload, unique in the run.
/// @param bytes Size of the upload.
auto StartUpload(Requests& requests,
                 coap_context_t* context,
                 const ServiceUnderLoad& service,
                 const std::string& id,
                 std::size_t bytes) -> void;

/// Retries what is due, gives up what is late and counts what has ended.
/// @param requests The requests.
/// @param context Client context.
/// @param now The present.
auto AdvanceRequests(Requests& requests,
                     coap_context_t* context,
                     Clock::time_point now) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_REQUESTS_H_

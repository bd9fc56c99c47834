#include "requests.h"

#include <xxhash.h>

#include <utility>

namespace hawthornbank::load {
namespace {

constexpr std::chrono::seconds kUploadTimeout{20};
// Time after the deadline for answers that are in flight at the deadline.
constexpr std::chrono::seconds kFinalAnswerGrace{1};
constexpr std::uint32_t kMaxAttempts = 4;
constexpr std::uint32_t kMaxEchoes = 3;
constexpr std::uint32_t kRequestsPerFlow = 5;
constexpr std::uint8_t kSuccessClass = 2;

auto HasResponseCode(const CoapResponse& response,
                     int code_class,
                     int code_detail) -> bool {
  return response.code_class == code_class &&
         response.code_detail == code_detail;
}

auto FormatResponseCode(const CoapResponse& response) -> std::string {
  const auto detail = std::to_string(response.code_detail);
  return std::to_string(response.code_class) + "." +
         (detail.size() < 2 ? "0" : "") + detail;
}

auto IsUploadRequest(const Request& request) -> bool {
  return request.message.body != nullptr;
}

auto GetServiceCounters(Requests& requests, const Request& request)
    -> RequestCounters& {
  auto& by_service = IsUploadRequest(request) ? requests.upload_counters
                                              : requests.request_counters;
  return by_service[request.service->workload.service];
}

auto TakeOrOpenSteadyFlow(Requests& requests,
                          coap_context_t* context,
                          const ServiceUnderLoad& service,
                          std::uint32_t caller) -> std::unique_ptr<Flow> {
  auto& kept = requests.steady_flows[caller];
  return kept ? std::move(kept) : OpenFlow(context, service.address);
}

auto TakeOrOpenFlow(Requests& requests,
                    coap_context_t* context,
                    const Request& request) -> std::unique_ptr<Flow> {
  const auto& service = *request.service;
  if (request.steady_caller) {
    return TakeOrOpenSteadyFlow(requests, context, service,
                                *request.steady_caller);
  }
  auto& idle = requests.idle_flows[service.workload.service];
  if (idle.empty()) {
    return OpenFlow(context, service.address);
  }
  auto flow = std::move(idle.back());
  idle.pop_back();
  return flow;
}

auto HandleCoapResponse(Requests& requests,
                        Request& request,
                        const CoapResponse& response) -> void {
  auto& counters = GetServiceCounters(requests, request);
  request.last_code = FormatResponseCode(response);
  if (response.code_class != kSuccessClass) {
    ++counters.codes[request.last_code];
  }
  const bool answered = response.code_class == kSuccessClass;
  if (answered &&
      response.payload.find(request.expected_text) == std::string::npos) {
    ++counters.crossed;
    return;
  }
  if (ApplyResponseToRequest(request, response, Clock::now())) {
    ++counters.echoes;
    SendCoapRequest(*request.flow, request.message);
  }
}

auto SendRequestAttempt(Requests& requests,
                        coap_context_t* context,
                        Request& request) -> void {
  request.flow = TakeOrOpenFlow(requests, context, request);
  ++request.attempts;
  request.flow->on_response = [&requests,
                               &request](const CoapResponse& response) {
    if (!request.outcome && !request.retry_at) {
      HandleCoapResponse(requests, request, response);
    }
  };
  request.flow->on_failure = [&request](FlowFailure failure) {
    request.outcome =
        failure == FlowFailure::kReset ? Outcome::kUnknown : Outcome::kLost;
  };
  SendCoapRequest(*request.flow, request.message);
}

auto StartPreparedRequest(Requests& requests,
                          coap_context_t* context,
                          std::unique_ptr<Request> request) -> void {
  ++GetServiceCounters(requests, *request).started;
  SendRequestAttempt(requests, context, *request);
  requests.active.push_back(std::move(request));
}

auto CountRequestOutcome(Requests& requests,
                         const Request& request,
                         Clock::time_point now) -> void {
  auto& counters = GetServiceCounters(requests, request);
  counters.retries += request.attempts - 1;
  if (request.outcome == Outcome::kUnknown ||
      request.outcome == Outcome::kLost) {
    counters.unsettled.push_back(
        {.id = request.id,
         .caller = ToString(GetLocalEndpoint(*request.flow)),
         .start = std::chrono::duration_cast<std::chrono::milliseconds>(
             request.start - requests.start)});
  }
  switch (*request.outcome) {
    case Outcome::kAnswered:
      ++counters.answered;
      counters.answered_ids.push_back(request.id);
      RecordLatency(counters.latency,
                    std::chrono::duration_cast<std::chrono::microseconds>(
                        now - request.start));
      break;
    case Outcome::kRefused:
      ++counters.refused;
      counters.refused_ids.push_back(request.id);
      break;
    case Outcome::kUnknown:
      ++counters.unknown;
      break;
    case Outcome::kLost:
      ++counters.lost;
      break;
  }
}

/// Keeps the flow of an answered request for later requests, unless the flow
/// has sent kRequestsPerFlow requests. A steady caller's flow has no such
/// limit. Flows of uploads are not kept.
auto KeepFlowForReuse(Requests& requests, Request& request) -> void {
  if (request.outcome != Outcome::kAnswered || IsUploadRequest(request)) {
    return;
  }
  request.flow->on_response = nullptr;
  request.flow->on_failure = nullptr;
  request.flow->token.clear();
  if (request.steady_caller) {
    requests.steady_flows[*request.steady_caller] = std::move(request.flow);
    return;
  }
  if (request.flow->sent_requests >= kRequestsPerFlow) {
    return;
  }
  requests.idle_flows[request.service->workload.service].push_back(
      std::move(request.flow));
}

auto AdvanceRequest(Requests& requests,
                    coap_context_t* context,
                    Request& request,
                    Clock::time_point now) -> void {
  if (!request.outcome && now > request.deadline + kFinalAnswerGrace) {
    // A request waiting for a retry was refused (5.03), so it has not run.
    request.outcome = request.retry_at ? Outcome::kRefused : Outcome::kLost;
  }
  if (!request.outcome && request.retry_at && now >= *request.retry_at) {
    request.retry_at.reset();
    SendRequestAttempt(requests, context, request);
  }
}

}  // namespace

auto ApplyResponseToRequest(Request& request,
                            const CoapResponse& response,
                            Clock::time_point now) -> bool {
  if (response.code_class == kSuccessClass) {
    request.outcome = Outcome::kAnswered;
    return false;
  }
  if (HasResponseCode(response, 4, 1) && !response.echo.empty() &&
      request.echoes < kMaxEchoes) {
    ++request.echoes;
    request.message.echo = response.echo;
    return true;
  }
  if (HasResponseCode(response, 5, 2) || HasResponseCode(response, 5, 0)) {
    request.outcome = Outcome::kUnknown;
    return false;
  }
  const auto retry_at = now + response.max_age;
  if (HasResponseCode(response, 5, 3) && request.attempts < kMaxAttempts &&
      retry_at < request.deadline) {
    request.retry_at = retry_at;
    request.message.echo.clear();
    return false;
  }
  request.outcome = Outcome::kRefused;
  return false;
}

auto StartRequest(Requests& requests,
                  coap_context_t* context,
                  const ServiceUnderLoad& service,
                  const std::string& id,
                  std::chrono::milliseconds deadline,
                  std::optional<std::uint32_t> steady_caller) -> void {
  auto request = std::make_unique<Request>();
  const auto now = Clock::now();
  request->service = &service;
  request->id = id;
  request->steady_caller = steady_caller;
  request->expected_text = " " + id;
  request->start = now;
  request->deadline = now + deadline;
  request->message = {
      .method = COAP_REQUEST_CODE_POST,
      .path = service.workload.request_path,
      .queries = {"rid=" + id, "kind=" + service.workload.service,
                  "deadline_ms=" + std::to_string(deadline.count())}};
  StartPreparedRequest(requests, context, std::move(request));
}

auto StartUpload(Requests& requests,
                 coap_context_t* context,
                 const ServiceUnderLoad& service,
                 const std::string& id,
                 std::size_t bytes) -> void {
  auto request = std::make_unique<Request>();
  const auto now = Clock::now();
  std::vector<std::uint8_t> body(bytes);
  for (std::size_t n = 0; n < bytes; ++n) {
    body[n] = static_cast<std::uint8_t>(id[n % id.size()] + n / id.size());
  }
  request->service = &service;
  request->id = id;
  request->expected_text =
      std::to_string(bytes) + " " +
      std::to_string(XXH3_64bits(body.data(), body.size()));
  request->start = now;
  request->deadline = now + kUploadTimeout;
  request->message = {
      .method = COAP_REQUEST_CODE_PUT,
      .path = service.workload.upload_path,
      .queries = {"rid=" + id, "kind=" + service.workload.service},
      .body =
          std::make_shared<const std::vector<std::uint8_t>>(std::move(body))};
  StartPreparedRequest(requests, context, std::move(request));
}

auto AdvanceRequests(Requests& requests,
                     coap_context_t* context,
                     Clock::time_point now) -> void {
  std::vector<std::unique_ptr<Request>> still_active;
  for (auto& it : requests.active) {
    AdvanceRequest(requests, context, *it, now);
    if (!it->outcome) {
      still_active.push_back(std::move(it));
      continue;
    }
    CountRequestOutcome(requests, *it, now);
    KeepFlowForReuse(requests, *it);
  }
  requests.active = std::move(still_active);
}

}  // namespace hawthornbank::load

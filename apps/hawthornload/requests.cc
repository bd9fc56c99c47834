#include "requests.h"

#include <xxhash.h>

#include <utility>

namespace hawthornbank::load {
namespace {

constexpr std::chrono::seconds kUploadTimeout{20};
// A final answer may still be on its way when the deadline passes.
constexpr std::chrono::seconds kGrace{1};
constexpr std::uint32_t kMaxTries = 4;
constexpr std::uint32_t kMaxEchoes = 3;
constexpr std::uint32_t kRequestsPerFlow = 5;
constexpr std::uint8_t kSuccessClass = 2;

auto IsCode(const Reply& reply, int code_class, int code_detail) -> bool {
  return reply.code_class == code_class && reply.code_detail == code_detail;
}

auto CodeText(const Reply& reply) -> std::string {
  const auto detail = std::to_string(reply.code_detail);
  return std::to_string(reply.code_class) + "." +
         (detail.size() < 2 ? "0" : "") + detail;
}

auto IsUpload(const Request& request) -> bool {
  return request.message.body != nullptr;
}

auto CountersOf(Requests& requests, const Request& request)
    -> RequestCounters& {
  auto& by_service = IsUpload(request) ? requests.uploads : requests.requests;
  return by_service[request.service->workload.service];
}

auto TakeSteadyFlow(Requests& requests,
                    coap_context_t* context,
                    const ServiceUnderLoad& service,
                    std::uint32_t caller) -> std::unique_ptr<Flow> {
  auto& kept = requests.steady_flows[caller];
  return kept ? std::move(kept) : OpenFlow(context, service.address);
}

auto TakeFlow(Requests& requests,
              coap_context_t* context,
              const Request& request) -> std::unique_ptr<Flow> {
  const auto& service = *request.service;
  if (request.steady_caller) {
    return TakeSteadyFlow(requests, context, service, *request.steady_caller);
  }
  auto& idle = requests.idle_flows[service.workload.service];
  if (idle.empty()) {
    return OpenFlow(context, service.address);
  }
  auto flow = std::move(idle.back());
  idle.pop_back();
  return flow;
}

auto OnReply(Requests& requests, Request& request, const Reply& reply) -> void {
  auto& counters = CountersOf(requests, request);
  request.last_code = CodeText(reply);
  if (reply.code_class != kSuccessClass) {
    ++counters.codes[request.last_code];
  }
  const bool answered = reply.code_class == kSuccessClass;
  if (answered && reply.payload.find(request.expected) == std::string::npos) {
    ++counters.crossed;
    return;
  }
  if (Judge(request, reply, Clock::now())) {
    ++counters.echoes;
    Send(*request.flow, request.message);
  }
}

auto Try(Requests& requests, coap_context_t* context, Request& request)
    -> void {
  request.flow = TakeFlow(requests, context, request);
  ++request.tries;
  request.flow->on_reply = [&requests, &request](const Reply& reply) {
    if (!request.outcome && !request.retry_at) {
      OnReply(requests, request, reply);
    }
  };
  request.flow->on_failure = [&request](FlowFailure failure) {
    request.outcome =
        failure == FlowFailure::kReset ? Outcome::kUnknown : Outcome::kLost;
  };
  Send(*request.flow, request.message);
}

auto Start(Requests& requests,
           coap_context_t* context,
           std::unique_ptr<Request> request) -> void {
  ++CountersOf(requests, *request).started;
  Try(requests, context, *request);
  requests.active.push_back(std::move(request));
}

auto Count(Requests& requests, const Request& request, Clock::time_point now)
    -> void {
  auto& counters = CountersOf(requests, request);
  counters.retries += request.tries - 1;
  if (request.outcome == Outcome::kUnknown ||
      request.outcome == Outcome::kLost) {
    counters.unsettled.push_back(
        {.id = request.id,
         .caller = ToString(LocalEndpoint(*request.flow)),
         .start = std::chrono::duration_cast<std::chrono::milliseconds>(
             request.start - requests.start)});
  }
  switch (*request.outcome) {
    case Outcome::kAnswered:
      ++counters.answered;
      counters.answered_ids.push_back(request.id);
      Record(counters.latency,
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

/// Keeps the flow of an answered request for the next one.
auto RecycleFlow(Requests& requests, Request& request) -> void {
  if (request.outcome != Outcome::kAnswered || IsUpload(request)) {
    return;
  }
  request.flow->on_reply = nullptr;
  request.flow->on_failure = nullptr;
  request.flow->token.clear();
  if (request.steady_caller) {
    requests.steady_flows[*request.steady_caller] = std::move(request.flow);
    return;
  }
  if (request.flow->requests >= kRequestsPerFlow) {
    return;
  }
  requests.idle_flows[request.service->workload.service].push_back(
      std::move(request.flow));
}

auto Advance(Requests& requests,
             coap_context_t* context,
             Request& request,
             Clock::time_point now) -> void {
  if (!request.outcome && now > request.deadline + kGrace) {
    // A wait for a retry follows a refusal: it is known not to have run.
    request.outcome = request.retry_at ? Outcome::kRefused : Outcome::kLost;
  }
  if (!request.outcome && request.retry_at && now >= *request.retry_at) {
    request.retry_at.reset();
    Try(requests, context, request);
  }
}

}  // namespace

auto Judge(Request& request, const Reply& reply, Clock::time_point now)
    -> bool {
  if (reply.code_class == kSuccessClass) {
    request.outcome = Outcome::kAnswered;
    return false;
  }
  if (IsCode(reply, 4, 1) && !reply.echo.empty() &&
      request.echoes < kMaxEchoes) {
    ++request.echoes;
    request.message.echo = reply.echo;
    return true;
  }
  if (IsCode(reply, 5, 2) || IsCode(reply, 5, 0)) {
    request.outcome = Outcome::kUnknown;
    return false;
  }
  const auto retry_at = now + reply.max_age;
  if (IsCode(reply, 5, 3) && request.tries < kMaxTries &&
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
  request->expected = " " + id;
  request->start = now;
  request->deadline = now + deadline;
  request->message = {
      .method = COAP_REQUEST_CODE_POST,
      .path = service.workload.request_path,
      .queries = {"rid=" + id, "kind=" + service.workload.service,
                  "deadline_ms=" + std::to_string(deadline.count())}};
  Start(requests, context, std::move(request));
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
  request->expected = std::to_string(bytes) + " " +
                      std::to_string(XXH3_64bits(body.data(), body.size()));
  request->start = now;
  request->deadline = now + kUploadTimeout;
  request->message = {
      .method = COAP_REQUEST_CODE_PUT,
      .path = service.workload.upload_path,
      .queries = {"rid=" + id, "kind=" + service.workload.service},
      .body =
          std::make_shared<const std::vector<std::uint8_t>>(std::move(body))};
  Start(requests, context, std::move(request));
}

auto AdvanceRequests(Requests& requests,
                     coap_context_t* context,
                     Clock::time_point now) -> void {
  std::vector<std::unique_ptr<Request>> still_active;
  for (auto& it : requests.active) {
    Advance(requests, context, *it, now);
    if (!it->outcome) {
      still_active.push_back(std::move(it));
      continue;
    }
    Count(requests, *it, now);
    RecycleFlow(requests, *it);
  }
  requests.active = std::move(still_active);
}

}  // namespace hawthornbank::load

#include <algorithm>
#include <charconv>
#include <string>

#include "hawthornbank/error.h"
#include "protocol/coap_gate_state.h"
#include "protocol/echo_token.h"

/// @file
/// Converts a CoAP request message into the request gate's Request.
namespace hawthornbank::detail {
namespace {

constexpr std::string_view kRequestIdKey = "rid";
constexpr std::string_view kDeadlineKey = "deadline_ms";
constexpr std::size_t kMaxRequestIdBytes = 64;
constexpr unsigned kBlockNumberShift = 4;

auto ReadDeadlineParameter(const CoapGateOptions& options,
                           const CoapMessage& message)
    -> std::chrono::milliseconds {
  const auto text = FindQueryParameter(message, kDeadlineKey);
  if (!text) {
    return options.default_deadline;
  }
  std::uint32_t value = 0;
  const auto* end = text->data() + text->size();
  const auto result = std::from_chars(text->data(), end, value);
  if (result.ec != std::errc{} || result.ptr != end) {
    throw Error(ErrorKind::kMalformed, "deadline_ms is not a number");
  }
  return std::min(options.max_deadline, std::chrono::milliseconds{value});
}

auto ReadBlockNumber(const CoapMessage& message, CoapOptionNumber number)
    -> std::uint32_t {
  const auto* option = FindCoapOption(message, number);
  return option == nullptr ? 0 : DecodeUintOption(*option) >> kBlockNumberShift;
}

// Makes the suffix that distinguishes the identities of the later blocks of a
// block-wise transfer, because each block is a separate request.
auto MakeBlockIdSuffix(const CoapMessage& message) -> std::string {
  std::string suffix;
  if (const auto n = ReadBlockNumber(message, CoapOptionNumber::kBlock1);
      n > 0) {
    suffix += "\n1:" + std::to_string(n);
  }
  if (const auto n = ReadBlockNumber(message, CoapOptionNumber::kBlock2);
      n > 0) {
    suffix += "\n2:" + std::to_string(n);
  }
  return suffix;
}

auto IsQueryParameter(const CoapOption& option, std::string_view key) -> bool {
  const std::string_view text{
      reinterpret_cast<const char*>(option.value.data()), option.value.size()};
  return option.number ==
             static_cast<std::uint16_t>(CoapOptionNumber::kUriQuery) &&
         text.size() > key.size() && text.starts_with(key) &&
         text[key.size()] == '=';
}

// Hashes the request's content without Echo and deadline, so that all repeats
// of a request have the same fingerprint.
auto ComputeRequestFingerprint(const CoapMessage& message) -> std::uint64_t {
  std::string text{static_cast<char>(message.code)};
  for (const auto& option : message.options) {
    const bool differs_between_repeats =
        option.number == static_cast<std::uint16_t>(CoapOptionNumber::kEcho) ||
        IsQueryParameter(option, kDeadlineKey);
    if (!differs_between_repeats) {
      text += std::to_string(option.number) + ':' +
              std::to_string(option.value.size()) + ':';
      text.append(option.value.begin(), option.value.end());
    }
  }
  text.append(message.payload.begin(), message.payload.end());
  return HashName(text);
}

auto IsDoubleWeightRequest(const CoapGateOptions& options,
                           const CoapMessage& message) -> bool {
  const auto* path = FindCoapOption(message, CoapOptionNumber::kUriPath);
  if (!options.has_double_weight || path == nullptr) {
    return false;
  }
  const std::string text{path->value.begin(), path->value.end()};
  return text.starts_with(options.double_weight_path_prefix);
}

}  // namespace

auto ConvertToGateRequest(const CoapGateOptions& options,
                          const FlowKey& flow,
                          const CoapMessage& message,
                          WaiterId waiter,
                          TimePoint now) -> Request {
  const auto id = FindQueryParameter(message, kRequestIdKey).value_or("");
  if (id.size() > kMaxRequestIdBytes) {
    throw Error(ErrorKind::kMalformed, "rid is over 64 bytes");
  }
  const auto suffix = MakeBlockIdSuffix(message);
  Request request{.waiter = waiter,
                  .id = id.empty() ? "" : id + suffix,
                  .fingerprint = ComputeRequestFingerprint(message),
                  .caller = flow.caller.address,
                  .deadline = now + ReadDeadlineParameter(options, message),
                  .idempotent = message.code != kCoapPost,
                  .has_double_weight = IsDoubleWeightRequest(options, message),
                  .is_continuation = !suffix.empty()};
  if (const auto* echo = FindCoapOption(message, CoapOptionNumber::kEcho)) {
    request.token = DecodeEchoToken(echo->value, id, options.token_keys);
  }
  return request;
}

}  // namespace hawthornbank::detail

#include "protocol/coap_codec.h"

#include <coap3/coap.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

constexpr std::size_t kFixedHeaderBytes = 4;
constexpr std::size_t kMaxTokenBytes = 8;
constexpr std::uint8_t kCoapVersion = 1;
constexpr std::uint8_t kPayloadMarker = 0xFF;

struct PduDeleter {
  auto operator()(coap_pdu_t* pdu) const -> void { coap_delete_pdu(pdu); }
};

// By default libcoap writes a line to stderr for each malformed datagram, and
// anybody can send such datagrams. The gate counts and answers them instead.
auto LimitLibcoapLogToErrors() -> bool {
  coap_set_log_level(LOG_ERR);
  return true;
}

auto ParseCoapPdu(std::span<const std::uint8_t> bytes)
    -> std::unique_ptr<coap_pdu_t, PduDeleter> {
  [[maybe_unused]] static const bool is_silenced = LimitLibcoapLogToErrors();
  std::unique_ptr<coap_pdu_t, PduDeleter> pdu{
      coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, bytes.size())};
  if (!pdu || coap_pdu_parse(COAP_PROTO_UDP, bytes.data(), bytes.size(),
                             pdu.get()) == 0) {
    throw Error(ErrorKind::kMalformed, "datagram is not a CoAP message");
  }
  return pdu;
}

auto ReadPduOptions(const coap_pdu_t* pdu) -> std::vector<CoapOption> {
  std::vector<CoapOption> options;
  coap_opt_iterator_t iterator;
  coap_option_iterator_init(pdu, &iterator, COAP_OPT_ALL);
  while (const auto* option = coap_option_next(&iterator)) {
    const auto* value = coap_opt_value(option);
    options.push_back({.number = iterator.number,
                       .value = {value, value + coap_opt_length(option)}});
  }
  return options;
}

// libcoap encodes options but has no public function for the fixed header.
// This function returns the header's four bytes as in RFC 7252, section 3.
auto EncodeCoapHeader(const CoapMessage& message) -> std::vector<std::uint8_t> {
  const auto type = static_cast<unsigned>(message.type);
  const auto length = static_cast<unsigned>(message.token.size());
  return {static_cast<std::uint8_t>(kCoapVersion << 6U | type << 4U | length),
          message.code, static_cast<std::uint8_t>(message.id >> 8U),
          static_cast<std::uint8_t>(message.id & 0xFFU)};
}

auto AppendEncodedOption(std::vector<std::uint8_t>& bytes,
                         const CoapOption& option,
                         std::uint16_t previous) -> void {
  const auto delta = static_cast<std::uint16_t>(option.number - previous);
  const auto size = coap_opt_encode_size(delta, option.value.size());
  const auto begin = bytes.size();
  bytes.resize(begin + size);
  const auto written = coap_opt_encode(
      &bytes[begin], size, delta, option.value.data(), option.value.size());
  if (written != size) {
    throw Error(ErrorKind::kMalformed, "CoAP option can't be encoded");
  }
}

}  // namespace

auto DecodeCoapMessage(std::span<const std::uint8_t> bytes, std::size_t limit)
    -> CoapMessage {
  if (bytes.size() > limit) {
    throw Error(ErrorKind::kTooLarge, "CoAP message is over the size limit");
  }
  const auto pdu = ParseCoapPdu(bytes);
  const auto token = coap_pdu_get_token(pdu.get());
  CoapMessage message{
      .type = static_cast<CoapType>(coap_pdu_get_type(pdu.get())),
      .code = static_cast<std::uint8_t>(coap_pdu_get_code(pdu.get())),
      .id = static_cast<std::uint16_t>(coap_pdu_get_mid(pdu.get())),
      .token = {token.s, token.s + token.length},
      .options = ReadPduOptions(pdu.get())};
  std::size_t size = 0;
  const std::uint8_t* data = nullptr;
  if (coap_get_data(pdu.get(), &size, &data) != 0) {
    message.payload.assign(data, data + size);
  }
  return message;
}

auto DecodeCoapHeader(std::span<const std::uint8_t> bytes)
    -> std::optional<CoapMessage> {
  if (bytes.size() < kFixedHeaderBytes || bytes[0] >> 6U != kCoapVersion) {
    return std::nullopt;
  }
  const std::size_t length = bytes[0] & 0x0FU;
  if (length > kMaxTokenBytes || bytes.size() < kFixedHeaderBytes + length) {
    return std::nullopt;
  }
  const auto token = bytes.subspan(kFixedHeaderBytes, length);
  return CoapMessage{
      .type = static_cast<CoapType>(bytes[0] >> 4U & 0x03U),
      .code = bytes[1],
      .id = static_cast<std::uint16_t>(bytes[2] << 8U | bytes[3]),
      .token = {token.begin(), token.end()}};
}

auto EncodeCoapMessage(const CoapMessage& message)
    -> std::vector<std::uint8_t> {
  if (message.token.size() > kMaxTokenBytes) {
    throw Error(ErrorKind::kMalformed, "CoAP token is over 8 bytes");
  }
  auto bytes = EncodeCoapHeader(message);
  bytes.insert(bytes.end(), message.token.begin(), message.token.end());
  std::uint16_t previous = 0;
  for (const auto& option : message.options) {
    AppendEncodedOption(bytes, option, previous);
    previous = option.number;
  }
  if (!message.payload.empty()) {
    bytes.push_back(kPayloadMarker);
    bytes.insert(bytes.end(), message.payload.begin(), message.payload.end());
  }
  return bytes;
}

auto FindCoapOption(const CoapMessage& message, CoapOptionNumber number)
    -> const CoapOption* {
  const auto wanted = static_cast<std::uint16_t>(number);
  const auto it = std::find_if(
      message.options.begin(), message.options.end(),
      [&](const CoapOption& option) { return option.number == wanted; });
  return it == message.options.end() ? nullptr : &*it;
}

auto AddCoapOption(CoapMessage& message,
                   CoapOptionNumber number,
                   std::vector<std::uint8_t> value) -> void {
  const auto wanted = static_cast<std::uint16_t>(number);
  const auto it = std::find_if(
      message.options.begin(), message.options.end(),
      [&](const CoapOption& option) { return option.number > wanted; });
  message.options.insert(it, {.number = wanted, .value = std::move(value)});
}

auto AddCoapOption(CoapMessage& message,
                   CoapOptionNumber number,
                   std::string_view value) -> void {
  AddCoapOption(message, number,
                std::vector<std::uint8_t>{value.begin(), value.end()});
}

auto AddCoapUintOption(CoapMessage& message,
                       CoapOptionNumber number,
                       std::uint32_t value) -> void {
  std::vector<std::uint8_t> bytes(sizeof(value));
  bytes.resize(coap_encode_var_safe(bytes.data(), bytes.size(), value));
  AddCoapOption(message, number, std::move(bytes));
}

auto RemoveCoapOptions(CoapMessage& message, CoapOptionNumber number) -> void {
  const auto wanted = static_cast<std::uint16_t>(number);
  std::erase_if(message.options, [&](const CoapOption& option) {
    return option.number == wanted;
  });
}

auto DecodeUintOption(const CoapOption& option) -> std::uint32_t {
  return coap_decode_var_bytes(option.value.data(), option.value.size());
}

auto FindQueryParameter(const CoapMessage& message, std::string_view key)
    -> std::optional<std::string> {
  for (const auto& option : message.options) {
    if (option.number !=
        static_cast<std::uint16_t>(CoapOptionNumber::kUriQuery)) {
      continue;
    }
    const std::string text{option.value.begin(), option.value.end()};
    if (text.size() > key.size() && text.starts_with(key) &&
        text[key.size()] == '=') {
      return text.substr(key.size() + 1);
    }
  }
  return std::nullopt;
}

}  // namespace hawthornbank

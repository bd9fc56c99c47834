#ifndef HAWTHORNBANK_PROTOCOL_COAP_CODEC_H_
#define HAWTHORNBANK_PROTOCOL_COAP_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// CoAP messages (RFC 7252) as plain structs; options are coded by libcoap.
namespace hawthornbank {

/// Type of a message.
enum class CoapType : std::uint8_t { kCon = 0, kNon = 1, kAck = 2, kRst = 3 };

/// Option numbers that the gate understands.
enum class CoapOptionNumber : std::uint16_t {
  kObserve = 6,
  kUriPath = 11,
  kMaxAge = 14,
  kUriQuery = 15,
  kBlock2 = 23,
  kBlock1 = 27,
  kEcho = 252,
};

/// Message codes that the gate uses.
inline constexpr std::uint8_t kCoapEmpty = 0;
inline constexpr std::uint8_t kCoapGet = 1;
inline constexpr std::uint8_t kCoapPost = 2;
inline constexpr std::uint8_t kCoapDeleted = 2 << 5 | 2;
inline constexpr std::uint8_t kCoapContent = 2 << 5 | 5;
inline constexpr std::uint8_t kCoapServiceUnavailable = 5 << 5 | 3;

/// Largest message accepted from a caller, in bytes.
inline constexpr std::size_t kMaxCallerMessage = 1400;
/// Largest message accepted from a target: what one datagram holds.
inline constexpr std::size_t kMaxDatagram = 65507;

/// One option of a message.
struct CoapOption {
  std::uint16_t number = 0;
  std::vector<std::uint8_t> value;

  auto operator==(const CoapOption&) const -> bool = default;
};

/// One message.
struct CoapMessage {
  CoapType type = CoapType::kCon;
  std::uint8_t code = kCoapEmpty;
  std::uint16_t id = 0;
  std::vector<std::uint8_t> token;
  std::vector<CoapOption> options;  ///< In rising order of their numbers.
  std::vector<std::uint8_t> payload;

  auto operator==(const CoapMessage&) const -> bool = default;
};

/// Decodes a datagram.
/// @param bytes The datagram.
/// @param limit Largest size that is accepted, in bytes.
/// @return The message.
/// @throws Error kTooLarge over the limit, kMalformed when it isn't CoAP.
auto DecodeCoap(std::span<const std::uint8_t> bytes, std::size_t limit)
    -> CoapMessage;

/// Decodes type, code, identity and token of a datagram whose rest is bad.
/// @param bytes The datagram.
/// @return The message without options and payload, or nothing.
auto DecodeCoapHeader(std::span<const std::uint8_t> bytes)
    -> std::optional<CoapMessage>;

/// Encodes a message.
/// @param message The message.
/// @return The datagram.
/// @throws Error kMalformed when an option or the token doesn't fit.
auto EncodeCoap(const CoapMessage& message) -> std::vector<std::uint8_t>;

/// @param message A message.
/// @param number An option number.
/// @return Its first option of that number, or null.
auto FindOption(const CoapMessage& message, CoapOptionNumber number)
    -> const CoapOption*;

/// Adds an option behind those of the same or lower number.
/// @param message The message.
/// @param number The option's number.
/// @param value The option's value.
auto AddOption(CoapMessage& message,
               CoapOptionNumber number,
               std::vector<std::uint8_t> value) -> void;

/// Adds an option with a text value.
/// @param message The message.
/// @param number The option's number.
/// @param value The option's value.
auto AddOption(CoapMessage& message,
               CoapOptionNumber number,
               std::string_view value) -> void;

/// Adds an option with an unsigned value in its shortest form.
/// @param message The message.
/// @param number The option's number.
/// @param value The option's value.
auto AddUintOption(CoapMessage& message,
                   CoapOptionNumber number,
                   std::uint32_t value) -> void;

/// Drops every option of a number.
/// @param message The message.
/// @param number The option's number.
auto RemoveOption(CoapMessage& message, CoapOptionNumber number) -> void;

/// @param option An option with an unsigned value.
/// @return The value.
auto UintValue(const CoapOption& option) -> std::uint32_t;

/// @param message A request.
/// @param key Name of a Uri-Query parameter.
/// @return The text behind "key=", or nothing.
auto QueryValue(const CoapMessage& message, std::string_view key)
    -> std::optional<std::string>;

/// @param code A message code.
/// @return Whether it is a request's.
constexpr auto IsRequestCode(std::uint8_t code) -> bool {
  return code > 0 && code < 1 << 5;
}

/// @param code A message code.
/// @return Its class: 2 success, 4 the caller's fault, 5 the target's.
constexpr auto CodeClass(std::uint8_t code) -> std::uint8_t {
  return code >> 5U;
}

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PROTOCOL_COAP_CODEC_H_

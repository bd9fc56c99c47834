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
/// CoAP messages (RFC 7252) as plain structs; libcoap parses datagrams and
/// encodes options.
namespace hawthornbank {

/// Type of a CoAP message.
enum class CoapType : std::uint8_t { kCon = 0, kNon = 1, kAck = 2, kRst = 3 };

/// Numbers of the CoAP options that the gate handles.
enum class CoapOptionNumber : std::uint16_t {
  kObserve = 6,
  kUriPath = 11,
  kMaxAge = 14,
  kUriQuery = 15,
  kBlock2 = 23,
  kBlock1 = 27,
  kEcho = 252,
};

/// CoAP message codes that the gate uses.
inline constexpr std::uint8_t kCoapEmpty = 0;
inline constexpr std::uint8_t kCoapGet = 1;
inline constexpr std::uint8_t kCoapPost = 2;
inline constexpr std::uint8_t kCoapDeleted = 2 << 5 | 2;
inline constexpr std::uint8_t kCoapContent = 2 << 5 | 5;
inline constexpr std::uint8_t kCoapServiceUnavailable = 5 << 5 | 3;

/// Maximum size of a message from a caller, in bytes.
inline constexpr std::size_t kMaxCallerMessageBytes = 1400;
/// Maximum size of a message from a target, in bytes: the maximum payload of a
/// UDP datagram over IPv4.
inline constexpr std::size_t kMaxUdpPayloadBytes = 65507;

/// One option of a CoAP message.
struct CoapOption {
  std::uint16_t number = 0;
  std::vector<std::uint8_t> value;

  auto operator==(const CoapOption&) const -> bool = default;
};

/// One decoded CoAP message.
struct CoapMessage {
  CoapType type = CoapType::kCon;
  std::uint8_t code = kCoapEmpty;
  std::uint16_t id = 0;
  std::vector<std::uint8_t> token;
  std::vector<CoapOption> options;  ///< Sorted by option number.
  std::vector<std::uint8_t> payload;

  auto operator==(const CoapMessage&) const -> bool = default;
};

/// Decodes a datagram into a CoAP message.
/// @param bytes The datagram.
/// @param limit Maximum size, in bytes.
/// @return The message.
/// @throws Error kTooLarge if the datagram is over the limit, kMalformed if it
///   isn't a CoAP message.
auto DecodeCoapMessage(std::span<const std::uint8_t> bytes, std::size_t limit)
    -> CoapMessage;

/// Decodes only type, code, message ID and token, for a datagram whose options
/// or payload may be malformed.
/// @param bytes The datagram.
/// @return The message without options and payload, or nothing if header or
///   token is malformed.
auto DecodeCoapHeader(std::span<const std::uint8_t> bytes)
    -> std::optional<CoapMessage>;

/// Encodes a CoAP message as a datagram.
/// @param message The message.
/// @return The datagram.
/// @throws Error kMalformed if an option can't be encoded or the token is
///   longer than 8 bytes.
auto EncodeCoapMessage(const CoapMessage& message) -> std::vector<std::uint8_t>;

/// @param message A message.
/// @param number An option number.
/// @return The message's first option of the given number, or null.
auto FindCoapOption(const CoapMessage& message, CoapOptionNumber number)
    -> const CoapOption*;

/// Inserts an option after all options of the same or a lower number.
/// @param message The message.
/// @param number The option's number.
/// @param value The option's value.
auto AddCoapOption(CoapMessage& message,
                   CoapOptionNumber number,
                   std::vector<std::uint8_t> value) -> void;

/// Inserts an option with a text value, after all options of the same or a
/// lower number.
/// @param message The message.
/// @param number The option's number.
/// @param value The option's value.
auto AddCoapOption(CoapMessage& message,
                   CoapOptionNumber number,
                   std::string_view value) -> void;

/// Inserts an option with an unsigned value, encoded without leading zero
/// bytes, after all options of the same or a lower number.
/// @param message The message.
/// @param number The option's number.
/// @param value The option's value.
auto AddCoapUintOption(CoapMessage& message,
                       CoapOptionNumber number,
                       std::uint32_t value) -> void;

/// Removes every option of the given number.
/// @param message The message.
/// @param number The option's number.
auto RemoveCoapOptions(CoapMessage& message, CoapOptionNumber number) -> void;

/// @param option An option with an unsigned value.
/// @return The decoded value.
auto DecodeUintOption(const CoapOption& option) -> std::uint32_t;

/// @param message A request.
/// @param key Name of a Uri-Query parameter.
/// @return The parameter's value (the text after "key="), or nothing.
auto FindQueryParameter(const CoapMessage& message, std::string_view key)
    -> std::optional<std::string>;

/// @param code A message code.
/// @return Whether `code` is a request code: class 0, but not 0.00.
constexpr auto IsCoapRequestCode(std::uint8_t code) -> bool {
  return code > 0 && code < 1 << 5;
}

/// @param code A message code.
/// @return The code's class: 2 is success, 4 a client error, 5 a server error.
constexpr auto GetCoapCodeClass(std::uint8_t code) -> std::uint8_t {
  return code >> 5U;
}

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PROTOCOL_COAP_CODEC_H_

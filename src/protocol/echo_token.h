#ifndef HAWTHORNBANK_PROTOCOL_ECHO_TOKEN_H_
#define HAWTHORNBANK_PROTOCOL_ECHO_TOKEN_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "hawthornbank/request_gate.h"

/// @file
/// Request tokens as values of the Echo option (RFC 9175).
///
/// Layout, big endian: target (8 bytes), incarnation (8), time of issue (8),
/// validity in ms (4), digest (12). The keyed digest covers the other fields
/// and the request's identity. The total of 40 bytes is the maximum length of
/// an Echo option.
namespace hawthornbank {

/// Length of a token key, in bytes.
inline constexpr std::size_t kTokenKeyBytes = 32;
/// Length of an encoded token, in bytes.
inline constexpr std::size_t kEchoTokenBytes = 40;

using TokenKey = std::array<std::uint8_t, kTokenKeyBytes>;

/// Encodes a request token with its digest.
/// @param token The token's fields.
/// @param id The identity of the request for which the token is valid.
/// @param key Key of the digest.
/// @return The value of the Echo option.
auto EncodeEchoToken(const RequestToken& token,
                     std::string_view id,
                     const TokenKey& key) -> std::vector<std::uint8_t>;

/// Decodes a request token and checks its digest.
/// @param bytes The value of the Echo option.
/// @param id The request's identity.
/// @param keys Accepted keys; more than one during a key rotation.
/// @return The token's fields. `is_authentic` is false if no key matches or the
/// length is wrong; a token of wrong length has empty fields.
auto DecodeEchoToken(std::span<const std::uint8_t> bytes,
                     std::string_view id,
                     std::span<const TokenKey> keys) -> RequestToken;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PROTOCOL_ECHO_TOKEN_H_

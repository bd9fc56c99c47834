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
/// Layout, big endian: target 8, incarnation 8, issue instant 8, validity in
/// ms 4, keyed digest over these and the request's identity 12: 40 bytes, the
/// most that Echo holds.
namespace hawthornbank {

/// Bytes of a token key.
inline constexpr std::size_t kTokenKeyBytes = 32;
/// Bytes of an encoded token.
inline constexpr std::size_t kEchoTokenBytes = 40;

using TokenKey = std::array<std::uint8_t, kTokenKeyBytes>;

/// Encodes a token.
/// @param token What it says.
/// @param id The request's identity, which the token is bound to.
/// @param key Key of the digest.
/// @return The value of the Echo option.
auto EncodeEchoToken(const RequestToken& token,
                     std::string_view id,
                     const TokenKey& key) -> std::vector<std::uint8_t>;

/// Decodes a token and checks its digest.
/// @param bytes The value of the Echo option.
/// @param id The request's identity.
/// @param keys Keys that are accepted; more than one during a rotation.
/// @return What it says; `authentic` is false when no key matches.
auto DecodeEchoToken(std::span<const std::uint8_t> bytes,
                     std::string_view id,
                     std::span<const TokenKey> keys) -> RequestToken;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PROTOCOL_ECHO_TOKEN_H_

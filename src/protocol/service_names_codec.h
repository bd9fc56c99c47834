#ifndef HAWTHORNBANK_PROTOCOL_SERVICE_NAMES_CODEC_H_
#define HAWTHORNBANK_PROTOCOL_SERVICE_NAMES_CODEC_H_

#include <cstdint>
#include <string>
#include <unordered_map>

/// @file
/// Encoding of names of services that processes of a fleet send one another for
/// their logs: a compressed cereal archive.
namespace hawthornbank {

/// Names of services by HashName.
using ServiceNamesByHash = std::unordered_map<std::uint32_t, std::string>;

/// Maximum number of names in an encoding, and of bytes in one of them.
inline constexpr std::uint64_t kMaxEncodedNames = 1024;
inline constexpr std::uint64_t kMaxEncodedNameBytes = 64;

/// @param names Names, at most kMaxEncodedNames of kMaxEncodedNameBytes.
/// @return The encoding; any bytes.
/// @throws Error kMalformed when there are more names, or longer ones.
auto EncodeServiceNames(const ServiceNamesByHash& names) -> std::string;

/// @param encoded Output of EncodeServiceNames().
/// @return The names.
/// @throws Error kMalformed when the encoding is incomplete or a number is out
///   of its range; kTooLarge when memory for decompression is missing.
auto DecodeServiceNames(const std::string& encoded) -> ServiceNamesByHash;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_PROTOCOL_SERVICE_NAMES_CODEC_H_

#ifndef HAWTHORNBANK_SRC_PROTOCOL_COMPRESSION_H_
#define HAWTHORNBANK_SRC_PROTOCOL_COMPRESSION_H_

#include <cstddef>
#include <string>

/// @file
/// Compression of texts that travel between processes (zlib, RFC 1950).
namespace hawthornbank {

/// Most bytes of a text that is taken from a peer.
inline constexpr std::size_t kMaxTextBytes = 4UL * 1024 * 1024;

/// @param text Any bytes.
/// @return Their compressed form, the same for the same bytes in one build.
auto Compress(const std::string& text) -> std::string;

/// @param compressed What Compress() gave.
/// @param limit Most bytes of the text.
/// @return The text.
/// @throws Error kMalformed when it isn't a whole compressed text, or is
///   longer than the limit.
auto Decompress(const std::string& compressed,
                std::size_t limit = kMaxTextBytes) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_COMPRESSION_H_

#ifndef HAWTHORNBANK_SRC_PROTOCOL_COMPRESSION_H_
#define HAWTHORNBANK_SRC_PROTOCOL_COMPRESSION_H_

#include <cstddef>
#include <cstdint>
#include <string>

/// @file
/// Compression with zlib (RFC 1950) of texts that processes send each other.
namespace hawthornbank {

/// Default limit of the decompressed size of a text from a peer, in bytes.
inline constexpr std::size_t kMaxDecompressedBytes = 4UL * 1024 * 1024;

/// How much processor time a compression takes.
enum class CompressionEffort : std::uint8_t {
  kSmallest,  ///< The smallest result.
  kFastest,   ///< Larger, in less time.
};

/// Compresses a text.
/// @param text Text to compress; may contain any bytes.
/// @param effort Time or size.
/// @return The zlib stream; equal texts give equal streams within one build.
/// @throws Error kTooLarge when zlib can't allocate its state.
auto CompressText(const std::string& text,
                  CompressionEffort effort = CompressionEffort::kSmallest)
    -> std::string;

/// Decompresses a text.
/// @param compressed Output of CompressText().
/// @param limit Maximum size of the decompressed text, in bytes.
/// @return The decompressed text.
/// @throws Error kMalformed when the input isn't exactly one complete zlib
///   stream or the decompressed text exceeds the limit; kTooLarge when zlib
///   can't allocate its state.
auto DecompressText(const std::string& compressed,
                    std::size_t limit = kMaxDecompressedBytes) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_COMPRESSION_H_

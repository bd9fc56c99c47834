#include "protocol/compression.h"

#include <algorithm>
#include <memory>

#include <zlib.h>

#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

struct InflateStreamDeleter {
  auto operator()(z_stream* stream) const -> void { inflateEnd(stream); }
};

// Casts the data of a text to zlib's byte pointer, which is unsigned and not
// const.
auto CastToZlibBytes(const std::string& text) -> Bytef* {
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

}  // namespace

auto CompressText(const std::string& text, CompressionEffort effort)
    -> std::string {
  uLongf size = compressBound(text.size());
  std::string compressed(size, '\0');
  const auto result = compress2(
      CastToZlibBytes(compressed), &size, CastToZlibBytes(text), text.size(),
      effort == CompressionEffort::kFastest ? Z_BEST_SPEED
                                            : Z_BEST_COMPRESSION);
  if (result != Z_OK) {
    throw Error(ErrorKind::kTooLarge,
                "compressing a text failed: out of memory");
  }
  compressed.resize(size);
  return compressed;
}

auto DecompressText(const std::string& compressed, std::size_t limit)
    -> std::string {
  // The buffer grows in chunks with the output, so that a short forged input
  // can't cause an allocation of `limit` bytes at once.
  constexpr std::size_t kChunkBytes = 64UL * 1024;
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    throw Error(ErrorKind::kTooLarge,
                "decompressing a text failed: out of memory");
  }
  const std::unique_ptr<z_stream, InflateStreamDeleter> deleter(&stream);
  stream.next_in = CastToZlibBytes(compressed);
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string text;
  int result = Z_OK;
  while (result == Z_OK && text.size() < limit) {
    const auto old_size = text.size();
    const auto chunk = std::min(kChunkBytes, limit - old_size);
    text.resize(old_size + chunk);
    stream.next_out = CastToZlibBytes(text) + old_size;
    stream.avail_out = static_cast<uInt>(chunk);
    result = inflate(&stream, Z_NO_FLUSH);
    text.resize(old_size + chunk - stream.avail_out);
  }
  if (result != Z_STREAM_END || stream.avail_in != 0) {
    throw Error(
        ErrorKind::kMalformed,
        "decompressing a text failed: expected one complete zlib stream "
        "within the size limit");
  }
  return text;
}

}  // namespace hawthornbank

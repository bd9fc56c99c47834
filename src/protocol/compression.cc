#include "protocol/compression.h"

#include <algorithm>
#include <memory>

#include <zlib.h>

#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

struct EndInflate {
  auto operator()(z_stream* stream) const -> void { inflateEnd(stream); }
};

// zlib's interface takes bytes as unsigned and doesn't know const.
auto BytesOf(const std::string& text) -> Bytef* {
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

}  // namespace

auto Compress(const std::string& text) -> std::string {
  uLongf size = compressBound(text.size());
  std::string compressed(size, '\0');
  const auto result = compress2(BytesOf(compressed), &size, BytesOf(text),
                                text.size(), Z_BEST_COMPRESSION);
  if (result != Z_OK) {
    throw Error(ErrorKind::kTooLarge, "no memory to compress a text");
  }
  compressed.resize(size);
  return compressed;
}

auto Decompress(const std::string& compressed, std::size_t limit)
    -> std::string {
  // A text grows by steps, so that a forged length costs nothing.
  constexpr std::size_t kStep = 64UL * 1024;
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    throw Error(ErrorKind::kTooLarge, "no memory to decompress a text");
  }
  const std::unique_ptr<z_stream, EndInflate> end(&stream);
  stream.next_in = BytesOf(compressed);
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string text;
  int result = Z_OK;
  while (result == Z_OK && text.size() < limit) {
    const auto before = text.size();
    const auto step = std::min(kStep, limit - before);
    text.resize(before + step);
    stream.next_out = BytesOf(text) + before;
    stream.avail_out = static_cast<uInt>(step);
    result = inflate(&stream, Z_NO_FLUSH);
    text.resize(before + step - stream.avail_out);
  }
  if (result != Z_STREAM_END || stream.avail_in != 0) {
    throw Error(ErrorKind::kMalformed, "not a whole compressed text");
  }
  return text;
}

}  // namespace hawthornbank

#include "protocol/compression.h"

#include <CppUTest/TestHarness.h>

#include "hawthornbank/error.h"

using namespace hawthornbank;

namespace {

auto IsRejectedAsMalformed(const std::string& compressed,
                           std::size_t limit = kMaxDecompressedBytes) -> bool {
  try {
    DecompressText(compressed, limit);
  } catch (const Error& error) {
    return error.kind() == ErrorKind::kMalformed;
  }
  return false;
}

}  // namespace

TEST_GROUP(Compression){};

TEST(Compression, DecompressionRestoresTheText) {
  for (const std::size_t size : {0U, 1U, 1000U, 65536U, 300000U}) {
    std::string text;
    for (std::size_t n = 0; n < size; ++n) {
      text.push_back(static_cast<char>('a' + n * n % 23));
    }
    const auto compressed = CompressText(text);
    CHECK(DecompressText(compressed) == text);
    CHECK(size < 1000 || compressed.size() < size / 4);
  }
}

TEST(Compression, RejectsTruncatedChangedOrExtendedInput) {
  const auto compressed = CompressText(std::string(5000, 'x') + "end");
  for (std::size_t n = 0; n < compressed.size(); ++n) {
    CHECK(IsRejectedAsMalformed(compressed.substr(0, n)));
  }
  auto changed = compressed;
  changed.back() = static_cast<char>(changed.back() ^ 1);
  CHECK(IsRejectedAsMalformed(changed));
  CHECK(IsRejectedAsMalformed(compressed + "x"));
  CHECK(IsRejectedAsMalformed("{\"generation\":1}"));
}

TEST(Compression, RejectsTextLargerThanTheLimit) {
  const auto compressed = CompressText(std::string(100001, 'x'));
  CHECK(IsRejectedAsMalformed(compressed, 100000));
  LONGS_EQUAL(100001, DecompressText(compressed, 100002).size());
}

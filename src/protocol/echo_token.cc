#include "protocol/echo_token.h"

#include <sodium.h>

#include <algorithm>

namespace hawthornbank {
namespace {

constexpr std::size_t kDigestBytes = 12;
constexpr std::size_t kTokenFieldBytes = kEchoTokenBytes - kDigestBytes;
constexpr unsigned kBitsPerByte = 8;

using Digest = std::array<std::uint8_t, crypto_generichash_BYTES_MIN>;
static_assert(kDigestBytes <= crypto_generichash_BYTES_MIN);
static_assert(kTokenKeyBytes <= crypto_generichash_KEYBYTES_MAX);

auto AppendBigEndianInteger(std::vector<std::uint8_t>& bytes,
                            std::uint64_t value,
                            std::size_t size) -> void {
  for (auto n = size; n > 0; --n) {
    bytes.push_back(static_cast<std::uint8_t>(value >> (n - 1) * kBitsPerByte));
  }
}

auto ReadBigEndianInteger(std::span<const std::uint8_t> bytes,
                          std::size_t begin,
                          std::size_t size) -> std::uint64_t {
  std::uint64_t value = 0;
  for (const auto byte : bytes.subspan(begin, size)) {
    value = value << kBitsPerByte | byte;
  }
  return value;
}

auto ComputeTokenDigest(std::span<const std::uint8_t> fields,
                        std::string_view id,
                        const TokenKey& key) -> Digest {
  std::vector<std::uint8_t> input{fields.begin(), fields.end()};
  input.insert(input.end(), id.begin(), id.end());
  Digest digest{};
  crypto_generichash(digest.data(), digest.size(), input.data(), input.size(),
                     key.data(), key.size());
  return digest;
}

}  // namespace

auto EncodeEchoToken(const RequestToken& token,
                     std::string_view id,
                     const TokenKey& key) -> std::vector<std::uint8_t> {
  std::vector<std::uint8_t> bytes;
  AppendBigEndianInteger(bytes, ToInteger(token.target), 8);
  AppendBigEndianInteger(bytes, ToInteger(token.incarnation), 8);
  AppendBigEndianInteger(
      bytes,
      static_cast<std::uint64_t>(token.issued.time_since_epoch().count()), 8);
  AppendBigEndianInteger(bytes,
                         static_cast<std::uint64_t>(token.validity.count()), 4);
  const auto digest = ComputeTokenDigest(bytes, id, key);
  bytes.insert(bytes.end(), digest.begin(), digest.begin() + kDigestBytes);
  return bytes;
}

auto DecodeEchoToken(std::span<const std::uint8_t> bytes,
                     std::string_view id,
                     std::span<const TokenKey> keys) -> RequestToken {
  if (bytes.size() != kEchoTokenBytes) {
    return {};
  }
  const auto fields = bytes.first(kTokenFieldBytes);
  RequestToken token{
      .target = TargetId{ReadBigEndianInteger(fields, 0, 8)},
      .incarnation = Incarnation{ReadBigEndianInteger(fields, 8, 8)},
      .issued = TimePoint{Duration{
          static_cast<Duration::rep>(ReadBigEndianInteger(fields, 16, 8))}},
      .validity =
          std::chrono::milliseconds{ReadBigEndianInteger(fields, 24, 4)}};
  token.is_authentic =
      std::any_of(keys.begin(), keys.end(), [&](const TokenKey& key) {
        const auto digest = ComputeTokenDigest(fields, id, key);
        return sodium_memcmp(digest.data(), bytes.data() + kTokenFieldBytes,
                             kDigestBytes) == 0;
      });
  return token;
}

}  // namespace hawthornbank

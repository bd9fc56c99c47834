#include "protocol/message.h"

#include <sodium.h>

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

// The first 8 bytes of the digest precede the magic number and the version, the
// other 8 bytes follow. The magic number has the same offset as in tunnelled
// packets, so that both kinds of datagrams can arrive at one endpoint.
constexpr std::size_t kMagicOffset = 8;
constexpr std::uint8_t kMagic = 0x43;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kDigestBytes = 16;
constexpr std::size_t kHeaderBytes = kDigestBytes + 2;
constexpr std::size_t kBodyOffset = kHeaderBytes;

using DigestBytes = std::array<std::uint8_t, kDigestBytes>;

static_assert(kDigestBytes >= crypto_generichash_BYTES_MIN);
static_assert(sizeof(ControlKey) == crypto_generichash_KEYBYTES);

auto ComputeDigest(ByteView body, const ControlKey& key) -> DigestBytes {
  DigestBytes digest{};
  crypto_generichash(digest.data(), digest.size(), body.data(), body.size(),
                     key.data(), key.size());
  return digest;
}

auto ExtractDigest(ByteView datagram) -> DigestBytes {
  DigestBytes digest{};
  const auto* const it = datagram.data();
  std::copy_n(it, kMagicOffset, digest.begin());
  std::copy_n(it + kMagicOffset + 2, kDigestBytes - kMagicOffset,
              digest.begin() + kMagicOffset);
  return digest;
}

auto HasValidDigest(ByteView datagram, const ControlKey& key) -> bool {
  const auto expected = ComputeDigest(datagram.subspan(kBodyOffset), key);
  const auto found = ExtractDigest(datagram);
  return sodium_memcmp(expected.data(), found.data(), kDigestBytes) == 0;
}

auto ParseHexadecimalKey(const std::string& text) -> ControlKey {
  ControlKey key{};
  std::size_t size = 0;
  const char* end = nullptr;
  const bool parsed = sodium_hex2bin(key.data(), key.size(), text.data(),
                                     text.size(), nullptr, &size, &end) == 0;
  if (!parsed || size != key.size() || end != text.data() + text.size()) {
    throw Error(ErrorKind::kInvalidSettings,
                "parsing a key failed: expected 64 hexadecimal digits");
  }
  return key;
}

auto DeriveTunnelKey(const ControlKey& key) -> TunnelKey {
  static constexpr std::string_view kDerivationContext = "hawthornbank tunnel";
  TunnelKey derived{};
  crypto_generichash(
      derived.data(), derived.size(),
      reinterpret_cast<const std::uint8_t*>(kDerivationContext.data()),
      kDerivationContext.size(), key.data(), key.size());
  return derived;
}

}  // namespace

auto DeriveKeyRing(const std::string& current, const std::string& previous)
    -> KeyRing {
  KeyRing keys{.control = ParseHexadecimalKey(current)};
  keys.tunnel = DeriveTunnelKey(keys.control);
  if (!previous.empty()) {
    keys.previous_control = ParseHexadecimalKey(previous);
    keys.previous_tunnel = DeriveTunnelKey(*keys.previous_control);
  }
  return keys;
}

auto HasControlMessageMagic(ByteView datagram) -> bool {
  return datagram.size() > kBodyOffset && datagram[kMagicOffset] == kMagic;
}

auto EncodeMessage(const Message& message, const KeyRing& keys) -> Bytes {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
  }
  const std::string body = stream.str();
  Bytes datagram(kBodyOffset + body.size());
  std::copy(body.begin(), body.end(), datagram.begin() + kBodyOffset);
  return WriteMessageHeaderAndDigest(std::move(datagram), keys);
}

auto WriteMessageHeaderAndDigest(Bytes datagram, const KeyRing& keys) -> Bytes {
  datagram.resize(std::max(datagram.size(), kBodyOffset));
  const auto digest =
      ComputeDigest(ByteView(datagram).subspan(kBodyOffset), keys.control);
  std::copy_n(digest.begin(), kMagicOffset, datagram.begin());
  datagram[kMagicOffset] = kMagic;
  datagram[kMagicOffset + 1] = kVersion;
  std::copy(digest.begin() + kMagicOffset, digest.end(),
            datagram.begin() + kMagicOffset + 2);
  return datagram;
}

auto DecodeMessage(ByteView datagram, const KeyRing& keys) -> Message {
  if (!HasControlMessageMagic(datagram) ||
      datagram[kMagicOffset + 1] != kVersion) {
    throw Error(ErrorKind::kMalformed,
                "decoding a control message failed: too short, or wrong magic "
                "number or version");
  }
  const bool has_valid_digest =
      HasValidDigest(datagram, keys.control) ||
      (keys.previous_control &&
       HasValidDigest(datagram, *keys.previous_control));
  if (!has_valid_digest) {
    throw Error(
        ErrorKind::kUnauthenticated,
        "verifying a control message failed: its digest matches neither "
        "the current nor the previous key");
  }
  const ByteView body = datagram.subspan(kBodyOffset);
  try {
    std::istringstream stream(std::string(body.begin(), body.end()));
    cereal::PortableBinaryInputArchive archive(stream);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception& error) {
    throw Error(ErrorKind::kMalformed, error.what());
  }
}

}  // namespace hawthornbank

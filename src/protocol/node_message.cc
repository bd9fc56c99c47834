#include "protocol/node_message.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/variant.hpp>
#include <exception>
#include <istream>
#include <ostream>
#include <streambuf>

namespace hawthornbank {
namespace {

constexpr std::uint8_t kMagic = 0x4E;
constexpr std::size_t kInitialCapacityBytes = 96;

// Stream buffer that appends to a byte vector. With a string stream, the bytes
// would have to be copied into the vector afterwards.
class VectorOutputBuffer : public std::streambuf {
 public:
  explicit VectorOutputBuffer(Bytes& bytes) : bytes_(bytes) {}

 protected:
  auto xsputn(const char* text, std::streamsize count)
      -> std::streamsize override {
    bytes_.insert(bytes_.end(), text, text + count);
    return count;
  }

  auto overflow(int_type byte) -> int_type override {
    bytes_.push_back(static_cast<std::uint8_t>(byte));
    return byte;
  }

 private:
  Bytes& bytes_;
};

// Stream buffer that reads a datagram in place.
class ViewInputBuffer : public std::streambuf {
 public:
  explicit ViewInputBuffer(ByteView bytes) {
    auto* const start =
        reinterpret_cast<char*>(const_cast<std::uint8_t*>(bytes.data()));
    setg(start, start, start + bytes.size());
  }
};

}  // namespace

auto EncodeNodeMessage(const NodeMessage& message) -> Bytes {
  Bytes datagram;
  datagram.reserve(kInitialCapacityBytes);
  datagram.push_back(kMagic);
  VectorOutputBuffer buf(datagram);
  std::ostream stream(&buf);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  const auto* const announcement = std::get_if<HostAnnouncement>(&message);
  if (announcement != nullptr && announcement->uptime_ms.has_value()) {
    wire::SerializeVarint(archive, *announcement->uptime_ms);
  }
  return datagram;
}

auto DecodeNodeMessage(ByteView datagram) -> std::optional<NodeMessage> {
  if (datagram.empty() || datagram[0] != kMagic) {
    return std::nullopt;
  }
  try {
    ViewInputBuffer buf(datagram.subspan(1));
    std::istream stream(&buf);
    cereal::PortableBinaryInputArchive archive(stream);
    NodeMessage message;
    archive(message);
    auto* const announcement = std::get_if<HostAnnouncement>(&message);
    if (announcement != nullptr && buf.in_avail() > 0) {
      wire::SerializeVarint(archive, announcement->uptime_ms.emplace());
    }
    return message;
  } catch (const std::exception&) {
    return std::nullopt;  // NodeHost handles the datagram as a relayed packet.
  }
}

}  // namespace hawthornbank

#include "protocol/service_names_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <utility>

#include "hawthornbank/error.h"
#include "hawthornbank/wire.h"
#include "protocol/compression.h"

namespace hawthornbank {

auto EncodeServiceNames(const ServiceNamesByHash& names) -> std::string {
  std::ostringstream text;
  {
    cereal::PortableBinaryOutputArchive archive(text);
    std::uint64_t count = names.size();
    wire::SerializeLength(archive, count, kMaxEncodedNames);
    for (const auto& [service, name] : names) {
      std::string written_name = name;
      archive(service);
      wire::SerializeString(archive, written_name, kMaxEncodedNameBytes);
    }
  }
  return CompressText(text.str(), CompressionEffort::kFastest);
}

auto DecodeServiceNames(const std::string& encoded) -> ServiceNamesByHash {
  try {
    ServiceNamesByHash names;
    std::istringstream stream(DecompressText(encoded));
    cereal::PortableBinaryInputArchive archive(stream);
    std::uint64_t count = 0;
    wire::SerializeLength(archive, count, kMaxEncodedNames);
    for (std::uint64_t n = 0; n < count; ++n) {
      std::uint32_t service = 0;
      std::string name;
      archive(service);
      wire::SerializeString(archive, name, kMaxEncodedNameBytes);
      names.emplace(service, std::move(name));
    }
    return names;
  } catch (const cereal::Exception& error) {
    throw Error(ErrorKind::kMalformed,
                std::string("names of services of a peer: ") + error.what());
  }
}

}  // namespace hawthornbank

#ifndef HAWTHORNBANK_WIRE_H_
#define HAWTHORNBANK_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/error.h"

/// @file
/// Compact forms of integers, short texts and lists for cereal archives.
namespace hawthornbank::wire {

/// Most elements of a list in one message.
inline constexpr std::uint64_t kMaxListLength = 4096;
/// Most bytes of a text.
inline constexpr std::uint64_t kMaxTextLength = 255;

/// Serialises an integer or enumeration in as few bytes as it needs (LEB128).
/// @param archive A cereal binary archive.
/// @param value Unsigned value.
/// @throws Error kMalformed when a loaded value doesn't end.
template <class Archive, class Value>
auto Varint(Archive& archive, Value& value) -> void {
  constexpr unsigned kBits = 7;
  constexpr unsigned kMore = 0x80;
  if constexpr (Archive::is_saving::value) {
    auto rest = static_cast<std::uint64_t>(value);
    while (rest >= kMore) {
      archive(static_cast<std::uint8_t>(rest | kMore));
      rest >>= kBits;
    }
    archive(static_cast<std::uint8_t>(rest));
  } else {
    std::uint64_t sum = 0;
    for (unsigned shift = 0;; shift += kBits) {
      std::uint8_t byte = 0;
      archive(byte);
      if (shift >= 64) {
        throw Error(ErrorKind::kMalformed, "integer of more than 64 bits");
      }
      sum |= std::uint64_t{byte & (kMore - 1)} << shift;
      if ((byte & kMore) == 0) {
        break;
      }
    }
    value = static_cast<Value>(sum);
  }
}

/// @param value Unsigned value.
/// @return Bytes that Varint() takes for it.
constexpr auto VarintSize(std::uint64_t value) -> std::size_t {
  std::size_t size = 1;
  while (value >= 0x80) {
    value >>= 7U;
    ++size;
  }
  return size;
}

/// Serialises a flag as one byte.
/// @param archive A cereal binary archive.
/// @param value The flag.
/// @throws Error kMalformed when a loaded byte is neither 0 nor 1.
template <class Archive>
auto Flag(Archive& archive, bool& value) -> void {
  auto byte = static_cast<std::uint8_t>(value ? 1 : 0);
  archive(byte);
  if (byte > 1) {
    throw Error(ErrorKind::kMalformed, "flag that is neither 0 nor 1");
  }
  value = byte == 1;
}

/// Refuses a loaded enumeration that isn't one of its values.
/// @param value The value.
/// @param last The enumeration's last value.
/// @throws Error kMalformed when it is larger.
template <class Value>
auto CheckRange(Value value, Value last) -> void {
  if (value > last) {
    throw Error(ErrorKind::kMalformed, "value out of its range");
  }
}

/// Serialises a length and checks it.
/// @param archive A cereal binary archive.
/// @param size The length; set when loading.
/// @param limit The most allowed.
/// @throws Error kMalformed when it is over the limit.
template <class Archive>
auto Length(Archive& archive, std::uint64_t& size, std::uint64_t limit)
    -> void {
  Varint(archive, size);
  if (size > limit) {
    throw Error(ErrorKind::kMalformed, "length over the limit");
  }
}

/// Serialises a text of at most kMaxTextLength bytes.
/// @param archive A cereal binary archive.
/// @param text The text.
/// @param limit The most bytes allowed.
/// @throws Error kMalformed when it is longer.
template <class Archive>
auto Text(Archive& archive,
          std::string& text,
          std::uint64_t limit = kMaxTextLength) -> void {
  std::uint64_t size = text.size();
  Length(archive, size, limit);
  text.resize(size);
  for (auto& it : text) {
    archive(it);
  }
}

/// Serialises a list of at most kMaxListLength elements.
/// @param archive A cereal binary archive.
/// @param list The list.
/// @throws Error kMalformed when it is longer.
template <class Archive, class Element>
auto List(Archive& archive, std::vector<Element>& list) -> void {
  std::uint64_t size = list.size();
  Length(archive, size, kMaxListLength);
  list.resize(size);
  for (auto& it : list) {
    archive(it);
  }
}

}  // namespace hawthornbank::wire

#endif  // HAWTHORNBANK_WIRE_H_

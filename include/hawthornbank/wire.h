#ifndef HAWTHORNBANK_WIRE_H_
#define HAWTHORNBANK_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/error.h"

/// @file
/// Compact encodings of integers, short strings and lists for cereal archives.
namespace hawthornbank::wire {

/// Maximum number of elements of a list in a message.
inline constexpr std::uint64_t kMaxListLength = 4096;
/// Maximum length of a string in a message, in bytes.
inline constexpr std::uint64_t kMaxStringLength = 255;

/// Serialises an integer or enumerator as a variable-length integer (LEB128).
/// @param archive A cereal binary archive.
/// @param value Unsigned value; set when loading.
/// @throws Error kMalformed when a loaded integer is encoded in more than 10
///   bytes (64 bits).
template <class Archive, class Value>
auto SerializeVarint(Archive& archive, Value& value) -> void {
  constexpr unsigned kPayloadBits = 7;
  constexpr unsigned kContinuationBit = 0x80;
  if constexpr (Archive::is_saving::value) {
    auto remaining = static_cast<std::uint64_t>(value);
    while (remaining >= kContinuationBit) {
      archive(static_cast<std::uint8_t>(remaining | kContinuationBit));
      remaining >>= kPayloadBits;
    }
    archive(static_cast<std::uint8_t>(remaining));
  } else {
    std::uint64_t result = 0;
    for (unsigned shift = 0;; shift += kPayloadBits) {
      std::uint8_t byte = 0;
      archive(byte);
      if (shift >= 64) {
        throw Error(ErrorKind::kMalformed, "integer of more than 64 bits");
      }
      result |= std::uint64_t{byte & (kContinuationBit - 1)} << shift;
      if ((byte & kContinuationBit) == 0) {
        break;
      }
    }
    value = static_cast<Value>(result);
  }
}

/// Computes the size of an integer as SerializeVarint() encodes it.
/// @param value Unsigned value.
/// @return Size in bytes.
constexpr auto ComputeVarintSize(std::uint64_t value) -> std::size_t {
  std::size_t size = 1;
  while (value >= 0x80) {
    value >>= 7U;
    ++size;
  }
  return size;
}

/// Serialises a boolean as one byte.
/// @param archive A cereal binary archive.
/// @param value The boolean; set when loading.
/// @throws Error kMalformed when a loaded byte is neither 0 nor 1.
template <class Archive>
auto SerializeBool(Archive& archive, bool& value) -> void {
  auto byte = static_cast<std::uint8_t>(value ? 1 : 0);
  archive(byte);
  if (byte > 1) {
    throw Error(ErrorKind::kMalformed, "flag that is neither 0 nor 1");
  }
  value = byte == 1;
}

/// Serialises a boolean as one byte. Any loaded byte but 0 counts as true.
/// @param archive A cereal binary archive.
/// @param value The boolean; set when loading.
template <class Archive>
auto SerializeFlag(Archive& archive, bool& value) -> void {
  auto byte = static_cast<std::uint8_t>(value ? 1 : 0);
  archive(byte);
  value = byte != 0;
}

/// Checks that a loaded enumerator is within the range of its enumeration.
/// @param value The loaded enumerator.
/// @param last The last enumerator of the enumeration.
/// @throws Error kMalformed when `value` is larger than `last`.
template <class Value>
auto CheckEnumRange(Value value, Value last) -> void {
  if (value > last) {
    throw Error(ErrorKind::kMalformed, "value out of its range");
  }
}

/// Serialises a length and checks it against a limit.
/// @param archive A cereal binary archive.
/// @param size The length; set when loading.
/// @param limit Maximum length.
/// @throws Error kMalformed when the length is over the limit.
template <class Archive>
auto SerializeLength(Archive& archive, std::uint64_t& size, std::uint64_t limit)
    -> void {
  SerializeVarint(archive, size);
  if (size > limit) {
    throw Error(ErrorKind::kMalformed, "length over the limit");
  }
}

/// Serialises a string of at most `limit` bytes.
/// @param archive A cereal binary archive.
/// @param text The string; set when loading.
/// @param limit Maximum length in bytes.
/// @throws Error kMalformed when the string is longer.
template <class Archive>
auto SerializeString(Archive& archive,
                     std::string& text,
                     std::uint64_t limit = kMaxStringLength) -> void {
  std::uint64_t size = text.size();
  SerializeLength(archive, size, limit);
  text.resize(size);
  for (auto& it : text) {
    archive(it);
  }
}

/// Serialises a list of at most kMaxListLength elements.
/// @param archive A cereal binary archive.
/// @param list The list; set when loading.
/// @throws Error kMalformed when the list is longer.
template <class Archive, class Element>
auto SerializeList(Archive& archive, std::vector<Element>& list) -> void {
  std::uint64_t size = list.size();
  SerializeLength(archive, size, kMaxListLength);
  list.resize(size);
  for (auto& it : list) {
    archive(it);
  }
}

}  // namespace hawthornbank::wire

#endif  // HAWTHORNBANK_WIRE_H_

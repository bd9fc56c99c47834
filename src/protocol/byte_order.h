#ifndef HAWTHORNBANK_SRC_PROTOCOL_BYTE_ORDER_H_
#define HAWTHORNBANK_SRC_PROTOCOL_BYTE_ORDER_H_

#include <cstddef>
#include <cstdint>

/// @file
/// Loads and stores of big-endian integers at unaligned addresses.
namespace hawthornbank::detail {

inline auto LoadBigEndian16(const std::uint8_t* bytes) -> std::uint16_t {
  return static_cast<std::uint16_t>((bytes[0] << 8U) | bytes[1]);
}

inline auto LoadBigEndian32(const std::uint8_t* bytes) -> std::uint32_t {
  return (std::uint32_t{LoadBigEndian16(bytes)} << 16U) |
         LoadBigEndian16(bytes + 2);
}

inline auto LoadBigEndian64(const std::uint8_t* bytes) -> std::uint64_t {
  return (std::uint64_t{LoadBigEndian32(bytes)} << 32U) |
         LoadBigEndian32(bytes + 4);
}

inline auto StoreBigEndian16(std::uint8_t* bytes, std::uint16_t value) -> void {
  bytes[0] = static_cast<std::uint8_t>(value >> 8U);
  bytes[1] = static_cast<std::uint8_t>(value);
}

inline auto StoreBigEndian32(std::uint8_t* bytes, std::uint32_t value) -> void {
  StoreBigEndian16(bytes, static_cast<std::uint16_t>(value >> 16U));
  StoreBigEndian16(bytes + 2, static_cast<std::uint16_t>(value));
}

inline auto StoreBigEndian64(std::uint8_t* bytes, std::uint64_t value) -> void {
  StoreBigEndian32(bytes, static_cast<std::uint32_t>(value >> 32U));
  StoreBigEndian32(bytes + 4, static_cast<std::uint32_t>(value));
}

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_PROTOCOL_BYTE_ORDER_H_

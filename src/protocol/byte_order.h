#ifndef HAWTHORNBANK_SRC_PROTOCOL_BYTE_ORDER_H_
#define HAWTHORNBANK_SRC_PROTOCOL_BYTE_ORDER_H_

#include <cstddef>
#include <cstdint>

/// @file
/// Loads and stores of big-endian integers at unaligned addresses.
namespace hawthornbank::detail {

inline auto Load16(const std::uint8_t* bytes) -> std::uint16_t {
  return static_cast<std::uint16_t>((bytes[0] << 8U) | bytes[1]);
}

inline auto Load32(const std::uint8_t* bytes) -> std::uint32_t {
  return (std::uint32_t{Load16(bytes)} << 16U) | Load16(bytes + 2);
}

inline auto Load64(const std::uint8_t* bytes) -> std::uint64_t {
  return (std::uint64_t{Load32(bytes)} << 32U) | Load32(bytes + 4);
}

inline auto Store16(std::uint8_t* bytes, std::uint16_t value) -> void {
  bytes[0] = static_cast<std::uint8_t>(value >> 8U);
  bytes[1] = static_cast<std::uint8_t>(value);
}

inline auto Store32(std::uint8_t* bytes, std::uint32_t value) -> void {
  Store16(bytes, static_cast<std::uint16_t>(value >> 16U));
  Store16(bytes + 2, static_cast<std::uint16_t>(value));
}

inline auto Store64(std::uint8_t* bytes, std::uint64_t value) -> void {
  Store32(bytes, static_cast<std::uint32_t>(value >> 32U));
  Store32(bytes + 4, static_cast<std::uint32_t>(value));
}

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_PROTOCOL_BYTE_ORDER_H_

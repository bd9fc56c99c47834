#ifndef HAWTHORNBANK_SRC_PROTOCOL_BYTE_ORDER_H_
#define HAWTHORNBANK_SRC_PROTOCOL_BYTE_ORDER_H_

#include <cstddef>
#include <cstdint>

/// @file
/// Network byte order at any alignment.
namespace hawthornbank::detail {

inline auto Load16(const std::uint8_t* it) -> std::uint16_t {
  return static_cast<std::uint16_t>((it[0] << 8U) | it[1]);
}

inline auto Load32(const std::uint8_t* it) -> std::uint32_t {
  return (std::uint32_t{Load16(it)} << 16U) | Load16(it + 2);
}

inline auto Load64(const std::uint8_t* it) -> std::uint64_t {
  return (std::uint64_t{Load32(it)} << 32U) | Load32(it + 4);
}

inline auto Store16(std::uint8_t* it, std::uint16_t value) -> void {
  it[0] = static_cast<std::uint8_t>(value >> 8U);
  it[1] = static_cast<std::uint8_t>(value);
}

inline auto Store32(std::uint8_t* it, std::uint32_t value) -> void {
  Store16(it, static_cast<std::uint16_t>(value >> 16U));
  Store16(it + 2, static_cast<std::uint16_t>(value));
}

inline auto Store64(std::uint8_t* it, std::uint64_t value) -> void {
  Store32(it, static_cast<std::uint32_t>(value >> 32U));
  Store32(it + 4, static_cast<std::uint32_t>(value));
}

}  // namespace hawthornbank::detail

#endif  // HAWTHORNBANK_SRC_PROTOCOL_BYTE_ORDER_H_

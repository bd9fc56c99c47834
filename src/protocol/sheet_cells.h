#ifndef HAWTHORNBANK_SRC_PROTOCOL_SHEET_CELLS_H_
#define HAWTHORNBANK_SRC_PROTOCOL_SHEET_CELLS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Readers of single cells of a sheet. Each throws Error kInvalidSettings
/// with the reason alone; the caller adds the place.
namespace hawthornbank {

/// Limits of a whole number, both allowed.
struct CellRange {
  std::uint32_t min = 0;
  std::uint32_t max = 0;
};

/// Reads a whole number.
/// @param cell Decimal digits.
/// @param range The limits.
/// @return The number.
/// @throws Error kInvalidSettings when it is no number or out of range.
auto ReadCountCell(const std::string& cell, const CellRange& range)
    -> std::uint32_t;

/// Reads requests per second, with a decimal point or comma.
/// @param cell The number.
/// @param separator Separator of the sheet; ';' says that commas are decimal.
/// @return The number, not negative.
/// @throws Error kInvalidSettings when it is no number, or when its mark may
///         stand for decimals as well as for thousands.
auto ReadRateCell(const std::string& cell, char separator) -> double;

/// Reads "udp" or "tcp".
/// @param cell The word, in any case.
/// @return The transport protocol.
/// @throws Error kInvalidSettings for any other word.
auto ReadTransportCell(const std::string& cell) -> Transport;

/// Reads the address where callers reach a service.
/// @param cell "a.b.c.d:port".
/// @return The endpoint.
/// @throws Error kInvalidSettings when it has no address or no port.
auto ReadAddressCell(const std::string& cell) -> Endpoint;

/// Reads a list of zones.
/// @param cell Names between commas, semicolons or blanks.
/// @return The zones, at least one.
/// @throws Error kInvalidSettings when there is none, or one stands twice.
auto ReadZonesCell(const std::string& cell) -> std::vector<std::string>;

/// Reads "yes" or "no".
/// @param cell The word, in any case.
/// @return Whether it is "yes".
/// @throws Error kInvalidSettings for any other word.
auto ReadYesCell(const std::string& cell) -> bool;

/// Reads the day of a row.
/// @param cell "daily", empty, or a date as "2026-12-24".
/// @return "daily" or the date.
/// @throws Error kInvalidSettings when there is no such day.
auto ReadDayCell(const std::string& cell) -> std::string;

/// Reads the header of a demand column.
/// @param cell A time of day, "7:30", "07:30" or "07:30:00".
/// @return Minutes since midnight, or nothing when it is no time of day.
auto ReadTimeHeader(const std::string& cell)
    -> std::optional<std::chrono::minutes>;

/// Checks that a text is UTF-8 without NUL characters.
/// @param text Any bytes.
/// @return Whether it is.
auto IsUtf8(const std::string& text) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_SHEET_CELLS_H_

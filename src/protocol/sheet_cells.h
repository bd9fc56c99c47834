#ifndef HAWTHORNBANK_SRC_PROTOCOL_SHEET_CELLS_H_
#define HAWTHORNBANK_SRC_PROTOCOL_SHEET_CELLS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Parsers of single cells of a sheet. Error messages state only the reason;
/// the caller adds row and column.
namespace hawthornbank {

/// Smallest and largest allowed value of a whole number.
struct IntegerRange {
  std::uint32_t min = 0;
  std::uint32_t max = 0;
};

/// Reads a whole number.
/// @param cell Decimal digits.
/// @param range Allowed values.
/// @return The number.
/// @throws Error kInvalidSettings when the cell is not a whole number or out of
///         range.
auto ReadIntegerCell(const std::string& cell, const IntegerRange& range)
    -> std::uint32_t;

/// Reads requests per second, with a decimal point or comma.
/// @param cell The number.
/// @param separator Column separator of the sheet; ';' means that the comma is
///        the decimal mark.
/// @return Requests per second, from 0 to 1e9.
/// @throws Error kInvalidSettings when the cell is not a number or out of
///         range, or when a '.' or ',' may mark either decimals or
///         thousands.
auto ReadRateCell(const std::string& cell, char separator) -> double;

/// Reads "udp" or "tcp".
/// @param cell "udp" or "tcp", upper or lower case.
/// @return The transport protocol.
/// @throws Error kInvalidSettings for any other word.
auto ReadTransportCell(const std::string& cell) -> Transport;

/// Reads the address and port on which callers reach a service.
/// @param cell "a.b.c.d:port".
/// @return The endpoint.
/// @throws Error kInvalidSettings when the address or the port is missing,
///         invalid or 0.
auto ReadAddressCell(const std::string& cell) -> Endpoint;

/// Reads a list of zones.
/// @param cell Zone names separated by commas, semicolons or white space.
/// @return The zones, at least one.
/// @throws Error kInvalidSettings when the list is empty, or a zone is listed
///         twice or is not a valid name.
auto ReadZonesCell(const std::string& cell) -> std::vector<std::string>;

/// Reads "yes" or "no".
/// @param cell "yes" or "no", upper or lower case.
/// @return Whether the cell says "yes".
/// @throws Error kInvalidSettings for any other word.
auto ReadYesNoCell(const std::string& cell) -> bool;

/// Reads the day of a row.
/// @param cell "daily", empty, or a date such as "2026-12-24".
/// @return "daily" or the date.
/// @throws Error kInvalidSettings when the cell is neither "daily" nor an
///         existing date.
auto ReadDayCell(const std::string& cell) -> std::string;

/// Reads the header of a demand column.
/// @param cell A time of day, "7:30", "07:30" or "07:30:00".
/// @return Minutes since midnight, or nothing when the cell is not a time of
///         day.
auto ReadTimeOfDayHeader(const std::string& cell)
    -> std::optional<std::chrono::minutes>;

/// Checks that a text is valid UTF-8 without NUL characters.
/// @param text Bytes to check.
/// @return Whether the text is valid.
auto IsUtf8WithoutNul(const std::string& text) -> bool;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_SHEET_CELLS_H_

#ifndef HAWTHORNBANK_SRC_TRANSPORT_SETTINGS_VALUES_H_
#define HAWTHORNBANK_SRC_TRANSPORT_SETTINGS_VALUES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Parsers of single setting values. Each throws Error kInvalidSettings with
/// the reason only; the calling code adds the file, line and key.
namespace hawthornbank::transport {

/// Limits of a number, and the name of its unit, which may be empty.
struct NumberLimits {
  std::uint32_t min = 0;
  std::uint32_t max = 0;
  std::string unit;
};

/// Reads a whole number.
/// @param text Decimal digits without a unit.
/// @param range The limits, both inclusive.
/// @return The number.
/// @throws Error kInvalidSettings when the text is no number or out of range.
auto ReadWholeNumber(const std::string& text, const NumberLimits& range)
    -> std::uint32_t;

/// Reads a word and checks that it is one of the allowed words.
/// @param text The word.
/// @param choices The allowed words.
/// @return The word.
/// @throws Error kInvalidSettings for any other word.
auto ReadAllowedWord(const std::string& text,
                     const std::vector<std::string>& choices) -> std::string;

/// Reads the address of another process.
/// @param text "a.b.c.d:port".
/// @return The endpoint.
/// @throws Error kInvalidSettings when the text isn't an endpoint, or its
///         address or port is 0.
auto ReadRemoteEndpoint(const std::string& text) -> Endpoint;

/// Reads a list of addresses of other processes.
/// @param text Endpoints separated by commas.
/// @return The endpoints, at least one.
/// @throws Error kInvalidSettings when the list is empty, or an endpoint is
///         invalid or listed twice.
auto ReadRemoteEndpointList(const std::string& text) -> std::vector<Endpoint>;

/// Reads the key that authenticates messages between processes.
/// @param text 64 hexadecimal digits.
/// @return The digits in lower case.
/// @throws Error kInvalidSettings; the message doesn't contain the key.
auto ReadHexKey(const std::string& text) -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_SETTINGS_VALUES_H_

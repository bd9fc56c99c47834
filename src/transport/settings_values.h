#ifndef HAWTHORNBANK_SRC_TRANSPORT_SETTINGS_VALUES_H_
#define HAWTHORNBANK_SRC_TRANSPORT_SETTINGS_VALUES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hawthornbank/types.h"

/// @file
/// Readers of single setting values. Each throws Error kInvalidSettings with
/// the reason alone; the caller adds the place.
namespace hawthornbank::transport {

/// Limits of a number, and its unit when it has one.
struct NumberRange {
  std::uint32_t min = 0;
  std::uint32_t max = 0;
  std::string unit;
};

/// Reads a whole number.
/// @param text Decimal digits without a unit.
/// @param range The limits, both allowed.
/// @return The number.
/// @throws Error kInvalidSettings when it is no number or out of range.
auto ReadNumber(const std::string& text, const NumberRange& range)
    -> std::uint32_t;

/// Reads one of a few words.
/// @param text What was written.
/// @param choices The words allowed.
/// @return The word.
/// @throws Error kInvalidSettings for any other word.
auto ReadChoice(const std::string& text,
                const std::vector<std::string>& choices) -> std::string;

/// Reads the address of another process.
/// @param text "a.b.c.d:port".
/// @return The endpoint.
/// @throws Error kInvalidSettings when it has no address or no port.
auto ReadRemote(const std::string& text) -> Endpoint;

/// Reads a list of addresses of other processes.
/// @param text Endpoints between commas.
/// @return The endpoints, at least one.
/// @throws Error kInvalidSettings when one is wrong or stands twice.
auto ReadEndpoints(const std::string& text) -> std::vector<Endpoint>;

/// Reads a key for messages between processes.
/// @param text 64 hexadecimal digits.
/// @return The digits in lower case.
/// @throws Error kInvalidSettings; the message doesn't hold the key.
auto ReadKey(const std::string& text) -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_SETTINGS_VALUES_H_

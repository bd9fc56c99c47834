#ifndef HAWTHORNBANK_SRC_PROTOCOL_LOG_TEXT_H_
#define HAWTHORNBANK_SRC_PROTOCOL_LOG_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

/// @file
/// Texts of other writers in log lines.
namespace hawthornbank {

/// Maximum length of a name of another writer in a log line, in bytes.
inline constexpr std::size_t kMaxLoggedName = 64;

/// Makes a text printable on one log line.
/// @param text Any bytes.
/// @param max_bytes Maximum length of the result.
/// @return The text, with a '?' for each byte that isn't printable ASCII or is
/// a
///   quotation mark.
auto FormatForLog(std::string_view text, std::size_t max_bytes) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_LOG_TEXT_H_

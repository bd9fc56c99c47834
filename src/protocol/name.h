#ifndef HAWTHORNBANK_SRC_PROTOCOL_NAME_H_
#define HAWTHORNBANK_SRC_PROTOCOL_NAME_H_

#include <string>

/// @file
/// The form of names that operators give.
namespace hawthornbank {

/// Reads the name of a host, zone, region, service or target.
/// @param text Letters, digits, '.', '-' and '_'; at most 63.
/// @return The name.
/// @throws Error kInvalidSettings with the reason when it is not such a name.
auto ReadName(const std::string& text) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_NAME_H_

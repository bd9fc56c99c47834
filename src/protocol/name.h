#ifndef HAWTHORNBANK_SRC_PROTOCOL_NAME_H_
#define HAWTHORNBANK_SRC_PROTOCOL_NAME_H_

#include <string>

/// @file
/// Validation of names that operators assign.
namespace hawthornbank {

/// Validates the name of a host, zone, region, service or target.
/// @param text Letters, digits, '.', '-' and '_'; at most 63 characters.
/// @return The unchanged name.
/// @throws Error kInvalidSettings with the reason when the name is empty, too
///         long or has any other character.
auto ValidateName(const std::string& text) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_NAME_H_

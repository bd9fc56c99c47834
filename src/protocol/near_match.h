#ifndef HAWTHORNBANK_SRC_PROTOCOL_NEAR_MATCH_H_
#define HAWTHORNBANK_SRC_PROTOCOL_NEAR_MATCH_H_

#include <string>
#include <string_view>
#include <vector>

/// @file
/// Suggests the known name that a mistyped one probably means.
namespace hawthornbank {

/// Finds the known name with the smallest edit distance.
/// @param name What was written.
/// @param known The names that would have been right.
/// @return The nearest name, or "" when none is near.
auto NearMatch(std::string_view name, const std::vector<std::string>& known)
    -> std::string;

/// Words a suggestion for the end of an error message.
/// @param name What was written.
/// @param known The names that would have been right.
/// @return "; did you mean 'x'?", or "" when no known name is near.
auto Suggestion(std::string_view name, const std::vector<std::string>& known)
    -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_NEAR_MATCH_H_

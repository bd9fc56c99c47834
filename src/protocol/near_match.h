#ifndef HAWTHORNBANK_SRC_PROTOCOL_NEAR_MATCH_H_
#define HAWTHORNBANK_SRC_PROTOCOL_NEAR_MATCH_H_

#include <string>
#include <string_view>
#include <vector>

/// @file
/// Suggestions for mistyped names.
namespace hawthornbank {

/// Finds the valid name with the smallest edit distance to the typed name, at
/// most one edit plus one for every three typed characters. If there is none,
/// finds the first valid name that starts with the typed name, from three typed
/// characters on.
/// @param name Name that the user typed.
/// @param known Valid names.
/// @return The valid name found, or "" when none is similar.
auto FindNearestName(std::string_view name,
                     const std::vector<std::string>& known) -> std::string;

/// Formats a suggestion to append to an error message.
/// @param name Name that the user typed.
/// @param known Valid names.
/// @return "; did you mean 'x'?", or "" when no valid name is similar.
auto FormatSuggestion(std::string_view name,
                      const std::vector<std::string>& known) -> std::string;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_NEAR_MATCH_H_

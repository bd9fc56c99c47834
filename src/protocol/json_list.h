#ifndef HAWTHORNBANK_SRC_PROTOCOL_JSON_LIST_H_
#define HAWTHORNBANK_SRC_PROTOCOL_JSON_LIST_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/log_text.h"

/// @file
/// Reads lists whose entries may come from other writers. Each entry is parsed
/// by itself, so that an entry that can't be used costs only itself: one with a
/// number out of range, invalid UTF-8 or nesting so deep that handling it would
/// exhaust the stack.
namespace hawthornbank {

/// Maximum depth of nested objects and lists in an entry.
inline constexpr std::size_t kMaxEntryDepth = 32;

/// Maximum length of the text that describes skipped entries, in bytes.
inline constexpr std::size_t kMaxSkippedText = 300;

/// An entry of a list.
struct JsonEntry {
  std::string name;  ///< Printable name, or the entry's place, such as "#3".
  /// Name as its writer gave it, also of an entry that can't be parsed; empty
  /// if the name itself can't be read.
  std::string full_name;
  std::optional<nlohmann::json> value;  ///< Empty if it can't be parsed.
  std::string failure;                  ///< Why it can't be parsed, or empty.
};

/// An object that has a list as one of its members.
struct JsonPage {
  nlohmann::json members;  ///< Readable members other than the list.
  bool has_list = false;
  std::vector<JsonEntry> entries;
};

/// Parses an object, and the entries of one of its members one by one.
/// @param text JSON text of the object.
/// @param list Name of the member that is the list.
/// @param name_path Names of the members that lead to an entry's name.
/// @return The object, or nothing if the text is no object.
auto ParseJsonPage(std::string_view text,
                   std::string_view list,
                   std::span<const std::string_view> name_path)
    -> std::optional<JsonPage>;

/// Parses a text that may come from another writer.
/// @param text JSON text.
/// @return The value, whose depth is at most kMaxEntryDepth.
/// @throws Error kMalformed with a short printable reason.
auto ParseJsonEntry(std::string_view text) -> nlohmann::json;

/// Describes an entry that is skipped, unless the description is long already.
/// @param skipped Description of the entries skipped before; extended.
/// @param name Name of the entry.
/// @param reason Why it can't be used.
auto AppendSkippedEntry(std::string& skipped,
                        std::string_view name,
                        std::string_view reason) -> void;

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SRC_PROTOCOL_JSON_LIST_H_

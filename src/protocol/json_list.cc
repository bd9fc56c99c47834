#include "protocol/json_list.h"

#include <algorithm>

#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 48;
constexpr std::size_t kMaxReasonBytes = 160;
constexpr std::string_view kWhitespace = " \t\r\n";

// A member of an object, both texts as they are in the object.
struct RawMember {
  std::string_view key;
  std::string_view value;
};

auto SkipWhitespace(std::string_view text, std::size_t from) -> std::size_t {
  return std::min(text.find_first_not_of(kWhitespace, from), text.size());
}

// Returns the position after the string that begins at `from`.
auto SkipString(std::string_view text, std::size_t from) -> std::size_t {
  for (std::size_t n = from + 1; n < text.size(); ++n) {
    if (text[n] == '\\') {
      ++n;
    } else if (text[n] == '"') {
      return n + 1;
    }
  }
  return text.size();
}

// Returns the position after the value that begins at `from`. Only strings and
// brackets are looked at, so that a value is skipped whatever it contains.
auto SkipValue(std::string_view text, std::size_t from) -> std::size_t {
  std::size_t depth = 0;
  for (std::size_t n = from; n < text.size();) {
    const char c = text[n];
    if (c == '"') {
      n = SkipString(text, n);
      if (depth == 0) {
        return n;
      }
      continue;
    }
    if (depth == 0 && (c == ',' || c == ']' || c == '}')) {
      return n;
    }
    ++n;
    if (c == '[' || c == '{') {
      ++depth;
    } else if ((c == ']' || c == '}') && --depth == 0) {
      return n;
    }
  }
  return text.size();
}

auto TrimEnd(std::string_view text) -> std::string_view {
  return text.substr(0, text.find_last_not_of(kWhitespace) + 1);
}

// Returns the position after the separator or the closing bracket at `from`, or
// nothing if there is neither.
auto SkipSeparator(std::string_view text, std::size_t from, char close)
    -> std::optional<std::size_t> {
  const std::size_t at = SkipWhitespace(text, from);
  return at < text.size() && (text[at] == ',' || text[at] == close)
             ? std::optional(at + 1)
             : std::nullopt;
}

// Splits a list into the texts of its elements.
auto SplitList(std::string_view text)
    -> std::optional<std::vector<std::string_view>> {
  std::size_t at = SkipWhitespace(text, 0);
  if (at >= text.size() || text[at] != '[') {
    return std::nullopt;
  }
  std::vector<std::string_view> elements;
  for (at = SkipWhitespace(text, at + 1); at < text.size();
       at = SkipWhitespace(text, at)) {
    if (text[at] == ']') {
      return elements;
    }
    const std::size_t end = SkipValue(text, at);
    elements.push_back(TrimEnd(text.substr(at, end - at)));
    const auto next = SkipSeparator(text, end, ']');
    if (!next.has_value()) {
      return std::nullopt;
    }
    if (text[*next - 1] == ']') {
      return elements;
    }
    at = *next;
  }
  return std::nullopt;
}

// Splits an object into its members.
auto SplitObject(std::string_view text)
    -> std::optional<std::vector<RawMember>> {
  std::size_t at = SkipWhitespace(text, 0);
  if (at >= text.size() || text[at] != '{') {
    return std::nullopt;
  }
  std::vector<RawMember> members;
  for (at = SkipWhitespace(text, at + 1); at < text.size();
       at = SkipWhitespace(text, at)) {
    if (text[at] == '}') {
      return members;
    }
    if (text[at] != '"') {
      return std::nullopt;
    }
    const std::size_t key_end = SkipString(text, at);
    const std::size_t colon = SkipWhitespace(text, key_end);
    if (colon >= text.size() || text[colon] != ':') {
      return std::nullopt;
    }
    const std::size_t value = SkipWhitespace(text, colon + 1);
    const std::size_t end = SkipValue(text, value);
    members.push_back(
        RawMember{.key = text.substr(at + 1, key_end - at - 2),
                  .value = TrimEnd(text.substr(value, end - value))});
    const auto next = SkipSeparator(text, end, '}');
    if (!next.has_value()) {
      return std::nullopt;
    }
    if (text[*next - 1] == '}') {
      return members;
    }
    at = *next;
  }
  return std::nullopt;
}

auto ComputeDepth(std::string_view text) -> std::size_t {
  std::size_t depth = 0;
  std::size_t greatest = 0;
  for (std::size_t n = 0; n < text.size();) {
    if (text[n] == '"') {
      n = SkipString(text, n);
      continue;
    }
    if (text[n] == '[' || text[n] == '{') {
      greatest = std::max(greatest, ++depth);
    } else if ((text[n] == ']' || text[n] == '}') && depth > 0) {
      --depth;
    }
    ++n;
  }
  return greatest;
}

// Finds the text of a member's value in an object; empty if there is none.
auto FindRawMember(std::string_view object, std::string_view key)
    -> std::string_view {
  const auto members = SplitObject(object);
  if (!members.has_value()) {
    return {};
  }
  const auto it = std::find_if(
      members->begin(), members->end(),
      [key](const RawMember& member) { return member.key == key; });
  return it == members->end() ? std::string_view{} : it->value;
}

// Finds the text of an entry's name, with its quotes; empty if it has none.
auto FindRawName(std::string_view entry,
                 std::span<const std::string_view> name_path)
    -> std::string_view {
  for (const auto it : name_path) {
    entry = FindRawMember(entry, it);
  }
  const bool is_string = entry.size() > 2 && entry.front() == '"';
  return is_string ? entry : std::string_view{};
}

auto FormatEntryName(std::string_view raw_name, std::size_t position)
    -> std::string {
  return raw_name.empty()
             ? "#" + std::to_string(position)
             : FormatForLog(raw_name.substr(1, raw_name.size() - 2),
                            kMaxNameBytes);
}

auto DecodeEntryName(std::string_view raw_name) -> std::string {
  const json name =
      json::parse(raw_name.begin(), raw_name.end(), nullptr, false);
  return name.is_string() ? name.get<std::string>() : std::string{};
}

auto ParseEntry(std::string_view text) -> JsonEntry {
  try {
    return JsonEntry{.value = ParseJsonEntry(text)};
  } catch (const Error& error) {
    return JsonEntry{.failure = error.what()};
  }
}

}  // namespace

auto ParseJsonEntry(std::string_view text) -> nlohmann::json {
  if (ComputeDepth(text) > kMaxEntryDepth) {
    throw Error(ErrorKind::kMalformed,
                "nested deeper than " + std::to_string(kMaxEntryDepth));
  }
  try {
    return json::parse(text.begin(), text.end());
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kMalformed,
                FormatForLog(error.what(), kMaxReasonBytes));
  }
}

auto ParseJsonPage(std::string_view text,
                   std::string_view list,
                   std::span<const std::string_view> name_path)
    -> std::optional<JsonPage> {
  const auto members = SplitObject(text);
  if (!members.has_value()) {
    return std::nullopt;
  }
  JsonPage page{.members = json::object()};
  for (const auto& [key, value] : *members) {
    if (key != list) {
      auto parsed = ParseEntry(value).value;
      if (parsed.has_value()) {
        page.members[std::string(key)] = std::move(*parsed);
      }
      continue;
    }
    const auto elements = SplitList(value);
    page.has_list = elements.has_value();
    page.entries.clear();
    for (const auto it : elements.value_or(std::vector<std::string_view>{})) {
      JsonEntry entry = ParseEntry(it);
      const std::string_view raw_name = FindRawName(it, name_path);
      entry.name = FormatEntryName(raw_name, page.entries.size());
      entry.full_name = DecodeEntryName(raw_name);
      page.entries.push_back(std::move(entry));
    }
  }
  return page;
}

auto AppendSkippedEntry(std::string& skipped,
                        std::string_view name,
                        std::string_view reason) -> void {
  if (skipped.size() < kMaxSkippedText) {
    skipped += skipped.empty() ? "" : "; ";
    skipped += name;
    skipped += ": ";
    skipped += reason;
  }
}

}  // namespace hawthornbank

#include "protocol/near_match.h"

#include <algorithm>
#include <numeric>

namespace hawthornbank {
namespace {

/// @return The Levenshtein distance between two names.
auto ComputeEditDistance(std::string_view from, std::string_view to)
    -> std::size_t {
  std::vector<std::size_t> row(to.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t n = 0; n < from.size(); ++n) {
    std::size_t diagonal = row[0];
    row[0] = n + 1;
    for (std::size_t m = 0; m < to.size(); ++m) {
      const std::size_t substitution = diagonal + (from[n] == to[m] ? 0 : 1);
      diagonal = row[m + 1];
      row[m + 1] = std::min({substitution, row[m] + 1, row[m + 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

auto FindNearestName(std::string_view name,
                     const std::vector<std::string>& known) -> std::string {
  constexpr std::size_t kCharactersPerEdit = 3;
  std::size_t best = name.size() / kCharactersPerEdit + 1;
  std::string match;
  for (const auto& it : known) {
    const std::size_t distance = ComputeEditDistance(name, it);
    const bool is_prefix = name.size() >= 3 && it.starts_with(name);
    if (distance <= best && distance < it.size()) {
      match = it;
      best = distance == 0 ? 0 : distance - 1;
    } else if (is_prefix && match.empty()) {
      match = it;
    }
  }
  return match;
}

auto FormatSuggestion(std::string_view name,
                      const std::vector<std::string>& known) -> std::string {
  const std::string match = FindNearestName(name, known);
  return match.empty() ? "" : "; did you mean '" + match + "'?";
}

}  // namespace hawthornbank

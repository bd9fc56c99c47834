#include "table.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace hawthornbank::hawthornctl {
namespace {

auto PrintTableAsJson(const Table& table) -> void {
  nlohmann::json rows = nlohmann::json::array();
  for (std::size_t n = 1; n < table.size(); ++n) {
    nlohmann::json row;
    for (std::size_t m = 0; m < table[0].size(); ++m) {
      row[table[0][m]] = table[n][m];
    }
    rows.push_back(row);
  }
  std::cout << rows.dump(2) << '\n';
}

}  // namespace

auto PrintTable(const Table& table, bool json) -> void {
  if (json) {
    PrintTableAsJson(table);
    return;
  }
  std::vector<std::size_t> widths(table[0].size(), 0);
  for (const auto& row : table) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  for (const auto& row : table) {
    std::string line;
    for (std::size_t n = 0; n < row.size(); ++n) {
      line += row[n];
      if (n + 1 < row.size()) {
        line += std::string(widths[n] - row[n].size() + 2, ' ');
      }
    }
    std::cout << line << '\n';
  }
}

}  // namespace hawthornbank::hawthornctl

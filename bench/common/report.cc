#include "common/report.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

#include "hawthornbank/error.h"
#include "protocol/csv.h"

namespace hawthornbank::bench {
namespace {

/// Columns of the bounds file.
enum Column : std::size_t { kBench, kCase, kFigure, kAtMost, kAtLeast, kCount };

/// Name in the bounds file that matches every case without its own line.
constexpr const char* kAnyCase = "*";

/// Allowed range of a figure.
struct Bounds {
  std::optional<double> at_most;
  std::optional<double> at_least;
};

using Key = std::tuple<std::string, std::string, std::string>;

bool all_bounds_kept = true;

[[noreturn]] auto ThrowBoundsFileError(std::size_t row,
                                       const std::string& reason) -> void {
  throw Error(ErrorKind::kInvalidSettings, std::string(BENCH_BOUNDS) + ":" +
                                               std::to_string(row + 1) + ": " +
                                               reason);
}

auto ParseBoundFromCell(const std::string& cell, std::size_t row)
    -> std::optional<double> {
  if (cell.empty()) {
    return std::nullopt;
  }
  std::size_t used = 0;
  double value = 0;
  try {
    value = std::stod(cell, &used);
  } catch (const std::exception&) {
    used = 0;
  }
  if (used != cell.size()) {
    ThrowBoundsFileError(row, "'" + cell + "' is not a number");
  }
  return value;
}

auto ReadBoundsFile() -> std::map<Key, Bounds> {
  std::ifstream in(BENCH_BOUNDS);
  const std::string text(std::istreambuf_iterator<char>(in), {});
  const auto table = ParseCsv(text);
  std::map<Key, Bounds> bounds;
  for (std::size_t n = 1; n < table.rows.size(); ++n) {
    const auto& cells = table.rows[n];
    if (cells.size() != Column::kCount) {
      ThrowBoundsFileError(n, "needs bench,case,figure,at_most,at_least");
    }
    const Key key(cells[kBench], cells[kCase], cells[kFigure]);
    const Bounds bound{.at_most = ParseBoundFromCell(cells[kAtMost], n),
                       .at_least = ParseBoundFromCell(cells[kAtLeast], n)};
    if (!bounds.emplace(key, bound).second) {
      ThrowBoundsFileError(n, "the same case and figure again");
    }
  }
  if (bounds.empty()) {
    ThrowBoundsFileError(0, "no bounds");
  }
  return bounds;
}

auto FindBoundsOfFigure(const Row& row) -> Bounds {
  static const auto all = ReadBoundsFile();
  for (const auto& name : {row.name, std::string(kAnyCase)}) {
    const auto it = all.find({row.bench, name, row.figure});
    if (it != all.end()) {
      return it->second;
    }
  }
  return {};
}

auto IsValueWithinBounds(const Bounds& bounds, double value) -> bool {
  // NaN violates every bound.
  return (!bounds.at_most || value <= *bounds.at_most) &&
         (!bounds.at_least || value >= *bounds.at_least);
}

}  // namespace

auto PrintRow(const Row& row) -> void {
  const auto bounds =
      row.variant == kOwnVariant ? FindBoundsOfFigure(row) : Bounds{};
  nlohmann::ordered_json line = {
      {"bench", row.bench},   {"case", row.name},   {"variant", row.variant},
      {"figure", row.figure}, {"value", row.value},
  };
  if (bounds.at_most) {
    line["bound"] = *bounds.at_most;
  }
  if (bounds.at_least) {
    line["floor"] = *bounds.at_least;
  }
  line["unit"] = row.unit;
  line["seed"] = row.seed;
  std::cout << line.dump() << '\n';
  if (!IsValueWithinBounds(bounds, row.value)) {
    std::cerr << "bound passed: " << line.dump() << '\n';
    all_bounds_kept = false;
  }
}

auto GetExitCode() -> int {
  return all_bounds_kept ? 0 : 1;
}

}  // namespace hawthornbank::bench

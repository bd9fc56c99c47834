#include "common/report.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace hawthornbank::bench {
namespace {

bool all_kept = true;

}  // namespace

auto Print(const Row& row) -> void {
  nlohmann::ordered_json line = {
      {"bench", row.bench},   {"case", row.name},   {"variant", row.variant},
      {"figure", row.figure}, {"value", row.value},
  };
  bool kept = true;
  if (row.bound) {
    line["bound"] = *row.bound;
    kept = row.value <= *row.bound;
  }
  if (row.floor) {
    line["floor"] = *row.floor;
    kept = kept && row.value >= *row.floor;
  }
  line["unit"] = row.unit;
  line["seed"] = row.seed;
  std::cout << line.dump() << '\n';
  if (!kept) {
    std::cerr << "bound passed: " << line.dump() << '\n';
    all_kept = false;
  }
}

auto ExitCode() -> int {
  return all_kept ? 0 : 1;
}

}  // namespace hawthornbank::bench

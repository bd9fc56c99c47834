#ifndef HAWTHORNBANK_BENCH_COMMON_REPORT_H_
#define HAWTHORNBANK_BENCH_COMMON_REPORT_H_

#include <cstdint>
#include <string>

namespace hawthornbank::bench {

/// Variant of what this repository builds; only its figures have bounds.
inline constexpr const char* kOwnVariant = "hawthornbank";

/// One figure of a benchmark.
struct Row {
  std::string bench;
  std::string name;  ///< The case.
  std::string variant = kOwnVariant;
  std::string figure;
  double value = 0;
  std::string unit;
  std::uint64_t seed = 0;
};

/// Prints a row as one JSON object a line, with its bounds from
/// bench/bounds.csv, and remembers a passed one.
/// @param row The figure.
/// @throws Error kInvalidSettings when the file of bounds is faulty.
auto Print(const Row& row) -> void;

/// @return 0 when every row kept its bound, else 1.
auto ExitCode() -> int;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REPORT_H_

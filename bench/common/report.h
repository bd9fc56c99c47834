#ifndef HAWTHORNBANK_BENCH_COMMON_REPORT_H_
#define HAWTHORNBANK_BENCH_COMMON_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornbank::bench {

/// One figure of a benchmark.
struct Row {
  std::string bench;
  std::string name;  ///< The case.
  std::string variant = "hawthornbank";
  std::string figure;
  double value = 0;
  std::optional<double> bound;  ///< The most that is allowed.
  std::optional<double> floor;  ///< The least that is allowed.
  std::string unit;
  std::uint64_t seed = 0;
};

/// Prints a row as one JSON object a line and remembers a passed bound.
/// @param row The figure.
auto Print(const Row& row) -> void;

/// @return 0 when every row kept its bound, else 1.
auto ExitCode() -> int;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REPORT_H_

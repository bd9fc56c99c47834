#ifndef HAWTHORNBANK_BENCH_COMMON_REPORT_H_
#define HAWTHORNBANK_BENCH_COMMON_REPORT_H_

#include <cstdint>
#include <string>

namespace hawthornbank::bench {

/// Variant name of figures measured on this project's code. Only figures of
/// this variant have bounds.
inline constexpr const char* kOwnVariant = "hawthornbank";

/// One measured figure of a benchmark case.
struct Row {
  std::string bench;
  std::string name;  ///< Name of the case.
  std::string variant = kOwnVariant;
  std::string figure;
  double value = 0;
  std::string unit;
  std::uint64_t seed = 0;
};

/// Prints a row as a JSON object on one line, with its bounds from
/// bench/bounds.csv, and records a violated bound for GetExitCode().
/// @param row Figure to print.
/// @throws Error kInvalidSettings if the bounds file is malformed.
auto PrintRow(const Row& row) -> void;

/// @return Exit code: 0 if every printed figure was within its bounds, else 1.
auto GetExitCode() -> int;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_REPORT_H_

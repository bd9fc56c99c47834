#ifndef HAWTHORNBANK_BENCH_COMMON_ALLOCATION_COUNT_H_
#define HAWTHORNBANK_BENCH_COMMON_ALLOCATION_COUNT_H_

#include <cstddef>

/// @file
/// Counts the allocations of a program that calls GetAllocationCount().
namespace hawthornbank::bench {

/// @return Number of calls of operator new since the program's start.
auto GetAllocationCount() -> std::size_t;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_ALLOCATION_COUNT_H_

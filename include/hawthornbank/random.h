#ifndef HAWTHORNBANK_RANDOM_H_
#define HAWTHORNBANK_RANDOM_H_

#include <cstdint>
#include <pcg_random.hpp>

/// @file
/// Seeded random number generator, passed to each function that needs
/// randomness.
namespace hawthornbank {

/// Deterministic random number generator; the same seed gives the same sequence
/// of numbers.
using Random = pcg32;

/// Draws a uniformly distributed fraction.
/// @param random Random number generator.
/// @return A value in [0, 1).
inline auto DrawRandomFraction(Random& random) -> double {
  constexpr double kScale = 1.0 / 4294967296.0;
  return static_cast<double>(random()) * kScale;
}

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_RANDOM_H_

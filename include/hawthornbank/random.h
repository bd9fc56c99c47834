#ifndef HAWTHORNBANK_RANDOM_H_
#define HAWTHORNBANK_RANDOM_H_

#include <cstdint>
#include <pcg_random.hpp>

/// @file
/// The seeded generator that is passed into every decision that needs chance.
namespace hawthornbank {

/// Deterministic generator; the same seed gives the same decisions.
using Random = pcg32;

/// Draws a fraction.
/// @param random Generator to draw from.
/// @return A value in [0, 1).
inline auto NextFraction(Random& random) -> double {
  constexpr double kScale = 1.0 / 4294967296.0;
  return static_cast<double>(random()) * kScale;
}

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_RANDOM_H_

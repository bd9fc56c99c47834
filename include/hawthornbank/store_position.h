#ifndef HAWTHORNBANK_STORE_POSITION_H_
#define HAWTHORNBANK_STORE_POSITION_H_

#include <compare>
#include <cstdint>

/// @file
/// Position in the history of the platform's store.
///
/// Load pattern: a store that returns from a copy. It has lost its latest
/// changes and gives their revisions to others, so a revision means something
/// only together with its era.
namespace hawthornbank {

/// A revision of the store within an era. Revisions start above 0.
struct StorePosition {
  std::uint64_t era = 0;  ///< Grows each time the store returns from a copy.
  std::uint64_t revision = 0;

  auto operator<=>(const StorePosition&) const = default;
};

/// @param newest Newest position known before; unset if there is none.
/// @param position Position of a later answer of the store.
/// @return Whether the store has returned from a copy in between: the era has
///   grown or, if the store tells no era, the revision has gone back.
constexpr auto HasStoreLostChanges(const StorePosition& newest,
                                   const StorePosition& position) -> bool {
  return newest != StorePosition{} &&
         (position.era > newest.era ||
          (position.era == newest.era && position.revision < newest.revision));
}

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_STORE_POSITION_H_

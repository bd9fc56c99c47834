#ifndef HAWTHORNBANK_SRC_TRANSPORT_STORE_PAGE_CURSOR_H_
#define HAWTHORNBANK_SRC_TRANSPORT_STORE_PAGE_CURSOR_H_

#include <string>

/// @file
/// Reads a list of the store page by page. Other writers may have entries in
/// it, so that what is looked for can be on any page.
namespace hawthornbank::transport {

/// Maximum number of pages that are read, far above the list of the largest
/// fleet.
inline constexpr int kMaxStorePages = 64;

/// Place in a list.
struct StorePageCursor {
  std::string after;  ///< Name after which the page begins; empty: the first.
  int pages = 0;      ///< Number of pages that were read before.
};

/// Moves to the next page.
/// @param cursor Place of the page that was read.
/// @param next_after Name after which the next page begins; empty if there is
/// none.
/// @return Whether there is a next page to read. A page that begins where the
/// one before did would be read for ever.
inline auto MoveToNextPage(StorePageCursor& cursor,
                           const std::string& next_after) -> bool {
  ++cursor.pages;
  if (next_after.empty() || next_after == cursor.after ||
      cursor.pages >= kMaxStorePages) {
    return false;
  }
  cursor.after = next_after;
  return true;
}

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_STORE_PAGE_CURSOR_H_

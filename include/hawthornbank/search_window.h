#ifndef HAWTHORNBANK_SEARCH_WINDOW_H_
#define HAWTHORNBANK_SEARCH_WINDOW_H_

#include <algorithm>
#include <cstddef>

#include "hawthornbank/types.h"

/// @file
/// Limits how many queries of flow searches are outstanding at a balancer.
///
/// Load pattern: after a loss of power all flows are unknown at once, and each
/// search queries all agents. A balancer that sends all queries at once reads
/// the replies after their timeout, drops the packets, and searches again for
/// the packets that callers retransmit. The window grows with each round of
/// queries that is answered and is halved when most replies of a round are
/// missing, so that searches go on at the speed of the host and the network.
namespace hawthornbank {

/// Limits of the window.
struct SearchWindowOptions {
  std::size_t min_queries = 32;
  std::size_t max_queries = 1024;
  /// Growth with each round that is answered completely.
  std::size_t growth = 8;
  /// Minimum time between two reductions: the rounds that were outstanding at
  /// the first one say nothing new.
  Duration reduction_interval = std::chrono::milliseconds{100};
};

/// State of the window.
struct SearchWindow {
  SearchWindowOptions options;
  std::size_t max_outstanding = 256;  ///< Current size of the window.
  std::size_t outstanding = 0;        ///< Queries without a reply.
  TimePoint reduced_at{};
};

/// @param window The window.
/// @param count Number of queries of a round.
/// @return Whether the round may be sent now. A round that is larger than the
///   window may be sent when no query is outstanding.
inline auto MaySendQueries(const SearchWindow& window, std::size_t count)
    -> bool {
  return window.outstanding == 0 ||
         window.outstanding + count <= window.max_outstanding;
}

/// Records queries that were sent.
/// @param window The window.
/// @param count Number of queries.
inline auto OnQueriesSent(SearchWindow& window, std::size_t count) -> void {
  window.outstanding += count;
}

/// Records queries that are answered or no longer waited for.
/// @param window The window.
/// @param count Number of queries.
inline auto OnQueriesEnded(SearchWindow& window, std::size_t count) -> void {
  window.outstanding -= std::min(count, window.outstanding);
}

/// Records that all queries of a round were answered.
/// @param window The window.
inline auto OnRoundAnswered(SearchWindow& window) -> void {
  window.max_outstanding =
      std::min(window.max_outstanding + window.options.growth,
               window.options.max_queries);
}

/// Records that most replies of a round are missing.
/// @param window The window.
/// @param now Current time.
inline auto OnRoundUnanswered(SearchWindow& window, TimePoint now) -> void {
  if (now - window.reduced_at < window.options.reduction_interval) {
    return;
  }
  window.reduced_at = now;
  window.max_outstanding =
      std::max(window.max_outstanding / 2, window.options.min_queries);
}

}  // namespace hawthornbank

#endif  // HAWTHORNBANK_SEARCH_WINDOW_H_

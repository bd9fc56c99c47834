#ifndef HAWTHORNBANK_BENCH_COMMON_UPLOAD_SCENARIO_H_
#define HAWTHORNBANK_BENCH_COMMON_UPLOAD_SCENARIO_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "common/virtual_network.h"

/// @file
/// Block-wise uploads through a gate in virtual time.
namespace hawthornbank::bench {

/// Uploads and network of a scenario.
struct UploadScenario {
  std::uint64_t seed = 1;
  bool has_gate = true;  ///< If false, callers reach the target directly.
  std::size_t uploads = 60;
  std::uint32_t parts = 12;
  /// Time between the starts of two successive uploads.
  std::chrono::milliseconds between{150};
  Link link{.delay = std::chrono::milliseconds{3},
            .jitter = std::chrono::milliseconds{300},
            .loss = 0.2};
  double copy_share = 0.3;  ///< Share of datagrams that the network duplicates.
  Duration copy_delay{std::chrono::seconds{2}};
  /// One in this many uploads has a caller that changes its address.
  std::size_t uploads_per_move = 3;
};

/// Number of uploads with each outcome, and of parts that ran more than once.
struct UploadResult {
  std::uint64_t whole = 0;    ///< Uploads reported to the caller as complete.
  std::uint64_t errors = 0;   ///< Uploads that got an error or no answer.
  std::uint64_t pending = 0;  ///< Uploads unfinished at the end of the run.
  std::uint64_t resumed = 0;  ///< Complete uploads in which a part was resent.
  /// Uploads reported as complete although the target's body is wrong or
  /// missing.
  std::uint64_t broken = 0;
  /// Uploads whose complete body at the target has wrong bytes.
  std::uint64_t mixed = 0;
  /// Parts that reached the target more than once.
  std::uint64_t doubled_parts = 0;
};

/// Runs all uploads for 120 s of virtual time.
/// @param scenario Uploads and network of the run.
/// @return Outcomes of the uploads.
auto RunUploadScenario(const UploadScenario& scenario) -> UploadResult;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_UPLOAD_SCENARIO_H_

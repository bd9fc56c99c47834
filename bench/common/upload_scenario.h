#ifndef HAWTHORNBANK_BENCH_COMMON_UPLOAD_SCENARIO_H_
#define HAWTHORNBANK_BENCH_COMMON_UPLOAD_SCENARIO_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "common/virtual_network.h"

/// @file
/// Block-wise uploads through a gate in virtual time.
namespace hawthornbank::bench {

/// What is uploaded and what the network does to it.
struct UploadScenario {
  std::uint64_t seed = 1;
  bool has_gate = true;  ///< Else callers reach the target directly.
  std::size_t uploads = 60;
  std::uint32_t parts = 12;
  std::chrono::milliseconds between{150};  ///< From one upload to the next.
  Link link{.delay = std::chrono::milliseconds{3},
            .jitter = std::chrono::milliseconds{300},
            .loss = 0.2};
  double copy_share = 0.3;  ///< Datagrams that arrive again.
  Duration copy_delay{std::chrono::seconds{2}};
  std::size_t move_every = 3;  ///< Uploads of which one changes its address.
};

/// What was seen.
struct UploadResult {
  std::uint64_t whole = 0;    ///< Callers told that all has arrived.
  std::uint64_t errors = 0;   ///< Callers told that it has not.
  std::uint64_t pending = 0;  ///< Callers told nothing.
  std::uint64_t resumed = 0;  ///< Whole ones that sent a part more than once.
  std::uint64_t broken = 0;   ///< Told whole, but the target has another body.
  std::uint64_t mixed = 0;    ///< Complete at the target with foreign bytes.
  std::uint64_t doubled_parts = 0;  ///< Parts that ran more than once.
};

/// Runs all uploads to their ends.
/// @param scenario What happens.
/// @return What was seen.
auto RunUploads(const UploadScenario& scenario) -> UploadResult;

}  // namespace hawthornbank::bench

#endif  // HAWTHORNBANK_BENCH_COMMON_UPLOAD_SCENARIO_H_

#ifndef HAWTHORNBANK_BENCH_COMMON_REQUEST_WORLD_H_
#define HAWTHORNBANK_BENCH_COMMON_REQUEST_WORLD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/request_scenario.h"
#include "coordination/retry_budget.h"

/// @file
/// State of a request scenario, shared by its parts.
namespace hawthornbank::bench::request_world {

inline constexpr std::chrono::milliseconds kHastyRetryAfter{100};
inline constexpr std::uint64_t kFirstCallerHost = 1000;

/// One try of a call at one target.
struct Attempt {
  std::size_t target = 0;
  TimePoint start{};
  TimePoint end = TimePoint::max();  ///< When a later one began.
  bool told_not_run = false;
};

/// A request of a caller with all its tries.
struct Call {
  std::string id;
  std::size_t caller = 0;
  bool booking = false;
  TimePoint born{};
  TimePoint deadline{};
  TimePoint sent{};     ///< First sending of the present message.
  TimePoint reached{};  ///< First arrival of the present message.
  bool refused_on_arrival = false;
  std::vector<std::uint8_t> echo;
  std::uint32_t exchange = 0;  ///< Number of the present message.
  bool ended = false;          ///< The present attempt has its answer.
  bool succeeded = false;
  std::uint8_t final_code = 0;
  std::vector<Attempt> attempts;
};

/// One caller.
struct Caller {
  std::uint16_t next_id = 0;
  RetryBudget budget;
};

/// Everything in a scenario.
struct World {
  const RequestScenario& scenario;
  VirtualNetwork net;
  std::vector<std::unique_ptr<TargetHost>> targets;
  std::vector<Caller> callers;
  std::vector<std::unique_ptr<Call>> calls;
  std::unordered_map<std::uint32_t, Call*> exchanges;
  std::uint32_t next_exchange = 1;
  std::vector<Run> runs;
  std::vector<double> refusal_round_trips;
  std::vector<double> arrival_refusal_round_trips;
  std::vector<std::uint64_t> offered_by_second;
  std::vector<std::uint64_t> served_by_second;
  RequestResult result;

  explicit World(const RequestScenario& given)
      : scenario(given), net(given.seed) {}
};

/// @return Whether an instant is in the measured time.
auto IsMeasured(const World& world, TimePoint when) -> bool;

/// @return The second of the run in which an instant is.
auto SecondOf(TimePoint when) -> std::size_t;

/// @return Requests that all targets together can serve.
auto CapacityPerSecond(const RequestScenario& scenario) -> double;

/// Sends a datagram and, by chance, late copies of it.
auto SendWithCopies(World& world,
                    std::uint64_t from,
                    std::uint64_t to,
                    const std::function<void()>& deliver) -> void;

/// @return The present message of a call.
auto BuildMessage(World& world, const Call& call) -> CoapMessage;

/// Sends a new message of the present attempt.
auto SendMessage(World& world, Call& call) -> void;

/// Begins another attempt later, if the caller still may.
auto Retry(World& world, Call& call, Duration after) -> void;

/// Begins the first attempt of a new call.
auto BeginCall(World& world, std::uint64_t number) -> void;

/// Notes whether a reply leaves the target as the request comes.
auto NoteDeparture(World& world, const std::vector<std::uint8_t>& bytes)
    -> void;

/// Takes in a reply at the caller.
auto ReceiveReply(World& world, const std::vector<std::uint8_t>& bytes) -> void;

/// Acknowledges a confirmable reply, each time it comes.
auto AcknowledgeReply(World& world,
                      TargetHost& target,
                      const FlowKey& flow,
                      const std::vector<std::uint8_t>& bytes) -> void;

/// Compares what ran with what the callers were told.
auto CountRuns(World& world) -> void;

/// Works out the shares and ratios of the result.
auto Summarize(World& world) -> void;

}  // namespace hawthornbank::bench::request_world

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_WORLD_H_

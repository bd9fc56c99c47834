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
/// State of a request scenario, shared by the source files that run it.
namespace hawthornbank::bench::request_world {

inline constexpr std::chrono::milliseconds kUnbudgetedRetryDelay{100};
inline constexpr std::uint64_t kFirstCallerHost = 1000;

/// One attempt of a call at one target.
struct Attempt {
  std::size_t target = 0;
  TimePoint start{};
  /// Start of the call's next attempt; max() for the last attempt.
  TimePoint next_attempt_start = TimePoint::max();
  bool reported_not_run = false;
};

/// A caller's request with all its attempts.
struct Call {
  std::string id;
  std::size_t caller = 0;
  bool is_booking = false;
  TimePoint created{};
  TimePoint deadline{};
  TimePoint sent{};  ///< Time of the first transmission of the current message.
  TimePoint arrived{};  ///< Time of the first arrival of the current message.
  bool replied_on_arrival = false;
  std::vector<std::uint8_t> echo;
  std::uint32_t exchange = 0;  ///< Number of the current message.
  /// Whether the current attempt is answered, cancelled or timed out.
  bool attempt_ended = false;
  bool succeeded = false;
  std::uint8_t final_code = 0;
  std::vector<Attempt> attempts;
};

/// A caller's next message ID and retry budget.
struct Caller {
  std::uint16_t next_id = 0;
  RetryBudget budget;
};

/// Complete state of a running scenario.
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

/// @return Whether a time lies in the measured time of the scenario.
auto IsInMeasuredTime(const World& world, TimePoint when) -> bool;

/// @return Number of full seconds from the start of the run until `when`.
auto GetSecondOfRun(TimePoint when) -> std::size_t;

/// @return Requests per second that all targets together can serve.
auto ComputeCapacityPerSecond(const RequestScenario& scenario) -> double;

/// Sends a datagram and, at random, delayed copies of it.
auto SendDatagramWithCopies(World& world,
                            std::uint64_t from,
                            std::uint64_t to,
                            const std::function<void()>& deliver) -> void;

/// @return Request message of a call's current attempt, with a new message ID.
auto BuildRequestMessage(World& world, const Call& call) -> CoapMessage;

/// Sends a new request message of a call's current attempt.
auto SendRequestMessage(World& world, Call& call) -> void;

/// Schedules another attempt if the caller's retry budget and the limit of
/// attempts allow it.
auto ScheduleRetry(World& world, Call& call, Duration after) -> void;

/// Creates a call of a random caller and starts the first attempt.
auto StartCall(World& world, std::uint64_t number) -> void;

/// Records whether a target sends a reply at the instant the request arrives.
auto RecordWhetherReplyIsImmediate(World& world,
                                   const std::vector<std::uint8_t>& bytes)
    -> void;

/// Handles a reply that arrives at the caller.
auto HandleReplyAtCaller(World& world, const std::vector<std::uint8_t>& bytes)
    -> void;

/// Sends the caller's acknowledgement for each arriving copy of a confirmable
/// reply.
auto AcknowledgeReply(World& world,
                      TargetHost& target,
                      const FlowKey& flow,
                      const std::vector<std::uint8_t>& bytes) -> void;

/// Counts bookings that ran more than once, and attempts that ran although the
/// reply said that the request had not run.
auto CountRepeatedAndMisreportedRuns(World& world) -> void;

/// Computes the shares and ratios of the result.
auto ComputeResultRatios(World& world) -> void;

}  // namespace hawthornbank::bench::request_world

#endif  // HAWTHORNBANK_BENCH_COMMON_REQUEST_WORLD_H_

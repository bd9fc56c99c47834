#include "hawthornbank/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "hawthornbank/error.h"

namespace hawthornbank {
namespace {

using nlohmann::json;

/// Adds up to a quarter, so that rivals do not call together.
auto Spread(Duration interval, Random& random) -> Duration {
  const auto quarter = static_cast<double>(interval.count()) / 4;
  return interval +
         Duration{static_cast<Duration::rep>(quarter * NextFraction(random))};
}

/// @return Whether this process is the holder on record.
auto IsOurs(const Lease& lease) -> bool {
  return lease.version != 0 && lease.record.holder == lease.options.self;
}

/// @return Whether the record may be taken over.
auto IsFree(const Lease& lease, TimePoint now) -> bool {
  if (lease.version == 0 || lease.record.holder.empty()) {
    return true;
  }
  return lease.unchanged_since &&
         now - *lease.unchanged_since >= lease.options.times.duration;
}

auto Write(Lease& lease, TimePoint now, LeaseActions& actions) -> void {
  auto record = lease.record;
  if (!lease.valid_until) {
    // Also its own record of before is taken over under a new epoch: the
    // acts of then may still be on their way.
    const Epoch last = std::max(record.epoch, lease.floor);
    record.epoch = Epoch{ToInteger(last) + 1};
  }
  record.holder = lease.options.self;
  record.operation = lease.options.self + "/" + std::to_string(++lease.writes);
  lease.pending = LeaseWrite{.if_version = lease.version, .record = record};
  lease.sent = now;
  lease.waiting = true;
  actions.emplace_back(*lease.pending);
}

auto Read(Lease& lease, LeaseActions& actions) -> void {
  lease.waiting = true;
  actions.emplace_back(LeaseRead{});
}

/// Notes that the pending write took effect.
auto Accept(Lease& lease,
            std::uint64_t version,
            TimePoint now,
            Random& random,
            LeaseActions& actions) -> void {
  const bool gained = !lease.valid_until;
  lease.version = version;
  lease.record = lease.pending->record;
  lease.pending.reset();
  lease.read_first = false;
  lease.unchanged_since.reset();
  lease.valid_until = lease.sent + lease.options.times.duration;
  lease.next_call = now + Spread(lease.options.times.renew_interval, random);
  if (gained) {
    actions.emplace_back(LeaseGained{.epoch = lease.record.epoch});
  }
}

auto Lose(Lease& lease, LeaseActions& actions) -> void {
  if (lease.valid_until) {
    actions.emplace_back(LeaseLost{.epoch = lease.record.epoch});
  }
  lease.valid_until.reset();
}

/// Records what another process wrote.
auto Observe(Lease& lease,
             const LeaseSeen& seen,
             TimePoint now,
             LeaseActions& actions) -> void {
  const bool changed = seen.version != lease.version;
  if (changed) {
    Lose(lease, actions);
  }
  if (changed || !lease.unchanged_since) {
    lease.unchanged_since = now;
  }
  lease.version = seen.version;
  lease.record = seen.record;
}

}  // namespace

auto EncodeLease(const LeaseRecord& record) -> std::string {
  return json{{"holder", record.holder},
              {"operation", record.operation},
              {"epoch", ToInteger(record.epoch)}}
      .dump();
}

auto DecodeLease(const std::string& text) -> LeaseRecord {
  try {
    const auto value = json::parse(text);
    return LeaseRecord{
        .holder = value.at("holder").get<std::string>(),
        .operation = value.at("operation").get<std::string>(),
        .epoch = Epoch{value.at("epoch").get<std::uint64_t>()},
    };
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kMalformed, std::string("lease: ") + error.what());
  }
}

auto MakeLease(LeaseOptions options, TimePoint now, Random& random) -> Lease {
  Lease lease{.options = std::move(options)};
  const auto spread = Spread(lease.options.times.watch_interval, random);
  lease.next_call = now + spread - lease.options.times.watch_interval;
  return lease;
}

auto TickLease(Lease& lease,
               TimePoint now,
               Random& random,
               LeaseActions& actions) -> void {
  if (lease.valid_until && !EpochForAct(lease, now)) {
    Lose(lease, actions);
    lease.read_first = true;
  }
  if (lease.waiting || now < lease.next_call) {
    return;
  }
  lease.next_call = now + Spread(lease.options.times.watch_interval, random);
  const bool may_write =
      lease.valid_until.has_value() || IsFree(lease, now) || IsOurs(lease);
  if (lease.read_first || !may_write) {
    Read(lease, actions);
  } else {
    Write(lease, now, actions);
  }
}

auto OnLeaseSeen(Lease& lease,
                 const LeaseSeen& seen,
                 TimePoint now,
                 Random& random,
                 LeaseActions& actions) -> void {
  lease.waiting = false;
  lease.next_call = now + Spread(lease.options.times.watch_interval, random);
  if (!seen.reached) {
    ++lease.platform_failures;
    return;
  }
  if (seen.version < lease.version) {
    return;  // A stale read.
  }
  if (lease.pending && seen.version != 0 &&
      seen.record == lease.pending->record) {
    Accept(lease, seen.version, now, random, actions);
    return;
  }
  lease.pending.reset();
  lease.read_first = false;
  if (lease.valid_until && seen.version == lease.version) {
    return;  // The renewal had no effect; it is tried again.
  }
  Observe(lease, seen, now, actions);
  if (IsFree(lease, now) || IsOurs(lease)) {
    Write(lease, now, actions);
  }
}

auto OnLeaseWritten(Lease& lease,
                    LeaseWritten answer,
                    std::uint64_t version,
                    TimePoint now,
                    Random& random,
                    LeaseActions& actions) -> void {
  lease.waiting = false;
  if (answer == LeaseWritten::kAccepted && lease.pending) {
    Accept(lease, version, now, random, actions);
    return;
  }
  // Another won, or the answer was lost: what is stored decides.
  lease.platform_failures += answer == LeaseWritten::kUnknown ? 1 : 0;
  lease.read_first = true;
  lease.next_call =
      now + Spread(lease.options.times.watch_interval, random) / 2;
}

auto EpochForAct(const Lease& lease, TimePoint now) -> std::optional<Epoch> {
  if (!lease.valid_until ||
      now >= *lease.valid_until - lease.options.times.margin) {
    return std::nullopt;
  }
  return lease.record.epoch;
}

auto RaiseEpoch(Lease& lease, Epoch seen, TimePoint now, LeaseActions& actions)
    -> void {
  lease.floor = std::max(lease.floor, seen);
  Lose(lease, actions);
  lease.read_first = true;
  lease.next_call = now;
}

auto CheckFence(LeaseFence& fence, Epoch epoch) -> void {
  if (epoch < fence.highest) {
    ++fence.refused;
    throw Error(ErrorKind::kFenced,
                "epoch " + std::to_string(ToInteger(epoch)) +
                    " is superseded by " +
                    std::to_string(ToInteger(fence.highest)));
  }
  fence.highest = epoch;
}

}  // namespace hawthornbank

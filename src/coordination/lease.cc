#include "hawthornbank/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "hawthornbank/error.h"
#include "protocol/json_list.h"

namespace hawthornbank {
namespace {

using nlohmann::json;

/// Adds jitter of up to a quarter of the interval, so that candidates do not
/// call the platform at the same time.
auto AddJitter(Duration interval, Random& random) -> Duration {
  const auto quarter = static_cast<double>(interval.count()) / 4;
  return interval + Duration{static_cast<Duration::rep>(
                        quarter * DrawRandomFraction(random))};
}

/// @return Whether the last record read or written names this process as the
///   holder.
auto IsRecordedHolder(const Lease& lease) -> bool {
  return lease.version != 0 && lease.record.holder == lease.options.self;
}

/// @return Whether the lease has no holder, or the lease's version has not
///   changed for the lease's duration.
auto CanTakeOverLease(const Lease& lease, TimePoint now) -> bool {
  if (lease.version == 0 || lease.record.holder.empty()) {
    return true;
  }
  return lease.unchanged_since &&
         now - *lease.unchanged_since >= lease.options.times.duration;
}

auto SendLeaseWrite(Lease& lease, TimePoint now, LeaseActions& actions)
    -> void {
  auto record = lease.record;
  if (!lease.valid_until) {
    // Even a record that names this process is taken over under a new epoch:
    // writes under the old epoch may still be in flight.
    const Epoch last = std::max(record.epoch, lease.highest_seen_epoch);
    record.epoch = Epoch{ToInteger(last) + 1};
  }
  record.holder = lease.options.self;
  record.operation =
      lease.options.self + "/" + std::to_string(++lease.write_count);
  lease.pending_write =
      LeaseWrite{.if_version = lease.version, .record = record};
  lease.pending_sent_at = now;
  lease.is_awaiting_answer = true;
  actions.emplace_back(*lease.pending_write);
}

auto SendLeaseRead(Lease& lease, LeaseActions& actions) -> void {
  lease.is_awaiting_answer = true;
  actions.emplace_back(LeaseRead{});
}

/// Records that the pending write took effect, and reports an acquisition of
/// the lease.
auto RecordAcceptedWrite(Lease& lease,
                         std::uint64_t version,
                         TimePoint now,
                         Random& random,
                         LeaseActions& actions) -> void {
  const bool gained = !lease.valid_until;
  lease.version = version;
  lease.record = lease.pending_write->record;
  lease.pending_write.reset();
  lease.must_read_first = false;
  lease.unchanged_since.reset();
  lease.valid_until = lease.pending_sent_at + lease.options.times.duration;
  lease.next_call = now + AddJitter(lease.options.times.renew_interval, random);
  if (gained) {
    actions.emplace_back(LeaseAcquired{.epoch = lease.record.epoch});
  }
}

auto RecordLeaseLoss(Lease& lease, LeaseActions& actions) -> void {
  if (lease.valid_until) {
    actions.emplace_back(LeaseLost{.epoch = lease.record.epoch});
  }
  lease.valid_until.reset();
}

/// Records the lease that a read returned. If this process held the lease, a
/// changed version means that the lease is lost.
auto RecordObservedLease(Lease& lease,
                         const LeaseReadAnswer& answer,
                         TimePoint now,
                         LeaseActions& actions) -> void {
  const bool changed = answer.version != lease.version;
  if (changed) {
    RecordLeaseLoss(lease, actions);
  }
  if (changed || !lease.unchanged_since) {
    lease.unchanged_since = now;
  }
  lease.version = answer.version;
  lease.record = answer.record;
}

}  // namespace

auto EncodeLeaseRecord(const LeaseRecord& record) -> std::string {
  return json{{"holder", record.holder},
              {"operation", record.operation},
              {"epoch", ToInteger(record.epoch)}}
      .dump();
}

auto DecodeLeaseRecord(const std::string& text) -> LeaseRecord {
  try {
    const auto value = ParseJsonEntry(text);
    return LeaseRecord{
        .holder = value.at("holder").get<std::string>(),
        .operation = value.at("operation").get<std::string>(),
        .epoch = Epoch{value.at("epoch").get<std::uint64_t>()},
    };
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kMalformed,
                std::string("cannot decode lease record: ") + error.what());
  }
}

auto MakeLeaseState(LeaseOptions options, TimePoint now, Random& random)
    -> Lease {
  Lease lease{.options = std::move(options)};
  const auto spread = AddJitter(lease.options.times.watch_interval, random);
  lease.next_call = now + spread - lease.options.times.watch_interval;
  return lease;
}

auto OnLeaseTick(Lease& lease,
                 TimePoint now,
                 Random& random,
                 LeaseActions& actions) -> void {
  if (lease.valid_until && !GetEpochIfLeaseHeld(lease, now)) {
    RecordLeaseLoss(lease, actions);
    lease.must_read_first = true;
  }
  if (lease.is_awaiting_answer || now < lease.next_call) {
    return;
  }
  lease.next_call = now + AddJitter(lease.options.times.watch_interval, random);
  const bool may_write = lease.valid_until.has_value() ||
                         CanTakeOverLease(lease, now) ||
                         IsRecordedHolder(lease);
  if (lease.must_read_first || !may_write) {
    SendLeaseRead(lease, actions);
  } else {
    SendLeaseWrite(lease, now, actions);
  }
}

auto OnLeaseReadAnswered(Lease& lease,
                         const LeaseReadAnswer& answer,
                         TimePoint now,
                         Random& random,
                         LeaseActions& actions) -> void {
  lease.is_awaiting_answer = false;
  lease.next_call = now + AddJitter(lease.options.times.watch_interval, random);
  if (!answer.was_answered) {
    ++lease.platform_failures;
    return;
  }
  if (answer.version < lease.version) {
    return;  // The read returned an older version.
  }
  if (lease.pending_write && answer.version != 0 &&
      answer.record == lease.pending_write->record) {
    RecordAcceptedWrite(lease, answer.version, now, random, actions);
    return;
  }
  lease.pending_write.reset();
  lease.must_read_first = false;
  if (lease.valid_until && answer.version == lease.version) {
    return;  // The renewal wasn't stored; the next call sends another one.
  }
  RecordObservedLease(lease, answer, now, actions);
  if (CanTakeOverLease(lease, now) || IsRecordedHolder(lease)) {
    SendLeaseWrite(lease, now, actions);
  }
}

auto OnLeaseWriteAnswered(Lease& lease,
                          LeaseWriteOutcome answer,
                          std::uint64_t version,
                          TimePoint now,
                          Random& random,
                          LeaseActions& actions) -> void {
  lease.is_awaiting_answer = false;
  if (answer == LeaseWriteOutcome::kAccepted && lease.pending_write) {
    RecordAcceptedWrite(lease, version, now, random, actions);
    return;
  }
  // Another process wrote first or the answer was lost, so the stored record is
  // read to determine the outcome.
  lease.platform_failures += answer == LeaseWriteOutcome::kUnknown ? 1 : 0;
  lease.must_read_first = true;
  lease.next_call =
      now + AddJitter(lease.options.times.watch_interval, random) / 2;
}

auto GetEpochIfLeaseHeld(const Lease& lease, TimePoint now)
    -> std::optional<Epoch> {
  if (!lease.valid_until ||
      now >= *lease.valid_until - lease.options.times.margin) {
    return std::nullopt;
  }
  return lease.record.epoch;
}

auto StepDownForHigherEpoch(Lease& lease,
                            Epoch receiver_epoch,
                            TimePoint now,
                            LeaseActions& actions) -> void {
  lease.highest_seen_epoch = std::max(lease.highest_seen_epoch, receiver_epoch);
  RecordLeaseLoss(lease, actions);
  lease.must_read_first = true;
  lease.next_call = now;
}

auto CheckAndRecordEpoch(LeaseFence& fence, Epoch epoch) -> void {
  if (epoch < fence.highest_epoch) {
    ++fence.refused;
    throw Error(ErrorKind::kFenced,
                "lease epoch " + std::to_string(ToInteger(epoch)) +
                    " is fenced: expected at least epoch " +
                    std::to_string(ToInteger(fence.highest_epoch)));
  }
  fence.highest_epoch = epoch;
}

}  // namespace hawthornbank

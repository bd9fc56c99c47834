#include "transport/node_log_pairs.h"

#include <fmt/format.h>

#include <functional>
#include <string_view>

namespace hawthornbank::transport {
namespace {

auto Hash(const std::string& text) -> std::size_t {
  return std::hash<std::string>{}(text);
}

}  // namespace

auto OpeningPairs::AddLine(const LogLine& line) -> void {
  const std::string_view opening = FindField(line, "opening");
  if (opening.empty()) {
    return;
  }
  const std::string key =
      fmt::format("{} {}", FindField(line, "flow"), opening);
  if (line.event == "flow_confirmed") {
    if (confirmations_.size() < kMaxUnpairedLines) {
      confirmations_.emplace(Hash(key),
                             Side{.node = std::string(line.node),
                                  .peer = std::string(FindField(line, "agent")),
                                  .time_ms = line.time_ms});
    }
  } else if (line.event == "flow_relayed") {
    AddOffer(line, key);
  } else if (!FindField(line, "from").empty()) {
    AddDecision(line, key);
  }
}

auto OpeningPairs::AddOffer(const LogLine& line, const std::string& key)
    -> void {
  const auto asked = FindNumber(line, "asked");
  if (!asked.has_value() || *asked < 0 || offers_.size() >= kMaxUnpairedLines) {
    return;
  }
  const std::string_view copy = FindField(line, "copy");
  const Side side{.node = std::string(line.node),
                  .peer = std::string(FindField(line, "agent")),
                  .time_ms = line.time_ms};
  offers_.emplace(Hash(fmt::format("{} {} {}", key, copy, *asked)), side);
  if (FindField(line, "reason") == "sent_back") {
    offers_after_return_.emplace(
        Hash(fmt::format("{} {} {}", key, copy, *asked - 1)), side);
  }
}

auto OpeningPairs::AddDecision(const LogLine& line, const std::string& key)
    -> void {
  if (decisions_.size() >= kMaxUnpairedLines) {
    return;
  }
  const Side side{.node = std::string(line.node),
                  .peer = std::string(FindField(line, "from")),
                  .time_ms = line.time_ms,
                  .opening = Hash(key)};
  const auto offer = Hash(fmt::format("{} {} {}", key, FindField(line, "copy"),
                                      FindField(line, "asked")));
  decisions_.emplace(offer, side);
  if (line.event == "flow_sent_back") {
    returns_.emplace(offer, side);
  } else if (line.event == "flow_opened") {
    const auto [it, is_new] =
        deliveries_.emplace(Hash(key + ' ' + side.node), side);
    if (line.time_ms < it->second.time_ms) {
      it->second = side;
    }
  }
}

auto OpeningPairs::CompareClocks(const LogDirectory& directory) const
    -> ClockComparison {
  ClockComparison clocks;
  const auto are_peers = [&](const Side& one, const Side& other) {
    return MayHaveControl(directory, one.node, other.peer) &&
           MayHaveControl(directory, other.node, one.peer);
  };
  for (const auto& [key, decision] : decisions_) {
    const auto it = offers_.find(key);
    if (it != offers_.end() && are_peers(decision, it->second)) {
      AddOrderedLines(clocks, it->second.node, it->second.time_ms,
                      decision.node, decision.time_ms);
    }
  }
  for (const auto& [key, returned] : returns_) {
    const auto it = offers_after_return_.find(key);
    if (it != offers_after_return_.end() &&
        MayHaveControl(directory, it->second.node, returned.peer)) {
      AddOrderedLines(clocks, returned.node, returned.time_ms, it->second.node,
                      it->second.time_ms);
    }
  }
  for (const auto& [key, delivery] : deliveries_) {
    const auto it = confirmations_.find(delivery.opening);
    if (it != confirmations_.end() && are_peers(delivery, it->second)) {
      AddOrderedLines(clocks, delivery.node, delivery.time_ms, it->second.node,
                      it->second.time_ms);
    }
  }
  return clocks;
}

}  // namespace hawthornbank::transport

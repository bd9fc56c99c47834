#include "hawthornbank/membership_messages.h"

#include <cstddef>
#include <type_traits>

namespace hawthornbank {
namespace {

/// Archive that counts the bytes that a cereal binary archive would write.
class SizeCounter {
 public:
  using is_saving = std::true_type;

  template <class... Values>
  auto operator()(const Values&... values) -> void {
    (AddEncodedSizeOf(values), ...);
  }

  [[nodiscard]] auto size() const -> std::size_t { return size_; }

 private:
  template <class Value>
  auto AddEncodedSizeOf(const Value& value) -> void {
    if constexpr (std::is_arithmetic_v<Value> || std::is_enum_v<Value>) {
      size_ += sizeof(Value);
    } else {
      // serialize() is also used for loading, so it can't be const.
      const_cast<Value&>(value).serialize(*this);
    }
  }

  std::size_t size_ = 0;
};

template <class Message>
auto CountEncodedBytes(const Message& message) -> std::size_t {
  SizeCounter counter;
  counter(message);
  return counter.size();
}

template <class Record>
auto CheckStateAndIncarnation(const Record& record,
                              decltype(record.state) last_state) -> const
    char* {
  if (record.state > last_state) {
    return "unknown state";
  }
  return record.incarnation > kMaxUsableIncarnation ? "incarnation out of range"
                                                    : nullptr;
}

}  // namespace

auto CheckRecord(const TargetRecord& record) -> const char* {
  return CheckStateAndIncarnation(record, TargetState::kLeft);
}

auto CheckRecord(const BalancerRecord& record) -> const char* {
  return CheckStateAndIncarnation(record, BalancerState::kLeft);
}

auto ComputeEncodedSize(const TargetRecord& record) -> std::size_t {
  return CountEncodedBytes(record);
}

auto ComputeEncodedSize(const BalancerRecord& record) -> std::size_t {
  return CountEncodedBytes(record);
}

auto ComputeEncodedSize(const GenerationUpdate& update) -> std::size_t {
  return CountEncodedBytes(update);
}

auto ComputeEncodedSize(const Digest& digest) -> std::size_t {
  return CountEncodedBytes(digest);
}

auto ComputeEncodedSize(const Announcement& announcement) -> std::size_t {
  return CountEncodedBytes(announcement);
}

auto ComputeEncodedSize(const AnnouncementAck& ack) -> std::size_t {
  return CountEncodedBytes(ack);
}

}  // namespace hawthornbank

#include "soak/caller_packets.h"

namespace hawthornbank::soak {

auto RecordCallerPacket(CallerPackets& record, const CallerPacket& packet)
    -> void {
  if (record.packets.size() >= kMaxCallerPackets) {
    record.packets.pop_front();
  }
  record.packets.push_back(packet);
}

}  // namespace hawthornbank::soak

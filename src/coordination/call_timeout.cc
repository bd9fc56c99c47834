#include "hawthornbank/call_timeout.h"

#include <algorithm>

namespace hawthornbank {

auto MakeCallTimeout(Duration minimum, Duration maximum) -> CallTimeout {
  return CallTimeout{
      .minimum = minimum, .maximum = maximum, .current = minimum};
}

auto OnCallTimedOut(CallTimeout& timeout) -> void {
  timeout.current = std::min(timeout.current * 2, timeout.maximum);
}

auto OnCallAnswered(CallTimeout& timeout, Duration took) -> void {
  timeout.current = std::clamp(took * 2, timeout.minimum, timeout.maximum);
}

}  // namespace hawthornbank

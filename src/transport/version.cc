#include "transport/version.h"

namespace hawthornbank::transport {

auto GetVersion() -> const char* {
  return "0.1.0";
}

}  // namespace hawthornbank::transport

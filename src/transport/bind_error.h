#ifndef HAWTHORNBANK_SRC_TRANSPORT_BIND_ERROR_H_
#define HAWTHORNBANK_SRC_TRANSPORT_BIND_ERROR_H_

#include <string>

#include "hawthornbank/error.h"

namespace hawthornbank::transport {

/// A configured address that a socket can't be bound to. Another process may
/// still use the address.
class BindError : public Error {
 public:
  /// @param message The address, and what failed.
  explicit BindError(const std::string& message)
      : Error(ErrorKind::kInvalidSettings, message) {}
};

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_BIND_ERROR_H_

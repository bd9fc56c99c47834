#include "transport/http_failure.h"

namespace hawthornbank::transport {

auto DescribeHttpFailure(const httplib::Result& result) -> std::string {
  if (result) {
    return "HTTP status " + std::to_string(result->status);
  }
  switch (result.error()) {
    case httplib::Error::Connection:
      return "no connection";
    case httplib::Error::Read:
      return "no answer in time, or the connection was closed";
    case httplib::Error::Write:
      return "the connection was closed";
    default:
      return httplib::to_string(result.error());
  }
}

}  // namespace hawthornbank::transport

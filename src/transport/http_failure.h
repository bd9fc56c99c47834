#ifndef HAWTHORNBANK_SRC_TRANSPORT_HTTP_FAILURE_H_
#define HAWTHORNBANK_SRC_TRANSPORT_HTTP_FAILURE_H_

#include <httplib.h>

#include <string>

/// @file
/// Descriptions of failed HTTP calls for error messages.
namespace hawthornbank::transport {

/// Describes a failed HTTP call.
/// @param result Result of the call.
/// @return The status, such as "HTTP status 503", or the reason why there is no
///         response.
auto DescribeHttpFailure(const httplib::Result& result) -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_HTTP_FAILURE_H_

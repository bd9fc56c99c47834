#ifndef HAWTHORNBANK_SRC_TRANSPORT_HTTP_FAILURE_H_
#define HAWTHORNBANK_SRC_TRANSPORT_HTTP_FAILURE_H_

#include <httplib.h>

#include <string>

/// @file
/// Words for calls over HTTP that failed.
namespace hawthornbank::transport {

/// @param result What a call brought.
/// @return "HTTP status 503" or why there is no answer.
auto DescribeFailure(const httplib::Result& result) -> std::string;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_HTTP_FAILURE_H_

#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_REPORT_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_REPORT_H_

#include <iosfwd>
#include <string>

#include "requests.h"
#include "watches.h"

namespace hawthornbank::load {

/// Renders all counters and latencies of a run as JSON.
/// @param watches The watches of the run.
/// @param requests The requests and uploads of the run.
/// @return JSON text.
auto FormatReportAsJson(const Watches& watches, const Requests& requests)
    -> std::string;

/// Prints the counters of the watches, and a table of the counters and
/// latencies of requests and uploads by service.
/// @param out Stream to print to.
/// @param watches The watches of the run.
/// @param requests The requests and uploads of the run.
auto PrintRunSummary(std::ostream& out,
                     const Watches& watches,
                     const Requests& requests) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_REPORT_H_

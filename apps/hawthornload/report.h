#ifndef HAWTHORNBANK_APPS_HAWTHORNLOAD_REPORT_H_
#define HAWTHORNBANK_APPS_HAWTHORNLOAD_REPORT_H_

#include <iosfwd>
#include <string>

#include "requests.h"
#include "watches.h"

namespace hawthornbank::load {

/// Renders all counters and latencies of a run.
/// @param watches The watches.
/// @param requests The requests and uploads.
/// @return JSON text.
auto FormatReportAsJson(const Watches& watches, const Requests& requests)
    -> std::string;

/// Prints a summary table.
/// @param out Stream to print to.
/// @param watches The watches.
/// @param requests The requests and uploads.
auto PrintSummary(std::ostream& out,
                  const Watches& watches,
                  const Requests& requests) -> void;

}  // namespace hawthornbank::load

#endif  // HAWTHORNBANK_APPS_HAWTHORNLOAD_REPORT_H_

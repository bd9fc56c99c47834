#include "transport/http_header.h"

#include <strings.h>

namespace hawthornbank::transport {
namespace {

auto FinishHeader(HeaderReader& reader) -> void {
  if (reader.name.size() == reader.wanted.size() &&
      strncasecmp(reader.name.data(), reader.wanted.data(),
                  reader.name.size()) == 0) {
    reader.result = reader.value;
  }
  reader.name.clear();
  reader.value.clear();
  reader.has_value = false;
}

}  // namespace

auto OnHeaderName(HeaderReader& reader, std::string_view text) -> void {
  if (reader.has_value) {
    FinishHeader(reader);
  }
  reader.name += text;
}

auto OnHeaderValue(HeaderReader& reader, std::string_view text) -> void {
  reader.has_value = true;
  reader.value += text;
}

auto OnHeadersEnd(HeaderReader& reader) -> void {
  FinishHeader(reader);
}

}  // namespace hawthornbank::transport

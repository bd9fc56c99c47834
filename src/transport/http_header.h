#ifndef HAWTHORNBANK_SRC_TRANSPORT_HTTP_HEADER_H_
#define HAWTHORNBANK_SRC_TRANSPORT_HTTP_HEADER_H_

#include <string>
#include <string_view>

/// @file
/// Reads the value of one header of an HTTP message.
namespace hawthornbank::transport {

/// State of a reader of a message's headers, which the parser delivers in
/// pieces.
struct HeaderReader {
  std::string_view wanted;  ///< Name of the header to read, in any case.
  std::string result;       ///< The header's value; empty if there is none.
  std::string name;         ///< Name of the current header.
  std::string value;        ///< Value of the current header.
  bool has_value = false;   ///< The name of the current header is complete.
};

/// Handles a piece of a header's name.
/// @param reader State of the reader.
/// @param text The piece.
auto OnHeaderName(HeaderReader& reader, std::string_view text) -> void;

/// Handles a piece of a header's value.
/// @param reader State of the reader.
/// @param text The piece.
auto OnHeaderValue(HeaderReader& reader, std::string_view text) -> void;

/// Handles the end of the headers; the result is complete then.
/// @param reader State of the reader.
auto OnHeadersEnd(HeaderReader& reader) -> void;

}  // namespace hawthornbank::transport

#endif  // HAWTHORNBANK_SRC_TRANSPORT_HTTP_HEADER_H_

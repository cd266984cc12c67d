// Whether the head of a response can be interpreted. The parser checks its syntax only, so it also
// takes heads of which nobody can tell what they mean or where the response ends. Nothing that such
// a head says is to be believed, and the request may have been executed.
#pragma once

#include "connection/http.h"

namespace apricot {

/// Whether HTTP gives statuses of that class a meaning: 100 to 599 (RFC 9110, section 15).
bool isHttpStatus(unsigned status);

/// Whether a response with that status completes an exchange: informational ones (1xx) don't.
bool isFinalStatus(unsigned status);

/// Whether a line of the head begins with a blank. Once it continued the line before; what a server
/// in trouble means by it is unknown, and it may be the field that says where the answer ends. A
/// gateway may refuse such an answer (RFC 9112, section 5.2). The parser joins the lines.
bool hasFoldedLine(std::string_view head);

/// Why the parsed head can't be interpreted; empty if it can.
std::string headDefect(const HttpHead &head);

/// The status line of a head for logs: printable ASCII, of bounded length.
std::string statusLineText(std::string_view head);

} // namespace apricot

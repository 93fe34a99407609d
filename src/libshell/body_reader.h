// Takes body bytes out of a parser, whatever the framing.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string>

namespace camphor::shell {

/// Appends decoded body bytes from `input` to `out` until `out` holds `limit` bytes, the input
/// needs more, or the message is complete. `error` is set on bad framing only.
template <class Parser>
void take_body_bytes(Parser& parser, boost::beast::flat_buffer& input, std::string& out,
                     std::size_t limit, boost::system::error_code& error)
{
    namespace http = boost::beast::http;
    error = {};
    while (!parser.is_done() && input.size() > 0 && out.size() < limit) {
        const auto held = out.size();
        const auto room = std::min(limit - held, input.size());
        out.resize(held + room);
        auto& body = parser.get().body();
        body.data = &out[held];
        body.size = room;
        body.more = true;
        const auto used = parser.put(input.data(), error);
        input.consume(used);
        out.resize(held + room - body.size);
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (error == http::error::need_more) {
            error = {};
            return;
        }
        if (error) {
            return;
        }
    }
}

} // namespace camphor::shell

// Frames between nodes to and from bytes.
#include "libshell/wire_codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace camphor::shell {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using compact = TCompactProtocolT<TMemoryBuffer>;

constexpr std::uint32_t byte_bits = 8;

template <class Frame>
std::string encode(const Frame& frame)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    compact protocol(buffer);
    frame.write(&protocol);
    const auto body = buffer->getBufferAsString();
    if (body.size() > frame_limit_bytes) {
        throw wire_error("frame of " + std::to_string(body.size()) + " bytes is over the limit");
    }
    std::string out;
    out.reserve(frame_header_bytes + body.size());
    for (auto shift = frame_header_bytes; shift-- > 0;) {
        out.push_back(static_cast<char>((body.size() >> (shift * byte_bits)) & 0xFFU));
    }
    return out + body;
}

template <class Frame>
Frame decode(const std::string& body)
{
    try {
        const auto buffer = std::make_shared<TMemoryBuffer>();
        // The transport only reads from the borrowed bytes.
        auto* bytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(body.data()));
        buffer->resetBuffer(bytes, static_cast<std::uint32_t>(body.size()), TMemoryBuffer::OBSERVE);
        compact protocol(buffer, static_cast<std::int32_t>(frame_limit_bytes),
                         static_cast<std::int32_t>(frame_limit_bytes));
        Frame out;
        const auto used = out.read(&protocol);
        if (used != body.size()) {
            throw wire_error("bytes follow the frame");
        }
        return out;
    } catch (const apache::thrift::TException& error) {
        throw wire_error(std::string("not a frame: ") + error.what());
    }
}

} // namespace

std::string encode_frame(const wire::frame& frame)
{
    return encode(frame);
}

std::string encode_frame(const mesh_wire::mesh_frame& frame)
{
    return encode(frame);
}

std::uint32_t decode_length(const std::uint8_t* header)
{
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < frame_header_bytes; ++i) {
        length = (length << byte_bits) | header[i];
    }
    if (length > frame_limit_bytes) {
        throw wire_error("frame of " + std::to_string(length) + " bytes is over the limit");
    }
    return length;
}

wire::frame decode_frame(const std::string& body)
{
    return decode<wire::frame>(body);
}

mesh_wire::mesh_frame decode_mesh_frame(const std::string& body)
{
    return decode<mesh_wire::mesh_frame>(body);
}

} // namespace camphor::shell

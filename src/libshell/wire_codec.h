// Frames between nodes to and from bytes: Thrift's compact protocol behind a 4-byte length.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mesh_types.h>
#include <stdexcept>
#include <string>
#include <wire_types.h>

namespace camphor::shell {

/// Bytes of the big-endian length before each frame.
inline constexpr std::size_t frame_header_bytes = 4;
/// Larger frames are refused.
inline constexpr std::uint32_t frame_limit_bytes = 16U * 1024 * 1024;
inline constexpr std::int32_t protocol_version = 1;

/// A frame that breaks the format or the limit.
class wire_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Header and body, ready to send.
/// @throws wire_error when the body is over the limit
std::string encode_frame(const wire::frame& frame);

/// The same for frames between the nodes of a platform mesh.
std::string encode_frame(const mesh_wire::mesh_frame& frame);

/// The body's length from its header.
/// @throws wire_error when it is over the limit
std::uint32_t decode_length(const std::uint8_t* header);

/// @throws wire_error when the bytes are not exactly one frame
wire::frame decode_frame(const std::string& body);
/// The same for frames between the nodes of a platform mesh.
mesh_wire::mesh_frame decode_mesh_frame(const std::string& body);

} // namespace camphor::shell

// Splitting and assembly of bodies that travel between nodes in parts.
#include "libmesh/body_parts.h"

#include <algorithm>
#include <utility>

namespace camphor::mesh {

mesh_wire::mesh_frame body_splitter::add(mesh_wire::mesh_frame frame, body_ptr body)
{
    outgoing_body added;
    added.id = ++last_id_;
    mesh_wire::split_message split;
    split.__set_body_id(added.id);
    split.__set_length(static_cast<std::int64_t>(body->size()));
    if (frame.__isset.run) {
        added.run = frame.run.call;
        split.run = std::move(frame.run);
        split.__isset.run = true;
    } else {
        split.answer = std::move(frame.answer);
        split.__isset.answer = true;
    }
    added.content = std::move(body);
    bodies_.push_back(std::move(added));
    mesh_wire::mesh_frame announcement;
    announcement.split = std::move(split);
    announcement.__isset.split = true;
    return announcement;
}

std::optional<mesh_wire::mesh_frame> body_splitter::drop_run(std::int64_t call)
{
    const auto found = std::find_if(bodies_.begin(), bodies_.end(),
                                    [call](const auto& body) { return body.run == call; });
    if (found == bodies_.end()) {
        return std::nullopt;
    }
    mesh_wire::body_part notice;
    notice.__set_body_id(found->id);
    notice.__set_dropped(true);
    bodies_.erase(found);
    mesh_wire::mesh_frame frame;
    frame.__set_part(notice);
    return frame;
}

std::optional<mesh_wire::mesh_frame> body_splitter::next_part()
{
    if (bodies_.empty()) {
        return std::nullopt;
    }
    auto body = std::move(bodies_.front());
    bodies_.pop_front();
    mesh_wire::mesh_frame frame;
    frame.part.__set_body_id(body.id);
    frame.part.__set_data(body.content->substr(body.sent, body_part_bytes));
    frame.__isset.part = true;
    body.sent += frame.part.data.size();
    if (body.sent < body.content->size()) {
        bodies_.push_back(std::move(body));
    }
    return frame;
}

frame_ptr body_assembler::add(const mesh_wire::mesh_frame& frame)
{
    return frame.__isset.split ? add_split(frame.split) : add_part(frame.part);
}

frame_ptr body_assembler::add_split(const mesh_wire::split_message& split)
{
    const bool has_content = split.__isset.run != split.__isset.answer;
    if (!has_content || split.length <= 0 ||
        split.length > static_cast<std::int64_t>(max_split_body_bytes) ||
        bodies_.contains(split.body_id)) {
        throw body_part_error("invalid split message");
    }
    auto& body = bodies_[split.body_id];
    body.length = static_cast<std::size_t>(split.length);
    if (split.__isset.run) {
        body.frame.__set_run(split.run);
    } else {
        body.frame.__set_answer(split.answer);
    }
    return nullptr;
}

frame_ptr body_assembler::add_part(const mesh_wire::body_part& part)
{
    const auto found = bodies_.find(part.body_id);
    if (found == bodies_.end()) {
        throw body_part_error("part of an unknown body");
    }
    auto& body = found->second;
    if (part.dropped) {
        buffered_bytes_ -= body.content.size();
        bodies_.erase(found);
        return nullptr;
    }
    if (part.data.empty() || part.data.size() > body.length - body.content.size()) {
        throw body_part_error("body of another length than announced");
    }
    body.content += part.data;
    buffered_bytes_ += part.data.size();
    if (body.content.size() < body.length) {
        return nullptr;
    }
    buffered_bytes_ -= body.length;
    auto complete = std::make_shared<mesh_wire::mesh_frame>(std::move(body.frame));
    auto& content = complete->__isset.run ? complete->run.body : complete->answer.body;
    content = std::move(body.content);
    bodies_.erase(found);
    return complete;
}

} // namespace camphor::mesh

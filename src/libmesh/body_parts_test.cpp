// Bodies in parts: lengths round the limits, interleaving, cancelled runs and invalid messages.
#define BOOST_TEST_MODULE body_parts
#include "libmesh/body_parts.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <ostream>
#include <vector>

using namespace camphor;
using namespace camphor::mesh;

namespace {

body_ptr body_of(std::size_t length, char first = 'a')
{
    auto body = std::make_shared<std::string>(length, first);
    for (std::size_t i = 0; i < length; i += 251) {
        (*body)[i] = static_cast<char>(first + static_cast<char>(i % 7));
    }
    return body;
}

mesh_wire::mesh_frame run_frame(std::int64_t call)
{
    mesh_wire::mesh_frame frame;
    frame.run.__set_call(call);
    frame.__isset.run = true;
    return frame;
}

mesh_wire::mesh_frame part_frame(std::int64_t id, const std::string& data)
{
    mesh_wire::mesh_frame frame;
    frame.part.__set_body_id(id);
    frame.part.__set_data(data);
    frame.__isset.part = true;
    return frame;
}

mesh_wire::mesh_frame split_frame(std::int64_t id, std::int64_t length, bool has_run = true)
{
    mesh_wire::mesh_frame frame;
    frame.split.__set_body_id(id);
    frame.split.__set_length(length);
    if (has_run) {
        frame.split.__set_run(run_frame(id).run);
    }
    frame.__isset.split = true;
    return frame;
}

} // namespace

BOOST_DATA_TEST_CASE(a_body_arrives_whole,
                     boost::unit_test::data::make(std::vector<std::size_t>{
                         1, body_part_bytes - 1, body_part_bytes, body_part_bytes + 1,
                         17UL * 1024 * 1024, 64UL * 1024 * 1024}),
                     length)
{
    body_splitter sender;
    body_assembler receiver;
    const auto body = body_of(length);
    BOOST_TEST(!receiver.add(sender.add(run_frame(7), body)));
    frame_ptr complete;
    while (const auto part = sender.next_part()) {
        BOOST_TEST(!complete);
        BOOST_TEST(part->part.data.size() <= body_part_bytes);
        complete = receiver.add(*part);
    }
    BOOST_REQUIRE(complete);
    BOOST_TEST(complete->run.call == 7);
    BOOST_TEST((complete->run.body == *body));
    BOOST_TEST(receiver.buffered_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(bodies_take_turns)
{
    body_splitter sender;
    body_assembler receiver;
    receiver.add(sender.add(run_frame(1), body_of(10 * body_part_bytes)));
    const auto small = body_of(body_part_bytes + 1, 'm');
    receiver.add(sender.add(run_frame(2), small));
    frame_ptr complete;
    int parts = 0;
    while (!complete) {
        ++parts;
        complete = receiver.add(sender.next_part().value());
    }
    BOOST_TEST(parts == 4);
    BOOST_TEST((complete->run.body == *small));
}

BOOST_AUTO_TEST_CASE(the_rest_of_a_cancelled_body_is_dropped)
{
    body_splitter sender;
    body_assembler receiver;
    receiver.add(sender.add(run_frame(1), body_of(3 * body_part_bytes)));
    receiver.add(sender.next_part().value());
    BOOST_TEST(receiver.buffered_bytes() == body_part_bytes);
    const auto notice = sender.drop_run(1);
    BOOST_REQUIRE(notice.has_value());
    BOOST_TEST(!receiver.add(*notice));
    BOOST_TEST(sender.empty());
    BOOST_TEST(receiver.buffered_bytes() == 0U);
    BOOST_TEST(!sender.drop_run(1));
}

namespace {

struct invalid_case {
    const char* name;
    std::vector<mesh_wire::mesh_frame> frames;
};

std::ostream& operator<<(std::ostream& out, const invalid_case& sample)
{
    return out << sample.name;
}

const std::vector<invalid_case> invalid_cases{
    {"a part of an unknown body", {part_frame(1, "x")}},
    {"a part beyond the announced length", {split_frame(1, 2), part_frame(1, "xyz")}},
    {"an empty part", {split_frame(1, 2), part_frame(1, "")}},
    {"a part after the end", {split_frame(1, 1), part_frame(1, "x"), part_frame(1, "x")}},
    {"no length", {split_frame(1, 0)}},
    {"a negative length", {split_frame(1, -1)}},
    {"a length over the limit",
     {split_frame(1, static_cast<std::int64_t>(max_split_body_bytes) + 1)}},
    {"no content", {split_frame(1, 1, false)}},
    {"an id in use", {split_frame(1, 1), split_frame(1, 1)}},
};

} // namespace

BOOST_DATA_TEST_CASE(invalid_messages_are_refused, boost::unit_test::data::make(invalid_cases),
                     sample)
{
    body_assembler receiver;
    const auto add_all = [&] {
        for (const auto& frame : sample.frames) {
            receiver.add(frame);
        }
    };
    BOOST_CHECK_THROW(add_all(), body_part_error);
}

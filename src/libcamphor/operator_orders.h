// Operators' requests as orders for the change writer.
#pragma once

#include <camphortally/change_writer.h>

namespace camphor {

/// The order of a PUT, with kind and name from its path.
/// @throws invalid_input listing every fault of the body
change_order order_of(const put_requested& event);

/// The order of a DELETE.
change_order order_of(const delete_requested& event);

/// Fits an operator's order for a move in progress to `base`: an edit keeps the status, which is
/// the control duty's to write; a deletion takes the move back and keeps its record.
void bring_up_to_date(change_order& order, const snapshot& base, wall_time now);

} // namespace camphor

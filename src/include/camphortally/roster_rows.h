// Rows of the table that lead a starting node to the mesh when its seeds are gone.
#pragma once

#include <camphortally/effect.h>
#include <camphortally/platform_client.h>

#include <cstdint>
#include <string>

namespace camphor {

struct step_context;

/// A relay's row.
struct roster_row {
    std::string zone;
    peer_address address;
    /// Wall clock.
    std::int64_t written_at = 0;
};

/// @throws invalid_input for a row that names no relay to connect to
roster_row parse_roster_row(const std::string& value);

/// Table layout: `roster/<node>` holds `{"zone","host","port","at"}` of a relay, written while it
/// is one. Only relays write, so that the number of rows follows the number of zones.
class roster_rows {
public:
    /// Writes this relay's row and looks for stale rows of its zone.
    void refresh(step_context& context);
    /// Deletes this node's row.
    void withdraw(step_context& context);
    /// Reads the rows; each address found goes to membership::join_at.
    void look_up(step_context& context);
    void on_platform(step_context& context, const platform_ticket& ticket,
                     const platform_reply& reply);

private:
    void delete_stale(step_context& context, const platform_reply& reply);
};

} // namespace camphor

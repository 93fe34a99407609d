// Files of resources as operators write them: one resource, an array of them, or JSON lines.
#pragma once

#include <camphortally/resource.h>

#include <string>
#include <vector>

namespace camphor::shell {

/// One fault of one file.
struct file_fault {
    std::string file;
    /// Points into the file's document. For JSON lines the first token is the line's number, from
    /// 1, as `line:N`.
    std::string pointer;
    std::string reason;
};

/// `FILE: POINTER: REASON`, the form in which the tools print it.
std::string to_string(const file_fault& item);

/// A resource and where it stands.
struct placed_resource {
    std::string file;
    /// Pointer to the resource within its file; empty when it is the whole document.
    std::string pointer;
    resource item;
};

struct resource_files {
    std::vector<placed_resource> resources;
    std::vector<file_fault> faults;
};

/// Reads every file; a resource with a fault is left out and its faults are listed. A status, as
/// `camphorctl get` prints it, is ignored.
resource_files read_resource_files(const std::vector<std::string>& paths);

/// Every fault of `files`: those of reading, rules of each resource alone, duplicate names, and,
/// once every resource can be read, dangling references and overlapping moves. `now` is what a
/// move's deadline is compared with.
std::vector<file_fault> check_resources(const resource_files& files, wall_time now);

/// Sorts so that each resource stands after those it refers to: services, upstreams, routes, moves.
void sort_for_apply(std::vector<placed_resource>& resources);

} // namespace camphor::shell

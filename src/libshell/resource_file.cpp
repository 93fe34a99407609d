// Reads and checks files of resources.
#include "libshell/resource_file.h"

#include "libshell/node_settings_reader.h"

#include <camphortally/schema.h>
#include <camphortally/snapshot.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <utility>

namespace camphor::shell {

namespace {

using nlohmann::json;

void add_faults(std::vector<file_fault>& out, const std::string& file, const std::string& base,
                const std::vector<fault>& faults)
{
    for (const auto& item : faults) {
        out.push_back({file, base + item.pointer, item.reason});
    }
}

bool is_blank(const std::string& line)
{
    return line.find_first_not_of(" \t\r") == std::string::npos;
}

/// More than one line, the first of them an object by itself.
bool is_json_lines(const std::string& text)
{
    std::istringstream lines(text);
    std::string line;
    std::string first;
    int count = 0;
    while (count < 2 && std::getline(lines, line)) {
        if (!is_blank(line)) {
            first = count == 0 ? line : first;
            ++count;
        }
    }
    return count == 2 && first.starts_with('{') && first.ends_with('}');
}

/// Reads one file into `out`.
class file_reader {
public:
    file_reader(std::string file, resource_files& out) : file_(std::move(file)), out_(out) {}

    void read()
    {
        const auto text = guarded("", [&] { return read_file(file_); });
        if (!text) {
            return;
        }
        if (is_json_lines(*text)) {
            read_lines(*text);
        } else if (const auto document = guarded("", [&] { return parse_json(*text); })) {
            read_document(*document);
        }
    }

private:
    /// Runs `action` and lists the faults that it throws.
    template <class Action>
    auto guarded(const std::string& base, Action action) -> std::optional<decltype(action())>
    {
        try {
            return action();
        } catch (const invalid_input& error) {
            add_faults(out_.faults, file_, base, error.faults());
            return std::nullopt;
        }
    }

    void read_document(const json& document)
    {
        if (!document.is_array()) {
            read_resource(document, "");
            return;
        }
        for (std::size_t i = 0; i < document.size(); ++i) {
            read_resource(document[i], "/" + std::to_string(i));
        }
    }

    void read_lines(const std::string& text)
    {
        std::istringstream lines(text);
        std::string line;
        for (int number = 1; std::getline(lines, line); ++number) {
            if (is_blank(line)) {
                continue;
            }
            const auto base = "/line:" + std::to_string(number);
            if (const auto document = guarded(base, [&] { return parse_json(line); })) {
                read_resource(*document, base);
            }
        }
    }

    void read_resource(json document, const std::string& base)
    {
        if (document.is_object()) {
            document.erase("status");
        }
        if (auto item = guarded(base, [&] { return parse_resource(document.dump()); })) {
            out_.resources.push_back({file_, base, std::move(*item)});
        }
    }

    std::string file_;
    resource_files& out_;
};

/// Rules between resources, each fault told of the resource that breaks it.
class set_check {
public:
    explicit set_check(const std::vector<placed_resource>& resources) : resources_(resources) {}

    /// Names are compared always; references only when no resource is left out.
    std::vector<file_fault> run(bool is_whole)
    {
        for (const auto& placed : resources_) {
            add(placed);
        }
        if (is_whole) {
            check_references();
        }
        return std::move(faults_);
    }

private:
    void add(const placed_resource& placed)
    {
        const auto [held, is_new] = first_.emplace(placed.item.key, &placed);
        if (!is_new) {
            faults_.push_back({placed.file, placed.pointer + "/name",
                               "another " + to_string(placed.item.key.kind) + " is named \"" +
                                   placed.item.key.name + "\", in " + held->second->file +
                                   held->second->pointer});
        }
    }

    void check_references()
    {
        snapshot::resource_map items;
        for (const auto& [key, placed] : first_) {
            items[key] = std::make_shared<const resource>(placed->item);
        }
        for (const auto& item : check_closure(snapshot(config_version{1}, items))) {
            place(item);
        }
    }

    /// A closure fault's pointer starts with `/<kind>s/<name>`.
    void place(const fault& item)
    {
        const auto after_kind = item.pointer.find('/', 1);
        const auto after_name = item.pointer.find('/', after_kind + 1);
        const auto kind = parse_resource_kind(item.pointer.substr(1, after_kind - 1));
        const auto name = item.pointer.substr(after_kind + 1, after_name - after_kind - 1);
        const auto* placed = first_.at({kind.value(), name});
        faults_.push_back(
            {placed->file, placed->pointer + item.pointer.substr(after_name), item.reason});
    }

    const std::vector<placed_resource>& resources_;
    std::map<resource_key, const placed_resource*> first_;
    std::vector<file_fault> faults_;
};

} // namespace

std::string to_string(const file_fault& item)
{
    return item.file + ": " + (item.pointer.empty() ? "/" : item.pointer) + ": " + item.reason;
}

resource_files read_resource_files(const std::vector<std::string>& paths)
{
    resource_files out;
    for (const auto& path : paths) {
        file_reader(path, out).read();
    }
    return out;
}

std::vector<file_fault> check_resources(const resource_files& files, wall_time now)
{
    auto faults = files.faults;
    for (const auto& placed : files.resources) {
        add_faults(faults, placed.file, placed.pointer, check_resource(placed.item, now));
    }
    auto between = set_check(files.resources).run(files.faults.empty());
    std::move(between.begin(), between.end(), std::back_inserter(faults));
    return faults;
}

void sort_for_apply(std::vector<placed_resource>& resources)
{
    std::stable_sort(resources.begin(), resources.end(), [](const auto& left, const auto& right) {
        return left.item.key.kind < right.item.key.kind;
    });
}

} // namespace camphor::shell

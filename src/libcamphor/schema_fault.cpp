// Words schema violations from the schema itself: which value was wanted, in which unit.
#include "schema_fault.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace camphor {

namespace {

using nlohmann::json;

const std::string missing_prefix = "Missing required property '";
const std::string unknown_prefix = "Object contains a property";
/// Reported beside the violation of an inner value.
const std::string outer_prefix = "Failed to validate";

constexpr std::array<std::pair<const char*, const char*>, 3> units{{
    {"_ms", " of milliseconds"},
    {"_bytes", " of bytes"},
    {"_permille", " of parts per thousand"},
}};

/// The schema of the value at `path`; an empty object when the schema says nothing of it.
json schema_at(const json& schema, const std::vector<std::string>& path)
{
    const json* at = &schema;
    for (const auto& key : path) {
        const auto properties = at->find("properties");
        const auto others = at->find("additionalProperties");
        const auto items = at->find("items");
        if (properties != at->end() && properties->contains(key)) {
            at = &properties->at(key);
        } else if (others != at->end() && others->is_object()) {
            at = &*others;
        } else if (items != at->end()) {
            at = &*items;
        } else {
            return json::object();
        }
    }
    return *at;
}

const json* value_at(const json& document, const std::vector<std::string>& path)
{
    const json* at = &document;
    for (const auto& key : path) {
        if (at->is_object() && at->contains(key)) {
            at = &at->at(key);
        } else if (at->is_array()) {
            at = &at->at(std::stoul(key));
        } else {
            return nullptr;
        }
    }
    return at;
}

std::string unit_of(const std::string& key)
{
    for (const auto& [suffix, unit] : units) {
        if (key.ends_with(suffix)) {
            return unit;
        }
    }
    return "";
}

std::string list_of(const json& values)
{
    std::string out;
    for (const auto& value : values) {
        out += (out.empty() ? "" : ", ") + value.get<std::string>();
    }
    return out;
}

std::string number_wanted(const json& schema, const std::string& key)
{
    std::string out = "must be a whole number" + unit_of(key);
    if (schema.contains("minimum") && schema.contains("maximum")) {
        out += " from " + schema.at("minimum").dump() + " to " + schema.at("maximum").dump();
    }
    return out;
}

std::string string_wanted(const json& schema)
{
    std::string out = "must be a string";
    const auto least = schema.value("minLength", 0);
    if (schema.contains("maxLength")) {
        out +=
            " of " + std::to_string(least) + " to " + schema.at("maxLength").dump() + " characters";
    } else if (least > 0) {
        out += " that is not empty";
    }
    return out;
}

std::string wanted(const json& schema, const std::string& key)
{
    if (schema.contains("description")) {
        return "must be " + schema.at("description").get<std::string>();
    }
    if (schema.contains("enum")) {
        return "must be one of " + list_of(schema.at("enum"));
    }
    const auto type = schema.value("type", "");
    if (type == "integer") {
        return number_wanted(schema, key);
    }
    if (type == "string") {
        return string_wanted(schema);
    }
    if (type == "boolean") {
        return "must be true or false";
    }
    if (type == "array") {
        return "must be an array of at most " +
               schema.value("maxItems", json("any number")).dump() + " items";
    }
    if (schema.contains("maxProperties")) {
        return "must be an object of at most " + schema.at("maxProperties").dump() + " members";
    }
    return "must be an object";
}

std::string stem_of(const std::string& key)
{
    return key.substr(0, key.rfind('_'));
}

/// The known key that differs in its unit only, such as `timeout_ms` for `timeout_s`.
std::string similar_key(const json& properties, const std::string& key)
{
    for (const auto& [known, unused] : properties.items()) {
        if (stem_of(known) == stem_of(key) || stem_of(known) == key || known == stem_of(key)) {
            return known;
        }
    }
    return "";
}

std::string pointer_of(const std::string& base, const std::vector<std::string>& path)
{
    std::string out = base;
    for (const auto& key : path) {
        out += "/";
        out += pointer_token(key);
    }
    return out;
}

/// Collects the faults, each pointer once.
class fault_list {
public:
    void add(const std::string& pointer, const std::string& reason)
    {
        if (seen_.insert(pointer).second) {
            faults_.push_back({pointer, reason});
        }
    }

    void add_unknown_keys(const json& schema, const json& object, const std::string& pointer)
    {
        const auto properties = schema.value("properties", json::object());
        for (const auto& [key, unused] : object.items()) {
            if (properties.contains(key)) {
                continue;
            }
            const auto similar = similar_key(properties, key);
            const auto hint = similar.empty() ? "" : "; \"" + similar + "\" is known";
            add(pointer + "/" + pointer_token(key), "unknown key" + hint);
        }
    }

    std::vector<fault> take() { return std::move(faults_); }

private:
    std::set<std::string> seen_;
    std::vector<fault> faults_;
};

} // namespace

std::string pointer_token(const std::string& key)
{
    std::string out;
    for (const char c : key) {
        if (c == '~') {
            out += "~0";
        } else if (c == '/') {
            out += "~1";
        } else {
            out += c;
        }
    }
    return out;
}

std::vector<fault> to_faults(const json& schema, const json& document,
                             const std::vector<schema_violation>& violations,
                             const std::string& base)
{
    fault_list faults;
    for (const auto& item : violations) {
        const auto pointer = pointer_of(base, item.path);
        const auto local = schema_at(schema, item.path);
        const auto* value = value_at(document, item.path);
        if (item.text.starts_with(missing_prefix)) {
            const auto end = item.text.rfind('\'');
            auto path = item.path;
            path.push_back(item.text.substr(missing_prefix.size(), end - missing_prefix.size()));
            faults.add(pointer_of(base, path), "is missing");
        } else if (item.text.starts_with(unknown_prefix) && value != nullptr) {
            faults.add_unknown_keys(local, *value, pointer);
        } else if (!item.text.starts_with(outer_prefix)) {
            faults.add(pointer, wanted(local, item.path.empty() ? "" : item.path.back()));
        }
    }
    auto found = faults.take();
    if (found.empty()) {
        found.push_back({base, "does not fit its schema"});
    }
    return found;
}

} // namespace camphor

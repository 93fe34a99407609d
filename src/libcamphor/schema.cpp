// Checks documents against their JSON Schemas.
#include <camphortally/schema.h>

#include "schema_fault.h"
#include "schema_texts.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <array>
#include <memory>
#include <vector>

namespace camphor {

namespace {

/// Deeper documents are refused before they are built, since copying and writing them recurses.
constexpr int nesting_limit = 64;

struct loaded_schema {
    nlohmann::json text;
    valijson::Schema schema;
};

std::unique_ptr<loaded_schema> load_schema(const std::string& text)
{
    auto out = std::make_unique<loaded_schema>();
    out->text = nlohmann::json::parse(text);
    valijson::SchemaParser parser;
    const valijson::adapters::NlohmannJsonAdapter adapter(out->text);
    parser.populateSchema(adapter, out->schema);
    return out;
}

const loaded_schema& schema_of(schema_name name)
{
    static const auto schemas = [] {
        std::array<std::unique_ptr<loaded_schema>, schema_count> loaded;
        for (std::size_t i = 0; i < schema_count; ++i) {
            loaded.at(i) = load_schema(schema_texts.at(i));
        }
        return loaded;
    }();
    return *schemas.at(static_cast<std::size_t>(name));
}

/// valijson writes a path as "<root>", "[spec]", "[slots]".
std::vector<std::string> to_path(const std::vector<std::string>& context)
{
    std::vector<std::string> path;
    for (const auto& part : context) {
        if (part.size() >= 2 && part.front() == '[') {
            path.push_back(part.substr(1, part.size() - 2));
        }
    }
    return path;
}

} // namespace

const std::string& schema_text(schema_name name)
{
    return schema_texts.at(static_cast<std::size_t>(name));
}

std::vector<fault> check_schema(schema_name name, const nlohmann::json& document,
                                const std::string& base)
{
    const auto& wanted = schema_of(name);
    valijson::Validator validator;
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter adapter(document);
    if (validator.validate(wanted.schema, adapter, &results)) {
        return {};
    }
    std::vector<schema_violation> violations;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        violations.push_back({to_path(error.context), error.description});
    }
    return to_faults(wanted.text, document, violations, base);
}

nlohmann::json parse_json(const std::string& text)
{
    const auto limit_nesting = [](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
        if (depth > nesting_limit) {
            throw invalid_input("", "nests deeper than " + std::to_string(nesting_limit));
        }
        return true;
    };
    try {
        return nlohmann::json::parse(text, limit_nesting);
    } catch (const nlohmann::json::parse_error& error) {
        throw invalid_input("",
                            "not JSON: stops making sense at byte " + std::to_string(error.byte));
    } catch (const nlohmann::json::out_of_range& /*error*/) {
        throw invalid_input("", "not JSON: a number is out of range");
    }
}

} // namespace camphor

// Texts of the JSON Schemas, draft 7. `description` words the reason of a fault.
#include "schema_texts.h"

namespace camphor {

// clang-format off
const std::array<std::string, schema_count> schema_texts{
// resource
R"({
  "type": "object",
  "required": ["kind", "name", "spec"],
  "additionalProperties": false,
  "properties": {
    "kind": {"enum": ["service", "upstream", "route", "move"]},
    "name": {"type": "string", "pattern": "^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$",
             "description": "a name of 1 to 63 lower-case letters, digits, dots and hyphens that starts and ends with a letter or digit"},
    "revision": {"type": "integer", "minimum": 0, "maximum": 9007199254740991},
    "spec": {"type": "object"},
    "status": {
      "type": "object",
      "properties": {
        "phase": {"type": "string"},
        "share_permille": {"type": "integer", "minimum": 0, "maximum": 1000},
        "stage": {"type": "integer", "minimum": 0, "maximum": 1000000},
        "holder": {"type": "string"},
        "reason": {"type": "string"},
        "evidence": {"type": "string"},
        "changed_at": {"type": "string"}
      }
    }
  }
})",
// service_spec
R"({
  "type": "object",
  "required": ["release"],
  "additionalProperties": false,
  "properties": {
    "release": {"type": "string", "minLength": 1, "maxLength": 63},
    "priority": {"enum": ["low", "normal", "high"]}
  }
})",
// upstream_spec
R"({
  "type": "object",
  "required": ["service", "release", "slots"],
  "additionalProperties": false,
  "properties": {
    "service": {"type": "string", "minLength": 1, "maxLength": 63},
    "release": {"type": "string", "minLength": 1, "maxLength": 63},
    "slots": {"type": "integer", "minimum": 1, "maximum": 10000},
    "connections": {"type": "integer", "minimum": 1, "maximum": 10000},
    "cold_start_ms": {"type": "integer", "minimum": 0, "maximum": 3600000}
  }
})",
// route_spec
R"({
  "type": "object",
  "required": ["path_prefix", "service"],
  "additionalProperties": false,
  "properties": {
    "host": {"type": "string", "maxLength": 253},
    "path_prefix": {"type": "string", "pattern": "^/", "maxLength": 1024,
                    "description": "a path of at most 1024 characters that starts with /"},
    "headers": {"type": "object", "maxProperties": 16,
                "additionalProperties": {"type": "string", "maxLength": 1024}},
    "service": {"type": "string", "minLength": 1, "maxLength": 63},
    "timeout_ms": {"type": "integer", "minimum": 1, "maximum": 3600000},
    "require_key": {"type": "boolean"}
  }
})",
// move_spec
R"({
  "type": "object",
  "required": ["service", "from_release", "to_release", "deadline"],
  "additionalProperties": false,
  "properties": {
    "service": {"type": "string", "minLength": 1, "maxLength": 63},
    "from_release": {"type": "string", "minLength": 1, "maxLength": 63},
    "to_release": {"type": "string", "minLength": 1, "maxLength": 63},
    "deadline": {"type": "string",
                 "pattern": "^[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}(\\.[0-9]{1,3})?Z$",
                 "description": "a UTC time such as 2026-12-31T18:00:00Z"},
    "soak_ms": {"type": "integer", "minimum": 0, "maximum": 86400000},
    "unproven_share_permille": {"type": "integer", "minimum": 1, "maximum": 500},
    "on_thin_evidence": {"enum": ["revert", "complete"]}
  }
})",
// node_settings
R"({
  "type": "object",
  "required": ["mesh", "node", "zone", "region", "listen", "platform"],
  "additionalProperties": false,
  "properties": {
    "mesh": {"type": "string", "minLength": 1, "maxLength": 63},
    "node": {"type": "string", "minLength": 1, "maxLength": 63},
    "zone": {"type": "string", "minLength": 1, "maxLength": 63},
    "region": {"type": "string", "minLength": 1, "maxLength": 63},
    "listen": {
      "type": "object",
      "required": ["host", "call_port", "peer_port", "admin_port"],
      "additionalProperties": false,
      "properties": {
        "host": {"type": "string", "minLength": 1, "maxLength": 45},
        "admin_host": {"type": "string", "minLength": 1, "maxLength": 45},
        "call_port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "peer_port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "admin_port": {"type": "integer", "minimum": 1, "maximum": 65535}
      }
    },
    "platform": {
      "type": "object",
      "required": ["host", "port"],
      "additionalProperties": false,
      "properties": {
        "host": {"type": "string", "minLength": 1, "maxLength": 45},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "timeout_ms": {"type": "integer", "minimum": 10, "maximum": 60000}
      }
    },
    "seeds": {
      "type": "array",
      "maxItems": 1024,
      "items": {
        "type": "object",
        "required": ["node", "zone", "host", "peer_port"],
        "additionalProperties": false,
        "properties": {
          "node": {"type": "string", "minLength": 1, "maxLength": 63},
          "zone": {"type": "string", "minLength": 1, "maxLength": 63},
          "host": {"type": "string", "minLength": 1, "maxLength": 45},
          "peer_port": {"type": "integer", "minimum": 1, "maximum": 65535}
        }
      }
    },
    "log_level": {"enum": ["debug", "info", "warning", "error"]},
    "drain_grace_ms": {"type": "integer", "minimum": 0, "maximum": 3600000},
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "call_connections": {"type": "integer", "minimum": 1, "maximum": 100000},
        "admin_connections": {"type": "integer", "minimum": 1, "maximum": 100000},
        "header_bytes": {"type": "integer", "minimum": 1024, "maximum": 1048576},
        "keyed_body_bytes": {"type": "integer", "minimum": 1024, "maximum": 67108864},
        "admin_body_bytes": {"type": "integer", "minimum": 1024, "maximum": 67108864},
        "head_timeout_ms": {"type": "integer", "minimum": 100, "maximum": 600000}
      }
    }
  }
})"};
// clang-format on

} // namespace camphor

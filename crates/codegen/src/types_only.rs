//! Reduces a schema to what the generated types express.
//!
//! Ranges, formats and defaults are checked and filled in by `hinge-config`, which reads the same schema files. The types
//! remain plain integers and strings, so that other crates can use them without conversions.

use schemars::schema::InstanceType;
use serde_json::{Map, Value};

/// Rust types of the formats; the first entry is for strings without a format.
pub const CONVERSIONS: &[(InstanceType, Option<&str>, &str)] = &[
    (InstanceType::String, None, "::std::boxed::Box<str>"),
    (
        InstanceType::String,
        Some("bytes"),
        "::serde_bytes::ByteBuf",
    ),
    (
        InstanceType::String,
        Some("address"),
        "::std::net::SocketAddr",
    ),
    (InstanceType::String, Some("path"), "::std::path::PathBuf"),
    (InstanceType::String, Some("name"), "::std::boxed::Box<str>"),
    (InstanceType::String, Some("text"), "::std::boxed::Box<str>"),
    (
        InstanceType::String,
        Some("sha256"),
        "::std::boxed::Box<str>",
    ),
    (
        InstanceType::String,
        Some("urgency-class"),
        "crate::messages::UrgencyClass",
    ),
    (
        InstanceType::Integer,
        Some("epoch-ms"),
        "crate::units::EpochMs",
    ),
    (InstanceType::Integer, Some("day-ms"), "crate::units::DayMs"),
    (
        InstanceType::Number,
        Some("percent"),
        "crate::units::PartsPerMillion",
    ),
];

/// Keywords that `hinge-config` checks or applies, so the generated types ignore them.
const VALIDATION_KEYWORDS: &[&str] = &["minimum", "maximum", "maxItems", "minLength", "default"];

/// Removes the validation keywords, and makes each property with a default required.
pub fn keep_types_only(schema: &mut Value) {
    let definitions = schema
        .get_mut("definitions")
        .and_then(Value::as_object_mut)
        .into_iter()
        .flatten();
    for (_, definition) in definitions {
        strip_validation(definition);
    }
}

fn strip_validation(schema: &mut Value) {
    let Some(object) = schema.as_object_mut() else {
        return;
    };
    require_defaults(object);
    for keyword in VALIDATION_KEYWORDS {
        object.remove(*keyword);
    }
    // The Rust type of a format defines the allowed values itself.
    if object.contains_key("format") {
        object.remove("enum");
    }
    for key in ["items", "additionalProperties"] {
        if let Some(part) = object.get_mut(key) {
            strip_validation(part);
        }
    }
    let properties = object.get_mut("properties").and_then(Value::as_object_mut);
    for (_, property) in properties.into_iter().flatten() {
        strip_validation(property);
    }
}

fn require_defaults(object: &mut Map<String, Value>) {
    let Some(properties) = object.get("properties").and_then(Value::as_object) else {
        return;
    };
    let defaulted: Vec<Value> = properties
        .iter()
        .filter(|(_, property)| property.get("default").is_some())
        .map(|(name, _)| Value::from(name.as_str()))
        .collect();
    if defaulted.is_empty() {
        return;
    }
    let required = object
        .entry("required")
        .or_insert_with(|| Value::Array(Vec::new()));
    if let Some(required) = required.as_array_mut() {
        required.extend(defaulted);
    }
}

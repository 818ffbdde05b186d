//! Effective values of a configuration, by their dotted paths.

use std::collections::BTreeMap;

use hinge_config::effective::Effective;
use hinge_config::sorted::Sorted;
use serde::Serialize;
use serde_json::Value;

/// Keys whose values are stored as parts per million, but written as percentages in the files.
const PERCENTAGES: [&str; 5] = [
    "floor",
    "max_ejected",
    "retry_budget",
    "target",
    "urgent_allowance",
];

/// Parts per million in one percent.
const PPM_PER_PERCENT: u32 = 10_000;

/// Values by dotted path.
pub(crate) type Values = BTreeMap<String, Value>;

/// Returns every effective value, including defaults.
pub(crate) fn values(effective: &Effective) -> Values {
    let mut values = Values::new();
    flatten_named("teams", &effective.teams, &mut values);
    flatten_named("pools", &effective.pools, &mut values);
    flatten_named("stops", &effective.stops, &mut values);
    flatten_named("upgrades", &effective.upgrades, &mut values);
    flatten_named("objectives", &effective.objectives, &mut values);
    flatten("classes", to_json(&effective.classes), &mut values);
    flatten("limits", to_json(&effective.limits), &mut values);
    values
}

fn flatten_named<T: Serialize>(section: &str, items: &Sorted<T>, values: &mut Values) {
    for (name, item) in items.iter() {
        flatten(&format!("{section}.{name}"), to_json(item), values);
    }
}

fn to_json<T: Serialize>(item: &T) -> Value {
    serde_json::to_value(item).expect("generated settings serialize to JSON")
}

fn flatten(path: &str, value: Value, values: &mut Values) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                flatten(&format!("{path}.{key}"), value, values);
            }
        }
        value => {
            values.insert(path.to_owned(), value);
        }
    }
}

/// Formats a value as it is written in the files.
pub(crate) fn format_value(path: &str, value: &Value) -> String {
    let key = path.rsplit('.').next().unwrap_or_default();
    let ppm = value.as_u64().and_then(|ppm| u32::try_from(ppm).ok());
    match ppm.filter(|_| PERCENTAGES.contains(&key)) {
        Some(ppm) => format!("{} %", f64::from(ppm) / f64::from(PPM_PER_PERCENT)),
        None => value.to_string(),
    }
}

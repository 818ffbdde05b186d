//! Lists the effective values of a configuration by their dotted paths.

use std::collections::BTreeMap;

use hinge_config::effective::EffectiveConfig;
use hinge_config::sorted_map::SortedMap;
use serde::Serialize;
use serde_json::Value;

/// Keys whose values are parts per million, and percentages in the files.
const PERCENTAGES: [&str; 5] = [
    "floor",
    "max_ejected",
    "retry_budget",
    "target",
    "urgent_allowance",
];

/// Parts per million in one percent.
const PPM_IN_PERCENT: u32 = 10_000;

/// Holds values by path.
pub(crate) type Values = BTreeMap<String, Value>;

/// Returns every effective value, defaults too.
pub(crate) fn values(effective: &EffectiveConfig) -> Values {
    let mut values = Values::new();
    named("teams", &effective.teams, &mut values);
    named("pools", &effective.pools, &mut values);
    named("stops", &effective.stops, &mut values);
    named("upgrades", &effective.upgrades, &mut values);
    named("objectives", &effective.objectives, &mut values);
    flatten("classes", json(&effective.classes), &mut values);
    flatten("limits", json(&effective.limits), &mut values);
    values
}

fn named<T: Serialize>(section: &str, items: &SortedMap<T>, values: &mut Values) {
    for (name, item) in items.iter() {
        flatten(&format!("{section}.{name}"), json(item), values);
    }
}

fn json<T: Serialize>(item: &T) -> Value {
    serde_json::to_value(item).expect("a generated setting always has a JSON form")
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

/// Returns a value as the files would show it.
pub(crate) fn text(path: &str, value: &Value) -> String {
    let key = path.rsplit('.').next().unwrap_or_default();
    let ppm = value.as_u64().and_then(|ppm| u32::try_from(ppm).ok());
    match ppm.filter(|_| PERCENTAGES.contains(&key)) {
        Some(ppm) => format!("{} %", f64::from(ppm) / f64::from(PPM_IN_PERCENT)),
        None => value.to_string(),
    }
}

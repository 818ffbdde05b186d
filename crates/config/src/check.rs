//! Validates parsed files against their schema.
//!
//! Unknown keys, types, ranges and formats are checked file by file. Defaults are filled in and missing keys reported only after
//! all files are merged, because another file may set them.

use serde_json::{Map, Value};

use crate::ConfigProblem;
use crate::format;
use crate::nearest::nearest;
use crate::tree::{Node, Position, TomlValue};

/// Most problems of one report, so that a message stays short even when a whole folder is wrong.
const MAX_PROBLEMS: usize = 100;

/// The problems found in a list of files.
#[derive(Debug)]
pub(crate) struct Report<'a> {
    names: Vec<&'a str>,
    problems: Vec<ConfigProblem>,
}

impl<'a> Report<'a> {
    /// Returns an empty report for files with these names.
    pub(crate) fn new(names: Vec<&'a str>) -> Self {
        Self {
            names,
            problems: Vec::new(),
        }
    }

    /// Adds a problem, unless the report is full.
    pub(crate) fn add(&mut self, position: Position, key: &str, message: impl Into<Box<str>>) {
        if self.problems.len() < MAX_PROBLEMS {
            self.problems.push(ConfigProblem {
                file: self.file(position).into(),
                line: position.line,
                key: key.into(),
                message: message.into(),
            });
        }
    }

    /// Returns the name of the file that a position is in.
    pub(crate) fn file(&self, position: Position) -> &'a str {
        let index = usize::try_from(position.file).unwrap_or(usize::MAX);
        self.names.get(index).copied().unwrap_or_default()
    }

    /// Returns the value, or else the problems in the order of files and lines.
    pub(crate) fn finish<T>(&mut self, value: T) -> Result<T, Vec<ConfigProblem>> {
        if self.problems.is_empty() {
            return Ok(value);
        }
        let mut problems = std::mem::take(&mut self.problems);
        problems.sort_by(|left, right| (&left.file, left.line).cmp(&(&right.file, right.line)));
        Err(problems)
    }
}

/// A schema, with the name of the definition that describes a whole file.
#[derive(Debug)]
pub(crate) struct Schema {
    definitions: Map<String, Value>,
    root: &'static str,
}

impl Schema {
    /// Parses a schema.
    ///
    /// # Panics
    ///
    /// Panics when the text is not a valid schema; the texts are compiled in.
    pub(crate) fn read(text: &str, root: &'static str) -> Self {
        let mut schema: Value =
            serde_json::from_str(text).expect("the schema is compiled in and valid");
        let definitions = schema["definitions"].take();
        let Value::Object(definitions) = definitions else {
            panic!("the schema is compiled in and has definitions");
        };
        Self { definitions, root }
    }

    /// Checks one file, and converts its values to the representation in the generated types.
    pub(crate) fn check(&self, node: &mut Node, report: &mut Report<'_>) {
        self.check_node(&self.definitions[self.root], node, "", report);
    }

    /// Returns the merged value with defaults filled in, and reports missing keys.
    pub(crate) fn complete(&self, node: &Node, report: &mut Report<'_>) -> Value {
        self.complete_node(&self.definitions[self.root], node, "", report)
    }

    fn resolve<'s>(&'s self, schema: &'s Value) -> &'s Value {
        let reference = schema
            .get("$ref")
            .or_else(|| schema["allOf"][0].get("$ref"));
        let name = reference
            .and_then(Value::as_str)
            .and_then(|text| text.strip_prefix("#/definitions/"));
        name.map_or(schema, |name| &self.definitions[name])
    }

    fn check_node(&self, schema: &Value, node: &mut Node, path: &str, report: &mut Report<'_>) {
        let schema = self.resolve(schema);
        match (str_field(schema, "type"), &mut node.value) {
            ("object", TomlValue::Table(table)) => {
                for (key, child) in table {
                    let path = join(path, key);
                    match property(schema, key) {
                        Ok(property) => self.check_node(property, child, &path, report),
                        Err(message) => report.add(child.position, &path, message),
                    }
                }
            }
            ("array", TomlValue::Array(items)) => {
                check_length(schema, items, node.position, path, report);
                for item in items {
                    self.check_node(&schema["items"], item, path, report);
                }
            }
            _ => check_value(schema, node, path, report),
        }
    }

    fn complete_node(
        &self,
        schema: &Value,
        node: &Node,
        path: &str,
        report: &mut Report<'_>,
    ) -> Value {
        let schema = self.resolve(schema);
        match &node.value {
            TomlValue::Table(table) => {
                let mut object = Map::new();
                for (key, child) in table {
                    let Ok(property) = property(schema, key) else {
                        continue;
                    };
                    let value = self.complete_node(property, child, &join(path, key), report);
                    object.insert(String::from(&**key), value);
                }
                self.fill_defaults(schema, node.position, path, &mut object, report);
                Value::Object(object)
            }
            TomlValue::Array(items) => items
                .iter()
                .map(|item| self.complete_node(&schema["items"], item, path, report))
                .collect(),
            TomlValue::Text(text) => Value::from(&**text),
            TomlValue::Integer(integer) => u64::try_from(*integer).map_or(Value::Null, Value::from),
            TomlValue::Float(float) => Value::from(*float),
            TomlValue::Boolean(boolean) => Value::from(*boolean),
            TomlValue::Time(time) => Value::from(time.to_string()),
        }
    }

    fn fill_defaults(
        &self,
        schema: &Value,
        position: Position,
        path: &str,
        object: &mut Map<String, Value>,
        report: &mut Report<'_>,
    ) {
        let properties = schema.get("properties").and_then(Value::as_object);
        for (key, property) in properties.into_iter().flatten() {
            if object.contains_key(key) {
                continue;
            }
            let path = join(path, key);
            if let Some(default) = property.get("default") {
                let mut node = default_node(default, position);
                self.check_node(property, &mut node, &path, report);
                let value = self.complete_node(property, &node, &path, report);
                object.insert(key.clone(), value);
            } else if is_required(schema, key) {
                let what = str_field(property, "description");
                report.add(position, &path, format!("this key is missing: {what}"));
            }
        }
    }
}

fn property<'s>(schema: &'s Value, key: &str) -> Result<&'s Value, Box<str>> {
    if let Some(properties) = schema.get("properties").and_then(Value::as_object) {
        let property = properties.get(key);
        return property.ok_or_else(|| unknown_key(key, properties));
    }
    if format::is_name(key) {
        return Ok(&schema["additionalProperties"]);
    }
    Err(format!("this is not a valid name; {}", format::NAME_ALLOWED).into())
}

fn is_required(schema: &Value, key: &str) -> bool {
    let required = schema.get("required").and_then(Value::as_array);
    required.is_some_and(|required| required.iter().any(|name| name == key))
}

fn default_node(value: &Value, position: Position) -> Node {
    let value = match value {
        Value::Null => TomlValue::Table(std::collections::BTreeMap::new()),
        Value::Bool(boolean) => TomlValue::Boolean(*boolean),
        Value::Number(number) => TomlValue::Integer(number.as_u64().unwrap_or_default().into()),
        Value::String(text) => TomlValue::Text(text.as_str().into()),
        Value::Array(items) => TomlValue::Array(
            items
                .iter()
                .map(|item| default_node(item, position))
                .collect(),
        ),
        Value::Object(object) => TomlValue::Table(
            object
                .iter()
                .map(|(key, value)| (key.as_str().into(), default_node(value, position)))
                .collect(),
        ),
    };
    Node { position, value }
}

fn check_length(
    schema: &Value,
    items: &[Node],
    position: Position,
    path: &str,
    report: &mut Report<'_>,
) {
    let most = schema.get("maxItems").and_then(Value::as_u64);
    if let Some(most) = most.filter(|most| items.len() as u64 > *most) {
        let count = items.len();
        report.add(
            position,
            path,
            format!("this list has {count} values; allowed are up to {most}"),
        );
    }
}

fn check_value(schema: &Value, node: &mut Node, path: &str, report: &mut Report<'_>) {
    let value = std::mem::replace(&mut node.value, TomlValue::Boolean(false));
    let found = value.type_name();
    match checked(schema, value) {
        Ok(value) => node.value = value,
        Err(Rejection::Type(allowed)) => {
            report.add(
                node.position,
                path,
                format!("this is {found}; allowed is {allowed}"),
            );
        }
        Err(Rejection::Value(message)) => report.add(node.position, path, message),
    }
}

enum Rejection {
    Type(&'static str),
    Value(Box<str>),
}

fn checked(schema: &Value, value: TomlValue) -> Result<TomlValue, Rejection> {
    let format = str_field(schema, "format");
    let value = format::normalise(format, value)
        .map_err(|allowed| Rejection::Value(format!("this value is refused; {allowed}").into()))?;
    match (str_field(schema, "type"), value) {
        ("string", TomlValue::Text(text)) => checked_text(schema, text),
        ("integer", TomlValue::Integer(integer)) => checked_range(schema, integer),
        ("number", TomlValue::Integer(integer)) => Ok(TomlValue::Integer(integer)),
        ("boolean", TomlValue::Boolean(boolean)) => Ok(TomlValue::Boolean(boolean)),
        ("string", _) => Err(Rejection::Type("text in quotes")),
        ("integer", _) => Err(Rejection::Type("an integer")),
        ("boolean", _) => Err(Rejection::Type("true or false")),
        ("array", _) => Err(Rejection::Type("a list in brackets")),
        ("object", _) => Err(Rejection::Type("a table")),
        _ => Err(Rejection::Type("a number")),
    }
}

fn checked_text(schema: &Value, text: Box<str>) -> Result<TomlValue, Rejection> {
    if text.is_empty() && schema.get("minLength").is_some() {
        return Err(Rejection::Value(
            "this text is empty; allowed is 1 byte or more".into(),
        ));
    }
    let Some(values) = schema.get("enum").and_then(Value::as_array) else {
        return Ok(TomlValue::Text(text));
    };
    if values.iter().any(|value| *value == *text) {
        return Ok(TomlValue::Text(text));
    }
    let allowed: Vec<_> = values.iter().filter_map(Value::as_str).collect();
    let allowed = allowed.join(", ");
    Err(Rejection::Value(
        format!("this value is unknown; allowed are {allowed}").into(),
    ))
}

fn checked_range(schema: &Value, integer: i128) -> Result<TomlValue, Rejection> {
    let bound = |name| schema.get(name).and_then(Value::as_u64).map(i128::from);
    let least = bound("minimum").unwrap_or(0);
    // A value without a maximum in the schema must still fit the generated type.
    let most = bound("maximum").unwrap_or(i64::MAX.into());
    if (least..=most).contains(&integer) {
        return Ok(TomlValue::Integer(integer));
    }
    Err(Rejection::Value(
        format!("{integer} is out of range; allowed are {least} to {most}").into(),
    ))
}

fn unknown_key(key: &str, known: &Map<String, Value>) -> Box<str> {
    let names = || known.keys().map(String::as_str);
    if let Some(near) = nearest(key, names()) {
        return format!("this key is unknown; did you mean {near}?").into();
    }
    let allowed: Vec<_> = names().collect();
    format!("this key is unknown; allowed are {}", allowed.join(", ")).into()
}

fn str_field<'s>(schema: &'s Value, key: &str) -> &'s str {
    schema.get(key).and_then(Value::as_str).unwrap_or_default()
}

/// Returns the dotted path of a key in a table.
pub(crate) fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

//! A parsed TOML file, as a tree whose nodes know their file and line.

use std::collections::BTreeMap;

use toml::Spanned;
use toml::de::{DeTable, DeValue};
use toml::value::Datetime;

/// The file and line of a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Position {
    /// Index of the file in the list of files.
    pub(crate) file: u32,
    /// Line number, from 1; 0 for a problem that belongs to no line.
    pub(crate) line: u32,
}

/// A value with its position.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) position: Position,
    pub(crate) value: TomlValue,
}

/// A value of a TOML file.
#[derive(Debug)]
pub(crate) enum TomlValue {
    Table(BTreeMap<Box<str>, Node>),
    Array(Vec<Node>),
    Text(Box<str>),
    Integer(i128),
    Float(f64),
    Boolean(bool),
    Time(Datetime),
}

impl TomlValue {
    /// Returns the name of the value's type, for messages.
    pub(crate) fn type_name(&self) -> &'static str {
        match self {
            Self::Table(_) => "a table",
            Self::Array(_) => "a list",
            Self::Text(_) => "text",
            Self::Integer(_) => "an integer",
            Self::Float(_) => "a number with a fraction",
            Self::Boolean(_) => "true or false",
            Self::Time(_) => "a time",
        }
    }
}

/// An error that tells where a text is not valid TOML, and why.
#[derive(Debug)]
pub(crate) struct SyntaxError {
    pub(crate) line: u32,
    pub(crate) message: Box<str>,
}

/// Parses one file.
pub(crate) fn parse(file: u32, text: &str) -> Result<Node, SyntaxError> {
    let lines = LineIndex::new(file, text);
    let table = DeTable::parse(text).map_err(|error| SyntaxError {
        line: error
            .span()
            .map_or(0, |span| lines.position(span.start).line),
        message: error.message().trim().replace('\n', "; ").into(),
    })?;
    let value = convert_table(table.into_inner(), &lines)?;
    let position = Position { file, line: 1 };
    Ok(Node { position, value })
}

impl Node {
    /// Returns the node at a dotted path, or else its nearest ancestor.
    pub(crate) fn nearest(&self, path: &str) -> &Self {
        let mut node = self;
        for part in path.split('.') {
            let TomlValue::Table(table) = &node.value else {
                return node;
            };
            let Some(next) = table.get(part) else {
                return node;
            };
            node = next;
        }
        node
    }

    /// Merges a later file into this one: tables key by key, anything else as a whole.
    pub(crate) fn merge(&mut self, later: Self) {
        match (&mut self.value, later.value) {
            (TomlValue::Table(table), TomlValue::Table(later)) => {
                for (key, node) in later {
                    merge_key(table, key, node);
                }
            }
            (value, later_value) => {
                *value = later_value;
                self.position = later.position;
            }
        }
    }
}

fn merge_key(table: &mut BTreeMap<Box<str>, Node>, key: Box<str>, node: Node) {
    match table.get_mut(&key) {
        Some(earlier) => earlier.merge(node),
        None => {
            table.insert(key, node);
        }
    }
}

struct LineIndex {
    file: u32,
    line_starts: Vec<usize>,
}

impl LineIndex {
    fn new(file: u32, text: &str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = ends.map(|(offset, _)| offset + 1).collect();
        Self { file, line_starts }
    }

    fn position(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|start| *start <= offset) + 1;
        Position {
            file: self.file,
            line: u32::try_from(line).unwrap_or(u32::MAX),
        }
    }
}

fn convert_table(table: DeTable<'_>, lines: &LineIndex) -> Result<TomlValue, SyntaxError> {
    let mut nodes = BTreeMap::new();
    for (key, value) in table {
        let position = lines.position(key.span().start);
        let value = convert_value(value.into_inner(), position, lines)?;
        nodes.insert(key.into_inner().into(), Node { position, value });
    }
    Ok(TomlValue::Table(nodes))
}

fn convert_value(
    value: DeValue<'_>,
    position: Position,
    lines: &LineIndex,
) -> Result<TomlValue, SyntaxError> {
    let out_of_range = |message: &str| SyntaxError {
        line: position.line,
        message: message.into(),
    };
    match value {
        DeValue::String(text) => Ok(TomlValue::Text(text.into())),
        DeValue::Integer(integer) => i128::from_str_radix(integer.as_str(), integer.radix())
            .map(TomlValue::Integer)
            .map_err(|_range| out_of_range("the integer is out of range")),
        DeValue::Float(float) => float
            .as_str()
            .parse()
            .map(TomlValue::Float)
            .map_err(|_range| out_of_range("the number can't be read")),
        DeValue::Boolean(boolean) => Ok(TomlValue::Boolean(boolean)),
        DeValue::Datetime(time) => Ok(TomlValue::Time(time)),
        DeValue::Array(array) => array
            .into_iter()
            .map(|item| array_item(item, lines))
            .collect::<Result<_, _>>()
            .map(TomlValue::Array),
        DeValue::Table(table) => convert_table(table, lines),
    }
}

fn array_item(item: Spanned<DeValue<'_>>, lines: &LineIndex) -> Result<Node, SyntaxError> {
    let position = lines.position(item.span().start);
    let value = convert_value(item.into_inner(), position, lines)?;
    Ok(Node { position, value })
}

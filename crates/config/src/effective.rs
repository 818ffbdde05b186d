//! The effective configuration, merged from the operators' files.

use std::collections::HashMap;
use std::sync::LazyLock;

pub use hinge_schema::operator::{
    Class, Classes, Limits, Objective, ObjectiveKind, OperatorFile, Pool, PoolKind, Stop, Team,
    Upgrade, Weights, Window,
};

use crate::check::{Report, Schema, join};
use crate::folder;
use crate::sorted_map::SortedMap;
use crate::tree::{self, Node, Position, TomlValue};
use crate::{ConfigFile, ConfigProblem, semantics};

static SCHEMA: LazyLock<Schema> =
    LazyLock::new(|| Schema::read(hinge_schema::operator::SCHEMA, "OperatorFile"));

/// The SHA-256 of a caller's key.
pub type KeyHash = [u8; 32];

/// The file and line that set a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Origin<'a> {
    /// File name.
    pub file: &'a str,
    /// Line number, from 1.
    pub line: u32,
}

/// The configuration that results from merging all files.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EffectiveConfig {
    /// Teams by name.
    pub teams: SortedMap<Team>,
    /// Pools by name.
    pub pools: SortedMap<Pool>,
    /// Defaults of the urgency classes.
    pub classes: Classes,
    /// Planned stops by name.
    pub stops: SortedMap<Stop>,
    /// Upgrade plans by name.
    pub upgrades: SortedMap<Upgrade>,
    /// Limits for the whole fleet.
    pub limits: Limits,
    /// Service levels by name.
    pub objectives: SortedMap<Objective>,
    team_by_key_hash: HashMap<KeyHash, usize>,
    pool_by_served_name: HashMap<Box<str>, usize>,
    files: Box<[Box<str>]>,
    origins: SortedMap<Position>,
}

impl EffectiveConfig {
    /// Merges files in the order of their names; a later file overrides single keys of an earlier one.
    ///
    /// # Errors
    ///
    /// Returns the problems of single files, or else those of the merged configuration.
    pub fn merge(files: &[ConfigFile]) -> Result<Self, Vec<ConfigProblem>> {
        let mut files: Vec<_> = files.iter().collect();
        files.sort_unstable_by_key(|file| &file.name);
        let names: Vec<_> = files.iter().map(|file| &*file.name).collect();
        let mut report = Report::new(names.clone());
        folder::check_limits(&files, &mut report);
        report.finish(())?;
        let tree = merge_files(&files, &mut report)?;
        let value = SCHEMA.complete(&tree, &mut report);
        report.finish(())?;
        let config: OperatorFile = match serde_json::from_value(value) {
            Ok(config) => config,
            Err(error) => {
                report.add(tree.position, "", error.to_string());
                return Err(report.finish(()).expect_err("a problem was just added"));
            }
        };
        let config = Self::build(config, &names, &tree);
        semantics::check(&config, &tree, &mut report);
        report.finish(config)
    }

    fn build(config: OperatorFile, names: &[&str], tree: &Node) -> Self {
        let mut origins = std::collections::BTreeMap::new();
        collect_origins(tree, "", &mut origins);
        let teams = SortedMap::from(config.teams);
        let pools = SortedMap::from(config.pools);
        Self {
            team_by_key_hash: team_by_key_hash(&teams),
            pool_by_served_name: pool_by_served_name(&pools),
            teams,
            pools,
            classes: config.classes,
            stops: config.stops.into(),
            upgrades: config.upgrades.into(),
            limits: config.limits,
            objectives: config.objectives.into(),
            files: names.iter().map(|name| Box::from(*name)).collect(),
            origins: origins.into(),
        }
    }

    /// Returns the team that a caller's key with this hash belongs to.
    #[must_use]
    pub fn team_by_key(&self, hash: &KeyHash) -> Option<(&str, &Team)> {
        self.teams.at(*self.team_by_key_hash.get(hash)?)
    }

    /// Returns the pool with this name, or the pool that serves a model, adapter or service of this name.
    #[must_use]
    pub fn pool_serving(&self, name: &str) -> Option<(&str, &Pool)> {
        self.pools.at(*self.pool_by_served_name.get(name)?)
    }

    /// Returns the file and line that set the value at a dotted path, such as `teams.surf.share`; `None` for a default.
    #[must_use]
    pub fn origin(&self, path: &str) -> Option<Origin<'_>> {
        let position = self.origins.get(path)?;
        let file = self.files.get(usize::try_from(position.file).ok()?)?;
        Some(Origin {
            file,
            line: position.line,
        })
    }

    /// Returns every path that a file sets with its origin, in the order of the paths.
    pub fn origins(&self) -> impl Iterator<Item = (&str, Origin<'_>)> {
        let paths = self.origins.iter().map(|(path, _)| path);
        paths.filter_map(|path| Some((path, self.origin(path)?)))
    }
}

impl Default for EffectiveConfig {
    fn default() -> Self {
        Self::merge(&[]).expect("an empty folder is valid")
    }
}

fn merge_files(files: &[&ConfigFile], report: &mut Report<'_>) -> Result<Node, Vec<ConfigProblem>> {
    let mut config = Node {
        position: Position { file: 0, line: 0 },
        value: TomlValue::Table(std::collections::BTreeMap::new()),
    };
    for (index, file) in (0..).zip(files) {
        match tree::parse(index, &file.text) {
            Ok(mut node) => {
                SCHEMA.check(&mut node, report);
                config.merge(node);
            }
            Err(error) => {
                let position = Position {
                    file: index,
                    line: error.line,
                };
                report.add(position, "", error.message);
            }
        }
    }
    report.finish(config)
}

fn collect_origins(
    node: &Node,
    path: &str,
    origins: &mut std::collections::BTreeMap<Box<str>, Position>,
) {
    if let TomlValue::Table(table) = &node.value {
        for (key, child) in table {
            collect_origins(child, &join(path, key), origins);
        }
    } else {
        origins.insert(path.into(), node.position);
    }
}

// Duplicate hashes are not detected here, but by the semantic checks.
fn team_by_key_hash(teams: &SortedMap<Team>) -> HashMap<KeyHash, usize> {
    let teams = teams.iter().enumerate();
    teams
        .flat_map(|(index, (_, team))| team.key_sha256.iter().map(move |hex| (hex, index)))
        .filter_map(|(hex, index)| Some((key_hash(hex)?, index)))
        .collect()
}

fn pool_by_served_name(pools: &SortedMap<Pool>) -> HashMap<Box<str>, usize> {
    let mut pool_by_served_name = HashMap::new();
    for (index, (name, pool)) in pools.iter().enumerate() {
        pool_by_served_name.insert(name.into(), index);
        for alias in &pool.serves {
            pool_by_served_name.insert(alias.clone(), index);
        }
    }
    pool_by_served_name
}

/// Parses the SHA-256 of a key from 64 hexadecimal digits.
#[must_use]
pub fn key_hash(hex: &str) -> Option<KeyHash> {
    let digits = hex.as_bytes();
    if digits.len() != 64 {
        return None;
    }
    let mut hash = [0; 32];
    for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
        let [high, low] = [pair[0], pair[1]].map(|digit| char::from(digit).to_digit(16));
        *byte = u8::try_from(high? * 16 + low?).ok()?;
    }
    Some(hash)
}

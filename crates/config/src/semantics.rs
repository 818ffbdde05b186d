//! Checks across several values of the operators' files, such as references and duplicates.

use std::collections::BTreeMap;

use crate::check::Report;
use crate::effective::{EffectiveConfig, Objective, ObjectiveKind, Pool, PoolKind, Stop, Upgrade};
use crate::tree::{Node, TomlValue};

/// 100 %, in parts per million.
const WHOLE_PPM: u32 = 1_000_000;

/// Reports every problem of the merged configuration.
pub(crate) fn check(config: &EffectiveConfig, tree: &Node, report: &mut Report<'_>) {
    let mut checker = Checker {
        config,
        tree,
        report,
    };
    checker.check_caller_keys();
    checker.check_served_names();
    for (name, pool) in config.pools.iter() {
        checker.check_pool(name, pool);
    }
    for (name, stop) in config.stops.iter() {
        checker.check_stop(name, stop);
    }
    for (name, upgrade) in config.upgrades.iter() {
        checker.check_upgrade(name, upgrade);
    }
    for (name, objective) in config.objectives.iter() {
        checker.check_objective(name, objective);
    }
}

struct Checker<'c, 'n> {
    config: &'c EffectiveConfig,
    tree: &'c Node,
    report: &'c mut Report<'n>,
}

impl Checker<'_, '_> {
    fn reject(&mut self, path: &str, message: impl Into<Box<str>>) {
        self.report
            .add(self.tree.nearest(path).position, path, message);
    }

    // A key of two teams would charge the work of one to the other; a key listed twice in one team is a mistake as well.
    fn check_caller_keys(&mut self) {
        let mut seen = BTreeMap::new();
        let config = self.config;
        for (name, team) in config.teams.iter() {
            let path = format!("teams.{name}.key_sha256");
            for (index, hash) in team.key_sha256.iter().enumerate() {
                if let Some((first, at)) = seen.insert(hash, (name, path.clone())) {
                    let origin = self.tree.nearest(&at).position;
                    let (file, line) = (self.report.file(origin), origin.line);
                    let message = format!(
                        "this caller key belongs to team {first} already ({file}:{line}); allowed is one team for each key"
                    );
                    let position = self.item_position(&path, index);
                    self.report.add(position, &path, message);
                }
            }
        }
    }

    fn item_position(&self, path: &str, index: usize) -> crate::tree::Position {
        let node = self.tree.nearest(path);
        match &node.value {
            TomlValue::Array(items) => items.get(index).map_or(node.position, |item| item.position),
            _ => node.position,
        }
    }

    fn check_served_names(&mut self) {
        let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
        let config = self.config;
        for (name, _) in config.pools.iter() {
            seen.insert(name, name);
        }
        for (name, pool) in config.pools.iter() {
            for (index, alias) in pool.serves.iter().enumerate() {
                if let Some(first) = seen.insert(alias, name) {
                    let path = format!("pools.{name}.serves");
                    let message = format!(
                        "pool {first} serves {alias} already; allowed is one pool for each name, and a pool serves its own name without saying so"
                    );
                    let position = self.item_position(&path, index);
                    self.report.add(position, &path, message);
                }
            }
        }
    }

    fn check_pool(&mut self, name: &str, pool: &Pool) {
        let weights = &pool.weights;
        let (unit, key) = match pool.kind {
            PoolKind::Model => (weights.generated_units, "generated_units"),
            PoolKind::Service => (weights.busy_ms_units, "busy_ms_units"),
        };
        if unit == 0 {
            let kind = pool.kind;
            let message = format!(
                "work of a {kind} pool would cost nothing, and no share could hold; allowed is 1 or more"
            );
            self.reject(&format!("pools.{name}.weights.{key}"), message);
        }
    }

    fn check_stop(&mut self, name: &str, stop: &Stop) {
        let path = format!("stops.{name}");
        let names_group = stop.pool.is_some() || stop.data_center.is_some();
        if stop.instance.is_some() == names_group {
            let message = "allowed is either instance, or pool or data_center or both of these";
            self.reject(&path, message);
        }
        self.check_pool_exists(&path, stop.pool.as_deref());
    }

    fn check_upgrade(&mut self, name: &str, upgrade: &Upgrade) {
        let path = format!("upgrades.{name}");
        if upgrade.model.is_some() == upgrade.adapter.is_some() {
            self.reject(&path, "allowed is exactly one of model and adapter");
        }
        self.check_pool_exists(&path, Some(&upgrade.pool));
        if let Some(window) = &upgrade.window
            && window.from == window.until
        {
            let message = "the window is empty; allowed is another time than that of from";
            self.reject(&format!("{path}.window.until"), message);
        }
    }

    fn check_objective(&mut self, name: &str, objective: &Objective) {
        let path = format!("objectives.{name}");
        self.check_pool_exists(&path, objective.pool.as_deref());
        self.check_team_exists(&path, objective.team.as_deref());
        if objective.target == 0 || objective.target == WHOLE_PPM {
            let message =
                "the error budget would be all or nothing; allowed is above 0 and below 100";
            self.reject(&format!("{path}.target"), message);
        }
        let needs_threshold = objective.what != ObjectiveKind::AnsweredWhole;
        if needs_threshold != (objective.threshold_ms > 0) {
            let what = objective.what;
            let allowed = if needs_threshold {
                "1 or more"
            } else {
                "no threshold"
            };
            let message = format!("for {what}, allowed is {allowed}");
            self.reject(&format!("{path}.threshold_ms"), message);
        }
        if objective.windows_ms.is_empty() {
            let message = "this list is empty; allowed is one window or more";
            self.reject(&format!("{path}.windows_ms"), message);
        }
    }

    fn check_pool_exists(&mut self, path: &str, name: Option<&str>) {
        let config = self.config;
        if let Some(name) = name.filter(|name| !config.pools.contains(name)) {
            let names = config.pools.iter().map(|(name, _)| name);
            let message = unknown_name_message("pool", name, names);
            self.reject(&format!("{path}.pool"), message);
        }
    }

    fn check_team_exists(&mut self, path: &str, name: Option<&str>) {
        let config = self.config;
        if let Some(name) = name.filter(|name| !config.teams.contains(name)) {
            let names = config.teams.iter().map(|(name, _)| name);
            let message = unknown_name_message("team", name, names);
            self.reject(&format!("{path}.team"), message);
        }
    }
}

fn unknown_name_message<'a>(
    what: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> String {
    match crate::nearest::nearest(name, known) {
        Some(near) => format!("no {what} has the name {name}; did you mean {near}?"),
        None => format!("no {what} has the name {name}; allowed are the names under {what}s"),
    }
}

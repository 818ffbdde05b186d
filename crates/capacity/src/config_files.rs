//! Generates the configuration files of a fleet with a given number of teams.

use std::fmt::Write as _;

use hinge_schema::messages::ConfigFile;
use sha2::{Digest, Sha256};

/// Teams in one file: a change of one team sends its whole file, and 60 files of 25 teams make the target's 1,500 teams.
pub const TEAMS_PER_FILE: u32 = 25;

/// Returns the key with which the callers of a team authenticate.
#[must_use]
pub fn caller_key(team: u32) -> String {
    format!("key {team}")
}

/// Returns the file of the pools, and the files of the teams.
#[must_use]
pub fn all_files(teams: u32) -> Vec<ConfigFile> {
    let pools = (0..8).map(pool).collect::<String>();
    let mut files = vec![ConfigFile {
        name: "10-pools.toml".into(),
        text: pools.into(),
    }];
    let first_teams = (0..teams).step_by(TEAMS_PER_FILE as usize);
    files.extend(first_teams.map(|first| team_file(first, teams, 0)));
    files
}

/// Returns the file whose first team is given; its content differs with `change`.
#[must_use]
pub fn team_file(first: u32, teams: u32, change: u32) -> ConfigFile {
    let end = (first + TEAMS_PER_FILE).min(teams);
    let text: String = (first..end).map(|number| team(number, change)).collect();
    ConfigFile {
        name: format!("20-teams-{first:04}.toml").into(),
        text: text.into(),
    }
}

fn pool(pool: u32) -> String {
    format!("[pools.model-{pool}]\nkind = \"model\"\nserves = [\"llm-{pool}\"]\n\n")
}

fn team(team: u32, change: u32) -> String {
    let hash = Sha256::digest(caller_key(team));
    let hash = hash.iter().fold(String::new(), |mut text, byte| {
        let _always_ok = write!(text, "{byte:02x}");
        text
    });
    let share = 1 + (team + change) % 20;
    format!(
        "[teams.team-{team:04}]\nshare = {share}\nkey_sha256 = [\"{hash}\"]\nmax_waiting = 128\n\n"
    )
}

//! The operators' files of a fleet with 1,500 teams and 8 pools.

use std::fmt::Write as _;

use hinge_config::ConfigFile;
use sha2::{Digest, Sha256};

const TEAMS: u32 = 1_500;
const POOLS: u32 = 8;

/// Returns the SHA-256 of a team's key, as hexadecimal digits.
pub fn key_sha256(team: u32) -> String {
    let hash = Sha256::digest(format!("key {team}"));
    hash.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Returns one file with all pools, followed by files with `teams_per_file` teams each.
pub fn files(teams_per_file: u32) -> Vec<ConfigFile> {
    let mut files = vec![ConfigFile {
        name: "10-pools.toml".into(),
        text: (0..POOLS).map(pool).collect::<String>().into(),
    }];
    for first in (0..TEAMS).step_by(teams_per_file as usize) {
        files.push(ConfigFile {
            name: format!("20-teams-{first:04}.toml").into(),
            text: (first..first + teams_per_file)
                .map(team)
                .collect::<String>()
                .into(),
        });
    }
    files
}

fn pool(pool: u32) -> String {
    format!(
        "[pools.model-{pool}]\nkind = \"model\"\nserves = [\"llm-{pool}\", \"llm-{pool}-adapter\"]\nfloor = 80\n\n\
         [objectives.first-token-{pool}]\npool = \"model-{pool}\"\nwhat = \"first_token_ms\"\nthreshold_ms = 430\ntarget = 95\n\n"
    )
}

fn team(team: u32) -> String {
    let (share, key) = (1 + team % 20, key_sha256(team));
    format!(
        "[teams.team-{team:04}]\nshare = {share}\nkey_sha256 = [\"{key}\"]\nmax_waiting = 128\n\n"
    )
}

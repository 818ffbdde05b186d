//! The operators' folder with its history, and the first answer to each change.
//!
//! Of the changes that are based on the same version exactly one is accepted: the first in the log whose result is valid. A
//! resent change gets its first answer again, as long as the answer is kept: within [`KEEP_ANSWERS`], [`KEEP_ANSWERS_MS`]
//! and [`KEEP_ANSWERS_BYTES`]. An accepted change that is resent even later conflicts with a newer version than its base, so
//! it can't be accepted twice.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use hinge_schema::messages::{
    Accepted, ApplyReply, ConfigFile, ConfigProblem, Conflict, HistoryEntry, Invalid,
};
use serde::{Deserialize, Serialize};

use crate::command::{ChangeCommand, Checked};
use crate::folder::{Change, Folder};
use crate::{ChangeId, WallMs};

/// Answers kept: three days at 2,500 changes a day, at about 100 bytes each.
pub const KEEP_ANSWERS: usize = 8192;

/// Time for which an answer is kept: three days, so that a change resent after a weekend still gets its answer.
pub const KEEP_ANSWERS_MS: u64 = 3 * 24 * 60 * 60 * 1000;

/// Bytes of kept answers; only refusals with many problems are long, and control has only 32 MB of memory.
pub const KEEP_ANSWERS_BYTES: usize = 2 << 20;

/// Changes kept in the history, without their texts.
pub const KEEP_HISTORY: usize = 2048;

/// Estimated size of an answer without its problems, for the bound on memory.
const ANSWER_BYTES: usize = 160;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Verdict {
    Accepted {
        version: u64,
    },
    Conflict {
        base_version: u64,
        current_version: u64,
    },
    Invalid {
        problems: Arc<[ConfigProblem]>,
    },
}

impl Verdict {
    fn size_bytes(&self) -> usize {
        let problems: &[ConfigProblem] = match self {
            Self::Invalid { problems } => problems,
            Self::Accepted { .. } | Self::Conflict { .. } => &[],
        };
        let texts = problems
            .iter()
            .map(|problem| problem.file.len() + problem.key.len() + problem.message.len());
        ANSWER_BYTES + texts.sum::<usize>()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Answer {
    /// Distinguishes a resent change from another change with the same id.
    fingerprint: u64,
    at_ms: WallMs,
    verdict: Verdict,
}

/// The folder, its history, and the answers to changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    folder: Folder,
    history: VecDeque<HistoryEntry>,
    answers: BTreeMap<ChangeId, Answer>,
    answer_order: VecDeque<ChangeId>,
    answer_bytes: usize,
}

impl Changes {
    /// Applies a change, and returns the result of the folder's check if the change was newly accepted.
    pub(crate) fn apply(
        &mut self,
        change: ChangeCommand,
        now_ms: WallMs,
    ) -> (ApplyReply, Option<Checked>) {
        let fingerprint = fingerprint(&change);
        if let Some(answer) = self.answers.get(&change.change_id) {
            return (self.repeat_answer(answer, fingerprint), None);
        }
        let change_id = change.change_id.clone();
        let (verdict, accepted) = self.decide(change, now_ms);
        let reply = self.reply(&verdict, false);
        self.keep_answer(change_id, fingerprint, now_ms, verdict);
        (reply, accepted)
    }

    fn decide(&mut self, mut change: ChangeCommand, now_ms: WallMs) -> (Verdict, Option<Checked>) {
        if change.base_version != self.folder.version() {
            return (self.decide_stale_base(&change), None);
        }
        let files = self.folder.after(&change.put, &change.removed);
        let checked = change.checked.take();
        let checked = checked.unwrap_or_else(|| Checked::of(&files));
        if !checked.problems.is_empty() {
            let problems = checked.problems.into();
            return (Verdict::Invalid { problems }, None);
        }
        let version = self.advance(files, change, now_ms);
        (Verdict::Accepted { version }, Some(checked))
    }

    fn decide_stale_base(&self, change: &ChangeCommand) -> Verdict {
        // If this change's own answer has been removed, the winner may be the change itself; then it was accepted.
        let winner = self.entry(change.base_version.saturating_add(1));
        match winner {
            Some(winner) if winner.change_id == change.change_id => Verdict::Accepted {
                version: winner.version,
            },
            _ => Verdict::Conflict {
                base_version: change.base_version,
                current_version: self.folder.version(),
            },
        }
    }

    fn advance(&mut self, files: Vec<ConfigFile>, change: ChangeCommand, now_ms: WallMs) -> u64 {
        let version = self.folder.version() + 1;
        let put = change.put.iter().map(|file| file.name.clone());
        self.history.push_back(HistoryEntry {
            version,
            change_id: change.change_id,
            operator: change.operator,
            note: change.note,
            accepted_at_ms: now_ms,
            put: put.collect(),
            removed: change.removed.clone(),
        });
        if self.history.len() > KEEP_HISTORY {
            self.history.pop_front();
        }
        self.folder.advance(
            files,
            Change {
                version,
                put: change.put,
                removed: change.removed,
            },
        );
        version
    }

    fn repeat_answer(&self, answer: &Answer, fingerprint: u64) -> ApplyReply {
        if answer.fingerprint == fingerprint {
            return self.reply(&answer.verdict, true);
        }
        let problem = ConfigProblem {
            file: Box::default(),
            line: 0,
            key: "change_id".into(),
            message: "this number was used for another change; allowed is a fresh one".into(),
        };
        ApplyReply::Invalid(Invalid {
            problems: vec![problem],
        })
    }

    fn reply(&self, verdict: &Verdict, resent: bool) -> ApplyReply {
        match verdict {
            Verdict::Accepted { version } => ApplyReply::Accepted(Accepted {
                version: *version,
                resent,
            }),
            Verdict::Invalid { problems } => ApplyReply::Invalid(Invalid {
                problems: problems.to_vec(),
            }),
            Verdict::Conflict {
                base_version,
                current_version,
            } => ApplyReply::Conflict(self.conflict(*base_version, *current_version)),
        }
    }

    /// Describes the change that was accepted instead; the reply includes its texts as long as they are kept.
    fn conflict(&self, base_version: u64, current_version: u64) -> Conflict {
        let winner_version = base_version.saturating_add(1);
        let entry = self.entry(winner_version);
        let (winner_change_id, winner_operator) = entry.map_or_else(Default::default, |entry| {
            (entry.change_id.clone(), entry.operator.clone())
        });
        let whole = self.folder.change(winner_version);
        let (winner_put, winner_removed) = whole.map_or_else(Default::default, |change| {
            (change.put.clone(), change.removed.clone())
        });
        Conflict {
            base_version,
            current_version,
            winner_change_id,
            winner_operator,
            winner_put,
            winner_removed,
        }
    }

    fn entry(&self, version: u64) -> Option<&HistoryEntry> {
        let first = self.history.front()?.version;
        let position = version.checked_sub(first)?;
        let entry = self.history.get(usize::try_from(position).ok()?)?;
        Some(entry)
    }

    fn keep_answer(
        &mut self,
        change_id: ChangeId,
        fingerprint: u64,
        at_ms: WallMs,
        verdict: Verdict,
    ) {
        self.answer_bytes += verdict.size_bytes();
        let answer = Answer {
            fingerprint,
            at_ms,
            verdict,
        };
        self.answers.insert(change_id.clone(), answer);
        self.answer_order.push_back(change_id);
        self.forget_answers(at_ms);
    }

    /// Removes answers beyond the bounds, oldest first.
    pub(crate) fn forget_answers(&mut self, now_ms: WallMs) {
        while let Some(oldest) = self.answer_order.front() {
            let answer = &self.answers[oldest];
            let is_kept = self.answers.len() <= KEEP_ANSWERS
                && self.answer_bytes <= KEEP_ANSWERS_BYTES
                && now_ms < answer.at_ms.saturating_add(KEEP_ANSWERS_MS);
            if is_kept {
                return;
            }
            self.answer_bytes -= answer.verdict.size_bytes();
            self.answers.remove(oldest);
            self.answer_order.pop_front();
        }
    }

    /// Returns the folder in force with its recent changes; a clone is cheap.
    #[must_use]
    pub fn folder(&self) -> &Folder {
        &self.folder
    }

    /// Returns accepted changes below a version, newest first; 0 means all.
    #[must_use]
    pub fn history(&self, before_version: u64, limit: usize) -> Vec<HistoryEntry> {
        let entries = self.history.iter().rev();
        let wanted = entries.filter(|entry| before_version == 0 || entry.version < before_version);
        wanted.take(limit).cloned().collect()
    }

    /// Returns the number of answers that are kept.
    #[must_use]
    pub fn answer_count(&self) -> usize {
        self.answers.len()
    }
}

/// Returns a hash of what the operator sent, without the leader's time.
fn fingerprint(change: &ChangeCommand) -> u64 {
    let parts = (
        &change.operator,
        change.base_version,
        &change.note,
        &change.put,
        &change.removed,
    );
    let bytes = rmp_serde::to_vec(&parts).expect("text and numbers can be encoded as MessagePack");
    crate::keys::fnv1a(&bytes)
}

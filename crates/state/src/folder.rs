//! The operators' folder in force, and the recent changes that led to it.

use std::collections::VecDeque;
use std::sync::Arc;

use hinge_config::folder;
use hinge_schema::messages::{ConfigDelta, ConfigFile};
use serde::{Deserialize, Serialize};

/// Changes kept with their texts, for watchers that lag behind and for replies to conflicting changes.
pub const KEEP_CHANGES: usize = 64;

/// Bytes of changes kept with their texts; a watcher that lags further behind gets the whole folder.
pub const KEEP_CHANGES_BYTES: usize = 512 * 1024;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that results from the change.
    pub version: u64,
    /// Files added or changed.
    pub put: Vec<ConfigFile>,
    /// Names of files removed.
    pub removed: Vec<Box<str>>,
}

impl Change {
    fn size_bytes(&self) -> usize {
        let put = self
            .put
            .iter()
            .map(|file| file.name.len() + file.text.len());
        let removed = self.removed.iter().map(|name| name.len());
        put.chain(removed).sum()
    }
}

/// The folder in force, with the recent changes.
///
/// A clone shares the texts, so that readers can keep a copy while the next change is applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Folder {
    version: u64,
    digest: u64,
    files: Arc<Vec<ConfigFile>>,
    recent: VecDeque<Arc<Change>>,
    recent_bytes: usize,
}

impl Default for Folder {
    fn default() -> Self {
        Self {
            version: 0,
            digest: folder::digest(&[]),
            files: Arc::default(),
            recent: VecDeque::new(),
            recent_bytes: 0,
        }
    }
}

impl Folder {
    /// Returns the version in force; 0 before the first change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the files in force, sorted by name.
    #[must_use]
    pub fn files(&self) -> &[ConfigFile] {
        &self.files
    }

    /// Returns a change, as long as its texts are kept.
    #[must_use]
    pub fn change(&self, version: u64) -> Option<&Change> {
        let change = self.recent.iter().find(|change| change.version == version);
        change.map(|change| &**change)
    }

    /// Returns the files that result from a change.
    #[must_use]
    pub fn after(&self, put: &[ConfigFile], removed: &[Box<str>]) -> Vec<ConfigFile> {
        folder::apply(&self.files, put, removed)
    }

    pub(crate) fn advance(&mut self, files: Vec<ConfigFile>, change: Change) {
        self.version = change.version;
        self.digest = folder::digest(&files);
        self.files = Arc::new(files);
        self.recent_bytes += change.size_bytes();
        self.recent.push_back(Arc::new(change));
        while self.recent.len() > KEEP_CHANGES || self.recent_bytes > KEEP_CHANGES_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                break;
            };
            self.recent_bytes -= oldest.size_bytes();
        }
    }

    /// Returns the delta from `version` to the version in force: the merged recent changes, or else the whole folder.
    #[must_use]
    pub fn delta_since(&self, version: u64) -> Option<ConfigDelta> {
        if version >= self.version {
            return None;
        }
        let is_recent = self
            .recent
            .front()
            .is_some_and(|change| change.version <= version + 1);
        if is_recent && version > 0 {
            return Some(self.merged_delta(version));
        }
        Some(ConfigDelta {
            base_version: 0,
            version: self.version,
            digest: self.digest,
            put: self.files.to_vec(),
            removed: Vec::new(),
        })
    }

    fn merged_delta(&self, version: u64) -> ConfigDelta {
        let mut names: Vec<&str> = Vec::new();
        for change in self.recent.iter().filter(|change| change.version > version) {
            names.extend(change.put.iter().map(|file| &*file.name));
            names.extend(change.removed.iter().map(|name| &**name));
        }
        names.sort_unstable();
        names.dedup();
        let mut put = Vec::new();
        let mut removed = Vec::new();
        for name in names {
            let position = self
                .files
                .binary_search_by(|file| file.name.as_ref().cmp(name));
            match position {
                Ok(position) => put.push(self.files[position].clone()),
                Err(_absent) => removed.push(name.into()),
            }
        }
        ConfigDelta {
            base_version: version,
            version: self.version,
            digest: self.digest,
            put,
            removed,
        }
    }
}

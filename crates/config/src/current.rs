//! The newest configuration that a process knows; its version never goes back.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::{self, Debug};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, Guard};

use crate::effective::EffectiveConfig;
use crate::folder;
use crate::{ConfigDelta, ConfigFile, ConfigProblem};

/// Most deltas that are kept for peers that lag behind; at 2,500 changes a day they cover more than half an hour.
const MAX_RECENT: usize = 64;

/// Most bytes of kept deltas; a peer that lags behind further gets the whole folder.
const MAX_RECENT_BYTES: usize = 512 * 1024;

/// The result of applying a delta.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Applied {
    /// The configuration is now at this version.
    Advanced(u64),
    /// The delta leads to the current version or to an older one.
    Ignored,
    /// The delta is based on a state other than the current one; a full delta is needed.
    NeedsFull,
    /// The configuration would be invalid after the delta; nothing has changed.
    Invalid(Vec<ConfigProblem>),
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Version; 0 before the first configuration.
    pub version: u64,
    /// Digest of the folder.
    pub digest: u64,
    /// The merged configuration.
    pub effective: EffectiveConfig,
}

/// The configuration of a process, which is read without a lock and updated by deltas.
pub struct CurrentConfig {
    current: ArcSwap<Snapshot>,
    writer: Mutex<Writer>,
}

#[derive(Default)]
struct Writer {
    files: Vec<ConfigFile>,
    // Each delta is based on the version of the delta before it.
    recent: VecDeque<ConfigDelta>,
    recent_bytes: usize,
}

impl Debug for CurrentConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CurrentConfig")
            .field("version", &self.version())
            .finish_non_exhaustive()
    }
}

impl Default for CurrentConfig {
    fn default() -> Self {
        Self::empty()
    }
}

impl CurrentConfig {
    /// Returns the configuration of an empty folder, at version 0.
    #[must_use]
    pub fn empty() -> Self {
        let snapshot = Snapshot {
            version: 0,
            digest: folder::digest(&[]),
            effective: EffectiveConfig::default(),
        };
        Self {
            current: ArcSwap::from_pointee(snapshot),
            writer: Mutex::default(),
        }
    }

    /// Returns the current version; 0 before the first configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.current.load().version
    }

    /// Returns the current configuration for a short read, without a lock or a reference count.
    #[must_use]
    pub fn load(&self) -> Guard<Arc<Snapshot>> {
        self.current.load()
    }

    /// Returns the current configuration, for a caller that keeps it across await points.
    #[must_use]
    pub fn current(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Returns the files of the current version, sorted by name.
    #[must_use]
    pub fn files(&self) -> Vec<ConfigFile> {
        self.lock().files.clone()
    }

    /// Applies a delta from control or a peer; readers see either the whole old version or the whole new one.
    pub fn apply(&self, delta: &ConfigDelta) -> Applied {
        // The lock is held during the merge, so that two concurrent deltas can't both pass the version check.
        let mut writer = self.lock();
        let current_version = self.version();
        if delta.version <= current_version {
            return Applied::Ignored;
        }
        let is_full = delta.base_version == 0;
        if !is_full && delta.base_version != current_version {
            return Applied::NeedsFull;
        }
        let old: &[ConfigFile] = if is_full { &[] } else { &writer.files };
        let files = folder::apply(old, &delta.put, &delta.removed);
        let digest = folder::digest(&files);
        if digest != delta.digest {
            return reject_digest(is_full);
        }
        let effective = match EffectiveConfig::merge(&files) {
            Ok(effective) => effective,
            Err(problems) => return Applied::Invalid(problems),
        };
        writer.advance(files, delta, current_version);
        self.current.store(Arc::new(Snapshot {
            version: delta.version,
            digest,
            effective,
        }));
        Applied::Advanced(delta.version)
    }

    /// Returns a delta from `version` to the current version, built from the recent deltas or else from the whole folder.
    #[must_use]
    pub fn delta_since(&self, version: u64) -> Option<ConfigDelta> {
        let writer = self.lock();
        let current = self.current.load();
        if version >= current.version {
            return None;
        }
        let combined = writer.combined_since(version);
        let (base_version, put, removed) = match combined {
            Some((put, removed)) => (version, put, removed),
            None => (0, writer.files.clone(), Vec::new()),
        };
        Some(ConfigDelta {
            base_version,
            digest: current.digest,
            put,
            removed,
            version: current.version,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Writer> {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

// A full delta that does not match its own digest is damaged; requesting it in full again would loop.
fn reject_digest(is_full: bool) -> Applied {
    if !is_full {
        return Applied::NeedsFull;
    }
    Applied::Invalid(vec![ConfigProblem {
        file: Box::default(),
        key: Box::default(),
        line: 0,
        message: "the files don't match the digest of the delta".into(),
    }])
}

impl Writer {
    fn advance(&mut self, files: Vec<ConfigFile>, delta: &ConfigDelta, current_version: u64) {
        self.files = files;
        if delta.base_version != current_version || current_version == 0 {
            self.recent.clear();
            self.recent_bytes = 0;
            return;
        }
        self.recent_bytes += size_bytes(delta);
        self.recent.push_back(delta.clone());
        while self.recent.len() > MAX_RECENT || self.recent_bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                return;
            };
            self.recent_bytes -= size_bytes(&oldest);
        }
    }

    /// Returns the files to put and the names to remove since a version, or none when the kept deltas do not reach back to it.
    fn combined_since(&self, version: u64) -> Option<(Vec<ConfigFile>, Vec<Box<str>>)> {
        let mut later = self
            .recent
            .iter()
            .skip_while(|delta| delta.base_version != version)
            .peekable();
        later.peek()?;
        let mut put: BTreeMap<&str, &ConfigFile> = BTreeMap::new();
        let mut removed: BTreeSet<&str> = BTreeSet::new();
        for delta in later {
            for name in &delta.removed {
                put.remove(&**name);
                removed.insert(name);
            }
            for file in &delta.put {
                removed.remove(&*file.name);
                put.insert(&file.name, file);
            }
        }
        let put = put.into_values().cloned().collect();
        let removed = removed.into_iter().map(Box::from).collect();
        Some((put, removed))
    }
}

fn size_bytes(delta: &ConfigDelta) -> usize {
    let put = delta
        .put
        .iter()
        .map(|file| file.name.len() + file.text.len());
    let removed = delta.removed.iter().map(|name| name.len());
    put.chain(removed).sum()
}

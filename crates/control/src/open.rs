//! Opens the log and the state of a control instance.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::Path;

use bytes::Bytes;
use hinge_raft::{Membership, NodeId, PersistentState, Snapshot, Write};
use hinge_state::keys::fnv1a;
use hinge_state::{ControlName, RestoreError, State};
use hinge_store::{FolderDisk, Identity, Options, Origin, Recovered, Store, WriteError};
use serde::{Deserialize, Serialize};

use crate::settings::{ControlSettings, Peer};

/// File that lists the founding instances, so that a later change of the settings can't change the first quorum.
const FOUNDING_FILE: &str = "founding.toml";

/// Subfolder that stores the log.
const LOG_FOLDER: &str = "log";

/// An error that prevents a control instance from opening.
#[derive(Debug)]
pub enum OpenError {
    /// The address can't be bound.
    Bind(io::Error),
    /// The data folder can't be used.
    Folder(io::Error),
    /// The log can't be opened; the message tells the operator what to do.
    Store(hinge_store::OpenError),
    /// The file that lists the founding instances is damaged.
    Founding,
    /// The list of control instances for the first start is empty or lacks this instance.
    NoPeers,
    /// The state can't be restored from the snapshot.
    Restore(RestoreError),
    /// The recovered log is inconsistent.
    Log(hinge_raft::OpenError),
}

impl OpenError {
    /// Returns whether the data folder is damaged, so that the instance must rejoin with an empty one.
    #[must_use]
    pub fn is_damage(&self) -> bool {
        matches!(self, Self::Store(cause) if cause.is_damage())
    }
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(cause) => write!(f, "the peer address can't be bound: {cause}"),
            Self::Folder(cause) => write!(f, "the data folder can't be used: {cause}"),
            Self::Store(cause) => cause.fmt(f),
            Self::Founding => write!(
                f,
                "{FOUNDING_FILE} in the data folder is damaged: empty the folder and start without bootstrap, so that the instance rejoins"
            ),
            Self::NoPeers => f.write_str(
                "a first start needs the list of control instances, with this instance in it",
            ),
            Self::Restore(cause) => cause.fmt(f),
            Self::Log(cause) => cause.fmt(f),
        }
    }
}

impl Error for OpenError {}

/// The storage of the log: a data folder, or none.
#[derive(Debug)]
pub(crate) enum Log {
    Folder(Box<Store<FolderDisk>>),
    Memory,
}

impl Log {
    /// Makes the writes durable in order, with a single sync unless a snapshot is among them.
    pub(crate) fn write(&mut self, writes: Vec<Write>) -> Result<(), WriteError> {
        let Self::Folder(store) = self else {
            return Ok(());
        };
        for write in writes {
            match write {
                Write::HardState(hard) => store.write(&[hinge_store::Write::HardState(hard)])?,
                Write::Truncate { from } => store.write(&[hinge_store::Write::Truncate(from)])?,
                Write::Append(entries) => store.write(&[hinge_store::Write::Append(entries)])?,
                Write::MarkComplete => store.write(&[hinge_store::Write::MarkComplete])?,
                Write::InstallSnapshot(snapshot) => {
                    store.write(&[hinge_store::Write::InstallSnapshot(snapshot)])?;
                }
                Write::SaveSnapshot(snapshot) => store.take_snapshot(&snapshot)?,
            }
        }
        store.sync()
    }
}

/// The recovered log and state that a control instance starts from.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) log: Log,
    pub(crate) node_id: NodeId,
    pub(crate) durable: PersistentState,
    pub(crate) state: State,
    /// Names of the founding instances, which are not in the log.
    pub(crate) founding: BTreeMap<NodeId, ControlName>,
}

#[derive(Debug, Serialize, Deserialize)]
struct FoundingFile {
    peers: BTreeMap<Box<str>, Box<str>>,
}

/// Returns the incarnation of a founding instance; every founder derives the same IDs.
pub(crate) fn founder_id(cluster_id: &str, instance: &str) -> NodeId {
    fnv1a(format!("{cluster_id}/{instance}").as_bytes()).max(1)
}

/// Generates a random incarnation for an instance that joins.
fn joiner_id() -> NodeId {
    rand::random::<u64>().max(1)
}

/// Opens the log and the state of an instance.
///
/// An instance that was a member before and now has an empty folder joins as a new member.
pub(crate) fn open(settings: &ControlSettings, was_member: bool) -> Result<Opened, OpenError> {
    let Some(folder) = &settings.data_folder else {
        return open_in_memory(settings, was_member);
    };
    fs::create_dir_all(folder).map_err(OpenError::Folder)?;
    let identity = Identity {
        cluster_id: settings.cluster_id.clone(),
        instance: settings.instance.clone(),
    };
    let disk = || FolderDisk::open(&folder.join(LOG_FOLDER)).map_err(OpenError::Folder);
    let founding_path = folder.join(FOUNDING_FILE);
    let (store, recovered) = match Store::open(disk()?, &identity, Options::default()) {
        Ok(opened) => opened,
        Err(hinge_store::OpenError::Empty) if settings.bootstrap && !was_member => {
            let node_id = founder_id(&settings.cluster_id, &settings.instance);
            write_founding(folder, &founding_path, settings)?;
            Store::create(
                disk()?,
                &identity,
                node_id,
                Origin::Founder,
                Options::default(),
            )
            .map_err(OpenError::Store)?
        }
        Err(hinge_store::OpenError::Empty) => Store::create(
            disk()?,
            &identity,
            joiner_id(),
            Origin::Joiner,
            Options::default(),
        )
        .map_err(OpenError::Store)?,
        Err(cause) => return Err(OpenError::Store(cause)),
    };
    let founding = read_founding(&founding_path, &settings.cluster_id)?;
    recovered_state(Log::Folder(Box::new(store)), recovered, founding)
}

fn recovered_state(
    log: Log,
    recovered: Recovered,
    founding: BTreeMap<NodeId, ControlName>,
) -> Result<Opened, OpenError> {
    let is_founder = founding.contains_key(&recovered.node_id);
    let snapshot = match recovered.snapshot {
        None if is_founder => Some(founding_snapshot(&founding)),
        snapshot => snapshot,
    };
    let state = match &snapshot {
        Some(snapshot) => State::restore(&snapshot.state).map_err(OpenError::Restore)?,
        None => State::default(),
    };
    let durable = PersistentState {
        hard_state: recovered.hard_state,
        entries: recovered.entries,
        snapshot,
        complete: recovered.complete,
    };
    Ok(Opened {
        log,
        node_id: recovered.node_id,
        durable,
        state,
        founding,
    })
}

/// Opens an instance without a disk; every start is a new incarnation, except a founder's first start.
fn open_in_memory(settings: &ControlSettings, was_member: bool) -> Result<Opened, OpenError> {
    if !settings.bootstrap || was_member {
        return Ok(Opened {
            log: Log::Memory,
            node_id: joiner_id(),
            durable: PersistentState::default(),
            state: State::default(),
            founding: BTreeMap::new(),
        });
    }
    let founding = founders_by_id(&settings.cluster_id, peers_of(settings)?);
    let node_id = founder_id(&settings.cluster_id, &settings.instance);
    let durable = PersistentState {
        snapshot: Some(founding_snapshot(&founding)),
        complete: true,
        ..PersistentState::default()
    };
    Ok(Opened {
        log: Log::Memory,
        node_id,
        durable,
        state: State::default(),
        founding,
    })
}

fn founding_snapshot(founding: &BTreeMap<NodeId, ControlName>) -> Snapshot {
    Snapshot {
        last_index: 0,
        last_term: 0,
        membership: Membership {
            voters: founding.keys().copied().collect(),
            learners: Vec::new(),
        },
        state: Bytes::new(),
    }
}

fn peers_of(
    settings: &ControlSettings,
) -> Result<impl Iterator<Item = (Box<str>, Box<str>)>, OpenError> {
    let own = &settings.instance;
    if !settings.peers.iter().any(|peer| peer.instance == *own) {
        return Err(OpenError::NoPeers);
    }
    let pair = |peer: &Peer| (peer.instance.clone(), peer.address.clone());
    Ok(settings.peers.iter().map(pair))
}

fn founders_by_id(
    cluster_id: &str,
    peers: impl Iterator<Item = (Box<str>, Box<str>)>,
) -> BTreeMap<NodeId, ControlName> {
    let founders_by_id = peers.map(|(instance, address)| {
        let node_id = founder_id(cluster_id, &instance);
        let name = ControlName {
            instance,
            address,
            // Unknown until the founder's first message, which carries the flag.
            diskless: false,
        };
        (node_id, name)
    });
    founders_by_id.collect()
}

fn write_founding(folder: &Path, path: &Path, settings: &ControlSettings) -> Result<(), OpenError> {
    let file = FoundingFile {
        peers: peers_of(settings)?.collect(),
    };
    let text = toml::to_string(&file).expect("names and addresses have a TOML form");
    let write = || -> io::Result<()> {
        let temporary = path.with_extension("new");
        let mut file = File::create(&temporary)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        fs::rename(&temporary, path)?;
        File::open(folder)?.sync_all()
    };
    write().map_err(OpenError::Folder)
}

fn read_founding(
    path: &Path,
    cluster_id: &str,
) -> Result<BTreeMap<NodeId, ControlName>, OpenError> {
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(BTreeMap::new()),
        Err(error) => return Err(OpenError::Folder(error)),
    };
    let file: FoundingFile = toml::from_str(&text).map_err(|_cause| OpenError::Founding)?;
    Ok(founders_by_id(cluster_id, file.peers.into_iter()))
}

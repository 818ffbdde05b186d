//! The file operations that the store needs, as a trait and over a real folder.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Name of the file whose lock marks the folder as in use.
const LOCK_NAME: &str = "lock";

/// The files of one flat folder.
///
/// Nothing is durable before `sync_file` (the bytes of a file) and `sync_folder` (names: create, rename, remove) return.
/// A rename is atomic. Files are named without a path.
pub trait Disk {
    /// Locks the folder until this value is dropped; returns false if another holder has the lock.
    ///
    /// # Errors
    /// Fails if the lock file can't be opened or locked for another reason.
    fn lock(&mut self) -> io::Result<bool>;

    /// Returns the names of all files except the lock file, in any order.
    ///
    /// # Errors
    /// Fails if the folder can't be read.
    fn list(&mut self) -> io::Result<Vec<Box<str>>>;

    /// Returns all bytes of a file.
    ///
    /// # Errors
    /// Fails if the file is missing or can't be read.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates the one of that name.
    ///
    /// # Errors
    /// Fails if the file can't be created.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends bytes to a file; after an error any part of them may have been written.
    ///
    /// # Errors
    /// Fails if not all bytes were written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the bytes of a file durable.
    ///
    /// # Errors
    /// Fails if the disk doesn't confirm the sync; the bytes then count as lost.
    fn sync_file(&mut self, name: &str) -> io::Result<()>;

    /// Makes created, renamed and removed names durable.
    ///
    /// # Errors
    /// Fails if the disk doesn't confirm the sync.
    fn sync_folder(&mut self) -> io::Result<()>;

    /// Renames a file, replacing any file that has the new name.
    ///
    /// # Errors
    /// Fails if the file is missing or the folder can't be changed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Fails if the file is missing or the folder can't be changed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct FolderDisk {
    folder: PathBuf,
    lock: Option<File>,
    /// Handles of written files, kept open: the kernel reports a failed write-back only to handles open at that time.
    open_files: HashMap<Box<str>, File>,
}

impl FolderDisk {
    /// Opens a folder, creating it if it is missing.
    ///
    /// # Errors
    /// Fails if the folder can't be created.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        // A new folder's name is an entry of its parent, which needs a sync of its own.
        if let Some(parent) = folder.canonicalize()?.parent() {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self {
            folder: folder.to_path_buf(),
            lock: None,
            open_files: HashMap::new(),
        })
    }

    fn handle(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) {
            let path = self.folder.join(name);
            let file = OpenOptions::new().append(true).open(path)?;
            self.open_files.insert(name.into(), file);
        }
        Ok(self
            .open_files
            .get_mut(name)
            .expect("the handle was inserted above"))
    }
}

impl Disk for FolderDisk {
    fn lock(&mut self) -> io::Result<bool> {
        if self.lock.is_some() {
            return Ok(true);
        }
        let path = self.folder.join(LOCK_NAME);
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        match file.try_lock() {
            Ok(()) => {
                self.lock = Some(file);
                Ok(true)
            }
            Err(TryLockError::WouldBlock) => Ok(false),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn list(&mut self) -> io::Result<Vec<Box<str>>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.folder)? {
            let item = item?;
            // Skips what the store never creates: subfolders (such as a mount's `lost+found`) and names that aren't UTF-8.
            if !item.file_type()?.is_file() {
                continue;
            }
            if let Some(name) = item.file_name().to_str()
                && name != LOCK_NAME
            {
                names.push(name.into());
            }
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let path = self.folder.join(name);
        // Two opens, since `OpenOptions` doesn't allow `append` with `truncate`.
        drop(File::create(&path)?);
        self.open_files.remove(name);
        self.handle(name).map(|_| ())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.handle(name)?.write_all(bytes)
    }

    fn sync_file(&mut self, name: &str) -> io::Result<()> {
        // `sync_data` also flushes the file's length, the only metadata that a later read needs.
        self.handle(name)?.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))?;
        self.open_files.remove(to);
        if let Some(file) = self.open_files.remove(from) {
            self.open_files.insert(to.into(), file);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.folder.join(name))
    }
}

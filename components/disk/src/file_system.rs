//! File operations, as a trait so that tests can inject failures.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek as _, SeekFrom, Write as _};
use std::path::Path;

/// File operations of the log.
pub trait Files {
    type File;

    /// Creates a folder and its parents, durably. Succeeds if the folder exists.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or a parent can't be created or made durable.
    fn create_folder(&mut self, folder: &Path) -> io::Result<()>;

    /// Opens a file with an exclusive lock, which is held until the returned file is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened or another process has locked it.
    fn lock(&mut self, path: &Path) -> io::Result<Self::File>;

    /// Names of the files in a folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Reads the content of a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened or read.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Creates an empty file; empties an existing one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be created or emptied.
    fn create(&mut self, path: &Path) -> io::Result<Self::File>;

    /// Opens an existing file for appending.
    ///
    /// # Errors
    ///
    /// Returns an error if the file doesn't exist or can't be opened for writing.
    fn open_append(&mut self, path: &Path) -> io::Result<Self::File>;

    /// Appends all bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if not all bytes could be written; some of them may have been.
    fn append(&mut self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;

    /// Sets the length of a file, in bytes. Later appends start at its new end.
    ///
    /// # Errors
    ///
    /// Returns an error if the length can't be changed.
    fn set_length(&mut self, file: &mut Self::File, length: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the content can't be synced to the disk.
    fn sync(&mut self, file: &mut Self::File) -> io::Result<()>;

    /// Makes creations, renames and removals of files in a folder durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be opened or synced to the disk.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()>;

    /// Renames a file; replaces an existing file `to`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file doesn't exist or can't be renamed.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file doesn't exist or can't be removed.
    fn remove(&mut self, path: &Path) -> io::Result<()>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Files for Native {
    type File = File;

    fn create_folder(&mut self, folder: &Path) -> io::Result<()> {
        if folder.is_dir() {
            return Ok(());
        }
        let parent = match folder.parent() {
            Some(parent) if !parent.as_os_str().is_empty() => parent,
            _ => Path::new("."),
        };
        self.create_folder(parent)?;
        fs::create_dir(folder)?;
        self.sync_folder(parent)
    }

    fn lock(&mut self, path: &Path) -> io::Result<File> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        file.try_lock()?;
        Ok(file)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        fs::read_dir(folder)?
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn create(&mut self, path: &Path) -> io::Result<File> {
        File::create(path)
    }

    fn open_append(&mut self, path: &Path) -> io::Result<File> {
        OpenOptions::new().append(true).open(path)
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn set_length(&mut self, file: &mut File, length: u64) -> io::Result<()> {
        file.set_len(length)?;
        // A file from `create` writes at its own offset, which may be beyond the new end.
        file.seek(SeekFrom::Start(length))?;
        Ok(())
    }

    fn sync(&mut self, file: &mut File) -> io::Result<()> {
        file.sync_all()
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }
}

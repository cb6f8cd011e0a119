//! File operations, as a trait so that tests can make them fail.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// File operations of the log.
pub trait Files {
    /// An open file.
    type File;

    /// Creates a folder and its parents, durably; it may exist already.
    fn create_folder(&mut self, folder: &Path) -> io::Result<()>;
    /// Opens a file as the sole process that does, until the file is dropped.
    fn lock(&mut self, path: &Path) -> io::Result<Self::File>;
    /// Names of the files in a folder.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;
    /// Content of a file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// Creates an empty file, replacing an earlier one.
    fn create(&mut self, path: &Path) -> io::Result<Self::File>;
    /// Opens a file to be written at its end.
    fn open(&mut self, path: &Path) -> io::Result<Self::File>;
    /// Writes all bytes at the end.
    fn write(&mut self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;
    /// Sets the length.
    fn truncate(&mut self, file: &mut Self::File, length: u64) -> io::Result<()>;
    /// Makes the content durable.
    fn sync(&mut self, file: &mut Self::File) -> io::Result<()>;
    /// Makes creations, renames and removals in a folder durable.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()>;
    /// Renames a file over another.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
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
            .map(|item| Ok(item?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn create(&mut self, path: &Path) -> io::Result<File> {
        File::create(path)
    }

    fn open(&mut self, path: &Path) -> io::Result<File> {
        OpenOptions::new().append(true).open(path)
    }

    fn write(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn truncate(&mut self, file: &mut File, length: u64) -> io::Result<()> {
        file.set_len(length)
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

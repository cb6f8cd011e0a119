//! Files in memory that forget what was not synced, and fail on demand.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

use disk::Files;

#[derive(Clone, Debug, Default)]
struct Node {
    bytes: Vec<u8>,
    durable: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Faulty {
    nodes: Vec<Node>,
    names: BTreeMap<PathBuf, usize>,
    durable: BTreeMap<PathBuf, usize>,
    /// Operations that change something, so far.
    pub count: usize,
    /// The operation that fails, once; a write puts this many bytes in the file.
    pub fault: Option<(usize, usize)>,
}

impl Faulty {
    /// A loss of power: unsynced bytes and names are gone, but for `kept` bytes of each file.
    pub fn crash(&mut self, kept: usize) {
        self.names = self.durable.clone();
        for node in &mut self.nodes {
            let end = node.bytes.len().min(node.durable.len() + kept);
            if node.bytes.starts_with(&node.durable) {
                node.bytes.truncate(end);
            } else {
                node.bytes.clone_from(&node.durable);
            }
            node.durable.clone_from(&node.bytes);
        }
        self.fault = None;
    }

    /// The bytes of a file, which a test may damage.
    pub fn bytes(&mut self, path: &Path) -> &mut Vec<u8> {
        &mut self.nodes[self.names[path]].bytes
    }

    pub fn files(&self, start: &str) -> Vec<PathBuf> {
        let is_named = |path: &&PathBuf| {
            path.file_name()
                .is_some_and(|name| name.to_string_lossy().starts_with(start))
        };
        self.names.keys().filter(is_named).cloned().collect()
    }

    pub fn delete(&mut self, path: &Path) {
        self.names.remove(path);
    }

    fn step(&mut self) -> io::Result<()> {
        self.count += 1;
        match self.fault {
            Some((at, _)) if at == self.count => Err(io::ErrorKind::StorageFull.into()),
            _ => Ok(()),
        }
    }

    fn find(&self, path: &Path) -> io::Result<usize> {
        let found = self.names.get(path).copied();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Files for &mut Faulty {
    type File = usize;

    fn create_folder(&mut self, _folder: &Path) -> io::Result<()> {
        self.step()
    }

    fn lock(&mut self, _path: &Path) -> io::Result<usize> {
        Ok(usize::MAX)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let inside = |path: &&PathBuf| path.parent() == Some(folder);
        let names = self.names.keys().filter(inside);
        Ok(names
            .filter_map(|path| Some(path.file_name()?.to_string_lossy().into_owned()))
            .collect())
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        Ok(self.nodes[self.find(path)?].bytes.clone())
    }

    fn create(&mut self, path: &Path) -> io::Result<usize> {
        self.step()?;
        self.nodes.push(Node::default());
        self.names.insert(path.to_owned(), self.nodes.len() - 1);
        Ok(self.nodes.len() - 1)
    }

    fn open(&mut self, path: &Path) -> io::Result<usize> {
        self.find(path)
    }

    fn write(&mut self, file: &mut usize, bytes: &[u8]) -> io::Result<()> {
        let result = self.step();
        let taken = match self.fault {
            Some((_, taken)) if result.is_err() => taken.min(bytes.len()),
            _ => bytes.len(),
        };
        self.nodes[*file].bytes.extend(&bytes[..taken]);
        result
    }

    fn truncate(&mut self, file: &mut usize, length: u64) -> io::Result<()> {
        self.step()?;
        let length = usize::try_from(length).unwrap();
        self.nodes[*file].bytes.truncate(length);
        Ok(())
    }

    fn sync(&mut self, file: &mut usize) -> io::Result<()> {
        self.step()?;
        let node = &mut self.nodes[*file];
        node.durable.clone_from(&node.bytes);
        Ok(())
    }

    fn sync_folder(&mut self, _folder: &Path) -> io::Result<()> {
        self.step()?;
        self.durable = self.names.clone();
        Ok(())
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.step()?;
        let node = self.find(from)?;
        self.names.remove(from);
        self.names.insert(to.to_owned(), node);
        Ok(())
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.step()?;
        self.find(path)?;
        self.names.remove(path);
        Ok(())
    }
}

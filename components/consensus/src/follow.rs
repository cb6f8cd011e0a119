//! Entries and snapshots from the leader.

use std::time::Instant;

use rand::Rng;
use types::Name;

use crate::{Action, Body, Entry, Epoch, Identity, Member, Node, Position, Snapshot, Write};

/// A snapshot of which parts have arrived.
#[derive(Debug)]
pub(crate) struct Incoming {
    /// Epoch of the sending leader: two leaders may encode the same state differently.
    epoch: Epoch,
    position: Position,
    data: Vec<u8>,
}

impl<R: Rng> Node<R> {
    /// Takes a message that only the leader of an epoch sends.
    pub(crate) fn on_leader(
        &mut self,
        now: Instant,
        from: &Identity,
        epoch: Epoch,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        if epoch < self.epoch {
            // The old leader learns of the present epoch and steps down.
            let body = Body::AppendReply {
                round: 0,
                accepted: false,
                index: 0,
            };
            self.send(&from.instance, self.saved, body, out);
            return;
        }
        self.heard = now;
        self.follow(now, epoch, Some(&from.instance), out);
        match body {
            Body::Append {
                round,
                prev,
                commit,
                entries,
            } => self.on_append(&from.instance, round, prev, commit, entries, out),
            Body::Snapshot {
                last,
                members,
                offset,
                data,
                done,
            } => {
                let part = (offset, data.as_slice(), done);
                self.on_part(&from.instance, last, members, part, out);
            }
            _ => {}
        }
    }

    fn on_append(
        &mut self,
        from: &Name,
        round: u64,
        prev: Position,
        commit: u64,
        entries: Vec<Entry>,
        out: &mut Vec<Action>,
    ) {
        let beat = entries.is_empty();
        let result = self.take(prev, entries, out);
        if let Ok(matched) = result {
            self.commit_to(commit.min(matched), out);
        }
        let (accepted, index, after) = match result {
            // A heartbeat is answered without waiting for entries: a slow sync must not cost the
            // leader its quorum. The answer covers what is durable already.
            Ok(matched) if beat => (true, matched.min(self.log.durable), self.saved),
            Ok(matched) => (true, matched, self.seq),
            Err(next) => (false, next, self.saved),
        };
        let body = Body::AppendReply {
            round,
            accepted,
            index,
        };
        self.send(from, after, body, out);
    }

    /// Takes entries after `prev` and returns the last index that matches, or where to go on.
    fn take(
        &mut self,
        prev: Position,
        entries: Vec<Entry>,
        out: &mut Vec<Action>,
    ) -> Result<u64, u64> {
        // What is before the base is committed here and so equal in the leader's log.
        let base = self.log.base().index;
        if prev.index >= base && self.log.epoch_at(prev.index) != Some(prev.epoch) {
            return Err(self.resume_at(prev.index));
        }
        let mut matched = prev.index.max(base);
        for entry in entries {
            if entry.position.index <= matched {
                continue;
            }
            if entry.position.index != matched + 1 {
                break;
            }
            match self.log.epoch_at(entry.position.index) {
                Some(epoch) if epoch == entry.position.epoch => {}
                // No correct leader replaces a committed entry.
                Some(_) if entry.position.index <= self.commit => break,
                Some(_) => {
                    let from = entry.position.index;
                    self.log.truncate(from);
                    self.write(Write::Truncate(from), out);
                    self.log.push(entry);
                }
                None => self.log.push(entry),
            }
            matched += 1;
        }
        self.flush(out);
        Ok(matched)
    }

    /// Where the leader goes on after a mismatch: a whole epoch back, or at the end of a short log.
    fn resume_at(&self, index: u64) -> u64 {
        let last = self.log.last().index;
        if index > last {
            return last + 1;
        }
        self.log.run_start(index).max(self.commit + 1).min(index)
    }

    fn on_part(
        &mut self,
        from: &Name,
        position: Position,
        members: Vec<Member>,
        (offset, data, done): (u64, &[u8], bool),
        out: &mut Vec<Action>,
    ) {
        if position.index <= self.commit {
            self.incoming = None;
            self.confirm_to(from, self.commit.min(self.log.durable), out);
            return;
        }
        let epoch = self.epoch;
        let incoming = self
            .incoming
            .take_if(|incoming| incoming.epoch == epoch && incoming.position == position);
        let mut incoming = incoming.unwrap_or(Incoming {
            epoch,
            position,
            data: Vec::new(),
        });
        let expected = incoming.data.len() as u64 == offset;
        if expected {
            incoming.data.extend_from_slice(data);
        }
        if expected && done {
            self.install(position, members, incoming.data, out);
            self.confirm_to(from, position.index, out);
            return;
        }
        let offset = incoming.data.len() as u64;
        self.incoming = Some(incoming);
        self.send(from, self.saved, Body::SnapshotReply { offset }, out);
    }

    /// Tells the leader that the log matches up to an index once it is durable.
    fn confirm_to(&mut self, from: &Name, index: u64, out: &mut Vec<Action>) {
        let body = Body::AppendReply {
            round: 0,
            accepted: true,
            index,
        };
        self.send(from, self.seq, body, out);
    }

    fn install(
        &mut self,
        position: Position,
        members: Vec<Member>,
        data: Vec<u8>,
        out: &mut Vec<Action>,
    ) {
        let snapshot = Snapshot {
            position,
            members,
            data,
        };
        // A log that holds the position matches up to it, and its later entries may have been
        // acknowledged; any other log is replaced as a whole.
        if self.log.epoch_at(position.index) == Some(position.epoch) {
            self.commit_to(position.index, out);
            return;
        }
        let seq = self.write(Write::Install(snapshot.clone()), out);
        self.log.install(snapshot, seq);
        self.commit = position.index;
        out.push(Action::Restore);
    }
}

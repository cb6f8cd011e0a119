//! Entries and snapshots received from the leader.

use std::time::Instant;

use rand::Rng;
use types::Name;

use crate::{Action, Body, Entry, Epoch, Identity, Member, Node, Position, Snapshot, Write};

/// A snapshot that has been received in part.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// Epoch of the sending leader. Chunks of two leaders are never combined, as they may encode the
    /// same state differently.
    epoch: Epoch,
    position: Position,
    data: Vec<u8>,
}

impl<R: Rng> Node<R> {
    /// Handles a message that only the leader of an epoch sends.
    pub(crate) fn on_leader_message(
        &mut self,
        now: Instant,
        from: &Identity,
        epoch: Epoch,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        if epoch < self.epoch {
            // The reply tells the old leader the current epoch, so that it steps down.
            let body = Body::AppendReply {
                round: 0,
                accepted: false,
                index: 0,
            };
            self.send(&from.instance, self.vote_seq, body, actions);
            return;
        }
        self.last_leader_message_at = now;
        self.become_follower(now, epoch, Some(&from.instance), actions);
        match body {
            Body::Append {
                round,
                prev,
                commit,
                entries,
            } => self.on_append(&from.instance, round, prev, commit, entries, actions),
            Body::Snapshot {
                last,
                members,
                offset,
                data,
                done,
            } => {
                let chunk = (offset, data.as_slice(), done);
                self.on_snapshot_chunk(&from.instance, last, members, chunk, actions);
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
        actions: &mut Vec<Action>,
    ) {
        let is_heartbeat = entries.is_empty();
        let result = self.append_entries(prev, entries, actions);
        if let Ok(match_index) = result {
            self.commit_up_to(commit.min(match_index), actions);
        }
        let (accepted, index, after_seq) = match result {
            // A heartbeat is answered without waiting for entries to be synced: a slow sync must not
            // cost the leader its quorum. The reply covers what is already durable.
            Ok(match_index) if is_heartbeat => {
                (true, match_index.min(self.log.durable_index), self.vote_seq)
            }
            Ok(match_index) => (true, match_index, self.last_seq),
            Err(next_index) => (false, next_index, self.vote_seq),
        };
        let body = Body::AppendReply {
            round,
            accepted,
            index,
        };
        self.send(from, after_seq, body, actions);
    }

    /// Appends the entries after `prev`. Returns the last index that matches the leader's log, or
    /// on a mismatch the index from which the leader should send.
    fn append_entries(
        &mut self,
        prev: Position,
        entries: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) -> Result<u64, u64> {
        // Entries before the base are committed and therefore equal in the leader's log.
        let base = self.log.base().index;
        if prev.index >= base && self.log.epoch_at(prev.index) != Some(prev.epoch) {
            return Err(self.next_index_after_mismatch(prev.index));
        }
        let mut match_index = prev.index.max(base);
        for entry in entries {
            if entry.position.index <= match_index {
                continue;
            }
            if entry.position.index != match_index + 1 {
                break;
            }
            match self.log.epoch_at(entry.position.index) {
                Some(epoch) if epoch == entry.position.epoch => {}
                // No correct leader replaces a committed entry.
                Some(_) if entry.position.index <= self.commit_index => break,
                Some(_) => {
                    let first_index = entry.position.index;
                    self.log.truncate(first_index);
                    self.write(Write::Truncate(first_index), actions);
                    self.log.push(entry);
                }
                None => self.log.push(entry),
            }
            match_index += 1;
        }
        self.write_staged_entries(actions);
        Ok(match_index)
    }

    /// Index from which the leader should send after a mismatch at `index`: the start of the epoch
    /// that mismatches, or the end of a log that is too short.
    fn next_index_after_mismatch(&self, index: u64) -> u64 {
        let last_index = self.log.last().index;
        if index > last_index {
            return last_index + 1;
        }
        self.log
            .epoch_start(index)
            .max(self.commit_index + 1)
            .min(index)
    }

    fn on_snapshot_chunk(
        &mut self,
        from: &Name,
        position: Position,
        members: Vec<Member>,
        (offset, data, done): (u64, &[u8], bool),
        actions: &mut Vec<Action>,
    ) {
        if position.index <= self.commit_index {
            self.incoming_snapshot = None;
            self.acknowledge(from, self.commit_index.min(self.log.durable_index), actions);
            return;
        }
        let epoch = self.epoch;
        let incoming = self
            .incoming_snapshot
            .take_if(|incoming| incoming.epoch == epoch && incoming.position == position);
        let mut incoming = incoming.unwrap_or(Transfer {
            epoch,
            position,
            data: Vec::new(),
        });
        let is_next_chunk = incoming.data.len() as u64 == offset;
        if is_next_chunk {
            incoming.data.extend_from_slice(data);
        }
        if is_next_chunk && done {
            self.install_snapshot(position, members, incoming.data, actions);
            self.acknowledge(from, position.index, actions);
            return;
        }
        let offset = incoming.data.len() as u64;
        self.incoming_snapshot = Some(incoming);
        self.send(from, self.vote_seq, Body::SnapshotReply { offset }, actions);
    }

    /// Tells the leader that the log matches up to an index, once all writes so far are durable.
    fn acknowledge(&mut self, from: &Name, index: u64, actions: &mut Vec<Action>) {
        let body = Body::AppendReply {
            round: 0,
            accepted: true,
            index,
        };
        self.send(from, self.last_seq, body, actions);
    }

    fn install_snapshot(
        &mut self,
        position: Position,
        members: Vec<Member>,
        data: Vec<u8>,
        actions: &mut Vec<Action>,
    ) {
        let snapshot = Snapshot {
            position,
            members,
            data,
        };
        // A log that contains the position matches up to it, and its later entries may have been
        // acknowledged. Any other log is replaced as a whole.
        if self.log.epoch_at(position.index) == Some(position.epoch) {
            self.commit_up_to(position.index, actions);
            return;
        }
        let seq = self.write(Write::Install(snapshot.clone()), actions);
        self.log.install(snapshot, seq);
        self.commit_index = position.index;
        actions.push(Action::Restore);
    }
}

//! Snapshot transfer to replicas that lag behind the entries held in memory.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::id::{Index, ReplicaId};

use super::{
    Effect, Node, RoleState, Snapshot, Voters,
    log::Log,
    message::{Body, Chunk},
    progress::Flow,
};

/// Time after which an unanswered part is resent.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// A snapshot of which parts have been received.
#[derive(Debug)]
pub(super) struct Incoming {
    index: Index,
    total: u64,
    data: Vec<u8>,
}

impl Node {
    pub(super) fn start_install(&mut self, now: Instant, to: ReplicaId) {
        let Some(index) = self.snapshot.as_ref().map(|it| it.index) else {
            return;
        };
        self.send_chunk(now, to, index, 0);
    }

    pub(super) fn resend_chunk(&mut self, now: Instant, to: ReplicaId) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let flow = leader.progress.get(&to).map(|it| &it.flow);
        if let Some(Flow::Install {
            index,
            offset,
            sent,
        }) = flow
            && now.saturating_duration_since(*sent) >= RESEND_INTERVAL
        {
            let (index, offset) = (*index, *offset);
            self.send_chunk(now, to, index, offset);
        }
    }

    /// Sends one part of a snapshot; starts over if a newer snapshot has replaced it.
    fn send_chunk(&mut self, now: Instant, to: ReplicaId, index: Index, offset: u64) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let offset = if snapshot.index == index { offset } else { 0 };
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        progress.flow = Flow::Install {
            index: snapshot.index,
            offset,
            sent: now,
        };
        let start = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(snapshot.data.len());
        let end = (start + self.settings.chunk_bytes).min(snapshot.data.len());
        let chunk = Chunk {
            round: leader.round,
            index: snapshot.index,
            last_term: snapshot.term,
            voters: snapshot.voters.clone(),
            total: snapshot.data.len() as u64,
            offset: start as u64,
            data: snapshot.data[start..end].to_vec(),
        };
        self.send(to, Body::Chunk(chunk));
    }

    pub(super) fn on_chunk(&mut self, now: Instant, from: ReplicaId, chunk: Chunk) {
        self.become_follower(now, self.hard.term, Some(from));
        let (round, index) = (chunk.round, chunk.index);
        let offset = self.store_chunk(chunk);
        self.send(
            from,
            Body::ChunkAnswer {
                round,
                index,
                offset,
            },
        );
    }

    /// Stores a part and returns how many bytes of its snapshot are held.
    fn store_chunk(&mut self, chunk: Chunk) -> u64 {
        // An entry of the same term at that index means that the log equals the leader's up to
        // there, so it can be committed without an install.
        if self.log.term(chunk.index) == Some(chunk.last_term) {
            self.commit_to(chunk.index);
        }
        if chunk.index <= self.commit {
            return chunk.total;
        }
        if chunk.total > self.settings.max_snapshot_bytes as u64 {
            return 0;
        }
        let known = self
            .incoming
            .take()
            .filter(|it| it.index == chunk.index && it.total == chunk.total);
        let mut incoming = known.unwrap_or_else(|| Incoming {
            index: chunk.index,
            total: chunk.total,
            data: Vec::new(),
        });
        let held = incoming.data.len() as u64;
        if chunk.offset == held && held + chunk.data.len() as u64 <= chunk.total {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let held = incoming.data.len() as u64;
        if held < incoming.total {
            self.incoming = Some(incoming);
            return held;
        }
        self.install(Arc::new(Snapshot {
            index: chunk.index,
            term: chunk.last_term,
            voters: chunk.voters,
            data: Arc::from(incoming.data),
        }));
        held
    }

    fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.log = Log::new(Voters::default(), Some(&snapshot), Vec::new());
        self.commit = snapshot.index;
        self.snapshot = Some(Arc::clone(&snapshot));
        self.effects.push(Effect::Install(snapshot));
    }

    pub(super) fn on_chunk_answer(
        &mut self,
        now: Instant,
        from: ReplicaId,
        round: u64,
        index: Index,
        offset: u64,
    ) {
        // A newer snapshot may be smaller than the one that is being sent.
        let sent_whole = self
            .snapshot
            .as_ref()
            .is_some_and(|it| it.index == index && offset >= it.data.len() as u64);
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.active = Some(now);
        progress.round = progress.round.max(round);
        let Flow::Install {
            index: current,
            offset: sent,
            ..
        } = progress.flow
        else {
            self.check_rounds(now);
            return;
        };
        if current == index && sent_whole {
            progress.matched(index);
            self.replicate(now, from);
        } else if current != index || offset > sent || offset == 0 {
            self.send_chunk(now, from, index, offset);
        }
        self.advance_commit(now);
        self.check_rounds(now);
    }
}

//! Anti-entropy: comparison of whole tables, which recovers updates lost during a
//! network partition.
//!
//! Instance names are divided by hash into ranges. A daemon sends one checksum for
//! each range; the receiver answers with its records of the ranges that differ, and
//! gets back those that the sender has in a newer version.
//!
//! Load pattern: hundreds of daemons start at once. Records and proofs of all of them are
//! news to all, and a datagram of gossip carries a few. Instances that are not known to
//! hold a proof are on no entry list, so the tables are compared more often until most
//! are, and the checksums tell who is missing.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    id::{Incarnation, InstanceId},
    member::{Member, State},
};

use super::{
    Effect, Swim,
    message::{Kind, MAX_CONTENT_BYTES, MAX_VITAL_BYTES, hash, max_encoded_len},
    peer::{precedence, state_rank},
};

/// Number of name hash ranges.
const BUCKETS: usize = 16;

/// Bits of a name hash below those that number its range.
const BUCKET_SHIFT: u32 = 60;

/// Mark of a member without a known proof in a checksum.
const NO_PROOF: u8 = 1;

/// Share of the members without a known proof above which tables are compared more often,
/// as a divisor.
const UNSETTLED_DIVISOR: usize = 8;

/// Maximum digests answered per second.
const MAX_SERVED: u32 = 5;

impl Swim {
    /// Starts a table comparison with a random member when it is due.
    pub(super) fn start_sync<R>(&mut self, now: Instant, rng: &mut R) -> Vec<Effect>
    where
        R: Rng,
    {
        if now < self.next_sync {
            return Vec::new();
        }
        let target = self.sample_peers(1, rng, |_| true).pop();
        let Some(to) = target else {
            return Vec::new();
        };
        let jitter = rng.random_range(0.8..1.2);
        let interval = if self.is_unsettled() {
            self.settings.unsettled_sync_interval
        } else {
            self.settings.sync_interval
        };
        self.next_sync = now + interval.mul_f64(jitter);
        let buckets = self.checksums().to_vec();
        vec![self.send(to, Kind::Digest { buckets }, Vec::new(), false)]
    }

    /// Whether many members are not known to hold a proof.
    fn is_unsettled(&self) -> bool {
        let alive = || {
            let members = self.peers.values();
            members.filter(|it| it.member.state == State::Alive)
        };
        let unproven = alive().filter(|it| !it.has_proof()).count();
        unproven * UNSETTLED_DIVISOR > alive().count()
    }

    fn checksums(&self) -> [u64; BUCKETS] {
        let mut checksums = [0_u64; BUCKETS];
        let peers = self.peers.values().map(|it| (&it.member, it.has_proof()));
        let all = peers.chain([(&self.me, self.me.current)]);
        for (member, has_proof) in all.filter(|(it, _)| it.state != State::Dead) {
            let name_hash = hash(&member.id);
            let mut bytes = member.incarnation.to_le_bytes().to_vec();
            bytes.push(state_rank(member.state));
            // Nothing is added for a known proof, so that tables of settled clusters
            // compare equal with daemons that leave proofs out.
            if !has_proof {
                bytes.push(NO_PROOF);
            }
            let checksum = &mut checksums[bucket(name_hash)];
            *checksum = checksum.wrapping_add(xxh3_64_with_seed(&bytes, name_hash));
        }
        checksums
    }

    fn records(&self) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .map(|peer| &peer.member)
            .chain([&self.me])
    }

    /// Sends the records of the ranges that differ.
    pub(super) fn on_digest(
        &mut self,
        now: Instant,
        from: SocketAddr,
        theirs: &[u64],
    ) -> Vec<Effect> {
        if theirs.len() != BUCKETS || !self.may_serve(now) {
            return Vec::new();
        }
        let checksums = self.checksums();
        let differing = (0..BUCKETS).filter(|at| checksums[*at] != theirs[*at]);
        let mut effects = Vec::new();
        for number in differing {
            effects.extend(self.send_bucket(from, number));
        }
        effects
    }

    fn may_serve(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.syncs_served.0) >= Duration::from_secs(1) {
            self.syncs_served = (now, 0);
        }
        self.syncs_served.1 += 1;
        self.syncs_served.1 <= MAX_SERVED
    }

    /// Sends the records of one range, in as many datagrams as needed.
    fn send_bucket(&mut self, to: SocketAddr, number: usize) -> Vec<Effect> {
        let first = (number as u64) << BUCKET_SHIFT;
        let last = first | ((1 << BUCKET_SHIFT) - 1);
        let mut low = first;
        let mut effects = Vec::new();
        let mut chunks = chunks(self.records_between(first, last))
            .into_iter()
            .peekable();
        loop {
            let records = chunks.next().unwrap_or_default();
            let end = records.last().map(|record| hash(&record.id));
            let high = end.filter(|_| chunks.peek().is_some()).unwrap_or(last);
            let kind = Kind::Range {
                low,
                high,
                reply: true,
            };
            effects.push(self.send(to, kind, records, false));
            if high == last {
                return effects;
            }
            low = high + 1;
        }
    }

    /// Returns records that are newer here than in a received range.
    pub(super) fn on_range(
        &mut self,
        to: SocketAddr,
        low: u64,
        high: u64,
        theirs: &[(InstanceId, Incarnation, State)],
    ) -> Vec<Effect> {
        if low > high || bucket(low) != bucket(high) {
            return Vec::new();
        }
        let is_newer = |mine: &Member| match theirs.iter().find(|it| it.0 == mine.id) {
            Some((_, incarnation, state)) => precedence(mine) > (*incarnation, state_rank(*state)),
            None => mine.state != State::Dead,
        };
        let records = self
            .records_between(low, high)
            .into_iter()
            .filter(is_newer)
            .collect();
        chunks(records)
            .into_iter()
            .map(|chunk| self.send(to, Kind::Gossip, chunk, false))
            .collect()
    }

    /// All records in a range of hashes, ordered by hash.
    fn records_between(&self, low: u64, high: u64) -> Vec<Member> {
        let mut found: Vec<(u64, &Member)> = self
            .records()
            .map(|member| (hash(&member.id), member))
            .filter(|(name_hash, _)| (low..=high).contains(name_hash))
            .collect();
        found.sort_unstable_by_key(|(name_hash, _)| *name_hash);
        found
            .into_iter()
            .map(|(_, member)| member.clone())
            .collect()
    }
}

fn bucket(hash: u64) -> usize {
    usize::try_from(hash >> BUCKET_SHIFT).unwrap_or_default()
}

/// Divides records so that each chunk fits one datagram.
fn chunks(records: Vec<Member>) -> Vec<Vec<Member>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut bytes = 0;
    for record in records {
        let needed = max_encoded_len(&record) + MAX_VITAL_BYTES;
        if bytes + needed > MAX_CONTENT_BYTES && !chunk.is_empty() {
            chunks.push(std::mem::take(&mut chunk));
            bytes = 0;
        }
        bytes += needed;
        chunk.push(record);
    }
    if !chunk.is_empty() {
        chunks.push(chunk);
    }
    chunks
}

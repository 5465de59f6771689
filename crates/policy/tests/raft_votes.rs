//! Votes, terms and commits of a single node, message by message.

mod cluster;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use citron_policy::{
    id::{ReplicaId, Term},
    raft::{
        Effect, Entry, Event, Formation, HardState, Node, Payload, Role, Settings, Snapshot,
        Stored, Voters,
        message::{AppendResult, Body, LogPosition, Message},
    },
    state::Command,
};
use googletest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

use cluster::{Cluster, claim};

const IDS: [ReplicaId; 3] = [11, 12, 13];

fn message(
    cluster: &mut Cluster,
    from: ReplicaId,
    to: ReplicaId,
    term: Term,
    body: Body,
) -> Message {
    let formation = cluster.replica(to).disk.hard.formation.clone();
    Message {
        formation: formation.expect("a formation").id,
        from,
        to,
        term,
        body,
    }
}

/// Whether `to` grants its vote to `from`.
fn grants_vote(
    cluster: &mut Cluster,
    from: ReplicaId,
    to: ReplicaId,
    term: Term,
    last: LogPosition,
) -> bool {
    cluster.in_flight.clear();
    let ask = message(cluster, from, to, term, Body::Vote(last));
    cluster.event(to, Event::Receive(ask));
    cluster
        .in_flight
        .iter()
        .any(|(_, it)| it.to == from && it.body == Body::VoteAnswer { granted: true })
}

const AHEAD: LogPosition = LogPosition {
    term: 1_000,
    index: 1_000,
};

#[gtest]
fn a_vote_holds_over_a_restart() {
    let mut cluster = Cluster::formed(1, &IDS);
    expect_that!(grants_vote(&mut cluster, 11, 13, 50, AHEAD), eq(true));
    cluster.kill(13);
    cluster.restart(13);
    expect_that!(grants_vote(&mut cluster, 12, 13, 50, AHEAD), eq(false));
    expect_that!(grants_vote(&mut cluster, 11, 13, 50, AHEAD), eq(true));
}

#[gtest]
fn a_candidates_own_vote_holds_over_a_restart() {
    let mut cluster = Cluster::formed(2, &IDS);
    let leader = cluster.leader().expect("a leader");
    let others = cluster.others(leader);
    let (candidate, other) = (others[0], others[1]);
    cluster.kill(leader);
    cluster.run_until("a campaign", |it| it.leader().is_some());
    let candidate = cluster.leader().map_or(candidate, |it| it);
    let other = if other == candidate { others[0] } else { other };
    let term = cluster.replica(candidate).node.standing().term;
    cluster.kill(candidate);
    cluster.restart(candidate);
    expect_that!(
        grants_vote(&mut cluster, other, candidate, term, AHEAD),
        eq(false)
    );
}

#[gtest]
fn a_candidate_with_a_shorter_log_gets_no_vote() {
    let mut cluster = Cluster::formed(3, &IDS);
    cluster.submit(&Command::Claim(claim("k", 1, 1_000)));
    cluster.run(Duration::from_secs(1));
    let entries = &cluster.replica(13).disk.entries;
    let end = Arc::clone(entries.last().expect("an entry"));
    let shorter = LogPosition {
        term: end.term,
        index: end.index - 1,
    };
    let older = LogPosition {
        term: end.term - 1,
        index: end.index + 10,
    };
    let equal = LogPosition {
        term: end.term,
        index: end.index,
    };
    expect_that!(grants_vote(&mut cluster, 11, 13, 50, shorter), eq(false));
    expect_that!(grants_vote(&mut cluster, 11, 13, 51, older), eq(false));
    expect_that!(grants_vote(&mut cluster, 11, 13, 52, equal), eq(true));
}

/// Replica 11 with given durable state, elected leader of term 4 by replica 12.
struct Elected {
    node: Node,
    now: Instant,
    rng: StdRng,
}

impl Elected {
    fn new(snapshot: Option<Arc<Snapshot>>, entries: Vec<Arc<Entry>>) -> Self {
        let mut rng = StdRng::seed_from_u64(4);
        let voters = Voters::new(IDS.to_vec());
        let stored = Stored {
            id: 11,
            hard: HardState {
                term: 3,
                vote: None,
                formation: Some(Formation {
                    id: 9,
                    voters,
                    active: true,
                    ..Formation::default()
                }),
            },
            snapshot,
            entries,
        };
        let node = Node::new(Instant::now(), Settings::default(), stored, &mut rng);
        let now = node.next_wake();
        let mut elected = Self { node, now, rng };
        elected.event(Event::Tick);
        elected.receive(12, Body::PreVoteAnswer { granted: true });
        elected.receive(12, Body::VoteAnswer { granted: true });
        assert_eq!(elected.node.standing().role, Role::Leader);
        elected
    }

    fn event(&mut self, event: Event) -> Vec<Effect> {
        self.node.on_event(self.now, event, &mut self.rng)
    }

    fn receive(&mut self, from: ReplicaId, body: Body) -> Vec<Effect> {
        self.event(Event::Receive(Message {
            formation: 9,
            from,
            to: 11,
            term: 4,
            body,
        }))
    }

    fn matched(&mut self, from: ReplicaId, round: u64, index: u64) -> Vec<Effect> {
        let result = AppendResult::Matched(index);
        self.receive(from, Body::AppendAnswer { round, result })
    }
}

#[gtest]
fn an_entry_of_an_older_term_is_not_committed_by_counting() {
    let old = Arc::new(Entry::new(1, 2, Payload::Noop));
    let mut leader = Elected::new(None, vec![old]);
    let commits = |effects: &[Effect]| effects.iter().any(|it| matches!(it, Effect::Commit(_)));
    let effects = leader.matched(12, 1, 1);
    expect_that!(commits(&effects), eq(false));
    expect_that!(leader.node.commit(), eq(0));
    let effects = leader.matched(12, 1, 2);
    expect_that!(commits(&effects), eq(true));
    expect_that!(leader.node.commit(), eq(2));
}

#[gtest]
fn an_answer_to_a_heartbeat_alone_brings_no_snapshot() {
    let snapshot = Snapshot {
        index: 5,
        term: 3,
        voters: Voters::new(IDS.to_vec()),
        data: Arc::from([7; 100]),
    };
    let mut leader = Elected::new(Some(Arc::new(snapshot)), Vec::new());
    leader.matched(12, 1, 6);
    // A read sends 13 a heartbeat while the first entry for it is still in flight.
    leader.event(Event::Read(1));
    let effects = leader.matched(13, 2, 0);
    let chunks = effects
        .iter()
        .filter(|it| matches!(it, Effect::Send(message) if matches!(message.body, Body::Chunk(_))));
    expect_that!(chunks.count(), eq(0));
    leader.matched(13, 1, 6);
    expect_that!(leader.node.commit(), eq(6));
}

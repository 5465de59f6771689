//! Finding the leader, and asking it.

use std::time::{Duration, Instant};

use citron_policy::id::{InstanceId, ReplicaId};
use citron_wire::{Body, generated::control as proto};

use super::{Control, Error, outcome, wrap};
use crate::peers;

/// Longest wait for one replica before another is asked.
const ATTEMPT: Duration = Duration::from_millis(1_500);

/// Pause before the next replica is asked while none leads.
const PAUSE: Duration = Duration::from_millis(50);

/// What one replica said.
enum Reply {
    /// It leads, and this is the outcome.
    Final(proto::message::Body),
    /// It does not lead; another may.
    NotLeader(Option<ReplicaId>),
    /// It may have acted on the question.
    Unsure,
    /// It certainly did not act on it.
    Unreached,
}

impl Control {
    /// Asks the leader, wherever it is, until it answers or the time is over.
    pub(super) async fn ask_leader(
        &self,
        question: proto::message::Body,
        within: Duration,
    ) -> Result<proto::message::Body, Error> {
        let end = Instant::now() + within;
        let mut unsure = false;
        let mut turn = 0;
        while let Some(left) = remaining(end) {
            let Some((instance, replica)) = self.candidate(&mut turn) else {
                actix_rt::time::sleep(PAUSE.min(left)).await;
                continue;
            };
            let asked = self.ask(&instance, replica, question.clone(), left.min(ATTEMPT));
            match reply_of(asked.await) {
                Reply::Final(body) => {
                    self.inner.leader.set(Some(replica));
                    return outcome::settle(body, unsure);
                }
                Reply::NotLeader(Some(leader)) if self.inner.leader.get() != Some(leader) => {
                    self.inner.leader.set(Some(leader));
                    continue;
                }
                Reply::Unsure => unsure = true,
                Reply::NotLeader(_) | Reply::Unreached => {}
            }
            self.inner.leader.set(None);
            actix_rt::time::sleep(PAUSE.min(left)).await;
        }
        Err(if unsure {
            Error::Unsure
        } else {
            Error::NoLeader
        })
    }

    /// The leader, if known, or else each replica in turn, the own one first.
    fn candidate(&self, turn: &mut usize) -> Option<(InstanceId, ReplicaId)> {
        let mut known = self.replicas();
        let leader = self.inner.leader.get();
        if let Some(found) = known.iter().find(|it| Some(it.1) == leader) {
            return Some(found.clone());
        }
        known.sort_by_key(|it| it.0 != *self.inner.hub.me());
        let place = *turn % known.len().max(1);
        *turn += 1;
        known.into_iter().nth(place)
    }

    /// Asks one replica.
    pub(super) async fn ask(
        &self,
        instance: &InstanceId,
        replica: ReplicaId,
        question: proto::message::Body,
        within: Duration,
    ) -> Result<proto::message::Body, peers::Error> {
        if let Some(port) = &self.inner.port
            && port.replica() == replica
        {
            let answer = actix_rt::time::timeout(within, port.ask(question)).await;
            return Ok(match answer {
                Ok(Ok(body)) => body,
                Ok(Err(_)) | Err(_) => outcome::unsure(),
            });
        }
        let call = self
            .inner
            .hub
            .call(instance, Body::Control(wrap(question)), within);
        match call.await? {
            Body::Control(proto::Message {
                body: Some(body), ..
            }) => Ok(body),
            _ => Ok(outcome::unsure()),
        }
    }
}

fn reply_of(answer: Result<proto::message::Body, peers::Error>) -> Reply {
    use peers::Error as Lost;
    match answer {
        Ok(proto::message::Body::Failure(failure)) => match failure.kind {
            outcome::NOT_LEADER => Reply::NotLeader(failure.leader),
            outcome::UNSURE => Reply::Unsure,
            _ => Reply::Final(proto::message::Body::Failure(failure)),
        },
        Ok(body) => Reply::Final(body),
        Err(Lost::Unknown { .. } | Lost::Full { .. } | Lost::Refused { .. }) => Reply::Unreached,
        Err(Lost::Lost { .. } | Lost::Late { .. }) => Reply::Unsure,
    }
}

fn remaining(end: Instant) -> Option<Duration> {
    end.checked_duration_since(Instant::now())
        .filter(|left| !left.is_zero())
}

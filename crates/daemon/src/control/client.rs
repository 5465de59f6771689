//! Finding the leader, and asking it.

use std::time::{Duration, Instant};

use citron_policy::{
    id::{InstanceId, ReplicaId},
    leader_search::{self, Effect, Event, Search},
};
use citron_wire::{Body, generated::control as proto};
use futures_util::{
    future::LocalBoxFuture,
    stream::{FuturesUnordered, StreamExt},
};

use super::{Control, Error, outcome, wrap};
use crate::peers;

/// What came of a message to a replica.
enum Heard {
    /// Of the question itself.
    Reply(ReplicaId, Reply),
    /// Of the question who leads; nothing if it stayed without an answer.
    Stands(Option<Event>),
}

/// What one replica said to the question.
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
        let begun = Instant::now();
        let end = begun + within;
        let leader = &self.inner.leader;
        let mut search = Search::new(begun, leader_search::Settings::default(), leader.get());
        let mut calls: FuturesUnordered<LocalBoxFuture<'_, Heard>> = FuturesUnordered::new();
        let mut unsure = false;
        let mut event = Some(Event::Timer);
        loop {
            let now = Instant::now();
            if now >= end {
                break;
            }
            if let Some(event) = event.take() {
                let replicas = self.replicas();
                let known: Vec<ReplicaId> = replicas.iter().map(|it| it.1).collect();
                for effect in search.on_event(now, &known, event) {
                    if let Effect::Ask(replica) = effect {
                        leader.set(Some(replica));
                    }
                    calls.extend(self.carry_out(&replicas, effect, &question, end - now));
                }
            }
            let pause = search.due().min(end).saturating_duration_since(now);
            event = tokio::select! {
                Some(heard) = calls.next() => match heard {
                    Heard::Reply(replica, Reply::Final(body)) => {
                        leader.set(Some(replica));
                        let unsure = unsure || search.is_pending_except(Some(replica));
                        return outcome::settle(body, unsure);
                    }
                    Heard::Reply(replica, Reply::NotLeader(leader)) => {
                        Some(Event::Declined { replica, leader })
                    }
                    Heard::Reply(replica, Reply::Unsure) => {
                        unsure = true;
                        Some(Event::Lost(replica))
                    }
                    Heard::Reply(replica, Reply::Unreached) => Some(Event::Lost(replica)),
                    Heard::Stands(event) => event,
                },
                () = actix_rt::time::sleep(pause) => Some(Event::Timer),
            };
        }
        Err(if unsure || search.is_pending_except(None) {
            Error::Unsure
        } else {
            Error::NoLeader
        })
    }

    /// The message that an effect asks for; none to a replica that has gone.
    fn carry_out<'a>(
        &'a self,
        replicas: &[(InstanceId, ReplicaId)],
        effect: Effect,
        question: &proto::message::Body,
        within: Duration,
    ) -> Option<LocalBoxFuture<'a, Heard>> {
        let (Effect::Ask(replica) | Effect::Probe(replica)) = effect;
        let (instance, _) = replicas.iter().find(|it| it.1 == replica)?;
        let instance = instance.clone();
        Some(match effect {
            Effect::Ask(_) => {
                let question = question.clone();
                Box::pin(async move {
                    let asked = self.ask(&instance, replica, question, within);
                    Heard::Reply(replica, reply_of(asked.await))
                })
            }
            Effect::Probe(_) => Box::pin(async move {
                let question = proto::message::Body::Status(proto::Ask {});
                let asked = self.ask(&instance, replica, question, within);
                Heard::Stands(stands(asked.await.ok()))
            }),
        })
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

/// What a replica's status tells a search.
fn stands(answer: Option<proto::message::Body>) -> Option<Event> {
    match answer {
        Some(proto::message::Body::Standing(status)) => Some(Event::Status {
            replica: status.replica,
            term: status.term,
            leader: status.leader,
        }),
        _ => None,
    }
}

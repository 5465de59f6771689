//! Finds the leader and sends it requests.

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

use super::{Control, Error, outcome, to_message};
use crate::peers;

/// Response to a message that was sent to a replica.
enum Response {
    /// To the request itself.
    Reply(ReplicaId, Reply),
    /// To a status probe; none if the replica did not answer.
    Status(Option<Event>),
}

/// What one replica replied to the request.
enum Reply {
    /// It is the leader, and this is the outcome.
    Final(Box<proto::message::Body>),
    /// It is not the leader, and may have named another one.
    NotLeader(Option<ReplicaId>),
    /// It may have executed the request.
    Unsure,
    /// It definitely did not execute the request.
    NotRun,
}

impl Control {
    /// Finds the leader and sends it a request, until it answers or `within` has passed.
    pub(super) async fn call_leader(
        &self,
        request: proto::message::Body,
        within: Duration,
    ) -> Result<proto::message::Body, Error> {
        let begun = Instant::now();
        let end = begun + within;
        let leader = &self.inner.leader;
        let mut search = Search::new(begun, leader_search::Settings::default(), leader.get());
        let mut calls: FuturesUnordered<LocalBoxFuture<'_, Response>> = FuturesUnordered::new();
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
                    calls.extend(self.start_call(&replicas, effect, &request, end - now));
                }
            }
            let pause = search.due().min(end).saturating_duration_since(now);
            event = tokio::select! {
                Some(response) = calls.next() => match response {
                    Response::Reply(replica, Reply::Final(body)) => {
                        leader.set(Some(replica));
                        let unsure = unsure || search.is_pending_except(Some(replica));
                        return outcome::resolve(*body, unsure);
                    }
                    Response::Reply(replica, Reply::NotLeader(leader)) => {
                        Some(Event::Declined { replica, leader })
                    }
                    Response::Reply(replica, Reply::Unsure) => {
                        unsure = true;
                        Some(Event::Lost(replica))
                    }
                    Response::Reply(replica, Reply::NotRun) => Some(Event::Lost(replica)),
                    Response::Status(event) => event,
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

    /// The call that an effect asks for; none if the replica is no longer a known member.
    fn start_call<'a>(
        &'a self,
        replicas: &[(InstanceId, ReplicaId)],
        effect: Effect,
        request: &proto::message::Body,
        within: Duration,
    ) -> Option<LocalBoxFuture<'a, Response>> {
        let (Effect::Ask(replica) | Effect::Probe(replica)) = effect;
        let (instance, _) = replicas.iter().find(|it| it.1 == replica)?;
        let instance = instance.clone();
        Some(match effect {
            Effect::Ask(_) => {
                let request = request.clone();
                Box::pin(async move {
                    let call = self.call_replica(&instance, replica, request, within);
                    Response::Reply(replica, classify(call.await))
                })
            }
            Effect::Probe(_) => Box::pin(async move {
                let request = proto::message::Body::Status(proto::Ask {});
                let call = self.call_replica(&instance, replica, request, within);
                Response::Status(status_event(call.await.ok()))
            }),
        })
    }

    /// Sends a request to one replica and waits for the answer.
    pub(super) async fn call_replica(
        &self,
        instance: &InstanceId,
        replica: ReplicaId,
        request: proto::message::Body,
        within: Duration,
    ) -> Result<proto::message::Body, peers::Error> {
        if let Some(mailbox) = &self.inner.mailbox
            && mailbox.replica() == replica
        {
            let answer = actix_rt::time::timeout(within, mailbox.request(request)).await;
            return Ok(match answer {
                Ok(Ok(body)) => body,
                Ok(Err(_)) | Err(_) => outcome::unsure(),
            });
        }
        let call = self
            .inner
            .hub
            .call(instance, Body::Control(to_message(request)), within);
        match call.await? {
            Body::Control(proto::Message {
                body: Some(body), ..
            }) => Ok(body),
            _ => Ok(outcome::unsure()),
        }
    }
}

fn classify(answer: Result<proto::message::Body, peers::Error>) -> Reply {
    use peers::Error as Failed;
    match answer {
        Ok(proto::message::Body::Failure(failure)) => match failure.kind {
            outcome::NOT_LEADER => Reply::NotLeader(failure.leader),
            outcome::UNSURE => Reply::Unsure,
            _ => Reply::Final(Box::new(proto::message::Body::Failure(failure))),
        },
        Ok(body) => Reply::Final(Box::new(body)),
        Err(Failed::Unknown { .. } | Failed::Full { .. } | Failed::Refused { .. }) => Reply::NotRun,
        Err(Failed::Lost { .. } | Failed::Late { .. }) => Reply::Unsure,
    }
}

/// The search event that a status answer stands for.
fn status_event(answer: Option<proto::message::Body>) -> Option<Event> {
    match answer {
        Some(proto::message::Body::Standing(status)) => Some(Event::Status {
            replica: status.replica,
            term: status.term,
            leader: status.leader,
        }),
        _ => None,
    }
}

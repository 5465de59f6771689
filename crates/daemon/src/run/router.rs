//! Routes messages from peers to the parts that handle them.

use citron_policy::id::InstanceId;
use citron_wire::Body;
use futures_util::future::LocalBoxFuture;

use crate::{admin::Admin, control::Control, follow::Follow, peers::Handler, slots::Slots};

/// The parts that handle messages from peers.
#[derive(Debug)]
pub(super) struct Router {
    pub(super) admin: Admin,
    pub(super) control: Control,
    pub(super) follow: Follow,
    pub(super) slots: Slots,
}

impl Handler for Router {
    fn on_message(&self, from: &InstanceId, body: Body) {
        match body {
            Body::Control(message) => self.control.on_message(from, message),
            Body::Feed(message) => self.follow.on_message(from, message),
            Body::Slot(message) => self.slots.on_message(from, message),
            Body::Status(_) | Body::Refusal(_) | Body::Duty(_) => {
                log::debug!("CP0902 message from {from} dropped: its kind is only valid in a call");
            }
        }
    }

    fn on_call(
        &self,
        from: &InstanceId,
        body: Body,
    ) -> LocalBoxFuture<'static, Result<Body, String>> {
        match body {
            Body::Control(message) => {
                let answer = self.control.on_call(from, message);
                Box::pin(async move { answer.await.map(Body::Control) })
            }
            Body::Feed(message) => {
                let answer = self.follow.on_call(from, message);
                Box::pin(async move { answer.await.map(Body::Feed) })
            }
            Body::Slot(message) => {
                let answer = self.slots.on_call(from, message);
                Box::pin(async move { answer.await.map(Body::Slot) })
            }
            Body::Status(message) => {
                let answer = self.admin.on_call(from, message);
                Box::pin(async move { answer.await.map(Body::Status) })
            }
            Body::Refusal(_) | Body::Duty(_) => {
                Box::pin(std::future::ready(Err("not a question".to_owned())))
            }
        }
    }
}

//! Polls the runners of hosted arbiters for their load.
//!
//! Reports lag and may be missing; the arbiter corrects them by its own grants. A
//! slow response delays only the next poll of the same runner.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use citron_policy::{
    arbiter,
    id::{RunnerId, ServiceId},
    platform::Standing,
};
use indexmap::IndexSet;
use serde::Deserialize;

use super::{Slots, host::Work};
use crate::upstream::{self, Limits, Request};

/// Time between two polls of a runner.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest report, in bytes.
const MAX_REPORT_BYTES: u64 = 4 << 10;

/// Load report of a runner; unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct Report {
    running: u32,
    waiting: u32,
    #[serde(default)]
    slots: u32,
}

/// Polls all runners; never returns.
pub(super) async fn run(slots: Slots) {
    let polling: Rc<RefCell<IndexSet<RunnerId>>> = Rc::default();
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        for (service, _) in slots.inner.hosted_services() {
            for runner in slots.inner.runners(&service) {
                let leaving = runner.standing == Standing::Leaving;
                if leaving || !polling.borrow_mut().insert(runner.id.clone()) {
                    continue;
                }
                let (slots, polling) = (slots.clone(), Rc::clone(&polling));
                let service = service.clone();
                actix_rt::spawn(async move {
                    poll(&slots, service, &runner.id, runner.address).await;
                    polling.borrow_mut().swap_remove(&runner.id);
                });
            }
        }
    }
}

async fn poll(slots: &Slots, service: ServiceId, runner: &RunnerId, address: SocketAddr) {
    let Some(report) = fetch_report(address).await else {
        log::debug!("CP0308 no load report of runner {runner}");
        return;
    };
    let load = arbiter::Event::Load {
        runner: runner.clone(),
        running: report.running.saturating_add(report.waiting),
        slots: report.slots,
    };
    slots.inner.drive(vec![Work::Arbiter(service, load)]);
}

async fn fetch_report(address: SocketAddr) -> Option<Report> {
    let limits = Limits {
        connect: REPORT_TIMEOUT,
        head: REPORT_TIMEOUT,
        idle: REPORT_TIMEOUT,
        whole: REPORT_TIMEOUT,
        max_body_bytes: MAX_REPORT_BYTES,
        ..Limits::default()
    };
    let request = Request {
        id: "load".to_owned(),
        path: "/load".to_owned(),
        ..Request::default()
    };
    let mut response = upstream::exchange(address, request, &limits).await.ok()?;
    let mut body = Vec::new();
    while let Some(part) = response.body.next().await {
        body.extend_from_slice(&part.ok()?);
    }
    serde_json::from_slice(&body).ok()
}

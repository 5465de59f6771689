//! Many streams held open, to see what they cost.

use std::{cell::Cell, io, rc::Rc, time::Instant};

use serde_json::{Value, json};

use super::{
    Settings, chat, check,
    client::{Connections, Target},
    entries::Entries,
    report::Outcome,
};

/// Opens `count` streamed chats at once and keeps them for the run's time.
///
/// # Errors
/// Settings that cannot be driven.
pub async fn hold(settings: &Settings, count: usize) -> io::Result<Value> {
    check(settings)?;
    let connections = Rc::new(Connections::new(false));
    let entries = Rc::new(Entries::new(&settings.addresses, settings.direct));
    // All streams start at once, so the list is asked for before.
    entries.choose(&connections).await;
    let kept = Rc::new(Cell::new(0_usize));
    let begun = Instant::now();
    let streams = (0..count).map(|number| {
        let (connections, entries) = (Rc::clone(&connections), Rc::clone(&entries));
        let (kept, settings) = (Rc::clone(&kept), settings.clone());
        actix_rt::spawn(async move {
            let Some(address) = entries.choose(&connections).await else {
                return;
            };
            let item = &settings.items[0];
            let target = Target {
                address,
                direct: settings.direct,
                id: format!("hold-{number:08x}"),
                timeout: settings.time.saturating_sub(begun.elapsed()),
            };
            let prompt = item.prompt(settings.seed, number);
            let outcome = chat::ask(&connections, &target, item, &prompt, begun).await;
            // A stream that is still open at the end was cut off by the clock.
            if matches!(outcome, Outcome::Late | Outcome::Answered(_)) {
                kept.set(kept.get() + 1);
            }
        })
    });
    futures_util::future::join_all(streams).await;
    Ok(json!({"asked": count, "kept": kept.get(), "seconds": begun.elapsed().as_secs_f64()}))
}

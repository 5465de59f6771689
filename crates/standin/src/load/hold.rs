//! Many concurrent open streams, to measure their cost.

use std::{cell::Cell, io, rc::Rc, time::Instant};

use serde_json::{Value, json};

use super::{
    Settings, chat,
    client::{Connections, Target},
    entries::Entries,
    report::Outcome,
    validate,
};

/// Opens `count` streamed chats at once and holds them until the run ends.
///
/// # Errors
/// Invalid settings.
pub async fn hold(settings: &Settings, count: usize) -> io::Result<Value> {
    validate(settings)?;
    let connections = Rc::new(Connections::new(false));
    let entries = Rc::new(Entries::new(&settings.addresses, settings.direct));
    // All streams start at once, so the list is fetched beforehand.
    entries.choose(&connections).await;
    let open = Rc::new(Cell::new(0_usize));
    let begun = Instant::now();
    let streams = (0..count).map(|number| {
        let (connections, entries) = (Rc::clone(&connections), Rc::clone(&entries));
        let (open, settings) = (Rc::clone(&open), settings.clone());
        actix_rt::spawn(async move {
            let Some(address) = entries.choose(&connections).await else {
                return;
            };
            let item = &settings.items[0];
            let target = Target {
                address,
                direct: settings.direct,
                id: format!("hold-{number:08x}"),
                timeout: settings.duration.saturating_sub(begun.elapsed()),
            };
            let prompt = item.prompt(settings.seed, number);
            let outcome = chat::send(&connections, &target, item, &prompt, begun).await;
            // A stream that is still open at the end of the run hits its timeout.
            if matches!(outcome, Outcome::Late | Outcome::Answered(_)) {
                open.set(open.get() + 1);
            }
        })
    });
    futures_util::future::join_all(streams).await;
    Ok(json!({"asked": count, "kept": open.get(), "seconds": begun.elapsed().as_secs_f64()}))
}

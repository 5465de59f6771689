//! Opening a data folder, and starting the thread that serves it.

use std::{fmt, sync::mpsc::sync_channel, thread, time::Duration};

use citron_journal::{Disk, Error as Fault};
use citron_policy::{
    feed,
    id::ReplicaId,
    raft::{Node, Stored},
    state::Machine,
};
use tokio::sync::{mpsc, oneshot};

use crate::clock;

use super::{
    Error, Settings,
    driver::{Driver, INPUT_QUEUE, Links, Outgoing, Port},
    metrics::Metrics,
    store::Store,
};

/// Time between two tries to open the folder of a full disk.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// An opened data folder, not yet taking part.
pub struct Replica {
    settings: Settings,
    store: Store<Disk>,
    stored: Stored,
    machine: Machine,
}

impl fmt::Debug for Replica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Replica")
            .field("id", &self.stored.id)
            .finish_non_exhaustive()
    }
}

impl Replica {
    /// Opens the journal in the data folder.
    ///
    /// # Errors
    /// When the folder is damaged or cannot be written; the text names the remedy.
    pub fn open(settings: &Settings) -> Result<Self, Error> {
        let files = Disk::new(&settings.folder).map_err(|error| Error::Refused {
            reason: format!(
                "data folder {}: {error}: check that it exists and is writable",
                settings.folder.display()
            ),
        })?;
        let (store, stored, machine) = Store::open(files, settings.limits)?;
        Ok(Self {
            settings: settings.clone(),
            store,
            stored,
            machine,
        })
    }

    /// Random identity of the data folder.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.stored.id
    }

    /// Takes part, on a thread of its own, until the port and its clones are gone.
    pub(super) fn run(
        self,
        metrics: Metrics,
        outgoing: mpsc::Sender<Outgoing>,
        feed: mpsc::Sender<feed::Local>,
        alarm: oneshot::Sender<String>,
    ) -> Port {
        let (sender, inputs) = sync_channel(INPUT_QUEUE);
        let port = Port::new(self.id(), sender, metrics.clone());
        let mut rng = rand::rng();
        let node = Node::new(
            clock::now(),
            self.settings.raft.clone(),
            self.stored,
            &mut rng,
        );
        let links = Links {
            inputs,
            outgoing,
            feed,
            metrics,
        };
        let settings = self.settings.clone();
        let driver = Driver::new(self.settings, node, self.store, self.machine, links);
        let alarm = Alarm(Some(alarm));
        let spawned = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || serve(&settings, driver, alarm));
        if let Err(error) = spawned {
            // The alarm went with the closure: the caller sees no replica answer.
            log::error!("CP0407 control replica not started: {error}: check the thread limit");
        }
        port
    }
}

fn serve(settings: &Settings, mut driver: Driver<Disk>, mut alarm: Alarm) {
    while let Err(error) = driver.run() {
        if !settings.outlive_disk {
            alarm.ring(error.to_string());
            return;
        }
        log::error!(event = "CP0413"; "control replica takes no part any more: {error}");
        driver.suspend();
        if !wait_for_disk(settings, &mut driver, &error) {
            return;
        }
        log::info!(event = "CP0414"; "control replica takes part again");
    }
}

/// Opens the folder of a full disk again once it has room; false at the end.
///
/// After any other failure what the disk holds is in doubt, so the replica stays
/// out until the process is started anew.
fn wait_for_disk(settings: &Settings, driver: &mut Driver<Disk>, error: &Fault) -> bool {
    while driver.refuse(REOPEN_PAUSE) {
        if !error.is_full() {
            continue;
        }
        match Replica::open(settings) {
            Ok(replica) => {
                driver.resume(replica.store, replica.stored, replica.machine);
                return true;
            }
            Err(error) => log::debug!(event = "CP0413"; "data folder not opened yet: {error}"),
        }
    }
    false
}

/// Tells the daemon that the thread ended for a fault.
struct Alarm(Option<oneshot::Sender<String>>);

impl Alarm {
    fn ring(&mut self, reason: String) {
        log::error!("CP0407 control replica stopped: {reason}");
        if let Some(sender) = self.0.take() {
            // A daemon that is gone needs no telling.
            drop(sender.send(reason));
        }
    }
}

impl Drop for Alarm {
    fn drop(&mut self) {
        if thread::panicking() {
            self.ring("a check of the log failed: keep the data folder and report it".to_owned());
        }
    }
}

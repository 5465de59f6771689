//! Opens a data folder and starts the replica thread on it.

use std::{
    fmt, io,
    sync::{Arc, mpsc::sync_channel},
    thread,
    time::Duration,
};

use citron_journal::{Disk, Files, Journal};
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
    driver::{Channels, Driver, INPUT_QUEUE, Mailbox, Outgoing},
    metrics::Metrics,
    store::Store,
};

/// Time between two attempts to reopen the data folder after the disk was full.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// Gives access to the data folder, each time that it is opened.
pub type Source<F> = Arc<dyn Fn() -> io::Result<F> + Send + Sync>;

/// A replica that does not take part yet.
pub struct Replica<F = Disk>
where
    F: Files,
{
    settings: Settings,
    source: Source<F>,
    id: ReplicaId,
    /// None while the folder cannot be opened.
    opened: Option<Opened<F>>,
}

/// An open data folder, and what it holds.
struct Opened<F>
where
    F: Files,
{
    store: Store<F>,
    stored: Stored,
    machine: Machine,
}

impl<F> fmt::Debug for Replica<F>
where
    F: Files,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Replica")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Replica {
    /// Opens the journal in the data folder.
    ///
    /// # Errors
    /// When the folder is damaged or cannot be written; the text names the remedy.
    pub fn open(settings: &Settings) -> Result<Self, Error> {
        Self::open_from(settings, source(settings))
    }

    /// Stands for a data folder that cannot be opened yet; none if it was never used.
    ///
    /// # Errors
    /// When the folder cannot be read.
    pub fn wait(settings: &Settings) -> Result<Option<Self>, Error> {
        Self::wait_for(settings, source(settings))
    }
}

/// The data folder that the settings name.
fn source(settings: &Settings) -> Source<Disk> {
    let folder = settings.folder.clone();
    Arc::new(move || Disk::new(&folder))
}

impl<F> Replica<F>
where
    F: Files + Send + 'static,
{
    /// Opens the journal in the data folder that a source gives access to.
    ///
    /// # Errors
    /// As for [`Replica::open`].
    pub fn open_from(settings: &Settings, source: Source<F>) -> Result<Self, Error> {
        let opened = open(settings, &source)?;
        Ok(Self {
            settings: settings.clone(),
            source,
            id: opened.stored.id,
            opened: Some(opened),
        })
    }

    /// Stands for a data folder that cannot be opened yet; none if it was never used.
    ///
    /// Once it takes part, the replica tries to open the folder until that succeeds.
    ///
    /// # Errors
    /// As for [`Replica::wait`].
    pub fn wait_for(settings: &Settings, source: Source<F>) -> Result<Option<Self>, Error> {
        let mut files = access(settings, &source)?;
        let id = Journal::identity(&mut files).map_err(|error| Error::Refused {
            reason: error.to_string(),
        })?;
        Ok(id.map(|id| Self {
            settings: settings.clone(),
            source,
            id,
            opened: None,
        }))
    }

    /// Random identity of the data folder.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Takes part, on its own thread, until the mailbox and its clones are dropped.
    pub(super) fn run(
        self,
        metrics: Metrics,
        outgoing: mpsc::Sender<Outgoing>,
        feed: mpsc::Sender<feed::Local>,
        failure_sender: oneshot::Sender<String>,
    ) -> Mailbox {
        let (sender, inputs) = sync_channel(INPUT_QUEUE);
        let mailbox = Mailbox::new(self.id, sender, metrics.clone());
        let (store, stored, machine) = if let Some(it) = self.opened {
            (Some(it.store), it.stored, it.machine)
        } else {
            let stored = Stored {
                id: self.id,
                ..Stored::default()
            };
            (None, stored, Machine::new(self.settings.limits))
        };
        let raft = self.settings.raft.clone();
        let node = Node::new(clock::now(), raft, stored, &mut rand::rng());
        let channels = Channels {
            inputs,
            outgoing,
            feed,
            metrics,
        };
        let (settings, source) = (self.settings.clone(), self.source);
        let driver = Driver::new(self.settings, node, store, machine, channels);
        let failure_sender = FailureSender(Some(failure_sender));
        let spawned = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || serve(&settings, &source, driver, failure_sender));
        if let Err(error) = spawned {
            // The failure sender was dropped with the closure, so no failure is reported
            // and this replica answers nothing.
            log::error!("CP0407 control replica not started: {error}: check the thread limit");
        }
        mailbox
    }
}

fn open<F>(settings: &Settings, source: &Source<F>) -> Result<Opened<F>, Error>
where
    F: Files,
{
    let files = access(settings, source)?;
    let (store, stored, machine) = Store::open(files, settings.limits)?;
    Ok(Opened {
        store,
        stored,
        machine,
    })
}

fn access<F>(settings: &Settings, source: &Source<F>) -> Result<F, Error> {
    source().map_err(|error| Error::Refused {
        reason: format!(
            "data folder {}: {error}: check that it exists and is writable",
            settings.folder.display()
        ),
    })
}

fn serve<F>(
    settings: &Settings,
    source: &Source<F>,
    mut driver: Driver<F>,
    mut failure_sender: FailureSender,
) where
    F: Files,
{
    if driver.is_suspended() && !reopen(settings, source, &mut driver) {
        return;
    }
    while let Err(error) = driver.run() {
        if !settings.outlive_disk {
            failure_sender.report(error.to_string());
            return;
        }
        log::error!(event = "CP0413"; "control replica suspended: {error}");
        driver.suspend();
        // After any other failure the content of the disk is in doubt, so the replica
        // stays suspended until the process is restarted.
        while !error.is_full() {
            if !driver.refuse_inputs(REOPEN_INTERVAL) {
                return;
            }
        }
        if !reopen(settings, source, &mut driver) {
            return;
        }
    }
}

/// Opens the data folder once that is possible, and takes part; false at shutdown.
fn reopen<F>(settings: &Settings, source: &Source<F>, driver: &mut Driver<F>) -> bool
where
    F: Files,
{
    while driver.refuse_inputs(REOPEN_INTERVAL) {
        match open(settings, source) {
            Ok(it) => {
                driver.resume(it.store, it.stored, it.machine);
                log::info!(event = "CP0414"; "control replica resumed");
                return true;
            }
            Err(error) => log::debug!(event = "CP0413"; "data folder not opened yet: {error}"),
        }
    }
    false
}

/// Reports to the daemon that the replica thread has failed.
struct FailureSender(Option<oneshot::Sender<String>>);

impl FailureSender {
    fn report(&mut self, reason: String) {
        log::error!("CP0407 control replica stopped: {reason}");
        if let Some(sender) = self.0.take() {
            // The daemon may be shutting down and no longer listening.
            drop(sender.send(reason));
        }
    }
}

impl Drop for FailureSender {
    fn drop(&mut self) {
        if thread::panicking() {
            self.report("a log invariant failed: keep the data folder and report it".to_owned());
        }
    }
}

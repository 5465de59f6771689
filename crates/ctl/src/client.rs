//! Requests to daemons, of which any one can answer.
//!
//! If a daemon does not answer, the next one is tried. Reads and changes can be
//! retried, changes because they keep their change id. Forming the cluster and
//! replacing a replica are not retried once an attempt may have succeeded.

use std::{
    io,
    time::{Duration, Instant},
};

use awc::{
    ClientRequest,
    error::{ConnectError, SendRequestError},
    http::{Method, StatusCode},
};
use citron_policy::catalogue::Change;
use citron_wire::admin::{Accepted, Kind, Problem};
use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};

use crate::{exit::Exit, settings::Settings};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for one attempt of a read or a change.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause before all daemons are tried again.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Largest response body in bytes.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Why a request failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// A daemon refused the request.
    #[display("{}", _0.detail)]
    Refused(#[error(not(source))] Problem),
    /// No daemon answered; the request was not carried out.
    #[display("no daemon answered: {reasons}: check --admin and `citronctl status`")]
    Unreachable {
        /// The failure at each daemon.
        reasons: String,
    },
    /// The request may have been carried out.
    #[display("it is not known whether this was done: {reasons}")]
    Unknown {
        /// The failure at each daemon.
        reasons: String,
    },
}

impl Error {
    /// The exit code for this error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Refused(problem) => match problem.kind {
                Kind::Conflict | Kind::ChangeId => Exit::Conflict,
                Kind::Unknown | Kind::Unavailable => Exit::Unknown,
                Kind::Request | Kind::Token | Kind::Invalid | Kind::Refused => Exit::Failed,
            },
            Self::Unreachable { .. } | Self::Unknown { .. } => Exit::Unknown,
        }
    }
}

/// Outcome of one attempt.
enum Attempt<T> {
    Done(T),
    Refused(Problem),
    NotDone(String),
    MaybeDone(String),
}

/// Attempts without a usable answer.
#[derive(Default)]
struct Failures {
    last: Vec<(String, String)>,
    maybe_done: bool,
}

impl Failures {
    fn add(&mut self, address: &str, reason: String) {
        self.last.retain(|(known, _)| known != address);
        self.last.push((address.to_owned(), reason));
    }

    fn into_error(self) -> Error {
        let reasons = self
            .last
            .iter()
            .map(|(address, reason)| format!("{address}: {reason}"));
        let reasons = reasons.collect::<Vec<_>>().join("; ");
        if self.maybe_done {
            Error::Unknown { reasons }
        } else {
            Error::Unreachable { reasons }
        }
    }
}

/// Sends requests to the daemons of the settings.
#[derive(derive_more::Debug)]
pub struct Client {
    settings: Settings,
    #[debug(skip)]
    http: awc::Client,
}

impl Client {
    /// Creates a client.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let http = awc::Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self { settings, http }
    }

    /// Reads `path` from the first daemon that answers.
    ///
    /// # Errors
    /// No daemon answers, or one refuses.
    pub async fn get<T>(&self, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let mut failures = Failures::default();
        for address in &self.settings.admin {
            let attempt = self.attempt(Method::GET, address, path, &(), ATTEMPT_TIMEOUT);
            match attempt.await {
                Attempt::Done(answer) => return Ok(answer),
                Attempt::Refused(problem) => return Err(Error::Refused(problem)),
                Attempt::NotDone(reason) | Attempt::MaybeDone(reason) => {
                    failures.add(address, reason);
                }
            }
        }
        Err(failures.into_error())
    }

    /// Sends a change to one daemon after another until one knows its outcome.
    ///
    /// # Errors
    /// The change is refused, or its outcome is still unknown at the timeout.
    pub async fn change(&self, change: &Change, now: Instant) -> Result<Accepted, Error> {
        let deadline = now + self.settings.timeout;
        let mut failures = Failures::default();
        loop {
            for address in &self.settings.admin {
                let left = deadline.saturating_duration_since(Instant::now());
                let within = ATTEMPT_TIMEOUT.min(left.max(ROUND_PAUSE));
                let attempt = self.attempt(Method::POST, address, "/v1/changes", change, within);
                match attempt.await {
                    Attempt::Done(answer) => return Ok(answer),
                    Attempt::Refused(problem)
                        if decided_by_log(&problem) || !failures.maybe_done =>
                    {
                        return Err(Error::Refused(problem));
                    }
                    Attempt::Refused(problem) => failures.add(address, problem.detail),
                    Attempt::NotDone(reason) => failures.add(address, reason),
                    Attempt::MaybeDone(reason) => {
                        failures.maybe_done = true;
                        failures.add(address, reason);
                    }
                }
            }
            if Instant::now() + ROUND_PAUSE >= deadline {
                return Err(failures.into_error());
            }
            actix_rt::time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Posts a request that is not idempotent and so must not be repeated.
    ///
    /// # Errors
    /// It is refused, no daemon accepts it, or it may have been carried out.
    pub async fn post_once<B, T>(&self, path: &str, body: &B) -> Result<T, Error>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let mut failures = Failures::default();
        for address in &self.settings.admin {
            let within = self.settings.timeout;
            match self
                .attempt(Method::POST, address, path, body, within)
                .await
            {
                Attempt::Done(answer) => return Ok(answer),
                Attempt::Refused(problem) => return Err(Error::Refused(problem)),
                Attempt::NotDone(reason) => failures.add(address, reason),
                Attempt::MaybeDone(reason) => {
                    failures.maybe_done = true;
                    failures.add(address, reason);
                    break;
                }
            }
        }
        Err(failures.into_error())
    }

    async fn attempt<B, T>(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: &B,
        within: Duration,
    ) -> Attempt<T>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let request = self
            .http
            .request(method, format!("http://{address}{path}"))
            .bearer_auth(&self.settings.token);
        match actix_rt::time::timeout(within, exchange(request, body)).await {
            Ok(attempt) => attempt,
            Err(_) => Attempt::MaybeDone(format!("no answer within {within:?}")),
        }
    }
}

/// Whether the refusal is the control log's own decision on the change.
fn decided_by_log(problem: &Problem) -> bool {
    matches!(
        problem.kind,
        Kind::Conflict | Kind::ChangeId | Kind::Invalid
    )
}

async fn exchange<B, T>(request: ClientRequest, body: &B) -> Attempt<T>
where
    B: Serialize,
    T: DeserializeOwned,
{
    let mut response = match request.send_json(body).await {
        Ok(response) => response,
        Err(error) if not_sent(&error) => return Attempt::NotDone(error.to_string()),
        Err(error) => return Attempt::MaybeDone(error.to_string()),
    };
    let status = response.status();
    let bytes = match response.body().limit(MAX_ANSWER_BYTES).await {
        Ok(bytes) => bytes,
        Err(error) => return Attempt::MaybeDone(error.to_string()),
    };
    if status == StatusCode::OK {
        return match serde_json::from_slice(&bytes) {
            Ok(answer) => Attempt::Done(answer),
            Err(error) => Attempt::MaybeDone(format!("answer not understood: {error}")),
        };
    }
    let problem: Problem = match serde_json::from_slice(&bytes) {
        Ok(problem) => problem,
        Err(_) => return Attempt::MaybeDone(format!("status {status} without a reason")),
    };
    match problem.kind {
        Kind::Unavailable => Attempt::NotDone(problem.detail),
        Kind::Unknown => Attempt::MaybeDone(problem.detail),
        Kind::Request
        | Kind::Token
        | Kind::Conflict
        | Kind::ChangeId
        | Kind::Invalid
        | Kind::Refused => Attempt::Refused(problem),
    }
}

/// Whether the request cannot have reached the daemon.
fn not_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Io(error)) => {
            error.kind() == io::ErrorKind::ConnectionRefused
        }
        SendRequestError::Connect(ConnectError::Resolver(_) | ConnectError::Timeout) => true,
        _ => false,
    }
}

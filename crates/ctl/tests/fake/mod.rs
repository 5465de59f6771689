//! A small fake of the operators' interface: several daemons on loopback that
//! share one catalogue, each with its own injected fault.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::Duration,
};

use citron_policy::catalogue::{Catalogue, Change};
use indexmap::IndexMap;
use serde_json::{Value, json};

/// Token of the fake's operator.
pub const TOKEN: &str = "ann-obviously-fake-token";

/// Injected fault of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Carries out the request and closes the connection without an answer.
    LoseAnswer,
    /// Carries out the request and answers that the outcome is unknown.
    UnknownOutcome,
    /// Answers that it is unavailable.
    Unavailable,
    /// Reads the request and closes the connection without carrying it out.
    Close,
    /// Carries out the request and sends only this part of the answer, in per cent.
    CutAnswer(usize),
}

/// State shared by the daemons.
#[derive(Debug, Default)]
pub struct Cluster {
    /// Catalogue in force.
    pub catalogue: Catalogue,
    /// Body and resulting revision of each change, by change id.
    pub changes: IndexMap<String, (Value, u64)>,
    /// Every request as `METHOD path`.
    pub requests: Vec<String>,
    /// Instances that report a revision as not in force.
    pub lagging: Vec<String>,
    /// Change of another operator that is applied before the next one.
    pub concurrent_change: Option<Change>,
}

/// One fake daemon.
#[derive(Clone, Debug)]
pub struct Daemon {
    /// Its address.
    pub address: SocketAddr,
    cluster: Arc<Mutex<Cluster>>,
    fault: Arc<Mutex<Fault>>,
}

impl Daemon {
    /// Starts `count` daemons over one catalogue.
    pub fn start(count: usize) -> Vec<Self> {
        let cluster = Arc::new(Mutex::new(Cluster::default()));
        (0..count).map(|_| Self::serve(&cluster)).collect()
    }

    /// State shared by the daemons.
    pub fn cluster(&self) -> MutexGuard<'_, Cluster> {
        self.cluster.lock().expect("no panic in a fake daemon")
    }

    /// Sets the injected fault.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().expect("no panic in a fake daemon") = fault;
    }

    fn serve(cluster: &Arc<Mutex<Cluster>>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let daemon = Self {
            address: listener.local_addr().expect("an address"),
            cluster: Arc::clone(cluster),
            fault: Arc::default(),
        };
        let served = daemon.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                served.answer(stream);
            }
        });
        daemon
    }

    fn answer(&self, stream: TcpStream) {
        drop(stream.set_read_timeout(Some(Duration::from_secs(10))));
        let mut reader = BufReader::new(stream);
        let Some((line, token, body)) = read(&mut reader) else {
            return;
        };
        let fault = *self.fault.lock().expect("no panic in a fake daemon");
        let (status, answer) = match fault {
            Fault::Close => return,
            Fault::Unavailable => (503, problem("unavailable", 503)),
            Fault::None | Fault::LoseAnswer | Fault::UnknownOutcome | Fault::CutAnswer(_)
                if token != format!("Bearer {TOKEN}") =>
            {
                (401, problem("token", 401))
            }
            Fault::None | Fault::LoseAnswer | Fault::UnknownOutcome | Fault::CutAnswer(_) => {
                route(&mut self.cluster(), &line, &body)
            }
        };
        let (status, answer) = match fault {
            Fault::LoseAnswer if line.starts_with("POST") => return,
            Fault::UnknownOutcome if line.starts_with("POST") => (504, problem("unknown", 504)),
            _ => (status, answer),
        };
        let text = answer.to_string();
        let head = format!(
            "HTTP/1.1 {status} Fake\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
             connection: close\r\n\r\n",
            text.len()
        );
        let sent = match fault {
            Fault::CutAnswer(percent) => text.len() * percent / 100,
            _ => text.len(),
        };
        let mut stream = reader.into_inner();
        drop(stream.write_all(head.as_bytes()));
        drop(stream.write_all(&text.as_bytes()[..sent]));
    }
}

/// Reads a request: request line, authorization and body.
fn read(reader: &mut BufReader<TcpStream>) -> Option<(String, String, Vec<u8>)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let (mut token, mut length) = (String::new(), 0);
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim().split_once(": ") else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "authorization" => value.clone_into(&mut token),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let line = line.trim().trim_end_matches(" HTTP/1.1").to_owned();
    Some((line, token, body))
}

fn route(cluster: &mut Cluster, line: &str, body: &[u8]) -> (u16, Value) {
    cluster.requests.push(line.to_owned());
    let revision = cluster.catalogue.revision;
    match line {
        "GET /v1/catalogue" => {
            let entries: Vec<_> = cluster.catalogue.entries().collect();
            (200, json!({"revision": revision, "entries": entries}))
        }
        "POST /v1/changes" => change(cluster, body),
        "POST /v1/init" | "POST /v1/replicas/replace" => (200, json!({})),
        _ if line.starts_with("GET /v1/force") => {
            let lagging = cluster.lagging.iter().map(|it| {
                json!({"instance": it, "revision": 0, "reason": "has revision 0 in force: wait"})
            });
            let lagging: Vec<Value> = lagging.collect();
            (
                200,
                json!({"revision": revision, "in_force": ["a"], "lagging": lagging}),
            )
        }
        _ if line.starts_with("GET /v1/explain") => (200, explanation()),
        "GET /v1/status" => (200, status()),
        _ => (404, problem("request", 404)),
    }
}

fn change(cluster: &mut Cluster, body: &[u8]) -> (u16, Value) {
    let change: Change = serde_json::from_slice(body).expect("the tool sends changes");
    let body: Value = serde_json::from_slice(body).expect("the tool sends JSON");
    if let Some((first, revision)) = cluster.changes.get(&change.id) {
        let same = *first == body;
        let answer = if same {
            json!({"revision": revision})
        } else {
            problem("change-id", 409)
        };
        return (if same { 200 } else { 409 }, answer);
    }
    if let Some(concurrent) = cluster.concurrent_change.take() {
        cluster.catalogue = cluster
            .catalogue
            .apply(&concurrent)
            .expect("a valid concurrent change");
    }
    if change.base != cluster.catalogue.revision {
        return (409, conflict(cluster.catalogue.revision));
    }
    match cluster.catalogue.apply(&change) {
        Ok(next) => {
            let revision = next.revision;
            cluster.changes.insert(change.id, (body, revision));
            cluster.catalogue = next;
            (200, json!({"revision": revision}))
        }
        Err(_) => (422, problem("invalid", 422)),
    }
}

fn problem(kind: &str, status: u16) -> Value {
    json!({"type": format!("urn:x:{kind}"), "kind": kind, "status": status, "detail": format!("fake {kind}")})
}

fn conflict(current: u64) -> Value {
    let mut problem = problem("conflict", 409);
    problem["current"] = json!(current);
    problem["authors"] = json!([{
        "key": {"kind": "class", "name": "repair"},
        "operator": "ben",
        "change": "b7",
        "revision": current,
    }]);
    problem
}

fn explanation() -> Value {
    json!({
        "involved": [{"key": {"kind": "class", "name": "repair"}, "owner": "desk"}],
        "affected": [],
        "events": [{
            "instance": "a", "code": "CP0201", "entries": [], "text": "taken in", "at_ms": 0,
        }],
        "omitted": 0,
        "silent": [{"instance": "b", "revision": null, "reason": "did not answer in time"}],
    })
}

fn status() -> Value {
    json!({
        "instance": "a", "revision": 3, "leader": "a",
        "members": [{
            "instance": "a", "domain": "windhoek", "callers": "127.0.0.1:1", "state": "alive",
            "revision": 3, "load": 0, "current": true, "replica": "0000000000000abc",
        }],
        "replicas": [{
            "instance": "a", "replica": "0000000000000abc", "formed": true, "role": "leader",
            "voter": true, "term": 1, "last": 9, "commit": 9,
        }],
        "voters": ["0000000000000abc", "0000000000000def"],
        "duties": {"holder": "a", "token": 17, "renewed": 23, "fixed": 353_445_120},
    })
}

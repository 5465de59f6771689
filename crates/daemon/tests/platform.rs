//! The platform's list over HTTP: valid answers are applied, and anything else
//! leaves the last good list in force.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_rt::{net::TcpListener, time::sleep};
use citron_daemon::{
    edge::Listing,
    platform::{MAX_LIST_BYTES, Platform, Settings},
};
use citron_policy::platform::{
    List, Runner, Standing,
    reader::{self, Role},
    reading::{Page, PageFault, PageToken},
};
use futures_util::future::LocalBoxFuture;
use googletest::prelude::*;
use nix::time::{ClockId, clock_gettime};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::watch,
};

/// Deadline for conditions that normally hold in well under a second.
const TIMEOUT: Duration = Duration::from_secs(30);

const GOOD: &str = r#"{"entries":[{"id":"i-1","domain":"fd-1","peer":"10.0.0.1:7000","standing":"leaving"}],
    "runners":[{"id":"r-1","service":"assistant","domain":"fd-1","address":"10.0.1.1:80"}]}"#;

/// Reads at this interval, whatever the list is needed for.
fn every(interval: Duration) -> reader::Settings {
    reader::Settings {
        host: interval,
        standby: interval,
        ..reader::Settings::default()
    }
}

fn answer(status: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n{extra}\r\n{body}"
    )
}

/// A server that sends the current answer to each request; none at all if it is empty.
async fn server(answers: watch::Receiver<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answers.borrow().clone();
            actix_rt::spawn(async move {
                let mut request = [0; 4_096];
                let read = stream.read(&mut request).await;
                if read.is_err() || answer.is_empty() {
                    sleep(TIMEOUT).await;
                    return;
                }
                // The reader may close the connection when the answer is too long.
                drop(stream.write_all(answer.as_bytes()).await);
            });
        }
    });
    address
}

async fn wait_until<F>(what: &str, holds: F)
where
    F: Fn() -> bool,
{
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "not within {TIMEOUT:?}: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

#[gtest]
fn the_last_good_list_is_kept_after_every_bad_answer() {
    actix_rt::System::new().block_on(async {
        let answers = watch::Sender::new(answer("200 OK", "", GOOD));
        let address = server(answers.subscribe()).await;
        let platform = Platform::start(Settings {
            address,
            schedule: every(Duration::from_millis(20)),
            timeout: Duration::from_millis(300),
            ..Settings::default()
        });
        wait_until("a list", || platform.list().borrow().entries.len() == 1).await;
        let good = Arc::clone(&platform.list().borrow());
        expect_that!(good.runners.len(), eq(1));
        let bad = [
            ("an error", answer("500 Internal Server Error", "", GOOD)),
            (
                "a redirect",
                answer("307 Temporary Redirect", "location: /v1/list\r\n", ""),
            ),
            ("not a list", answer("200 OK", "", "[]")),
            (
                "an error object",
                answer("200 OK", "", r#"{"error":"down"}"#),
            ),
            ("a truncated list", answer("200 OK", "", &GOOD[..60])),
            (
                "too long a list",
                answer("200 OK", "", &" ".repeat(MAX_LIST_BYTES + 1)),
            ),
            (
                "a list whose text is whole and whose body is cut",
                "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"entries\":[]}".to_owned(),
            ),
            ("no answer", String::new()),
        ];
        for (what, text) in bad {
            let before = platform.failures();
            answers.send_replace(text);
            wait_until(what, || platform.failures() >= before + 2).await;
            expect_that!(*platform.list().borrow(), eq(&good), "{what}");
        }
        // An odd entry among others is left out, and takes none of them away.
        let nested = "[".repeat(1_000) + &"]".repeat(1_000);
        let odd = GOOD.replace(
            "\"runners\":[",
            &format!("\"runners\":[{nested},1e999,{{\"id\":\"odd\"}},"),
        );
        answers.send_replace(answer("200 OK", "", &odd));
        wait_until("a list with odd entries", || platform.odd_entries() == 3).await;
        expect_that!(*platform.list().borrow(), eq(&good));
        let read = platform.read_at();
        answers.send_replace(answer("200 OK", "", r#"{"entries":[]}"#));
        wait_until("the next list", || {
            platform.list().borrow().entries.is_empty()
        })
        .await;
        expect_that!(platform.read_at(), gt(read));
    });
}

/// Number of reads whose total processor time is measured.
const READINGS: usize = 10;

/// A list whose runners are all replaced at each read.
struct Changing {
    runners: usize,
    readings: Rc<Cell<usize>>,
}

impl Listing for Changing {
    fn read_page(
        &self,
        _token: Option<PageToken>,
    ) -> LocalBoxFuture<'static, std::result::Result<Page, PageFault>> {
        let number = self.readings.get() + 1;
        self.readings.set(number);
        if number > READINGS {
            return Box::pin(std::future::pending());
        }
        let runners = (0..self.runners).map(|runner| Runner {
            id: format!("r-{runner}-{number}"),
            service: "assistant".to_owned(),
            domain: "fd-1".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            standing: Standing::Live,
            build: String::new(),
            slots: 0,
            reclaimable: false,
        });
        let list = List {
            entries: Vec::new(),
            runners: runners.collect(),
        };
        Box::pin(std::future::ready(Ok(Page {
            list,
            ..Page::default()
        })))
    }
}

/// Processor time of [`READINGS`] reads of a changing list of `runners`.
async fn cost_of_changes(runners: usize) -> Duration {
    let readings = Rc::new(Cell::new(0));
    let listing = Changing {
        runners,
        readings: Rc::clone(&readings),
    };
    let cpu_time = || {
        let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("a clock");
        Duration::from(time)
    };
    let before = cpu_time();
    let short = Duration::from_millis(1);
    let platform = Platform::start(Settings {
        schedule: every(short),
        listing: Some(Rc::new(listing)),
        ..Settings::default()
    });
    wait_until("all reads are done", || readings.get() > READINGS).await;
    drop(platform);
    cpu_time().saturating_sub(before)
}

#[gtest]
fn comparing_a_changed_list_costs_less_than_the_square_of_its_length() {
    // Added after issue 15, in a search for work that grows faster than its input. Eight times
    // the runners may take at most sixteen times the processor time.
    actix_rt::System::new().block_on(async {
        let (few, many) = (cost_of_changes(500).await, cost_of_changes(4_000).await);
        expect_that!(many, le(few * 16), "{few:?} for an eighth of the runners");
    });
}

/// Pages of one runner each; some calls are refused.
struct Pages {
    count: usize,
    /// Numbers of the calls that are refused.
    refused: Vec<usize>,
    /// Pages asked for, in order.
    asked: Rc<RefCell<Vec<usize>>>,
}

impl Listing for Pages {
    fn read_page(
        &self,
        token: Option<PageToken>,
    ) -> LocalBoxFuture<'static, std::result::Result<Page, PageFault>> {
        let page: usize = token.map_or(0, |token| token.parse().expect("a page"));
        let call = self.asked.borrow().len();
        self.asked.borrow_mut().push(page);
        if self.refused.contains(&call) {
            return Box::pin(std::future::ready(Err(PageFault::Busy)));
        }
        let runner = Runner {
            id: format!("r-{page}"),
            service: "assistant".to_owned(),
            domain: "fd-1".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            standing: Standing::Live,
            build: String::new(),
            slots: 0,
            reclaimable: false,
        };
        let list = List {
            entries: Vec::new(),
            runners: vec![runner],
        };
        let next = (page + 1 < self.count).then(|| (page + 1).to_string());
        Box::pin(std::future::ready(Ok(Page {
            list,
            next,
            ..Page::default()
        })))
    }
}

/// Readings that began anew at each refused call never ended while many daemons read.
#[gtest]
fn pages_before_a_refused_call_are_not_read_again() {
    actix_rt::System::new().block_on(async {
        let asked = Rc::<RefCell<Vec<usize>>>::default();
        let platform = Platform::start(Settings {
            schedule: every(TIMEOUT),
            listing: Some(Rc::new(Pages {
                count: 4,
                refused: vec![2, 3],
                asked: Rc::clone(&asked),
            })),
            ..Settings::default()
        });
        wait_until("a list", || platform.list().borrow().runners.len() == 4).await;
        expect_that!(*asked.borrow(), eq(&vec![0, 1, 2, 2, 2, 3]));
        expect_that!(platform.failures(), eq(0));
    });
}

/// The calls of 300 daemons that all read the list took the platform 25 s after a restart.
#[gtest]
fn a_daemon_that_hosts_no_arbiter_leaves_the_list_to_others() {
    actix_rt::System::new().block_on(async {
        let asked = Rc::<RefCell<Vec<usize>>>::default();
        let platform = Platform::start(Settings {
            needed_by_all: false,
            schedule: every(TIMEOUT),
            listing: Some(Rc::new(Pages {
                count: 1,
                refused: Vec::new(),
                asked: Rc::clone(&asked),
            })),
            ..Settings::default()
        });
        sleep(Duration::from_millis(300)).await;
        expect_that!(asked.borrow().len(), eq(0));
        platform.need().set(Instant::now(), Role::Standby);
        sleep(Duration::from_millis(300)).await;
        expect_that!(
            asked.borrow().len(),
            eq(0),
            "a start leaves roles open for a while"
        );
        platform.need().set(Instant::now(), Role::Host);
        wait_until("a list", || platform.list().borrow().runners.len() == 1).await;
        expect_that!(asked.borrow().len(), eq(1));
    });
}

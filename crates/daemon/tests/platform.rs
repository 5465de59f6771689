//! The platform's list over HTTP: good answers are taken, everything else
//! leaves the last good list.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_rt::{net::TcpListener, time::sleep};
use citron_daemon::platform::{MAX_LIST_BYTES, Platform, Settings};
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    sync::watch,
};

/// Deadline for what should happen in well under a second.
const SOON: Duration = Duration::from_secs(30);

const GOOD: &str = r#"{"entries":[{"id":"i-1","domain":"fd-1","peer":"10.0.0.1:7000","standing":"leaving"}],
    "runners":[{"id":"r-1","service":"assistant","domain":"fd-1","address":"10.0.1.1:80"}]}"#;

fn answer(status: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n{extra}\r\n{body}"
    )
}

/// A server that gives the current answer to every request; an empty one is silence.
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
                    sleep(SOON).await;
                    return;
                }
                // The reader may hang up on an answer that is too long.
                drop(stream.write_all(answer.as_bytes()).await);
            });
        }
    });
    address
}

async fn until<F>(what: &str, holds: F)
where
    F: Fn() -> bool,
{
    let end = Instant::now() + SOON;
    while !holds() {
        assert!(Instant::now() < end, "not within {SOON:?}: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

#[gtest]
fn the_last_good_list_stays_whatever_comes_after_it() {
    actix_rt::System::new().block_on(async {
        let answers = watch::Sender::new(answer("200 OK", "", GOOD));
        let address = server(answers.subscribe()).await;
        let platform = Platform::start(Settings {
            address,
            interval: Duration::from_millis(20),
            timeout: Duration::from_millis(300),
            ..Settings::default()
        });
        until("a list", || platform.list().borrow().entries.len() == 1).await;
        let good = Arc::clone(&platform.list().borrow());
        expect_that!(good.runners.len(), eq(1));
        let bad = [
            ("an error", answer("500 Internal Server Error", "", GOOD)),
            (
                "a redirect",
                answer("307 Temporary Redirect", "location: /v1/list\r\n", ""),
            ),
            ("no list", answer("200 OK", "", "[]")),
            (
                "an error object",
                answer("200 OK", "", r#"{"error":"down"}"#),
            ),
            ("half a list", answer("200 OK", "", &GOOD[..60])),
            (
                "too much",
                answer("200 OK", "", &" ".repeat(MAX_LIST_BYTES + 1)),
            ),
            ("silence", String::new()),
        ];
        for (what, text) in bad {
            let before = platform.failures();
            answers.send_replace(text);
            until(what, || platform.failures() >= before + 2).await;
            expect_that!(*platform.list().borrow(), eq(&good), "{what}");
        }
        let read = platform.read_at();
        answers.send_replace(answer("200 OK", "", r#"{"entries":[]}"#));
        until("the next list", || {
            platform.list().borrow().entries.is_empty()
        })
        .await;
        expect_that!(platform.read_at(), gt(read));
    });
}

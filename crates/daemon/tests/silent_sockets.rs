//! How long TCP bears the silence of the other side.

use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use citron_daemon::socket::Patience;
use googletest::prelude::*;
use socket2::SockRef;

/// Longest silence of a sound runner: a second or so.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Time within which a connection to a lost runner must end.
const CONTACT: Duration = Duration::from_secs(3);

/// The user timeout decides when probes give up, and silence may begin just before one.
#[gtest]
fn a_sound_runner_may_be_silent_between_two_probes() {
    let (limit, first, interval) = actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let stream = TcpStream::connect(address).await.expect("a connection");
        Patience::RUNNER.apply(&stream).expect("options");
        let socket = SockRef::from(&stream);
        let limit = socket.tcp_user_timeout().expect("a limit");
        let first = socket.tcp_keepalive_time().expect("a time");
        let interval = socket.tcp_keepalive_interval().expect("an interval");
        (limit.expect("a limit"), first, interval)
    });
    expect_that!(limit, ge(first + SILENCE));
    // The first probe that is due after the limit ends the connection.
    let mut end = first;
    while end < limit {
        end += interval;
    }
    expect_that!(end, le(CONTACT));
}

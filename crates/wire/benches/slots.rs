//! Bytes of slot messages on a peer connection, as JSON lines.
//!
//! Run with `cargo bench -p citron-wire --bench slots`. Nothing is random, so
//! every run gives the same figures.

use std::time::Duration;

use bytes::BytesMut;
use citron_policy::{
    arbiter::{Ask, Asked, End, Heartbeat, Progress, Rate, Reply, Request, Sample},
    stream::{Group, Origin, Stream},
};
use citron_wire::{Body, Frame, VERSION, codec::Codec, generated::slot as proto, slot};
use tokio_util::codec::Encoder;

/// Bytes of the IP and TCP headers of a segment.
const TCP_HEADER_BYTES: usize = 52;

/// Requests per second at one daemon, at the scale expected in two years.
const REQUESTS_PER_S: usize = 47;

/// Heartbeats per second to each arbiter.
const BEATS_PER_S: usize = 2;

const TICKET: u64 = 4_000_000;
const SERVICE: &str = "assistant";

fn ask() -> Ask {
    Ask {
        ticket: TICKET,
        class: "repair-desk".to_owned(),
        account: "windhoek-counter".to_owned(),
        fingerprint: u64::MAX / 3,
        prefix: u64::MAX / 5,
        remaining: Duration::from_mins(1),
        ..Ask::default()
    }
}

fn release() -> Request {
    let sample = Sample {
        end: End::Done,
        first_token: Some(Duration::from_millis(400)),
        between_tokens: Some(Duration::from_millis(30)),
        whole: Duration::from_secs(10),
        tokens: 316,
        unlimited: true,
        longest_pause: Some(Duration::from_millis(41)),
        report: None,
    };
    Request::Release(TICKET, sample)
}

fn beat(runners: usize) -> Request {
    let progress = (0..runners).map(|number| Progress {
        runner: format!("runner-{number:04}"),
        silent: Duration::from_millis(300),
        between_tokens: Some(Duration::from_millis(30)),
    });
    Request::Heartbeat(Heartbeat {
        count: 400,
        digest: u64::MAX / 7,
        progress: progress.collect(),
    })
}

fn asked(request: Request) -> proto::Message {
    slot::requests_to_proto(
        SERVICE,
        0,
        vec![Asked {
            least: 1_700_000_000_000,
            fallback: false,
            request,
        }],
    )
}

fn reply(reply: Reply) -> proto::Message {
    slot::replies_to_proto(SERVICE, 0, 1_700_000_000_000, vec![reply])
}

/// Bytes of a frame that is not the first of its connection.
fn frame_bytes(message: &proto::Message) -> usize {
    let frame = || Frame {
        version: VERSION,
        cluster: "citronpond".to_owned(),
        from: "entry-001".to_owned(),
        call: 0,
        answer: false,
        body: Some(Body::Slot(message.clone())),
    };
    let mut codec = Codec::new("citronpond");
    let mut first = BytesMut::new();
    codec.encode(frame(), &mut first).expect("a frame");
    let mut second = BytesMut::new();
    codec.encode(frame(), &mut second).expect("a frame");
    second.len()
}

fn main() {
    let grant = Reply::Grant {
        ticket: TICKET,
        runner: "runner-0001".to_owned(),
        alone: false,
        address: None,
        build: "v1.1".to_owned(),
    };
    let rate = Rate::from_per_second(1.1).expect("a rate");
    let limit = Request::Limit("runner-0001".to_owned(), rate);
    let stream = Stream {
        id: TICKET,
        origin: Origin::New,
        life: Duration::from_secs(15),
    };
    let stream_ask = Ask {
        stream: Some(stream),
        ..ask()
    };
    let records = Group {
        build: "v1.1".to_owned(),
        streams: (0..100).map(|it| (it, Duration::from_secs(15))).collect(),
    };
    let messages = [
        ("ask", asked(Request::Ask(ask()))),
        ("grant", reply(grant)),
        ("release", asked(release())),
        ("beat_0_runners", asked(beat(0))),
        ("beat_64_runners", asked(beat(64))),
        ("beat_answer", reply(Reply::Ack)),
        ("limit", asked(limit)),
        ("ask_stream", asked(Request::Ask(stream_ask))),
        ("records_100", reply(Reply::Streams(vec![records]))),
    ];
    for (name, message) in &messages {
        println!(
            r#"{{"bench":"slots","message":"{name}","frame_bytes":{}}}"#,
            frame_bytes(message)
        );
    }
    let size = |index: usize| frame_bytes(&messages[index].1);
    let sent = size(0) + size(2);
    let received = size(1);
    println!(
        r#"{{"bench":"slots","requests_per_s":{REQUESTS_PER_S},"asker_sent_bytes_per_s":{},"asker_received_bytes_per_s":{},"heads_if_none_share_a_segment_bytes_per_s":{},"beat_bytes_per_s_per_arbiter":{}}}"#,
        sent * REQUESTS_PER_S,
        received * REQUESTS_PER_S,
        3 * TCP_HEADER_BYTES * REQUESTS_PER_S,
        BEATS_PER_S * (size(3) + size(5)),
    );
}

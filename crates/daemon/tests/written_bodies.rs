//! Bodies that a task of its own writes are complete only if the task says so.

use std::pin::pin;

use actix_http::body::{BoxBody, MessageBody};
use bytes::Bytes;
use citron_daemon::http::written::{self, Departure, Writer};
use futures_util::future::poll_fn;
use googletest::prelude::*;

/// Size at which no more pieces are added to a chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Chunks of a body, and whether it ended as complete.
async fn read(body: BoxBody) -> (Vec<Bytes>, bool) {
    let mut body = pin!(body);
    let mut chunks = Vec::new();
    loop {
        match poll_fn(|cx| body.as_mut().poll_next(cx)).await {
            Some(Ok(chunk)) => chunks.push(chunk),
            Some(Err(_)) => return (chunks, false),
            None => return (chunks, true),
        }
    }
}

async fn write(writer: &Writer, text: &'static str) {
    let sent = writer.send(Bytes::from_static(text.as_bytes())).await;
    expect_that!(sent, ok(anything()));
}

#[gtest]
#[actix_rt::test]
async fn a_body_whose_writer_gives_up_is_not_complete() {
    let (writer, body) = written::body(4, None);
    write(&writer, "a").await;
    drop(writer);
    expect_that!(read(body).await, eq(&(vec![Bytes::from("a")], false)));
}

/// The library's runtime catches the panic, and the channel closes as at a regular end.
#[gtest]
#[actix_rt::test]
async fn a_body_whose_writer_panics_is_not_complete() {
    let (writer, body) = written::body(4, None);
    let task = actix_rt::spawn(async move {
        write(&writer, "a").await;
        panic!("on purpose");
    });
    expect_that!(task.await.is_err(), eq(true));
    expect_that!(read(body).await, eq(&(vec![Bytes::from("a")], false)));
}

#[gtest]
#[actix_rt::test]
async fn a_body_whose_writer_is_cancelled_is_not_complete() {
    let (writer, body) = written::body(4, None);
    let task = actix_rt::spawn(async move {
        write(&writer, "a").await;
        std::future::pending::<()>().await;
    });
    actix_rt::task::yield_now().await;
    task.abort();
    expect_that!(read(body).await, eq(&(vec![Bytes::from("a")], false)));
}

#[gtest]
#[actix_rt::test]
async fn a_finished_body_is_complete_and_keeps_its_order() {
    let (writer, body) = written::body(8, None);
    for text in ["a", "b", "c"] {
        write(&writer, text).await;
    }
    writer.finish();
    expect_that!(read(body).await, eq(&(vec![Bytes::from("abc")], true)));
}

#[gtest]
#[actix_rt::test]
async fn a_piece_that_fits_into_no_chunk_is_not_lost() {
    let (writer, body) = written::body(8, None);
    let large = Bytes::from(vec![b'x'; MAX_CHUNK_BYTES]);
    write(&writer, "a").await;
    expect_that!(writer.send(large.clone()).await, ok(anything()));
    write(&writer, "b").await;
    writer.finish();
    let chunks = vec![Bytes::from("a"), large, Bytes::from("b")];
    expect_that!(read(body).await, eq(&(chunks, true)));
}

#[gtest]
#[actix_rt::test]
async fn a_caller_that_reads_nothing_is_told_from_one_that_left() {
    let (writer, body) = written::body(1, None);
    write(&writer, "a").await;
    let stalled = writer.send(Bytes::from("b")).await;
    expect_that!(stalled, err(eq(Departure::Stalled)));
    drop(body);
    let closed = writer.send(Bytes::from("c")).await;
    expect_that!(closed, err(eq(Departure::Closed)));
}

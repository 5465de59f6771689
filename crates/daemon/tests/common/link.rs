//! A slow link: a relay of TCP connections that limits the bytes per second towards
//! the connecting side.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::net::{TcpListener, TcpStream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 8 << 10;

/// Limit on bytes per second; clones share it.
#[derive(Clone, Debug)]
pub struct Rate {
    bytes_per_second: usize,
    free_at: Rc<Cell<Instant>>,
}

impl Rate {
    /// A limit that nothing has used yet.
    pub fn new(bytes_per_second: usize) -> Self {
        Self {
            bytes_per_second,
            free_at: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// Waits until the link has sent this many more bytes.
    async fn take(&self, bytes: usize) {
        let nanoseconds = bytes * 1_000_000_000 / self.bytes_per_second;
        let time = Duration::from_nanos(nanoseconds as u64);
        let end = self.free_at.get().max(Instant::now()) + time;
        self.free_at.set(end);
        actix_rt::time::sleep(end.saturating_duration_since(Instant::now())).await;
    }
}

/// A relay to one address.
#[derive(Debug)]
pub struct Link {
    /// Address to connect to instead.
    pub address: SocketAddr,
    bytes: Rc<Cell<u64>>,
}

impl Link {
    /// Relays connections to `target`; its answers pass all the limits in turn.
    pub async fn start(target: SocketAddr, rates: &[&Rate]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("an address"),
            bytes: Rc::default(),
        };
        let rates: Rc<[Rate]> = rates.iter().map(|it| (*it).clone()).collect();
        let bytes = Rc::clone(&link.bytes);
        actix_rt::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                if let Ok(far) = TcpStream::connect(target).await {
                    actix_rt::spawn(relay(near, far, Rc::clone(&rates), Rc::clone(&bytes)));
                }
            }
        });
        link
    }

    /// Bytes that the target has sent through it.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }
}

async fn relay(near: TcpStream, far: TcpStream, rates: Rc<[Rate]>, bytes: Rc<Cell<u64>>) {
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let up = tokio::io::copy(&mut near_read, &mut far_write);
    let down = async {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(count @ 1..) = far_read.read(&mut chunk).await {
            bytes.set(bytes.get() + count as u64);
            for rate in rates.iter() {
                rate.take(count).await;
            }
            if near_write.write_all(&chunk[..count]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        _ = up => {}
        () = down => {}
    }
}

//! Receives the body of a request into one buffer.

use std::{net::IpAddr, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{StatusCode, body::Body};
use strum::IntoStaticStr;
use tokio::time::sleep;

use crate::memory::{Account, Guard, SMALL_BYTES};

/// How often the progress of a body is checked.
const TICK: Duration = Duration::from_secs(1);

/// A body that is not complete after this many ticks is refused.
const MAX_TICKS: u32 = 15;

/// Ticks in which a body must grow by [`MIN_WINDOW_BYTES`].
const WINDOW_TICKS: u32 = 5;

/// The least growth of a body within [`WINDOW_TICKS`], in bytes: 1 KiB per second.
const MIN_WINDOW_BYTES: usize = 5 << 10;

/// Why a body is refused. Its request has not run.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It is longer than allowed.
    BodyTooLong,
    /// It takes too long.
    BodyTooSlow,
    /// It ended early.
    BodyIncomplete,
    /// The process holds too much.
    MemoryShort,
}

impl Refusal {
    /// The status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::MemoryShort => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The progress of a body in ticks. A process that stood still for long sees one tick, and not the time that passed.
#[derive(Debug, Default)]
pub struct Progress {
    ticks: u32,
    /// The length at the start of the window.
    window_bytes: usize,
}

impl Progress {
    /// Records a tick at which the body has this length. Whether it may go on.
    pub fn tick(&mut self, bytes: usize) -> bool {
        self.ticks += 1;
        if self.ticks.is_multiple_of(WINDOW_TICKS) {
            if bytes - self.window_bytes < MIN_WINDOW_BYTES {
                return false;
            }
            self.window_bytes = bytes;
        }
        self.ticks < MAX_TICKS
    }
}

/// A body while it is received.
struct Buffer {
    data: Vec<u8>,
    max_bytes: usize,
    /// Taken once the body is no longer small.
    guard: Option<Guard>,
}

impl Buffer {
    fn push(
        &mut self,
        account: &Arc<Account>,
        caller: IpAddr,
        chunk: &[u8],
    ) -> Result<(), Refusal> {
        let (before, length) = (self.data.capacity(), self.data.len() + chunk.len());
        if length > self.max_bytes {
            return Err(Refusal::BodyTooLong);
        }
        if length > before {
            let capacity = length.max(before * 2).min(self.max_bytes);
            if capacity > SMALL_BYTES {
                let is_first = self.guard.is_none();
                let guard = self.guard.get_or_insert_with(|| account.start_body(caller));
                let grown = if is_first { capacity } else { capacity - before };
                if !guard.grow(grown) {
                    return Err(Refusal::MemoryShort);
                }
            }
            self.data.reserve_exact(capacity - self.data.len());
        }
        self.data.extend_from_slice(chunk);
        Ok(())
    }

    /// The whole body. Its bytes count until the last copy of it is dropped.
    fn into_bytes(self) -> Bytes {
        let Some(guard) = self.guard else { return self.data.into() };
        guard.complete();
        guard.attach(self.data)
    }
}

/// Receives a body of at most `max_bytes`. Chunks are copied, so that a chunk costs its bytes only, and memory is allocated
/// as the bytes arrive.
pub async fn collect<B>(
    account: &Arc<Account>,
    caller: IpAddr,
    body: B,
    max_bytes: usize,
) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes>,
{
    let result = receive(account, caller, body, max_bytes).await;
    if let Err(refusal) = result
        && refusal != Refusal::MemoryShort
    {
        account.record_refusal(refusal);
    }
    result
}

async fn receive<B>(
    account: &Arc<Account>,
    caller: IpAddr,
    body: B,
    max_bytes: usize,
) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes>,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Refusal::BodyTooLong);
    }
    let mut body = pin!(body);
    let mut buffer = Buffer { data: Vec::new(), max_bytes, guard: None };
    let mut progress = Progress::default();
    let mut tick = pin!(sleep(TICK));
    loop {
        let evicted = async {
            match &buffer.guard {
                Some(guard) => guard.evicted().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = evicted => return Err(Refusal::MemoryShort),
            frame = body.frame() => match frame {
                Some(Ok(frame)) => {
                    if let Some(chunk) = frame.data_ref() {
                        buffer.push(account, caller, chunk)?;
                    }
                }
                Some(Err(_)) => return Err(Refusal::BodyIncomplete),
                None => return Ok(buffer.into_bytes()),
            },
            () = &mut tick => {
                if !progress.tick(buffer.data.len()) {
                    return Err(Refusal::BodyTooSlow);
                }
                tick.set(sleep(TICK));
            }
        }
    }
}

//! A TCP proxy between two processes that can cut, go silent, or delay.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    task::JoinSet,
};

/// How many chunks are under way in each direction of a connection.
const CHUNKS_UNDER_WAY: usize = 256;

const CHUNK_BYTES: usize = 16 * 1024;

/// What the proxy does with data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Carry,
    /// Keeps connections open and holds their data back.
    Silent,
    /// Closes connections, also new ones.
    Cut,
}

#[derive(Clone, Copy)]
struct State {
    mode: Mode,
    delay: Duration,
}

/// A proxy from its own address to another one. It ends when it is dropped.
pub struct TcpProxy {
    addr: SocketAddr,
    state: Arc<watch::Sender<State>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TcpProxy {
    /// Listens on an address and connects each connection to `to`.
    pub async fn start(listen: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let state = State { mode: Mode::Carry, delay: Duration::ZERO };
        let state = Arc::new(watch::Sender::new(state));
        let task = tokio::spawn(accept(listener, to, state.clone()));
        Ok(Self { addr, state, task })
    }

    /// The address of the proxy.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes all connections and each new one.
    pub fn cut(&self) {
        self.state.send_modify(|it| it.mode = Mode::Cut);
    }

    /// Holds all data back without closing a connection.
    pub fn silence(&self) {
        self.state.send_modify(|it| it.mode = Mode::Silent);
    }

    /// Carries data again, including what was held back.
    pub fn restore(&self) {
        self.state.send_modify(|it| it.mode = Mode::Carry);
    }

    /// Delays all data by this much in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|it| it.delay = delay);
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, state: Arc<watch::Sender<State>>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(carry(stream, to, state.subscribe()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn carry(near: TcpStream, to: SocketAddr, mut state: watch::Receiver<State>) {
    let mut cut = state.clone();
    let both = async {
        if state.wait_for(|it| it.mode == Mode::Carry).await.is_err() {
            return;
        }
        let Ok(far) = TcpStream::connect(to).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_rdr, near_wtr) = near.into_split();
        let (far_rdr, far_wtr) = far.into_split();
        let there = one_way(near_rdr, far_wtr, state.clone());
        let back = one_way(far_rdr, near_wtr, state);
        tokio::join!(there, back);
    };
    tokio::select! {
        () = both => {}
        _ = cut.wait_for(|it| it.mode == Mode::Cut) => {}
    }
}

async fn one_way(rdr: OwnedReadHalf, wtr: OwnedWriteHalf, state: watch::Receiver<State>) {
    let (tx, rx) = mpsc::channel(CHUNKS_UNDER_WAY);
    tokio::join!(read(rdr, tx, state.clone()), write(rx, wtr, state));
}

async fn read(
    mut rdr: OwnedReadHalf,
    tx: mpsc::Sender<(Instant, Vec<u8>)>,
    state: watch::Receiver<State>,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(len @ 1..) = rdr.read(&mut buf).await {
        let due = Instant::now() + state.borrow().delay;
        if tx.send((due, buf[..len].to_vec())).await.is_err() {
            return;
        }
    }
}

async fn write(
    mut rx: mpsc::Receiver<(Instant, Vec<u8>)>,
    mut wtr: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
) {
    while let Some((due, chunk)) = rx.recv().await {
        tokio::time::sleep_until(due.into()).await;
        if state.wait_for(|it| it.mode == Mode::Carry).await.is_err() {
            return;
        }
        if wtr.write_all(&chunk).await.is_err() {
            return;
        }
    }
}

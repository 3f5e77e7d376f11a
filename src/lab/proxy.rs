//! A TCP proxy between two processes that injects network faults: closed connections, a partition without resets, or
//! delay.

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

/// The chunks that may be buffered in each direction of a connection.
const MAX_BUFFERED_CHUNKS: usize = 256;

const CHUNK_BYTES: usize = 16 * 1024;

/// How connections are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Forwards data, and sends what was held back.
    Forward,
    /// Keeps connections open but buffers their data, as in a network partition.
    Silent,
    /// Closes all connections, new ones included.
    Cut,
}

#[derive(Clone, Copy)]
struct State {
    mode: Mode,
    delay: Duration,
}

/// A proxy from its own address to another one. Dropping it closes all connections.
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
    /// Listens on `listen` and connects each accepted connection to `to`.
    pub async fn start(listen: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let state = State { mode: Mode::Forward, delay: Duration::ZERO };
        let state = Arc::new(watch::Sender::new(state));
        let task = tokio::spawn(accept(listener, to, state.clone()));
        Ok(Self { addr, state, task })
    }

    /// The address that the proxy listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes all connections, and each new one, until [`Self::restore`].
    pub fn cut(&self) {
        self.state.send_modify(|it| it.mode = Mode::Cut);
    }

    /// Holds back all data without closing connections, until [`Self::restore`].
    pub fn silence(&self) {
        self.state.send_modify(|it| it.mode = Mode::Silent);
    }

    /// Forwards data again, including what was held back.
    pub fn restore(&self) {
        self.state.send_modify(|it| it.mode = Mode::Forward);
    }

    /// Delays all data that arrives from now on by this much, in each direction.
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
                connections.spawn(forward(stream, to, state.subscribe()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(client: TcpStream, to: SocketAddr, mut state: watch::Receiver<State>) {
    let mut cut = state.clone();
    let both = async {
        if state.wait_for(|it| it.mode == Mode::Forward).await.is_err() {
            return;
        }
        let Ok(server) = TcpStream::connect(to).await else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_rdr, client_wtr) = client.into_split();
        let (server_rdr, server_wtr) = server.into_split();
        let to_server = forward_direction(client_rdr, server_wtr, state.clone());
        let to_client = forward_direction(server_rdr, client_wtr, state);
        tokio::join!(to_server, to_client);
    };
    tokio::select! {
        () = both => {}
        _ = cut.wait_for(|it| it.mode == Mode::Cut) => {}
    }
}

async fn forward_direction(rdr: OwnedReadHalf, wtr: OwnedWriteHalf, state: watch::Receiver<State>) {
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
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
        if state.wait_for(|it| it.mode == Mode::Forward).await.is_err() {
            return;
        }
        if wtr.write_all(&chunk).await.is_err() {
            return;
        }
    }
}

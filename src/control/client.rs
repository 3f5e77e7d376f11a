//! Client of the control hosts: tries one host after another and sends a change again under the same id.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::random;
use tarpc::{client, context, serde_transport::tcp, tokio_serde::formats::Bincode};

use crate::{
    error::{Error, Kind, Result},
    state::{Change, ChangeId, Reply, Revision},
    wire::{
        MAX_FRAME_BYTES,
        control::{MemberEndpoint, Poll, ServiceClient, Submit, Update},
    },
};

/// How long one attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long one attempt of a call may take beyond the time that the call itself waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a poll may take beyond the time that it waits. After a poll to a host that does not answer, enough of a
/// lease of 2 s must be left for one to another host: 0.5 s since the last poll was sent, 0.5 s wait, and this.
const POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// The pause before another host is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Client of the control hosts.
pub struct Client {
    hosts: Vec<SocketAddr>,
    current: AtomicUsize,
    failed: AtomicBool,
    connection: Mutex<Option<(usize, ServiceClient)>>,
}

impl Client {
    /// Makes a client that knows these control hosts.
    pub fn new(hosts: Vec<SocketAddr>) -> Self {
        Self {
            hosts,
            current: AtomicUsize::new(random::<u16>() as usize),
            failed: AtomicBool::new(false),
            connection: Mutex::new(None),
        }
    }

    /// Waits for newer configuration at one control host. An error moves the next call to another host; there the next
    /// poll does not wait, because the lease may be about to expire.
    pub async fn poll(&self, mut poll: Poll) -> Result<Update> {
        if self.failed.load(Ordering::Relaxed) {
            poll.wait_ms = 0;
        }
        let answer = self.poll_once(poll).await;
        self.failed.store(answer.is_err(), Ordering::Relaxed);
        answer
    }

    async fn poll_once(&self, poll: Poll) -> Result<Update> {
        let timeout = Duration::from_millis(poll.wait_ms) + POLL_TIMEOUT;
        let (host, client) = self.connect().await?;
        let answer = client.poll(deadline(timeout), poll).await;
        self.checked(host, answer)
    }

    /// Asks where the control hosts are.
    pub async fn members(&self) -> Result<Vec<MemberEndpoint>> {
        let (host, client) = self.connect().await?;
        let answer = client.members(deadline(CALL_TIMEOUT)).await;
        self.checked(host, answer.map(Ok))
    }

    /// Commits a change and returns its reply, within `timeout`. An error means that the change may have been
    /// committed.
    pub async fn submit(
        &self,
        base: Option<Revision>,
        change: Change,
        timeout: Duration,
    ) -> Result<Reply> {
        self.submit_with_id(random(), base, change, timeout).await
    }

    /// Like [`Self::submit`], for a change that was perhaps sent before.
    pub async fn submit_with_id(
        &self,
        id: ChangeId,
        base: Option<Revision>,
        change: Change,
        timeout: Duration,
    ) -> Result<Reply> {
        let end = Instant::now() + timeout;
        loop {
            let attempt = self.submit_once(Submit { id, base, change: change.clone() });
            match attempt.await {
                Err(err) if Instant::now() + RETRY_PAUSE >= end => return Err(err),
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
                Ok(reply) => return Ok(reply),
            }
        }
    }

    async fn submit_once(&self, submit: Submit) -> Result<Reply> {
        let (host, client) = self.connect().await?;
        let answer = client.submit(deadline(CALL_TIMEOUT), submit).await;
        self.checked(host, answer)
    }

    async fn connect(&self) -> Result<(usize, ServiceClient)> {
        let host = self.current.load(Ordering::Relaxed) % self.hosts.len();
        if let Some((connected, client)) = &*self.connection.lock()
            && *connected == host
        {
            return Ok((host, client.clone()));
        }
        let mut transport = tcp::connect(self.hosts[host], Bincode::default);
        transport.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, transport).await;
        let Ok(Ok(transport)) = connected else {
            self.leave(host);
            return Err(Error::new(Kind::NoQuorum, "no connection to the control host"));
        };
        let _ = transport.get_ref().set_nodelay(true);
        let client = ServiceClient::new(client::Config::default(), transport).spawn();
        *self.connection.lock() = Some((host, client.clone()));
        Ok((host, client))
    }

    fn checked<T>(&self, host: usize, answer: Result<Result<T>, client::RpcError>) -> Result<T> {
        let answer = answer
            .unwrap_or_else(|err| Err(Error::new(Kind::NoQuorum, format!("control host: {err}"))));
        if answer.is_err() {
            self.leave(host);
        }
        answer
    }

    /// Drops the connection and moves on to the next host.
    fn leave(&self, host: usize) {
        let next = (host + 1) % self.hosts.len();
        let advance = |it: usize| (it % self.hosts.len() == host).then_some(next);
        let _ = self.current.fetch_update(Ordering::Relaxed, Ordering::Relaxed, advance);
        let mut connection = self.connection.lock();
        if connection.as_ref().is_some_and(|(connected, _)| *connected == host) {
            *connection = None;
        }
    }
}

fn deadline(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

//! RPC client of the control hosts. It keeps a connection to one host and fails over to the next one after an error. A
//! change is retried under the same id, so that it is applied at most once.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::random;
use tarpc::{
    ClientMessage, Response, client, context,
    serde_transport::{Transport, tcp},
    tokio_serde::formats::Bincode,
};
use tokio::net::TcpStream;

use crate::{
    descriptors::{self, RESERVE},
    error::{Error, Kind, Result},
    state::{Change, ChangeId, Reply, Revision},
    wire::{
        MAX_FRAME_BYTES,
        control::{
            Evidence, MemberEndpoint, Poll, ServiceClient, ServiceRequest, ServiceResponse,
            Standing, Submit, Update,
        },
    },
};

/// Timeout of one connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of one call other than a poll.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a poll may take beyond its wait at the server. After a poll to a host that does not respond, the lease
/// (2 s by default) must leave time to poll another host: 0.5 s since the previous poll was sent, 0.5 s wait and
/// this 0.7 s use up 1.7 s of it.
const POLL_GRACE: Duration = Duration::from_millis(700);

/// Delay before a change is sent again, usually to the next host.
const RETRY_DELAY: Duration = Duration::from_millis(50);

type Codec = Bincode<Response<ServiceResponse>, ClientMessage<ServiceRequest>>;

type Connection =
    Transport<TcpStream, Response<ServiceResponse>, ClientMessage<ServiceRequest>, Codec>;

/// RPC client of the control hosts, with one connection and failover.
pub struct Client {
    hosts: Vec<SocketAddr>,
    current_host: AtomicUsize,
    last_poll_failed: AtomicBool,
    connection: Mutex<Option<(usize, ServiceClient)>>,
}

impl Client {
    /// Creates a client of these control hosts; it starts with a random one, so that clients spread over the hosts.
    pub fn new(hosts: Vec<SocketAddr>) -> Self {
        Self {
            hosts,
            current_host: AtomicUsize::new(random::<u16>() as usize),
            last_poll_failed: AtomicBool::new(false),
            connection: Mutex::new(None),
        }
    }

    /// Polls one control host for newer configuration, once. After an error the next call goes to another host; if that
    /// call is a poll, it returns at once instead of waiting, because the lease may be about to expire.
    pub async fn poll(&self, mut poll: Poll) -> Result<Update> {
        if self.last_poll_failed.load(Ordering::Relaxed) {
            poll.wait_ms = 0;
        }
        let response = self.poll_once(poll).await;
        self.last_poll_failed.store(response.is_err(), Ordering::Relaxed);
        response
    }

    async fn poll_once(&self, poll: Poll) -> Result<Update> {
        let timeout = Duration::from_millis(poll.wait_ms) + POLL_GRACE;
        let (host, client) = self.connect().await?;
        let response = client.poll(context_with_timeout(timeout), poll).await;
        self.check_response(host, response).map(Update::unpacked)
    }

    /// Returns the zones and RPC addresses of the cluster members.
    pub async fn members(&self) -> Result<Vec<MemberEndpoint>> {
        let (host, client) = self.connect().await?;
        let response = client.members(context_with_timeout(CALL_TIMEOUT)).await;
        self.check_response(host, response.map(Ok))
    }

    /// Returns the local state of the control host. One of an earlier release closes the connection instead.
    pub async fn standing(&self) -> Result<Standing> {
        let (host, client) = self.connect().await?;
        let response = client.standing(context_with_timeout(CALL_TIMEOUT)).await;
        self.check_response(host, response.map(Ok))
    }

    /// Sends evidence about the running rollouts, once. It is cumulative, so that a failed call need not be repeated.
    pub async fn record_evidence(&self, evidence: Evidence) -> Result<()> {
        let (host, client) = self.connect().await?;
        let response =
            client.record_evidence(context_with_timeout(CALL_TIMEOUT), evidence, false).await;
        self.check_response(host, response)
    }

    /// Submits a change and retries on any error until `timeout`. After an error the change may still have been
    /// committed.
    pub async fn submit(
        &self,
        base: Option<Revision>,
        change: Change,
        timeout: Duration,
    ) -> Result<Reply> {
        self.submit_with_id(random(), base, change, timeout).await
    }

    /// Like [`Self::submit`], under a given id: a change that was submitted before under this id is not applied again.
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
                Err(err) if Instant::now() + RETRY_DELAY >= end => return Err(err),
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                Ok(reply) => return Ok(reply),
            }
        }
    }

    async fn submit_once(&self, submit: Submit) -> Result<Reply> {
        let (host, client) = self.connect().await?;
        let response = client.submit(context_with_timeout(CALL_TIMEOUT), submit).await;
        self.check_response(host, response)
    }

    async fn connect(&self) -> Result<(usize, ServiceClient)> {
        let host = self.current_host.load(Ordering::Relaxed) % self.hosts.len();
        if let Some((connected, client)) = &*self.connection.lock()
            && *connected == host
        {
            return Ok((host, client.clone()));
        }
        let transport = match connect(self.hosts[host]).await {
            Ok(transport) => transport,
            Err(err) => {
                self.fail_over(host);
                let message = format!("cannot connect to the control host: {err}");
                return Err(Error::new(Kind::NoQuorum, message));
            }
        };
        let _ = transport.get_ref().set_nodelay(true);
        let client = ServiceClient::new(client::Config::default(), transport).spawn();
        *self.connection.lock() = Some((host, client.clone()));
        Ok((host, client))
    }

    fn check_response<T>(
        &self,
        host: usize,
        response: Result<Result<T>, client::RpcError>,
    ) -> Result<T> {
        let response = response
            .unwrap_or_else(|err| Err(Error::new(Kind::NoQuorum, format!("control host: {err}"))));
        if response.is_err() {
            self.fail_over(host);
        }
        response
    }

    /// Closes the connection. The next call opens another one.
    pub(super) fn disconnect(&self) {
        *self.connection.lock() = None;
    }

    /// Closes the connection to `host` and selects the next host, unless a concurrent call has already done so.
    fn fail_over(&self, host: usize) {
        let next = (host + 1) % self.hosts.len();
        let advance = |it: usize| (it % self.hosts.len() == host).then_some(next);
        let _ = self.current_host.fetch_update(Ordering::Relaxed, Ordering::Relaxed, advance);
        let mut connection = self.connection.lock();
        if connection.as_ref().is_some_and(|(connected, _)| *connected == host) {
            *connection = None;
        }
    }
}

/// Connects to a control host, with a descriptor of the reserve if no other one is left.
async fn connect(addr: SocketAddr) -> io::Result<Connection> {
    match try_connect(addr).await {
        Err(err) if descriptors::is_exhausted(&err) => {
            let _lease = RESERVE.lend();
            try_connect(addr).await
        }
        result => result,
    }
}

async fn try_connect(addr: SocketAddr) -> io::Result<Connection> {
    let mut transport = tcp::connect(addr, Bincode::default);
    transport.config_mut().max_frame_length(MAX_FRAME_BYTES);
    tokio::time::timeout(CONNECT_TIMEOUT, transport).await?
}

fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

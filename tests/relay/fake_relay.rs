//! A relay beside the tested one that answers as a test says, also with what no correct relay would answer.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use gentianpass::{
    state::{Config, Node},
    wire::{
        control::{Poll, Update},
        relay::{Message, Reply, Standing},
    },
};
use hyper::StatusCode;
use parking_lot::Mutex;
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    fake_control::{Answer, FakeControl, config, whole},
    follow::route,
    support::Harness,
};

pub type Script = Box<dyn FnMut(&Message) -> Option<Reply> + Send>;

/// A relay that answers as a test says. It closes the connection where the script has no reply.
pub struct FakeRelay {
    pub addr: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    messages: Arc<Mutex<Vec<Message>>>,
}

impl FakeRelay {
    pub async fn start(script: impl FnMut(&Message) -> Option<Reply> + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Self {
            addr: listener.local_addr().unwrap(),
            connections: Arc::default(),
            messages: Arc::default(),
        };
        let (connections, messages) = (relay.connections.clone(), relay.messages.clone());
        let script: Arc<Mutex<Script>> = Arc::new(Mutex::new(Box::new(script)));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::SeqCst);
                let (messages, script) = (messages.clone(), script.clone());
                tokio::spawn(async move {
                    let mut conn = Framed::new(stream, LengthDelimitedCodec::new());
                    while let Some(Ok(bytes)) = conn.next().await {
                        let message: Message = bincode::deserialize(&bytes).unwrap();
                        let reply = (script.lock())(&message);
                        messages.lock().push(message);
                        let Some(reply) = reply else { return };
                        let bytes = Bytes::from(bincode::serialize(&reply).unwrap());
                        conn.send(bytes).await.unwrap();
                    }
                });
            }
        });
        relay
    }

    /// How often it was asked for its configuration.
    pub fn fetched(&self) -> usize {
        self.messages.lock().iter().filter(|it| matches!(it, Message::Fetch(_))).count()
    }

    /// The comparisons that it was asked for.
    pub fn compared(&self) -> Vec<Standing> {
        let messages = self.messages.lock();
        let compared = messages.iter().filter_map(|it| match it {
            Message::Compare(it) => Some(it.clone()),
            _ => None,
        });
        compared.collect()
    }
}

/// How a relay with this configuration describes itself.
pub fn standing(name: &str, config: &Config, age: Duration) -> Standing {
    Standing {
        name: name.into(),
        revision: config.revision,
        digest: config.digest(),
        age_us: Some(age.as_micros() as u64),
        heard_us: Some(age.as_micros() as u64),
        behind_us: 0,
    }
}

/// A relay that serves by this configuration.
pub fn serving(name: &'static str, config: Config) -> impl FnMut(&Message) -> Option<Reply> {
    move |message| {
        Some(match message {
            Message::Compare(_) => {
                Reply::Standing(standing(name, &config, Duration::from_millis(100)))
            }
            Message::Fetch(_) => Reply::Config(Update::Config(Box::new(config.clone()))),
            _ => Reply::Accepted,
        })
    }
}

pub fn node(name: &str, zone: &str, rpc: SocketAddr) -> Node {
    Node { name: name.into(), incarnation: 1, http: rpc, rpc, zone: zone.into(), leaving: false }
}

pub fn with_nodes(mut config: Config, nodes: &[Node]) -> Config {
    config.nodes = nodes.iter().map(|it| (it.name.clone(), it.clone())).collect();
    config
}

/// Answers polls as a control host does that holds this configuration.
pub fn holding(config: Config) -> impl FnMut(&Poll) -> Answer + Clone {
    move |poll| if poll.revision == config.revision { Answer::Unchanged } else { whole(&config) }
}

/// The first revision of a relay with a neighbour at `rpc`, and the next one.
pub fn two_revisions(rpc: SocketAddr) -> (Config, Config) {
    let nodes = [node("relay-2", "beside", rpc)];
    let old = with_nodes(config(5, 1, vec![route("/old/")]), &nodes);
    let new = with_nodes(config(7, 2, vec![route("/new/")]), &nodes);
    (old, new)
}

/// Starts a relay whose only neighbour answers by `script`, and whose only control host goes on holding revision 5.
pub async fn start_beside(
    make: impl FnOnce(Config, Config) -> Script,
) -> (Harness, FakeRelay, FakeControl) {
    let script: Arc<Mutex<Option<Script>>> = Arc::default();
    let shared = script.clone();
    let fake = FakeRelay::start(move |it| shared.lock().as_mut().and_then(|run| run(it))).await;
    let (old, new) = two_revisions(fake.addr);
    *script.lock() = Some(make(old.clone(), new));
    let (control, addr) = FakeControl::start(holding(old)).await;
    let harness = Harness::start_with(|it| it.control = vec![addr]).await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    (harness, fake, control)
}

/// Waits until the relay has this route in its table. A relay that is not confirmed tells of no route.
pub async fn wait_for_route(harness: &Harness, prefix: &str, limit: Duration) -> bool {
    let known = async {
        loop {
            let (status, _, body) = harness.get(prefix).await;
            if status != StatusCode::NOT_FOUND && body[..] != b"config_unconfirmed"[..] {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(limit, known).await.is_ok()
}

//! What a relay concludes from what another one tells, and what it tells itself.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use gentianpass::{
    error::Result,
    lab::control::{self, ControlHandler},
    relay::DEFAULT_MAX_CONFIG_AGE,
    state::{Change, Config, Reply as ChangeReply},
    wire::{
        control::{Applied, Poll, Submit, Update},
        relay::{Message, Reply},
    },
};
use hyper::StatusCode;
use parking_lot::Mutex;
use tokio::{net::TcpStream, sync::watch, time::sleep};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    fake_control::{Answer, FakeControl, config},
    fake_relay::{
        FakeRelay, Script, holding, standing, start_beside, two_revisions, wait_for_route,
    },
    follow::{CONFIG_AGE_MS, metric, route},
    support::Harness,
};

/// The time from a change until it is in force (`configApplyMs`).
const APPLY: Duration = DEFAULT_MAX_CONFIG_AGE;

fn suspect(revision: u64, fingerprint: u64) -> Applied {
    Applied { revision, at_ms: 1, change: Change::Suspect { fingerprint, target: "t".into() } }
}

/// A relay that tells that it has one configuration, confirmed for this long, and sends another one.
fn telling(told: Config, age: Duration, sent: Config) -> Script {
    Box::new(move |message| {
        Some(match message {
            Message::Compare(_) => Reply::Standing(standing("relay-2", &told, age)),
            _ => Reply::Config(Update::Config(Box::new(sent.clone()))),
        })
    })
}

/// Guards against a configuration of a relay that no control host has confirmed for long: it may be lost.
#[tokio::test]
async fn unconfirmed_configuration_not_taken() {
    let age = Duration::from_secs(3);
    let make = move |_, new: Config| telling(new.clone(), age, new);
    let (harness, _fake, _control) = start_beside(make).await;
    assert!(!wait_for_route(&harness, "/new/", APPLY).await, "taken");
}

/// Guards against a confirmation of other content under the same revision.
#[tokio::test]
async fn other_content_confirms_nothing() {
    let other = config(5, 1, vec![route("/other/")]);
    let make = move |_, _| telling(other.clone(), Duration::ZERO, other);
    let (harness, _fake, control) = start_beside(make).await;
    control.set_script(|_| Answer::Silent);
    sleep(2 * APPLY).await;
    let (status, _, body) = harness.get("/none/").await;
    assert_eq!((status, &body[..]), (StatusCode::SERVICE_UNAVAILABLE, &b"config_unconfirmed"[..]));
}

/// Guards against an age that starts again at each comparison, whatever the other relay tells.
#[tokio::test]
async fn confirmation_keeps_its_age() {
    let age = Duration::from_millis(2_000);
    let make = move |old: Config, _| telling(old.clone(), age, old);
    let (harness, _fake, control) = start_beside(make).await;
    control.set_script(|_| Answer::Silent);
    sleep(2 * APPLY).await;
    for _ in 0..20 {
        let age_ms = metric(&harness, CONFIG_AGE_MS).unwrap_or_default();
        assert!((2_000..4_000).contains(&age_ms), "age {age_ms} ms, told by the other: {age:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an older configuration than the own one, which a relay sends after it has told of a newer one.
#[tokio::test]
async fn older_configuration_not_taken() {
    let older = config(4, 1, vec![route("/older/")]);
    let (harness, fake, _control) =
        start_beside(move |_, new| telling(new, Duration::ZERO, older)).await;
    harness.wait_until(|| fake.fetched() > 0).await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(harness.get("/older/").await.0, StatusCode::NOT_FOUND);
    assert_ne!(harness.get("/old/").await.0, StatusCode::NOT_FOUND);
    let adopted = "gentianpass_relay_config_faults_total{fault=\"adopted\"}";
    assert_eq!(metric(&harness, adopted), None, "the copy by which it polls");
}

/// Guards against a copy that is sent to another relay although an update did not apply to it.
#[tokio::test]
async fn broken_copy_not_sent() {
    let old = config(5, 1, vec![route("/old/")]);
    let (control, addr) = FakeControl::start(holding(old)).await;
    let mut rpc = None;
    let harness = Harness::start_with(|it| {
        it.control = vec![addr];
        rpc = Some(it.listen_peers);
    })
    .await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    control.set_script(move |poll| match poll.revision {
        5 => Answer::Now(Update::Changes(vec![suspect(6, 6), suspect(9, 7)])),
        _ => Answer::Silent,
    });
    let faults = "gentianpass_relay_config_faults_total{fault=\"update_failed\"}";
    harness.wait_until(|| metric(&harness, faults).is_some_and(|it| it > 0)).await;
    let stream = TcpStream::connect(rpc.unwrap()).await.unwrap();
    let mut conn = Framed::new(stream, LengthDelimitedCodec::new());
    conn.send(Bytes::from(bincode::serialize(&Message::Fetch(5)).unwrap())).await.unwrap();
    let reply: Reply = bincode::deserialize(&conn.next().await.unwrap().unwrap()).unwrap();
    assert_eq!(reply, Reply::Config(Update::Changes(Vec::new())));
}

/// Answers a poll from revision 5 only once it is told to, with the changes to revision 7.
#[derive(Clone)]
struct LateControl {
    old: Config,
    is_released: watch::Sender<bool>,
}

impl ControlHandler for LateControl {
    async fn poll(&self, poll: Poll) -> Result<Update> {
        match poll.revision {
            5 => {
                let _ = self.is_released.subscribe().wait_for(|it| *it).await;
                Ok(Update::Changes(vec![suspect(6, 6), suspect(7, 7)]))
            }
            7 => {
                sleep(Duration::from_millis(poll.wait_ms)).await;
                Ok(Update::Changes(Vec::new()))
            }
            _ => Ok(Update::Config(Box::new(self.old.clone()))),
        }
    }

    async fn submit(&self, _: Submit) -> Result<ChangeReply> {
        Ok(ChangeReply::Applied { revision: 0 })
    }
}

/// Guards against an answer of the control hosts that counts as wrong because another relay was faster.
#[tokio::test]
async fn late_changes_after_adoption() {
    let fake_config: Arc<Mutex<Option<Config>>> = Arc::default();
    let shared = fake_config.clone();
    let fake = FakeRelay::start(move |message| {
        let new = shared.lock().clone()?;
        telling(new.clone(), Duration::ZERO, new)(message)
    })
    .await;
    let (old, new) = two_revisions(fake.addr);
    *fake_config.lock() = Some(new);
    let control = LateControl { old, is_released: watch::Sender::new(false) };
    let addr = control::serve(control.clone()).await.unwrap();
    let harness = Harness::start_with(|it| it.control = vec![addr]).await;
    assert!(wait_for_route(&harness, "/new/", 2 * APPLY).await, "not taken over");
    control.is_released.send_replace(true);
    sleep(Duration::from_millis(500)).await;
    let faults = "gentianpass_relay_config_faults_total{fault=\"update_failed\"}";
    assert_eq!(metric(&harness, faults), None);
    assert_ne!(harness.get("/new/").await.0, StatusCode::NOT_FOUND);
}

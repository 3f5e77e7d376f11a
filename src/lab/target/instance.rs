//! One stand-in target: its listener and connections, crashes and restarts, injected faults and counters.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, LogNormal};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    event::unix_ms,
    lab::{
        dataset::{Shard, ShardCache},
        target::{
            capacity::{Capacity, OverloadPolicy},
            conn::Conn,
            fault::{Damage, Fault, Lie, TargetStats},
            serve,
        },
    },
    settings::TargetSpec,
    state::{Holding, Phase, Target},
    wire::target::Announcement,
};

/// The standard deviation of the logarithm of service times; with it, the 99th percentile is twice the median.
const SERVICE_SIGMA: f64 = 0.3;

/// The pause before binding the listener is tried again after a crash.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The faults that are in effect.
pub struct FaultState {
    pub(super) slow_factor: f64,
    /// One request in this many is slow (0: none), and the factor on its service time.
    pub(super) straggle: (u64, f64),
    /// The text that causes a crash, and the downtime in milliseconds.
    pub(super) crash_on: Option<(String, u64)>,
    pub(super) announcing: bool,
    /// Set while the target is leaving: from then on it refuses requests.
    pub(super) refuse_from: Option<Instant>,
    pub(super) damage: Option<Damage>,
    pub(super) lie: Option<Lie>,
    pub(super) watched_prefix: Option<String>,
    /// Whether the target is down after a crash.
    down: bool,
    back_after_ms: u64,
}

/// The counters of a target; [`TargetStats`] describes them.
#[derive(Default)]
pub struct Counters {
    pub(super) received: u64,
    pub(super) started: u64,
    pub(super) finished: u64,
    pub(super) refused: u64,
    pub(super) dropped: u64,
    pub(super) after_leave: u64,
    pub(super) since_mark: u64,
    pub(super) last_received_ms: u64,
    pub(super) last_service_us: u64,
    pub(super) announced: u64,
    pub(super) runs: BTreeMap<String, u32>,
    pub(super) texts: BTreeMap<String, u32>,
    connections: u32,
    max_connections: u32,
    connections_refused: u64,
    crashes: u64,
}

/// One stand-in target.
pub struct StandInTarget {
    /// Its entry in the settings file.
    pub spec: TargetSpec,
    /// The address of its listener.
    pub addr: SocketAddr,
    pub(super) capacity: Arc<Capacity>,
    pub(super) faults: Mutex<FaultState>,
    pub(super) counters: Mutex<Counters>,
    /// The tokens of running sub-requests, by sub-request id.
    pub(super) cancellations: Mutex<HashMap<u64, CancellationToken>>,
    pub(super) stalled: watch::Sender<bool>,
    /// Wakes the announcing task after a change.
    pub(super) changed: Notify,
    incarnation: AtomicU64,
    shards: Mutex<Vec<(Holding, Arc<Shard>)>>,
    shard_cache: Arc<ShardCache>,
    rng: Mutex<SmallRng>,
    /// Ends the current run of [`Self::serve_until_exit`], which then restarts the listener.
    crash_requested: Notify,
    /// The number of the last connection that was opened.
    connections_opened: AtomicU64,
    /// Connections up to this number carry no data.
    last_silenced: Arc<AtomicU64>,
}

impl StandInTarget {
    /// Binds the listener of a target. [`Self::serve_until_exit`] serves it.
    pub async fn bind(
        spec: TargetSpec,
        shard_cache: Arc<ShardCache>,
        seed: u64,
    ) -> std::io::Result<(Arc<Self>, TcpListener)> {
        let listener = TcpListener::bind(spec.listen).await?;
        let faults = FaultState {
            slow_factor: 1.0,
            straggle: (0, 1.0),
            crash_on: None,
            announcing: true,
            refuse_from: None,
            damage: None,
            lie: None,
            watched_prefix: None,
            down: false,
            back_after_ms: 0,
        };
        let rng = SmallRng::seed_from_u64(xxh3_64_with_seed(spec.name.as_bytes(), seed));
        let stand_in = Self {
            addr: listener.local_addr()?,
            capacity: Arc::new(Capacity::new(&spec, Instant::now())),
            faults: Mutex::new(faults),
            counters: Mutex::default(),
            cancellations: Mutex::default(),
            stalled: watch::Sender::new(false),
            changed: Notify::new(),
            incarnation: AtomicU64::new(unix_ms()),
            shards: Mutex::default(),
            shard_cache,
            rng: Mutex::new(rng),
            crash_requested: Notify::new(),
            connections_opened: AtomicU64::new(0),
            last_silenced: Arc::default(),
            spec,
        };
        stand_in.set_holdings(stand_in.spec.holdings.clone());
        Ok((Arc::new(stand_in), listener))
    }

    /// Serves the target for as long as the process runs. After a crash, it binds the listener again as a new
    /// incarnation.
    pub async fn serve_until_exit(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            let mut connections = JoinSet::new();
            tokio::select! {
                () = self.clone().accept(&listener, &mut connections) => {}
                () = self.crash_requested.notified() => {}
            }
            // The listener is closed first, so that a client that notices a broken connection cannot connect again.
            drop(listener);
            connections.shutdown().await;
            let back_after = Duration::from_millis(self.faults.lock().back_after_ms);
            tokio::time::sleep(back_after).await;
            listener = self.reopen().await;
        }
    }

    /// Crashes the target: closes the listener and all connections, including that of the request which caused the
    /// crash. Does nothing while the target is down.
    pub fn crash(&self, back_after_ms: u64) {
        let mut faults = self.faults.lock();
        if faults.down {
            return;
        }
        faults.down = true;
        faults.back_after_ms = back_after_ms;
        drop(faults);
        self.counters.lock().crashes += 1;
        self.crash_requested.notify_one();
    }

    /// Applies a fault and wakes the announcing task.
    pub fn apply(&self, fault: Fault) {
        let now = Instant::now();
        match fault {
            Fault::Slow { factor } => self.faults.lock().slow_factor = factor,
            Fault::Straggle { one_in, factor } => self.faults.lock().straggle = (one_in, factor),
            Fault::Stall { on } => drop(self.stalled.send_replace(on)),
            Fault::Shed { on } => {
                self.capacity.set_overload_policy(if on {
                    OverloadPolicy::Shed
                } else {
                    OverloadPolicy::Accept
                });
            }
            Fault::TurnCold => self.capacity.turn_cold(now),
            Fault::Silence => {
                let connections_opened = self.connections_opened.load(Ordering::Relaxed);
                self.last_silenced.store(connections_opened, Ordering::Relaxed);
            }
            Fault::CrashOn { text, back_after_ms } => {
                self.faults.lock().crash_on = text.map(|it| (it, back_after_ms));
            }
            Fault::Crash { back_after_ms } => self.crash(back_after_ms),
            Fault::Announce { on } => self.faults.lock().announcing = on,
            Fault::Leave { refuse_after_ms } => {
                let refuse_from = now + Duration::from_millis(refuse_after_ms);
                self.faults.lock().refuse_from.get_or_insert(refuse_from);
            }
            Fault::Return => {
                self.faults.lock().refuse_from = None;
                self.capacity.turn_cold(now);
            }
            Fault::Hold { holdings } => self.set_holdings(holdings),
            Fault::Damage { damage } => self.faults.lock().damage = damage,
            Fault::Lie { lie } => self.faults.lock().lie = lie,
            Fault::Watch { prefix } => self.faults.lock().watched_prefix = prefix,
            Fault::Mark => self.counters.lock().since_mark = 0,
            Fault::Heal => self.heal(),
        }
        self.changed.notify_one();
    }

    /// The current announcement; none while the target is down or announcements are off.
    pub fn announcement(&self) -> Option<Announcement> {
        let faults = self.faults.lock();
        if faults.down || !faults.announcing {
            return None;
        }
        let phase = if faults.refuse_from.is_some() { Phase::Leaving } else { Phase::Serving };
        let lie = faults.lie;
        drop(faults);
        let target = Target {
            name: self.spec.name.clone(),
            incarnation: self.incarnation(),
            addr: self.addr,
            zone: self.spec.zone.clone(),
            labels: self.spec.labels.clone(),
            slots: self.spec.slots,
            warm_up: self.spec.warm_up,
            connections: self.spec.connections,
            phase,
            holdings: self.shards.lock().iter().map(|(it, _)| it.clone()).collect(),
        };
        let cold = lie.map_or_else(|| self.capacity.cold(Instant::now()), |it| it.cold);
        Some(Announcement { target, cold })
    }

    /// The state and the counters.
    pub fn stats(&self) -> TargetStats {
        let mut stats = TargetStats {
            name: self.spec.name.clone(),
            zone: self.spec.zone.clone(),
            incarnation: self.incarnation(),
            down: self.faults.lock().down,
            ..TargetStats::default()
        };
        self.capacity.copy_counters(&mut stats, Instant::now());
        let counters = self.counters.lock();
        stats.received = counters.received;
        stats.started = counters.started;
        stats.finished = counters.finished;
        stats.refused = counters.refused;
        stats.dropped = counters.dropped;
        stats.after_leave = counters.after_leave;
        stats.since_mark = counters.since_mark;
        stats.last_received_ms = counters.last_received_ms;
        stats.last_service_us = counters.last_service_us;
        stats.announced = counters.announced;
        stats.runs = counters.runs.clone();
        stats.texts = counters.texts.clone();
        stats.connections = counters.connections;
        stats.max_connections = counters.max_connections;
        stats.connections_refused = counters.connections_refused;
        stats.crashes = counters.crashes;
        stats
    }

    /// The start time of the current incarnation, in milliseconds; it always increases.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Relaxed)
    }

    pub(super) fn shard(&self, index: &str, version: u64, shard: u32) -> Option<Arc<Shard>> {
        let shards = self.shards.lock();
        let found = shards
            .iter()
            .find(|(it, _)| it.shard == shard && it.version == version && it.index == index);
        found.map(|(_, it)| it.clone())
    }

    /// Draws a random service time, in seconds.
    pub(super) fn draw_service_secs(&self) -> f64 {
        let (slow_factor, (one_in, factor)) = {
            let faults = self.faults.lock();
            (faults.slow_factor, faults.straggle)
        };
        let median = self.spec.service_us as f64 / 1e6;
        let mut rng = self.rng.lock();
        let spread = LogNormal::new(0.0, SERVICE_SIGMA).map_or(1.0, |it| it.sample(&mut *rng));
        let straggles = one_in > 0 && rng.random_range(0..one_in) == 0;
        median * spread * slow_factor * if straggles { factor } else { 1.0 }
    }

    fn set_holdings(&self, holdings: Vec<Holding>) {
        let load = |it: Holding| self.shard_cache.shard(&it).map(|shard| (it, shard));
        let shards = holdings.into_iter().filter_map(load).collect();
        *self.shards.lock() = shards;
    }

    fn heal(&self) {
        let mut faults = self.faults.lock();
        faults.slow_factor = 1.0;
        faults.straggle = (0, 1.0);
        faults.crash_on = None;
        faults.announcing = true;
        faults.damage = None;
        faults.lie = None;
        drop(faults);
        self.stalled.send_replace(false);
        self.capacity.heal(Instant::now());
    }

    async fn reopen(&self) -> TcpListener {
        let listener = loop {
            match TcpListener::bind(self.addr).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(BIND_RETRY_PAUSE).await,
            }
        };
        self.incarnation.store(unix_ms().max(self.incarnation() + 1), Ordering::Relaxed);
        self.capacity.turn_cold(Instant::now());
        let mut faults = self.faults.lock();
        faults.down = false;
        faults.refuse_from = None;
        self.changed.notify_one();
        listener
    }

    async fn accept(self: Arc<Self>, listener: &TcpListener, connections: &mut JoinSet<()>) {
        let router = serve::router(self.clone());
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let Some(guard) = self.clone().count_connection() else { continue };
                    let service = TowerToHyperService::new(router.clone());
                    connections.spawn(self.clone().serve_connection(stream, guard, service));
                }
                Some(_) = connections.join_next() => {}
            }
        }
    }

    fn count_connection(self: Arc<Self>) -> Option<ConnectionGuard> {
        let mut counters = self.counters.lock();
        if counters.connections >= self.spec.connections {
            counters.connections_refused += 1;
            return None;
        }
        counters.connections += 1;
        counters.max_connections = counters.max_connections.max(counters.connections);
        drop(counters);
        Some(ConnectionGuard(self))
    }

    async fn serve_connection(
        self: Arc<Self>,
        stream: TcpStream,
        _guard: ConnectionGuard,
        service: TowerToHyperService<axum::Router>,
    ) {
        let _ = stream.set_nodelay(true);
        let number = self.connections_opened.fetch_add(1, Ordering::Relaxed) + 1;
        tokio::time::sleep(Duration::from_millis(self.spec.connect_ms)).await;
        let conn = Conn::new(stream, number, self.last_silenced.clone());
        let _ = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(conn), service)
            .await;
    }
}

/// An open connection; it counts against the limit until it is dropped.
struct ConnectionGuard(Arc<StandInTarget>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.counters.lock().connections -= 1;
    }
}

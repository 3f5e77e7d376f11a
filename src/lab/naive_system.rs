//! The naive system, the baseline of the measurements: the client itself sends each sub-request once, to a random
//! replica of the shard, without limits, hedged requests or retries.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use futures::future::join_all;
use parking_lot::RwLock;
use rand::random_range;

use crate::{
    error::{Kind, Outcome},
    lab::{caller::Error, http::Client, load::SystemUnderTest},
    wire::{
        caller::{Answer, Missing, Query, Row},
        target::{Sub, SubAnswer},
    },
};

/// The index version to query, and the addresses of its shards.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    /// The version.
    pub version: u64,
    /// The replicas of each shard.
    pub replicas: Vec<Vec<SocketAddr>>,
}

/// A client that queries the targets directly.
pub struct NaiveSystem {
    index: String,
    layout: RwLock<Layout>,
    client: RwLock<Client>,
    next_id: AtomicU64,
}

impl NaiveSystem {
    /// Makes a client that uses this layout until [`Self::set_layout`].
    pub fn new(index: &str, layout: Layout) -> Self {
        Self {
            index: index.into(),
            layout: RwLock::new(layout),
            client: RwLock::default(),
            next_id: AtomicU64::new(1),
        }
    }

    /// Replaces the layout.
    pub fn set_layout(&self, layout: Layout) {
        *self.layout.write() = layout;
    }

    /// Closes all idle connections by dropping the client. They would count against the targets' connection limits
    /// while the other system is measured.
    pub fn disconnect(&self) {
        *self.client.write() = Client::default();
    }

    async fn query_replica(
        &self,
        client: &Client,
        addr: SocketAddr,
        sub: &Sub,
    ) -> Result<Vec<Row>, Kind> {
        let timeout = Duration::from_millis(sub.deadline_ms);
        let answer: SubAnswer =
            client.post(addr, "/v1/sub", sub, timeout).await.map_err(|_| Kind::Timeout)?;
        let matches = answer.version == sub.version
            && answer.shard == sub.shard
            && answer.count == answer.rows.len();
        if matches { Ok(answer.rows) } else { Err(Kind::BadAnswer) }
    }
}

impl SystemUnderTest for NaiveSystem {
    async fn query(&self, query: &Query) -> Result<Answer, Error> {
        let layout = self.layout.read().clone();
        let client = self.client.read().clone();
        let subs = layout.replicas.iter().enumerate().map(|(shard, replicas)| {
            let sub = Sub {
                id: self.next_id.fetch_add(1, Ordering::Relaxed),
                index: self.index.clone(),
                version: layout.version,
                shard: shard as u32,
                kind: query.kind.clone(),
                text: query.text.clone(),
                deadline_ms: query.deadline_ms,
            };
            let addr = replicas[random_range(0..replicas.len())];
            let client = &client;
            async move { (sub.shard, self.query_replica(client, addr, &sub).await) }
        });
        let mut answer = Answer {
            request_id: String::new(),
            outcome: Outcome::Done,
            version: layout.version,
            covered: 0,
            total: layout.replicas.len() as u32,
            missing: Vec::new(),
            rows: Vec::new(),
        };
        for (shard, result) in join_all(subs).await {
            match result {
                Ok(rows) => {
                    answer.covered += 1;
                    answer.rows.extend(rows);
                }
                Err(reason) => answer.missing.push(Missing { shard, reason }),
            }
        }
        answer.rows.sort();
        Ok(answer)
    }
}

//! Announcements of a stand-in target to entry stand_ins.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    lab::{http::Client, target::instance::StandInTarget},
    wire::target::{Announced, Announcement},
};

/// The renewal interval until an entry stand_in names one.
const DEFAULT_RENEW_MS: u64 = 1_000;

/// The pause after a round in which no entry stand_in took the announcement.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long one entry stand_in may take.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Announces the target for as long as the process runs: to its owner, and to the others if the owner fails.
pub async fn announce(stand_in: Arc<StandInTarget>, entries: Vec<SocketAddr>, client: Client) {
    let mut owner = None;
    loop {
        let mut pause = Duration::from_millis(DEFAULT_RENEW_MS);
        if let Some(announcement) = stand_in.announcement() {
            match announce_to_any(&client, owner, &entries, &announcement).await {
                Some(answer) => {
                    stand_in.counters.lock().announced += 1;
                    owner = answer.owner;
                    pause = Duration::from_millis(answer.renew_ms);
                }
                None => {
                    owner = None;
                    pause = RETRY_PAUSE;
                }
            }
        }
        let _ = tokio::time::timeout(pause, stand_in.changed.notified()).await;
    }
}

async fn announce_to_any(
    client: &Client,
    owner: Option<SocketAddr>,
    entries: &[SocketAddr],
    announcement: &Announcement,
) -> Option<Announced> {
    let others = entries.iter().copied().filter(|&it| Some(it) != owner);
    for addr in owner.into_iter().chain(others) {
        match client.post(addr, "/v1/targets", announcement, TIMEOUT).await {
            Ok(answer) => return Some(answer),
            Err(err) => {
                let target = &announcement.target.name;
                log::debug!("event=announce_failed target={target} entry={addr} cause={err:?}");
            }
        }
    }
    None
}

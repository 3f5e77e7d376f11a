//! Announces a stand-in target to the entry hosts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    lab::{http::Client, target::instance::StandInTarget},
    wire::target::{Announced, Announcement},
};

/// The renewal interval until an entry host sends one.
const DEFAULT_RENEW_MS: u64 = 1_000;

/// The pause after all entry hosts failed to take the announcement.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long one entry host may take to answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Announces the target for as long as the process runs, at the renewal interval and after each change. It tries the
/// last known owner first, then the other entry hosts.
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

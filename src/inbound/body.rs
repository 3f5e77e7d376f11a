//! Bounds what the requests to a router hold.

use std::sync::Arc;

use axum::{
    body::{Body, HttpBody},
    extract::{ConnectInfo, Request, State},
    http::header::{CONNECTION, RETRY_AFTER},
    middleware::Next,
    response::{IntoResponse, Response},
};
use http_body_util::BodyExt;

use crate::{
    inbound::Peer,
    memory::{self, Account, Refusal, SMALL_BYTES},
};

/// The bound on the requests to a router.
#[derive(Clone)]
pub struct Bound {
    /// Counts what is held.
    pub account: Arc<Account>,
    /// The longest body, in bytes.
    pub max_body_bytes: usize,
}

/// Middleware that receives bodies under the account, and holds responses there until the caller has taken them.
pub async fn receive(
    State(bound): State<Bound>,
    ConnectInfo(peer): ConnectInfo<Peer>,
    request: Request,
    next: Next,
) -> Response {
    let Bound { account, max_body_bytes } = bound;
    let (head, body) = request.into_parts();
    let body = if body.is_end_stream() {
        body
    } else {
        match memory::collect(&account, peer.ip, body, max_body_bytes).await {
            Ok(body) => Body::from(body),
            Err(refusal) => return refuse(refusal),
        }
    };
    let response = next.run(Request::from_parts(head, body)).await;
    if response.body().size_hint().lower() <= SMALL_BYTES as u64 {
        return response;
    }
    let (head, body) = response.into_parts();
    match body.collect().await {
        Ok(body) => {
            let body = account.hold_response(peer.ip, body.to_bytes(), &peer.evicted);
            Response::from_parts(head, Body::from(body))
        }
        // A response that a handler has built is complete.
        Err(err) => {
            log::error!("event=response_failed cause={:?}", err.to_string());
            axum::http::StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

fn refuse(refusal: Refusal) -> Response {
    let cause: &str = refusal.into();
    let close = [(CONNECTION, "close")];
    match refusal {
        Refusal::MemoryShort => {
            let wait = memory::RETRY_AFTER.as_secs().to_string();
            (refusal.status(), close, [(RETRY_AFTER, wait)], cause).into_response()
        }
        _ => (refusal.status(), close, cause).into_response(),
    }
}

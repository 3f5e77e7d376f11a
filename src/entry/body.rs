//! Reads request bodies: bounded in size and time, JSON only.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::de::DeserializeOwned;

use crate::{
    error::{Error, Kind, Result},
    wire::MAX_BODY_BYTES,
};

/// How long a body may take to arrive. Bodies have at most 1 MiB, which needs 2 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a JSON body.
pub async fn json<T: DeserializeOwned>(body: Body) -> Result<T> {
    let bytes = bytes(body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|err| Error::new(Kind::BadRequest, format!("the body is not valid: {err}")))
}

async fn bytes(body: Body) -> Result<Bytes> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            let message = format!("a body has at most {MAX_BODY_BYTES} bytes");
            Err(Error::new(Kind::TooLarge, message))
        }
        Ok(Err(err)) => Err(Error::new(Kind::BadRequest, format!("the body broke off: {err}"))),
        Err(_) => {
            let message = format!("the body did not arrive within {BODY_TIMEOUT:?}");
            Err(Error::new(Kind::BadRequest, message))
        }
    }
}

//! Reads JSON request bodies with a limit on size and time.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::de::DeserializeOwned;

use crate::{
    error::{Error, Kind, Result},
    wire::MAX_BODY_BYTES,
};

/// How long a body may take to arrive. The largest body, 1 MiB, needs 1.7 Mbit/s for that.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a JSON body. Fails with [`Kind::TooLarge`] or [`Kind::BadRequest`].
pub async fn json<T: DeserializeOwned>(body: Body) -> Result<T> {
    let bytes = bytes(body).await?;
    serde_json::from_slice(&bytes)
        .map_err(|err| Error::new(Kind::BadRequest, format!("invalid request body: {err}")))
}

async fn bytes(body: Body) -> Result<Bytes> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            let message = format!("request body exceeds {MAX_BODY_BYTES} bytes");
            Err(Error::new(Kind::TooLarge, message))
        }
        Ok(Err(err)) => Err(Error::new(Kind::BadRequest, format!("cannot read the body: {err}"))),
        Err(_) => {
            let message = format!("request body did not arrive within {BODY_TIMEOUT:?}");
            Err(Error::new(Kind::BadRequest, message))
        }
    }
}

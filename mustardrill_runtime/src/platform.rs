//! The platform's key-value service and instance list, behind small traits.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::BoxFuture;
use mustardrill_core::membership::InstanceRecord;
use mustardrill_core::ownership::LeaseId;
use mustardrill_types::Millis;
use serde::{Deserialize, Serialize};

use crate::http::{CallError, HttpClient, request};

/// The header that carries a value's revision.
pub const REVISION_HEADER: &str = "x-revision";

/// The largest value that the service holds, in bytes.
pub const VALUE_LIMIT: usize = 1_000_000;

/// Why a call to the key-value service did not do what was asked.
#[derive(Debug, Display, Error)]
pub enum KeyValueError {
    /// The revision is not the one expected; nothing was written.
    #[display("another revision is there")]
    Conflict,
    /// There is no such lease any more.
    #[display("the lease is over")]
    LeaseOver,
    /// The call was not sent: nothing was written.
    #[display("the service was not reached: {_0}")]
    NotSent(#[error(not(source))] Box<str>),
    /// The answer was lost: a write may or may not have taken effect.
    #[display("the service did not answer: {_0}")]
    Unknown(#[error(not(source))] Box<str>),
}

/// A value with its revision; revision 0 stands for an absent key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionedValue {
    /// The value.
    pub bytes: Bytes,
    /// The revision of its last write.
    pub revision: u64,
}

/// The platform's key-value service.
pub trait KeyValue: Send + Sync {
    /// Reads a key.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<VersionedValue, KeyValueError>>;

    /// Waits until a key has a revision above `after`, or for `patience`; returns what is there.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        patience: Millis,
    ) -> BoxFuture<'a, Result<VersionedValue, KeyValueError>>;

    /// Writes a key whose revision is still `expect` (0: absent), under a lease where one is given.
    fn write<'a>(
        &'a self,
        key: &'a str,
        bytes: Bytes,
        expect: u64,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<u64, KeyValueError>>;

    /// Makes a lease.
    fn grant(&self, span: Millis) -> BoxFuture<'_, Result<LeaseId, KeyValueError>>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>>;

    /// Ends a lease; the keys under it are deleted.
    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>>;
}

/// The platform's lagging list of instances.
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    fn read(&self) -> BoxFuture<'_, Result<InstanceListing, CallError>>;
}

/// What the list says.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct InstanceListing {
    /// The upstream instances.
    pub instances: Vec<InstanceRecord>,
    /// How many entries there are.
    pub entries: usize,
}

/// The key-value service over HTTP.
#[derive(Debug)]
pub struct HttpKeyValue {
    client: HttpClient,
    base: Box<str>,
    timeout: Duration,
}

/// The instance list over HTTP.
#[derive(Debug)]
pub struct HttpInstanceList {
    client: HttpClient,
    base: Box<str>,
    timeout: Duration,
}

#[derive(Serialize, Deserialize)]
struct LeaseBody {
    lease: u64,
}

impl HttpKeyValue {
    /// A client of the service at `address`; calls other than watches end within `timeout`.
    pub fn open(client: HttpClient, address: &str, timeout: Millis) -> Self {
        Self { client, base: format!("http://{address}").into(), timeout: timeout.to_std() }
    }

    async fn call(
        &self,
        method: &str,
        path: String,
        body: Bytes,
        timeout: Duration,
    ) -> Result<crate::http::WholeAnswer, KeyValueError> {
        let sent = request(method, &format!("{}{path}", self.base), body);
        let answer = self.client.call(sent, timeout, VALUE_LIMIT * 2).await;
        let answer = answer.map_err(|error| match error {
            CallError::NotSent { reason } => KeyValueError::NotSent(reason),
            other => KeyValueError::Unknown(other.to_string().into()),
        })?;
        match answer.status.as_u16() {
            200..300 | 404 => Ok(answer),
            409 => Err(KeyValueError::Conflict),
            410 => Err(KeyValueError::LeaseOver),
            status => Err(KeyValueError::Unknown(format!("status {status}").into())),
        }
    }

    async fn fetch(
        &self,
        path: String,
        timeout: Duration,
    ) -> Result<VersionedValue, KeyValueError> {
        let answer = self.call("GET", path, Bytes::new(), timeout).await?;
        let revision = revision_of(&answer)?;
        Ok(VersionedValue { bytes: answer.body, revision })
    }
}

impl KeyValue for HttpKeyValue {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<VersionedValue, KeyValueError>> {
        Box::pin(self.fetch(format!("/v1/kv/{key}"), self.timeout))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        patience: Millis,
    ) -> BoxFuture<'a, Result<VersionedValue, KeyValueError>> {
        let path = format!("/v1/kv/{key}?after={after}&wait_ms={}", patience.0);
        Box::pin(self.fetch(path, self.timeout + patience.to_std()))
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        bytes: Bytes,
        expect: u64,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<u64, KeyValueError>> {
        let lease = lease.map_or(String::new(), |lease| format!("&lease={lease}"));
        let path = format!("/v1/kv/{key}?expect={expect}{lease}");
        Box::pin(async move {
            let answer = self.call("PUT", path, bytes, self.timeout).await?;
            revision_of(&answer)
        })
    }

    fn grant(&self, span: Millis) -> BoxFuture<'_, Result<LeaseId, KeyValueError>> {
        let path = format!("/v1/leases?ttl_ms={}", span.0);
        Box::pin(async move {
            let answer = self.call("POST", path, Bytes::new(), self.timeout).await?;
            let body: LeaseBody = serde_json::from_slice(&answer.body)
                .map_err(|error| KeyValueError::Unknown(error.to_string().into()))?;
            Ok(LeaseId(body.lease))
        })
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(async move {
            let path = format!("/v1/leases/{lease}/renew");
            self.call("POST", path, Bytes::new(), self.timeout).await.map(drop)
        })
    }

    fn revoke(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(async move {
            let path = format!("/v1/leases/{lease}");
            self.call("DELETE", path, Bytes::new(), self.timeout).await.map(drop)
        })
    }
}

impl HttpInstanceList {
    /// A client of the list at `address`.
    pub fn open(client: HttpClient, address: &str, timeout: Millis) -> Self {
        Self { client, base: format!("http://{address}").into(), timeout: timeout.to_std() }
    }
}

impl InstanceList for HttpInstanceList {
    fn read(&self) -> BoxFuture<'_, Result<InstanceListing, CallError>> {
        const LISTING_LIMIT: usize = 16_000_000;
        Box::pin(async move {
            let sent = request("GET", &format!("{}/v1/instances", self.base), Bytes::new());
            let answer = self.client.call(sent, self.timeout, LISTING_LIMIT).await?;
            if !answer.status.is_success() {
                let reason = format!("status {}", answer.status).into();
                return Err(CallError::NoAnswer { reason });
            }
            serde_json::from_slice(&answer.body).map_err(|_| CallError::BadBody)
        })
    }
}

fn revision_of(answer: &crate::http::WholeAnswer) -> Result<u64, KeyValueError> {
    let header = answer.headers.get(REVISION_HEADER).and_then(|value| value.to_str().ok());
    let revision = header.and_then(|text| text.parse().ok());
    revision.ok_or_else(|| KeyValueError::Unknown("no revision in the answer".into()))
}

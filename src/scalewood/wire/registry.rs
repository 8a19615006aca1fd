//! Following the registry: endpoints that announced themselves to a voter.

use std::net::SocketAddr;

use jsonrpsee::{
    core::{RpcResult, SubscriptionResult},
    proc_macros::rpc,
};
use serde::{Deserialize, Serialize};

use crate::core::{config, load, name, pace, registry, unit};

/// News of the registry; the first of a subscription holds everything.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Endpoints that are new or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<registry::Record>,
    /// Endpoints that have gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<name::Endpoint>,
    /// Endpoints that were heard of since the last news.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub heard: Vec<name::Endpoint>,
    /// Endpoints whose pace has changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<pace::Paced>,
    /// The revision that the voter knows.
    pub revision: unit::Revision,
    /// How many boxes follow the voter.
    pub followers: u32,
    /// Where all voters and learners are reached.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub voters: Vec<SocketAddr>,
}

/// A whole document with its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Whole {
    /// The revision.
    pub revision: unit::Revision,
    /// The document.
    pub document: config::Document,
}

/// Gives out what a voter knows of endpoints, and the configuration on demand.
#[rpc(server, client, namespace = "registry")]
pub trait Registry {
    /// Follows the registry.
    #[subscription(name = "follow" => "news", unsubscribe = "leave", item = News)]
    async fn follow(&self, who: name::Box) -> SubscriptionResult;

    /// Takes the paces of endpoints that a box has measured.
    #[method(name = "measured")]
    async fn measured(&self, who: name::Box, paces: Vec<pace::Paced>) -> RpcResult<()>;

    /// Takes what a box has at endpoints, as far as it has changed or all of it if the box
    /// starts `anew`, and what it has placed; returns the same of the other boxes. Nothing if the voter
    /// does not know the box: it has to start anew.
    #[method(name = "exchange")]
    async fn exchange(
        &self,
        who: name::Box,
        anew: bool,
        told: load::News,
    ) -> RpcResult<Option<load::News>>;

    /// The configuration, if the voter has one that is newer.
    #[method(name = "document")]
    async fn document(&self, newer_than: unit::Revision) -> RpcResult<Option<Whole>>;
}

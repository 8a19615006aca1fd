//! The endpoints that claim each address.
//!
//! An address belongs to one endpoint at a time. Nearly always only one endpoint claims it, so
//! the few addresses with several claims are kept in a set of their own.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use crate::core::name;

/// The claims by address.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    by_address: HashMap<SocketAddr, Vec<name::Endpoint>>,
    /// The addresses that several endpoints claim.
    contested: BTreeSet<SocketAddr>,
}

impl Claims {
    /// Records that an endpoint claims an address.
    pub(super) fn add(&mut self, address: SocketAddr, name: &name::Endpoint) {
        let names = self.by_address.entry(address).or_default();
        if names.contains(name) {
            return;
        }
        names.push(name.clone());
        if names.len() > 1 {
            self.contested.insert(address);
        }
    }

    /// Removes an endpoint's claim to an address.
    pub(super) fn remove(&mut self, address: SocketAddr, name: &name::Endpoint) {
        let Some(names) = self.by_address.get_mut(&address) else {
            return;
        };
        names.retain(|known| known != name);
        if names.len() < 2 {
            self.contested.remove(&address);
        }
        if names.is_empty() {
            self.by_address.remove(&address);
        }
    }

    /// Returns the endpoints that claim an address.
    pub(super) fn of(&self, address: SocketAddr) -> &[name::Endpoint] {
        self.by_address.get(&address).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints whose address is claimed by another one too.
    pub(super) fn contested(&self) -> impl Iterator<Item = &name::Endpoint> {
        self.contested.iter().flat_map(|address| self.of(*address))
    }
}

//! Which endpoints claim which address.
//!
//! An address belongs to one endpoint at a time. Nearly always one endpoint claims it, so the
//! few addresses with more are kept apart.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use crate::core::name;

/// The endpoints by their addresses.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    by_address: HashMap<SocketAddr, Vec<name::Endpoint>>,
    /// The addresses that more than one endpoint claims.
    contested: BTreeSet<SocketAddr>,
}

impl Claims {
    /// Notes that an endpoint claims an address.
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

    /// Notes that an endpoint claims an address no more.
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

    /// The endpoints that claim an address.
    pub(super) fn of(&self, address: SocketAddr) -> &[name::Endpoint] {
        self.by_address.get(&address).map_or(&[], Vec::as_slice)
    }

    /// The endpoints that do not claim an address alone.
    pub(super) fn contested(&self) -> impl Iterator<Item = &name::Endpoint> {
        self.contested.iter().flat_map(|address| self.of(*address))
    }
}

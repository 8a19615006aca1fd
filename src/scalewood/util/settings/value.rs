//! Values that the settings of several processes contain.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use super::{Reader, Settings};
use crate::core::{name, region, registry, unit};

/// A voter's address, as an object with `address` and an optional `port`, which replaces the port
/// of `address` if the voter listens for processes on another one.
#[derive(Clone, Copy, Debug)]
pub struct Address(pub Option<SocketAddr>);

impl Settings for Address {
    fn read(reader: &mut Reader<'_>) -> Self {
        let address: Option<SocketAddr> = reader.required("address", "127.0.0.1:7100");
        let port = reader.number("port", 0);
        Self(address.map(|address| match port {
            0 => address,
            port => SocketAddr::new(address.ip(), port),
        }))
    }
}

/// Reads the availability zones that are configured, as a list of objects with `zone` and
/// `region`.
pub fn zones(reader: &mut Reader<'_>) -> region::Map {
    let named: Vec<Zone> = reader.list("zones");
    let named: Vec<_> = named.into_iter().filter_map(|zone| zone.0).collect();
    let count = named.len();
    let map = region::Map::new(named);
    if map.zones().count() < count {
        reader.problem("zones", "a zone is named twice", "each zone once");
    }
    map
}

/// Reads the interval between an endpoint's heartbeats.
pub fn timing(reader: &mut Reader<'_>) -> registry::Timing {
    let default = registry::Timing::default();
    let heartbeat = reader.duration("endpoint_heartbeat", default.heartbeat);
    if heartbeat.is_zero() {
        let why = "it must be longer than zero";
        reader.problem("endpoint_heartbeat", why, "1200ms");
        return default;
    }
    registry::Timing { heartbeat }
}

/// An availability zone with its region; `None` if either is missing or invalid.
struct Zone(Option<(name::Zone, name::Region)>);

impl Settings for Zone {
    fn read(reader: &mut Reader<'_>) -> Self {
        let zone = reader.required("zone", "cluj");
        let region = reader.required("region", "transylvania");
        Self(zone.zip(region))
    }
}

/// A duration in the notation of settings: a whole number with a unit.
pub(super) struct Span(pub(super) Duration);

/// The units of a duration, in milliseconds, in the order in which suffixes are compared.
const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000)];

impl FromStr for Span {
    type Err = unit::Error;

    fn from_str(text: &str) -> Result<Self, unit::Error> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let suffix = &text[digits.len()..];
        let unit = UNITS.iter().find(|(name, _)| *name == suffix);
        let count: Option<u64> = digits.trim_end().parse().ok();
        let millis = unit
            .zip(count)
            .and_then(|((_, factor), count)| count.checked_mul(*factor));
        let millis = millis.ok_or_else(unit::Error::duration)?;
        Ok(Self(Duration::from_millis(millis)))
    }
}

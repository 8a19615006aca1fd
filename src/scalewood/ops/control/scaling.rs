//! Has the provider add and take away endpoints as the demand asks.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    core::{ledger, name, registry, scaling, warm_up},
    event,
    ops::control::{collect, provider, registry::Endpoints, unix_ms, Handle},
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::control::Passed,
};

/// How often the numbers are looked at.
const PERIOD: Duration = Duration::from_millis(250);

/// Orders endpoints of all services that the provider offers them for.
pub(super) struct Orderer {
    pub(super) handle: Handle,
    pub(super) endpoints: Endpoints,
    pub(super) gathering: collect::Gathering,
    pub(super) settings: scaling::Settings,
    pub(super) clock: clock::System,
    pub(super) log: slog::Logger,
}

impl Orderer {
    /// Orders for ever, for as long as this voter holds.
    pub(super) async fn run<D: provider::Dialect>(self, mut client: provider::Client) {
        let mut scalers = BTreeMap::new();
        let mut unusable = BTreeSet::new();
        loop {
            tokio::time::sleep(PERIOD).await;
            if !client.leads() {
                scalers.clear();
                continue;
            }
            let may_act = client.authority().is_some();
            let Some(records) = self.gathering.endpoints(self.clock.now()) else {
                continue;
            };
            for (service, offer) in self.offers() {
                if !offer.is_usable() {
                    if unusable.insert(service.clone()) {
                        let why = "its fewest are more than its most, or it names no zone";
                        event!(self.log, TaskOff, "task" => "scaling", "service" => %service, "why" => why);
                    }
                    continue;
                }
                unusable.remove(&service);
                let seen = self.seen(&service, &records);
                let now = self.clock.now();
                let scaler = scalers.entry(service.clone());
                let scaler =
                    scaler.or_insert_with(|| scaling::Scaler::new(self.settings.clone(), now));
                let orders = scaler.step(&offer, &seen, now);
                // Until it may act it watches, to know at once what is needed then.
                for order in orders.into_iter().filter(|_| may_act) {
                    self.give::<D>(&mut client, &service, scaler, &order).await;
                }
            }
        }
    }

    /// The services whose endpoints can be ordered.
    fn offers(&self) -> Vec<(name::Service, scaling::Offer)> {
        let published = self.handle.published();
        let Some(routing) = published.ledger.document().routing.clone() else {
            return Vec::new();
        };
        let offers = routing.services.iter();
        let offers = offers.filter_map(|(name, service)| {
            let offer = service.offer.clone()?;
            Some((name.clone(), offer))
        });
        offers.collect()
    }

    fn seen(&self, service: &name::Service, records: &[registry::Record]) -> scaling::Observed {
        let published = self.handle.published();
        let mut seen = scaling::Observed {
            cordoned: published.ledger.document().cordoned.clone(),
            ..scaling::Observed::default()
        };
        let hub = lock(self.endpoints.hub());
        for record in records.iter().filter(|record| record.service == *service) {
            let zone = seen.zones.entry(record.zone.clone()).or_default();
            let ready = record.state == registry::State::Ready;
            match (ready, record.interruptible) {
                (true, true) => {
                    zone.interruptible += 1;
                    let is_warm = record.warm_up.is_none_or(warm_up::Remaining::is_over);
                    zone.warming += u32::from(!is_warm);
                }
                (true, false) => zone.ordinary += 1,
                (false, true) => zone.leaving += 1,
                (false, false) => {}
            }
            seen.slots = seen.slots.max(record.slots.0);
            seen.in_use += hub.running(&record.name);
        }
        seen
    }

    /// Has the voters note an order, and gives it.
    async fn give<D: provider::Dialect>(
        &self,
        client: &mut provider::Client,
        service: &name::Service,
        scaler: &mut scaling::Scaler,
        order: &scaling::Order,
    ) {
        let Some(authority) = client.authority() else {
            return;
        };
        let basis = scaler.basis();
        event!(self.log, EndpointsOrdered, "service" => %service, "zone" => %order.zone,
            "kind" => %order.kind, "count" => order.count, "peak" => basis.peak,
            "needed" => basis.needed, "interruptible" => basis.interruptible,
            "ordinary" => basis.ordinary);
        let noted = ledger::Command::Scale(ledger::Scale {
            service: service.clone(),
            order: order.clone(),
            why: format!(
                "{} slots in use at most, {} endpoints needed; {} interruptible and {} others serve",
                basis.peak, basis.needed, basis.interruptible, basis.ordinary
            ),
            at_unix_ms: unix_ms(),
        });
        if !matches!(self.handle.propose(noted).await, Passed::Answer(_)) {
            return;
        }
        let request = D::scale(&authority, service, order);
        let what = format!("{} {} {}", order.zone, order.kind, order.count);
        let said = client.call(&authority, request, D::scaled, &what).await;
        let answer = match said {
            provider::Said::Taken => scaling::Answer::Taken,
            provider::Said::NoneLeft => scaling::Answer::NoneLeft,
            _ => scaling::Answer::Unknown,
        };
        scaler.record_answer(order, answer, self.clock.now());
    }
}

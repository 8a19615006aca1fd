//! Orders the provider to add and remove endpoints as demand changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    core::{ledger, name, registry, scaling, warm_up},
    event,
    ops::control::{collect, provider, registry::SoftState, unix_ms, Handle},
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::control::Forwarded,
};

/// How often the demand is evaluated.
const PERIOD: Duration = Duration::from_millis(250);

/// Orders endpoints for all services for which the provider offers them.
pub(super) struct Controller {
    pub(super) handle: Handle,
    pub(super) soft_state: SoftState,
    pub(super) collector: collect::Collector,
    pub(super) settings: scaling::Settings,
    pub(super) clock: clock::System,
    pub(super) log: slog::Logger,
}

impl Controller {
    /// Evaluates the demand for ever while this voter leads, and sends orders while it is the
    /// holder.
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
            let Some(records) = self.collector.endpoints(self.clock.now()) else {
                continue;
            };
            for (service, offer) in self.offers() {
                if !offer.is_usable() {
                    if unusable.insert(service.clone()) {
                        let why = "the offer's minimum exceeds its maximum, or it names no zone";
                        event!(self.log, TaskNotAllowed, "task" => "scaling", "service" => %service, "why" => why);
                    }
                    continue;
                }
                unusable.remove(&service);
                let seen = self.observe(&service, &records);
                let now = self.clock.now();
                let scaler = scalers.entry(service.clone());
                let scaler =
                    scaler.or_insert_with(|| scaling::Scaler::new(self.settings.clone(), now));
                let orders = scaler.step(&offer, &seen, now);
                // A leader that may not act yet keeps observing, so that it knows the demand once
                // it may, but sends no orders.
                for order in orders.into_iter().filter(|_| may_act) {
                    self.send_order::<D>(&mut client, &service, scaler, &order)
                        .await;
                }
            }
        }
    }

    /// Returns the services for which the provider offers endpoints.
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

    /// Counts a service's endpoints by zone, and its slots in use.
    fn observe(&self, service: &name::Service, records: &[registry::Record]) -> scaling::Observed {
        let published = self.handle.published();
        let mut seen = scaling::Observed {
            cordoned: published.ledger.document().cordoned.clone(),
            ..scaling::Observed::default()
        };
        let hub = lock(self.soft_state.hub());
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

    /// Commits an order to the voters' log, then sends it to the provider. An order that could not
    /// be committed is not sent.
    async fn send_order<D: provider::Dialect>(
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
        let command = ledger::Command::Scale(ledger::Scale {
            service: service.clone(),
            order: order.clone(),
            why: format!(
                "{} slots in use at most, {} endpoints needed; {} interruptible and {} others serve",
                basis.peak, basis.needed, basis.interruptible, basis.ordinary
            ),
            at_unix_ms: unix_ms(),
        });
        if !matches!(self.handle.propose(command).await, Forwarded::Answer(_)) {
            return;
        }
        let request = D::scale_request(&authority, service, order);
        let what = format!("{} {} {}", order.zone, order.kind, order.count);
        let outcome = client
            .call(&authority, request, D::classify_scale, &what)
            .await;
        let answer = match outcome {
            provider::Outcome::Taken => scaling::Answer::Taken,
            provider::Outcome::NoneLeft => scaling::Answer::NoneLeft,
            _ => scaling::Answer::Unknown,
        };
        scaler.record_answer(order, answer, self.clock.now());
    }
}

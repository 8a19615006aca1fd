//! Cordon and uncordon orders, from the operators' APIs to the replicated log.

use warp::{http::StatusCode, Reply as _};

use crate::{
    core::{change, cordon, ledger, name, region, verdict},
    event,
    ops::control::{admin, unix_ms, Handle},
    util::clock::Clock as _,
    wire::{
        admin::{Cordon, Cordons},
        control::Forwarded,
    },
};

impl Handle {
    /// Commits an order to cordon or uncordon a zone, through the leader if that is another voter.
    pub async fn cordon(&self, order: cordon::Order) -> Forwarded<change::Answer> {
        match self.cordon_here(order.clone()).await {
            Forwarded::NotLeader => self.links.forward_cordon(self.leader(), order).await,
            outcome => outcome,
        }
    }

    /// Commits an order to cordon or uncordon a zone if this voter leads.
    pub async fn cordon_here(&self, order: cordon::Order) -> Forwarded<change::Answer> {
        // An answer in the ledger is committed, so any voter that has it may repeat it.
        if let Some(answer) = self.published().ledger.previous_cordon_answer(&order) {
            return Forwarded::Answer(answer);
        }
        self.propose(ledger::Command::Cordon(order)).await
    }
}

/// Returns an error message if zones are configured and the given one is not among them.
pub(super) fn check_zone(zone: &name::Zone, zones: &region::Map) -> Option<String> {
    if zones.is_empty() || zones.has_zone(zone) {
        return None;
    }
    let known: Vec<_> = zones.zones().map(ToString::to_string).collect();
    Some(format!(
        "there is no zone {zone}; name one of {}",
        known.join(", ")
    ))
}

impl admin::Admin {
    /// Returns the cordoned zones.
    pub(super) fn cordons(&self) -> warp::reply::Response {
        let Some(ledger) = self.handle.newest_ledger() else {
            return admin::behind();
        };
        warp::reply::json(&Cordons {
            revision: ledger.revision(),
            cordoned: ledger.document().cordoned.clone(),
        })
        .into_response()
    }

    /// Handles an operator's order to cordon or uncordon a zone.
    pub(super) async fn cordon(
        &self,
        operator: name::Operator,
        bytes: bytes::Bytes,
    ) -> warp::reply::Response {
        let Cordon {
            id,
            zone,
            action,
            why,
        } = match serde_json::from_slice(&bytes) {
            Ok(cordon) => cordon,
            Err(error) => return admin::malformed(&error),
        };
        let change = cordon::ZoneChange { zone, action };
        if let Some(why) = check_zone(&change.zone, &self.zones) {
            event!(self.log, CordonRefused, "zone" => %change.zone, "act" => %change.action,
                "operator" => %operator, "change" => %id, "why" => &why);
            return admin::failure(StatusCode::BAD_REQUEST, why, verdict::Verdict::NotRun);
        }
        let arrived = self.clock.now();
        let order = cordon::Order {
            change: change.clone(),
            operator: operator.clone(),
            id: Some(id.clone()),
            why,
            at_unix_ms: unix_ms(),
        };
        let forwarded = self.handle.cordon(order).await;
        let took = self.clock.now().saturating_sub(arrived);
        let outcome = match &forwarded {
            Forwarded::Answer(change::Answer::Accepted { revision }) => {
                event!(self.log, CordonAccepted, "zone" => %change.zone, "act" => %change.action,
                    "operator" => %operator, "change" => %id, "revision" => %revision,
                    "took_ms" => took.as_millis());
                "accepted"
            }
            Forwarded::Answer(change::Answer::NotApplied { why, .. }) => {
                event!(self.log, CordonRefused, "zone" => %change.zone, "act" => %change.action,
                    "operator" => %operator, "change" => %id, "why" => why.join("; "));
                "refused"
            }
            _ => {
                event!(self.log, CordonUnclear, "zone" => %change.zone, "act" => %change.action,
                    "operator" => %operator, "change" => %id, "took_ms" => took.as_millis());
                "unclear"
            }
        };
        self.metrics.record_cordon(outcome, took);
        admin::answer(forwarded, |answer| match &answer {
            change::Answer::Accepted { .. } => (StatusCode::OK, warp::reply::json(&answer)),
            change::Answer::NotApplied { .. } => (StatusCode::CONFLICT, warp::reply::json(&answer)),
        })
    }
}

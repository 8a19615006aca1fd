//! The operators' calls about requests that are held back because endpoints ended under them.

use warp::{http::StatusCode, Reply as _};

use crate::{
    core::{crash, name, verdict},
    event,
    ops::control::admin,
    util::{clock::Clock as _, lock::lock},
    wire::admin::{Ended, HeldBack, HeldBackRequest, Pardon},
};

impl admin::Admin {
    /// Returns the held-back requests that this voter knows. It learns of each one within some
    /// tenths of a second after a box has held it back.
    pub(super) fn held_back(&self) -> warp::reply::Response {
        let hub = lock(self.soft_state.hub());
        let known = hub.crashes().held_back();
        let held_back = known.map(|(fingerprint, ends)| HeldBackRequest {
            fingerprint: *fingerprint,
            ends: ends.iter().map(to_wire).collect(),
        });
        let held_back = held_back.collect();
        warp::reply::json(&HeldBack { held_back }).into_response()
    }

    /// Releases a request that is held back. The release is passed to the other voters and the
    /// boxes in the same way as the completion of a request.
    pub(super) fn pardon(
        &self,
        operator: &name::Operator,
        bytes: &bytes::Bytes,
    ) -> warp::reply::Response {
        let Pardon { fingerprint, why } = match serde_json::from_slice(bytes) {
            Ok(pardon) => pardon,
            Err(error) => return admin::malformed(&error),
        };
        let now = self.clock.now();
        let is_known = lock(self.soft_state.hub()).pardon(&fingerprint, now);
        event!(self.log, RequestReleased, "fingerprint" => %fingerprint,
            "operator" => %operator, "why" => &why, "known" => is_known);
        if !is_known {
            let why = format!("this voter knows of no endpoint that ended under {fingerprint}");
            return admin::failure(StatusCode::NOT_FOUND, why, verdict::Verdict::NotRun);
        }
        let done = serde_json::json!({ "outcome": "pardoned" });
        warp::reply::json(&done).into_response()
    }
}

fn to_wire(end: &crash::End) -> Ended {
    Ended {
        endpoint: end.endpoint.clone(),
        at_unix_ms: end.at_unix_ms,
    }
}

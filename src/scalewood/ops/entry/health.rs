//! Liveness, readiness and metrics, served by warp on a port of their own.

use std::{net::SocketAddr, sync::atomic::Ordering};

use error_stack::{Report, ResultExt as _};
use hyper_util::service::TowerToHyperService;
use warp::{http::StatusCode, Filter};

use crate::ops::{
    entry::{Error, Shared},
    http,
};

/// The part of the process's descriptors for checks: one of so many.
const DESCRIPTOR_SHARE: usize = 16;

/// Serves `/healthz`, `/metrics`, and readiness at the given path.
pub(super) async fn serve(
    address: SocketAddr,
    ready_path: &'static str,
    descriptors: usize,
    board: Shared,
) -> Result<(), Report<Error>> {
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .change_context(Error)
        .attach_with(|| format!("{address} can't be listened on; is it in use?"))?;
    let max = (descriptors / DESCRIPTOR_SHARE).max(1);
    let listener = http::Listener::new(listener, "health", max, board.log.clone());
    let listener = listener.change_context(Error)?;
    let with = warp::any().map(move || board.clone());
    let alive = warp::path!("healthz").map(|| "alive\n");
    let ready = warp::path::full()
        .and_then(move |path: warp::path::FullPath| async move {
            let asked = path.as_str() == ready_path;
            asked.then_some(()).ok_or_else(warp::reject::not_found)
        })
        .untuple_one()
        .and(with.clone())
        .map(|board: Shared| {
            if board.ready.load(Ordering::Relaxed) {
                warp::reply::with_status("ready\n", StatusCode::OK)
            } else {
                warp::reply::with_status("not ready\n", StatusCode::SERVICE_UNAVAILABLE)
            }
        });
    let metrics = warp::path!("metrics")
        .and(with)
        .map(|board: Shared| board.metrics.render());
    let routes = warp::get().and(alive.or(ready).or(metrics));
    let service = TowerToHyperService::new(warp::service(routes));
    tokio::spawn(listener.serve(move || service.clone()));
    Ok(())
}

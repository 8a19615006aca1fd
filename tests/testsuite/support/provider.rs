//! A stand-in for a provider: it accepts usage reports and checks the guarantees that are given for
//! them. A test can let it fail or not answer.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU16, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// A usage report that was received.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) at: Instant,
    pub(crate) holder: String,
    pub(crate) token: u64,
    pub(crate) window: u64,
    pub(crate) body: String,
    pub(crate) counts: BTreeMap<String, u64>,
}

/// The stand-in provider.
#[derive(Clone, Debug)]
pub(crate) struct Provider {
    reports: Arc<Mutex<Vec<Report>>>,
    /// The status of answers; with 0 they are delayed by five seconds.
    status: Arc<AtomicU16>,
}

impl Provider {
    pub(crate) async fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let provider = Self {
            reports: Arc::default(),
            status: Arc::new(AtomicU16::new(200)),
        };
        let serving = provider.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let provider = serving.clone();
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let provider = provider.clone();
                        async move { Ok::<_, Infallible>(provider.take(request).await) }
                    });
                    let io = TokioIo::new(stream);
                    let _ = http1::Builder::new().serve_connection(io, service).await;
                });
            }
        });
        provider
    }

    /// Sets the status of answers; with 0 they are delayed by five seconds.
    pub(crate) fn answers(&self, status: u16) {
        self.status.store(status, Ordering::Relaxed);
    }

    async fn take(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let text = |name: &str| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let (holder, token) = (text("x-holder"), text("x-token").parse().unwrap());
        let body = request.into_body().collect().await.unwrap().to_bytes();
        let body = String::from_utf8(body.to_vec()).unwrap();
        let told: serde_json::Value = serde_json::from_str(&body).unwrap();
        let counts = serde_json::from_value(told["counts"].clone()).unwrap();
        self.reports.lock().unwrap().push(Report {
            at: Instant::now(),
            holder,
            token,
            window: told["window"].as_u64().unwrap(),
            body,
            counts,
        });
        let status = self.status.load(Ordering::Relaxed);
        if status == 0 {
            tokio::time::sleep(Duration::from_secs(5)).await;
        }
        let mut response = Response::new(Full::default());
        *response.status_mut() = hyper::StatusCode::from_u16(status.max(200)).unwrap();
        response
    }

    /// Returns the counts of all windows by team. Checks that all reports of a window are equal,
    /// that the fencing token never decreases, and that no two holders used the same token.
    pub(crate) fn totals(&self) -> BTreeMap<String, u64> {
        let reports = self.reports.lock().unwrap().clone();
        let mut windows: BTreeMap<u64, &Report> = BTreeMap::new();
        for (i, report) in reports.iter().enumerate() {
            let first = windows.entry(report.window).or_insert(report);
            assert_eq!(first.body, report.body, "two reports of one window differ");
            for before in &reports[..i] {
                assert!(before.token <= report.token, "{before:?}, then {report:?}");
                let same = before.token == report.token;
                assert!(
                    !same || before.holder == report.holder,
                    "two holders used the same token"
                );
            }
        }
        let mut totals = BTreeMap::new();
        for report in windows.values() {
            for (team, count) in &report.counts {
                *totals.entry(team.clone()).or_default() += count;
            }
        }
        totals
    }

    /// Returns the times and holders of all reports, in the order of arrival.
    pub(crate) fn acts(&self) -> Vec<(Instant, String)> {
        let reports = self.reports.lock().unwrap();
        reports.iter().map(|r| (r.at, r.holder.clone())).collect()
    }
}

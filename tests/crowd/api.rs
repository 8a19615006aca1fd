//! Crowds at scalewood's own API.

use crate::{
    alone,
    crowd::{json, Crowd, Shape, BODIES},
    observer::Observer,
    support::{
        client::{self, bearer, chat},
        deploy::{self, Deployment, Plan},
    },
    CROWD, MAX_BODY, MEMORY,
};

/// The settings for `MEMORY` and `MAX_BODY`.
const LIMITS: &str = r#""memory": "96MiB", "body": "4MiB""#;
const CHAT: &str = "/v1/chat/completions";
const SERVICE: &str = "/services/stock/crowd";
/// The length of bodies with as many JSON values as fit.
const JSON: usize = 256 << 10;

async fn start(dir: &std::path::Path) -> Deployment {
    let plan = Plan {
        boxes: vec![1],
        slots: 8,
        first_us: 100_000,
        limits: LIMITS,
        ..Plan::default()
    };
    Deployment::start(plan, dir).await
}

/// Lets a crowd send a shape to a new box.
async fn check(path: &str, shape: Shape) {
    let _alone = alone().await;
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = start(dir.path()).await;
    let callers = deployment.entries[0].callers;
    let token = bearer(deploy::TEAM);
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: own\r\nauthorization: {token}\r\n\
         content-type: application/json\r\n"
    );
    let entry = deployment.entries[0].process.as_ref().unwrap();
    let observer = Observer::start(entry, callers);
    let crowd = Crowd::gather(callers, &head, shape, CROWD).await;
    let headers = [("authorization", token.as_str())];
    let body = chat(deploy::MODEL, "ordinary len=1", false);
    let answer = client::ask(callers, "POST", CHAT, &headers, body).await;
    let answer = answer.unwrap_or_else(|error| panic!("{shape:?}: {error}"));
    assert_eq!(answer.status, 200, "{shape:?}: {:?}", answer.json());
    let entry = deployment.entries[0].process.as_mut().unwrap();
    let memory = observer.memory(entry);
    println!("own API, {path}, {shape:?}: {} MiB", memory >> 20);
    assert!(entry.is_running(), "{shape:?}: the box has ended");
    assert!(memory <= MEMORY, "{shape:?}: {} MiB", memory >> 20);
    drop(crowd);
}

macro_rules! bodies {
    ($($name:ident: $path:expr, $shape:expr,)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            check($path, $shape).await;
        }
    )*};
}

bodies! {
    very_small_chunks: CHAT, BODIES[0],
    large_chunks: CHAT, BODIES[1],
    bodies_over_the_announced_limit: CHAT, BODIES[2],
    bodies_sent_over_the_limit: CHAT, BODIES[3],
    whole_legal_bodies: SERVICE, BODIES[4],
    legal_bodies_that_stop_short: CHAT, BODIES[5],
    legal_bodies_in_pieces_that_stop_short: CHAT, BODIES[6],
    many_json_values: CHAT, Shape::Json(JSON),
    heads_without_end: CHAT, Shape::Head,
}

/// Guards against limits that refuse what is legal.
#[tokio::test(flavor = "multi_thread")]
async fn one_legal_body_of_any_content_is_served() {
    let _alone = alone().await;
    let dir = tempfile::tempdir().unwrap();
    let deployment = start(dir.path()).await;
    let callers = deployment.entries[0].callers;
    let token = bearer(deploy::TEAM);
    let headers = [("authorization", token.as_str())];
    let prompt = "word ".repeat(MAX_BODY / 5 - 64) + "len=1";
    let chat = chat(deploy::MODEL, &prompt, false).into_bytes();
    let cases = [
        (CHAT, chat),
        (CHAT, json(MAX_BODY)),
        (SERVICE, vec![b'x'; MAX_BODY]),
    ];
    for (path, body) in cases {
        let answer = client::ask(callers, "POST", path, &headers, body).await;
        let answer = answer.unwrap();
        assert_eq!(answer.status, 200, "{path}: {:?}", answer.json());
    }
    let entry = deployment.entries[0].process.as_ref().unwrap();
    let memory = deploy::peak_memory(entry);
    println!("own API, one legal body: {} MiB", memory >> 20);
    assert!(memory <= MEMORY, "{} MiB", memory >> 20);
}

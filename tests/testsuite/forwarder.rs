//! The links of the tests themselves (`support::forwarder`).

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use tokio::{
    io::AsyncReadExt as _,
    net::{TcpListener, TcpStream},
};

use crate::support::forwarder::Forwarder;

/// Longer than a task needs to close its sockets.
const CLOSED_WITHIN: Duration = Duration::from_millis(500);

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    listener.local_addr().unwrap()
}

/// Guards against a link that goes on without its owner: its task opened and closed the listener in
/// a loop to the end of the runtime, and took whole cores from the seeds that followed.
#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_link_leaves_no_task_and_no_listener() {
    let target = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let from = free_address().await;
    let tasks = || {
        tokio::runtime::Handle::current()
            .metrics()
            .num_alive_tasks()
    };
    let before = tasks();
    let link = Forwarder::start(from, target.local_addr().unwrap()).await;
    let mut near = TcpStream::connect(from).await.unwrap();
    let (_far, _) = target.accept().await.unwrap();
    assert!(tasks() > before, "the link runs no task");

    drop(link);
    let mut byte = [0];
    let read = tokio::time::timeout(CLOSED_WITHIN, near.read(&mut byte));
    let read = read.await.expect("the connection stays open");
    assert!(!matches!(read, Ok(1..)), "the connection stays open");
    tokio::time::sleep(CLOSED_WITHIN).await;
    assert_eq!(tasks(), before, "the link left tasks behind");
    for _ in 0..200 {
        assert!(
            TcpStream::connect(from).await.is_err(),
            "the link still listens"
        );
        tokio::task::yield_now().await;
    }
}

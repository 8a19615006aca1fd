//! A link that can be cut: forwards TCP connections on loopback while it is whole.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// A link between two addresses.
#[derive(Debug)]
pub(crate) struct Forwarder {
    whole: Arc<watch::Sender<bool>>,
}

impl Forwarder {
    /// Forwards what comes to one address to another.
    pub(crate) async fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(from).await.unwrap();
        let whole = Arc::new(watch::Sender::new(true));
        let state = whole.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if *state.borrow() {
                    tokio::spawn(carry(stream, to, state.subscribe()));
                }
            }
        });
        Self { whole }
    }

    /// Cuts the link with all that runs over it, or makes it whole again.
    pub(crate) fn set_whole(&self, whole: bool) {
        self.whole.send_replace(whole);
    }
}

async fn carry(mut stream: TcpStream, to: SocketAddr, mut whole: watch::Receiver<bool>) {
    let Ok(mut target) = TcpStream::connect(to).await else {
        return;
    };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut stream, &mut target) => {}
        _ = whole.wait_for(|whole| !whole) => {}
    }
}

//! A link that replaces texts in what the server sends, such as addresses in a voter's messages.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// A text and its replacement of the same length.
pub(crate) type Rule = (String, String);

/// A link between two addresses. Its listener closes when it is dropped.
#[derive(Debug)]
pub(crate) struct Rewriter {
    accepting: JoinHandle<()>,
}

impl Drop for Rewriter {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Rewriter {
    /// Starts a link that forwards connections and applies the rules to what comes back.
    pub(crate) async fn start(from: SocketAddr, to: SocketAddr, rules: Vec<Rule>) -> Self {
        assert!(rules.iter().all(|(text, new)| text.len() == new.len()));
        let listener = TcpListener::bind(from).await.unwrap();
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, to, rules.clone()));
            }
        });
        Self { accepting }
    }
}

async fn forward(near: TcpStream, to: SocketAddr, rules: Vec<Rule>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let there = tokio::io::copy(&mut near_read, &mut far_write);
    let back = async {
        let mut buffer = Vec::new();
        let mut chunk = vec![0; 64 * 1024];
        while let Ok(count @ 1..) = far_read.read(&mut chunk).await {
            buffer.extend_from_slice(&chunk[..count]);
            let whole = rewrite(&mut buffer, &rules);
            if near_write.write_all(&buffer[..whole]).await.is_err() {
                return;
            }
            buffer.drain(..whole);
        }
    };
    // Either direction's end ends both.
    tokio::select! {
        _ = there => {}
        () = back => {}
    }
}

/// Applies the rules to a buffer; returns the length of its beginning that no later byte can change.
fn rewrite(buffer: &mut [u8], rules: &[Rule]) -> usize {
    for (text, new) in rules {
        let text = text.as_bytes();
        for at in 0..(buffer.len() + 1).saturating_sub(text.len()) {
            if buffer[at..].starts_with(text) {
                buffer[at..at + text.len()].copy_from_slice(new.as_bytes());
            }
        }
    }
    let longest = rules.iter().map(|(text, _)| text.len()).max().unwrap_or(1);
    let ends_with_part = |length: &usize| {
        let end = &buffer[buffer.len() - length..];
        rules
            .iter()
            .any(|(text, _)| text.as_bytes().starts_with(end))
    };
    let lengths = (1..longest.min(buffer.len() + 1)).rev();
    let part = lengths.into_iter().find(ends_with_part).unwrap_or(0);
    buffer.len() - part
}

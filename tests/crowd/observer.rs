//! Observes the memory and the descriptors of a process while a crowd is at work.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::support::deploy;

/// How often the sockets and descriptors are counted.
const INTERVAL: Duration = Duration::from_millis(20);

/// What was counted at most.
#[derive(Debug, Default)]
struct Most {
    /// The bytes in the sockets at the address that were not read by their reader.
    unread: AtomicUsize,
    descriptors: AtomicUsize,
}

/// Counts what a process holds until this is dropped.
#[derive(Debug)]
pub(crate) struct Observer {
    most: Arc<Most>,
    stop: Arc<AtomicBool>,
    task: Option<JoinHandle<()>>,
}

impl Observer {
    /// Observes a process and its connections at an address.
    pub(crate) fn start(process: &deploy::Process, address: SocketAddr) -> Self {
        let (most, stop) = (Arc::new(Most::default()), Arc::new(AtomicBool::new(false)));
        let (counts, is_stopped, id) = (most.clone(), stop.clone(), process.id());
        let task = thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                counts.unread.fetch_max(unread(address), Ordering::Relaxed);
                counts
                    .descriptors
                    .fetch_max(descriptors(id), Ordering::Relaxed);
                thread::sleep(INTERVAL);
            }
        });
        Self {
            most,
            stop,
            task: Some(task),
        }
    }

    /// Returns the most memory that the process has had, with what was unread in its sockets.
    pub(crate) fn memory(&self, process: &deploy::Process) -> usize {
        deploy::peak_memory(process) + self.most.unread.load(Ordering::Relaxed)
    }

    /// Returns the most descriptors that the process had open.
    pub(crate) fn descriptors(&self) -> usize {
        self.most.descriptors.load(Ordering::Relaxed)
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(task) = self.task.take() {
            let _ = task.join();
        }
    }
}

fn descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Returns the bytes that sockets at a local address hold to be read or sent, as `/proc/net/tcp` counts them.
fn unread(address: SocketAddr) -> usize {
    let IpAddr::V4(host) = address.ip() else {
        panic!("an IPv4 address")
    };
    let host = u32::from_le_bytes(host.octets());
    let local = format!("{host:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let lines = table.lines().map(|line| line.split_whitespace());
    let queues = lines.filter_map(|mut fields| {
        let is_local = fields.nth(1) == Some(&local);
        // A listening socket counts its connections there.
        let is_open = fields.nth(1) != Some("0A");
        (is_local && is_open).then(|| fields.next())?
    });
    let bytes = |text: &str| usize::from_str_radix(text, 16).ok();
    queues
        .filter_map(|queues| {
            let (sent, received) = queues.split_once(':')?;
            Some(bytes(sent)? + bytes(received)?)
        })
        .sum()
}

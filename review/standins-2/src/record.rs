//! What was sent, answered and run, written to `record.txt`.

use std::{
    fs::File,
    io::{BufWriter, Write as _},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// The record of a run. Times are in milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Adds a line with the time; returns the time.
    pub fn note(&self, text: &str) -> u64 {
        let mut file = self.file.lock().expect("no thread panics with it");
        let now = self.now();
        let _ = writeln!(file, "{now:>7} {text}");
        now
    }

    /// Adds a line that is printed, too.
    pub fn say(&self, text: &str) -> u64 {
        println!("{:>7} {text}", self.now());
        let now = self.note(text);
        let _ = self.file.lock().expect("no thread panics with it").flush();
        now
    }

    pub fn flush(&self) {
        let _ = self.file.lock().expect("no thread panics with it").flush();
    }
}

pub fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

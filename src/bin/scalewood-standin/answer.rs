//! What a stand-in answers: a text that follows from the prompt alone.

/// The fewest tokens of an answer.
const MIN_TOKENS: u64 = 4;
/// How much longer an answer may be.
const SPREAD: u64 = 40;

/// A hash of a text (FNV-1a).
pub(crate) fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |state: u64, byte| {
            (state ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
}

/// The tokens of the answer to a prompt, at most `max`.
pub(crate) fn tokens(prompt: &str, max: Option<u64>) -> Vec<String> {
    let seed = hash(prompt);
    let count = length(prompt, seed);
    let count = max.map_or(count, |max| count.min(max));
    (0..count)
        .map(|i| format!("{:05x}.{i} ", hash(&format!("{seed}/{i}")) & 0xf_ffff))
        .collect()
}

/// A prompt may ask for a length, as `len=N` at its end.
fn length(prompt: &str, seed: u64) -> u64 {
    let asked = prompt
        .rsplit_once("len=")
        .and_then(|(_, digits)| digits.trim().parse().ok());
    asked.unwrap_or(MIN_TOKENS + seed % SPREAD)
}

//! The stand-in's answers, which depend on the prompt alone.

/// The smallest length of an answer, in tokens.
const MIN_TOKENS: u64 = 4;
/// The number of different lengths of an answer, from `MIN_TOKENS` upwards.
const LENGTH_COUNT: u64 = 40;

/// Returns the FNV-1a hash of a text.
pub(crate) fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |state: u64, byte| {
            (state ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
}

/// Returns the tokens of the answer to a prompt, at most `max`.
pub(crate) fn tokens(prompt: &str, max: Option<u64>) -> Vec<String> {
    let seed = hash(prompt);
    let count = length(prompt, seed);
    let count = max.map_or(count, |max| count.min(max));
    (0..count)
        .map(|i| format!("{:05x}.{i} ", hash(&format!("{seed}/{i}")) & 0xf_ffff))
        .collect()
}

/// Returns the length of an answer in tokens: N if the prompt ends with `len=N`, otherwise a length
/// that depends on the seed.
fn length(prompt: &str, seed: u64) -> u64 {
    let asked = prompt
        .rsplit_once("len=")
        .and_then(|(_, digits)| digits.trim().parse().ok());
    asked.unwrap_or(MIN_TOKENS + seed % LENGTH_COUNT)
}

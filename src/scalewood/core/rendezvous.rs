//! Rendezvous hashing (highest random weight): maps a key to one of several nodes.
//!
//! Each node gets a pseudo-random weight for the key, and the node with the highest one wins. When
//! a node is removed, only the keys that it won move. All processes that know the same nodes agree
//! without communication.

/// The 64-bit offset basis of FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The 64-bit prime of FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns a 64-bit hash that is the same in every process and version. The byte 0xff ends each
/// part.
pub fn hash(parts: &[&str]) -> u64 {
    let mut state = FNV_OFFSET_BASIS;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            state = (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    mix(state)
}

/// Mixes the bits of a hash with the finaliser of splitmix64.
pub(crate) fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns `nodes` in the order of their weight for `key`, the highest first.
pub fn order<'a, N>(key: &[&str], nodes: impl IntoIterator<Item = &'a N>) -> Vec<&'a N>
where
    N: AsRef<str> + Ord + 'a,
{
    let mut weighted: Vec<_> = nodes
        .into_iter()
        .map(|n| (weight(key, n.as_ref()), n))
        .collect();
    weighted.sort_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, node)| node).collect()
}

/// Returns the node with the highest weight for `key`, if there is any node.
pub fn winner<'a, N>(key: &[&str], nodes: impl IntoIterator<Item = &'a N>) -> Option<&'a N>
where
    N: AsRef<str> + Ord + 'a,
{
    let weighted = nodes.into_iter().map(|n| (weight(key, n.as_ref()), n));
    weighted.max().map(|(_, node)| node)
}

fn weight(key: &[&str], node: &str) -> u64 {
    mix(hash(key) ^ hash(&[node]))
}

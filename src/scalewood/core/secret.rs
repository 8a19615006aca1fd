//! Tokens of teams and operators, of which only hashes are stored.
//!
//! `scalewood token` generates tokens with 256 random bits. As no dictionary attack can find such a
//! token, a plain SHA-256 is sufficient.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// The length of a hash, in bytes.
const HASH_LEN: usize = 32;

/// The SHA-256 of a token; written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Hash([u8; HASH_LEN]);

impl Hash {
    /// Returns the hash of a token.
    pub fn of(token: &str) -> Self {
        Self(sha2::Sha256::digest(token.as_bytes()).into())
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hash(..)")
    }
}

/// The error for a text that is not a hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a token hash is 64 hexadecimal digits, as `scalewood token` prints them")
    }
}

impl std::error::Error for Error {}

impl FromStr for Hash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() != 2 * HASH_LEN || !text.is_ascii() {
            return Err(Error);
        }
        let mut bytes = [0; HASH_LEN];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| Error)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Hash {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Hash> for String {
    fn from(hash: Hash) -> String {
        hash.to_string()
    }
}

//! Names of the things that operators configure.
//!
//! Each kind of name has a type of its own, so that a team can't be passed where a service is
//! expected. Names are shared strings, so cloning one is cheap.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
pub const MAX_LEN: usize = 63;

/// The error for a text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: &'static str,
    text: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not a valid {} name: use 1 to {MAX_LEN} of a-z, 0-9, `-`, `_` and `.`",
            self.text.escape_debug(),
            self.kind
        )
    }
}

impl std::error::Error for Error {}

fn is_valid(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    !text.is_empty() && text.len() <= MAX_LEN && text.bytes().all(allowed)
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                if is_valid(text) {
                    return Ok(Self(text.into()));
                }
                Err(Error { kind: $kind, text: text.chars().take(2 * MAX_LEN).collect() })
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// A box that runs a daemon of the system.
    Box = "box";
    /// An availability zone.
    Zone = "availability zone";
    /// A region: availability zones that are close to each other.
    Region = "region";
    /// A service that teams call.
    Service = "service";
    /// A class of requests within a service.
    Class = "class";
    /// A team that calls services.
    Team = "team";
    /// An endpoint: a model engine, or a replica of a plain service.
    Endpoint = "endpoint";
    /// A policy program.
    Policy = "policy";
    /// A person or program that changes the configuration.
    Operator = "operator";
    /// A model or adapter as callers name it, in the syntax of names here.
    Model = "model";
}

//! The client of the administration API that the `scalewood` command uses.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt as _};
use http_body_util::{BodyExt as _, Full};
use hyper::{header, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{de::DeserializeOwned, Serialize};
use tokio::net::TcpStream;

use crate::{
    core::{change, config, raft, unit},
    wire::admin::{
        Config, Cordon, Cordons, Failure, HeldBack, History, Pardon, Provider, Status, PREFIX,
    },
};

/// The timeout of a call, without the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No voter could be reached.
    Unreachable,
    /// The request was refused.
    Refused,
    /// It is unknown whether the change was accepted.
    Unknown,
    /// The answer could not be parsed, or the request could not be encoded.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Unreachable => "no voter could be reached; name one that runs with --admin",
            Error::Refused => "the request was refused",
            Error::Unknown => {
                "it is not known whether the change was accepted; send it again under the same id"
            }
            Error::Malformed => {
                "the answer could not be parsed; do both sides run the same version?"
            }
        })
    }
}

impl std::error::Error for Error {}

/// A client of the administration API. It tries the voters in turn until one can be reached.
#[derive(Clone)]
pub struct Client {
    voters: Vec<SocketAddr>,
    token: String,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Client({:?})", self.voters)
    }
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// Creates a client that uses an operator's token.
    pub fn new(voters: Vec<SocketAddr>, token: String) -> Self {
        Self { voters, token }
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers or the token is refused.
    pub async fn config(&self) -> Result<Config, Report<Error>> {
        self.get("config").await
    }

    /// Returns the audit trail.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers or the token is refused.
    pub async fn history(&self) -> Result<History, Report<Error>> {
        self.get("history").await
    }

    /// Returns the status of the voters.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers or the token is refused.
    pub async fn status(&self) -> Result<Status, Report<Error>> {
        self.get("status").await
    }

    /// Returns the holder of the provider's tasks, the usage windows and the ordered endpoints.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers.
    pub async fn provider(&self) -> Result<Provider, Report<Error>> {
        self.get("provider").await
    }

    /// Submits a change.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers, the request is refused, or it is unknown whether the change was
    /// accepted. A change that was not applied is an answer, not an error.
    pub async fn change(&self, change: &change::Change) -> Result<change::Answer, Report<Error>> {
        let answer = self.call(Method::POST, "changes", Some(change)).await?;
        match answer.status {
            StatusCode::OK | StatusCode::CONFLICT => parse(&answer),
            _ => Err(failure_report(&answer)),
        }
    }

    /// Returns the cordoned zones.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers or the token is refused.
    pub async fn cordons(&self) -> Result<Cordons, Report<Error>> {
        self.get("cordons").await
    }

    /// Returns the requests that are held back.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers or the token is refused.
    pub async fn held_back(&self) -> Result<HeldBack, Report<Error>> {
        self.get("held-back").await
    }

    /// Releases a request that is held back.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers, the token is refused, or the request is unknown.
    pub async fn pardon(&self, pardon: &Pardon) -> Result<(), Report<Error>> {
        let answer = self.call(Method::POST, "held-back", Some(pardon)).await?;
        if answer.status == StatusCode::OK {
            return Ok(());
        }
        Err(failure_report(&answer))
    }

    /// Cordons or uncordons a zone.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers, the request is refused, or it is unknown whether the order was
    /// accepted. An order that was not applied is an answer, not an error.
    pub async fn cordon(&self, order: &Cordon) -> Result<change::Answer, Report<Error>> {
        let answer = self.call(Method::POST, "cordons", Some(order)).await?;
        match answer.status {
            StatusCode::OK | StatusCode::CONFLICT => parse(&answer),
            _ => Err(failure_report(&answer)),
        }
    }

    /// Submits a membership change of the voters.
    ///
    /// # Errors
    ///
    /// Fails if the change was not accepted.
    pub async fn members(&self, request: &raft::MembersRequest) -> Result<(), Report<Error>> {
        let answer = self.call(Method::POST, "voters", Some(request)).await?;
        if answer.status == StatusCode::OK {
            return Ok(());
        }
        Err(failure_report(&answer))
    }

    /// Reads from the first voter whose state is up to date.
    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Report<Error>> {
        let mut behind = None;
        for voter in &self.voters {
            let client = Self {
                voters: vec![*voter],
                token: self.token.clone(),
            };
            match client.call::<()>(Method::GET, path, None).await {
                Ok(answer) if answer.status == StatusCode::OK => return parse(&answer),
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                    behind = Some(failure_report(&answer));
                }
                Ok(answer) => return Err(failure_report(&answer)),
                Err(report) => drop(behind.get_or_insert(report)),
            }
        }
        Err(behind.unwrap_or_else(|| Report::new(Error::Unreachable)))
    }

    /// Calls the first voter that can be reached. Once a connection was opened, no other voter is
    /// tried, since the call may have taken effect.
    async fn call<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&T>,
    ) -> Result<Answer, Report<Error>> {
        let body = match body {
            Some(body) => serde_json::to_vec(body).change_context(Error::Malformed)?,
            None => Vec::new(),
        };
        for voter in &self.voters {
            let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(voter)).await;
            let Ok(Ok(stream)) = opened else { continue };
            let answer = self.send(stream, *voter, method.clone(), path, body.clone());
            let answer = tokio::time::timeout(CALL_TIMEOUT, answer).await;
            return answer.unwrap_or_else(|_| Err(Report::new(Error::Unknown)));
        }
        Err(Report::new(Error::Unreachable))
    }

    async fn send(
        &self,
        stream: TcpStream,
        voter: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answer, Report<Error>> {
        let unknown = || Error::Unknown;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .change_context_lazy(unknown)?;
        tokio::spawn(async move {
            // A broken connection shows as the failure of the request.
            let _ = connection.await;
        });
        let request = Request::builder()
            .method(method)
            .uri(format!("{PREFIX}/{path}"))
            .header(header::HOST, voter.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))
            .change_context(Error::Malformed)?;
        let response = sender
            .send_request(request)
            .await
            .change_context_lazy(unknown)?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .change_context_lazy(unknown)?
            .to_bytes();
        Ok(Answer { status, body })
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, Report<Error>> {
    serde_json::from_slice(&answer.body).change_context(Error::Malformed)
}

fn failure_report(answer: &Answer) -> Report<Error> {
    let error = match answer.status {
        StatusCode::GATEWAY_TIMEOUT => Error::Unknown,
        _ => Error::Refused,
    };
    let failure: Option<Failure> = serde_json::from_slice(&answer.body).ok();
    let why = failure.map_or_else(
        || format!("it answered {}", answer.status),
        |failure| failure.error,
    );
    Report::new(error).attach(why)
}

/// Returns the edits that turn one document into another: first the sets, with each item after
/// those that it refers to, then the removals in the opposite order.
pub fn edits(from: &config::Document, to: &config::Document) -> Vec<change::Edit> {
    let mut edits = Vec::new();
    let mut removals = Vec::new();
    macro_rules! compare {
        ($($field:ident: $kind:ident;)*) => {$(
            for (name, item) in &to.$field {
                if from.$field.get(name) != Some(item) {
                    let item = change::Item::$kind(name.clone(), item.clone());
                    edits.push(change::Edit::Set(item));
                }
            }
            for name in from.$field.keys().filter(|name| !to.$field.contains_key(*name)) {
                removals.push(change::Edit::Remove(change::Key::$kind(name.clone())));
            }
        )*};
    }
    compare! {
        boxes: Box;
        services: Service;
        classes: Class;
        teams: Team;
        endpoints: Endpoint;
        policies: Policy;
    }
    removals.reverse();
    edits.extend(removals);
    edits
}

/// Returns a new random change id.
pub fn new_id() -> change::Id {
    let id = format!("{:032x}", rand::random::<u128>());
    // Hexadecimal digits are valid in an id.
    id.parse().expect("a random id is valid")
}

/// Creates a change with a new random id.
pub fn new_change(base: unit::Revision, why: String, edits: Vec<change::Edit>) -> change::Change {
    change::Change {
        id: new_id(),
        base,
        why,
        edits,
    }
}

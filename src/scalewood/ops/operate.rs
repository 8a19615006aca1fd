//! Speaking to the administration API, as `scalewood` does for operators.

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

/// How long a call may take.
const CALL: Duration = Duration::from_secs(8);
/// How long a connection may take.
const CONNECT: Duration = Duration::from_secs(1);

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No voter could be reached.
    Unreachable,
    /// The request was refused.
    Refused,
    /// Whether the change was accepted is not known.
    Unknown,
    /// The answer could not be understood.
    Garbled,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Unreachable => "no voter could be reached; name one that runs with --admin",
            Error::Refused => "the request was refused",
            Error::Unknown => {
                "it is not known whether the change was accepted; send it again under the same id"
            }
            Error::Garbled => "the answer could not be understood; are both sides of one version?",
        })
    }
}

impl std::error::Error for Error {}

/// Speaks to the voters, one after another until one answers.
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
    /// A client with an operator's token.
    pub fn new(voters: Vec<SocketAddr>, token: String) -> Self {
        Self { voters, token }
    }

    /// The configuration in force.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers or the token is refused.
    pub async fn config(&self) -> Result<Config, Report<Error>> {
        self.get("config").await
    }

    /// The audit trail.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers or the token is refused.
    pub async fn history(&self) -> Result<History, Report<Error>> {
        self.get("history").await
    }

    /// How the system stands.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers or the token is refused.
    pub async fn status(&self) -> Result<Status, Report<Error>> {
        self.get("status").await
    }

    /// What is done for the provider.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers.
    pub async fn provider(&self) -> Result<Provider, Report<Error>> {
        self.get("provider").await
    }

    /// Asks for a change.
    ///
    /// # Errors
    ///
    /// Fails if the change was not decided; a change that was not applied is an
    /// answer.
    pub async fn change(&self, change: &change::Change) -> Result<change::Answer, Report<Error>> {
        let answer = self.call(Method::POST, "changes", Some(change)).await?;
        match answer.status {
            StatusCode::OK | StatusCode::CONFLICT => parse(&answer),
            _ => Err(failed(&answer)),
        }
    }

    /// The zones that are cordoned.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers or the token is refused.
    pub async fn cordons(&self) -> Result<Cordons, Report<Error>> {
        self.get("cordons").await
    }

    /// The requests that are held back.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers or the token is refused.
    pub async fn held_back(&self) -> Result<HeldBack, Report<Error>> {
        self.get("held-back").await
    }

    /// Takes a request back into service.
    ///
    /// # Errors
    ///
    /// Fails if no voter answers, the token is refused, or nothing is known of the request.
    pub async fn pardon(&self, pardon: &Pardon) -> Result<(), Report<Error>> {
        let answer = self.call(Method::POST, "held-back", Some(pardon)).await?;
        if answer.status == StatusCode::OK {
            return Ok(());
        }
        Err(failed(&answer))
    }

    /// Cordons or uncordons a zone.
    ///
    /// # Errors
    ///
    /// Fails if the order was not decided; one that was not applied is an answer.
    pub async fn cordon(&self, order: &Cordon) -> Result<change::Answer, Report<Error>> {
        let answer = self.call(Method::POST, "cordons", Some(order)).await?;
        match answer.status {
            StatusCode::OK | StatusCode::CONFLICT => parse(&answer),
            _ => Err(failed(&answer)),
        }
    }

    /// Asks for a change of the voters.
    ///
    /// # Errors
    ///
    /// Fails if the change was not accepted.
    pub async fn members(&self, request: &raft::MembersRequest) -> Result<(), Report<Error>> {
        let answer = self.call(Method::POST, "voters", Some(request)).await?;
        if answer.status == StatusCode::OK {
            return Ok(());
        }
        Err(failed(&answer))
    }

    /// Reads something from the first voter that has it as it is in force.
    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Report<Error>> {
        let mut behind = None;
        for voter in &self.voters {
            let one = Self {
                voters: vec![*voter],
                token: self.token.clone(),
            };
            match one.call::<()>(Method::GET, path, None).await {
                Ok(answer) if answer.status == StatusCode::OK => return parse(&answer),
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                    behind = Some(failed(&answer));
                }
                Ok(answer) => return Err(failed(&answer)),
                Err(report) => drop(behind.get_or_insert(report)),
            }
        }
        Err(behind.unwrap_or_else(|| Report::new(Error::Unreachable)))
    }

    /// Calls the first voter that can be reached. Once a voter was reached, no other
    /// is asked: the call may have had its effect.
    async fn call<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&T>,
    ) -> Result<Answer, Report<Error>> {
        let body = match body {
            Some(body) => serde_json::to_vec(body).change_context(Error::Garbled)?,
            None => Vec::new(),
        };
        for voter in &self.voters {
            let opened = tokio::time::timeout(CONNECT, TcpStream::connect(voter)).await;
            let Ok(Ok(stream)) = opened else { continue };
            let answer = self.ask(stream, *voter, method.clone(), path, body.clone());
            let answer = tokio::time::timeout(CALL, answer).await;
            return answer.unwrap_or_else(|_| Err(Report::new(Error::Unknown)));
        }
        Err(Report::new(Error::Unreachable))
    }

    async fn ask(
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
            // The connection's end shows at the request.
            let _ = connection.await;
        });
        let request = Request::builder()
            .method(method)
            .uri(format!("{PREFIX}/{path}"))
            .header(header::HOST, voter.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))
            .change_context(Error::Garbled)?;
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
    serde_json::from_slice(&answer.body).change_context(Error::Garbled)
}

fn failed(answer: &Answer) -> Report<Error> {
    let error = match answer.status {
        StatusCode::GATEWAY_TIMEOUT => Error::Unknown,
        _ => Error::Refused,
    };
    let told: Option<Failure> = serde_json::from_slice(&answer.body).ok();
    let why = told.map_or_else(
        || format!("it answered {}", answer.status),
        |told| told.error,
    );
    Report::new(error).attach(why)
}

/// The edits that make one document out of another: sets in the order of what needs
/// what, then removals in the opposite order.
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

/// A new random id.
pub fn new_id() -> change::Id {
    let id = format!("{:032x}", rand::random::<u128>());
    // Hexadecimal digits are allowed in an id.
    id.parse().expect("a random id is valid")
}

/// A change under a new random id.
pub fn new_change(base: unit::Revision, why: String, edits: Vec<change::Edit>) -> change::Change {
    change::Change {
        id: new_id(),
        base,
        why,
        edits,
    }
}

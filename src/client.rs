//! Client of the administration API.

use std::{env, fmt, net::SocketAddr, str::FromStr, time::Duration};

use anyhow::{Context, bail};
use apricotlug_admin::{Operation, Problem, ProblemCode};
use apricotlug_http::{Headers, Reply, RequestHead, exchange};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Environment variable that holds an operator's key.
pub const KEY_VARIABLE: &str = "APRICOTLUG_KEY";

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// Longest wait for an answer.
const WAIT: Duration = Duration::from_secs(15);

/// Operator's key, `id.secret`. Its debug text hides the secret.
#[derive(Clone)]
pub struct OperatorKey(String);

impl OperatorKey {
    /// Returns the key of the option, or else that of the environment.
    ///
    /// # Errors
    /// Returns a problem where neither holds one, or where it has a character that no key has.
    pub fn find(option: Option<Self>) -> anyhow::Result<Self> {
        let key = option.or_else(|| env::var(KEY_VARIABLE).ok().map(Self));
        let key = key.filter(|key| key.0.bytes().all(|byte| byte.is_ascii_graphic()));
        key.ok_or_else(|| {
            let help = format!("set {KEY_VARIABLE} or --key to the ID.SECRET of an operator");
            let message = "no operator's key was given";
            anyhow::Error::msg(Problem::new(ProblemCode::Unauthorised, message, help))
        })
    }

    /// Returns the key as it is sent.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for OperatorKey {
    // An error would be shown with the key beside it.
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorKey(..)")
    }
}

/// Call of an operation.
#[derive(Clone, Copy, Debug)]
pub struct Call<'c> {
    /// Operation.
    pub operation: Operation,
    /// Parameters of its path, in their order.
    pub params: &'c [&'c str],
    /// Query, without the question mark.
    pub query: Option<&'c str>,
    /// Body.
    pub body: &'c str,
}

impl Call<'_> {
    /// Creates a call without parameters, query and body.
    #[must_use]
    pub fn new(operation: Operation) -> Self {
        Self {
            operation,
            params: &[],
            query: None,
            body: "",
        }
    }

    fn target(&self) -> anyhow::Result<String> {
        if let Some(param) = self.params.iter().find(|param| !is_name(param)) {
            return Err(anyhow::Error::msg(Problem::unknown("id", param)));
        }
        let target = self.operation.target(self.params);
        Ok(match self.query {
            Some(query) => format!("{target}?{query}"),
            None => target,
        })
    }
}

/// Tells whether a text stands in a path as it is.
fn is_name(text: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.bytes().all(is_plain)
}

/// Administration API of one instance, called with an operator's key.
#[derive(Debug)]
pub struct Api {
    addr: SocketAddr,
    key: OperatorKey,
}

impl Api {
    /// Creates the client. The key is that of the option, or else that of the environment.
    ///
    /// # Errors
    /// Returns a problem where there is no key.
    pub fn new(addr: SocketAddr, key: Option<OperatorKey>) -> anyhow::Result<Self> {
        let key = OperatorKey::find(key)?;
        Ok(Self { addr, key })
    }

    /// Calls an operation.
    ///
    /// # Errors
    /// Returns the problem that the instance reports, or why there is no answer.
    pub async fn call(&self, call: Call<'_>) -> anyhow::Result<Value> {
        let (status, value) = self.exchange(call).await?;
        match status {
            200..300 => Ok(value),
            _ => Err(problem(status, value)),
        }
    }

    /// Calls an operation whose conflicts carry an answer of their own.
    ///
    /// # Errors
    /// Returns the problem that the instance reports, or why there is no answer.
    pub async fn call_or_conflict<T: DeserializeOwned>(&self, call: Call<'_>) -> anyhow::Result<T> {
        let (status, value) = self.exchange(call).await?;
        match status {
            200..300 | 409 => match serde_json::from_value(value.clone()) {
                Ok(answer) => Ok(answer),
                Err(_) => Err(problem(status, value)),
            },
            _ => Err(problem(status, value)),
        }
    }

    async fn exchange(&self, call: Call<'_>) -> anyhow::Result<(u16, Value)> {
        let target = call.target()?;
        let method = call.operation.method().as_str();
        let key = Some(&self.key);
        let reply = request(self.addr, method, &target, key, call.body.as_bytes()).await?;
        let value = serde_json::from_slice(&reply.body)
            .with_context(|| format!("{} sent no JSON; is it an admin address?", self.addr))?;
        Ok((reply.head.status, value))
    }
}

fn problem(status: u16, value: Value) -> anyhow::Error {
    match serde_json::from_value::<Problem>(value) {
        Ok(problem) => anyhow::Error::msg(problem),
        Err(_) => anyhow::anyhow!("status {status} without a problem; is it an admin address?"),
    }
}

/// Returns a page that takes no key.
///
/// # Errors
/// Returns an error where the instance cannot be asked.
pub async fn page(addr: SocketAddr, target: &str) -> anyhow::Result<String> {
    let reply = request(addr, "GET", target, None, b"").await?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    if reply.head.status != 200 {
        bail!("status {}: {}", reply.head.status, text.trim_end());
    }
    Ok(text)
}

async fn request(
    addr: SocketAddr,
    method: &str,
    target: &str,
    key: Option<&OperatorKey>,
    body: &[u8],
) -> anyhow::Result<Reply> {
    let mut headers = Headers::default();
    headers.push("host", addr.to_string());
    if let Some(key) = key {
        headers.push("authorization", format!("Bearer {}", key.as_str()));
    }
    let head = RequestHead {
        method: method.to_owned(),
        target: target.to_owned(),
        minor: 1,
        headers,
    };
    exchange(addr, head, body, MAX_ANSWER_BYTES, WAIT)
        .await
        .with_context(|| format!("cannot ask {addr}"))
}

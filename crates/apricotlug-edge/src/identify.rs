//! Identifies the client account of a request by its key.

use apricotlug_config::credential;
use apricotlug_http::RequestHead;
use apricotlug_model::{Access, AccountKey, Route};

use crate::view::View;

/// Shortest secret that is searched for in the rest of the head, in bytes.
const MIN_SEARCHED_SECRET_BYTES: usize = 8;

/// Why a request was not identified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unidentified {
    /// The request has no key, or not in the form `Bearer ID.SECRET`.
    Missing,
    /// The key is unknown or its secret is wrong.
    Unknown,
    /// The key is withdrawn.
    Withdrawn,
    /// The secret also occurs elsewhere in the head, and would reach a backend server.
    SecretRepeated,
}

/// Returns the client account that the request's key belongs to; `None` on a route with open
/// access.
///
/// # Errors
/// Returns an error where a keyed route gets no valid key, or where the secret is repeated.
pub fn identify(
    view: &View,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<AccountKey>, Unidentified> {
    let key = presented_key(head);
    if let Some((_, secret)) = &key
        && is_secret_repeated(head, secret)
    {
        return Err(Unidentified::SecretRepeated);
    }
    match route.access {
        Access::Open => Ok(None),
        Access::Keyed => {
            let (id, secret) = key.ok_or(Unidentified::Missing)?;
            verify_key(view, &id, &secret).map(Some)
        }
    }
}

fn presented_key(head: &RequestHead) -> Option<(String, String)> {
    let value = head.headers.text("authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return None;
    }
    let (id, secret) = key.trim().split_once('.')?;
    Some((id.to_owned(), secret.to_owned()))
}

fn verify_key(view: &View, id: &str, secret: &str) -> Result<AccountKey, Unidentified> {
    let bundle = view.bundle.as_ref().ok_or(Unidentified::Unknown)?;
    let credential = bundle.credentials.get(id).ok_or(Unidentified::Unknown)?;
    if !credential::verify(&credential.hash, secret) {
        return Err(Unidentified::Unknown);
    }
    if credential.is_withdrawn || view.withdrawn.contains(id) {
        return Err(Unidentified::Withdrawn);
    }
    Ok(credential.account)
}

fn is_secret_repeated(head: &RequestHead, secret: &str) -> bool {
    if secret.len() < MIN_SEARCHED_SECRET_BYTES {
        return false;
    }
    let mut head = head.clone();
    head.headers.remove("authorization");
    let bytes = head.encode();
    bytes
        .windows(secret.len())
        .any(|window| window == secret.as_bytes())
}

//! Operations of the administration API with method, path and required role. Servers and clients
//! share this closed set.

use std::fmt;

use apricotlug_model::Role;

/// HTTP method of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Method {
    /// Reads without effect.
    Get,
    /// Performs an action; not necessarily idempotent.
    Post,
    /// Sets an entry; idempotent.
    Put,
    /// Removes an entry; idempotent.
    Delete,
}

impl Method {
    /// Returns the method as written in the request line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
        }
    }
}

/// Operation of the administration API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// Returns the OpenAPI description of the API.
    OpenApi,
    /// Returns the status of one instance.
    Status,
    /// Returns the status of the fleet.
    Fleet,
    /// Returns the bundle in force.
    Bundle,
    /// Returns the signed-off versions.
    History,
    /// Checks a bundle.
    Check,
    /// Compares a bundle with the one in force.
    Diff,
    /// Puts a bundle in force.
    SignOff,
    /// Lists the keys of client accounts.
    Keys,
    /// Withdraws a key.
    Withdraw,
    /// Lists drains.
    Drains,
    /// Starts a drain.
    StartDrain,
    /// Stops a drain.
    StopDrain,
    /// Lists version moves.
    Moves,
    /// Holds a version move at its stage.
    PauseMove,
    /// Continues a paused version move.
    ResumeMove,
    /// Takes a version move back.
    TakeBackMove,
    /// Explains the answer that a look-up would give.
    Explain,
}

impl Operation {
    /// All operations, in the order of the OpenAPI description.
    pub const ALL: [Self; 18] = [
        Self::OpenApi,
        Self::Status,
        Self::Fleet,
        Self::Bundle,
        Self::History,
        Self::Check,
        Self::Diff,
        Self::SignOff,
        Self::Keys,
        Self::Withdraw,
        Self::Drains,
        Self::StartDrain,
        Self::StopDrain,
        Self::Moves,
        Self::PauseMove,
        Self::ResumeMove,
        Self::TakeBackMove,
        Self::Explain,
    ];

    /// Returns the HTTP method of the operation.
    #[must_use]
    pub fn method(self) -> Method {
        match self {
            Self::OpenApi | Self::Status | Self::Fleet | Self::Bundle | Self::History => {
                Method::Get
            }
            Self::Keys | Self::Drains | Self::Moves | Self::Explain => Method::Get,
            Self::Check | Self::Diff | Self::SignOff | Self::Withdraw => Method::Post,
            Self::PauseMove | Self::ResumeMove | Self::TakeBackMove => Method::Post,
            Self::StartDrain => Method::Put,
            Self::StopDrain => Method::Delete,
        }
    }

    /// Returns the path pattern, with parameters in braces.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::OpenApi => "/v1/openapi.json",
            Self::Status => "/v1/status",
            Self::Fleet => "/v1/fleet",
            Self::Bundle => "/v1/bundle",
            Self::History => "/v1/bundle/history",
            Self::Check => "/v1/bundle/check",
            Self::Diff => "/v1/bundle/diff",
            Self::SignOff => "/v1/bundle/sign-off",
            Self::Keys => "/v1/keys",
            Self::Withdraw => "/v1/keys/{key}/withdraw",
            Self::Drains => "/v1/drains",
            Self::StartDrain | Self::StopDrain => "/v1/drains/{scope}/{id}",
            Self::Moves => "/v1/moves",
            Self::PauseMove => "/v1/moves/{service}/pause",
            Self::ResumeMove => "/v1/moves/{service}/resume",
            Self::TakeBackMove => "/v1/moves/{service}/take-back",
            Self::Explain => "/v1/explain",
        }
    }

    /// Returns the role that the operation requires; `None` where no key is needed.
    #[must_use]
    pub fn role(self) -> Option<Role> {
        match self {
            Self::OpenApi => None,
            Self::Status | Self::Fleet | Self::Bundle | Self::History => Some(Role::Viewer),
            Self::Check | Self::Diff | Self::Explain => Some(Role::Viewer),
            Self::Keys | Self::Drains | Self::Moves => Some(Role::Viewer),
            Self::Withdraw | Self::StartDrain | Self::StopDrain => Some(Role::Responder),
            Self::PauseMove | Self::ResumeMove | Self::TakeBackMove => Some(Role::Responder),
            Self::SignOff => Some(Role::Signer),
        }
    }

    /// Returns the `operationId` in the OpenAPI description, from which client generators derive
    /// names.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::OpenApi => "openApi",
            Self::Status => "status",
            Self::Fleet => "fleet",
            Self::Bundle => "bundle",
            Self::History => "history",
            Self::Check => "checkBundle",
            Self::Diff => "diffBundle",
            Self::SignOff => "signOffBundle",
            Self::Keys => "keys",
            Self::Withdraw => "withdrawKey",
            Self::Drains => "drains",
            Self::StartDrain => "startDrain",
            Self::StopDrain => "stopDrain",
            Self::Moves => "moves",
            Self::PauseMove => "pauseMove",
            Self::ResumeMove => "resumeMove",
            Self::TakeBackMove => "takeBackMove",
            Self::Explain => "explain",
        }
    }

    /// Returns the path with its parameters filled in, in path order. Missing parameters are empty.
    #[must_use]
    pub fn target(self, params: &[&str]) -> String {
        let mut params = params.iter();
        let segments = self
            .path()
            .split('/')
            .map(|segment| match is_param(segment) {
                true => params.next().copied().unwrap_or_default(),
                false => segment,
            });
        segments.collect::<Vec<_>>().join("/")
    }
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method().as_str(), self.path())
    }
}

/// Path parameters, in path order.
pub type Params<'p> = Vec<&'p str>;

/// Reason for which a method and path resolve to no operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No operation has this path.
    NotFound,
    /// The path has operations, but only with these methods.
    MethodNotAllowed(Vec<Method>),
}

/// Resolves a method and path to an operation and the path's parameters.
///
/// # Errors
/// Returns `NotFound` for an unknown path and `MethodNotAllowed` where only the method is wrong.
pub fn resolve<'p>(method: &str, path: &'p str) -> Result<(Operation, Params<'p>), RouteError> {
    let mut allowed = Vec::new();
    for operation in Operation::ALL {
        let Some(params) = match_path(operation.path(), path) else {
            continue;
        };
        if operation.method().as_str() == method {
            return Ok((operation, params));
        }
        allowed.push(operation.method());
    }
    match allowed.is_empty() {
        true => Err(RouteError::NotFound),
        false => Err(RouteError::MethodNotAllowed(allowed)),
    }
}

fn match_path<'p>(pattern: &str, path: &'p str) -> Option<Params<'p>> {
    let mut params = Vec::new();
    let mut segments = path.split('/');
    for expected in pattern.split('/') {
        let segment = segments.next()?;
        match is_param(expected) {
            true if !segment.is_empty() => params.push(segment),
            false if segment == expected => {}
            _ => return None,
        }
    }
    segments.next().is_none().then_some(params)
}

fn is_param(segment: &str) -> bool {
    segment.starts_with('{')
}

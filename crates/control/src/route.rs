//! Registers authenticated calls on a router.

use std::sync::{Arc, OnceLock};

use hinge_link::{ClusterKey, serve_call};
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use viz::{IntoResponse, Request, Router};

use crate::operators::{Operator, OperatorKeys};

/// Shared state that is set once the instance is open; calls that arrive earlier get 503.
pub(crate) type StateCell<S> = Arc<OnceLock<Arc<S>>>;

/// Adds a peer call that is answered from shared state.
pub(crate) fn peer<S, Q, A, F, R>(
    router: Router,
    path: &str,
    key: &ClusterKey,
    state: &StateCell<S>,
    answer: F,
) -> Router
where
    S: Send + Sync + 'static,
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Fn(Arc<S>, Q) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Result<A, StatusCode>> + Send + 'static,
{
    let (key, state) = (key.clone(), Arc::clone(state));
    router.post(path, move |request: Request| {
        let (key, state) = (key.clone(), Arc::clone(&state));
        async move {
            let Some(state) = state.get().cloned() else {
                return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
            };
            serve_call(&key, request, |message| answer(state, message)).await
        }
    })
}

/// Adds an operator call; the operator's name is derived from the key.
pub(crate) fn operator<S, Q, A, F, R>(
    router: Router,
    path: &str,
    keys: &Arc<OperatorKeys>,
    state: &StateCell<S>,
    answer: F,
) -> Router
where
    S: Send + Sync + 'static,
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Fn(Arc<S>, Operator, Q) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Result<A, StatusCode>> + Send + 'static,
{
    let (keys, state) = (Arc::clone(keys), Arc::clone(state));
    router.post(path, move |request: Request| {
        let (keys, state) = (Arc::clone(&keys), Arc::clone(&state));
        async move {
            let Some(operator) = keys.find(request.headers()).cloned() else {
                return Ok(StatusCode::UNAUTHORIZED.into_response());
            };
            let Some(state) = state.get().cloned() else {
                return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
            };
            let key = operator.key.clone();
            serve_call(&key, request, |message| answer(state, operator, message)).await
        }
    })
}

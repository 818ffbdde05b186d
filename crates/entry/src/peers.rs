//! HTTP routes for other processes of the fleet, which fetch and push configurations.

use hinge_link::{ClusterKey, serve_call};
use hinge_schema::messages::{ConfigDelta, FetchConfig, FetchedConfig};
use viz::{Request, Router};

use hinge_member::Member;

/// Returns the routes for other processes.
#[must_use]
pub fn routes(key: &ClusterKey, member: &Member) -> Router {
    let (fetch_key, push_key) = (key.clone(), key.clone());
    let (fetch_member, push_member) = (member.clone(), member.clone());
    Router::new()
        .post("/v1/config/fetch", move |request: Request| {
            let (key, member) = (fetch_key.clone(), fetch_member.clone());
            async move {
                let fetch = |ask: FetchConfig| async move { Ok(member.answer_fetch(&ask)) };
                serve_call(&key, request, fetch).await
            }
        })
        .post("/v1/config/push", move |request: Request| {
            let (key, member) = (push_key.clone(), push_member.clone());
            async move {
                let take = |delta: ConfigDelta| async move { Ok(push(&member, delta).await) };
                serve_call(&key, request, take).await
            }
        })
}

/// Applies a pushed configuration, and returns a newer one if the peer lacks it.
///
/// The merge does not run on the threads that stream answers.
async fn push(member: &Member, delta: ConfigDelta) -> FetchedConfig {
    let config_version = delta.version;
    // The version in the reply shows whether it was applied.
    let _applied = member.apply_config_off_thread(delta).await;
    member.answer_fetch(&FetchConfig { config_version })
}

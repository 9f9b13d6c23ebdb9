//! Cached replies to operator requests, which make resending a request idempotent.

use std::collections::VecDeque;

use sassafras_util::FastMap;

use crate::Reply;

/// Number of requests whose replies are kept.
pub const MAX_CACHED_REPLIES: usize = 10_000;

/// The name of an operator and the ID of one of the operator's requests.
pub(crate) type RequestKey = (Box<str>, Box<str>);

/// The first reply to each request, evicted in insertion order.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ReplyCache {
    order: VecDeque<RequestKey>,
    replies: FastMap<RequestKey, Reply>,
}

impl ReplyCache {
    pub(crate) fn get(&self, operator: &str, request: &str) -> Option<&Reply> {
        self.replies.get(&(operator.into(), request.into()))
    }

    pub(crate) fn insert(&mut self, operator: &str, request: &str, reply: Reply) {
        let key: RequestKey = (operator.into(), request.into());
        if self.replies.insert(key.clone(), reply).is_some() {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > MAX_CACHED_REPLIES
            && let Some(oldest) = self.order.pop_front()
        {
            self.replies.remove(&oldest);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RequestKey, &Reply)> {
        self.order
            .iter()
            .filter_map(|key| Some((key, self.replies.get(key)?)))
    }
}

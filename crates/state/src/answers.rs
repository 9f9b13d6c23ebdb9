//! The first answers to operators' requests, for those who resend after a lost answer.

use std::collections::VecDeque;

use sassafras_util::FastMap;

use crate::Reply;

/// Request ids that are remembered.
pub const MAX_CACHED_REPLIES: usize = 10_000;

/// An operator's name and a request id of that operator.
pub(crate) type Request = (Box<str>, Box<str>);

/// The first answers, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Answers {
    order: VecDeque<Request>,
    replies: FastMap<Request, Reply>,
}

impl Answers {
    pub(crate) fn get(&self, operator: &str, request: &str) -> Option<&Reply> {
        self.replies.get(&(operator.into(), request.into()))
    }

    pub(crate) fn insert(&mut self, operator: &str, request: &str, reply: Reply) {
        let key: Request = (operator.into(), request.into());
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

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Request, &Reply)> {
        self.order
            .iter()
            .filter_map(|key| Some((key, self.replies.get(key)?)))
    }
}

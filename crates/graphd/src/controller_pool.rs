//! Questions to the controllers, put by threads that may wait, for a thread that must not.

use crate::constants::{ASKERS, QUEUE};
use crossbeam::channel::{Receiver, Sender, bounded};
use oatloom_client::Controllers;
use oatloom_web::client::Answer;
use tokio::sync::oneshot;

/// A question and where its answer goes.
struct Question {
    method: &'static str,
    path: String,
    body: Vec<u8>,
    answer: oneshot::Sender<Option<Answer>>,
}

/// Why a question was not put.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many questions wait")]
pub struct Full;

/// The threads that ask.
#[derive(Clone, Debug)]
pub struct Asker {
    questions: Sender<Question>,
}

impl Asker {
    /// Starts the threads.
    ///
    /// # Errors
    /// No thread can be had.
    pub fn start(controllers: &Controllers) -> std::io::Result<Self> {
        let (questions, queue) = bounded::<Question>(QUEUE);
        for _ in 0..ASKERS {
            let (queue, mut controllers) = (queue.clone(), controllers.clone());
            std::thread::Builder::new()
                .name("asker".into())
                .spawn(move || ask(&queue, &mut controllers))?;
        }
        Ok(Self { questions })
    }

    /// Asks; `None`: no controller has answered.
    ///
    /// # Errors
    /// Too many questions wait already.
    pub async fn ask(
        &self,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) -> Result<Option<Answer>, Full> {
        let (answer, told) = oneshot::channel();
        let question = Question { method, path, body, answer };
        self.questions.try_send(question).map_err(|_| Full)?;
        Ok(told.await.unwrap_or_default())
    }
}

/// Each controller is tried once; one that cannot answer now is passed over.
fn ask(queue: &Receiver<Question>, controllers: &mut Controllers) {
    while let Ok(Question { method, path, body, answer }) = queue.recv() {
        // Its caller may have gone, or its deadline passed.
        if answer.is_closed() {
            continue;
        }
        let mut said = None;
        for _ in 0..controllers.len() {
            let next = controllers.ask_next(method, &path, &body);
            let counts = next.as_ref().is_some_and(|a| a.status != 503);
            said = next.or(said);
            if counts || answer.is_closed() {
                break;
            }
        }
        let _ = answer.send(said);
    }
}

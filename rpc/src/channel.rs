//! The host's side: a channel for tonic and tower, and a plain API. Nothing here waits for the engine's thread, and
//! nothing of the host's reaches it: what a host gives is copied, its bodies are read and its wakers woken elsewhere.

use crate::front::Job;
use crate::front::NEVER_RAN;
use crate::grpc::{framed, Answer, Code, Pushback};
use crate::plugin::{unloaded, Command};
use crate::service::ServiceConfig;
use crate::slot::{Slot, Wakers};
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Collected, Either, Limited};
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::process;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tower_service::Service;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The way to the engine's thread.
#[derive(Clone, Debug)]
pub struct Way {
    pub commands: UnboundedSender<Command>,
    pub wakers: Wakers,
    /// One reference for each open call, and this one.
    pub open: Arc<()>,
    pub most: usize,
}

#[derive(Debug)]
struct Inner {
    way: Way,
    config: Arc<ServiceConfig>,
    closed: AtomicBool,
    /// The process that the engine's thread is in.
    process: u32,
}

/// Gives calls to a [`crate::Plugin`]; cheap to clone, for any thread. It outlives the plug-in: what comes after that
/// is refused at once.
#[derive(Clone, Debug)]
pub struct Channel(Arc<Inner>);

/// A call of the plain API.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// `/package.Service/Method`.
    pub path: String,
    /// Its metadata.
    pub metadata: HeaderMap,
    /// Its one message, without a frame.
    pub message: Vec<u8>,
    /// How long its caller waits; `None`: as its method's config says.
    pub timeout: Option<Duration>,
}

/// A call that waits for its answer. Dropped, the call is given up and what is out of it is called off.
#[derive(Debug)]
#[must_use = "dropped, the call is given up"]
pub struct Pending {
    slot: Slot,
    _alive: oneshot::Sender<()>,
}

impl Pending {
    /// Blocks this thread until the answer is there.
    pub fn wait(self) -> Answer {
        pollster::block_on(self)
    }
}

impl Future for Pending {
    type Output = Answer;

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Answer> {
        self.slot.poll(context.waker())
    }
}

impl Channel {
    pub(crate) fn new(way: Way, config: Arc<ServiceConfig>) -> Channel {
        Channel(Arc::new(Inner { way, config, closed: AtomicBool::new(false), process: process::id() }))
    }

    pub(crate) fn close(&self) {
        self.0.closed.store(true, Ordering::Release);
    }

    /// Calls that are open.
    pub fn open(&self) -> usize {
        Arc::strong_count(&self.0.way.open) - 1
    }

    /// Takes a call in, at once, and whatever becomes of it: its answer is there in time, whenever it is looked for.
    pub fn request(&self, request: Request) -> Pending {
        let Request { path, mut metadata, message, timeout } = request;
        if let Some(timeout) = timeout {
            metadata.insert(crate::grpc::TIMEOUT, crate::grpc::timeout_value(timeout));
        }
        let body = framed(&message);
        match PathAndQuery::try_from(path) {
            Ok(path) if body.len() <= self.0.config.message_most => {
                self.submit(path, copied(&metadata), body, Instant::now())
            }
            Ok(_) => self.answered(too_long()),
            Err(error) => self.answered(refusal(Code::InvalidArgument, &error.to_string(), Pushback::Never)),
        }
    }

    fn submit(&self, path: PathAndQuery, headers: HeaderMap, body: Bytes, arrived: Instant) -> Pending {
        let Inner { way, closed, process: own, .. } = &*self.0;
        if closed.load(Ordering::Acquire) {
            return self.answered(unloaded());
        }
        if *own != process::id() {
            let reason = "this process was forked from the plug-in's, whose engine it has not; start another";
            return self.answered(refusal(Code::FailedPrecondition, reason, Pushback::Never));
        }
        let open = way.open.clone();
        if Arc::strong_count(&open) > way.most + 1 {
            let reason = "too many calls are open";
            return self.answered(refusal(
                Code::Unavailable,
                reason,
                Pushback::After(Duration::from_millis(100)),
            ));
        }
        let (slot, filler) = Slot::new(&way.wakers, unloaded);
        let (alive_here, alive) = oneshot::channel();
        let job = Job { path, headers, body, arrived, filler, alive, open };
        // Where the thread has ended the job is dropped, and thus answered.
        drop(way.commands.send(Command::Call(Box::new(job))));
        Pending { slot, _alive: alive_here }
    }

    /// A call that needs no engine.
    fn answered(&self, answer: Answer) -> Pending {
        let (slot, filler) = Slot::new(&self.0.way.wakers, unloaded);
        filler.fill(answer);
        Pending { slot, _alive: oneshot::channel().0 }
    }
}

fn refusal(code: Code, reason: &str, pushback: Pushback) -> Answer {
    Answer::of(code, reason, Some(NEVER_RAN), pushback)
}

fn too_long() -> Answer {
    refusal(Code::ResourceExhausted, "the request is longer than flaxhead.maxMessageBytes", Pushback::Never)
}

/// The same fields in memory of our own: what a host's buffers do when they are dropped is the host's code.
fn copied(headers: &HeaderMap) -> HeaderMap {
    let mut own = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        // Both were a name and a value before.
        let (Ok(name), Ok(mut copy)) =
            (HeaderName::from_bytes(name.as_str().as_bytes()), HeaderValue::from_bytes(value.as_bytes()))
        else {
            continue;
        };
        copy.set_sensitive(value.is_sensitive());
        own.append(name, copy);
    }
    own
}

/// An answer's messages and trailers.
#[derive(Debug, Default)]
pub struct AnswerBody {
    data: Option<Bytes>,
    trailers: Option<HeaderMap>,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let data = self.data.take().map(Frame::data);
        Poll::Ready(data.or_else(|| self.trailers.take().map(Frame::trailers)).map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none() && self.trailers.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.len() as u64))
    }
}

fn response(answer: Answer) -> Response<AnswerBody> {
    let Answer { headers, body, trailers } = answer;
    let body = AnswerBody { data: Some(body).filter(|body| !body.is_empty()), trailers };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::OK;
    *response.version_mut() = http::Version::HTTP_2;
    *response.headers_mut() = headers;
    response
}

type Collecting<B> = Pin<Box<dyn Future<Output = Result<Collected<<B as Body>::Data>, BoxError>> + Send>>;

enum Stage<B: Body> {
    Collect(Channel, PathAndQuery, HeaderMap, Instant, Collecting<B>),
    Wait(Pending),
    Done,
}

/// The answer to a call of a tower client. It never fails: what goes wrong is a gRPC status.
#[must_use = "dropped, the call is given up"]
pub struct ResponseFuture<B: Body>(Stage<B>);

// Nothing in it is pinned but what is boxed.
impl<B: Body> Unpin for ResponseFuture<B> {}

impl<B: Body> ResponseFuture<B> {
    /// Hands the call over if its request is there whole.
    fn step(&mut self, context: &mut Context<'_>) {
        let Stage::Collect(_, _, _, _, collecting) = &mut self.0 else { return };
        let Poll::Ready(collected) = collecting.as_mut().poll(context) else { return };
        if let Stage::Collect(channel, path, headers, arrived, _) =
            std::mem::replace(&mut self.0, Stage::Done)
        {
            self.0 = Stage::Wait(match collected {
                Ok(whole) => {
                    // Copied: see `copied`.
                    let body = Bytes::copy_from_slice(&whole.to_bytes());
                    channel.submit(path, headers, body, arrived)
                }
                Err(error) if error.is::<http_body_util::LengthLimitError>() => channel.answered(too_long()),
                Err(error) => {
                    let reason = format!("the request's body broke: {error}");
                    channel.answered(refusal(Code::Cancelled, &reason, Pushback::Never))
                }
            });
        }
    }
}

impl<B: Body> Future for ResponseFuture<B> {
    type Output = Result<Response<AnswerBody>, Infallible>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        self.step(context);
        match &mut self.0 {
            Stage::Wait(pending) => Pin::new(pending).poll(context).map(|answer| Ok(response(answer))),
            Stage::Collect(..) | Stage::Done => Poll::Pending,
        }
    }
}

impl<B> Service<http::Request<B>> for Channel
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<BoxError>,
{
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = ResponseFuture<B>;

    /// Always ready: what cannot be taken is refused at once.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<B>) -> ResponseFuture<B> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let path = head.uri.path_and_query().and_then(|path| PathAndQuery::try_from(path.as_str()).ok());
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let collecting = Box::pin(Limited::new(body, self.0.config.message_most).collect());
        let mut future =
            ResponseFuture(Stage::Collect(self.clone(), path, copied(&head.headers), arrived, collecting));
        // A request that is there whole is handed over now: its host may block before it looks again.
        future.step(&mut Context::from_waker(Waker::noop()));
        future
    }
}

/// Sends the methods that have a class through the plug-in and all others, such as those that stream, on as before.
#[derive(Clone, Debug)]
pub struct PluginLayer(Channel);

impl PluginLayer {
    /// A layer over a channel.
    pub fn new(channel: Channel) -> PluginLayer {
        PluginLayer(channel)
    }
}

impl<S> tower_layer::Layer<S> for PluginLayer {
    type Service = Routed<S>;

    fn layer(&self, other: S) -> Routed<S> {
        Routed { channel: self.0.clone(), other }
    }
}

/// What [`PluginLayer`] makes of a service.
#[derive(Clone, Debug)]
pub struct Routed<S> {
    channel: Channel,
    other: S,
}

impl<S, B, A> Service<http::Request<B>> for Routed<S>
where
    S: Service<http::Request<B>, Response = Response<A>>,
    S::Future: Send + 'static,
    S::Error: 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<BoxError>,
    A: Body<Data = Bytes> + 'static,
{
    type Response = Response<Either<AnswerBody, A>>;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, S::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.other.poll_ready(context)
    }

    fn call(&mut self, request: http::Request<B>) -> Self::Future {
        if self.channel.0.config.method(request.uri().path()).is_some() {
            let answer = self.channel.call(request);
            Box::pin(async move {
                let answer = match answer.await {
                    Ok(answer) => answer,
                    Err(never) => match never {},
                };
                Ok(answer.map(Either::Left))
            })
        } else {
            let answer = self.other.call(request);
            Box::pin(async move { Ok(answer.await?.map(Either::Right)) })
        }
    }
}

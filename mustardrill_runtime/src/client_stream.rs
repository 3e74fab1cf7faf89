//! The stream of a client's connection, which reports what the client makes the process hold.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use mustardrill_types::ByteSize;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::WaitForCancellationFutureOwned;
use tonic::transport::server::{Connected, TcpConnectInfo};

use crate::client_connections::{AdmittedConnection, ClientConnection};

/// Bytes of a head that fit into the first buffer of a connection.
const FIRST_BUFFER: usize = 8 << 10;

/// The most bytes of one read: hyper enlarges a connection's buffer after a read that fills it.
const MAX_READ: usize = FIRST_BUFFER - 1;

/// How the requests of a connection are told from each other.
#[derive(Debug)]
enum RequestFraming {
    /// One request after the other.
    Serial {
        /// The longest head.
        head_limit: ByteSize,
        /// Set from the end of a request's head to the end of its answer.
        is_serving: Arc<AtomicBool>,
    },
    /// Any number of requests at once.
    Multiplexed {
        /// Ready once the connection has to be closed.
        closed: Pin<Box<WaitForCancellationFutureOwned>>,
        /// Frees the connection's place when it is dropped.
        _admitted: AdmittedConnection,
    },
}

/// A connection to a client.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    client: ClientConnection,
    framing: RequestFraming,
    head_bytes: usize,
    has_reserved: bool,
    is_blocked: bool,
}

impl ClientStream {
    /// Wraps a connection that carries one request after the other, with heads of at most
    /// `head_limit` bytes. `is_serving` is set from the end of a request's head to the end of its
    /// answer.
    pub fn serial(
        stream: TcpStream,
        client: ClientConnection,
        head_limit: ByteSize,
        is_serving: Arc<AtomicBool>,
    ) -> Self {
        Self::new(stream, client, RequestFraming::Serial { head_limit, is_serving })
    }

    /// Wraps a connection that carries any number of requests at once. It ends by itself when it has
    /// to be closed, as its server owns it.
    pub fn multiplexed(stream: TcpStream, admitted: AdmittedConnection) -> Self {
        let client = admitted.client().clone();
        let closed = Box::pin(admitted.closer().cancelled_owned());
        Self::new(stream, client, RequestFraming::Multiplexed { closed, _admitted: admitted })
    }

    fn new(stream: TcpStream, client: ClientConnection, framing: RequestFraming) -> Self {
        let (head_bytes, has_reserved, is_blocked) = (0, false, false);
        Self { stream, client, framing, head_bytes, has_reserved, is_blocked }
    }

    /// Fails once the connection has to be closed.
    fn check_open(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        if let RequestFraming::Multiplexed { closed, .. } = &mut self.framing
            && closed.as_mut().poll(context).is_ready()
        {
            let reason = "closed to free its place";
            return Err(io::Error::new(io::ErrorKind::ConnectionAborted, reason));
        }
        Ok(())
    }

    /// Counts what was read; fails where there is no memory for a large head.
    fn record_read(&mut self, bytes: usize) -> io::Result<()> {
        match &self.framing {
            RequestFraming::Multiplexed { .. } => self.client.end_request(),
            RequestFraming::Serial { is_serving, .. } if is_serving.load(Ordering::Relaxed) => {
                self.head_bytes = 0;
            }
            RequestFraming::Serial { head_limit, .. } => {
                self.head_bytes += bytes;
                if self.head_bytes > FIRST_BUFFER && !self.has_reserved {
                    // While a buffer grows, its old and its new memory are both in use.
                    let size = ByteSize(2 * head_limit.0);
                    self.has_reserved = self.client.reserve_head(size);
                    if !self.has_reserved {
                        return Err(io::Error::other("no memory for the head of a request"));
                    }
                }
            }
        }
        Ok(())
    }

    fn record_write<T>(&mut self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if written.is_pending() != self.is_blocked {
            self.is_blocked = written.is_pending();
            self.client.record_block(self.is_blocked);
        }
        written
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_open(context)?;
        let filled = buffer.filled().len();
        match self.framing {
            RequestFraming::Multiplexed { .. } => {
                ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
            }
            RequestFraming::Serial { .. } => {
                let length = buffer.remaining().min(MAX_READ);
                let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
                ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
                let bytes = part.filled().len();
                buffer.advance(bytes);
            }
        }
        let bytes = buffer.filled().len() - filled;
        Poll::Ready(self.record_read(bytes))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Connected for ClientStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

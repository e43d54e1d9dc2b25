//! A codec for messages as they are.

use bytes::{Buf, BufMut};
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tonic::Status;

/// Messages as they are.
#[derive(Clone, Copy, Default)]
pub struct Plain;

impl Codec for Plain {
    type Encode = Vec<u8>;
    type Decode = Vec<u8>;
    type Encoder = Plain;
    type Decoder = Plain;

    fn encoder(&mut self) -> Plain {
        Plain
    }

    fn decoder(&mut self) -> Plain {
        Plain
    }
}

impl Encoder for Plain {
    type Item = Vec<u8>;
    type Error = Status;

    fn encode(&mut self, item: Vec<u8>, to: &mut EncodeBuf<'_>) -> Result<(), Status> {
        to.put_slice(&item);
        Ok(())
    }
}

impl Decoder for Plain {
    type Item = Vec<u8>;
    type Error = Status;

    fn decode(&mut self, from: &mut DecodeBuf<'_>) -> Result<Option<Vec<u8>>, Status> {
        Ok(Some(from.copy_to_bytes(from.remaining()).to_vec()))
    }
}

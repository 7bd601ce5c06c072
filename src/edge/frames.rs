//! Messages between controllers on a stream: length in four bytes, then CBOR.

use crate::constants::FRAME_BYTES;
use serde::Serialize;
use std::io::{Read, Write};

/// A frame: length in four bytes, then CBOR.
pub fn write_frame(out: &mut impl Write, message: &impl Serialize) -> std::io::Result<()> {
    let mut frame = vec![0; 4];
    ciborium::into_writer(message, &mut frame).map_err(std::io::Error::other)?;
    let length = (frame.len() - 4) as u32;
    frame[..4].copy_from_slice(&length.to_be_bytes());
    out.write_all(&frame)
}

pub fn read_frame<T: serde::de::DeserializeOwned>(input: &mut impl Read) -> std::io::Result<T> {
    let mut length = [0; 4];
    input.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > FRAME_BYTES {
        return Err(std::io::Error::other("frame too long"));
    }
    let mut frame = vec![0; length];
    input.read_exact(&mut frame)?;
    ciborium::from_reader(frame.as_slice()).map_err(std::io::Error::other)
}

#[cfg(test)]
mod tests {
    use super::*;
    use oatloom_core::mesh::{PeerRequest, PeerRequestFrame};
    use oatloom_protocol::ids::JobId;

    #[test]
    fn frames_survive_the_trip_and_long_ones_are_refused() {
        let asked = PeerRequestFrame { id: 7, request: PeerRequest::Abort(JobId::new("req-1")) };
        let mut wire = Vec::new();
        write_frame(&mut wire, &asked).unwrap();
        assert_eq!(read_frame::<PeerRequestFrame>(&mut wire.as_slice()).unwrap(), asked);
        assert!(read_frame::<PeerRequestFrame>(&mut &wire[..wire.len() - 1]).is_err());
        assert!(read_frame::<PeerRequestFrame>(&mut &[0xff; 8][..]).is_err());
    }
}

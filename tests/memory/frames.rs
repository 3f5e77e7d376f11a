//! Frames between the processes of the system: how they are split, and what counts of them while they arrive.

use bytes::{Bytes, BytesMut};
use gentianpass::inbound::{Arrival, FrameCodec};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

const CODEC: FrameCodec = FrameCodec { max_bytes: 100_000 };

fn encoded(frames: &[Vec<u8>]) -> BytesMut {
    let mut bytes = BytesMut::new();
    for frame in frames {
        CODEC.clone().encode(Bytes::from(frame.clone()), &mut bytes).expect("a frame");
    }
    bytes
}

#[test]
fn codec_splits_pieces() {
    let frames = [vec![], vec![1], vec![2; 300], vec![3; 50_000], vec![4; 5]];
    let bytes = encoded(&frames);
    for piece_bytes in [1, 3, 4, 1_000, bytes.len()] {
        let (mut src, mut decoded) = (BytesMut::new(), Vec::new());
        for piece in bytes.chunks(piece_bytes) {
            src.extend_from_slice(piece);
            while let Some(frame) = CODEC.clone().decode(&mut src).expect("valid") {
                decoded.push(frame.to_vec());
            }
        }
        assert_eq!((decoded, src.len()), (frames.to_vec(), 0), "pieces of {piece_bytes}");
    }
}

#[test]
fn codec_reads_length_delimited() {
    let mut bytes = BytesMut::new();
    LengthDelimitedCodec::new().encode(Bytes::from_static(b"abc"), &mut bytes).expect("a frame");
    assert_eq!(bytes, encoded(&[b"abc".to_vec()]));
    assert_eq!(CODEC.clone().decode(&mut bytes).expect("valid").expect("whole"), &b"abc"[..]);
}

#[test]
fn codec_rejects_long_frames() {
    let length = u32::try_from(CODEC.max_bytes + 1).expect("short").to_be_bytes();
    let err = CODEC.clone().decode(&mut BytesMut::from(&length[..])).expect_err("too long");
    assert_eq!(err.kind(), std::io::ErrorKind::InvalidData);
    let long = Bytes::from(vec![0; CODEC.max_bytes + 1]);
    assert!(CODEC.clone().encode(long, &mut BytesMut::new()).is_err());
}

/// Guards against memory that is taken for the announced length of a frame.
#[test]
fn codec_takes_what_arrives() {
    let mut src = encoded(&[vec![0; 90_000]]);
    src.truncate(10);
    let mut src = BytesMut::from(&src[..]);
    assert_eq!(CODEC.clone().decode(&mut src).expect("valid"), None);
    assert!(src.capacity() < 1_000, "{}", src.capacity());
}

/// Guards against an idle connection that keeps the buffer of a long frame.
#[test]
fn codec_gives_up_long_buffers() {
    let mut src = encoded(&[vec![0; 90_000], vec![1]]);
    drop(CODEC.clone().decode(&mut src).expect("valid"));
    assert!(src.capacity() < 1_000, "{}", src.capacity());
    assert_eq!(CODEC.clone().decode(&mut src).expect("valid").expect("whole"), &[1][..]);
}

#[test]
fn arrival_counts_unfinished() {
    let bytes = encoded(&[vec![0; 300], vec![], vec![1; 700]]);
    for piece_bytes in [1, 3, 4, 100, 304, 305, bytes.len()] {
        let (mut arrival, mut ended, mut taken) = (Arrival::default(), 0, 0);
        for piece in bytes[..bytes.len() - 1].chunks(piece_bytes) {
            taken += piece.len();
            ended += u32::from(arrival.advance(piece));
            let expected = match taken {
                0..=4 => 0,
                5..=303 => taken - 4,
                304..=312 => 0,
                _ => taken - 312,
            };
            assert_eq!(arrival.arrived(), expected, "{taken} in pieces of {piece_bytes}");
        }
        assert!(ended >= 1, "pieces of {piece_bytes}");
        assert!(arrival.advance(&[1]) && arrival == Arrival::default());
    }
}

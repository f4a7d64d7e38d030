use proptest::prelude::*;

use super::*;

#[test]
fn a_request_id_prefix_covers_its_request_and_no_neighbouring_id() {
    let request_id = RequestId::from_u128((7 << 64) | 5);
    let (low, high) = RequestIdPrefix::of(request_id).range();
    assert!((low..=high).contains(&request_id));
    assert!(!(low..=high).contains(&RequestId::from_u128(8 << 64)));
    assert!(!(low..=high).contains(&RequestId::from_u128((7 << 64) - 1)));
}

#[test]
fn the_maximum_number_of_renewals_fits_one_datagram() {
    let prefix = RequestIdPrefix::of(RequestId::generate());
    let query = QueryDatagram {
        sequence: u64::MAX,
        query: DatagramQuery::Renew(vec![prefix; MAX_RENEWED]),
    };
    assert!(query.encode().len() + 32 <= MAX_QUERY_BYTES);
}

proptest! {
    #[test]
    fn any_bytes_decode_to_a_message_that_survives_encoding_or_to_none(
        content in proptest::collection::vec(any::<u8>(), 0..256),
    ) {
        // One number has several varint encodings, so the test compares messages, not bytes.
        if let Some(query) = QueryDatagram::decode(&content) {
            prop_assert_eq!(QueryDatagram::decode(&query.encode()), Some(query));
        }
        if let Some(reply) = ReplyDatagram::decode(&content) {
            prop_assert_eq!(ReplyDatagram::decode(&reply.encode()), Some(reply));
        }
    }

    #[test]
    fn a_truncated_or_lengthened_query_does_not_decode(count in 0..64_usize, sequence: u64, cut: prop::sample::Index) {
        let prefixes = vec![RequestIdPrefix::of(RequestId::from_u128(u128::from(sequence) << 64)); count];
        let query = QueryDatagram { sequence, query: DatagramQuery::Renew(prefixes) };
        let bytes = query.encode();
        prop_assert_eq!(QueryDatagram::decode(&bytes[..cut.index(bytes.len())]), None);
        prop_assert_eq!(QueryDatagram::decode(&[&bytes[..], &[0]].concat()), None);
        prop_assert_eq!(QueryDatagram::decode(&bytes), Some(query));
    }
}

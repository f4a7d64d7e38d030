use proptest::prelude::*;

use super::*;

#[test]
fn a_short_name_spans_its_request_and_no_neighbour() {
    let request_id = RequestId::from_u128((7 << 64) | 5);
    let (low, high) = RequestIdPrefix::of(request_id).range();
    assert!((low..=high).contains(&request_id));
    assert!(!(low..=high).contains(&RequestId::from_u128(8 << 64)));
    assert!(!(low..=high).contains(&RequestId::from_u128((7 << 64) - 1)));
}

#[test]
fn the_most_renewals_fit_one_datagram() {
    let name = RequestIdPrefix::of(RequestId::generate());
    let ask = QueryDatagram {
        sequence: u64::MAX,
        query: DatagramQuery::Renew(vec![name; MAX_RENEWED]),
    };
    assert!(ask.encode().len() + 32 <= MAX_QUERY_BYTES);
}

proptest! {
    #[test]
    fn any_bytes_decode_to_a_message_of_these_bytes_or_to_none(
        content in proptest::collection::vec(any::<u8>(), 0..256),
    ) {
        // Varints have several spellings, so the message is compared, not its bytes.
        if let Some(ask) = QueryDatagram::decode(&content) {
            prop_assert_eq!(QueryDatagram::decode(&ask.encode()), Some(ask));
        }
        if let Some(reply) = ReplyDatagram::decode(&content) {
            prop_assert_eq!(ReplyDatagram::decode(&reply.encode()), Some(reply));
        }
    }

    #[test]
    fn a_cut_or_lengthened_ask_is_none(count in 0..64_usize, sequence: u64, cut: prop::sample::Index) {
        let names = vec![RequestIdPrefix::of(RequestId::from_u128(u128::from(sequence) << 64)); count];
        let ask = QueryDatagram { sequence, query: DatagramQuery::Renew(names) };
        let bytes = ask.encode();
        prop_assert_eq!(QueryDatagram::decode(&bytes[..cut.index(bytes.len())]), None);
        prop_assert_eq!(QueryDatagram::decode(&[&bytes[..], &[0]].concat()), None);
        prop_assert_eq!(QueryDatagram::decode(&bytes), Some(ask));
    }
}

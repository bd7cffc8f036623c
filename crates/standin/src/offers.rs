//! Offers as viewers and publishers make them, each with ICE credentials of its own.

/// A fingerprint in the right form; stand-ins start no DTLS.
pub fn fingerprint(seed: u64) -> String {
    let byte = |i: u64| {
        let mut z =
            seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(i.wrapping_mul(0xBF58_476D_1CE4_E5B9));
        z ^= z >> 31;
        format!("{:02X}", (z >> 17) as u8)
    };
    format!("sha-256 {}", (0..32).map(byte).collect::<Vec<_>>().join(":"))
}

/// An offer: `publish` sends media, otherwise it receives. `viewer` fixes the certificate, `attempt` the ICE
/// credentials; `limit_kb` is the highest rate that the viewer takes, in kB a second.
pub fn offer(publish: bool, viewer: u64, attempt: u64, limit_kb: Option<f64>) -> String {
    let way = if publish { "sendonly" } else { "recvonly" };
    let common = format!(
        "a=rtcp:9 IN IP4 0.0.0.0\r\na=ice-ufrag:{}\r\na=ice-pwd:{:024x}\r\na=ice-options:trickle\r\n\
         a=fingerprint:{}\r\na=setup:actpass\r\na={way}\r\na=rtcp-mux\r\n",
        ufrag(attempt),
        attempt,
        fingerprint(viewer)
    );
    let limit = limit_kb.map_or(String::new(), |kb| format!("b=TIAS:{}\r\n", (kb * 8000.0) as u64));
    format!(
        "v=0\r\no=- {attempt} 2 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0 1\r\n\
         m=audio 9 UDP/TLS/RTP/SAVPF 111\r\nc=IN IP4 0.0.0.0\r\n{common}a=mid:0\r\na=rtpmap:111 opus/48000/2\r\n\
         m=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 0.0.0.0\r\n{limit}{common}a=mid:1\r\na=rtcp-rsize\r\n\
         a=rtpmap:96 VP8/90000\r\n"
    )
}

/// The ICE user name fragment of an attempt: what joins a viewer's request to a box's.
pub fn ufrag(attempt: u64) -> String {
    format!("v{attempt:08x}")
}

//! Bearer entitlements of viewers: signed JSON web tokens (RFC 7519, RFC 7515), checked as RFC 8725 advises.
//!
//! The algorithm belongs to the key, not to the token: a token whose header names another one is refused, `none` and
//! the mixing of symmetric and asymmetric keys among them. Keys have ids; several may be in force while they rotate.

use jsonwebtoken::{Algorithm, DecodingKey, Validation, decode, decode_header, errors::ErrorKind};
use serde::Deserialize;
use std::collections::HashMap;

/// Bytes of a token at most.
pub const MAX_TOKEN: usize = 8192;

/// A key in force.
#[derive(Clone)]
pub struct TokenKey {
    algorithm: Algorithm,
    key: DecodingKey,
    /// It counts from then on, in Unix seconds.
    pub from: u64,
    /// It counts until then, in Unix seconds.
    pub until: u64,
}

impl TokenKey {
    /// A shared secret for HMAC with SHA-256; 32 bytes at least (RFC 7518 section 3.2).
    pub fn hmac(secret: &[u8], from: u64, until: u64) -> Option<Self> {
        let key = DecodingKey::from_secret(secret);
        (secret.len() >= 32).then_some(TokenKey { algorithm: Algorithm::HS256, key, from, until })
    }

    /// A public key for EdDSA with Ed25519, in PEM.
    pub fn ed25519(pem: &[u8], from: u64, until: u64) -> Option<Self> {
        let key = DecodingKey::from_ed_pem(pem).ok()?;
        Some(TokenKey { algorithm: Algorithm::EdDSA, key, from, until })
    }

    /// A public key for ECDSA with P-256 and SHA-256, in PEM.
    pub fn es256(pem: &[u8], from: u64, until: u64) -> Option<Self> {
        let key = DecodingKey::from_ec_pem(pem).ok()?;
        Some(TokenKey { algorithm: Algorithm::ES256, key, from, until })
    }
}

/// Why a token is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// It is no token, or larger than the bound.
    Malformed,
    /// No key of its id is in force.
    UnknownKey,
    /// Its algorithm is not its key's.
    Algorithm,
    /// Its signature does not hold.
    Signature,
    /// It has run out.
    Expired,
    /// It does not count yet.
    Early,
    /// It is for somebody else.
    Audience,
    /// It does not entitle to the title or class.
    Entitlement,
}

/// What a token entitles to.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Claims {
    /// Who it was given to.
    #[serde(default)]
    pub sub: String,
    /// When it runs out, in Unix seconds.
    pub exp: u64,
    /// Titles that it entitles to; `*`: all.
    #[serde(default)]
    pub titles: Vec<String>,
    /// Classes that it entitles to; empty: all.
    #[serde(default)]
    pub classes: Vec<String>,
}

/// Checks tokens.
#[derive(Clone, Default)]
pub struct Checker {
    keys: HashMap<String, TokenKey>,
    /// Tokens must name this audience.
    pub audience: String,
    /// Clocks may differ by so many seconds.
    pub leeway: u64,
}

impl Checker {
    /// A checker without keys.
    pub fn new(audience: &str, leeway: u64) -> Self {
        Checker { keys: HashMap::new(), audience: audience.into(), leeway }
    }

    /// Puts a key in force under an id.
    pub fn put(&mut self, id: &str, key: TokenKey) {
        self.keys.insert(id.into(), key);
    }

    /// Takes a key out of force.
    pub fn remove(&mut self, id: &str) {
        self.keys.remove(id);
    }

    /// Checks a token at a Unix time, for a title and class.
    pub fn check(&self, token: &str, now: u64, title: &str, class: &str) -> Result<Claims, Denied> {
        if token.len() > MAX_TOKEN {
            return Err(Denied::Malformed);
        }
        let header = decode_header(token).map_err(|e| match e.kind() {
            // An algorithm that the library does not know, `none` among them.
            ErrorKind::Json(_) | ErrorKind::InvalidAlgorithmName => Denied::Algorithm,
            _ => Denied::Malformed,
        })?;
        let id = header.kid.as_deref().ok_or(Denied::UnknownKey)?;
        let key = self.keys.get(id).ok_or(Denied::UnknownKey)?;
        if now + self.leeway < key.from || now > key.until + self.leeway {
            return Err(Denied::UnknownKey);
        }
        if header.alg != key.algorithm {
            return Err(Denied::Algorithm);
        }
        let mut validation = Validation::new(key.algorithm);
        validation.set_audience(&[&self.audience]);
        validation.set_required_spec_claims(&["exp", "aud"]);
        // Times are checked below, against the time that was given.
        (validation.validate_exp, validation.validate_nbf) = (false, false);
        let data = decode::<serde_json::Value>(token, &key.key, &validation).map_err(|e| match e.kind() {
            ErrorKind::InvalidSignature => Denied::Signature,
            ErrorKind::InvalidAudience => Denied::Audience,
            ErrorKind::MissingRequiredClaim(c) if c == "aud" => Denied::Audience,
            _ => Denied::Malformed,
        })?;
        let early = data.claims.get("nbf").map(|n| n.as_u64().ok_or(Denied::Malformed)).transpose()?;
        let claims: Claims = serde_json::from_value(data.claims).map_err(|_| Denied::Malformed)?;
        if now > claims.exp.saturating_add(self.leeway) {
            return Err(Denied::Expired);
        }
        if early.is_some_and(|n| now + self.leeway < n) {
            return Err(Denied::Early);
        }
        let titled = claims.titles.iter().any(|t| t == "*" || t == title);
        let classed = claims.classes.is_empty() || claims.classes.iter().any(|c| c == class);
        if titled && classed { Ok(claims) } else { Err(Denied::Entitlement) }
    }
}

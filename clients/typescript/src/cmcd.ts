/** What a player tells of itself (CTA-5004, version 2): the keys that this client sends. */
export interface Told {
  /** Buffer, ms. */
  readonly bl?: number | undefined;
  /** Rate of the object asked for, kbit/s. */
  readonly br?: number | undefined;
  /** It starved since the last request. */
  readonly bs?: boolean | undefined;
  /** The content. */
  readonly cid?: string | undefined;
  /** Duration of the object, ms. */
  readonly d?: number | undefined;
  /** The event that is reported. */
  readonly e?: string | undefined;
  /** Throughput that it measured, kbit/s. */
  readonly mtp?: number | undefined;
  /** Type of the object: m, a, v, av, i, c, tt, k, o. */
  readonly ot?: string | undefined;
  /** Form of the stream: d, h, s, o. */
  readonly sf?: string | undefined;
  /** Its id for the play. */
  readonly sid?: string | undefined;
  /** State of the player: s, p, k, r, a, w, e, f, q, d. */
  readonly sta?: string | undefined;
  /** It starts, seeks or recovers. */
  readonly su?: boolean | undefined;
  /** The most that it can use, kbit/s. */
  readonly tb?: number | undefined;
  /** When, in ms since the Unix epoch. */
  readonly ts?: number | undefined;
  /** Version; 1 is not written. */
  readonly v?: number | undefined;
}

type Key = keyof Told;
type Field = 'CMCD-Object' | 'CMCD-Request' | 'CMCD-Session' | 'CMCD-Status';

/** Header field, and the grain to which numbers are rounded, by key (CTA-5004 sections 2.1 and 3). */
const KEYS: Readonly<Record<Key, readonly [Field, number]>> = {
  bl: ['CMCD-Request', 100],
  br: ['CMCD-Object', 1],
  bs: ['CMCD-Status', 1],
  cid: ['CMCD-Session', 1],
  d: ['CMCD-Object', 1],
  e: ['CMCD-Status', 1],
  mtp: ['CMCD-Request', 100],
  ot: ['CMCD-Object', 1],
  sf: ['CMCD-Session', 1],
  sid: ['CMCD-Session', 1],
  sta: ['CMCD-Status', 1],
  su: ['CMCD-Request', 1],
  tb: ['CMCD-Object', 1],
  ts: ['CMCD-Request', 1],
  v: ['CMCD-Session', 1],
};
const TOKENS: ReadonlySet<Key> = new Set<Key>(['e', 'ot', 'sf', 'sta']);
const MOST_TEXT = 64;

function value(key: Key, told: Told): string | null {
  const v = told[key];
  if (v === undefined || v === false || (key === 'v' && v === 1)) return null;
  if (v === true) return key;
  if (typeof v === 'number') {
    if (!Number.isFinite(v) || v < 0 || v >= 1e15) return null;
    const grain = KEYS[key][1];
    return `${key}=${Math.round(v / grain) * grain}`;
  }
  if (TOKENS.has(key)) return /^[a-z]+$/.test(v) ? `${key}=${v}` : null;
  // Longer texts, and such that no field can carry, are left out: hints are never worth a failed request.
  if (v.length > MOST_TEXT || !/^[\x20-\x7e]*$/.test(v)) return null;
  return `${key}="${v.replace(/[\\"]/g, '\\$&')}"`;
}

const ORDER = (Object.keys(KEYS) as Key[]).sort();

/** The header fields that tell this; those that are not empty. */
export function fields(told: Told): Record<string, string> {
  const out: Record<string, string> = {};
  for (const key of ORDER) {
    const text = value(key, told);
    if (text === null) continue;
    const field = KEYS[key][0];
    out[field] = out[field] === undefined ? text : `${out[field]},${text}`;
  }
  return out;
}

/** The text that tells this: a line of a report, and what a query argument holds before it is encoded. */
export function encode(told: Told): string {
  return ORDER.map((key) => value(key, told))
    .filter((text) => text !== null)
    .join(',');
}

/** The argument of a query, `CMCD=...`: for requests that must not carry fields of their own (CORS). */
export function query(told: Told): string {
  return `CMCD=${encodeURIComponent(encode(told))}`;
}

/** Media type of reports (CTA-5004-A, event mode). */
export const REPORT = 'application/cmcd';

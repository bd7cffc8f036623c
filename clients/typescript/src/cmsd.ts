/** What one hop of the way tells (CTA-5006, CMSD-Dynamic). */
export interface Hop {
  /** Who it is. */
  readonly name: string;
  /** The player should ask for no more than this, kbit/s. */
  readonly mb?: number;
  /** Throughput that it expects towards the player, kbit/s. */
  readonly etp?: number;
  /** It is under duress. */
  readonly du?: boolean;
}

const MOST_BYTES = 8192;
const MOST_HOPS = 16;

/** Reads a `CMSD-Dynamic` field; what is malformed is as if it were not there (RFC 9651 section 4.2). */
export function hops(field: string | null): Hop[] {
  if (field === null || field.length > MOST_BYTES) return [];
  const all: Hop[] = [];
  let at = 0;
  const spaces = (): void => {
    while (field[at] === ' ' || field[at] === '\t') at += 1;
  };
  const match = (what: RegExp): string | null => {
    const found = new RegExp(what.source, 'y');
    found.lastIndex = at;
    const text = found.exec(field)?.[0] ?? null;
    if (text !== null) at += text.length;
    return text;
  };
  spaces();
  while (at < field.length) {
    const quoted = match(/"(?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\])*"/);
    const name = quoted?.slice(1, -1).replace(/\\(.)/g, '$1') ?? match(/[A-Za-z*][A-Za-z0-9!#$%&'*+.^_`|~:/-]*/);
    if (name === null) return [];
    const hop: { name: string; mb?: number; etp?: number; du?: boolean } = { name };
    while (field[at] === ';') {
      at += 1;
      spaces();
      const key = match(/[a-z*][a-z0-9_.*-]*/);
      if (key === null) return [];
      let v: string | null = '?1';
      if (field[at] === '=') {
        at += 1;
        v = match(/-?[0-9]{1,15}(?:\.[0-9]{1,3})?|\?[01]|"(?:[\x20\x21\x23-\x5b\x5d-\x7e]|\\["\\])*"|[A-Za-z*][A-Za-z0-9!#$%&'*+.^_`|~:/-]*/);
        if (v === null) return [];
      }
      if ((key === 'mb' || key === 'etp') && /^[0-9]+$/.test(v)) hop[key] = Number(v);
      if (key === 'du' && v === '?1') hop.du = true;
    }
    all.push(hop);
    spaces();
    if (at === field.length) break;
    if (field[at] !== ',') return [];
    at += 1;
    spaces();
    if (at === field.length) return [];
  }
  return all.slice(0, MOST_HOPS);
}

/** Box and rung as a front tells them: the hop before its own, and the least `mb` of all. */
export function placed(all: readonly Hop[]): { at: string; rung: number } {
  const told = all.map((h) => h.mb).filter((mb) => mb !== undefined);
  return { at: all[all.length - 2]?.name ?? '', rung: told.length > 0 ? Math.min(...told) : 0 };
}

import { fields, encode, REPORT, type Told } from './cmcd.js';
import { hops, placed } from './cmsd.js';
import type { Outcome, Question } from './question.js';
import { again, RULE, type Rule } from './retry.js';

/** How a client finds its front. */
export interface Options {
  /** Where the front is: `http://host:port`. */
  readonly front: string;
  /** Path of each class's route, as `{ 'recorded-play': '/watch' }`. */
  readonly routes: Readonly<Record<string, string>>;
  /** The manifest that is asked for first; `index.m3u8` where it is not said. */
  readonly manifest?: string;
  /** A bearer token, where routes ask for one. */
  readonly bearer?: string;
  /** The rule by which questions are asked again. */
  readonly rule?: Rule;
  /** The viewer's patience with all attempts of a question, in milliseconds; half a minute where it is not said. */
  readonly stayMs?: number;
  /** In place of the platform's `fetch`. */
  readonly fetch?: typeof fetch;
}

/** What an attempt came to. */
type Ended = { outcome: Outcome; play?: Play };

const MAX_MANIFEST = 4 << 20;

/** Milliseconds of a `Retry-After` in seconds (RFC 9110 section 10.2.3). */
export function comeBack(field: string | null): number | null {
  return field !== null && /^[0-9]{1,9}$/.test(field.trim()) ? Number(field) * 1_000 : null;
}

function pause(ms: number, signal?: AbortSignal): Promise<boolean> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) return resolve(false);
    const over = (): void => {
      clearTimeout(timer);
      resolve(false);
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener('abort', over);
      resolve(true);
    }, ms);
    signal?.addEventListener('abort', over, { once: true });
  });
}

function authorised(o: Options): Record<string, string> {
  return o.bearer === undefined ? {} : { authorization: `Bearer ${o.bearer}` };
}

/** A client of one front. */
export class Client {
  readonly #o: Options;

  constructor(options: Options) {
    this.#o = options;
  }

  /**
   * Asks a question; its outcome, and the play where it plays. It is asked again by the rule, and no two attempts are ever
   * out. `signal` takes it back. All attempts of one question tell the same id (`sid`), so that the front joins them.
   */
  async ask(question: Question, signal?: AbortSignal): Promise<Ended> {
    const route = this.#o.routes[question.class];
    if (route === undefined) return { outcome: { kind: 'failed', status: 404 } };
    const rule = this.#o.rule ?? RULE;
    const until = performance.now() + (this.#o.stayMs ?? 30_000);
    const sid = crypto.randomUUID();
    for (let tries = 1; ; tries += 1) {
      const ended = await this.#attempt(question, route, sid, signal);
      if (ended.play !== undefined) return ended;
      if (signal?.aborted === true) return { outcome: { kind: 'cancelled' } };
      const left = until - performance.now();
      const wait = again(rule, ended.outcome, question.repeatable === true, tries, left);
      if (wait === null) return ended;
      if (!(await pause(wait, signal))) return { outcome: { kind: 'cancelled' } };
    }
  }

  async #attempt(question: Question, route: string, sid: string, signal?: AbortSignal): Promise<Ended> {
    const manifest = this.#o.manifest ?? 'index.m3u8';
    const title = encodeURIComponent(question.title);
    const url = new URL(`${route.replace(/\/+$/, '')}/${title}/${manifest}`, this.#o.front);
    const told: Told = { v: 2, sid, ot: 'm', su: true, tb: question.ceiling };
    const headers: Record<string, string> = { ...fields(told), ...authorised(this.#o) };
    const wait = Math.floor(question.patience_ms / 1_000);
    if (wait > 0) headers['prefer'] = `wait=${wait}`;
    const late = AbortSignal.timeout(question.patience_ms);
    const either = signal === undefined ? late : AbortSignal.any([late, signal]);
    let response: Response;
    try {
      response = await (this.#o.fetch ?? fetch)(url, { headers, signal: either, redirect: 'manual' });
    } catch (e) {
      return { outcome: either.aborted || !neverSent(e) ? { kind: 'not_known' } : { kind: 'not_sent' } };
    }
    const { at, rung } = placed(hops(response.headers.get('cmsd-dynamic')));
    if (response.status === 307) {
      // The front leads to the box; from there on it hears by reports alone.
      const location = response.headers.get('location');
      await response.body?.cancel();
      if (location === null) return { outcome: { kind: 'failed', status: 0 } };
      const play = new Play(this.#o, sid, rung, '', new URL(location, url), url);
      return { outcome: { kind: 'plays', at, rung }, play };
    }
    if (response.status !== 200) {
      await response.body?.cancel();
      const refused = response.status === 503 || response.status === 429;
      return {
        outcome: refused
          ? { kind: 'refused', come_back_ms: comeBack(response.headers.get('retry-after')) }
          : { kind: 'failed', status: response.status },
      };
    }
    let text: string;
    try {
      text = await response.text();
    } catch {
      return { outcome: { kind: 'not_known' } };
    }
    const base = /\/session\/[0-9a-f]{32}/.exec(text)?.[0];
    if (base === undefined || text.length > MAX_MANIFEST) return { outcome: { kind: 'failed', status: 0 } };
    const play = new Play(this.#o, sid, rung, text, url, new URL(base, url));
    return { outcome: { kind: 'plays', at, rung }, play };
  }
}

/** Whether a request never reached anybody: no connection came about. */
function neverSent(e: unknown): boolean {
  const cause = e instanceof Error ? (e.cause as { code?: string } | undefined) : undefined;
  const codes = ['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'];
  return cause?.code !== undefined && codes.includes(cause.code);
}

/** A play: its manifest, what it asks for, its end. */
export class Play {
  readonly #o: Options;
  #rung: number;

  constructor(
    options: Options,
    /** Its id. */
    readonly sid: string,
    rung: number,
    /** The first manifest, as the front wrote it; empty where the front leads to the box. */
    readonly manifest: string,
    /** Where that came from: references in it are resolved against this. */
    readonly url: URL,
    /** The play's resource at the front, which takes reports. */
    readonly resource: URL,
  ) {
    this.#o = options;
    this.#rung = rung;
  }

  /** The most that the front wants it to ask for, kbit/s; 0: it did not say. */
  get rung(): number {
    return this.#rung;
  }

  /**
   * Gets what a manifest names, with hints of what goes on; redirects to the box are followed. An answer that is no media
   * comes back as it is: 410 says that the play has ended at the front.
   */
  async get(reference: string, told: Told = {}, signal?: AbortSignal): Promise<Response> {
    const headers = { ...fields({ v: 2, sid: this.sid, ...told }), ...authorised(this.#o) };
    const ask = this.#o.fetch ?? fetch;
    const url = new URL(reference, this.url);
    const init = signal === undefined ? { headers } : { headers, signal };
    const first = await ask(url, { ...init, redirect: 'manual' });
    const { rung } = placed(hops(first.headers.get('cmsd-dynamic')));
    if (rung > 0) this.#rung = rung;
    const location = first.headers.get('location');
    if (first.status !== 307 || location === null) return first;
    await first.body?.cancel();
    // The token is the front's, not the box's.
    const { authorization: _, ...others } = headers as Record<string, string>;
    return ask(new URL(location, url), { ...init, headers: others });
  }

  /** Tells the front what goes on (CTA-5004-A, event mode); whether it was taken. */
  async report(told: Told): Promise<boolean> {
    const body = encode({ v: 2, sid: this.sid, ts: Date.now(), ...told });
    const headers = { 'content-type': REPORT, ...authorised(this.#o) };
    try {
      const response = await (this.#o.fetch ?? fetch)(this.resource, { method: 'POST', headers, body });
      await response.body?.cancel();
      return response.status === 204;
    } catch {
      return false;
    }
  }

  /** Tells the front that it has ended; without that its silence would, later. */
  end(): Promise<boolean> {
    return this.report({ e: 'ps', sta: 'e' });
  }
}

import type { Outcome } from './question.js';

/** Figures of the rule by which a question is asked again. */
export interface Rule {
  /** Times that a question is asked, at most. */
  readonly most: number;
  /** The first pause where there is no advice, in milliseconds; it doubles. */
  readonly pause_ms: number;
  /** The longest such pause. */
  readonly pause_most_ms: number;
}

/** The usual rule. */
export const RULE: Rule = { most: 4, pause_ms: 200, pause_most_ms: 5_000 };

/**
 * After how long, in milliseconds, a question is asked again that ended so when it had been asked `tries` times; `null`:
 * not again. The Rust client has the same rule; `fixtures/client/retry.json` holds both to it.
 *
 * A refusal with advice is obeyed: no sooner, and not at all where the viewer would not wait so long (`leftMs`). A refusal
 * without advice, or any other answer, is final. Where nothing was sent it is asked again after a pause that doubles;
 * where what became of it is not known, only if asking twice does no harm.
 */
export function again(
  rule: Rule,
  ended: Outcome,
  repeatable: boolean,
  tries: number,
  leftMs: number,
): number | null {
  if (tries >= rule.most) return null;
  const pause = Math.min(rule.pause_ms * 2 ** Math.min(Math.max(tries - 1, 0), 20), rule.pause_most_ms);
  let wait: number;
  if (ended.kind === 'refused' && ended.come_back_ms !== null) {
    // No advice is heard as "at once" by many at one time.
    wait = Math.max(ended.come_back_ms, rule.pause_ms);
  } else if (ended.kind === 'not_sent' || (ended.kind === 'not_known' && repeatable)) {
    wait = pause;
  } else {
    return null;
  }
  return wait <= leftMs ? wait : null;
}

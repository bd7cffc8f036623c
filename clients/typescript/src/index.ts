/** A client of micadyke's fronts over HTTP: CMCD (CTA-5004) out, CMSD (CTA-5006) in. */
export { Client, Play, comeBack, type Options } from './client.js';
export { encode, fields, query, REPORT, type Told } from './cmcd.js';
export { hops, placed, type Hop } from './cmsd.js';
export type { Outcome, Question } from './question.js';
export { again, RULE, type Rule } from './retry.js';

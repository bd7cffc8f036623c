/**
 * Asks a list of questions, one after the other, and says what came of each: JSON lines in on standard input, JSON lines
 * out. `node dist/replay.js FRONT CLASS=PATH...`
 */
import { createInterface } from 'node:readline';
import { Client } from './client.js';
import type { Question } from './question.js';

const [front, ...pairs] = process.argv.slice(2);
if (front === undefined || pairs.some((p) => !p.includes('='))) {
  console.error('usage: replay FRONT CLASS=PATH... < LIST');
  process.exit(2);
}
const routes = Object.fromEntries(pairs.map((p) => [p.slice(0, p.indexOf('=')), p.slice(p.indexOf('=') + 1)]));
// What is replayed is one question each: asking again is the list's matter.
const client = new Client({
  front,
  routes,
  rule: { most: 1, pause_ms: 0, pause_most_ms: 0 },
  ...(process.env['MICADYKE_BEARER'] === undefined ? {} : { bearer: process.env['MICADYKE_BEARER'] }),
});
for await (const line of createInterface({ input: process.stdin })) {
  if (line.trim() === '') continue;
  const question = JSON.parse(line) as Question;
  const { outcome, play } = await client.ask(question);
  await play?.end();
  console.log(JSON.stringify(outcome));
}

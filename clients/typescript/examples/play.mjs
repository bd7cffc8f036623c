// Asks the demo for its title, gets three segments, and ends: `micadyke demo`, `npm run build`, then this.
import { Client } from '../dist/index.js';

const front = process.argv[2] ?? 'http://127.0.0.1:8080';
const client = new Client({ front, routes: { 'recorded-play': '/watch' } });
const { outcome, play } = await client.ask({
  title: 'demo',
  class: 'recorded-play',
  ceiling: 5_000,
  patience_ms: 4_000,
  repeatable: true,
});
console.log(outcome);
if (play !== undefined) {
  const list = play.manifest.split('\n').findLast((line) => line.startsWith('/'));
  for (let n = 1; n <= 3; n += 1) {
    const segment = await play.get(list.replace('index.m3u8', `${n}.m4s`), { ot: 'v', bl: 2_000 });
    console.log(segment.status, (await segment.arrayBuffer()).byteLength, 'bytes; rung', play.rung, 'kbit/s');
  }
  console.log('ended:', await play.end());
}

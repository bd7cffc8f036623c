import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { test } from 'node:test';
import { Client, RULE, again, comeBack, encode, fields, hops, placed, query } from '../dist/index.js';

test('the rule by the table that both clients share', () => {
  const table = JSON.parse(readFileSync(new URL('../../../fixtures/client/retry.json', import.meta.url)));
  assert.deepEqual(table.rule, RULE);
  assert.ok(table.cases.length > 10);
  for (const c of table.cases) {
    assert.equal(again(RULE, c.ended, c.repeatable, c.tries, c.left_ms), c.wait_ms, JSON.stringify(c));
  }
});

test('hints as fields, query and report', () => {
  const told = { v: 2, sid: 'a"b', bl: 1_249, br: 3200, bs: true, su: false, ot: 'v', mtp: 48_060 };
  assert.deepEqual(fields(told), {
    'CMCD-Object': 'br=3200,ot=v',
    'CMCD-Request': 'bl=1200,mtp=48100',
    'CMCD-Session': 'sid="a\\"b",v=2',
    'CMCD-Status': 'bs',
  });
  assert.equal(encode(told), 'bl=1200,br=3200,bs,mtp=48100,ot=v,sid="a\\"b",v=2');
  assert.equal(query({ sid: 'x', su: true }), 'CMCD=sid%3D%22x%22%2Csu');
  for (const bad of [{ sid: 'x'.repeat(65) }, { sid: 'é' }, { ot: 'V!' }, { br: -1 }, { br: NaN }, { v: 1 }]) {
    assert.equal(encode(bad), '', JSON.stringify(bad));
  }
});

test('what servers tell', () => {
  const all = hops('"CDN \\"a\\"";etp=96;rtt=8, box-3;du;com.x=1.5, "front";mb=2640');
  assert.deepEqual(all, [{ name: 'CDN "a"', etp: 96 }, { name: 'box-3', du: true }, { name: 'front', mb: 2640 }]);
  assert.deepEqual(placed(all), { at: 'box-3', rung: 2640 });
  assert.deepEqual(placed([]), { at: '', rung: 0 });
  for (const bad of ['"a', '"a";mb=', '"a",', '"a" "b"', '5', 'x'.repeat(9000) + '(', null]) assert.deepEqual(hops(bad), [], bad);
  assert.deepEqual([comeBack('3'), comeBack('soon'), comeBack('-1'), comeBack(null)], [3000, null, null, null]);
});

/** A front that answers by a list of functions; what it read. */
async function front(...answers) {
  const read = [];
  const sockets = new Set();
  let out = 0;
  let most = 0;
  const server = createServer((request, response) => {
    read.push(request);
    out += 1;
    most = Math.max(most, out);
    response.on('close', () => (out -= 1));
    let body = '';
    request.on('data', (d) => (body += d));
    request.on('end', () => {
      request.text = body;
      answers.shift()?.(response);
    });
  });
  server.on('connection', (s) => sockets.add(s));
  await new Promise((done) => server.listen(0, '127.0.0.1', done));
  const url = `http://127.0.0.1:${server.address().port}`;
  return {
    url, read,
    most: () => most,
    close: () => { sockets.forEach((s) => s.destroy()); server.close(); },
  };
}
const base = `/session/${'0123456789abcdef'.repeat(2)}`;
const plays = (r) =>
  r.writeHead(200, { 'cmsd-dynamic': '"box-1", "f";mb=2640' }).end(`#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\n${base}/0/index.m3u8\n`);
const busy = (r) => r.writeHead(503, { 'retry-after': '0' }).end();
const question = { title: 't', class: 'c', ceiling: 2_000, patience_ms: 2_500 };

test('a question over sockets: advice obeyed, one id for all attempts, its play and its end', async () => {
  const media = (r) => r.writeHead(200).end('media');
  const box = await front(media);
  const lead = (r) => r.writeHead(307, { location: `${box.url}/media/t/0/1.m4s`, 'cmsd-dynamic': '"box-1", "f";mb=1520' }).end();
  const f = await front(busy, plays, lead, (r) => r.writeHead(204).end());
  const client = new Client({ front: f.url, routes: { c: '/watch/' }, bearer: 'tok' });
  const { outcome, play } = await client.ask(question);
  assert.deepEqual(outcome, { kind: 'plays', at: 'box-1', rung: 2640 });
  const segment = await play.get(`${base}/0/1.m4s`, { ot: 'v', bl: 900 });
  assert.deepEqual([segment.status, await segment.text(), play.rung], [200, 'media', 1520]);
  assert.equal(await play.end(), true);
  const sids = f.read.slice(0, 3).map((r) => /sid="([^"]+)"/.exec(r.headers['cmcd-session'])[1]);
  assert.equal(new Set(sids).size, 1);
  assert.deepEqual(f.read.map((r) => `${r.method} ${r.url}`), ['GET /watch/t/index.m3u8', 'GET /watch/t/index.m3u8', `GET ${base}/0/1.m4s`, `POST ${base}`]);
  assert.deepEqual([f.read[0].headers.authorization, f.read[0].headers.prefer, f.read[0].headers['cmcd-object']], ['Bearer tok', 'wait=2', 'ot=m,tb=2000']);
  assert.equal(box.read[0].headers.authorization, undefined, 'the token is not the box\'s');
  assert.match(f.read[3].text, /e=ps,sid="[^"]+",sta=e,ts=[0-9]+,v=2/);
  f.close();
  box.close();
});

test('no answer, no front, taken back, turned down', async () => {
  const never = () => {};
  const reset = (r) => r.destroy();
  const short = { ...question, patience_ms: 150 };
  const ask = async (q, answers, signal) => {
    const f = await front(...answers);
    const { outcome } = await new Client({ front: f.url, routes: { c: '/watch' } }).ask(q, signal);
    f.close();
    return [outcome, f.read.length, f.most()];
  };
  assert.deepEqual(await ask(short, [never]), [{ kind: 'not_known' }, 1, 1]);
  assert.deepEqual(await ask(short, [reset]), [{ kind: 'not_known' }, 1, 1]);
  const [outcome, asked] = await ask({ ...short, repeatable: true }, [never, reset, plays]);
  assert.deepEqual([outcome.kind, asked], ['plays', 3]);
  assert.deepEqual(await ask(question, [never], AbortSignal.timeout(30)), [{ kind: 'cancelled' }, 1, 1]);
  const wait = (r) => r.writeHead(503, { 'retry-after': '20' }).end();
  assert.deepEqual(await ask(question, [wait], AbortSignal.timeout(50)), [{ kind: 'cancelled' }, 1, 1]);
  assert.deepEqual(await ask(question, [(r) => r.writeHead(404).end()]), [{ kind: 'failed', status: 404 }, 1, 1]);
  assert.deepEqual(await ask(question, [(r) => r.writeHead(200).end('hello')]), [{ kind: 'failed', status: 0 }, 1, 1]);
  const gone = await front();
  gone.close();
  const client = new Client({ front: gone.url, routes: { c: '/w' }, stayMs: 0 });
  assert.deepEqual(await client.ask(question), { outcome: { kind: 'not_sent' } });
  assert.deepEqual(await client.ask({ ...question, class: 'x' }), { outcome: { kind: 'failed', status: 404 } });
});

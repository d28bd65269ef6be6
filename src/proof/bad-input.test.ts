/** Invalid input from callers, backend servers, peers and files: only the one message or call fails, and later calls are served. */
import {connect, createServer, type Socket} from 'node:net';
import {expect} from 'earl';
import fc from 'fast-check';
import {request} from 'undici';
import {DefaultCallEngine} from '../common/calls/call-engine.ts';
import {isCallEffect} from '../common/entry-vm/entry-vm.ts';
import {decodeHead, decodeShard} from '../common/fleet/configuration/head.ts';
import {DisposableStore, toDisposable} from '../common/lifecycle/disposable.ts';
import {backendServerSchema, serviceSchema} from '../common/model/resources.ts';
import {forwardedHeaders} from '../common/protocol/forwarding.ts';
import {bearerKey} from '../common/organisations/bearer-key.ts';
import {type DeclaredOrganisations, OrganisationDirectory} from '../common/organisations/organisation-directory.ts';
import {JaydaleDialect} from '../common/protocol/jaydale-dialect.ts';
import {parseLoadBody, parseLoadHeader} from '../common/protocol/load-report.ts';
import {seededRandom} from '../common/random/random.ts';
import {ProcessClock} from '../node/clock.ts';
import {DeciderLoop} from '../node/decider-loop.ts';
import {BackendConnections} from '../node/front/backend-connections.ts';
import {CallEffectExecutor} from '../node/front/call-effect-executor.ts';
import {CallerServer} from '../node/front/caller-server.ts';
import {HttpLoadProbeClient} from '../node/front/http-load-probe-client.ts';
import {keyDigest} from '../node/key-digest.ts';
import {HeldMemory} from '../node/memory/held-memory.ts';
import {reportFromWire} from '../node/peers/burn-codec.ts';
import {fromWire} from '../node/peers/peer-codec.ts';
import {parseToml} from '../node/settings/load-settings.ts';

const seed = 20_261_202;
const maxCount = 1_000_000;
const limits = {
	headBytes: 8192, headMilliseconds: 300, stallMilliseconds: 60_000, idleMilliseconds: 1000, bodyBytes: 100_000, keptBodyBytes: 10_000, connections: 100,
};
const goodAnswer = 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood';

async function listen(store: DisposableStore, onSocket: (socket: Socket) => void): Promise<number> {
	const server = createServer(socket => {
		store.add(toDisposable(() => {
			socket.destroy();
		}));
		socket.on('error', () => undefined);
		onSocket(socket);
	});
	store.add(toDisposable(() => {
		server.close();
	}));
	return new Promise(resolve => {
		server.listen(0, '127.0.0.1', () => {
			const address = server.address();
			resolve(typeof address === 'object' && address !== null ? address.port : 0);
		});
	});
}

/** A listener for callers with one backend server, which sends these bytes as its answer to every request. */
async function openListener(store: DisposableStore, answer: () => string, declared: DeclaredOrganisations = {}): Promise<{readonly port: number; readonly heads: string[]}> {
	const heads: string[] = [];
	const backendPort = await listen(store, socket => {
		socket.on('data', (bytes: Uint8Array) => {
			heads.push(bytes.toString());
			socket.end(answer());
		});
	});
	const connections = store.add(new BackendConnections({connectMilliseconds: 500, idleMilliseconds: 500, silenceMilliseconds: 300}));
	const loop = store.add(new DeciderLoop(new DefaultCallEngine({random: seededRandom(1), settings: {dataCentre: 'north'}}), new ProcessClock()));
	const calls = store.add(new CallEffectExecutor(loop, new HttpLoadProbeClient(connections, new JaydaleDialect()), {claim: () => undefined, release: async () => undefined}));
	loop.setExecutor(effect => {
		if (isCallEffect(effect)) {
			calls.execute(effect);
		}
	});
	const listener = store.add(new CallerServer({
		sink: loop,
		calls,
		connections,
		addresses: () => undefined,
		fingerprint: ({method, path}) => `${method} ${path}`,
		organisations: new OrganisationDirectory(keyDigest),
		heldMemory: store.add(new HeldMemory()),
	}, limits));
	listener.configure(declared);
	loop.feed({
		type: 'configured',
		configuration: {
			version: 1,
			services: new Map([['reads', serviceSchema.parse({kind: 'service', name: 'reads', timeoutMilliseconds: 1000})]]),
			backendServers: new Map([['identity', backendServerSchema.parse({
				kind: 'backend-server', name: 'reads-0', service: 'reads', address: '127.0.0.1', port: backendPort, dataCentre: 'north',
			})]]),
			sharingRules: [],
		},
	});
	const port = await listener.listen(0, '127.0.0.1');
	return {port: port._unsafeUnwrap(), heads};
}

/** Sends bytes and returns the status line of the answer, `closed` if the connection ends, or `nothing` after 3 s. */
async function sendRaw(port: number, bytes: string): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(port, '127.0.0.1', () => {
			socket.write(bytes);
		});
		const timer = setTimeout(() => {
			socket.destroy();
			resolve('nothing');
		}, 3000);
		const finish = (result: string): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(result);
		};

		socket.on('data', data => {
			finish(data.toString().split('\r\n')[0]!);
		});
		socket.on('error', () => {
			finish('closed');
		});
		socket.on('close', () => {
			finish('closed');
		});
	});
}

async function sendGet(port: number): Promise<string> {
	const answer = await request(`http://127.0.0.1:${port}/services/reads/x`);
	const body = await answer.body.text().then(text => text, () => 'broken off');
	return `${answer.statusCode} ${String(answer.headers['jaydale-outcome'])} ${answer.statusCode === 200 ? body : ''}`.trim();
}

describe('bad input', () => {
	let store: DisposableStore;

	beforeEach(() => {
		store = new DisposableStore();
	});

	afterEach(() => {
		store.dispose();
	});

	it(`makes no decoder throw or return counts out of range, seed ${seed}`, () => {
		// Input from a peer, the store, a file or a backend server may be arbitrary bytes; a decoder must only reject it.
		const name = fc.constantFrom('in-flight', 'queued', 'slots', 'instance', 'other');
		const value = fc.oneof(fc.nat().map(String), fc.bigInt().map(String), fc.string());
		const field = fc.tuple(name, value).map(pair => pair.join('='));
		const text = fc.oneof(fc.string({unit: 'binary'}), fc.json(), fc.array(field, {maxLength: 6}).map(fields => fields.join(', ')));
		fc.assert(fc.property(text, fc.anything({withNullPrototype: true}), (words, anything) => {
			for (const report of [parseLoadHeader(words, false), parseLoadBody(anything)]) {
				for (const count of report === undefined ? [] : [report.inFlight, report.queued, report.slots]) {
					expect(Number.isInteger(count) && count >= 0 && count <= maxCount).toEqual(true);
				}
			}

			decodeHead(words);
			decodeShard(words);
			parseToml(words);
			bearerKey(['authorization', words]);
			fromWire(anything);
			reportFromWire(anything);
		}), {seed, numRuns: 2000});
	});

	it(`forwards neither internal headers nor hop-by-hop headers, seed ${seed}`, () => {
		const name = fc.oneof(fc.constantFrom('jaydale-outcome', 'jaydale-not-run', 'jaydale-load', 'connection', 'transfer-encoding', 'x-one-hop'), fc.constantFrom('accept', 'range', 'x-other'));
		fc.assert(fc.property(fc.dictionary(name, fc.string()), headers => {
			const forwarded = forwardedHeaders({...headers, connection: 'close, X-One-Hop'});
			const names = forwarded.filter((_, position) => position % 2 === 0);
			expect(names.filter(one => one.startsWith('jaydale-') || ['connection', 'transfer-encoding', 'x-one-hop'].includes(one))).toEqual([]);
		}), {seed, numRuns: 1000});
	});

	it('is refused at the callers\' listener, and the next call is served', async function () {
		const {port, heads} = await openListener(store, () => goodAnswer);
		const line = 'POST /services/reads/x HTTP/1.1\r\nhost: a\r\n';
		const answers = {
			'two different lengths': await sendRaw(port, `${line}content-length: 4\r\ncontent-length: 5\r\n\r\nabcde`),
			'both a length and chunks': await sendRaw(port, `${line}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`),
			'a negative length': await sendRaw(port, `${line}content-length: -1\r\n\r\n`),
			'an oversized head': await sendRaw(port, `${line}x: ${'y'.repeat(limits.headBytes)}\r\n\r\n`),
			'an oversized body': await sendRaw(port, `${line}content-length: ${limits.bodyBytes + 1}\r\n\r\n`),
			'not HTTP': await sendRaw(port, '\u0000\u0001\u0002\r\n\r\n'),
			'a timeout that is not a number': await sendRaw(port, `${line}jaydale-timeout-milliseconds: soon\r\ncontent-length: 0\r\n\r\n`),
			'an unknown service': await sendRaw(port, 'GET /services/nobody/x HTTP/1.1\r\nhost: a\r\n\r\n'),
			'an invalid service name': await sendRaw(port, 'GET /services/%00/x HTTP/1.1\r\nhost: a\r\n\r\n'),
		};
		expect(heads).toEqual([]);
		const next = await sendGet(port);
		expect({...answers, next}).toMatchSnapshot(this);
	});

	// Guards against a malformed key that identifies an organisation, or that ends the listener.
	it('as a key is refused before anything else is read, and the next call is served', async () => {
		const key = 'the-key';
		const {port, heads} = await openListener(store, () => goodAnswer, {
			organisations: new Map([['one', {name: 'one'}]]), keyOwners: new Map([[keyDigest(key, 'utf8'), 'one']]),
		});
		const line = 'POST /services/reads/x HTTP/1.1\r\nhost: a\r\n';
		const malformed = [
			'',
			'authorization:\r\n',
			'authorization: Bearer\r\n',
			`authorization: ${key}\r\n`,
			`authorization: Bearer${key}\r\n`,
			`authorization: Basic ${key}\r\n`,
			`authorization: Bearer "${key}"\r\n`,
			`authorization: Bearer ${key}=\r\n`,
			`authorization: Bearer ${key}, Bearer ${key}\r\n`,
			`authorization: Bearer\t${key}\r\n`,
			`authorization: Bearer ${key}\r\nAuthorization: Bearer ${key}\r\n`,
			`authorization: Bearer \u00FF\u00FE${key}\r\n`,
			`authorization: Bearer ${'k'.repeat(7000)}\r\n`,
			`x-authorization: Bearer ${key}\r\n`,
			'jaydale-organisation: one\r\n',
		];
		for (const header of malformed) {
			expect(await sendRaw(port, `${line}${header}content-length: ${limits.bodyBytes + 1}\r\n\r\n`)).toEqual('HTTP/1.1 401 Unauthorized');
		}

		// Bytes that HTTP forbids in a header value are refused by the parser.
		expect(await sendRaw(port, `${line}authorization: Bearer \u0000${key}\r\ncontent-length: 0\r\n\r\n`)).toEqual('HTTP/1.1 400 Bad Request');
		expect(heads).toEqual([]);
		expect(await sendRaw(port, `${line}authorization: Bearer ${key}\r\njaydale-organisation: two\r\ncontent-length: 0\r\n\r\n`)).toEqual('HTTP/1.1 200 OK');
		const head = heads.at(-1)!;
		expect([head.includes(key), head.includes('jaydale-organisation: one'), head.includes('jaydale-organisation: two')]).toEqual([false, true, false]);
	});

	it('from a backend server affects only its own call', async function () {
		const bad = {
			'two different lengths': 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde',
			'both a length and chunks': 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n',
			'a body shorter than its length': 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf',
			'chunks without a last chunk': 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
			'not HTTP': 'good day',
			'an oversized head': `HTTP/1.1 200 OK\r\nx: ${'y'.repeat(100_000)}\r\ncontent-length: 0\r\n\r\n`,
			'a status out of range': 'HTTP/1.1 999999 Odd\r\ncontent-length: 0\r\n\r\n',
			'a forged outcome header': 'HTTP/1.1 200 OK\r\njaydale-outcome: not-run\r\ncontent-length: 4\r\n\r\ngood',
			'an invalid load report': 'HTTP/1.1 200 OK\r\njaydale-load: in-flight=-1, queued=9e9, slots=0, instance=\r\ncontent-length: 4\r\n\r\ngood',
		};
		let currentAnswer = goodAnswer;
		const {port} = await openListener(store, () => currentAnswer);
		const answers: Record<string, string> = {};
		for (const [name, answer] of Object.entries(bad)) {
			currentAnswer = answer;
			answers[name] = await sendGet(port);
			currentAnswer = goodAnswer;
			expect(await sendGet(port)).toEqual('200 ran good');
		}

		expect(answers).toMatchSnapshot(this);
	});
});

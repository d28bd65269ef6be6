import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {Agent, request} from 'undici';
import {DisposableStore, toDisposable} from '../common/lifecycle/disposable.ts';
import {type StoreOperation} from '../common/platform/types.ts';
import {seededRandom} from '../common/random/random.ts';
import {AnswerBody, blockBytes} from './answer-body.ts';
import {BackendServerStandIn} from './backend-server/backend-server-stand-in.ts';
import {Caller} from './caller/caller.ts';
import {type OutgoingCall} from './caller/types.ts';
import {
	bytesHeader, callIdHeader, crashHeader, workHeader,
} from './headers.ts';
import {HttpListener} from './http-listener.ts';
import {PlatformStandIn} from './platform/platform-stand-in.ts';

describe('stand-ins', () => {
	let store: DisposableStore;
	beforeEach(() => {
		store = new DisposableStore();
	});
	afterEach(() => {
		store.dispose();
	});

	async function startPlatform(): Promise<{platform: PlatformStandIn; send: (operation: StoreOperation) => Promise<unknown>}> {
		const platform = store.add(new PlatformStandIn());
		const started = await platform.start();
		const port = started._unsafeUnwrap();
		const send = async (operation: StoreOperation): Promise<unknown> => {
			try {
				const response = await request(`http://127.0.0.1:${port}/kv`, {method: 'POST', body: JSON.stringify(operation)});
				return await response.body.json();
			} catch {
				return 'cut';
			}
		};

		return {platform, send};
	}

	async function startBackendServer(settings: ConstructorParameters<typeof BackendServerStandIn>[0] = {}): Promise<{server: BackendServerStandIn; origin: string}> {
		const server = store.add(new BackendServerStandIn(settings));
		const started = await server.start();
		const port = started._unsafeUnwrap();
		return {server, origin: `http://127.0.0.1:${port}`};
	}

	describe('platform', () => {
		it('writes by compare-and-swap, notifies watches, counts requests, removes the keys of an expired lease', async function () {
			const {platform, send} = await startPlatform();
			const waiting = send({
				type: 'watch', prefix: 'a/', after: 0, milliseconds: 5000,
			});
			const log = [
				await send({
					type: 'compare-and-swap', key: 'a/1', expected: 0, value: 'one',
				}),
				await waiting,
				await send({
					type: 'compare-and-swap', key: 'a/1', expected: 0, value: 'two',
				}),
				await send({type: 'grant-lease', milliseconds: 60}),
				await send({
					type: 'compare-and-swap', key: 'a/2', expected: 0, value: 'leased', leaseId: 'lease-1',
				}),
				await send({
					type: 'watch', prefix: 'a/', after: 2, milliseconds: 5000,
				}),
				await send({type: 'keep-lease', leaseId: 'lease-1'}),
				await send({type: 'list', prefix: 'a/'}),
				platform.counts(),
			];
			expect(log).toMatchSnapshot(this);
		});

		// Simulates a write that takes effect although its connection breaks before the response. A writer that treats the
		// broken connection as a failed write would report a change as rejected that is in force.
		it('loses the response of a successful write, serves reads from a stale copy, cuts connections when down', async function () {
			const {platform, send} = await startPlatform();
			platform.setFaults({loseAnswers: 1});
			const log = [
				await send({
					type: 'compare-and-swap', key: 'k', expected: 0, value: 'taken',
				}),
				await send({type: 'get', key: 'k'}),
			];
			platform.setFaults({stale: true});
			await send({
				type: 'compare-and-swap', key: 'k', expected: 1, value: 'newer',
			});
			log.push(await send({type: 'get', key: 'k'}));
			platform.setFaults({stale: false, mode: 'down'});
			log.push(await send({
				type: 'compare-and-swap', key: 'k', expected: 2, value: 'never',
			}));
			platform.setFaults({mode: 'refusing'});
			log.push(await send({type: 'get', key: 'k'}));
			platform.setFaults({mode: 'up'});
			log.push(await send({type: 'get', key: 'k'}), await send({
				type: 'compare-and-swap', key: 'k', expected: 2, value: 'x'.repeat(1_048_577),
			}));
			expect(log.map(entry => typeof entry === 'object' && entry !== null && 'message' in entry ? 'refused' : entry)).toMatchSnapshot(this);
		});

		it('serves a change of the VM list only after the lag', async () => {
			const platform = store.add(new PlatformStandIn());
			const started = await platform.start();
			const port = started._unsafeUnwrap();
			const list = async (): Promise<unknown> => {
				const response = await request(`http://127.0.0.1:${port}/vms`);
				return response.body.json();
			};

			platform.setVms([{address: '127.0.0.1', dataCentre: 'a', state: 'live'}]);
			platform.setVmLag(100);
			platform.setVms([]);
			const lagging = await list();
			expect(lagging).toEqual([{address: '127.0.0.1', dataCentre: 'a', state: 'live'}]);
			await delay(150);
			expect(await list()).toEqual([]);
		});
	});

	describe('backend server', () => {
		const headers = (callId: string, work: number, bytes = 20): Record<string, string> => ({[callIdHeader]: callId, [workHeader]: String(work), [bytesHeader]: String(bytes)});

		it('sheds calls when slots and queue are full, and counts no start of a shed call', async () => {
			const {server, origin} = await startBackendServer({slots: 1, queueLimit: 1});
			const answers = await Promise.all(['a', 'b', 'c'].map(async callId => {
				const response = await request(`${origin}/x`, {headers: headers(callId, 30)});
				await response.body.dump();
				return `${response.statusCode} ${String(response.headers['jaydale-not-run'])}`;
			}));
			expect(answers.toSorted((first, second) => first < second ? -1 : 1)).toEqual(['200 undefined', '200 undefined', '503 not-run']);
			expect(server.counts()).toLooseEqual({...server.counts(), started: 2, shed: 1});
		});

		it('stops the work when the caller disconnects or the deadline passes', async () => {
			const {server, origin} = await startBackendServer();
			const control = new AbortController();
			const gone = request(`${origin}/x`, {headers: headers('gone', 10_000), signal: control.signal}).catch(() => 'aborted');
			while (server.counts().started === 0) {
				await delay(2);
			}

			control.abort();
			expect(await gone).toEqual('aborted');
			const late = await request(`${origin}/x`, {headers: {...headers('late', 10_000), 'jaydale-timeout-milliseconds': '10'}});
			expect(late.statusCode).toEqual(504);
			await late.body.dump();
			while (server.calls()[0]!.state === 'running') {
				await delay(2);
			}

			expect(server.calls().map(call => [call.callId, call.state])).toEqual([['gone', 'cancelled'], ['late', 'timed-out']]);
		});

		it('serves a range only of the same version, and sends the leaving header while it drains', async () => {
			const {server, origin} = await startBackendServer();
			const length = blockBytes + 100;
			const whole = await request(`${origin}/film`, {headers: headers('r', 0, length)});
			const bytes = Buffer.from(await whole.body.arrayBuffer());
			const part = await request(`${origin}/film`, {headers: {...headers('r', 0, length), range: 'bytes=65000-', 'if-range': String(whole.headers.etag)}});
			expect(part.statusCode).toEqual(206);
			expect(Buffer.from(await part.body.arrayBuffer()).equals(bytes.subarray(65_000))).toEqual(true);
			const other = await request(`${origin}/film`, {headers: {...headers('r', 0, length), range: 'bytes=65000-', 'if-range': '"other"'}});
			expect(other.statusCode).toEqual(200);
			await other.body.dump();
			server.update({isDraining: true});
			const marked = await request(`${origin}/film`, {headers: headers('d', 0)});
			await marked.body.dump();
			expect(marked.headers['jaydale-leaving']).toEqual('true');
			const health = await request(`${origin}/health`);
			await health.body.dump();
			expect(health.statusCode).toEqual(503);
		});

		// Simulates a network path that drops the state of open connections: callers get no response there, but new connections work.
		it('does not respond on open connections when silent, and cuts all connections on a crash', async () => {
			const {server, origin} = await startBackendServer();
			const keepAliveAgent = new Agent({connections: 1});
			store.add(toDisposable(() => {
				void keepAliveAgent.destroy();
			}));
			const first = await request(`${origin}/x`, {headers: headers('first', 0), dispatcher: keepAliveAgent});
			await first.body.dump();
			server.update({mode: 'silent'});
			const silent = await request(`${origin}/x`, {headers: headers('silent', 0), dispatcher: keepAliveAgent, signal: AbortSignal.timeout(50)}).catch(() => 'silence');
			expect(silent).toEqual('silence');
			const fresh = await request(`${origin}/x`, {headers: headers('fresh', 0)});
			await fresh.body.dump();
			expect(fresh.statusCode).toEqual(200);
			server.update({mode: 'crash-on-mark'});
			const crashed = await request(`${origin}/x`, {headers: {...headers('crash', 0), [crashHeader]: 'true'}}).catch(() => 'cut');
			expect(crashed).toEqual('cut');
		});
	});

	describe('answer bodies', () => {
		it('detects a swapped, shortened or foreign block', () => {
			const origin = {
				method: 'GET', path: '/a', callId: '1', requestDigest: '',
			};
			const body = new AnswerBody(origin, blockBytes * 3);
			const second = body.chunk(blockBytes);
			expect([
				body.matches(second, blockBytes),
				body.matches(second, 2 * blockBytes),
				body.matches(second.subarray(1), blockBytes),
				new AnswerBody({...origin, callId: '2'}, blockBytes * 3).matches(second, blockBytes),
				body.matches(Buffer.concat([body.chunk(100), second]), 100),
			]).toEqual([true, false, false, false, true]);
		});
	});

	describe('caller', () => {
		const makeOrder = (callId: string): OutgoingCall => ({
			callId, service: 's', method: 'POST', path: '/orders', body: Buffer.from('order'), answerBytes: 8, workMilliseconds: 0, timeoutMilliseconds: 2000,
		});

		/** Starts a VM that returns its own address and responds to calls as given; counts the calls received. */
		async function startVm(answerCall: (count: number) => {status: number; outcome: string} | 'cut'): Promise<{caller: Caller; count: () => number}> {
			let calls = 0;
			let port = 0;
			const listener = store.add(new HttpListener({address: '127.0.0.1', port: 0}, (incoming, outgoing) => {
				if (incoming.url?.startsWith('/jaydale/addresses') === true) {
					outgoing.end(JSON.stringify({vms: [{address: '127.0.0.1', port, weight: 1}], keepForMilliseconds: 1000}));
					return;
				}

				calls++;
				const response = answerCall(calls);
				incoming.resume().once('end', () => {
					if (response === 'cut') {
						incoming.socket.destroy();
						return;
					}

					outgoing.writeHead(response.status, {'jaydale-outcome': response.outcome, 'retry-after': '0'}).end();
				});
			}));
			const listening = await listener.listen();
			port = listening._unsafeUnwrap();
			const caller = store.add(new Caller({
				name: 'c', seeds: [`127.0.0.1:${port}`], maxTries: 3, connectionsPerVm: 4,
			}, seededRandom(1)));
			return {caller, count: () => calls};
		}

		// Guards against an order that runs twice because its caller retries after a lost response.
		it('retries a non-idempotent call only after the outcome "not-run"', async () => {
			const cut = await startVm(() => 'cut');
			const first = await cut.caller.call(makeOrder('1'));
			expect(first.outcome).toEqual('lost');
			expect(cut.count()).toEqual(1);
			const unknown = await startVm(() => ({status: 502, outcome: 'unknown'}));
			const second = await unknown.caller.call(makeOrder('2'));
			expect(second.outcome).toEqual('unknown');
			expect(unknown.count()).toEqual(1);
			const refused = await startVm(() => ({status: 503, outcome: 'not-run'}));
			const third = await refused.caller.call(makeOrder('3'));
			expect(third.outcome).toEqual('not-run');
			expect(refused.count()).toEqual(3);
		});
	});
});

import {connect, type Socket} from 'node:net';
import {Readable} from 'node:stream';
import {expect} from 'earl';
import {request} from 'undici';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {BackendServerStandIn} from '../../stand-ins/backend-server/backend-server-stand-in.ts';
import {startBackend, startFrontend, startRawServer} from './test-utilities.test.ts';

async function sendRequest(url: string, options: Parameters<typeof request>[1] = {}) {
	const answer = await request(url, options);
	const body = await answer.body.text().then(text => text, () => 'BROKEN OFF');
	return {
		status: answer.statusCode, outcome: answer.headers['jaydale-outcome'], retryAfter: answer.headers['retry-after'], body,
	};
}

describe('CallerServer', () => {
	let store: DisposableStore;

	beforeEach(() => {
		store = new DisposableStore();
	});

	afterEach(() => {
		store.dispose();
	});

	it('forwards a complete answer and reports the outcome "ran"', async function () {
		const backend = store.add(new BackendServerStandIn());
		const port = await startBackend(backend);
		const front = await startFrontend(store, [port]);
		const answer = await sendRequest(`${front.url}/spans/7`, {headers: {'stand-in-call-id': 'a', 'stand-in-bytes': '5', 'jaydale-outcome': 'forged'}});
		expect({...answer, body: answer.body.length}).toMatchSnapshot(this);
	});

	/*
	 * A VM that counts calls in flight instead of unfinished answers would stop too early: the backend server has sent its last
	 * bytes, no call is in flight any more, but a slow caller has not read its answer yet and would receive a truncated one.
	 */
	it('counts an answer as unfinished until its caller has read it', async () => {
		const backend = store.add(new BackendServerStandIn());
		const port = await startBackend(backend);
		const front = await startFrontend(store, [port]);
		const {body} = await request(`${front.url}/map`, {headers: {'stand-in-call-id': 'm', 'stand-in-bytes': '20000000'}});
		expect(front.server.unfinishedAnswers).toEqual(1);
		const bytes = await body.arrayBuffer();
		expect(bytes.byteLength).toEqual(20_000_000);
		while (front.server.unfinishedAnswers > 0) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	});

	/*
	 * The backend server crashes after the head and half of the body were forwarded. The caller must be able to detect that the
	 * body is truncated.
	 */
	it('aborts a truncated answer so that the caller detects it', async () => {
		const port = await startRawServer(store, socket => {
			socket.once('data', () => {
				socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n');
				setTimeout(() => socket.destroy(), 20);
			});
		});
		const front = await startFrontend(store, [port]);
		const answer = await sendRequest(`${front.url}/map`);
		expect(answer.body).toEqual('BROKEN OFF');
		expect(front.ended.map(summary => summary.isGood)).toEqual([false]);
	});

	/*
	 * The backend server reads a payment and closes the connection without an answer, while a second backend server is available.
	 * A reset does not prove that the call has not run, so a retry could execute the payment twice.
	 */
	it('does not retry a payment after a reset, and reports the outcome as unknown', async () => {
		let received = 0;
		const rawHandler = (socket: Socket) => {
			socket.once('data', () => {
				received += 1;
				socket.destroy();
			});
		};

		const ports = [await startRawServer(store, rawHandler), await startRawServer(store, rawHandler)];
		const front = await startFrontend(store, ports);
		const answer = await sendRequest(`${front.url}/dues`, {method: 'POST', body: 'pay'});
		expect(received).toEqual(1);
		expect({status: answer.status, outcome: answer.outcome}).toEqual({status: 502, outcome: 'unknown'});
	});

	/*
	 * The first backend server crashes in the middle of a download, and the second one answers the range request with the right
	 * version but from another offset. Checking only the status and the version would join two halves that do not match, so the
	 * answer must be aborted.
	 */
	it('aborts a resumed download that continues at another byte', async () => {
		expect(await downloadInTwoHalves(store, 'bytes 3-9/10')).toEqual('BROKEN OFF');
	});

	it('joins a resumed download that continues at the requested byte', async () => {
		expect(await downloadInTwoHalves(store, 'bytes 5-9/10')).toEqual('helloworld');
	});

	/*
	 * The backend server resets the connection during an upload larger than the body buffer, while the caller is still sending.
	 * If the caller's connection were closed together with the attempt, the caller would not learn that the outcome is unknown.
	 */
	it('sends the final answer when the backend server resets a large upload', async () => {
		const port = await startRawServer(store, socket => {
			let bytes = 0;
			socket.on('data', chunk => {
				bytes += chunk.length;
				if (bytes > 100_000) {
					socket.destroy();
				}
			});
		});
		const front = await startFrontend(store, [port], {bodyBytes: 100_000_000});
		const answer = await sendRequest(`${front.url}/report`, {method: 'POST', body: Buffer.alloc(50_000_000)});
		expect({status: answer.status, outcome: answer.outcome}).toEqual({status: 502, outcome: 'unknown'});
	});

	/*
	 * A body without a content length exceeds the limit while it streams to a backend server, and the attempt is aborted. If the
	 * caller's connection were closed together with the attempt, the caller would receive no answer.
	 */
	it('sends the final answer when a body without a content length exceeds the limit', async () => {
		const port = await startRawServer(store, socket => {
			socket.resume();
		});
		const front = await startFrontend(store, [port]);
		const answer = await sendRequest(`${front.url}/report`, {method: 'POST', body: Readable.from(Array.from({length: 40}, () => Buffer.alloc(20_000)))});
		expect({status: answer.status, outcome: answer.outcome}).toEqual({status: 502, outcome: 'unknown'});
	});

	/*
	 * The caller's connection goes silent without closing during a download. Without a stall timeout the download would hold a
	 * slot of the backend server forever.
	 */
	it('aborts a download whose caller has stopped reading', async () => {
		const backend = store.add(new BackendServerStandIn());
		const port = await startBackend(backend);
		const front = await startFrontend(store, [port]);
		const {port: frontPort} = new URL(front.url);
		const socket = connect(Number(frontPort), '127.0.0.1');
		store.add(toDisposable(() => socket.destroy()));
		socket.pause();
		socket.write('GET /services/orders/map HTTP/1.1\r\nhost: a\r\nstand-in-call-id: silent\r\nstand-in-bytes: 50000000\r\n\r\n');
		while (front.ended.length === 0) {
			await new Promise(resolve => {
				setTimeout(resolve, 20);
			});
		}

		expect(front.ended.map(summary => summary.isGood)).toEqual([false]);
	});

	/*
	 * A refused connection proves that nothing ran, so the call must be retried on another backend server instead of being
	 * refused while one is free.
	 */
	it('retries a call with its body on another backend server when the connection was refused', async () => {
		const closedPort = await startRawServer(store, () => undefined);
		store.dispose();
		store = new DisposableStore();
		const backend = store.add(new BackendServerStandIn());
		const port = await startBackend(backend);
		const front = await startFrontend(store, [closedPort, port]);
		const answers = [];
		for (let index = 0; index < 6; index += 1) {
			const headers = {'stand-in-call-id': `r${index}`, 'stand-in-bytes': '5'};
			answers.push(await sendRequest(`${front.url}/register`, {method: 'POST', body: 'x'.repeat(1000), headers}));
		}

		expect(answers.map(answer => answer.status)).toEqual([200, 200, 200, 200, 200, 200]);
		expect(new Set(backend.calls().map(call => call.callId)).size).toEqual(6);
	});

	/*
	 * Request smuggling: a head with both a content length and chunked encoding allows two interpretations, of which one contains
	 * a second request. The answer must be 400, and no backend server may receive anything.
	 */
	it('refuses invalid input without running a call', async function () {
		const backend = store.add(new BackendServerStandIn());
		const port = await startBackend(backend);
		const front = await startFrontend(store, [port]);
		const twoLengths = await rawExchange(front.url, 'POST /services/orders/x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n');
		expect({
			twoLengths: twoLengths.split('\r\n')[0],
			timeout: await sendRequest(`${front.url}/x`, {headers: {'jaydale-timeout-milliseconds': 'soon'}}),
			key: await sendRequest(`${front.url}/x`, {method: 'POST', headers: {'idempotency-key': 'k'.repeat(300)}}),
			large: await sendRequest(`${front.url}/x`, {method: 'POST', body: Buffer.alloc(300_000)}),
			service: await sendRequest(front.url.replace('orders', 'nothing') + '/x'),
			ran: backend.calls().length,
		}).toMatchSnapshot(this);
	});
});

/** Both backend servers crash after half of a download, and answer a range request for the other half with this content range. */
async function downloadInTwoHalves(store: DisposableStore, contentRange: string): Promise<string> {
	const answer = (socket: Socket) => {
		socket.on('data', chunk => {
			if (chunk.toString().includes('range: bytes=5-')) {
				socket.write(`HTTP/1.1 206 Partial Content\r\netag: "v1"\r\ncontent-range: ${contentRange}\r\ncontent-length: 5\r\n\r\nworld`);
				return;
			}

			socket.write('HTTP/1.1 200 OK\r\netag: "v1"\r\ncontent-length: 10\r\n\r\nhello');
			setTimeout(() => socket.destroy(), 20);
		});
	};

	const front = await startFrontend(store, [await startRawServer(store, answer), await startRawServer(store, answer)]);
	const {body} = await sendRequest(`${front.url}/footage`);
	return body;
}

async function rawExchange(url: string, text: string): Promise<string> {
	const {port} = new URL(url);
	return new Promise(resolve => {
		const socket = connect(Number(port), '127.0.0.1', () => socket.write(text));
		let answer = '';
		socket.on('data', chunk => {
			answer += chunk.toString();
		});
		socket.on('close', () => {
			resolve(answer);
		});
	});
}

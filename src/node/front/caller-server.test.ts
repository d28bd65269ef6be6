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

	it('hands a whole answer on and says that the call ran', async function () {
		const backend = store.add(new BackendServerStandIn());
		const port = await startBackend(backend);
		const front = await startFrontend(store, [port]);
		const answer = await sendRequest(`${front.url}/spans/7`, {headers: {'stand-in-call-id': 'a', 'stand-in-bytes': '5', 'jaydale-outcome': 'forged'}});
		expect({...answer, body: answer.body.length}).toMatchSnapshot(this);
	});

	/*
	 * A map arrives without its end because the VM stopped. Order: the last bytes have come from the backend
	 * server, the caller reads slowly, the VM counts no call in flight and ends. Cause: counting calls, not answers.
	 */
	it('counts an answer until its caller has taken it', async () => {
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
	 * A landing crew's map stops in the middle and looks whole. Order: the head and half the body are passed on,
	 * then the backend server dies. Cause: an answer without a visible end. The caller must see a broken body.
	 */
	it('breaks a half answer off visibly', async () => {
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
	 * A member pays dues twice. Order: the payment is sent, the backend server reads it and cuts the connection
	 * without an answer; a second backend server stands ready. Cause: a reset taken for "not run".
	 */
	it('never sends a payment again after a reset, and says that the outcome is unknown', async () => {
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
	 * A judge's footage is joined from two halves that do not fit. Order: the first backend server dies in the middle,
	 * the second answers the range with the right version but from another byte. Cause: trusting status and version
	 * alone. The answer must break off.
	 */
	it('breaks a resumed download off that goes on at another byte', async () => {
		expect(await downloadInTwoHalves(store, 'bytes 3-9/10')).toEqual('BROKEN OFF');
	});

	it('joins a resumed download that goes on at the byte asked for', async () => {
		expect(await downloadInTwoHalves(store, 'bytes 5-9/10')).toEqual('helloworld');
	});

	/*
	 * A crew uploads a large report; its backend server dies in the middle. Order: more of the body than is kept has
	 * been sent, the connection is reset, the caller still sends. Cause: the caller's connection was ended together
	 * with the attempt. The caller must be told that the outcome is unknown.
	 */
	it('gives the final answer when a large upload is cut off below', async () => {
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
	 * A caller sends more than is allowed without saying so in its head. Order: the body streams to a backend server, the
	 * limit is passed, the attempt is given up. Cause: ending the caller's connection with it. The caller must be told.
	 */
	it('gives the final answer when a body without a length passes the limit', async () => {
		const port = await startRawServer(store, socket => {
			socket.resume();
		});
		const front = await startFrontend(store, [port]);
		const answer = await sendRequest(`${front.url}/report`, {method: 'POST', body: Readable.from(Array.from({length: 40}, () => Buffer.alloc(20_000)))});
		expect({status: answer.status, outcome: answer.outcome}).toEqual({status: 502, outcome: 'unknown'});
	});

	/*
	 * A backend server runs out of slots although nobody reads. Order: a caller begins a download, its connection goes
	 * silent without an end, the download waits for it. Cause: waiting without limit for a caller that has gone.
	 */
	it('gives a download up whose caller takes no byte any more', async () => {
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
	 * A festival registration is refused although a backend server was free. Order: the chosen one refuses the
	 * connection, so nothing ran. Cause: giving up on a failure that proves it is safe to go elsewhere.
	 */
	it('sends a call elsewhere, body and all, when the connection was refused', async () => {
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
	 * An attacker smuggles a second call behind one whose length can be read in two ways. Both readings are in
	 * the head; the answer is 400 and no backend server sees anything. Cause: guessing which length is meant.
	 */
	it('refuses bad input and runs nothing', async function () {
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

/** Both backend servers give half of a download and die; asked for the other half, they give this range. */
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

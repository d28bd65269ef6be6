/** Upstreams whose answers' bodies never end: does a request get its final answer half a second after its route's time-out? */
import {createWriteStream} from 'node:fs';
import {connect, createServer} from 'node:net';
import {Store} from '../stand-ins-2/store.mjs';
import {Vms} from '../stand-ins-2/vm.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const seconds = 60;
const perSecond = 20;
const timeoutMs = 1200;
const graceMs = 500;
/** Share of the answers of the disturbed upstreams whose bodies never end, and share of these upstreams. */
const endlessShare = 0.05;
const endlessUpstreams = new Set(['i-a1', 'i-b2', 'i-c3']);
const spell = {everyMs: 10_000, forMs: 5000};
const pieceMs = 50;
const headBytes = 300_000;
const record = createWriteStream(new URL('record.txt', import.meta.url));
const startedAt = performance.now();

const write = fields => {
	if (!record.writableEnded) {
		record.write(`${JSON.stringify({ms: Math.round(performance.now() - startedAt), ...fields})}\n`);
	}
};

const sleep = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const isSpell = () => (performance.now() - startedAt) % spell.everyMs < spell.forMs;

/** Sends bytes until the connection closes. */
const sendWithoutEnd = (socket, requestId, upstream) => {
	write({event: 'sends without end', request: requestId, upstream});
	const timer = setInterval(() => {
		socket.write('5\r\nbytes\r\n');
	}, pieceMs);
	socket.once('close', () => {
		clearInterval(timer);
		write({event: 'closed', request: requestId, upstream});
	});
};

const answer = (socket, id, text) => {
	const [first, ...lines] = text.split('\r\n');
	const headers = new Map(lines.map(line => line.split(': ')).map(([name, value]) => [name.toLowerCase(), value]));
	if (first.startsWith('GET /healthz')) {
		socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nServer-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n`);
		return;
	}

	const requestId = headers.get('request-id');
	write({event: 'runs', request: requestId, upstream: id});
	const body = 'x'.repeat(headBytes);
	const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s.${requestId}\r\nServer-Load: 1,0,6\r\nTransfer-Encoding: chunked\r\n\r\n`;
	const start = `${head}${body.length.toString(16)}\r\n${body}\r\n`;
	setTimeout(() => {
		if (hasTrouble && endlessUpstreams.has(id) && isSpell() && Math.random() < endlessShare) {
			socket.write(start);
			sendWithoutEnd(socket, requestId, id);
		} else {
			socket.write(`${start}0\r\n\r\n`);
		}
	}, 50);
};

const startUpstream = async id => new Promise(resolve => {
	const sockets = new Set();
	const server = createServer(socket => {
		let text = '';
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			if (text.endsWith('\r\n\r\n')) {
				answer(socket, id, text.trimEnd());
				text = '';
			}
		});
	});
	const stop = () => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	};

	server.listen(0, '127.0.0.1', () => {
		resolve({id, address: `127.0.0.1:${server.address().port}`, stop});
	});
});

/** Resolves with the time until the answer or the connection has ended; at most the requester's own time limit. */
const send = async (vm, requestId) => new Promise(resolve => {
	const [host, port] = vm.http.split(':');
	const begin = performance.now();
	const socket = connect(Number(port), host);
	const deadlineMs = 5000;
	let tail = '';
	let status = 0;
	const end = outcome => {
		clearTimeout(timer);
		socket.destroy();
		const tookMs = Math.round(performance.now() - begin);
		write({
			event: 'ended', request: requestId, status, outcome, tookMs,
		});
		resolve(tookMs);
	};

	const timer = setTimeout(() => {
		end('time limit of the requester');
	}, deadlineMs);
	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		const text = chunk.toString('latin1');
		status ||= Number(text.slice(9, 12));
		tail = (tail + text).slice(-7);
		if (tail.endsWith('\r\n0\r\n\r\n') || (status !== 200 && text.includes('\r\n\r\n'))) {
			end('answered');
		}
	});
	socket.once('close', () => {
		end('closed');
	});
	write({event: 'sent', request: requestId});
	socket.write(`GET /docs/1 HTTP/1.1\r\nHost: one.example\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: ${deadlineMs}\r\n\r\n`);
});

const route = {
	name: 'docs', prefix: '/docs/', type: 'download', timeoutS: timeoutMs / 1000, sloS: 0.4, priority: 0, service: 'docs', maxAttempts: 2,
};

const configuration = {
	version: 'r1',
	services: [{name: 'docs', healthPath: '/healthz', maxConns: 240}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutS: 3, idleTimeoutS: 15,
	},
	hosts: [{host: 'one.example', paths: [route]}],
};

const entry = {
	service: 'docs', zone: 'oliwa-hall', version: 'v1', capacity: 6, state: 'ready', warmupLeftS: 0, seqNo: 1,
};

const store = new Store();
const vms = new Vms(await store.start());
const upstreams = [];

const play = async planned => {
	const calls = [];
	for (let sent = 0; sent < seconds * perSecond; sent++) {
		calls.push(send(planned[sent % planned.length], `q${sent}`));
		await sleep(1000 / perSecond);
	}

	return Promise.all(calls);
};

process.exitCode = 2;
try {
	store.putJson('op/config', configuration);
	for (const id of ['i-a1', 'i-b2', 'i-c3', 'i-d4', 'i-e5']) {
		const upstream = await startUpstream(id);
		upstreams.push(upstream);
		store.putJson(`servers/${id}`, {...entry, address: upstream.address});
	}

	const planned = [await vms.plan('edge-1'), await vms.plan('edge-2')];
	for (const vm of planned) {
		vms.start(vm);
	}

	for (const vm of planned) {
		if (!await vms.waitUntilReady(vm)) {
			throw new Error('a VM did not become ready');
		}
	}

	await sleep(1000);
	const times = await play(planned);
	const unanswered = times.filter(time => time > timeoutMs).length;
	const late = times.filter(time => time > timeoutMs + graceMs).length;
	write({event: 'summary', unanswered, late});
	console.log(JSON.stringify({requests: times.length, unanswered, late}));
	process.exitCode = late >= 8 && late > unanswered / 2 ? 1 : 0;
} catch (error) {
	write({event: 'could not run', reason: String(error)});
	console.error(error);
}

await vms.endAll();
for (const upstream of upstreams) {
	upstream.stop();
}

store.stop();
record.end();

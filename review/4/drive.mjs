/** Late extra responses beside rejected health probes: is a request that runs taken for one that was rejected? */
import {Agent, request as httpRequest} from 'node:http';
import {createWriteStream} from 'node:fs';
import {Store} from '../stand-ins-2/store.mjs';
import {Upstream} from '../stand-ins-2/upstream.mjs';
import {Vms} from '../stand-ins-2/vm.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const seconds = 95;
const perSecond = 575;
/** Four fifths of the limit on idle connections. */
const maxIdleMs = 12_000;
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

const faulty = new Set(['i-a1']);
const runs = new Map();
const answers = new Map();

const store = new Store();
const vms = new Vms(await store.start());
const upstreams = ['i-a1', 'i-b2'].map(id => new Upstream({
	id,
	slots: 6,
	queue: 3,
	workMs: 20,
	linkMs: 1.4,
	rejectMs: 8,
	extraShare: 0.03,
	isSpoiling: () => hasTrouble && faulty.has(id) && (performance.now() - startedAt) % 10_000 < 5000,
	onRun(requestId, upstream) {
		runs.set(requestId, [...(runs.get(requestId) ?? []), upstream]);
		write({event: 'runs', request: requestId, upstream});
	},
	onEvent: write,
}));

const send = (vm, agent, requestId) => new Promise(resolve => {
	const end = (status, reason) => {
		answers.set(requestId, status);
		write({
			event: 'answered', request: requestId, status, reason,
		});
		resolve();
	};

	write({event: 'sent', request: requestId, vm: vm.name});
	const [host, port] = vm.http.split(':');
	const headers = {
		host: 'one.example', 'request-id': requestId, 'deadline-ms': '1500', 'content-length': 4,
	};
	const call = httpRequest({
		agent, host, port, method: 'POST', path: '/book/1', headers,
	}, answer => {
		let text = '';
		answer.setEncoding('utf8');
		answer.on('data', chunk => {
			text += chunk;
		});
		answer.once('end', () => {
			end(answer.statusCode, answer.statusCode === 200 ? undefined : text);
		});
		answer.once('error', error => {
			end(0, error.message);
		});
	});
	call.once('error', error => {
		end(0, error.message);
	});
	call.setTimeout(3000, () => {
		call.destroy(new Error('no answer'));
	});
	call.end('book');
});

let code = 2;
try {
	store.putJson('op/config', {
		version: 'r1',
		services: [{name: 'orders', healthPath: '/healthz', maxConns: 240}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutS: 3, idleTimeoutS: 15,
		},
		hosts: [{
			host: 'one.example', paths: [{
				name: 'book', prefix: '/book/', type: 'unsafe', timeoutS: 1.5, sloS: 0.5, priority: 0, service: 'orders', maxAttempts: 3,
			}],
		}],
	});
	for (const upstream of upstreams) {
		store.putJson(`servers/${upstream.id}`, {
			service: 'orders', address: await upstream.start(), zone: 'oliwa-hall', version: 'v1', capacity: 6, state: 'ready', warmupLeftS: 0, seqNo: 1,
		});
	}

	const planned = [];
	for (let count = 1; count <= 12; count++) {
		planned.push(await vms.plan(`edge-${count}`));
	}

	for (const vm of planned) {
		vms.start(vm);
	}

	const areReady = await Promise.all(planned.map(async vm => vms.waitUntilReady(vm)));
	if (areReady.includes(false)) {
		for (const vm of planned) {
			write({
				event: 'log', vm: vm.name, exits: vm.exits, lines: vm.lines.join('').slice(0, 3000),
			});
		}

		throw new Error('a VM did not become ready');
	}

	await sleep(2000);
	const agents = planned.map(() => new Agent({keepAlive: true, timeout: maxIdleMs}));
	const calls = [];
	const begin = performance.now();
	for (let sent = 0; performance.now() - begin < seconds * 1000;) {
		const due = (performance.now() - begin) * perSecond / 1000;
		for (; sent < due; sent++) {
			const index = sent % planned.length;
			calls.push(send(planned[index], agents[index], `q${sent.toString(16).padStart(8, '0')}`));
		}

		await sleep(2);
	}

	await Promise.all(calls);
	await sleep(1000);
	const twice = [...runs].filter(([, where]) => where.length > 1);
	const refused = [...runs].filter(([requestId]) => [408, 421, 429, 503].includes(answers.get(requestId)));
	const statuses = {};
	for (const status of answers.values()) {
		statuses[status] = (statuses[status] ?? 0) + 1;
	}

	const summary = {
		twice: twice.length, refusedButRun: refused.length, sent: answers.size, run: runs.size, statuses,
	};
	for (const [requestId, where] of [...twice, ...refused]) {
		write({
			event: 'rule broken', request: requestId, where, status: answers.get(requestId),
		});
	}

	write({event: 'summary', ...summary});
	console.log(JSON.stringify(summary));
	code = twice.length + refused.length > 0 ? 1 : 0;
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
process.exitCode = code;


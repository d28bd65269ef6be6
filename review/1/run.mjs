/** A download that its upstream breaks off by a reset ends for the requester like a complete one. See claim.txt. */
import {createHash} from 'node:crypto';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {Backend, configuration} from '../stand-ins/backend.mjs';
import {requestText} from '../stand-ins/http.mjs';
import {hasTrouble, Script} from '../stand-ins/script.mjs';
import {documentBody, streamWithoutLength} from '../stand-ins/streams.mjs';

const vmCount = 3;
const backendCount = 5;
/** Upstreams that are faulty at the same time, 0.6 of all, and the share of their answers that they break off. */
const faultyCount = 3;
const brokenShare = 0.05;
/** The fault lasts five seconds, and comes again after five seconds. */
const faultMilliseconds = 5000;
const pauseMilliseconds = 5000;
const playedMilliseconds = 90_000;
const callers = 20;
const minBytes = 300_000;
const maxBytes = 540_000;
const pieceMilliseconds = 10;
const patienceMilliseconds = 4000;

const script = new Script(import.meta.dirname);

/** Sends one download on a new connection and reads to its end. */
async function download(vm, id, path) {
	const [host, port] = vm.callers.split(':');
	return new Promise(resolve => {
		const chunks = [];
		let error;
		const socket = connect({host, port: Number(port), noDelay: true});
		const timer = setTimeout(() => {
			error = 'time limit';
			socket.destroy();
		}, patienceMilliseconds);
		socket.write(requestText({path, id, deadline: patienceMilliseconds}));
		socket.on('data', chunk => {
			chunks.push(chunk);
		});
		socket.on('error', ({code}) => {
			error ??= code;
		});
		socket.on('end', () => {
			socket.end();
		});
		socket.on('close', () => {
			clearTimeout(timer);
			const bytes = Buffer.concat(chunks);
			const headEnd = bytes.indexOf('\r\n\r\n');
			resolve({head: bytes.subarray(0, Math.max(0, headEnd)).toString('latin1'), body: bytes.subarray(headEnd + 4), error});
		});
	});
}

await script.run(async () => {
	const store = await script.startStore();
	store.put('op/config', configuration({routes: [{prefix: '/document/', type: 'download'}]}));
	const until = Date.now() + playedMilliseconds;
	let isFaulty = false;
	for (let number = 1; number <= backendCount; number++) {
		const backend = new Backend({id: `i-${number}`, zone: 'north', store});
		backend.onRun = async request => {
			const body = documentBody(request.path, Number(request.path.split('/').at(-1)));
			const isBroken = isFaulty && number <= faultyCount && Math.random() < brokenShare;
			const breakAt = isBroken ? Math.floor(Math.random() * body.length) : undefined;
			script.record(`ran ${request.id} on ${backend.id}`);
			const sent = await streamWithoutLength(request, {body, breakAt, pieceMilliseconds});
			script.record(`${backend.id} ${isBroken ? `reset the connection of ${request.id} after ${sent} of` : `sent to ${request.id} all`} ${body.length} bytes`);
		};

		await backend.start();
		script.own(() => {
			backend.crash();
		});
	}

	const vms = await script.startVms(vmCount, {store});
	const breaches = [];
	const counts = {
		whole: 0, 'seen as cut': 0, refused: 0, 'looks whole and is not': 0,
	};
	let sent = 0;
	const call = async index => {
		while (Date.now() < until) {
			const vm = vms[(index + sent) % vmCount];
			const id = `pull-${++sent}`;
			const size = minBytes + Math.floor(Math.random() * (maxBytes - minBytes));
			const path = `/document/${id}/${size}`;
			script.record(`sent ${id} to ${vm.name}: ${path}`);
			const {head, body, error} = await download(vm, id, path);
			const status = Number(head.split(' ')[1]);
			const length = /^content-length: (\d+)$/imv.exec(head)?.[1];
			const isChunked = /^transfer-encoding: chunked$/imv.test(head);
			script.record(`answered ${id} ${status || 'nothing'}, ${body.length} of ${size} bytes, length ${length ?? (isChunked ? 'chunked' : 'none')}, ended by ${error ?? 'a regular close'}`);
			// A body without a length is complete if its connection ends without an error (RFC 9112, 6.3).
			const looksWhole = status === 200 && error === undefined && (length === undefined ? !isChunked : Number(length) === body.length);
			const digest = bytes => createHash('sha256').update(bytes).digest('hex');
			if (status !== 200) {
				counts.refused++;
			} else if (!looksWhole) {
				counts['seen as cut']++;
			} else if (digest(body) === digest(documentBody(path, size))) {
				counts.whole++;
			} else {
				counts['looks whole and is not']++;
				breaches.push(`MIXED: ${id} got 200 with Response-Signature and a regular end of the connection, but ${body.length} of ${size} bytes`);
			}

			await delay(20);
		}
	};

	const trouble = async () => {
		while (Date.now() < until) {
			isFaulty = true;
			await delay(faultMilliseconds);
			isFaulty = false;
			await delay(pauseMilliseconds);
		}
	};

	await Promise.all([...Array.from({length: callers}, async (_, index) => call(index)), hasTrouble ? trouble() : undefined]);
	script.record(`ends: ${JSON.stringify(counts)}`);
	return breaches;
});

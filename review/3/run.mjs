/** After an upstream crashed during an upload, the requester's kept connection is never read again. See claim.txt. */
import {setTimeout as delay} from 'node:timers/promises';
import {Backend, configuration} from '../stand-ins/backend.mjs';
import {Connection, requestText} from '../stand-ins/http.mjs';
import {hasTrouble, Script} from '../stand-ins/script.mjs';

const vmCount = 3;
/** One upstream of seven crashes at a time, and is back after 4.5 s. */
const backendCount = 7;
const downMilliseconds = 4500;
const crashIntervalMilliseconds = 8000;
const playedMilliseconds = 80_000;
const callers = 36;
const minBytes = 200_000;
const maxBytes = 360_000;
const pieceBytes = 20_000;
const pieceMilliseconds = 25;
const timeoutMilliseconds = 2000;
const lateMilliseconds = 500;
/** Time for which a requester waits. */
const patienceMilliseconds = 5000;
/** Least number of late requests that breaks the rule in its other form. */
const minLate = 8;
const maxTurns = 3;

const script = new Script(import.meta.dirname);

/** Milliseconds until the answer of each request, Infinity = none. */
const times = new Map();

/** Sends a request by `write` and waits for its answer. */
async function exchange(connection, id, write) {
	const startedAt = Date.now();
	const answered = connection.next(patienceMilliseconds);
	await write();
	const answer = await answered;
	times.set(id, answer === undefined ? Number.POSITIVE_INFINITY : answer.at - startedAt);
	if (answer === undefined) {
		script.record(`answered ${id} nothing in ${Date.now() - startedAt} ms, connection ${connection.isClosed ? `closed (${connection.error ?? 'regularly'})` : 'open'}`);
	} else {
		script.record(`answered ${id} ${answer.status} after ${answer.at - startedAt} ms, connection: ${answer.headers.connection}`);
	}

	return answer;
}

async function upload(connection, id) {
	const size = minBytes + Math.floor(Math.random() * (maxBytes - minBytes));
	script.record(`sends ${id}, ${size} bytes`);
	return exchange(connection, id, async () => {
		connection.write(requestText({
			method: 'POST', path: `/upload/${id}`, id, deadline: patienceMilliseconds, length: size,
		}));
		for (let at = 0; at < size && !connection.isClosed; at += pieceBytes) {
			connection.write(Buffer.alloc(Math.min(pieceBytes, size - at), 'u'));
			await delay(pieceMilliseconds);
		}
	});
}

async function order(connection, id) {
	script.record(`sends ${id} on the same connection`);
	return exchange(connection, id, () => {
		connection.write(requestText({
			method: 'POST', path: `/order/${id}`, id, deadline: patienceMilliseconds, body: 'booking',
		}));
	});
}

/** A sound requester uses a connection again only after a complete answer that keeps it open. */
function staysOpen(connection, answer) {
	return answer !== undefined && answer.headers.connection !== 'close' && !connection.isClosed;
}

await script.run(async () => {
	const store = await script.startStore();
	const timeoutS = timeoutMilliseconds / 1000;
	store.put('op/config', configuration({
		routes: [{prefix: '/upload/', type: 'upload', timeoutS}, {prefix: '/order/', type: 'unsafe', timeoutS}],
	}));
	const until = Date.now() + playedMilliseconds;
	let started = 0;
	const startBackend = async () => {
		const backend = new Backend({id: `i-${++started}`, zone: 'north', store});
		backend.onRun = async ({id}) => {
			script.record(`ran ${id} on ${backend.id}`);
			await delay(20);
			return {status: 200, body: 'kept'};
		};

		await backend.start();
		script.own(() => {
			backend.crash();
		});
		return backend;
	};

	const backends = [];
	for (let number = 0; number < backendCount; number++) {
		backends.push(await startBackend());
	}

	const vms = await script.startVms(vmCount, {store});
	let sent = 0;
	const call = async index => {
		await delay(Math.random() * 500);
		while (Date.now() < until) {
			const connection = new Connection(vms[index % vmCount].callers);
			await connection.opened;
			let isOpen = true;
			for (let turn = 0; turn < maxTurns && isOpen && Date.now() < until; turn++) {
				isOpen = staysOpen(connection, await upload(connection, `upload-${++sent}`))
					&& staysOpen(connection, await order(connection, `order-${++sent}`));
			}

			connection.close();
			await delay(50);
		}
	};

	const trouble = async () => {
		for (let next = 0; Date.now() < until - downMilliseconds; next++) {
			await delay(crashIntervalMilliseconds - downMilliseconds);
			const place = next % backendCount;
			script.record(`${backends[place].id} crashes`);
			backends[place].crash();
			await delay(downMilliseconds);
			store.remove(`servers/${backends[place].id}`);
			backends[place] = await startBackend();
			script.record(`${backends[place].id} has started in its place`);
		}
	};

	await Promise.all([...Array.from({length: callers}, async (_, index) => call(index)), hasTrouble ? trouble() : undefined]);
	const unanswered = [...times].filter(([, milliseconds]) => milliseconds > timeoutMilliseconds);
	const late = unanswered.filter(([, milliseconds]) => milliseconds > timeoutMilliseconds + lateMilliseconds);
	script.record(`${times.size} requests, ${unanswered.length} unanswered at timeoutS, ${late.length} without an answer ${lateMilliseconds} ms later`);
	return late.length >= minLate && late.length > unanswered.length / 2
		? late.map(([id]) => `CONFIG: ${id} was still unanswered ${timeoutMilliseconds + lateMilliseconds} ms after it was sent`)
		: [];
});

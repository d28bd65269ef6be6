import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';

const partBytes = 300_000;
const part = 'f'.repeat(partBytes);
const partCount = 2;
const head = `HTTP/1.1 200 OK\r\nContent-Length: ${partCount * partBytes}\r\n\r\n`;
const limitMilliseconds = 300;

/** Longer than the time limit and the checks for silence, shorter than the timeout of a silent connection. */
const lateMilliseconds = 3000;

/**
 * Makes one call to a backend server that writes its answer by `answer`. Resolves with the number of bytes of the body that
 * the caller has received when its connection closes. `onPart` runs when the first bytes arrive.
 */
async function bytesOfAnswer(answer: (socket: Socket) => Promise<void>, onPart: (caller: Socket) => Promise<void> = async () => undefined): Promise<number> {
	const store = new DisposableStore();
	const port = await startRawServer(store, socket => {
		socket.once('data', () => {
			void answer(socket);
		});
	});
	const front = await startFrontend(store, [port], {stallMilliseconds: 60_000});
	const {port: frontPort, pathname} = new URL(front.url);
	const bytes = await new Promise<number>(resolve => {
		let text = '';
		let isPartReported = false;
		const caller = connect(Number(frontPort), '127.0.0.1');
		caller.on('data', chunk => {
			text += chunk.toString('latin1');
			if (!isPartReported) {
				isPartReported = true;
				void onPart(caller);
			}
		});
		caller.on('close', () => {
			resolve(text.length - text.indexOf('\r\n\r\n') - 4);
		});
		caller.write(`GET ${pathname}/film HTTP/1.1\r\nHost: one\r\nConnection: close\r\nJaydale-Timeout-Milliseconds: ${limitMilliseconds}\r\n\r\n`);
	});
	store.dispose();
	return bytes;
}

describe('an answer that is not complete at the time limit of its call', () => {
	// Guards callers against a wait of seconds for a backend server that has stopped sending.
	it('fails if its backend server sends nothing more', async () => {
		const bytes = await bytesOfAnswer(async socket => {
			socket.write(head + part);
			await delay(lateMilliseconds);
			socket.end(part);
		});
		expect(bytes).toEqual(partBytes);
	});

	it('arrives whole if its backend server goes on sending', async () => {
		const pieceCount = 40;
		const bytes = await bytesOfAnswer(async socket => {
			socket.write(head + part);
			for (let piece = 0; piece < pieceCount; piece++) {
				await delay(50);
				socket.write(part.slice(partBytes / pieceCount * piece, partBytes / pieceCount * (piece + 1)));
			}

			socket.end();
		});
		expect(bytes).toEqual(partCount * partBytes);
	});

	it('arrives whole if its caller reads slowly', async () => {
		const largeCount = 100;
		const bytes = await bytesOfAnswer(async socket => {
			socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${largeCount * partBytes}\r\n\r\n`);
			socket.end(part.repeat(largeCount));
		}, async caller => {
			caller.pause();
			await delay(lateMilliseconds / 2);
			caller.resume();
		});
		expect(bytes).toEqual(largeCount * partBytes);
	});
});

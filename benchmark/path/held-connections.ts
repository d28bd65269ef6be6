/** Connections that are held open: idle after one call, or paused in the middle of a download. */
import {connect, type Socket} from 'node:net';
import {once} from 'node:events';
import {Disposable, toDisposable} from '../../src/common/lifecycle/disposable.ts';
import {bytesHeader, workHeader} from '../../src/stand-ins/headers.ts';
import {type HoldOrder} from './types.ts';

/** Uses raw sockets, since a client library would read ahead. */
export class HeldConnections extends Disposable {
	/** Opens all connections; resolves when each has sent its call and received the first bytes of the answer. */
	async open(order: HoldOrder): Promise<void> {
		await Promise.all(Array.from({length: order.count}, async () => this._openOne(order)));
	}

	private async _openOne(order: HoldOrder): Promise<void> {
		const socket: Socket = connect(order.port, '127.0.0.1');
		this._register(toDisposable(() => {
			socket.destroy();
		}));
		socket.on('error', () => {
			socket.destroy();
		});
		await once(socket, 'connect');
		socket.write(`GET ${order.path} HTTP/1.1\r\nhost: bench\r\n${bytesHeader}: ${order.answerBytes}\r\n${workHeader}: 0\r\n\r\n`);
		await once(socket, 'data');
		if (order.isPaused) {
			socket.pause();
		}
	}
}

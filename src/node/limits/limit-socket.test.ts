import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {type LimitMessage, maxDatagramBytes} from '../../common/limits/messages.ts';
import {ProcessClock} from '../clock.ts';
import {Logging} from '../logging/logging.ts';
import {PageMetrics} from '../metrics/page-metrics.ts';
import {LimitSocket, type LimitSocketParts} from './limit-socket.ts';

type SocketEvent = Parameters<LimitSocketParts['sink']['feed']>[0];

const ask: LimitMessage = {
	kind: 'ask', id: 7, slot: 1, wants: [['acme', 2, 0]],
};

/** A port that no socket had a moment ago. */
async function freePort(): Promise<number> {
	const socket = createSocket('udp4');
	socket.bind(0, '127.0.0.1');
	await once(socket, 'listening');
	const {port} = socket.address();
	socket.close();
	await once(socket, 'close');
	return port;
}

describe('LimitSocket', () => {
	let owned: DisposableStore;

	beforeEach(() => {
		owned = new DisposableStore();
	});

	afterEach(() => {
		owned.dispose();
	});

	/** A socket that records its events; `next` waits until the last of so many has arrived. */
	class RecordedSocket {
		readonly port: number;
		readonly metrics = new PageMetrics();
		readonly events: SocketEvent[] = [];
		readonly lines: string[] = [];
		readonly socket: LimitSocket;
		private _onEvent: () => void = () => undefined;

		constructor(port: number) {
			this.port = port;
			const {logger} = new Logging({level: 'info', format: 'json'}, {vm: 'test'}, line => {
				this.lines.push(line);
			});
			this.socket = owned.add(new LimitSocket({
				sink: {
					feed: event => {
						this.events.push(event);
						this._onEvent();
					},
				},
				clock: new ProcessClock(),
				logger,
				metrics: this.metrics,
			}));
			this.socket.open(port, '127.0.0.1');
		}

		async event(count: number): Promise<SocketEvent> {
			while (this.events.length < count) {
				await new Promise<void>(resolve => {
					this._onEvent = resolve;
				});
			}

			return this.events[count - 1]!;
		}
	}

	it('delivers messages with the endpoint of the sender, which can be answered', async () => {
		const [one, other] = [new RecordedSocket(await freePort()), new RecordedSocket(await freePort())];
		await Promise.all([one.event(1), other.event(1)]);
		one.socket.send(`127.0.0.1:${other.port}`, ask);
		const received = await other.event(2);
		const answer: LimitMessage = {
			kind: 'grant', id: 7, slot: 1, grants: [['acme', 1, 40]],
		};
		other.socket.send(`127.0.0.1:${one.port}`, answer);
		expect([received, await one.event(2)]).toEqual([
			{type: 'datagram', from: `127.0.0.1:${one.port}`, message: ask}, {type: 'datagram', from: `127.0.0.1:${other.port}`, message: answer},
		]);
	});

	// Guards the process against datagrams of foreign senders.
	it('counts and drops malformed and oversized datagrams', async () => {
		const recorded = new RecordedSocket(await freePort());
		await recorded.event(1);
		const sender = createSocket('udp4');
		const padding = ' '.repeat(maxDatagramBytes);
		for (const text of ['', '{', 'null', '{"kind":"ask","id":7,"slot":9,"wants":[]}', JSON.stringify(ask) + padding, JSON.stringify(ask)]) {
			sender.send(text, recorded.port, '127.0.0.1');
		}

		await recorded.event(2);
		sender.close();
		const page = await recorded.metrics.text();
		expect([recorded.events.length, page.includes('jaydale_limit_datagrams_total{result="malformed"} 5')]).toEqual([2, true]);
	});

	// Guards the process and its log against a holder whose entry is wrong, and against messages that are too long.
	it('logs messages that cannot be sent, a few of them', async () => {
		const recorded = new RecordedSocket(await freePort());
		await recorded.event(1);
		const long: LimitMessage = {
			kind: 'ask', id: 1, slot: 0, wants: [['x'.repeat(maxDatagramBytes - 1), 1, 0]],
		};
		for (const to of ['', 'name.example:70', '127.0.0.1:0', '127.0.0.1:70000', '127.0.0.1:1.5', '[::1', '127.0.0.1:nothing']) {
			recorded.socket.send(to, ask);
		}

		recorded.socket.send('127.0.0.1:70', long);
		const page = await recorded.metrics.text();
		expect([recorded.lines.length, page.includes('jaydale_limit_datagrams_total{result="failed"} 8')]).toEqual([2, true]);
	});

	// Guards against two processes that grant for one slot: a second one must not report an open endpoint while the first has it.
	it('opens once the endpoint is free', async function () {
		this.timeout(10_000);
		const first = new RecordedSocket(await freePort());
		await first.event(1);
		const second = new RecordedSocket(first.port);
		await new Promise(resolve => {
			setTimeout(resolve, 200);
		});
		const during = second.events.length;
		first.socket.dispose();
		expect([during, await second.event(1)]).toEqual([0, {type: 'limits-socket', isOpen: true}]);
	});
});

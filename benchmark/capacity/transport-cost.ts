/** Measures over loopback what gRPC adds to a message between VMs: bytes on the wire and processor time. */
import {connect, createServer} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {type PeerMessage} from '../../src/common/fleet/peer-messages.ts';
import {Disposable, toDisposable} from '../../src/common/lifecycle/disposable.ts';
import {GrpcPeerTransport} from '../../src/node/peers/grpc-peer-transport.ts';
import {plainCredentials} from '../../src/node/peers/peer-credentials.ts';
import {identityOf} from './sizes.ts';

/** Overhead of gRPC per message: bytes beyond the message's own, in both directions together. */
export type TransportCost = {
	readonly overheadBytesPerMessage: number;
	/** Processor time of one end: half of the time of both. */
	readonly processorMicrosecondsPerMessage: number;
};

const messageCount = 400;
const warmUpCount = 200;
const batchSize = 10;
const pauseMilliseconds = 5;

/** TCP relay that counts the bytes in both directions. */
class CountingRelay extends Disposable {
	bytes = 0;
	private readonly _server = createServer(inner => {
		const outer = connect(this._target, '127.0.0.1');
		for (const [from, to] of [[inner, outer], [outer, inner]] as const) {
			from.on('data', (chunk: Uint8Array) => {
				this.bytes += chunk.length;
				to.write(chunk);
			});
			from.on('error', () => {
				to.destroy();
			});
			from.on('close', () => {
				to.destroy();
			});
		}
	});

	private readonly _target: number;

	constructor(target: number) {
		super();
		this._target = target;
		this._register(toDisposable(() => {
			this._server.close();
		}));
	}

	async listen(): Promise<number> {
		return new Promise(resolve => {
			this._server.listen(0, '127.0.0.1', () => {
				const bound = this._server.address();
				resolve(typeof bound === 'object' && bound !== null ? bound.port : 0);
			});
		});
	}
}

function ping(): PeerMessage {
	return {
		protocol: 1,
		sender: {
			identity: identityOf('vm', 1),
			peerAddress: '10.251.0.1:7003',
			callAddress: '10.251.0.1:7001',
			dataCentre: 'dc-1',
			sequence: 1,
			isLeaving: false,
			isServing: true,
			holdsShare: true,
			configurationVersion: 1,
			utilisation: 0.5,
		},
		storeContactAgeMilliseconds: 500,
		body: {type: 'ping', nonce: 1},
		members: [],
		leaving: [],
		updates: [],
	};
}

async function sendAll(transport: GrpcPeerTransport, to: string, count: number): Promise<void> {
	for (let sent = 0; sent < count; sent += batchSize) {
		for (let index = 0; index < batchSize; index++) {
			transport.send(to, ping());
		}

		await delay(pauseMilliseconds);
	}

	await delay(pauseMilliseconds * 20);
}

/** Measures the transport; undefined if the listener could not be opened. */
export async function measureTransport(): Promise<TransportCost | undefined> {
	const now = (): number => performance.now();
	const receiver = new GrpcPeerTransport('127.0.0.1:0', plainCredentials(), now);
	const sender = new GrpcPeerTransport('127.0.0.1:0', plainCredentials(), now);
	const listening = await receiver.listen();
	if (listening.isErr()) {
		return undefined;
	}

	const relay = new CountingRelay(listening.value);
	const to = `127.0.0.1:${await relay.listen()}`;
	await sendAll(sender, to, warmUpCount);
	const before = {wire: relay.bytes, payload: sender.traffic.bytesOut, processor: process.cpuUsage()};
	await sendAll(sender, to, messageCount);
	const processorTime = process.cpuUsage(before.processor);
	const wire = relay.bytes - before.wire;
	const payload = sender.traffic.bytesOut - before.payload;
	sender.dispose();
	receiver.dispose();
	relay.dispose();
	return {
		overheadBytesPerMessage: (wire - payload) / messageCount,
		processorMicrosecondsPerMessage: (processorTime.user + processorTime.system) / 2 / messageCount,
	};
}

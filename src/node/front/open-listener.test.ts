/** Helpers for tests of GracefulServer: a started server, callers on raw sockets, and raw requests. */
import {once} from 'node:events';
import {type IncomingMessage, type ServerOptions, type ServerResponse} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {type DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type CutAnswer, GracefulServer} from './graceful-server.ts';

/** More than the kernel buffers for a caller that does not read. */
export const largeBytes = 16_000_000;

/** A started server with its first caller, and a record of its calls and cut answers. */
export type TestListener = {
	readonly server: GracefulServer;
	readonly caller: Socket;
	/** Paths of the calls passed to the handler. */
	readonly handledPaths: string[];
	readonly cutAnswers: CutAnswer[];
};

/** Returns a complete request without a body. */
export function getCall(path: string): string {
	return `GET ${path} HTTP/1.1\r\nhost: one.example\r\n\r\n`;
}

/** Returns the head of a request with a body of this many bytes. */
export function postHead(path: string, bodyBytes = 0): string {
	return `POST ${path} HTTP/1.1\r\nhost: one.example\r\ncontent-length: ${bodyBytes}\r\n\r\n`;
}

/** Connects a caller. It does not read until it is resumed; with `allowHalfOpen` it does not close its side by itself. */
export async function connectTo(store: DisposableStore, server: GracefulServer, allowHalfOpen = false): Promise<Socket> {
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a server on a port has such an address.
	const {port} = server.address() as AddressInfo;
	const caller = connect({port, host: '127.0.0.1', allowHalfOpen});
	caller.on('error', () => undefined);
	store.add(toDisposable(() => caller.destroy()));
	await once(caller, 'connect');
	return caller;
}

/** Starts a server that passes its calls to `handleCall`, and connects one caller. */
export async function startTestListener(
	store: DisposableStore,
	handleCall: (path: string, outgoing: ServerResponse) => void,
	{options = {}, allowHalfOpen = false, mayRunConcurrently = () => false}: {
		readonly options?: ServerOptions; readonly allowHalfOpen?: boolean; readonly mayRunConcurrently?: (incoming: IncomingMessage) => boolean;
	} = {},
): Promise<TestListener> {
	const handledPaths: string[] = [];
	const cutAnswers: CutAnswer[] = [];
	const server = store.add(new GracefulServer(options, (incoming, outgoing) => {
		incoming.resume();
		handledPaths.push(incoming.url!);
		handleCall(incoming.url!, outgoing);
	}, mayRunConcurrently));
	server.onCut(cut => cutAnswers.push(cut));
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		server, handledPaths, cutAnswers, caller: await connectTo(store, server, allowHalfOpen),
	};
}

/** Resolves with all bytes received until the connection is closed. */
export async function readAll(caller: Socket): Promise<string> {
	let text = '';
	caller.on('data', (chunk: Buffer) => {
		text += chunk.toString('latin1');
	});
	if (!caller.destroyed) {
		await once(caller, 'close');
	}

	return text;
}

/** Sends the bytes on a new connection; resolves with all bytes received until it is closed or fails. */
export async function exchange(port: number, bytes: string): Promise<string> {
	const caller = connect(port, '127.0.0.1');
	caller.write(bytes);
	let text = '';
	return new Promise(resolve => {
		caller.on('data', (chunk: Buffer) => {
			text += chunk.toString('latin1');
		});
		// `close` follows.
		caller.on('error', () => undefined);
		caller.on('close', () => {
			resolve(text);
		});
	});
}

/** Returns the statuses of all answers in the text. */
export function parseStatuses(text: string): string[] {
	return Array.from(text.matchAll(/HTTP\/1\.1 (?<status>\d{3}) /gv), match => match.groups!.status!);
}

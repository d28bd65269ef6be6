/** Reads resources from a VM in pieces, so that a large configuration never holds up its calls. */
import {err, ok, type Result} from 'neverthrow';
import {type ResourceKey, type StoredResource} from '../common/model/resources.ts';
import {resourceListSchema} from '../node/api/types.ts';
import {type ApiClient, type ClientFailure} from './api-client.ts';

/** As many keys as one request may look up. */
const keysAtOnce = 50;

/** What was read; the version is that of the last piece. */
export type ReadResources = {
	readonly version: number;
	readonly items: readonly StoredResource[];
	/** The configuration changed between two pieces. */
	readonly isMixed: boolean;
};

/** All resources that a query such as `kind=service` names. */
export async function readAll(client: ApiClient, query: string): Promise<Result<ReadResources, ClientFailure>> {
	return readPieces(client, next => next === undefined ? query : `${query}&after=${encodeURIComponent(next)}`);
}

/** Those of the keys that are in force. */
export async function readKeys(client: ApiClient, keys: readonly ResourceKey[]): Promise<Result<ReadResources, ClientFailure>> {
	let read: ReadResources = {version: 0, items: [], isMixed: false};
	for (let index = 0; index < keys.length; index += keysAtOnce) {
		const query = keys.slice(index, index + keysAtOnce).map(key => `key=${encodeURIComponent(key)}`).join('&');
		const piece = await client.request('GET', `/v1/resources?${query}`, resourceListSchema);
		if (piece.isErr()) {
			return err(piece.error);
		}

		read = add(read, piece.value);
	}

	return ok(read);
}

async function readPieces(client: ApiClient, queryFor: (next: string | undefined) => string): Promise<Result<ReadResources, ClientFailure>> {
	let read: ReadResources = {version: 0, items: [], isMixed: false};
	let next: string | undefined;
	for (;;) {
		const piece = await client.request('GET', `/v1/resources?${queryFor(next)}`, resourceListSchema);
		if (piece.isErr()) {
			return err(piece.error);
		}

		read = add(read, piece.value);
		if (piece.value.next === null) {
			return ok(read);
		}

		next = piece.value.next;
	}
}

function add(read: ReadResources, piece: {readonly version: number; readonly items: readonly StoredResource[]}): ReadResources {
	const isMixed = read.isMixed || (read.items.length > 0 && read.version !== piece.version);
	return {version: piece.version, items: [...read.items, ...piece.items], isMixed};
}

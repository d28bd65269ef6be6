/** Reads resources from a VM in pages, so that a large configuration does not delay the VM's calls. */
import {err, ok, type Result} from 'neverthrow';
import {type ResourceKey, type StoredResource} from '../common/model/resources.ts';
import {resourceListSchema} from '../node/api/types.ts';
import {type ApiClient, type ClientFailure} from './api-client.ts';

/** Limit of the API for keys in one request. */
const maxKeysPerRequest = 50;

/** The resources read. The version is that of the last page. */
export type ReadResources = {
	readonly version: number;
	readonly items: readonly StoredResource[];
	/** The configuration changed between two pages, so that the resources may be of different versions. */
	readonly hasMixedVersions: boolean;
};

/** Reads all resources that match a query such as `kind=service`. */
export async function readAll(client: ApiClient, query: string): Promise<Result<ReadResources, ClientFailure>> {
	return readPages(client, next => next === undefined ? query : `${query}&after=${encodeURIComponent(next)}`);
}

/** Reads the resources in force with the given keys; a key without a resource is skipped. */
export async function readKeys(client: ApiClient, keys: readonly ResourceKey[]): Promise<Result<ReadResources, ClientFailure>> {
	let read: ReadResources = {version: 0, items: [], hasMixedVersions: false};
	for (let index = 0; index < keys.length; index += maxKeysPerRequest) {
		const query = keys.slice(index, index + maxKeysPerRequest).map(key => `key=${encodeURIComponent(key)}`).join('&');
		const page = await client.request('GET', `/v1/resources?${query}`, resourceListSchema);
		if (page.isErr()) {
			return err(page.error);
		}

		read = appendPage(read, page.value);
	}

	return ok(read);
}

async function readPages(client: ApiClient, queryFor: (next: string | undefined) => string): Promise<Result<ReadResources, ClientFailure>> {
	let read: ReadResources = {version: 0, items: [], hasMixedVersions: false};
	let next: string | undefined;
	for (;;) {
		const page = await client.request('GET', `/v1/resources?${queryFor(next)}`, resourceListSchema);
		if (page.isErr()) {
			return err(page.error);
		}

		read = appendPage(read, page.value);
		if (page.value.next === null) {
			return ok(read);
		}

		next = page.value.next;
	}
}

function appendPage(read: ReadResources, page: {readonly version: number; readonly items: readonly StoredResource[]}): ReadResources {
	const hasMixedVersions = read.hasMixedVersions || (read.items.length > 0 && read.version !== page.version);
	return {version: page.version, items: [...read.items, ...page.items], hasMixedVersions};
}

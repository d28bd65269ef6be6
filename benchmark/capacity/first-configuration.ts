/** Contents of the platform's service after the first accepted change: a snapshot in shards, and the head. */
import {
	encodeHead, encodeShards, headKey, shardPrefix,
} from '../../src/common/fleet/configuration/head.ts';
import {type StoredResource} from '../../src/common/model/resources.ts';
import {type KeyValueStore} from '../../src/stand-ins/platform/key-value-store.ts';

/** Stores version 1. The shards are written before the head that refers to them. */
export function storeInitialConfiguration(store: KeyValueStore, resources: readonly StoredResource[]): void {
	const shards = encodeShards(resources).map((value, index) => {
		const key = `${shardPrefix}1-${index}`;
		store.handle({
			type: 'compare-and-swap', key, expected: 0, value,
		}, 0);
		return {key, revision: index + 1};
	});
	store.handle({
		type: 'compare-and-swap',
		key: headKey,
		expected: 0,
		value: encodeHead({
			format: 1, version: 1, snapshot: {version: 1, shards}, records: [],
		}),
	}, 0);
}

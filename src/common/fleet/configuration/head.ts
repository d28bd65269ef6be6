/**
 * Storage format of the configuration in the platform's service. One key, the head, is the commit point of every change.
 * The head holds the latest changes and points to a snapshot, which is stored in immutable shards.
 */
import {ok, err, type Result} from 'neverthrow';
import {z} from 'zod';
import {type Failure, failure} from '../../errors/failure.ts';
import {type StoredResource, storedResourceSchema} from '../../model/resources.ts';
import {type ChangeRecord, changeRecordSchema} from '../peer-messages.ts';

/** Key of the head; a compare-and-swap on it commits a change. */
export const headKey = 'jaydale/configuration/head';

/** Key prefix of the snapshot's shards; no key is ever written twice with different content. */
export const shardPrefix = 'jaydale/configuration/snapshot/';

/**
 * Maximum length of a shard in characters. A value in the platform's service holds a megabyte. Names and addresses are
 * ASCII; the margin allows for notes, which may hold longer characters.
 */
export const maxShardCharacters = 450_000;

/** Maximum history in the head, in characters and in records; a longer one makes the writer store a new snapshot. */
export const maxHistoryCharacters = 400_000;
export const maxHistoryRecords = 512;

/** Maximum history kept with a new snapshot, in records and in characters; a VM that missed fewer records needs no snapshot to catch up. */
export const maxKeptRecords = 128;
export const maxKeptCharacters = 150_000;

const shardReferenceSchema = z.strictObject({key: z.string(), revision: z.int().min(0)});
const headSchema = z.strictObject({
	format: z.literal(1),
	version: z.int().min(0),
	snapshot: z.strictObject({version: z.int().min(0), shards: z.array(shardReferenceSchema)}),
	/** Latest changes, oldest first, without gaps, up to `version`. */
	records: z.array(changeRecordSchema),
});

/** Reference to one shard; its deletion requires the revision. */
export type ShardReference = z.infer<typeof shardReferenceSchema>;

/** The value of the head key. */
export type ConfigurationHead = z.infer<typeof headSchema>;

/** Represents a head that was never written. */
export const emptyHead: ConfigurationHead = {
	format: 1, version: 0, snapshot: {version: 0, shards: []}, records: [],
};

export type HeadFailureKind = 'malformed-head' | 'malformed-shard';

function decode<T>(schema: z.ZodType<T>, kind: HeadFailureKind, text: string): Result<T, Failure<HeadFailureKind>> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return err(failure(kind, 'The value in the platform\'s service is not JSON.'));
	}

	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const issue = parsed.error.issues[0];
	return err(failure(kind, `The value in the platform's service does not fit its schema: ${issue?.message ?? 'no detail'}.`, {field: issue?.path.join('.')}));
}

export function decodeHead(text: string): Result<ConfigurationHead, Failure<HeadFailureKind>> {
	return decode(headSchema, 'malformed-head', text);
}

export function encodeHead(head: ConfigurationHead): string {
	return JSON.stringify(head);
}

export function decodeShard(text: string): Result<StoredResource[], Failure<HeadFailureKind>> {
	return decode(z.array(storedResourceSchema), 'malformed-shard', text);
}

/** Splits all resources into shards that each fit into one value. */
export function encodeShards(resources: Iterable<StoredResource>): string[] {
	const shards: string[] = [];
	let parts: string[] = [];
	let size = 0;
	for (const resource of resources) {
		const text = JSON.stringify(resource);
		if (size + text.length > maxShardCharacters && parts.length > 0) {
			shards.push(`[${parts.join(',')}]`);
			parts = [];
			size = 0;
		}

		parts.push(text);
		size += text.length + 1;
	}

	if (parts.length > 0) {
		shards.push(`[${parts.join(',')}]`);
	}

	return shards;
}

/** True if these records fit into the head. */
export function fitsHead(records: readonly ChangeRecord[]): boolean {
	return records.length <= maxHistoryRecords && JSON.stringify(records).length <= maxHistoryCharacters;
}

/** The latest records, within the limits that apply with a new snapshot. */
export function trimRecords(records: readonly ChangeRecord[]): ChangeRecord[] {
	const kept: ChangeRecord[] = [];
	let size = 0;
	for (const record of records.toReversed()) {
		size += JSON.stringify(record).length;
		if (kept.length >= maxKeptRecords || size > maxKeptCharacters) {
			break;
		}

		kept.unshift(record);
	}

	return kept;
}

/**
 * How the configuration lies in the platform's service. One key, the head, is the commit point of
 * every change; the bulk lies in immutable shards of a snapshot that the head points to.
 */
import {ok, err, type Result} from 'neverthrow';
import {z} from 'zod';
import {type Failure, failure} from '../../errors/failure.ts';
import {type StoredResource, storedResourceSchema} from '../../model/resources.ts';
import {type ChangeRecord, changeRecordSchema} from '../peer-messages.ts';

/** The one key whose compare-and-swap commits a change. */
export const headKey = 'jaydale/configuration/head';

/** Prefix of the snapshot's shards; a key is never written twice with different content. */
export const shardPrefix = 'jaydale/configuration/snapshot/';

/**
 * Largest shard in characters. The platform's values hold a megabyte; names and addresses are ASCII, and
 * the margin is for the notes that are not.
 */
export const maxShardCharacters = 450_000;

/** Largest history in the head, in characters and records; beyond it the writer makes a new snapshot. */
export const historyCharacters = 400_000;
export const maxHistoryRecords = 512;

/** Records kept when a new snapshot is made: a VM that missed fewer catches up without the snapshot. */
export const maxKeptRecords = 128;
export const keptCharacters = 150_000;

const shardReferenceSchema = z.strictObject({key: z.string(), revision: z.int().min(0)});
const headSchema = z.strictObject({
	format: z.literal(1),
	version: z.int().min(0),
	snapshot: z.strictObject({version: z.int().min(0), shards: z.array(shardReferenceSchema)}),
	/** Latest changes, oldest first, without gaps, up to `version`. */
	records: z.array(changeRecordSchema),
});

/** Points to one shard; the revision is what its deletion names. */
export type ShardReference = z.infer<typeof shardReferenceSchema>;

/** The value of the head key. */
export type ConfigurationHead = z.infer<typeof headSchema>;

/** What stands for a head that was never written. */
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

/** Cuts all resources into shards that fit a value each. */
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

/** True if the history with the record fits the head. */
export function fitsHead(records: readonly ChangeRecord[]): boolean {
	return records.length <= maxHistoryRecords && JSON.stringify(records).length <= historyCharacters;
}

/** The latest records that may stay when a snapshot is made. */
export function trimRecords(records: readonly ChangeRecord[]): ChangeRecord[] {
	const kept: ChangeRecord[] = [];
	let size = 0;
	for (const record of records.toReversed()) {
		size += JSON.stringify(record).length;
		if (kept.length >= maxKeptRecords || size > keptCharacters) {
			break;
		}

		kept.unshift(record);
	}

	return kept;
}

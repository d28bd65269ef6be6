/** Encoding of the registry feed between VMs: one JSON object per line, long lines compressed. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {eraOf, revisionOf, storePosition} from '../../common/platform/store-position.ts';
import {type MemberAnnouncement, type FeedFrame} from '../../common/registry/types.ts';
import {fromWire, toWire, updateSchema} from './update-codec.ts';

/** Path of the feed on a VM's peers endpoint. */
export const feedPath = '/feed';

/**
 * Length from which a frame is compressed. Without compression, forty VMs that subscribe to a VM with a link of 7 Mbit/s
 * would wait four seconds for a configuration of 90 KB. 350 routes with random names compress from 54,918 to 5581 bytes.
 */
const compressionThresholdBytes = 1000;

/** Maximum size of a decompressed frame. A value in the store has at most a megabyte, and all entries of a fleet together are smaller. */
const maxFrameBytes = 16_777_216;

const frameSchema = z.object({
	revision: z.int().min(0),
	/** Era of all revisions in the frame that have none of their own; absent in frames of earlier builds. */
	era: z.int().min(0).optional(),
	ageMilliseconds: z.number().min(0),
	entries: z.array(z.object({
		key: z.string(), value: z.string(), revision: z.int(), createdAt: z.int().optional(), era: z.int().min(0).optional(),
	})).default([]),
	deleted: z.array(z.string()).default([]),
	isWhole: z.boolean().default(false),
	/** Absent in frames of earlier builds. */
	updates: z.array(updateSchema).optional(),
});

const announcementSchema = z.object({identity: z.string().min(1), value: z.string(), intent: z.enum(['stay', 'turn', 'leave'])});

/** First character of a compressed line; uncompressed lines begin with a brace. */
const compressedPrefix = 'z';

type EncodedFrame = z.input<typeof frameSchema>;

/** Replaces revisions by positions, and omits `createdAt` where it is absent instead of setting it to undefined. */
function toFrame({entries, era: frameEra = 0, revision, updates, ...frame}: z.infer<typeof frameSchema>, lacksEra: boolean): FeedFrame {
	return {
		...frame,
		revision: storePosition(frameEra, revision),
		entries: entries.map(({key, value, revision, createdAt, era = frameEra}) => ({
			key, value, revision: storePosition(era, revision), ...(createdAt === undefined ? {} : {createdAt: storePosition(era, createdAt)}),
		})),
		...(updates === undefined ? {} : {updates: updates.map(update => fromWire(update))}),
		...(lacksEra ? {lacksEra} : {}),
	};
}

/** Replaces positions by the frame's era and revisions, which earlier builds read as before. */
function fromFrame({revision, entries, deleted, ageMilliseconds, isWhole, updates = []}: FeedFrame): EncodedFrame {
	const frameEra = eraOf(revision);
	return {
		revision: revisionOf(revision),
		era: frameEra,
		ageMilliseconds,
		entries: entries.map(({key, value, revision, createdAt}) => ({
			key,
			value,
			revision: revisionOf(revision),
			...(createdAt === undefined ? {} : {createdAt: revisionOf(createdAt)}),
			...(eraOf(revision) === frameEra ? {} : {era: eraOf(revision)}),
		})),
		deleted: [...deleted],
		isWhole,
		...(updates.length === 0 ? {} : {updates: updates.map(update => toWire(update))}),
	};
}

export function encodeFrame(frame: FeedFrame): string {
	const text = JSON.stringify(fromFrame(frame));
	return text.length < compressionThresholdBytes ? `${text}\n` : `${compressedPrefix}${deflateRawSync(text, {level: 1}).toString('base64')}\n`;
}

export function decodeFrame(line: string): Result<FeedFrame, Failure<'invalid-document'>> {
	try {
		const text = line.startsWith(compressedPrefix)
			? inflateRawSync(Buffer.from(line.slice(1), 'base64'), {maxOutputLength: maxFrameBytes}).toString()
			: line;
		const parsed = frameSchema.safeParse(JSON.parse(text));
		return parsed.success ? ok(toFrame(parsed.data, parsed.data.era === undefined)) : err(failure('invalid-document', `frame: ${parsed.error.issues[0]?.message ?? 'invalid'}`));
	} catch {
		return err(failure('invalid-document', 'frame: truncated or not valid JSON'));
	}
}

export function encodeAnnouncement(announcement: MemberAnnouncement): string {
	return `${JSON.stringify(announcement)}\n`;
}

/** Decodes an announcement line of a subscribed VM. */
export function decodeAnnouncement(line: string): Result<MemberAnnouncement, Failure<'invalid-document'>> {
	try {
		const parsed = announcementSchema.safeParse(JSON.parse(line));
		return parsed.success ? ok(parsed.data) : err(failure('invalid-document', 'announcement: invalid'));
	} catch {
		return err(failure('invalid-document', 'announcement: truncated or not valid JSON'));
	}
}
